"""Latency estimates and hedge delays of the parts of each route."""

import dataclasses
from collections.abc import Collection

from ibismount.hedging import LatencyEstimator
from ibismount.routes import Route

__all__ = ('LatencyOptions', 'RouteLatency')

# A part later than nearly all others is probably at a slow server.
_HEDGE_QUANTILE = 0.95
_MEDIAN_QUANTILE = 0.5
# A part that is sent with this much time left is nearly always in time.
_P90_QUANTILE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class LatencyOptions:
    """Initial values and bounds of the estimates."""

    # Shares of the route's target that stand for the median, the hedge delay
    # and the 90th percentile while there are too few observations.
    initial_median_share: float = 0.2
    initial_hedge_share: float = 0.4
    initial_p90_share: float = 0.3
    # Bounds of the hedge delay: multiples of the median, and the share of the
    # target after which a hedge would come too late. The upper multiple limits
    # the delay when many servers are slow and raise the 95th percentile.
    min_hedge_ratio: float = 1.4
    max_hedge_ratio: float = 2.3
    max_hedge_target_share: float = 0.6


_DEFAULTS = LatencyOptions()


class RouteLatency:
    """Estimate latencies of parts for each route.

    Args:
        options: Initial values and bounds.
    """

    def __init__(self, options: LatencyOptions = _DEFAULTS) -> None:
        """Start without observations."""
        self._options = options
        self._estimators: dict[str, LatencyEstimator] = {}

    def __len__(self) -> int:
        """Return the number of routes with an estimate."""
        return len(self._estimators)

    def keep_only(self, routes: Collection[str]) -> None:
        """Drop the estimates of routes that are no longer configured."""
        for name in self._estimators.keys() - routes:
            self._estimators.pop(name)

    def record(self, now: float, route: Route, latency_s: float) -> None:
        """Add the latency of an answered part."""
        self._estimator(route).record(now, latency_s)

    def median_s(self, now: float, route: Route) -> float:
        """Return the median latency, in seconds."""
        median_s = self._estimator(route).quantile(now, _MEDIAN_QUANTILE)
        return median_s or route.target_s * self._options.initial_median_share

    def p90_s(self, now: float, route: Route) -> float:
        """Return the latency that 90 % of the parts stay below, in seconds."""
        p90_s = self._estimator(route).quantile(now, _P90_QUANTILE)
        return p90_s or route.target_s * self._options.initial_p90_share

    def hedge_delay_s(self, now: float, route: Route) -> float:
        """Return the delay in seconds after which a part is hedged."""
        options = self._options
        p95_s = self._estimator(route).quantile(now, _HEDGE_QUANTILE)
        if p95_s is None:
            return route.target_s * options.initial_hedge_share
        median_s = self.median_s(now, route)
        max_s = min(
            route.target_s * options.max_hedge_target_share,
            median_s * options.max_hedge_ratio,
        )
        return min(max(p95_s, median_s * options.min_hedge_ratio), max_s)

    def _estimator(self, route: Route) -> LatencyEstimator:
        estimator = self._estimators.get(route.name)
        if estimator is None:
            estimator = LatencyEstimator()
            self._estimators[route.name] = estimator
        return estimator
