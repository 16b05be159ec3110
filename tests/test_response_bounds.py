"""Bytes without end from a server, in a head or a body, until we close."""

import asyncio
import itertools

import pytest

from ibismount import http_client
from ibismount.http_client import Connection, ExchangeFailure, ResponseMemory

READ_BYTES = 16384
HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = HEAD + b'transfer-encoding: chunked\r\n\r\n'

# Each shape is what comes first, and what then comes again and again.
ENDLESS_OVERHEAD = {
    'header value': (HEAD + b'x-a: ', b'v' * READ_BYTES),
    'header name': (HEAD, b'n' * READ_BYTES),
    'many headers': (HEAD, b'x-a: b\r\n' * 1000),
    'empty headers': (HEAD, b'a:\r\n' * 1000),
    'reason phrase': (b'HTTP/1.1 200 ', b'r' * READ_BYTES),
    'interim responses': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 500),
    'interim responses with headers': (
        b'',
        b'HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n' * 500,
    ),
    'empty lines before the status': (b'', b'\r\n' * 5000),
    'chunk extension': (CHUNKED + b'5;', b'e' * READ_BYTES),
    'chunk size with leading zeros': (CHUNKED, b'0' * READ_BYTES),
    'trailers': (CHUNKED + b'0\r\n', b'x-a: b\r\n' * 1000),
}
ENDLESS_BODIES = {
    'no length': (HEAD + b'\r\n', b'b' * READ_BYTES),
    'length of 2^63 - 1': (
        HEAD + b'content-length: 9223372036854775807\r\n\r\n',
        b'b' * READ_BYTES,
    ),
    'chunks': (CHUNKED, b'1000\r\n' + b'b' * 4096 + b'\r\n'),
}


class FakeTransport:
    """Accepts writes and notes that the connection was closed."""

    def __init__(self):
        self.aborted = False

    def get_extra_info(self, name):
        return FakeSocket()

    def write(self, data):
        pass

    def abort(self):
        self.aborted = True


class FakeSocket:
    def setsockopt(self, *args):
        pass


class Owner:
    """Records the outcome of one exchange."""

    def __init__(self):
        self.outcomes = []

    def on_response(self, response):
        self.outcomes.append(response)
        return True

    def on_exchange_failed(self, failure):
        self.outcomes.append(failure)


def start_exchange(method=b'GET', *, memory=None):
    conn = Connection(memory)
    # A pool keeps the connection for the next exchange.
    conn.on_idle = lambda _: None
    transport = FakeTransport()
    conn.connection_made(transport)
    owner = Owner()
    conn.send(owner, method + b' / HTTP/1.1\r\n\r\n')
    return conn, owner, transport


def feed_until_closed(conn, transport, first, repeated, *, max_bytes):
    """Feed a connection; return the number of bytes that it took."""
    taken = 0
    for piece in itertools.chain([first], itertools.repeat(repeated)):
        conn.data_received(piece)
        taken += len(piece)
        if transport.aborted:
            return taken
        assert taken < max_bytes, 'the connection is still read'
    raise AssertionError


@pytest.mark.parametrize('shape', ENDLESS_OVERHEAD)
def test_endless_bytes_beside_the_body_close_the_connection(shape):
    """A head or framing without end would fill the memory of the VM."""
    conn, owner, transport = start_exchange()
    first, repeated = ENDLESS_OVERHEAD[shape]
    bound = http_client.MAX_OVERHEAD_BYTES + len(first) + 2 * len(repeated)
    feed_until_closed(conn, transport, first, repeated, max_bytes=bound)
    assert owner.outcomes == [ExchangeFailure.BROKEN]


@pytest.mark.parametrize('shape', ENDLESS_BODIES)
def test_endless_bodies_close_the_connection(shape):
    """A body without end would fill the memory of the VM."""
    conn, owner, transport = start_exchange()
    first, repeated = ENDLESS_BODIES[shape]
    bound = http_client.MAX_RESPONSE_BYTES + 4 * READ_BYTES
    feed_until_closed(conn, transport, first, repeated, max_bytes=bound)
    assert owner.outcomes == [ExchangeFailure.BROKEN]


def test_length_beyond_the_bound_fails_before_its_body():
    """Reading on until the bound would waste the time that a retry needs."""
    conn, owner, transport = start_exchange()
    conn.data_received(HEAD + b'content-length: 9223372036854775808\r\n\r\n')
    assert owner.outcomes == [ExchangeFailure.BROKEN]
    assert transport.aborted


def test_trickled_head_is_bounded_too():
    """The bound counts bytes of all reads, not of one."""
    conn, owner, transport = start_exchange()
    feed_until_closed(
        conn,
        transport,
        HEAD + b'x-a: ',
        b'v',
        max_bytes=http_client.MAX_OVERHEAD_BYTES + 100,
    )
    assert owner.outcomes == [ExchangeFailure.BROKEN]


def test_body_in_small_chunks_is_a_response():
    """The bound on framing must not refuse a body that is sent in pieces."""
    conn, owner, transport = start_exchange()
    conn.data_received(CHUNKED)
    for _ in range(3000):
        conn.data_received(b'20\r\n' + b'b' * 32 + b'\r\n')
    conn.data_received(b'0\r\n\r\n')
    (response,) = owner.outcomes
    assert response.body == b'b' * 96_000
    assert not transport.aborted


def test_responses_under_way_together_stay_within_one_bound():
    """Each of many bodies may be within its own bound and yet fill the VM."""
    memory = ResponseMemory(max_bytes=1_000_000)
    flooding = [start_exchange(memory=memory) for _ in range(4)]
    for conn, _, _ in flooding:
        conn.data_received(HEAD + b'\r\n')
    for _ in range(40):
        for conn, _, transport in flooding:
            if not transport.aborted:
                conn.data_received(b'b' * READ_BYTES)
            assert memory.held_bytes <= 1_000_000
    assert any(owner.outcomes for _, owner, _ in flooding)


def test_small_response_survives_a_flood_on_another_connection():
    """The connection that holds the most is closed, not the one that reads."""
    memory = ResponseMemory(max_bytes=1_000_000)
    flooding, flooding_owner, _ = start_exchange(memory=memory)
    flooding.data_received(HEAD + b'\r\n')
    for _ in range(60):
        flooding.data_received(b'b' * READ_BYTES)
    small, small_owner, transport = start_exchange(memory=memory)
    small.data_received(HEAD + b'content-length: 50000\r\n\r\n')
    small.data_received(b'b' * 30_000)
    small.data_received(b'b' * 20_000)
    assert flooding_owner.outcomes == [ExchangeFailure.BROKEN]
    assert [len(response.body) for response in small_owner.outcomes] == [50_000]
    assert not transport.aborted
    assert memory.held_bytes == 0


@pytest.mark.parametrize('how', ['complete', 'closed', 'lost', 'garbled'])
def test_memory_is_released_at_each_end(how):
    """A leak would later fail every response."""
    memory = ResponseMemory(max_bytes=1_000_000)
    conn, _, _ = start_exchange(memory=memory)
    conn.data_received(HEAD + b'content-length: 9\r\n\r\nhalf')
    assert memory.held_bytes > 0
    if how == 'complete':
        conn.data_received(b' done')
    elif how == 'closed':
        conn.close()
    elif how == 'lost':
        conn.connection_lost(None)
    else:
        conn.data_received(b' done and more')
    assert memory.held_bytes == 0


def test_endless_head_fails_over_a_real_connection():
    """The reset must reach the server, so that it stops."""

    async def main():
        closed = asyncio.Event()

        async def serve(reader, writer):
            try:
                writer.write(HEAD + b'x-a: ')
                while True:
                    writer.write(b'v' * READ_BYTES)
                    await writer.drain()
            except ConnectionError:
                closed.set()
            finally:
                writer.transport.abort()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        conn = await http_client.connect(*server.sockets[0].getsockname())
        owner = Owner()
        conn.send(owner, b'GET / HTTP/1.1\r\n\r\n')
        await closed.wait()
        assert owner.outcomes == [ExchangeFailure.BROKEN]
        server.close()

    asyncio.run(asyncio.wait_for(main(), 10))
