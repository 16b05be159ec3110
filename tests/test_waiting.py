"""Requests that find no free server: order, bounded wait, early refusal."""

import asyncio
import dataclasses

from ibismount.errors import ErrorCode
from ibismount.routes import RouteTable
from ibismount.waiting import WaitingLines, expected_wait_s
from ibismount.wire_format import OutcomeKind
from tests.edge_fakes import LOOKUP, World
from tests.virtual_time import run_jumping

WORK_S = 0.15


def test_urgent_routes_go_first_and_then_who_waited_longest():
    """Polling served whoever asked at the right moment."""
    lines = WaitingLines()
    late = lines.enter('desk', 2, print)
    later = lines.enter('desk', 2, print)
    urgent = lines.enter('desk', 0, print)
    served = []
    while lines.first('desk'):
        served.append(lines.first('desk'))
        lines.leave(served[-1])
    assert served == [urgent, late, later]
    assert len(lines) == 0


def test_only_those_as_urgent_stand_ahead():
    """A less urgent crowd must not get an urgent request refused."""
    lines = WaitingLines()
    for _ in range(5):
        lines.enter('desk', 3, print)
    assert lines.ahead('desk', 3) == 5
    assert lines.ahead('desk', 1) == 0
    assert lines.ahead('other', 3) == 0


def test_expected_wait_grows_with_the_line():
    """Four servers that take 0.1 s each serve forty requests in a second."""
    assert expected_wait_s(0, 4, 0.1) == 0.025
    assert expected_wait_s(39, 4, 0.1) == 1.0
    assert expected_wait_s(1, 0, 0.1) == 0.2


def lookup_world():
    """Return a world whose lookups take 0.15 s, 18 of them at a time."""
    world = World()
    for one in world.of('lookup'):
        one.work_s = WORK_S
    return world


async def play(world, per_s, seconds, *, path=b'/lookup/x'):
    """Submit lookups at a rate; return outcomes with their times."""
    loop = asyncio.get_running_loop()
    ends = []

    async def one():
        ends.append(await world.ask(path, deadline_ms=4000))

    tasks = []
    for _ in range(int(per_s * seconds)):
        tasks.append(loop.create_task(one()))
        await asyncio.sleep(1 / per_s)
    await asyncio.gather(*tasks)
    return ends


def in_time(ends):
    return sum(
        outcome.kind is OutcomeKind.RELAYED and took_s <= LOOKUP.target_s
        for outcome, took_s in ends
    )


def test_overload_serves_what_the_servers_bear_in_time():
    """At twice the capacity all requests became late together.

    Three servers with four slots end 80 lookups a second; 160 arrive.
    """

    async def main():
        world = lookup_world()
        ends = await play(world, per_s=160, seconds=6)
        assert in_time(ends) >= 0.9 * 80 * 6
        refused = [end for end in ends if end[0].retry_after_s]
        assert all(one.kind is OutcomeKind.NOT_RUN for one, _ in refused)
        # The cause tells overload from a service without servers.
        codes = {one.code for one, _ in refused}
        assert codes == {ErrorCode.DEADLINE_HOPELESS}
        # Most of what can't be served is known at once.
        quick = [end for end in refused if end[1] < 0.01]
        assert len(quick) >= 0.8 * len(refused)
        assert all(took_s < LOOKUP.target_s for _, took_s in refused)

    run_jumping(main)


def test_urgent_lookups_are_served_under_overload():
    """A flood of less urgent requests must cost urgent ones nothing."""

    async def main():
        world = lookup_world()
        table = world.fleet.route_table
        urgent = dataclasses.replace(
            LOOKUP, name='urgent', prefix='/urgent/', priority=0
        )
        flood = dataclasses.replace(LOOKUP, priority=2)
        world.fleet.apply(RouteTable(2, (urgent, flood), table.services))
        flooding = asyncio.create_task(play(world, per_s=160, seconds=4))
        ends = await play(world, per_s=20, seconds=4, path=b'/urgent/x')
        await flooding
        assert in_time(ends) >= 0.97 * len(ends)

    run_jumping(main)


def test_caller_that_left_gives_up_its_place():
    """A place that nobody uses kept the others waiting."""

    async def main():
        world = lookup_world()
        jobs = [
            world.submit(b'/lookup/x', deadline_ms=4000)[1] for _ in range(30)
        ]
        assert len(world.dispatch.lines) > 0
        for job in jobs:
            job.caller_left()
        assert len(world.dispatch.lines) == 0
        outcome, took_s = await world.ask(b'/lookup/x', deadline_ms=4000)
        assert outcome.kind is OutcomeKind.RELAYED
        assert took_s < 2 * WORK_S

    run_jumping(main)


def test_repeat_that_finds_no_server_keeps_nobody_back():
    """A part that may not use a free server kept those behind it waiting."""

    async def main():
        world = lookup_world()
        lost, *others = world.of('lookup')
        # The others are busy; the first one loses one answer and is free.
        for one in others:
            one.paused_until = asyncio.get_running_loop().time() + 3
        futs = [
            world.submit(b'/lookup/x', deadline_ms=4000)[2] for _ in range(18)
        ]
        outcomes = iter(('reset',))
        lost.behave = lambda exchange: next(outcomes, 'answer')
        await asyncio.sleep(WORK_S)
        # It is avoided for half a second after a lost connection.
        await asyncio.sleep(0.7)
        outcome, took_s = await world.ask(b'/lookup/x', deadline_ms=4000)
        assert outcome.kind is OutcomeKind.RELAYED
        assert took_s < WORK_S + 0.01
        await asyncio.gather(*futs)

    run_jumping(main)
