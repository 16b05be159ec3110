"""Table of backend servers that have registered themselves."""

import dataclasses
from collections.abc import Iterable

__all__ = ('TOMBSTONE_RETENTION_S', 'Server', 'ServerTable')

# Time for which removed entries are remembered, in seconds: far longer than a
# peer's list of entries can be late.
TOMBSTONE_RETENTION_S = 300.0


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
    # Set while the entry is missing but its loss is not yet believed.
    gone_at: float | None = None


class ServerTable:
    """Know which backend servers of a service may get work.

    An entry that vanishes while the store is disturbed may come back soon
    after, so its removal can be delayed; the server keeps its work until
    then.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._rows: dict[str, _Row] = {}
        self._by_service: dict[str, dict[str, Server]] = {}
        # Newest revision of removed entries, and when they were removed; an
        # older entry stays removed.
        self._removed: dict[str, tuple[int, float]] = {}

    def __len__(self) -> int:
        """Return the number of known servers."""
        return len(self._rows)

    def of_service(self, service: str) -> Iterable[Server]:
        """Return the servers of a service that may get work."""
        return self._by_service.get(service, {}).values()

    def get(self, server_id: str) -> Server | None:
        """Return a server that is known, leaving ones too."""
        row = self._rows.get(server_id)
        return row.server if row else None

    def all_servers(self) -> list[Server]:
        """Return every known server."""
        return [row.server for row in self._rows.values()]

    def is_cold(self, server_id: str, now: float) -> bool:
        """Tell whether a server is expected to be cold."""
        row = self._rows.get(server_id)
        return row is not None and now < row.cold_until

    def assume_cold(self, server_id: str, until: float) -> None:
        """Take a server as cold for a while, whatever its entry says."""
        row = self._rows.get(server_id)
        if row is not None:
            row.cold_until = max(row.cold_until, until)

    def upsert(self, now: float, server: Server) -> bool:
        """Take an entry; return whether it changed the table."""
        row = self._rows.get(server.id)
        if row is None:
            removed_at_revision, _ = self._removed.get(server.id, (0, 0))
            if server.revision <= removed_at_revision:
                return False
            self._rows[server.id] = _Row(server, now + server.cold_s)
            self._index(server)
            return True
        row.gone_at = None
        known = row.server
        if server.revision <= known.revision:
            return False
        if server.incarnation < known.incarnation:
            return False
        self._unindex(known)
        row.server = server
        row.cold_until = now + server.cold_s
        self._index(server)
        return True

    def remove(
        self, now: float, server_id: str, revision: int, *, delay_s: float = 0
    ) -> bool:
        """Remove an entry, or believe its loss only after a delay.

        Returns:
            Whether this is news; a doubt that is known already is not.
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
        self._drop(now, server_id, revision)
        return True

    def replace(
        self,
        now: float,
        servers: Iterable[Server],
        revision: int,
        *,
        delay_s: float = 0,
    ) -> bool:
        """Take a complete list of one revision; return whether it is news.

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
        """Drop the servers whose loss is now believed; return them."""
        expired = [
            row.server
            for row in self._rows.values()
            if row.gone_at is not None and row.gone_at <= now
        ]
        for server in expired:
            self._drop(now, server.id, server.revision)
        for server_id, (_, at) in list(self._removed.items()):
            if at < now - TOMBSTONE_RETENTION_S:
                self._removed.pop(server_id)
        return expired

    def missing_count(self) -> int:
        """Return the number of servers whose entry is missing."""
        return sum(row.gone_at is not None for row in self._rows.values())

    def _drop(self, now: float, server_id: str, revision: int) -> None:
        row = self._rows.pop(server_id)
        self._unindex(row.server)
        newest = max(revision, row.server.revision)
        self._removed[server_id] = (newest, now)

    def _index(self, server: Server) -> None:
        if not server.leaving:
            of_service = self._by_service.setdefault(server.service, {})
            of_service[server.id] = server

    def _unindex(self, server: Server) -> None:
        self._by_service.get(server.service, {}).pop(server.id, None)
