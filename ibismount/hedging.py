"""Decide when a late sub-request is sent a second time."""

import bisect
import math

__all__ = ('ExtraLoadBudget', 'LatencyEstimate')


class ExtraLoadBudget:
    """Bound extra sub-requests to a fraction of first attempts.

    A token bucket that is filled by first attempts instead of time, so that
    the extra load falls with the load.

    Args:
        fraction: Extra sub-requests per first attempt.
        burst: Most tokens that are saved up.
        start: Tokens before anything was sent.
    """

    def __init__(
        self, *, fraction: float = 0.05, burst: float = 50, start: float = 0
    ) -> None:
        """Start with the given tokens."""
        self._fraction = fraction
        self._burst = burst
        self._tokens = start

    def resize(self, burst: float) -> None:
        """Change how many tokens are saved up; what is beyond is lost."""
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def earn(self, first_attempts: int) -> None:
        """Add tokens for first attempts that were sent."""
        self._tokens = min(
            self._burst, self._tokens + first_attempts * self._fraction
        )

    def add(self, tokens: float) -> None:
        """Add tokens that came with time."""
        self._tokens = min(self._burst, self._tokens + tokens)

    def spend(self, *, keep: float = 0) -> bool:
        """Take one token; return False when only ``keep`` are left."""
        if self._tokens < 1 + keep:
            return False
        self._tokens -= 1
        return True

    def refund(self) -> None:
        """Give a token back for a sub-request that no server ran."""
        self._tokens += 1


_GROWTH = 1.05  # quantiles are at most 5 % too high
_LOWEST_S = 0.0001
_HIGHEST_S = 20
_BOUNDS = [
    _LOWEST_S * _GROWTH**power
    for power in range(math.ceil(math.log(_HIGHEST_S / _LOWEST_S, _GROWTH)) + 1)
]


class LatencyEstimate:
    """Estimate latency quantiles over a sliding window.

    Counts fall into logarithmic buckets, as in HDR histograms, one histogram
    for each slice of the window; the oldest slice is dropped as a whole.

    Args:
        window_s: Length of the window in seconds.
        slices: Number of histograms that the window consists of.
        least: Observations below which there is no estimate.
    """

    def __init__(
        self, *, window_s: float = 10, slices: int = 5, least: int = 50
    ) -> None:
        """Start without observations."""
        self._slice_s = window_s / slices
        self._least = least
        self._counts = [[0] * (len(_BOUNDS) + 1) for _ in range(slices)]
        self._totals = [0] * slices
        self._epochs = [-1] * slices
        # Each fraction with the time until which its quantile is kept.
        self._cached: dict[float, tuple[float, float | None]] = {}

    def record(self, now: float, latency_s: float) -> None:
        """Add one observation."""
        epoch = int(now / self._slice_s)
        slot = epoch % len(self._counts)
        if self._epochs[slot] != epoch:
            self._counts[slot] = [0] * (len(_BOUNDS) + 1)
            self._totals[slot] = 0
            self._epochs[slot] = epoch
        bucket = bisect.bisect_left(_BOUNDS, latency_s)
        self._counts[slot][bucket] += 1
        self._totals[slot] += 1

    def quantile(self, now: float, fraction: float) -> float | None:
        """Return the latency in seconds that this fraction stays below.

        Returns:
            The upper bound of the bucket, or None while there are too few
            observations.
        """
        until, found = self._cached.get(fraction, (-1, None))
        if now < until:
            return found
        found = self._compute(now, fraction)
        # A tenth of a slice is fresh enough and saves the sum per request.
        self._cached[fraction] = (now + self._slice_s / 10, found)
        return found

    def _compute(self, now: float, fraction: float) -> float | None:
        oldest = int(now / self._slice_s) - len(self._counts) + 1
        slots = [
            slot for slot, epoch in enumerate(self._epochs) if epoch >= oldest
        ]
        total = sum(self._totals[slot] for slot in slots)
        if total < self._least:
            return None
        wanted = total * fraction
        seen = 0
        for bucket, bound in enumerate(_BOUNDS):
            seen += sum(self._counts[slot][bucket] for slot in slots)
            if seen >= wanted:
                return bound
        return _BOUNDS[-1]
