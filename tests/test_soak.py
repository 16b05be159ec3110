"""A short run of the fault soak; seeds that ever failed stay here."""

import asyncio

import httpx
import pytest

from standins.edge_fleet import SHARDS
from standins.shard_server import ShardServer
from standins.soak import ColdSpan, Sent, Soak, soak


@pytest.mark.parametrize('seed', [1, 2])
def test_promises_hold_under_random_faults(seed):
    """Faults in series and overlapping must not break a promise to callers."""
    assert asyncio.run(asyncio.wait_for(soak(seed, 4), 60)) == []


class Fleet:
    """Says how often each request ran."""

    def __init__(self, runs):
        self.runs = runs.get


def answer(name, *, stamps, missing=0, content=None):
    records = sorted(
        (f'{one.split("-")[0]}:{name}'[:16].ljust(16, '.') for one in stamps),
        reverse=True,
    )
    return httpx.Response(
        200,
        headers={
            'ibismount-part-stamps': ', '.join(stamps),
            'ibismount-missing-parts': str(missing),
        },
        content=content or ''.join(records[:3]).encode(),
    )


GOOD = [f'{shard}-z0.q1' for shard in SHARDS]


def test_good_answer_has_no_finding():
    """A check that always fails would hide the others."""
    run = Soak(Fleet({}), 1)
    run._check_answer('q1', answer('q1', stamps=GOOD), booking=False)
    run._check_answer(
        'q1', answer('q1', stamps=GOOD[:3], missing=1), booking=False
    )
    assert run.findings == []


@pytest.mark.parametrize(
    'wrong',
    [
        answer('q1', stamps=[*GOOD[:3], 's3-z0.q2']),
        answer('q1', stamps=[*GOOD[:3], 's2-z1.q1']),
        answer('q1', stamps=GOOD[:3]),
        answer('q1', stamps=GOOD[:2], missing=2),
        answer('q1', stamps=GOOD, content=b'r' * 48),
    ],
)
def test_wrong_answer_is_found(wrong):
    """The soak must see each kind of wrong answer."""
    run = Soak(Fleet({}), 1)
    run._check_answer('q1', wrong, booking=False)
    assert run.findings


def test_doubled_and_falsely_refused_bookings_are_found():
    """The soak compares what callers heard with what servers ran."""
    run = Soak(Fleet({'q1': 2, 'q2': 1, 'q3': 1}), 1)
    run.sent = [
        Sent('q1', booking=True, status=200),
        Sent('q2', booking=True, status=503),
        Sent('q3', booking=True, status=200),
    ]
    run._check_runs()
    assert len(run.findings) == 2


def test_cold_server_that_got_too_much_is_found():
    """A server that starts falls over well above the rate that it bears."""
    run = Soak(Fleet({}), 1)
    server = ShardServer('s0-z0', 's0')
    server.arrived = [1 + one / 20 for one in range(14)]
    run._check_cold(ColdSpan(server, 0, 3))
    assert run.findings == []
    server.arrived = [1 + one / 20 for one in range(20)]
    run._check_cold(ColdSpan(server, 0, 3))
    assert len(run.findings) == 1
