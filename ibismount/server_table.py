"""Table of registered backend servers."""

import dataclasses
from collections.abc import Iterable

__all__ = ('TOMBSTONE_RETENTION_S', 'Server', 'ServerTable')

# Time for which the revisions of removed entries are kept, in seconds: far
# longer than the delay of a list of entries that a peer sends.
TOMBSTONE_RETENTION_S = 300.0
# Shortest time in which a server restarts and registers again, in seconds.
MIN_RESTART_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """One backend server, as it registered itself.

    ``incarnation`` grows with each start under the same id; ``revision`` is
    the store's revision of the entry. ``cold_s`` is how long the server was
    expected to stay cold when the entry was written.
    """

    id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    leaving: bool = False
    cold_s: float = 0
    incarnation: int = 0
    revision: int = 0


@dataclasses.dataclass(slots=True)
class _Row:
    server: Server
    cold_until: float
    # When the server is dropped, if its entry is missing.
    gone_at: float | None = None


class ServerTable:
    """Hold the backend servers of each service.

    While the store is disturbed, an entry may vanish and come back soon
    after. Removals can therefore be delayed; the server gets requests until
    the delay is over.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._rows: dict[str, _Row] = {}
        self._by_service: dict[str, dict[str, Server]] = {}
        # The server that registered last at each address.
        self._by_address: dict[tuple[str, int], Server] = {}
        # Newest revision of each removed entry, and when it was removed. An
        # entry that is not newer than its tombstone is ignored.
        self._tombstones: dict[str, tuple[int, float]] = {}
        # Servers that said that they leave: their incarnation, and when they
        # said so. Entries may say so later, or vanish and come back.
        self._leaving: dict[str, tuple[int, float]] = {}

    def __len__(self) -> int:
        """Return the number of servers, including leaving ones."""
        return len(self._rows)

    def of_service(self, service: str) -> Iterable[Server]:
        """Return the servers of a service, without leaving ones."""
        return self._by_service.get(service, {}).values()

    def get(self, server_id: str) -> Server | None:
        """Return a server by its id, also a leaving one."""
        row = self._rows.get(server_id)
        return row.server if row else None

    def is_replaced(self, server: Server) -> bool:
        """Tell whether a later lifetime, or another server, took its address."""
        row = self._rows.get(server.id)
        if row is not None and row.server.incarnation > server.incarnation:
            return True
        holder = self._by_address.get((server.host, server.port))
        return holder is not None and holder.id != server.id

    def all_servers(self) -> list[Server]:
        """Return every server, including leaving ones."""
        return [row.server for row in self._rows.values()]

    def is_cold(self, server_id: str, now: float) -> bool:
        """Tell whether a server is expected to be cold."""
        row = self._rows.get(server_id)
        return row is not None and now < row.cold_until

    def assume_cold(self, server_id: str, until: float) -> None:
        """Treat a server as cold until a time, whatever its entry says."""
        row = self._rows.get(server_id)
        if row is not None:
            row.cold_until = max(row.cold_until, until)

    def mark_leaving(self, now: float, server: Server) -> bool:
        """Note that a server said that it leaves; return whether it is news."""
        if self._said_leaving(server):
            return False
        self._leaving[server.id] = (server.incarnation, now)
        row = self._rows.get(server.id)
        if row is not None and row.server.incarnation == server.incarnation:
            self._unindex(row.server)
        return True

    def upsert(self, now: float, server: Server) -> bool:
        """Insert or update an entry; return whether the table changed."""
        row = self._rows.get(server.id)
        if row is None:
            tombstone_revision, _ = self._tombstones.get(server.id, (0, 0))
            if server.revision <= tombstone_revision:
                return False
            self._rows[server.id] = _Row(server, now + server.cold_s)
            self._index(server)
            self._record_address(server)
            return True
        row.gone_at = None
        current = row.server
        if server.revision <= current.revision:
            return False
        if server.incarnation < current.incarnation:
            return False
        self._unindex(current)
        self._forget_address(current)
        self._carry_leaving(now, current, server)
        row.server = server
        row.cold_until = now + server.cold_s
        self._index(server)
        self._record_address(server)
        return True

    def remove(
        self, now: float, server_id: str, revision: int, *, delay_s: float = 0
    ) -> bool:
        """Remove an entry, at once or after a delay.

        Returns:
            Whether the removal took effect or its delay began; False while an
            earlier delay runs.
        """
        row = self._rows.get(server_id)
        if row is None:
            return False
        if revision and revision < row.server.revision:
            return False
        if delay_s:
            if row.gone_at is not None:
                return False
            row.gone_at = now + delay_s
            return True
        self._remove_row(now, server_id, revision)
        return True

    def replace(
        self,
        now: float,
        servers: Iterable[Server],
        revision: int,
        *,
        delay_s: float = 0,
    ) -> bool:
        """Apply a complete list; return whether the table changed.

        Entries that are newer than the list stay, since the list may be a
        stale read.
        """
        present = {server.id: server for server in servers}
        changed = False
        for server_id, row in list(self._rows.items()):
            if server_id in present or row.server.revision > revision:
                continue
            if self.remove(now, server_id, revision, delay_s=delay_s):
                changed = True
        for server in present.values():
            changed = self.upsert(now, server) or changed
        return changed

    def expire(self, now: float) -> list[Server]:
        """Drop the servers whose removal delay is over; return them.

        Old tombstones, and old statements of servers, are dropped too.
        """
        expired = [
            row.server
            for row in self._rows.values()
            if row.gone_at is not None and row.gone_at <= now
        ]
        for server in expired:
            self._remove_row(now, server.id, server.revision)
        for records in (self._tombstones, self._leaving):
            for server_id, (_, recorded_at) in list(records.items()):
                if recorded_at < now - TOMBSTONE_RETENTION_S:
                    records.pop(server_id)
        return expired

    def pending_removals(self) -> list[tuple[Server, float]]:
        """Return the servers whose entry is missing, and when they are dropped."""
        return [
            (row.server, row.gone_at)
            for row in self._rows.values()
            if row.gone_at is not None
        ]

    def missing_count(self) -> int:
        """Return the number of servers whose entry is missing."""
        return len(self.pending_removals())

    def _remove_row(self, now: float, server_id: str, revision: int) -> None:
        row = self._rows.pop(server_id)
        self._unindex(row.server)
        self._forget_address(row.server)
        newest = max(revision, row.server.revision)
        self._tombstones[server_id] = (newest, now)

    def _record_address(self, server: Server) -> None:
        address = (server.host, server.port)
        holder = self._by_address.get(address)
        if holder is None or holder.revision < server.revision:
            self._by_address[address] = server

    def _forget_address(self, server: Server) -> None:
        address = (server.host, server.port)
        holder = self._by_address.get(address)
        if holder is not None and holder.id == server.id:
            self._by_address.pop(address)

    def _carry_leaving(self, now: float, old: Server, new: Server) -> None:
        """Let a new lifetime leave if it was the one that had said so.

        The entry of a server that restarted may come after its first answers.
        """
        if old.incarnation == new.incarnation or not self._said_leaving(old):
            return
        _, said_at = self._leaving[old.id]
        if now - said_at < MIN_RESTART_S:
            self._leaving[old.id] = (new.incarnation, said_at)

    def _said_leaving(self, server: Server) -> bool:
        incarnation, _ = self._leaving.get(server.id, (None, 0))
        return incarnation == server.incarnation

    def _index(self, server: Server) -> None:
        if not server.leaving and not self._said_leaving(server):
            servers = self._by_service.setdefault(server.service, {})
            servers[server.id] = server

    def _unindex(self, server: Server) -> None:
        self._by_service.get(server.service, {}).pop(server.id, None)
