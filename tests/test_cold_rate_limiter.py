"""A cold server never gets more than it bears, summed over all nodes."""

import asyncio
import collections
import dataclasses

from ibismount.cold_rate_limiter import ColdRateLimiter
from ibismount.fleet_state import ServerChanged, ZoneChanged
from ibismount.routes import RouteTable
from tests.edge_fakes import LOOKUP, World
from tests.virtual_time import run_jumping

RATE = 8.0


def fleet_of(count, *, known=None):
    """Return the limits of nodes that know all, or only some, others."""
    names = [f'n{number}' for number in range(count)]
    limits = []
    for number, name in enumerate(names):
        limit = ColdRateLimiter(name)
        limit.set_nodes(known(number, names) if known else names)
        limits.append(limit)
    return limits


def most_in_a_second(limits, rate):
    sent = collections.deque()
    most = 0
    for step in range(500):
        now = step / 100
        for limit in limits:
            while limit.try_acquire(now, 's', rate=rate):
                sent.append(now)
        while sent and sent[0] <= now - 1:
            sent.popleft()
        most = max(most, len(sent))
    return most


def test_sum_over_all_nodes_is_the_rate():
    """Equal parts were rounded up to one each: 117 nodes, 8 a second."""
    for count in (1, 3, 15, 117):
        assert most_in_a_second(fleet_of(count), RATE) == RATE


def test_parted_nodes_stay_within_the_bound_of_the_servers():
    """Each half knows only itself; a server crashes far above its rate."""

    def half(number, names):
        return [one for one in names if (names.index(one) + number) % 2 == 0]

    limits = fleet_of(14, known=half)
    assert most_in_a_second(limits, RATE) <= 2 * RATE


def test_node_that_knows_no_others_sends_nothing():
    """A fresh node can't know how many others use the same permits."""
    assert not ColdRateLimiter('a').try_acquire(0, 's', rate=100)


def cold_world():
    """Return a world whose services state what their cold servers bear."""
    world = World()
    table = world.fleet.route_table
    services = {
        name: dataclasses.replace(one, cold_rate=RATE, cold_s=3)
        for name, one in table.services.items()
    }
    world.fleet.apply(RouteTable(2, table.routes, services))
    return world


def make_cold(world, server_id, cold_s=3.0, revision=5000):
    server = dataclasses.replace(
        world.servers[server_id].server, cold_s=cold_s, revision=revision
    )
    world.fleet.apply(ServerChanged(server))


def test_cold_servers_get_their_rate_and_no_more():
    """Searches must not push servers that have just started.

    All servers of the shard are cold: beside warm ones they get little anyway.
    """

    async def main():
        world = cold_world()
        for one in world.of('s0'):
            make_cold(world, one.server.id)
        await asyncio.gather(*(world.ask() for _ in range(60)))
        assert all(one.arrivals <= RATE for one in world.of('s0'))
        assert sum(one.arrivals for one in world.of('s0')) > 0

    run_jumping(main)


def test_lookups_beyond_what_cold_servers_bear_are_refused_unrun():
    """Waiting for a permit that can't come in time helps no caller."""

    async def main():
        world = cold_world()
        for one in world.of('lookup'):
            make_cold(world, one.server.id)
        futs = [
            world.submit(b'/lookup/x', deadline_ms=4000)[2] for _ in range(60)
        ]
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        outcomes = await asyncio.gather(*futs)
        refused = [one for one in outcomes if one.retry_after_s]
        assert len(refused) >= 60 - 3 * RATE
        assert loop.time() - began_at < LOOKUP.target_s + 0.1
        for one in world.of('lookup'):
            assert one.arrivals <= RATE

    run_jumping(main)


def test_servers_that_broke_a_connection_count_as_cold():
    """A server may restart under its id before its entry says so."""

    async def main():
        world = cold_world()
        for one in world.of('s0'):
            one.behave = lambda exchange: 'reset'
        await world.ask()
        await world.ask()
        # Both attempts of the first search broke, so two servers are doubted.
        doubted = [one for one in world.of('s0') if one.arrivals]
        before = {one.server.id: one.arrivals for one in doubted}
        for one in world.of('s0'):
            one.behave = None
        await asyncio.gather(*(world.ask() for _ in range(60)))
        assert len(doubted) >= 2
        for one in doubted:
            assert one.arrivals - before[one.server.id] <= RATE

    run_jumping(main)


def test_zone_that_is_taken_back_counts_as_cold():
    """Servers of a zone may have become cold while it was out."""

    async def main():
        world = cold_world()
        world.fleet.apply(ZoneChanged('z0', out=True, revision=6000))
        world.fleet.apply(ZoneChanged('z0', out=False, revision=6001))
        for _ in range(60):
            await world.ask()
            await asyncio.sleep(0.005)
        assert all(
            one.arrivals <= RATE
            for one in world.servers.values()
            if one.server.zone == 'z0'
        )

    run_jumping(main)


def test_services_without_a_rate_have_no_limit():
    """Most services state no rate; their cold servers are merely slow."""

    async def main():
        world = World()
        for one in world.of('s0'):
            make_cold(world, one.server.id)
        for _ in range(60):
            outcome, _ = await world.ask()
            assert outcome.missing == 0
        assert sum(one.arrivals for one in world.of('s0')) >= 60

    run_jumping(main)
