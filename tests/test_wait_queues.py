"""Requests without a free server: order, bounded wait, early rejection."""

import asyncio
import dataclasses

from ibismount.errors import ErrorCode
from ibismount.routes import RouteTable
from ibismount.wait_queues import WaitQueues, estimate_wait_s
from ibismount.wire_format import OutcomeKind
from tests.edge_fakes import LOOKUP, DispatchHarness
from tests.virtual_time import run_on_virtual_time

WORK_S = 0.15


def test_urgent_routes_are_first_then_first_in_first_out():
    """Guards against service in an arbitrary order, as polling for servers gave."""
    wait_queues = WaitQueues()
    first = wait_queues.enqueue('desk', 2, print)
    second = wait_queues.enqueue('desk', 2, print)
    urgent = wait_queues.enqueue('desk', 0, print)
    served = []
    while wait_queues.peek('desk'):
        served.append(wait_queues.peek('desk'))
        wait_queues.remove(served[-1])
    assert served == [urgent, first, second]
    assert len(wait_queues) == 0


def test_less_urgent_waiters_are_not_counted_ahead():
    """A queue of less urgent requests must not cause an urgent rejection."""
    wait_queues = WaitQueues()
    for _ in range(5):
        wait_queues.enqueue('desk', 3, print)
    assert wait_queues.count_ahead('desk', 3) == 5
    assert wait_queues.count_ahead('desk', 1) == 0
    assert wait_queues.count_ahead('other', 3) == 0


def test_estimated_wait_grows_with_the_queue():
    """Four servers that take 0.1 s each serve forty requests in a second."""
    assert estimate_wait_s(0, 4, 0.1) == 0.025
    assert estimate_wait_s(39, 4, 0.1) == 1.0
    assert estimate_wait_s(1, 0, 0.1) == 0.2


def lookup_harness():
    """Return a harness whose lookups take 0.15 s, 18 of them at a time."""
    harness = DispatchHarness()
    for server in harness.servers_of('lookup'):
        server.work_s = WORK_S
    return harness


async def submit_at_rate(harness, per_s, seconds, *, path=b'/lookup/x'):
    """Submit requests at a rate; return outcomes with their times."""
    loop = asyncio.get_running_loop()
    results = []

    async def submit():
        results.append(await harness.submit_and_wait(path, deadline_ms=4000))

    tasks = []
    for _ in range(int(per_s * seconds)):
        tasks.append(loop.create_task(submit()))
        await asyncio.sleep(1 / per_s)
    await asyncio.gather(*tasks)
    return results


def count_in_time(results):
    return sum(
        outcome.kind is OutcomeKind.RELAYED and elapsed_s <= LOOKUP.target_s
        for outcome, elapsed_s in results
    )


def test_overload_serves_requests_up_to_capacity_in_time():
    """Guards against overload that makes all requests late.

    Three servers with four slots serve 80 lookups a second; 160 arrive.
    """

    async def main():
        harness = lookup_harness()
        results = await submit_at_rate(harness, per_s=160, seconds=6)
        assert count_in_time(results) >= 0.9 * 80 * 6
        rejected = [result for result in results if result[0].retry_after_s]
        assert all(
            outcome.kind is OutcomeKind.NOT_RUN for outcome, _ in rejected
        )
        # The code distinguishes overload from a service without servers.
        codes = {outcome.code for outcome, _ in rejected}
        assert codes == {ErrorCode.DEADLINE_HOPELESS}
        # Most requests that can't be served are rejected at once.
        quick = [result for result in rejected if result[1] < 0.01]
        assert len(quick) >= 0.8 * len(rejected)
        assert all(elapsed_s < LOOKUP.target_s for _, elapsed_s in rejected)

    run_on_virtual_time(main)


def test_urgent_lookups_are_served_under_overload():
    """A flood of less urgent requests must not delay urgent ones."""

    async def main():
        harness = lookup_harness()
        table = harness.fleet.route_table
        urgent = dataclasses.replace(
            LOOKUP, name='urgent', prefix='/urgent/', priority=0
        )
        flood = dataclasses.replace(LOOKUP, priority=2)
        harness.fleet.apply(RouteTable(2, (urgent, flood), table.services))
        flooding = asyncio.create_task(
            submit_at_rate(harness, per_s=160, seconds=4)
        )
        results = await submit_at_rate(
            harness, per_s=20, seconds=4, path=b'/urgent/x'
        )
        await flooding
        assert count_in_time(results) >= 0.97 * len(results)

    run_on_virtual_time(main)


def test_disconnected_caller_leaves_the_queue():
    """Guards against abandoned waiters that keep the others waiting."""

    async def main():
        harness = lookup_harness()
        jobs = [
            harness.submit(b'/lookup/x', deadline_ms=4000)[1] for _ in range(30)
        ]
        assert len(harness.dispatch.wait_queues) > 0
        for job in jobs:
            job.caller_left()
        assert len(harness.dispatch.wait_queues) == 0
        outcome, elapsed_s = await harness.submit_and_wait(
            b'/lookup/x', deadline_ms=4000
        )
        assert outcome.kind is OutcomeKind.RELAYED
        assert elapsed_s < 2 * WORK_S

    run_on_virtual_time(main)


def test_retry_without_a_server_does_not_block_the_queue():
    """Guards against head-of-line blocking by a retry.

    The retried part must not use the only free server, and the parts behind it
    waited although they could.
    """

    async def main():
        harness = lookup_harness()
        failing, *others = harness.servers_of('lookup')
        # The others are busy; the first server loses one answer and is free.
        for server in others:
            server.paused_until = asyncio.get_running_loop().time() + 3
        futs = [
            harness.submit(b'/lookup/x', deadline_ms=4000)[2] for _ in range(18)
        ]
        outcomes = iter(('reset',))
        failing.choose_reply = lambda exchange: next(outcomes, 'answer')
        await asyncio.sleep(WORK_S)
        # It is ejected for half a second after a lost connection.
        await asyncio.sleep(0.7)
        outcome, elapsed_s = await harness.submit_and_wait(
            b'/lookup/x', deadline_ms=4000
        )
        assert outcome.kind is OutcomeKind.RELAYED
        assert elapsed_s < WORK_S + 0.01
        await asyncio.gather(*futs)

    run_on_virtual_time(main)


def test_hedges_leave_a_slot_for_first_sends():
    """Guards against hedges that fill the server a new request needs.

    All servers but one hang; their overdue requests are hedged at the one that
    is left, again and again while the budget denies them.
    """

    async def main():
        harness = lookup_harness()
        healthy, *hanging = harness.servers_of('lookup')
        for server in hanging:
            server.choose_reply = lambda exchange: 'nothing'
        futs = [
            harness.submit(b'/lookup/x', deadline_ms=4000)[2] for _ in range(18)
        ]
        # The first sends at the healthy server have been answered by then.
        await asyncio.sleep(2 * WORK_S + 0.05)
        for _ in range(10):
            assert healthy.running < healthy.server.slots
            await asyncio.sleep(0.05)
        outcome, elapsed_s = await harness.submit_and_wait(
            b'/lookup/x', deadline_ms=4000
        )
        assert outcome.kind is OutcomeKind.RELAYED
        assert elapsed_s < WORK_S + 0.01
        await asyncio.gather(*futs)

    run_on_virtual_time(main)
