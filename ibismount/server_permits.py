"""Permits of one node for backend servers that restrict the requests to them."""

import math
from collections.abc import Callable, Collection, Iterable, Sequence

from ibismount.fleet_state import FleetState
from ibismount.server_limits import ServerLimits
from ibismount.server_pauses import ServerPauses
from ibismount.server_rate_limiter import (
    RateLimiterOptions,
    ServerRateLimiter,
)
from ibismount.server_table import Server

__all__ = ('ServerPermits', 'make_server_permits')

_STATED_LIMIT_OPTIONS = RateLimiterOptions(max_period_s=4.0)


class ServerPermits:
    """Hand out permits for servers that are cold, limited or paused.

    Args:
        fleet: View of the servers; tells which are cold.
        limits: Limits that servers state.
        cold_limiter: Divides the rate of cold servers among the nodes.
        stated_limiter: Divides the stated limits among the nodes.
        now: Clock in seconds.
    """

    def __init__(
        self,
        *,
        fleet: FleetState,
        limits: ServerLimits,
        cold_limiter: ServerRateLimiter,
        stated_limiter: ServerRateLimiter,
        now: Callable[[], float],
    ) -> None:
        """Start without permits; `set_nodes` divides them."""
        self.limits = limits
        self.pauses = ServerPauses()
        self._fleet = fleet
        self._cold_limiter = cold_limiter
        self._stated_limiter = stated_limiter
        self._now = now

    def set_nodes(self, nodes: Sequence[str]) -> None:
        """Set the nodes among which the permits are divided."""
        self._cold_limiter.set_nodes(nodes)
        self._stated_limiter.set_nodes(nodes)

    @property
    def is_unrestricted(self) -> bool:
        """Return whether no server stated a limit or asked for a pause."""
        return self.limits.is_empty and self.pauses.is_empty

    def states_limit(self, server: Server) -> bool:
        """Return whether a server states a limit."""
        return self.limits.rate(self._now(), server) is not None

    def try_acquire(self, server: Server) -> bool:
        """Take the permits that a request to a server needs, or none."""
        now = self._now()
        if self._available_at(now, server) > now:
            return False
        return all(
            limiter.try_acquire(now, server.id, rate=rate)
            for limiter, rate in self._applicable(now, server)
        )

    def refund(self, server: Server) -> None:
        """Return the permits of a request that was not sent after all."""
        for limiter, _ in self._applicable(self._now(), server):
            limiter.refund(server.id)

    def earliest_at(self, servers: Iterable[Server]) -> float:
        """Return when the first of some servers may get a request, in seconds.

        This is infinity if this node gets no permit for any of them.
        """
        now = self._now()
        return min(
            (self._available_at(now, server) for server in servers),
            default=math.inf,
        )

    def keep_only(self, server_ids: Collection[str]) -> None:
        """Drop the state of all other servers."""
        self.limits.keep_only(self._now(), server_ids)
        self.pauses.keep_only(self._now(), server_ids)
        self._cold_limiter.keep_only(server_ids)
        self._stated_limiter.keep_only(server_ids)

    def _available_at(self, now: float, server: Server) -> float:
        permit_times = (
            limiter.next_permit_at(now, server.id, rate=rate)
            for limiter, rate in self._applicable(now, server)
        )
        return max(now, self.pauses.ends_at(server), *permit_times)

    def _applicable(
        self, now: float, server: Server
    ) -> Iterable[tuple[ServerRateLimiter, float]]:
        """Yield the limiters that apply to a server, with their rates."""
        cold_rate = self._fleet.cold_rate_limit(server)
        if cold_rate:
            yield self._cold_limiter, cold_rate
        stated_rate = self.limits.rate(now, server)
        if stated_rate is not None:
            yield self._stated_limiter, stated_rate


def make_server_permits(
    node_id: str,
    *,
    fleet: FleetState,
    limits: ServerLimits,
    now: Callable[[], float],
) -> ServerPermits:
    """Return the permits of a node.

    Args:
        node_id: The node.
        fleet: View of the servers.
        limits: Limits that servers state.
        now: Clock in seconds.
    """
    return ServerPermits(
        fleet=fleet,
        limits=limits,
        cold_limiter=ServerRateLimiter(node_id),
        stated_limiter=ServerRateLimiter(node_id, _STATED_LIMIT_OPTIONS),
        now=now,
    )
