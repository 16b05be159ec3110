"""Choose the backend server that gets a request or a part of one."""

import dataclasses
import random
from collections.abc import Collection, Iterable

from ibismount.server_health import ServerHealth, make_health
from ibismount.server_table import Server

__all__ = ('Placement', 'PlacementOptions')


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementOptions:
    """Weights of the choice."""

    # A server in another availability zone is taken only when its expected
    # latency is better by this factor; bytes between zones are paid for.
    other_zone: float = 1.2
    # A cold server takes about this much longer.
    cold: float = 1.8
    # Random spread that keeps nodes from choosing the same server in step.
    jitter: float = 0.1


_DEFAULTS = PlacementOptions()


class Placement:
    """Rank the backend servers of a service for one node.

    Args:
        zone: The node's own availability zone.
        rng: Source of the random spread.
        options: Weights.
    """

    def __init__(
        self,
        zone: str,
        rng: random.Random,
        options: PlacementOptions = _DEFAULTS,
    ) -> None:
        """Start with nothing known of any server."""
        self.zone = zone
        self._rng = rng
        self._options = options
        self._health: dict[str, tuple[int, ServerHealth]] = {}

    def __len__(self) -> int:
        """Return the number of servers that are judged."""
        return len(self._health)

    def health(self, server: Server) -> ServerHealth:
        """Return what is known of a server; a restart forgets it."""
        known = self._health.get(server.id)
        if known is None or known[0] != server.incarnation:
            known = (server.incarnation, make_health())
            self._health[server.id] = known
        return known[1]

    def keep_only(self, known: Collection[str]) -> None:
        """Drop what is known of servers that are gone.

        Args:
            known: Ids of the servers to keep.
        """
        for server_id in self._health.keys() - known:
            self._health.pop(server_id)

    def rank(
        self,
        now: float,
        servers: Iterable[Server],
        *,
        exclude: Collection[str] = (),
        zones_out: Collection[str] = (),
        cold: Collection[str] = (),
    ) -> list[Server]:
        """Return the servers that may be used, best first.

        Args:
            now: Time in seconds.
            servers: The servers of one service.
            exclude: Ids that must not be used.
            zones_out: Availability zones that get no work.
            cold: Ids of servers that are cold.
        """
        allowed = [
            server
            for server in servers
            if server.id not in exclude and server.zone not in zones_out
        ]
        # While a server can be reached, it is better to wait for its turn
        # than to try one that can't.
        reachable = [
            server for server in allowed if not self.health(server).avoided(now)
        ]
        ranked = [
            (self._cost(now, server, server.id in cold), server.id, server)
            for server in reachable or allowed
        ]
        ranked.sort()
        return [server for _, _, server in ranked]

    def _cost(self, now: float, server: Server, cold: bool) -> float:
        cost = self.health(server).cost(now, server.slots)
        if server.zone != self.zone:
            cost *= self._options.other_zone
        if cold:
            cost *= self._options.cold
        return cost * (1 + self._options.jitter * self._rng.random())
