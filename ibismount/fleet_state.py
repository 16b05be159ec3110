"""One node's view of routes, backend servers and zones out of service."""

import collections
import dataclasses
from collections.abc import Callable, Iterable

from ibismount.routes import RouteTable, empty_route_table
from ibismount.server_table import Server, ServerTable

__all__ = (
    'FleetChange',
    'FleetState',
    'ServerChanged',
    'ServerRemoved',
    'ServersListed',
    'ViewRevisions',
    'ZoneChanged',
    'ZonesListed',
)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerChanged:
    """A backend server registered or changed its entry."""

    server: Server


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRemoved:
    """An entry was removed; the server is dropped after ``delay_s``."""

    server_id: str
    revision: int
    delay_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServersListed:
    """A complete list of entries at one revision.

    Servers that are missing from it are dropped after ``delay_s``.
    """

    servers: tuple[Server, ...]
    revision: int
    delay_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneChanged:
    """An availability zone was taken out of service, or put back."""

    zone: str
    out: bool
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ZonesListed:
    """All availability zones out of service, at one revision."""

    zones: tuple[str, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ViewRevisions:
    """The routing version of a view, and its revisions of servers and zones."""

    version: int = 0
    servers: int = 0
    zones: int = 0

    def is_ahead_of(self, other: 'ViewRevisions') -> bool:
        """Return whether any of them is higher than that of another view."""
        return (
            self.version > other.version
            or self.servers > other.servers
            or self.zones > other.zones
        )


FleetChange = (
    ServerChanged
    | ServerRemoved
    | ServersListed
    | ZoneChanged
    | ZonesListed
    | RouteTable
)


class FleetState:
    """Merge changes from the store and from peers; the newest revision wins.

    Args:
        now: Clock in seconds.
        on_change: Called with each change that altered the view.
        confirmed: Whether the view may be used before ``confirm`` is called.
        on_confirmed: Called once, by ``confirm``.
    """

    def __init__(
        self,
        now: Callable[[], float],
        on_change: Callable[[FleetChange], None] | None = None,
        *,
        confirmed: bool = True,
        on_confirmed: Callable[[], None] | None = None,
    ) -> None:
        """Start with an empty view."""
        self._now = now
        self._on_change = on_change
        self._on_confirmed = on_confirmed
        self.confirmed = confirmed
        self.route_table: RouteTable = empty_route_table()
        self.servers = ServerTable()
        self.zones_out: frozenset[str] = frozenset()
        self.zones_revision = 0
        # Revision of the newest complete list, or of a later change.
        self.servers_revision = 0
        # Revisions of the newest changes that altered the view. Others are not
        # sent to peers, so no peer misses them.
        self._changed_servers_revision = 0
        self._changed_zones_revision = 0
        # Revision of the newest complete list. An older entry that this view
        # lacks has been removed since.
        self._listed_revision = 0
        # Number of changes to the view. Data derived from the view is valid
        # until this number changes.
        self.change_count = 0

    @property
    def ready(self) -> bool:
        """Return whether requests can be served."""
        return self.confirmed and self.has_view

    @property
    def has_view(self) -> bool:
        """Return whether routes and servers are known."""
        return bool(self.route_table.version) and bool(self.servers_revision)

    @property
    def revisions(self) -> ViewRevisions:
        """Return the revisions up to which this view is complete."""
        return ViewRevisions(
            self.route_table.version, self.servers_revision, self.zones_revision
        )

    @property
    def changed_revisions(self) -> ViewRevisions:
        """Return the revisions of the newest changes that altered the view."""
        return ViewRevisions(
            self.route_table.version,
            self._changed_servers_revision,
            self._changed_zones_revision,
        )

    def apply(self, change: FleetChange) -> bool:
        """Apply a change; return whether it altered the view."""
        changed = _APPLY_BY_TYPE[type(change)](self, change)
        if changed:
            self.change_count += 1
            if isinstance(change, ZoneChanged | ZonesListed):
                self._changed_zones_revision = self.zones_revision
            elif not isinstance(change, RouteTable):
                self._changed_servers_revision = self.servers_revision
            if self._on_change is not None:
                self._on_change(change)
        return changed

    def confirm(self) -> None:
        """Let the node serve: its view is as recent as it can get.

        A new process may get its first view from a peer that is cut off from
        the store. That view can hold servers that left and routes that were
        withdrawn before the process started.
        """
        if self.confirmed:
            return
        self.confirmed = True
        if self._on_confirmed is not None:
            self._on_confirmed()

    def expire(self) -> list[Server]:
        """Drop the servers whose removal delay is over; return them."""
        expired = self.servers.expire(self._now())
        self.change_count += len(expired)
        return expired

    def count_servers_by_zone(self) -> dict[str, int]:
        """Return the number of registered servers in each zone.

        Zones out of service count too: they come back, and callers should not
        have to move twice.
        """
        return collections.Counter(
            server.zone for server in self.servers.all_servers()
        )

    def cold_ids(self, servers: Iterable[Server]) -> set[str]:
        """Return the ids of those servers that are cold."""
        now = self._now()
        return {
            server.id
            for server in servers
            if self.servers.is_cold(server.id, now)
        }

    def cold_rate_limit(self, server: Server) -> float:
        """Return a server's current rate limit, or 0 for no limit.

        The limit is in requests per second, and applies while the server is
        cold.
        """
        service = self.route_table.services.get(server.service)
        if service is None or not service.cold_rate:
            return 0
        cold = self.servers.is_cold(server.id, self._now())
        return service.cold_rate if cold else 0

    def mark_leaving(self, server: Server) -> bool:
        """Send no more to a server that said that it leaves.

        Returns:
            Whether it was not known yet.
        """
        return self.servers.mark_leaving(self._now(), server)

    def assume_cold(self, server: Server) -> None:
        """Treat a server as cold, since it may have restarted unnoticed.

        This applies only to services with a rate limit for cold servers.
        """
        service = self.route_table.services.get(server.service)
        if service is not None and service.cold_rate:
            until = self._now() + service.cold_s
            self.servers.assume_cold(server.id, until)

    def snapshot(self) -> list[FleetChange]:
        """Return changes that build this view from an empty one."""
        changes: list[FleetChange] = []
        if self.servers_revision:
            changes.append(
                ServersListed(
                    tuple(self.servers.all_servers()), self.servers_revision
                )
            )
            now = self._now()
            changes.extend(
                ServerRemoved(server.id, server.revision, max(0, gone_at - now))
                for server, gone_at in self.servers.pending_removals()
            )
        if self.zones_revision:
            changes.append(
                ZonesListed(tuple(self.zones_out), self.zones_revision)
            )
        if self.route_table.version:
            changes.append(self.route_table)
        return changes

    def _apply_route_table(self, route_table: RouteTable) -> bool:
        if route_table.version <= self.route_table.version:
            return False
        self.route_table = route_table
        return True

    def _apply_server(self, change: ServerChanged) -> bool:
        self._advance_servers_revision(change.server.revision)
        return self._upsert(change.server)

    def _apply_removal(self, change: ServerRemoved) -> bool:
        self._advance_servers_revision(change.revision)
        return self.servers.remove(
            self._now(),
            change.server_id,
            change.revision,
            delay_s=change.delay_s,
        )

    def _apply_server_list(self, change: ServersListed) -> bool:
        if change.revision < self.servers_revision:
            # An old list removes nothing, but may hold entries that this view
            # lacks.
            upserts = [self._upsert(server) for server in change.servers]
            return any(upserts)
        newer = change.revision > self.servers_revision
        self._listed_revision = change.revision
        self._advance_servers_revision(change.revision)
        changed = self.servers.replace(
            self._now(),
            change.servers,
            change.revision,
            delay_s=change.delay_s,
        )
        # A list that equals this view is not reported as a change: peers
        # would forward it to each other without end.
        return newer or changed

    def _upsert(self, server: Server) -> bool:
        removed = (
            server.revision <= self._listed_revision
            and self.servers.get(server.id) is None
        )
        return not removed and self.servers.upsert(self._now(), server)

    def _apply_zone(self, change: ZoneChanged) -> bool:
        if change.revision <= self.zones_revision:
            return False
        self.zones_revision = change.revision
        zone = frozenset((change.zone,))
        current = self.zones_out
        return self._set_zones_out(
            current | zone if change.out else current - zone
        )

    def _apply_zone_list(self, change: ZonesListed) -> bool:
        if change.revision <= self.zones_revision:
            return False
        self.zones_revision = change.revision
        return self._set_zones_out(frozenset(change.zones))

    def _set_zones_out(self, zones_out: frozenset[str]) -> bool:
        previous, self.zones_out = self.zones_out, zones_out
        # Servers may have become cold while they got no requests.
        for server in self.servers.all_servers():
            if server.zone in previous - zones_out:
                self.assume_cold(server)
        return zones_out != previous

    def _advance_servers_revision(self, revision: int) -> None:
        self.servers_revision = max(self.servers_revision, revision)


_APPLY_BY_TYPE = {
    RouteTable: FleetState._apply_route_table,
    ServerChanged: FleetState._apply_server,
    ServerRemoved: FleetState._apply_removal,
    ServersListed: FleetState._apply_server_list,
    ZoneChanged: FleetState._apply_zone,
    ZonesListed: FleetState._apply_zone_list,
}
