"""Judge backend servers by their answers: latency, failures, silence."""

import dataclasses
import math

__all__ = ('HealthOptions', 'ServerHealth', 'make_health')


@dataclasses.dataclass(frozen=True, slots=True)
class HealthOptions:
    """Weights and times of the judgement; times in seconds."""

    # Weight of one observation in the moving averages.
    gain: float = 0.35
    # Time in which an observation without successors loses half its weight,
    # so that an avoided server is tried again.
    half_life_s: float = 6.0
    # First and longest time without work after a failed connection.
    avoid_s: float = 0.5
    avoid_most_s: float = 4.0
    # A server that failed all its last requests counts this much slower.
    failure_weight: float = 12.0
    # Latency ratios above this bound say nothing more.
    ratio_most: float = 20.0


_DEFAULTS = HealthOptions()


# Finer steps of the decay cost more than they change, in seconds.
STEP_S = 0.05


# Above any other cost, so that a server which can't be reached comes last.
_LAST_RESORT = 10_000


class ServerHealth:
    """What one node has seen of one backend server.

    Latencies are ratios to what the route's requests usually take, so that
    short and long searches speak for the same server.
    """

    __slots__ = (
        '_at',
        '_avoid_until',
        '_failures',
        '_options',
        '_ratio',
        '_strikes',
        'in_flight',
        'suspect_until',
    )

    def __init__(self, options: HealthOptions = _DEFAULTS) -> None:
        """Start with a sound server."""
        self._options = options
        self._at: float = 0
        self._ratio: float = 1
        self._failures: float = 0
        self._strikes = 0
        self._avoid_until: float = 0
        self.in_flight = 0
        # While a request is overdue there, new ones go elsewhere.
        self.suspect_until: float = 0

    def answered(self, now: float, ratio: float) -> None:
        """Record an answer that took ``ratio`` times the usual latency."""
        self._decay(now)
        gain = self._options.gain
        ratio = min(ratio, self._options.ratio_most)
        self._ratio += gain * (ratio - self._ratio)
        self._failures *= 1 - gain
        self._strikes = 0
        self.suspect_until = 0

    def overdue(self, now: float, ratio: float, hold_s: float) -> None:
        """Record that a request runs longer than usual."""
        self._decay(now)
        ratio = min(ratio, self._options.ratio_most)
        if ratio > self._ratio:
            self._ratio += self._options.gain * (ratio - self._ratio)
        if not hold_s:
            return
        self.suspect_until = now + hold_s

    def failed(self, now: float) -> None:
        """Record an answer that is a failure, or a rejection."""
        self._decay(now)
        self._failures += self._options.gain * (1 - self._failures)

    def lost(self, now: float) -> None:
        """Record a connection that failed, or an answer that never came."""
        self.failed(now)
        options = self._options
        pause = options.avoid_s * 2 ** min(self._strikes, 10)
        self._avoid_until = now + min(options.avoid_most_s, pause)
        self._strikes += 1

    def cost(self, now: float, slots: int) -> float:
        """Return the expected relative latency of one more request."""
        self._decay(now)
        load = 1 + (self.in_flight / max(1, slots)) ** 2
        failures = 1 + self._options.failure_weight * self._failures
        cost = self._ratio * load * failures
        if now < self._avoid_until:
            return cost + _LAST_RESORT
        if now < self.suspect_until:
            return cost + self._options.ratio_most
        return cost

    def avoided(self, now: float) -> bool:
        """Tell whether only a last resort would use the server."""
        return now < self._avoid_until

    def _decay(self, now: float) -> None:
        elapsed = now - self._at
        if elapsed <= STEP_S:
            return
        keep = math.exp2(-elapsed / self._options.half_life_s)
        self._at = now
        self._ratio = 1 + (self._ratio - 1) * keep
        self._failures *= keep


def make_health(options: HealthOptions = _DEFAULTS) -> ServerHealth:
    """Return the state of a server of which nothing is known."""
    return ServerHealth(options)
