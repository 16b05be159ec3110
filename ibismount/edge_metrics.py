"""Counters and histograms of one edge node, in the text format of Prometheus.

Counting costs a dictionary update. The first scrape loads the library that
renders the text, so a node that is not scraped uses no memory for it.
"""

import bisect
import collections
from collections.abc import Callable

from ibismount.zone_traffic import ZoneTraffic

__all__ = ('LATENCY_BOUNDS_S', 'EdgeMetrics')

# Upper bounds of the latency histogram in seconds; the targets of the routes
# lie between 0.07 and 0.65.
LATENCY_BOUNDS_S = (
    0.005,
    0.01,
    0.02,
    0.04,
    0.06,
    0.08,
    0.1,
    0.15,
    0.2,
    0.3,
    0.5,
    0.8,
    1.5,
    4,
)


class EdgeMetrics:
    """Count requests and attempts, and export gauges.

    Args:
        gauges: Returns current values by name, read at each scrape.
        traffic: Bytes exchanged with servers and other nodes.
    """

    def __init__(
        self, gauges: Callable[[], dict[str, float]], traffic: ZoneTraffic
    ) -> None:
        """Start at zero."""
        self._gauges = [gauges]
        self._traffic = traffic
        self._requests: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._attempts: collections.Counter[str] = collections.Counter()
        self._buckets = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self._latency_sum_s: float = 0
        self.missing_parts = 0

    def add_gauges(self, gauges: Callable[[], dict[str, float]]) -> None:
        """Export further gauges; read at each scrape."""
        self._gauges.append(gauges)

    def record_request(self, outcome: str, code: str, latency_s: float) -> None:
        """Count a request by its outcome and error code."""
        self._requests[(outcome, code)] += 1
        self._buckets[bisect.bisect_left(LATENCY_BOUNDS_S, latency_s)] += 1
        self._latency_sum_s += latency_s

    def record_attempt(self, end: str) -> None:
        """Count an attempt at a backend server by how it ended."""
        self._attempts[end] += 1

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        # Imported here, since it takes about five megabytes of memory.
        from prometheus_client import (  # noqa: WPS433
            CollectorRegistry,
            generate_latest,
        )

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def collect(self):
        """Yield the metric families; called by the registry."""
        from prometheus_client import core  # noqa: WPS433

        requests = core.CounterMetricFamily(
            'ibismount_requests',
            'Requests of callers, by outcome and cause.',
            labels=('outcome', 'code'),
        )
        for (outcome, code), count in self._requests.items():
            requests.add_metric((outcome, code), count)
        yield requests
        attempts = core.CounterMetricFamily(
            'ibismount_attempts',
            'Attempts at backend servers, by how they ended.',
            labels=('end',),
        )
        for end, count in self._attempts.items():
            attempts.add_metric((end,), count)
        yield attempts
        yield core.CounterMetricFamily(
            'ibismount_missing_parts',
            'Shards that answered searches left out.',
            value=self.missing_parts,
        )
        traffic = core.CounterMetricFamily(
            'ibismount_traffic_bytes',
            'Bytes exchanged, by cause and zone of the other side.',
            labels=('cause', 'zone'),
        )
        for labels, size in self._traffic.bytes_by_cause().items():
            traffic.add_metric(labels, size)
        yield traffic
        yield self._latency_family(core)
        for gauges in self._gauges:
            for name, gauge_value in gauges().items():
                yield core.GaugeMetricFamily(
                    f'ibismount_{name}', 'Current value.', value=gauge_value
                )

    def _latency_family(self, core):
        buckets = []
        total = 0
        for bound, count in zip(
            (*LATENCY_BOUNDS_S, '+Inf'), self._buckets, strict=True
        ):
            total += count
            buckets.append((str(bound), total))
        return core.HistogramMetricFamily(
            'ibismount_request_seconds',
            'Time from the receipt of a request to its outcome.',
            buckets=buckets,
            sum_value=self._latency_sum_s,
        )
