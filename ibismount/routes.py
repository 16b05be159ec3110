"""Routes that operators configure, and how a request finds its route."""

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

    Exactly one of ``services`` and ``shards`` is filled: a request goes to
    one backend server of one of the services, or to one backend server of
    each shard. Times are in seconds.
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
        """Refuse a route that names no backend server, or two kinds."""
        if bool(self.services) == bool(self.shards):
            raise ValueError(f'route {self.name}: one of services and shards')


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Limits that hold for every backend server of a service."""

    name: str
    probe_path: str = ''
    max_connections: int = 1
    cold_s: float = 0
    # Requests per second that a cold backend server bears; 0: no limit.
    cold_rate: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_s: float = 3
    idle_s: float = 15


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the configuration, as a whole.

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
        """Return the route with the longest prefix that begins the path."""
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


def empty_route_table() -> RouteTable:
    """Return the table of a node that knows no configuration yet."""
    return RouteTable(version=0)


class TrafficSplit:
    """Spread the requests of a route by weight.

    Smooth weighted round robin keeps the shares exact over short spans; a
    random start keeps nodes from choosing the same service in step.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start without any route."""
        self._rng = rng
        self._credit: dict[tuple[str, str], float] = {}

    def keep_only(self, routes: Collection[str]) -> None:
        """Drop the state of routes that are no longer configured."""
        gone = {key for key in self._credit if key[0] not in routes}
        for key in gone:
            self._credit.pop(key)

    def choose_service(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.services) == 1:
            return route.services[0].name
        total = sum(one.weight for one in route.services) or 1
        best, best_credit = route.services[0].name, float('-inf')
        for one in route.services:
            key = (route.name, one.name)
            known = self._credit.get(key)
            if known is None:
                known = self._rng.random() * total
            credit = known + one.weight
            self._credit[key] = credit
            if one.weight > 0 and credit > best_credit:
                best, best_credit = one.name, credit
        self._credit[(route.name, best)] -= total
        return best
