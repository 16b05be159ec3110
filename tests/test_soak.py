"""Short runs of the fault soak; seeds that failed once are kept."""

import asyncio

import httpx
import pytest

from standins.edge_fleet import SHARDS
from standins.shard_server import ShardServer
from standins.soak import ServerPeriod, SentRequest, SoakRun, run_seed


@pytest.mark.parametrize('seed', [1, 2])
def test_answers_are_correct_under_random_faults(seed):
    """Consecutive and overlapping faults must not cause a wrong answer."""
    assert asyncio.run(asyncio.wait_for(run_seed(seed, 4), 60)) == []


class FakeFleet:
    """Fleet with given run counts by request id."""

    def __init__(self, runs):
        self.count_runs = runs.get


def make_response(request_id, *, stamps, missing=0, content=None):
    records = sorted(
        (
            f'{stamp.split("-")[0]}:{request_id}'[:16].ljust(16, '.')
            for stamp in stamps
        ),
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


COMPLETE_STAMPS = [f'{shard}-z0.q1' for shard in SHARDS]


def test_correct_answer_has_no_finding():
    """Guards against a check that reports correct answers as wrong."""
    run = SoakRun(FakeFleet({}), 1)
    run._check_answer(
        'q1', make_response('q1', stamps=COMPLETE_STAMPS), booking=False
    )
    run._check_answer(
        'q1',
        make_response('q1', stamps=COMPLETE_STAMPS[:3], missing=1),
        booking=False,
    )
    assert run.findings == []


@pytest.mark.parametrize(
    'wrong_response',
    [
        make_response('q1', stamps=[*COMPLETE_STAMPS[:3], 's3-z0.q2']),
        make_response('q1', stamps=[*COMPLETE_STAMPS[:3], 's2-z1.q1']),
        make_response('q1', stamps=COMPLETE_STAMPS[:3]),
        make_response('q1', stamps=COMPLETE_STAMPS[:2], missing=2),
        make_response('q1', stamps=COMPLETE_STAMPS, content=b'r' * 48),
    ],
)
def test_wrong_answer_is_found(wrong_response):
    """Guards against a check that misses a kind of wrong answer."""
    run = SoakRun(FakeFleet({}), 1)
    run._check_answer('q1', wrong_response, booking=False)
    assert run.findings


def test_doubled_and_falsely_refused_bookings_are_found():
    """A booking that ran twice, or ran despite its refusal, is reported."""
    run = SoakRun(FakeFleet({'q1': 2, 'q2': 1, 'q3': 1}), 1)
    run.sent = [
        SentRequest('q1', booking=True, status=200),
        SentRequest('q2', booking=True, status=503),
        SentRequest('q3', booking=True, status=200),
    ]
    run._check_runs()
    assert len(run.findings) == 2


def test_cold_server_over_its_rate_is_found():
    """Too many requests in one second crash a cold server."""
    run = SoakRun(FakeFleet({}), 1)
    server = ShardServer('s0-z0', 's0')
    server.arrival_times_s = [1 + number / 20 for number in range(14)]
    run._check_cold_rate(ServerPeriod(server, 0, 3))
    assert run.findings == []
    server.arrival_times_s = [1 + number / 20 for number in range(20)]
    run._check_cold_rate(ServerPeriod(server, 0, 3))
    assert len(run.findings) == 1


def test_request_to_a_server_that_has_left_is_found():
    """A restarted node that uses an old view sends to such a server."""
    run = SoakRun(FakeFleet({}), 1)
    server = ShardServer('s0-z0', 's0')
    server.arrival_times_s = [0.5, 4]
    run._check_removed(ServerPeriod(server, 1, 3))
    assert run.findings == []
    server.arrival_times_s.append(2)
    run._check_removed(ServerPeriod(server, 1, 3))
    assert len(run.findings) == 1


def test_request_that_a_planned_stop_cut_off_is_found():
    """A request that had run must be answered before the node ends."""
    run = SoakRun(FakeFleet({'q1': 1, 'q2': 0}), 1)
    run.sent = [
        SentRequest('q1', booking=False, status=0, cut_by_stop=True),
        SentRequest('q2', booking=False, status=0, cut_by_stop=True),
        *(SentRequest('q2', booking=False, status=200) for _ in range(3)),
    ]
    run._check_runs()
    assert run.findings == ['q1: cut off by a planned stop']
