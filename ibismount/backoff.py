"""Pause between calls that fail one after the other."""

import random

__all__ = ('backoff_s',)

# Bounds the exponent, so that endless failures do not overflow.
_MAX_DOUBLINGS = 10


def backoff_s(
    failures: int, *, initial_s: float, max_s: float, rng: random.Random
) -> float:
    """Return the pause after a failed call, in seconds.

    It doubles with each failure up to ``max_s``, and is spread by a quarter in
    both directions.

    Args:
        failures: Number of failures since the last success, at least 1.
        initial_s: Pause after the first failure.
        max_s: Longest pause before it is spread.
        rng: Source of randomness.

    Example::

        backoff_s(3, initial_s=0.2, max_s=2.0, rng=rng)  # 0.6 to 1.0
    """
    pause_s = initial_s * 2 ** min(failures - 1, _MAX_DOUBLINGS)
    return min(pause_s, max_s) * (0.75 + 0.5 * rng.random())
