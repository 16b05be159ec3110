"""Read the platform's store as changes to a node's view."""

from collections.abc import Iterator

from ibismount.change_feed import (
    ChangeBatch,
    HistoryLost,
    ResourceKind,
    StoreReader,
)
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
    decode_route_table,
    decode_server,
)
from ibismount.platform.store import (
    HistoryGone,
    Listing,
    StoreClient,
    StoredEntry,
)
from ibismount.platform.store_pages import UNREADABLE

__all__ = ('PlatformStoreReader',)

log = part_logger('platform')

# The store may answer a watch this much after the requested wait, in seconds.
_WATCH_ANSWER_MARGIN_S = 1.5

_PLATFORM_KINDS = {
    ResourceKind.ROUTES: CONFIG_KIND,
    ResourceKind.SERVERS: SERVER_KIND,
    ResourceKind.ZONES: EVACUATION_KIND,
}


class PlatformStoreReader(StoreReader):
    """Translate the store's lists and watches into changes."""

    def __init__(self, store: StoreClient) -> None:
        """Read through a store client."""
        self._store = store

    async def list(self, kind: ResourceKind) -> ChangeBatch:
        """Return all objects of a kind as changes."""
        listing = await self._store.list(_PLATFORM_KINDS[kind])
        return ChangeBatch(_decode_listing(kind, listing), listing.revision)

    async def watch(
        self, kind: ResourceKind, revision: int, wait_s: float
    ) -> ChangeBatch:
        """Return the changes after a revision; empty if none within a wait."""
        timeout_s = wait_s + _WATCH_ANSWER_MARGIN_S
        return await self._read_changes(kind, revision, wait_s, timeout_s)

    async def check(
        self, kind: ResourceKind, revision: int, timeout_s: float
    ) -> ChangeBatch:
        """Return the changes after a revision at once, also if there are none."""
        return await self._read_changes(kind, revision, 0, timeout_s)

    async def probe(self, timeout_s: float) -> int:
        """Return the store's revision, possibly stale, by a cheap read."""
        # Evacuations are the shortest list.
        return await self._store.revision(EVACUATION_KIND, timeout_s)

    async def _read_changes(
        self,
        kind: ResourceKind,
        revision: int,
        wait_s: float,
        timeout_s: float,
    ) -> ChangeBatch:
        try:
            listing = await self._store.watch(
                _PLATFORM_KINDS[kind], revision, wait_s, timeout_s=timeout_s
            )
        except HistoryGone as exc:
            raise HistoryLost(str(exc)) from exc
        changes = [
            change
            for entry in listing.entries
            for change in _decode_entry(kind, entry)
        ]
        return ChangeBatch(changes, listing.revision)


def _decode_listing(kind: ResourceKind, listing: Listing) -> list[FleetChange]:
    if kind is ResourceKind.ZONES:
        zones = tuple(item.name for item in listing.entries)
        return [ZonesListed(zones, listing.revision)]
    changes = [
        change
        for entry in listing.entries
        for change in _decode_entry(kind, entry)
    ]
    if kind is ResourceKind.ROUTES:
        return changes
    servers = tuple(
        item.server for item in changes if isinstance(item, ServerChanged)
    )
    return [ServersListed(servers, listing.revision)]


def _decode_entry(
    kind: ResourceKind, entry: StoredEntry
) -> Iterator[FleetChange]:
    try:
        change = _decode_change(kind, entry)
    except DocumentError as exc:
        log.warning(
            'store entry ignored: invalid content',
            extra={
                'entry': entry.name,
                'revision': entry.revision,
                'reason': str(exc),
            },
        )
        if kind is ResourceKind.SERVERS:
            # An invalid entry replaced the one in the view.
            yield ServerRemoved(entry.name, entry.revision)
        return
    if change is not None:
        yield change


def _decode_change(
    kind: ResourceKind, entry: StoredEntry
) -> FleetChange | None:
    if kind is ResourceKind.ZONES:
        return ZoneChanged(entry.name, not entry.removed, entry.revision)
    if kind is ResourceKind.SERVERS and entry.removed:
        return ServerRemoved(entry.name, entry.revision)
    if entry.spec is UNREADABLE:
        raise DocumentError(f'{entry.name}: content cannot be decoded')
    if kind is ResourceKind.SERVERS:
        return ServerChanged(
            decode_server(entry.name, entry.revision, entry.spec)
        )
    if entry.removed or entry.name != CONFIG_NAME:
        return None
    return decode_route_table(entry.spec)
