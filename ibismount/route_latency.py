"""How long the requests of a route usually take, and when to hedge them."""

import dataclasses
from collections.abc import Collection

from ibismount.hedging import LatencyEstimate
from ibismount.routes import Route

__all__ = ('LatencyOptions', 'RouteLatency')

# A request later than nearly all others is probably at a slow server.
_HEDGE_QUANTILE = 0.95
_USUAL_QUANTILE = 0.5
# Nearly all requests that start in time by this latency are served in time.
_LONG_QUANTILE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class LatencyOptions:
    """Bounds of the estimates."""

    # Shares of the target taken as the usual latency, the hedge delay and the
    # long latency while there are too few observations.
    first_usual_share: float = 0.2
    first_hedge_share: float = 0.4
    first_long_share: float = 0.3
    # Bounds of the hedge delay: multiples of the usual latency, and the share
    # of the target after which a hedge would come too late. The upper multiple
    # holds when many servers are slow and shift the quantile.
    hedge_least: float = 1.4
    hedge_most: float = 2.3
    hedge_most_share: float = 0.6


_DEFAULTS = LatencyOptions()


class RouteLatency:
    """Estimate latencies of parts for each route.

    Args:
        options: Bounds.
    """

    def __init__(self, options: LatencyOptions = _DEFAULTS) -> None:
        """Start without observations."""
        self._options = options
        self._estimates: dict[str, LatencyEstimate] = {}

    def __len__(self) -> int:
        """Return the number of routes with an estimate."""
        return len(self._estimates)

    def keep_only(self, routes: Collection[str]) -> None:
        """Drop the estimates of routes that are no longer configured."""
        for name in self._estimates.keys() - routes:
            self._estimates.pop(name)

    def record(self, now: float, route: Route, latency_s: float) -> None:
        """Add the latency of an answered part."""
        self._estimate(route).record(now, latency_s)

    def usual_s(self, now: float, route: Route) -> float:
        """Return the latency that half of the parts stay below."""
        usual_s = self._estimate(route).quantile(now, _USUAL_QUANTILE)
        return usual_s or route.target_s * self._options.first_usual_share

    def long_s(self, now: float, route: Route) -> float:
        """Return the latency that nine in ten parts stay below."""
        long_s = self._estimate(route).quantile(now, _LONG_QUANTILE)
        return long_s or route.target_s * self._options.first_long_share

    def hedge_s(self, now: float, route: Route) -> float:
        """Return the delay after which a part is sent a second time."""
        options = self._options
        late_s = self._estimate(route).quantile(now, _HEDGE_QUANTILE)
        if late_s is None:
            return route.target_s * options.first_hedge_share
        usual_s = self.usual_s(now, route)
        most_s = min(
            route.target_s * options.hedge_most_share,
            usual_s * options.hedge_most,
        )
        return min(max(late_s, usual_s * options.hedge_least), most_s)

    def _estimate(self, route: Route) -> LatencyEstimate:
        known = self._estimates.get(route.name)
        if known is None:
            known = LatencyEstimate()
            self._estimates[route.name] = known
        return known
