"""The target of a route counts from the caller's first attempt."""

import pytest

from ibismount.caller_elapsed import CallerElapsed
from tests.edge_fakes import LOOKUP, SEARCH, DispatchHarness
from tests.virtual_time import run_on_virtual_time


def make_elapsed(*deadlines_s, route=SEARCH):
    elapsed = CallerElapsed()
    for deadline_s in deadlines_s:
        elapsed.record(route, deadline_s)
    return elapsed


def test_missing_time_is_what_the_caller_has_waited():
    """Look-up and connection took 15 ms, and partial answers came late."""
    elapsed = make_elapsed(*[0.8, 0.785, 0.793] * 20)
    assert elapsed.record(SEARCH, 0.785) == pytest.approx(0.015)
    assert elapsed.record(SEARCH, 0.8) == 0


def test_few_callers_with_long_deadlines_do_not_shift_the_others():
    """One in 25 callers may wait longer; the others have not waited at all."""
    elapsed = make_elapsed(*[0.8] * 24 + [4.0], *[0.8] * 24 + [4.0])
    assert elapsed.record(SEARCH, 0.8) == 0


def test_first_requests_of_a_route_get_no_estimate():
    """A single request says nothing about the usual deadline."""
    elapsed = make_elapsed(4.0, 0.8, 0.8)
    assert elapsed.record(SEARCH, 0.5) == 0


def test_routes_are_independent_and_can_be_dropped():
    """Routes have different deadlines, and versions drop some of them."""
    elapsed = make_elapsed(*[0.8] * 20)
    assert elapsed.record(LOOKUP, 0.4) == 0
    elapsed.keep_only({LOOKUP.name})
    assert elapsed.record(SEARCH, 0.4) == 0


@pytest.mark.parametrize('waited_ms', [0, 15, 60])
def test_partial_answer_is_in_time_for_a_caller_that_has_waited(waited_ms):
    """A silent shard makes the answer wait until just before the target."""

    async def main():
        harness = DispatchHarness()
        for _ in range(20):
            await harness.submit_and_wait()
        for server in harness.servers_of('s3'):
            server.choose_reply = lambda exchange: 'nothing'
        outcome, elapsed_s = await harness.submit_and_wait(
            deadline_ms=800 - waited_ms
        )
        assert outcome.missing == 1
        assert elapsed_s + waited_ms / 1000 < SEARCH.target_s

    run_on_virtual_time(main)


def test_late_answer_is_complete_rather_than_early():
    """A caller whose target has passed gains nothing from missing shards."""

    async def main():
        harness = DispatchHarness()
        for _ in range(60):
            await harness.submit_and_wait()
        for server in harness.servers_of('s3'):
            server.work_s = 0.05
        outcome, _ = await harness.submit_and_wait(deadline_ms=610)
        assert outcome.missing == 0

    run_on_virtual_time(main)
