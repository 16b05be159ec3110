"""Configured routes: matching requests, and splitting them by weight."""

import dataclasses
import random
from collections.abc import Collection, Mapping

__all__ = (
    'CallerLimits',
    'Route',
    'RouteTable',
    'Service',
    'WeightedService',
    'empty_route_table',
)


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a route, with its share of the requests."""

    name: str
    weight: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How requests under one host and path prefix are served.

    Exactly one of ``services`` and ``shards`` is set. A request goes to one
    backend server of one of the services, or to one backend server of each
    shard. ``least_share`` is the least share of the shards that an answer
    needs. Times are in seconds.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    target_s: float
    priority: int = 0
    # Most backend servers that may run one request, for each shard.
    max_runs: int = 1
    services: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    top_k: int = 0
    least_share: float = 1

    def __post_init__(self) -> None:
        """Check that exactly one of services and shards is set.

        Raises:
            ValueError: Neither or both are set.
        """
        if bool(self.services) == bool(self.shards):
            raise ValueError(
                f'route {self.name}: set exactly one of services and shards'
            )


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Settings of every backend server of a service; times in seconds."""

    name: str
    probe_path: str = ''
    max_connections: int = 1
    cold_s: float = 0
    # Most requests per second for a cold backend server; 0: no limit.
    cold_rate: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of a request, and on slow or idle callers."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_s: float = 3
    idle_s: float = 15


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """One complete version of the configuration.

    Example::

        table = empty_route_table()
        assert table.match('search.example', '/jobs/7') is None
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, Service] = dataclasses.field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    # Routes of each host, longest prefix first.
    by_host: dict[str, list[Route]] = dataclasses.field(
        init=False, repr=False, compare=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        """Index the routes by host."""
        for route in self.routes:
            self.by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self.by_host.values():
            routes.sort(key=_prefix_length, reverse=True)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, if any."""
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


def empty_route_table() -> RouteTable:
    """Return the table of a node that has no configuration yet."""
    return RouteTable(version=0)


class TrafficSplit:
    """Split the requests of a route among its services by weight.

    Smooth weighted round robin keeps the shares exact over short spans. It
    starts at random, so that nodes don't choose the same service at the same
    time.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start without routes."""
        self._rng = rng
        self._credit: dict[tuple[str, str], float] = {}

    def keep_only(self, routes: Collection[str]) -> None:
        """Drop the state of routes that are no longer configured."""
        stale = {key for key in self._credit if key[0] not in routes}
        for key in stale:
            self._credit.pop(key)

    def choose_service(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.services) == 1:
            return route.services[0].name
        total = sum(service.weight for service in route.services) or 1
        best, best_credit = route.services[0].name, float('-inf')
        for service in route.services:
            key = (route.name, service.name)
            previous = self._credit.get(key)
            if previous is None:
                previous = self._rng.random() * total
            credit = previous + service.weight
            self._credit[key] = credit
            if service.weight > 0 and credit > best_credit:
                best, best_credit = service.name, credit
        self._credit[(route.name, best)] -= total
        return best
