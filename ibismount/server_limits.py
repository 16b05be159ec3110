"""Limits that backend servers in need state in their answers."""

import dataclasses
from collections.abc import Collection

from ibismount.logs import part_logger
from ibismount.server_table import Server

__all__ = ('LimitOptions', 'ServerLimits', 'StatedLimit')

log = part_logger('dispatch')


# What other nodes tell seems newer than it is by the time on the way, at most
# this many seconds.
TRANSIT_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class LimitOptions:
    """Times in seconds."""

    # A limit that no answer has confirmed for this time no longer holds: a
    # node without a permit for the server learns of the end in no other way.
    hold_s: float = 20.0


_DEFAULTS = LimitOptions()


@dataclasses.dataclass(frozen=True, slots=True)
class StatedLimit:
    """What a server last stated.

    It holds for the id of the server, also if its entry shows another lifetime
    later: the entry of a server that restarted may come after its first
    answers. ``rate`` is in requests per second from all nodes together; None is no limit.
    ``stated_at`` is the time of the newest answer that stated it, in seconds.
    """

    server_id: str
    rate: float | None
    stated_at: float


class ServerLimits:
    """Keep the limits that servers state, and their end.

    Args:
        options: Times.

    Example::

        limits = ServerLimits()
        limits.record_answer(now, server, 12.5)
        limits.rate(now, server)  # 12.5
    """

    def __init__(self, options: LimitOptions = _DEFAULTS) -> None:
        """Start without limits."""
        self._options = options
        self._limits: dict[str, StatedLimit] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no server stated a limit lately."""
        return not self._limits

    def count(self, now: float) -> int:
        """Return the number of servers with a limit."""
        return sum(
            limit.rate is not None and self._holds(now, limit)
            for limit in self._limits.values()
        )

    def rate(self, now: float, server: Server) -> float | None:
        """Return a server's limit in requests per second, or None."""
        limit = self._limits.get(server.id)
        if limit is None:
            return None
        return limit.rate if self._holds(now, limit) else None

    def record_answer(
        self, now: float, server: Server, rate: float | None
    ) -> None:
        """Note the limit in an answer of a server.

        Args:
            now: Time in seconds.
            server: The server.
            rate: Requests per second from all nodes; None if it states none.
        """
        known = self._limits.get(server.id)
        earlier = self.rate(now, server)
        if rate is None and (known is None or earlier is None):
            return
        self._limits[server.id] = StatedLimit(server.id, rate, now)
        if rate != earlier:
            log.info(
                'backend server states a limit'
                if rate is not None
                else 'backend server states no limit any more',
                extra={
                    'server': server.id,
                    'service': server.service,
                    'requests_per_s': rate,
                    'before': earlier,
                },
            )

    def merge(self, limit: StatedLimit) -> None:
        """Apply what a server stated to another node, if it is newer."""
        known = self._limits.get(limit.server_id)
        if known is None:
            if limit.rate is not None:
                self._limits[limit.server_id] = limit
        elif limit.stated_at > known.stated_at + TRANSIT_S:
            self._limits[limit.server_id] = limit

    def standing(self) -> list[StatedLimit]:
        """Return all limits, and the ends of limits, that are known."""
        return list(self._limits.values())

    def keep_only(self, now: float, server_ids: Collection[str]) -> None:
        """Drop old limits, and those of all other servers."""
        self._limits = {
            server_id: limit
            for server_id, limit in self._limits.items()
            if server_id in server_ids and self._holds(now, limit)
        }

    def _holds(self, now: float, limit: StatedLimit) -> bool:
        return now - limit.stated_at < self._options.hold_s
