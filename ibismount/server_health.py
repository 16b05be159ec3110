"""Passive health of backend servers: latency, failures and losses."""

import dataclasses
import math

__all__ = ('HealthOptions', 'ServerHealth', 'make_health')


@dataclasses.dataclass(frozen=True, slots=True)
class HealthOptions:
    """Weights and times of the health estimate; times in seconds."""

    # Weight of one observation in the exponential moving averages.
    gain: float = 0.35
    # Time in which past latencies lose half their weight, so that a server that
    # got no requests is tried again. A request to a server that is still slow
    # makes its search late.
    half_life_s: float = 6.0
    # The same for failures: a failed attempt is known at once and repeated
    # elsewhere, while a server that is avoided for long moves its work to other
    # zones.
    failure_half_life_s: float = 2.0
    # Shortest and longest ejection after a lost connection; each further loss
    # doubles it.
    ejection_s: float = 0.5
    max_ejection_s: float = 4.0
    # A server whose slots are all in use by this node counts as slower by one
    # plus this factor: more than one in another availability zone, so that
    # work moves there.
    load_weight: float = 2.0
    # A server that failed all its recent requests counts as slower by this
    # factor.
    failure_weight: float = 12.0
    # A server that answered this often in time may pause: slow observations
    # within ``pause_s`` of the first then have this share of the usual weight.
    # Servers pause for 0.2 to 0.25 s, and lasting slowness is known right after.
    normal_streak: int = 5
    pause_s: float = 0.3
    pause_gain_share: float = 0.1
    # Latency ratio above which an observation is slow.
    slow_ratio: float = 3.0
    # Higher latency ratios are cut to this bound, so that one extreme value
    # does not dominate the average.
    max_latency_ratio: float = 20.0


_DEFAULTS = HealthOptions()


# Shortest time between decays of the averages, in seconds: finer steps cost CPU
# time and hardly change the result.
MIN_DECAY_STEP_S = 0.05


# Above any other cost, so that an ejected server is ranked last.
_EJECTED_COST = 10_000


class ServerHealth:
    """Health of one backend server, as seen by one node.

    Latencies are ratios to the median of the route, so that observations of
    fast and slow routes can be averaged.
    """

    __slots__ = (
        '_consecutive_losses',
        '_decayed_at',
        '_ejected_until',
        '_failure_rate',
        '_latency_ratio',
        '_normal_streak',
        '_options',
        '_slow_since',
        'in_flight',
        'names_requests',
        'suspect_until',
    )

    def __init__(self, options: HealthOptions = _DEFAULTS) -> None:
        """Start with a healthy server."""
        self._options = options
        self._decayed_at: float = 0
        self._latency_ratio: float = 1
        self._failure_rate: float = 0
        self._consecutive_losses = 0
        self._ejected_until: float = 0
        # Answers in time since the server was last slow beyond a pause.
        self._normal_streak = 0
        # First of the slow observations since the last answer in time.
        self._slow_since: float | None = None
        self.in_flight = 0
        # Some answer of the server stated the id of its request.
        self.names_requests = False
        # Until this time, other servers are preferred, since a request is
        # overdue at this one.
        self.suspect_until: float = 0

    def record_answer(self, now: float, latency_ratio: float) -> None:
        """Record an answer that took ``latency_ratio`` times the median."""
        self._decay(now)
        if latency_ratio < self._options.slow_ratio:
            self._normal_streak += 1
            self._slow_since = None
            gain = self._options.gain
        else:
            gain = self._slow_gain(now)
        latency_ratio = min(latency_ratio, self._options.max_latency_ratio)
        self._latency_ratio += gain * (latency_ratio - self._latency_ratio)
        self._failure_rate *= 1 - self._options.gain
        self._consecutive_losses = 0
        self.suspect_until = 0

    def record_overdue(
        self, now: float, latency_ratio: float, suspect_s: float
    ) -> None:
        """Record a request that runs longer than usual.

        Args:
            now: Time in seconds.
            latency_ratio: Time since it was sent, as a multiple of the median.
            suspect_s: Time for which other servers are preferred, in seconds.
        """
        self._decay(now)
        latency_ratio = min(latency_ratio, self._options.max_latency_ratio)
        if latency_ratio > self._latency_ratio:
            self._latency_ratio += self._slow_gain(now) * (
                latency_ratio - self._latency_ratio
            )
        if not suspect_s:
            return
        self.suspect_until = now + suspect_s

    def record_failure(self, now: float) -> None:
        """Record a failure or a rejection."""
        self._decay(now)
        self._failure_rate += self._options.gain * (1 - self._failure_rate)

    def record_connection_loss(self, now: float) -> None:
        """Record a lost connection, or a server that was replaced; eject it."""
        self.record_failure(now)
        options = self._options
        ejection_s = options.ejection_s * 2 ** min(self._consecutive_losses, 10)
        self._ejected_until = now + min(options.max_ejection_s, ejection_s)
        self._consecutive_losses += 1

    def estimate_cost(self, now: float, slots: int) -> float:
        """Estimate the latency of one more request, relative to the median."""
        self._decay(now)
        used_share = self.in_flight / max(1, slots)
        load_factor = 1 + self._options.load_weight * used_share**2
        failure_factor = 1 + self._options.failure_weight * self._failure_rate
        cost = self._latency_ratio * load_factor * failure_factor
        if now < self._ejected_until:
            return cost + _EJECTED_COST
        if now < self.suspect_until:
            return cost + self._options.max_latency_ratio
        return cost

    def is_ejected(self, now: float) -> bool:
        """Return whether the server is used only if all others are ejected."""
        return now < self._ejected_until

    def _slow_gain(self, now: float) -> float:
        """Return the weight of a slow observation."""
        options = self._options
        if self._slow_since is None:
            self._slow_since = now
        elif now - self._slow_since > options.pause_s:
            self._normal_streak = 0
        if self._normal_streak < options.normal_streak:
            return options.gain
        return options.gain * options.pause_gain_share

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._decayed_at
        if elapsed_s <= MIN_DECAY_STEP_S:
            return
        options = self._options
        kept_share = math.exp2(-elapsed_s / options.half_life_s)
        self._decayed_at = now
        self._latency_ratio = 1 + (self._latency_ratio - 1) * kept_share
        self._failure_rate *= math.exp2(
            -elapsed_s / options.failure_half_life_s
        )


def make_health(options: HealthOptions = _DEFAULTS) -> ServerHealth:
    """Return the health of a server without observations."""
    return ServerHealth(options)
