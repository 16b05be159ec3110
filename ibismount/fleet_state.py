"""One node's view of routes, backend servers and zones out of service."""

import dataclasses
from collections.abc import Callable, Iterable

from ibismount.routes import RouteTable, empty_route_table
from ibismount.server_table import Server, ServerTable

__all__ = (
    'Change',
    'FleetState',
    'ServerChanged',
    'ServerRemoved',
    'ServersListed',
    'ZoneChanged',
    'ZonesListed',
)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerChanged:
    """A backend server registered or changed its entry."""

    server: Server


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRemoved:
    """An entry was removed; its loss is believed after a delay."""

    server_id: str
    revision: int
    delay_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServersListed:
    """A complete list of entries at one revision."""

    servers: tuple[Server, ...]
    revision: int
    delay_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneChanged:
    """An availability zone was taken out of service, or back."""

    zone: str
    out: bool
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ZonesListed:
    """All availability zones that get no work, at one revision."""

    zones: tuple[str, ...]
    revision: int


Change = (
    ServerChanged
    | ServerRemoved
    | ServersListed
    | ZoneChanged
    | ZonesListed
    | RouteTable
)


class FleetState:
    """Merge changes from the store and from peers; the newest wins.

    Args:
        now: Clock in seconds.
        on_change: Called with each change that was taken.
    """

    def __init__(
        self,
        now: Callable[[], float],
        on_change: Callable[[Change], None] | None = None,
    ) -> None:
        """Start with nothing known."""
        self._now = now
        self._on_change = on_change
        self.route_table: RouteTable = empty_route_table()
        self.servers = ServerTable()
        self.zones_out: frozenset[str] = frozenset()
        self.zones_revision = 0
        # Revision of the newest complete list, or of a later change.
        self.servers_revision = 0
        # Number of changes that were taken: what is derived from the view
        # holds while it stays the same.
        self.change_count = 0

    @property
    def ready(self) -> bool:
        """Tell whether requests can be served."""
        return bool(self.route_table.version) and bool(self.servers_revision)

    def apply(self, change: Change) -> bool:
        """Take a change; return whether it was news."""
        taken = _APPLY[type(change)](self, change)
        if taken:
            self.change_count += 1
            if self._on_change is not None:
                self._on_change(change)
        return taken

    def expire(self) -> list[Server]:
        """Drop the servers whose loss is now believed; return them."""
        expired = self.servers.expire(self._now())
        self.change_count += len(expired)
        return expired

    def cold_ids(self, servers: Iterable[Server]) -> set[str]:
        """Return the ids of those servers that are cold."""
        now = self._now()
        return {one.id for one in servers if self.servers.is_cold(one.id, now)}

    def cold_rate_limit(self, server: Server) -> float:
        """Return the rate that a server bears now; 0 when it has no limit."""
        service = self.route_table.services.get(server.service)
        if service is None or not service.cold_rate:
            return 0
        cold = self.servers.is_cold(server.id, self._now())
        return service.cold_rate if cold else 0

    def assume_cold(self, server: Server) -> None:
        """Take a server as cold: it may have restarted unnoticed.

        Only services that state a rate for cold servers are concerned.
        """
        service = self.route_table.services.get(server.service)
        if service is not None and service.cold_rate:
            until = self._now() + service.cold_s
            self.servers.assume_cold(server.id, until)

    def snapshot(self) -> list[Change]:
        """Return changes that bring an empty view to this one."""
        changes: list[Change] = []
        if self.servers_revision:
            changes.append(
                ServersListed(
                    tuple(self.servers.all_servers()), self.servers_revision
                )
            )
        if self.zones_revision:
            changes.append(
                ZonesListed(tuple(self.zones_out), self.zones_revision)
            )
        if self.route_table.version:
            changes.append(self.route_table)
        return changes

    def _take_table(self, route_table: RouteTable) -> bool:
        if route_table.version <= self.route_table.version:
            return False
        self.route_table = route_table
        return True

    def _take_server(self, change: ServerChanged) -> bool:
        self._note_revision(change.server.revision)
        return self.servers.upsert(self._now(), change.server)

    def _take_removal(self, change: ServerRemoved) -> bool:
        self._note_revision(change.revision)
        return self.servers.remove(
            self._now(),
            change.server_id,
            change.revision,
            delay_s=change.delay_s,
        )

    def _take_list(self, change: ServersListed) -> bool:
        if change.revision < self.servers_revision:
            # Still good for entries that this view has not heard of.
            news = [
                self.servers.upsert(self._now(), one) for one in change.servers
            ]
            return any(news)
        newer = change.revision > self.servers_revision
        self._note_revision(change.revision)
        changed = self.servers.replace(
            self._now(),
            change.servers,
            change.revision,
            delay_s=change.delay_s,
        )
        # An equal list that comes back from a peer must not be handed on.
        return newer or changed

    def _take_zone(self, change: ZoneChanged) -> bool:
        if change.revision <= self.zones_revision:
            return False
        self.zones_revision = change.revision
        zone = frozenset((change.zone,))
        known = self.zones_out
        return self._put_zones(known | zone if change.out else known - zone)

    def _take_zones(self, change: ZonesListed) -> bool:
        if change.revision <= self.zones_revision:
            return False
        self.zones_revision = change.revision
        return self._put_zones(frozenset(change.zones))

    def _put_zones(self, zones_out: frozenset[str]) -> bool:
        known, self.zones_out = self.zones_out, zones_out
        # Servers may have become cold while they got no requests.
        for server in self.servers.all_servers():
            if server.zone in known - zones_out:
                self.assume_cold(server)
        return zones_out != known

    def _note_revision(self, revision: int) -> None:
        self.servers_revision = max(self.servers_revision, revision)


_APPLY = {
    RouteTable: FleetState._take_table,
    ServerChanged: FleetState._take_server,
    ServerRemoved: FleetState._take_removal,
    ServersListed: FleetState._take_list,
    ZoneChanged: FleetState._take_zone,
    ZonesListed: FleetState._take_zones,
}
