"""Choose the backend server that gets a request or a part of one."""

import dataclasses
import random
from collections.abc import Collection, Iterable

from ibismount.server_health import ServerHealth, make_health
from ibismount.server_table import Server

__all__ = ('Placement', 'PlacementOptions')


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementOptions:
    """Weights of the ranking."""

    # A server in another availability zone must have an expected latency that is
    # lower by this factor, because traffic between zones is billed. The latency
    # of single requests varies by about a third, so a small factor lets chance
    # decide; a server that is slow or full costs more than this.
    other_zone_factor: float = 1.5
    # A cold server is slower by about this factor.
    cold_factor: float = 1.8
    # Random spread of the cost, so that nodes do not all choose the same server.
    jitter: float = 0.1


_DEFAULTS = PlacementOptions()


class Placement:
    """Rank the backend servers of a service for one node.

    Args:
        zone: The node's own availability zone.
        rng: Source of the random spread.
        options: Weights of the ranking.
    """

    def __init__(
        self,
        zone: str,
        rng: random.Random,
        options: PlacementOptions = _DEFAULTS,
    ) -> None:
        """Start without observations."""
        self.zone = zone
        self._rng = rng
        self._options = options
        self._health: dict[str, tuple[int, ServerHealth]] = {}

    def __len__(self) -> int:
        """Return the number of servers with health data."""
        return len(self._health)

    def health(self, server: Server) -> ServerHealth:
        """Return the health of a server; it starts anew after a restart."""
        entry = self._health.get(server.id)
        if entry is None or entry[0] != server.incarnation:
            entry = (server.incarnation, make_health())
            self._health[server.id] = entry
        return entry[1]

    def keep_only(self, server_ids: Collection[str]) -> None:
        """Drop the health of removed servers.

        Args:
            server_ids: Ids of the servers to keep.
        """
        for server_id in self._health.keys() - server_ids:
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
            zones_out: Availability zones that are out of service.
            cold: Ids of servers that are cold.
        """
        allowed = [
            server
            for server in servers
            if server.id not in exclude and server.zone not in zones_out
        ]
        # Waiting for a server that can be reached is better than trying an
        # ejected one.
        reachable = [
            server
            for server in allowed
            if not self.health(server).is_ejected(now)
        ]
        ranked = [
            (self._cost(now, server, server.id in cold), server.id, server)
            for server in reachable or allowed
        ]
        ranked.sort()
        return [server for _, _, server in ranked]

    def _cost(self, now: float, server: Server, cold: bool) -> float:
        cost = self.health(server).estimate_cost(now, server.slots)
        if server.zone != self.zone:
            cost *= self._options.other_zone_factor
        if cold:
            cost *= self._options.cold_factor
        return cost * (1 + self._options.jitter * self._rng.random())
