"""Read the platform's store as changes of the product's view."""

from collections.abc import Iterator

from ibismount.change_feed import Batch, Feed, FeedKind, HistoryLost
from ibismount.fleet_state import (
    FleetChange,
    ServerChanged,
    ServerRemoved,
    ServersListed,
    ZoneChanged,
    ZonesListed,
)
from ibismount.logs import part_logger
from ibismount.platform.documents import (
    CONFIG_KIND,
    CONFIG_NAME,
    EVACUATION_KIND,
    SERVER_KIND,
    DocumentError,
    decode_server,
    decode_table,
)
from ibismount.platform.store import HistoryGone, Listing, Store, StoredEntry

__all__ = ('PlatformFeed',)

log = part_logger('platform')

_KINDS = {
    FeedKind.ROUTES: CONFIG_KIND,
    FeedKind.SERVERS: SERVER_KIND,
    FeedKind.ZONES: EVACUATION_KIND,
}


class PlatformFeed(Feed):
    """Translate listings and watches of the store."""

    def __init__(self, store: Store) -> None:
        """Read from a store."""
        self._store = store

    async def list(self, kind: FeedKind) -> Batch:
        """Return the whole state of a kind."""
        listing = await self._store.list(_KINDS[kind])
        return Batch(_listed(kind, listing), listing.revision)

    async def watch(
        self, kind: FeedKind, revision: int, wait_s: float
    ) -> Batch:
        """Return the changes after a revision, or none after a wait."""
        try:
            listing = await self._store.watch(_KINDS[kind], revision, wait_s)
        except HistoryGone as exc:
            raise HistoryLost(str(exc)) from exc
        changes = [
            change
            for entry in listing.entries
            for change in _changed(kind, entry)
        ]
        return Batch(changes, listing.revision)

    async def probe(self, timeout_s: float) -> int:
        """Return the store's revision by a cheap read, which may be stale."""
        # The shortest list of all.
        return await self._store.revision(EVACUATION_KIND, timeout_s)


def _listed(kind: FeedKind, listing: Listing) -> list[FleetChange]:
    if kind is FeedKind.ZONES:
        zones = tuple(one.name for one in listing.entries)
        return [ZonesListed(zones, listing.revision)]
    changes = [
        change for entry in listing.entries for change in _changed(kind, entry)
    ]
    if kind is FeedKind.ROUTES:
        return changes
    servers = tuple(
        one.server for one in changes if isinstance(one, ServerChanged)
    )
    return [ServersListed(servers, listing.revision)]


def _changed(kind: FeedKind, entry: StoredEntry) -> Iterator[FleetChange]:
    try:
        change = _change(kind, entry)
    except DocumentError as exc:
        log.warning('entry ignored', extra={'reason': str(exc)})
        if kind is FeedKind.SERVERS:
            # What was known under this name is no longer what is stored.
            yield ServerRemoved(entry.name, entry.revision)
        return
    if change is not None:
        yield change


def _change(kind: FeedKind, entry: StoredEntry) -> FleetChange | None:
    if kind is FeedKind.ZONES:
        return ZoneChanged(entry.name, not entry.removed, entry.revision)
    if kind is FeedKind.SERVERS:
        if entry.removed:
            return ServerRemoved(entry.name, entry.revision)
        return ServerChanged(
            decode_server(entry.name, entry.revision, entry.spec)
        )
    if entry.removed or entry.name != CONFIG_NAME:
        return None
    return decode_table(entry.spec)
