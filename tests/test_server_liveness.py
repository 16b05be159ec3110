"""Which servers ended, after their connections were lost."""

import asyncio
import dataclasses

from ibismount.server_connection_pool import ServerConnectionPool
from ibismount.server_liveness import ServerLiveness
from ibismount.server_table import Server, ServerTable
from tests.edge_fakes import DispatchHarness
from tests.virtual_time import run_on_virtual_time

SERVER = Server('s0-z0', 's0', '127.0.0.1', 1, 'z0', 4, incarnation=7)


class FakeProbe:
    def __init__(self, reachable):
        self.reachable = reachable
        self.count = 0

    async def is_reachable(self, address):
        self.count += 1
        return self.reachable


def make_liveness(probe, ended, *, is_replaced=lambda server: False):
    return ServerLiveness(
        probe, lambda *args: ended.append(args), is_replaced=is_replaced
    )


def record_losses(probe):
    ended = []

    async def main():
        liveness = make_liveness(probe, ended)
        liveness.record_loss(SERVER, 'a', 1.0)
        liveness.record_loss(SERVER, 'b', 2.0)
        await asyncio.sleep(1)

    run_on_virtual_time(main)
    return ended


def test_server_that_cannot_be_reached_has_ended():
    """All requests that it had are reported at once, after one check."""
    probe = FakeProbe(reachable=False)
    assert record_losses(probe) == [(SERVER, {'a': 1.0, 'b': 2.0}, 1000.0)]
    assert probe.count == 1


def test_end_is_known_before_a_caller_can_repeat_its_request():
    """It was known after 0.2 s; connections that are lost later count too."""
    ended = []

    async def main():
        liveness = make_liveness(FakeProbe(reachable=False), ended)
        liveness.record_loss(SERVER, 'a', 1.0)
        assert liveness.has_check_for('a')
        await asyncio.sleep(0.01)
        assert ended == [(SERVER, {'a': 1.0}, 1000.0)]
        assert not liveness.has_check_for('a')
        liveness.record_loss(SERVER, 'b', 2.0)
        assert ended[1:] == [(SERVER, {'b': 2.0}, 1000.0)]
        assert liveness.ended_count == 1

    run_on_virtual_time(main)


def test_server_that_ends_slowly_is_checked_again():
    """It still accepts connections when the first of them is lost."""
    probe = FakeProbe(reachable=True)
    ended = []

    async def main():
        liveness = make_liveness(probe, ended)
        liveness.record_loss(SERVER, 'a', 1.0)
        await asyncio.sleep(0.1)
        probe.reachable = False
        await asyncio.sleep(0.2)

    run_on_virtual_time(main)
    assert ended == [(SERVER, {'a': 1.0}, 1000.0)]


def test_entry_of_a_later_lifetime_shows_the_end_of_a_server():
    """A server that was back before the check did not count as ended."""
    ended = []
    entries = ServerTable()
    entries.upsert(0, SERVER)

    async def main():
        liveness = make_liveness(
            FakeProbe(reachable=True), ended, is_replaced=entries.is_replaced
        )
        liveness.record_loss(SERVER, 'a', 1.0)
        liveness.record_loss(SERVER, 'b', 1.0)
        await asyncio.sleep(0.5)
        assert liveness.expects_answers
        assert not liveness.has_check_for('a')
        liveness.record_answer(SERVER, 'b')
        restarted = dataclasses.replace(SERVER, incarnation=8, revision=1)
        entries.upsert(0, restarted)
        await asyncio.sleep(0.2)
        assert ended == [(SERVER, {'a': 1.0}, 1000.0)]
        liveness.record_loss(restarted, 'a', 2.0)
        await asyncio.sleep(5)
        assert len(ended) == 1
        assert not liveness.expects_answers

    run_on_virtual_time(main)


def test_server_that_reset_a_connection_has_not_ended():
    """Servers that lose single answers must not count as ended."""
    assert record_losses(FakeProbe(reachable=True)) == []


def test_pool_tells_a_listening_server_from_one_that_ended():
    """An open connection is enough; without one, the pool opens one."""

    async def main():
        async def serve(reader, writer):
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        address = server.sockets[0].getsockname()[:2]
        pool = ServerConnectionPool()
        assert await pool.is_reachable(address)
        assert await pool.is_reachable(address)
        assert pool.opened_total == 1
        pool.close()
        server.close()
        await asyncio.sleep(0.05)
        assert not await pool.is_reachable(address)

    asyncio.run(main())


def test_ends_of_servers_are_counted_but_resets_are_not():
    """The metric must not rise while servers only lose answers."""

    async def main():
        harness = DispatchHarness()
        guard = harness.dispatch.crash_guard
        servers = harness.servers_of('lookup')

        def crash(exchange):
            harness.pool.refusing_connections.add(exchange.server.server.id)
            return 'reset'

        for server in servers:
            server.choose_reply = lambda exchange: 'reset'
        await harness.submit_and_wait(b'/lookup/x', deadline_ms=4000)
        await asyncio.sleep(5)
        assert sum(server.arrivals for server in servers) == 2
        assert guard.ended_servers == 0
        for server in servers:
            server.choose_reply = crash
        await harness.submit_and_wait(b'/lookup/x', deadline_ms=4000)
        await asyncio.sleep(5)
        assert sum(server.arrivals for server in servers) == 4
        assert guard.ended_servers == 2

    run_on_virtual_time(main)
