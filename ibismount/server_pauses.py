"""Pauses that backend servers ask of this node when they reject a request."""

from collections.abc import Collection

from ibismount.logs import part_logger
from ibismount.server_table import Server

__all__ = ('MAX_PAUSE_S', 'ServerPauses')

log = part_logger('dispatch')

# Longest pause that is kept, in seconds: a server that asks for more by mistake
# is tried again.
MAX_PAUSE_S = 600.0


class ServerPauses:
    """Keep until when servers want no requests of this node.

    A pause holds for the id of its server, also if its entry shows another
    lifetime later: the entry of a server that restarted may come after its
    first answers.

    Example::

        pauses = ServerPauses()
        pauses.record(now, server, 1.5)
        pauses.ends_at(server)  # now + 1.5
    """

    def __init__(self) -> None:
        """Start without pauses."""
        # When the pause of each server that asked ends.
        self._ends_at: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no server asked for a pause lately."""
        return not self._ends_at

    def record(self, now: float, server: Server, pause_s: float) -> None:
        """Note that a server asked for a pause.

        Args:
            now: Time in seconds.
            server: The server.
            pause_s: Length of the pause in seconds.
        """
        ends_at = now + min(pause_s, MAX_PAUSE_S)
        self._ends_at[server.id] = max(ends_at, self.ends_at(server))
        log.info(
            'backend server asks for a pause',
            extra={
                'server': server.id,
                'service': server.service,
                'pause_s': pause_s,
            },
        )

    def ends_at(self, server: Server) -> float:
        """Return when the pause of a server ends or ended; 0 without one."""
        return self._ends_at.get(server.id, 0)

    def keep_only(self, now: float, server_ids: Collection[str]) -> None:
        """Drop pauses that are over, and those of all other servers."""
        self._ends_at = {
            server_id: ends_at
            for server_id, ends_at in self._ends_at.items()
            if server_id in server_ids and ends_at > now
        }
