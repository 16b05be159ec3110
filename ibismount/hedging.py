"""Budget of extra sub-requests and latency estimate for hedging."""

import bisect
import math

__all__ = ('ExtraLoadBudget', 'LatencyEstimator')


class ExtraLoadBudget:
    """Bound extra sub-requests to a fraction of first attempts.

    A token bucket that is filled by first attempts instead of time, so that
    the extra load falls with the load.

    Args:
        fraction: Tokens that a first attempt adds.
        burst: Maximum number of tokens.
        initial_tokens: Initial number of tokens.
    """

    def __init__(
        self,
        *,
        fraction: float = 0.05,
        burst: float = 50,
        initial_tokens: float = 0,
    ) -> None:
        """Start with the given tokens."""
        self._fraction = fraction
        self._burst = burst
        self._tokens = initial_tokens

    def earn(self, first_attempts: int) -> None:
        """Add tokens for first attempts that were sent."""
        self._tokens = min(
            self._burst, self._tokens + first_attempts * self._fraction
        )

    def spend(self, *, reserved_tokens: float = 0) -> bool:
        """Take one token unless fewer than ``reserved_tokens`` remain.

        Returns:
            Whether a token was taken.
        """
        if self._tokens < 1 + reserved_tokens:
            return False
        self._tokens -= 1
        return True

    def refund(self) -> None:
        """Return the token of a sub-request that no server ran."""
        self._tokens += 1


_GROWTH = 1.05  # ratio of bucket bounds: quantiles are at most 5 % too high
_MIN_BOUND_S = 0.0001
_MAX_BOUND_S = 20
_BOUNDS_S = [
    _MIN_BOUND_S * _GROWTH**power
    for power in range(
        math.ceil(math.log(_MAX_BOUND_S / _MIN_BOUND_S, _GROWTH)) + 1
    )
]


class LatencyEstimator:
    """Estimate latency quantiles over a sliding window.

    Each slice of the window has a histogram with logarithmic buckets, as in
    HDR histograms; the oldest slice is dropped as a whole.

    Args:
        window_s: Length of the window in seconds.
        slices: Number of histograms that the window consists of.
        min_observations: Minimum number of observations for an estimate.
    """

    def __init__(
        self,
        *,
        window_s: float = 10,
        slices: int = 5,
        min_observations: int = 50,
    ) -> None:
        """Start without observations."""
        self._slice_s = window_s / slices
        self._min_observations = min_observations
        self._counts = [[0] * (len(_BOUNDS_S) + 1) for _ in range(slices)]
        self._totals = [0] * slices
        self._epochs = [-1] * slices
        # Quantile of each fraction, with the time until which it is valid.
        self._cached_quantiles: dict[float, tuple[float, float | None]] = {}

    def record(self, now: float, latency_s: float) -> None:
        """Add one observation."""
        epoch = int(now / self._slice_s)
        slot = epoch % len(self._counts)
        if self._epochs[slot] != epoch:
            self._counts[slot] = [0] * (len(_BOUNDS_S) + 1)
            self._totals[slot] = 0
            self._epochs[slot] = epoch
        bucket = bisect.bisect_left(_BOUNDS_S, latency_s)
        self._counts[slot][bucket] += 1
        self._totals[slot] += 1

    def quantile(self, now: float, fraction: float) -> float | None:
        """Return the latency in seconds that this fraction stays below.

        Returns:
            The upper bound of the bucket, or None while there are too few
            observations.
        """
        valid_until, quantile_s = self._cached_quantiles.get(
            fraction, (-1, None)
        )
        if now < valid_until:
            return quantile_s
        quantile_s = self._compute_quantile(now, fraction)
        # Computing the sum once in a tenth of a slice, not at each request, is
        # fresh enough.
        self._cached_quantiles[fraction] = (
            now + self._slice_s / 10,
            quantile_s,
        )
        return quantile_s

    def _compute_quantile(self, now: float, fraction: float) -> float | None:
        oldest = int(now / self._slice_s) - len(self._counts) + 1
        slots = [
            slot for slot, epoch in enumerate(self._epochs) if epoch >= oldest
        ]
        total = sum(self._totals[slot] for slot in slots)
        if total < self._min_observations:
            return None
        target_rank = total * fraction
        cumulative = 0
        for bucket, bound in enumerate(_BOUNDS_S):
            cumulative += sum(self._counts[slot][bucket] for slot in slots)
            if cumulative >= target_rank:
                return bound
        return _BOUNDS_S[-1]
