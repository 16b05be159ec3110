"""A short run of the fault soak; seeds that ever failed stay here."""

import asyncio

import pytest

from standins.soak import soak


@pytest.mark.parametrize('seed', [1, 2])
def test_promises_hold_under_random_faults(seed):
    """Faults in series and overlapping must not break a promise to callers."""
    assert asyncio.run(asyncio.wait_for(soak(seed, 4), 60)) == []
