"""Answers of servers over a real connection: whole, late, extra and cut."""

import asyncio
import socket
import struct

import pytest

from ibismount.http_client import ExchangeFailure
from ibismount.server_connection_pool import ServerConnectionPool

WHOLE = b'HTTP/1.1 200 OK\r\nx-id: %b\r\ncontent-length: 2\r\n\r\nok'


class Owner:
    """Waits for the outcome of one exchange."""

    def __init__(self, name=b'1'):
        self.name = name
        self.outcome = asyncio.get_running_loop().create_future()

    def on_response(self, answer):
        if answer.header(b'x-id') not in {None, self.name}:
            return False
        self.outcome.set_result(answer)
        return True

    def on_exchange_failed(self, end):
        self.outcome.set_result(end)


class Server:
    """Plays one script of bytes for each connection it accepts."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.accepted = 0
        self.received = []

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = self.server.sockets[0].getsockname()
        return self

    async def __aexit__(self, *exc):
        self.server.close()

    async def _serve(self, reader, writer):
        self.accepted += 1
        for script in self.scripts.pop(0):
            if script is None:
                break
            if script == 'reset':
                # Closing without lingering resets the connection.
                sock = writer.get_extra_info('socket')
                linger = struct.pack('ii', 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                await asyncio.sleep(0.05)
                writer.transport.abort()
                return
            self.received.append(await reader.readuntil(b'\r\n\r\n'))
            writer.write(script)
        else:
            await reader.read()
        writer.close()


def start(pool, server, name=b'1', *, max_open=4):
    owner = Owner(name)
    pending = pool.start_exchange(
        server.address,
        owner,
        lambda: b'GET / HTTP/1.1\r\nx-id: ' + name + b'\r\n\r\n',
        max_open=max_open,
    )
    return owner, pending


async def ask(pool, server, name=b'1'):
    owner, _ = start(pool, server, name)
    return await asyncio.wait_for(owner.outcome, 5)


def run(main):
    asyncio.run(asyncio.wait_for(main(), 10))


def test_connection_is_reused():
    """A new connection costs a server's slot for milliseconds."""

    async def main():
        pool = ServerConnectionPool()
        async with Server([WHOLE % b'1', WHOLE % b'2']) as server:
            assert (await ask(pool, server, b'1')).body == b'ok'
            assert (await ask(pool, server, b'2')).body == b'ok'
            assert server.accepted == 1
            pool.close()

    run(main)


@pytest.mark.parametrize(
    'extra',
    [WHOLE % b'1', b'noise', b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n'],
)
def test_bytes_after_an_answer_end_the_connection(extra):
    """A second answer must not be taken for that of the next request."""

    async def main():
        pool = ServerConnectionPool()
        async with Server([WHOLE % b'1' + extra], [WHOLE % b'2']) as server:
            assert (await ask(pool, server, b'1')).body == b'ok'
            assert (await ask(pool, server, b'2')).body == b'ok'
            assert server.accepted == 2
            pool.close()

    run(main)


def test_late_answer_to_an_earlier_request_is_skipped():
    """The answer that comes first may belong to another request."""

    async def main():
        pool = ServerConnectionPool()
        late = b'HTTP/1.1 200 OK\r\nx-id: 0\r\ncontent-length: 3\r\n\r\nbad'
        async with Server([late + WHOLE % b'1'], [WHOLE % b'2']) as server:
            assert (await ask(pool, server, b'1')).body == b'ok'
            # The connection is not trusted any more.
            assert (await ask(pool, server, b'2')).body == b'ok'
            assert server.accepted == 2
            pool.close()

    run(main)


def test_extra_answer_while_idle_ends_the_connection():
    """Bytes without a request belong to nothing."""

    async def main():
        pool = ServerConnectionPool()
        async with Server([WHOLE % b'1'], [WHOLE % b'2']) as server:
            await ask(pool, server, b'1')
            (conns,) = pool._idle.values()
            conns[0].data_received(WHOLE % b'1')
            assert (await ask(pool, server, b'2')).body == b'ok'
            pool.close()

    run(main)


@pytest.mark.parametrize(
    'cut',
    [
        b'',
        b'HTTP/1.1 200',
        b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort',
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhel',
        b'no protocol at all\r\n\r\n',
    ],
)
def test_cut_answer_is_no_answer(cut):
    """An answer that ends early must not look complete."""

    async def main():
        pool = ServerConnectionPool()
        async with Server([cut, None]) as server:
            assert await ask(pool, server) is ExchangeFailure.BROKEN
            pool.close()

    run(main)


def test_answer_without_length_ends_with_its_connection():
    """Such an answer is whole when the server closes in order."""

    async def main():
        pool = ServerConnectionPool()
        open_ended = b'HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\nall of it'
        async with Server([open_ended, None]) as server:
            assert (await ask(pool, server)).body == b'all of it'
            pool.close()

    run(main)


def test_answer_without_length_that_is_reset_is_no_answer():
    """A reset tells that bytes are missing."""

    async def main():
        pool = ServerConnectionPool()
        open_ended = b'HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\nhalf'
        async with Server([open_ended, 'reset']) as server:
            assert await ask(pool, server) is ExchangeFailure.BROKEN
            pool.close()

    run(main)


def test_refused_connection_means_not_sent():
    """Not run is only said when no byte left."""

    async def main():
        pool = ServerConnectionPool()
        async with Server() as server:
            pass
        owner, _ = start(pool, server)
        assert await owner.outcome is ExchangeFailure.NOT_SENT
        assert not pool._open

    run(main)


def test_connections_stay_within_the_bound():
    """A server resets connections beyond its limit."""

    async def main():
        pool = ServerConnectionPool()
        async with Server([WHOLE % b'1'], [WHOLE % b'2']) as server:
            _, first = start(pool, server, b'1', max_open=1)
            _, second = start(pool, server, b'2', max_open=1)
            assert first is not None
            assert second is None
            pool.close()

    run(main)


def test_canceled_exchange_closes_its_connection_only():
    """A loser's cancel must not hit the next request on the connection."""

    async def main():
        pool = ServerConnectionPool()
        async with Server([WHOLE % b'1', WHOLE % b'2']) as server:
            owner, pending = start(pool, server, b'1')
            await owner.outcome
            second, _ = start(pool, server, b'2')
            pending.cancel()
            assert (await second.outcome).body == b'ok'
            pool.close()

    run(main)


def test_idle_time_advertised_by_the_server_is_kept():
    """A request on a connection that the server just closed is lost."""

    async def main():
        pool = ServerConnectionPool()
        answer = (
            b'HTTP/1.1 200 OK\r\nx-id: 1\r\nkeep-alive: timeout=5\r\n'
            b'content-length: 0\r\n\r\n'
        )
        async with Server([answer], [answer]) as server:
            await ask(pool, server)
            (conns,) = pool._idle.values()
            assert conns[0].idle_timeout_s == 5
            conns[0].idle_since -= 4
            await ask(pool, server)
            assert server.accepted == 2
            pool.close()

    run(main)
