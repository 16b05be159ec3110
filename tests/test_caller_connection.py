"""Connections of callers: strict parsing, one answer for each request."""

import asyncio

import pytest

from ibismount.caller_connection import CallerConnection, CallerEndpoint
from ibismount.errors import ErrorCode
from ibismount.routes import CallerLimits

OK = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'


class PendingRequest:
    def __init__(self):
        self.canceled = False

    def caller_left(self):
        self.canceled = True


class Endpoint(CallerEndpoint):
    """Stores requests until the test answers them."""

    def __init__(self, limits=CallerLimits(header_s=0.2, idle_s=0.4)):
        super().__init__()
        self._limits = limits
        self.requests = []
        self.pending = []
        self.arrived = asyncio.Event()
        self.is_leaving = False

    @property
    def limits(self):
        return self._limits

    @property
    def leaving(self):
        return self.is_leaving

    def handle(self, raw, conn):
        self.requests.append((raw, conn))
        self.pending.append(PendingRequest())
        self.arrived.set()
        return self.pending[-1]

    def encode_error(self, code):
        return b'refused: ' + code.encode()


async def connect_to(endpoint):
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: CallerConnection(endpoint), '127.0.0.1', 0
    )
    address = server.sockets[0].getsockname()
    return await asyncio.open_connection(*address)


def run_test(main):
    asyncio.run(asyncio.wait_for(main(), 10))


def get(path=b'/', headers=b''):
    return b'GET ' + path + b' HTTP/1.1\r\nhost: a\r\n' + headers + b'\r\n'


def test_requests_are_answered_one_after_the_other():
    """The answer to one request must not reach another."""

    async def main():
        endpoint = Endpoint()
        reader, writer = await connect_to(endpoint)
        writer.write(get(b'/1') + get(b'/2'))
        await endpoint.arrived.wait()
        await asyncio.sleep(0.05)
        assert [raw.target for raw, _ in endpoint.requests] == [b'/1']
        endpoint.requests[0][1].answer(OK)
        await asyncio.sleep(0.05)
        assert [raw.target for raw, _ in endpoint.requests] == [b'/1', b'/2']
        endpoint.requests[1][1].answer(OK)
        assert await reader.readexactly(2 * len(OK)) == OK * 2

    run_test(main)


def test_bytes_that_arrive_with_the_answer_follow_the_buffered_ones():
    """A later request was served before one that had waited in the buffer.

    A node that was frozen reads the server's answer and the caller's next bytes
    in one turn of its event loop.
    """

    async def main():
        endpoint = Endpoint()
        _, writer = await connect_to(endpoint)
        writer.write(get(b'/1'))
        await endpoint.arrived.wait()
        conn = endpoint.requests[0][1]
        piece, rest = get(b'/2')[:9], get(b'/2')[9:]
        conn.data_received(piece)
        conn.answer(OK)
        conn.data_received(rest + get(b'/3'))
        conn.data_received(get(b'/4'))
        for number in range(1, 4):
            await asyncio.sleep(0.01)
            endpoint.requests[number][1].answer(OK)
            conn.data_received(get(b'/%d' % (number + 4)))
        await asyncio.sleep(0.01)
        targets = [raw.target for raw, _ in endpoint.requests]
        assert targets == [b'/1', b'/2', b'/3', b'/4', b'/5']
        assert not conn.closed

    run_test(main)


def test_disconnect_of_the_caller_cancels_its_request():
    """Servers must not work on requests without a caller."""

    async def main():
        endpoint = Endpoint()
        _, writer = await connect_to(endpoint)
        writer.write(get())
        await endpoint.arrived.wait()
        writer.close()
        await asyncio.sleep(0.1)
        assert endpoint.pending[0].canceled

    run_test(main)


def test_chunked_body_is_reassembled():
    """Callers send bodies with a length or in chunks."""

    async def main():
        endpoint = Endpoint()
        _, writer = await connect_to(endpoint)
        writer.write(
            b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
            b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
        )
        await endpoint.arrived.wait()
        assert endpoint.requests[0][0].body == b'abcde'

    run_test(main)


@pytest.mark.parametrize(
    ('raw', 'code'),
    [
        (b'nonsense\r\n\r\n', ErrorCode.BAD_REQUEST),
        (
            get(headers=b'content-length: 3\r\ntransfer-encoding: chunked\r\n'),
            ErrorCode.BAD_REQUEST,
        ),
        (
            get(headers=b'content-length: 3\r\ncontent-length: 4\r\n'),
            ErrorCode.BAD_REQUEST,
        ),
        (
            get(headers=b'transfer-encoding: chunked\r\n') + b'zz\r\nabc',
            ErrorCode.BAD_REQUEST,
        ),
        (
            get(headers=b'x: ' + b'y' * 20000 + b'\r\n'),
            ErrorCode.HEADERS_TOO_LARGE,
        ),
        (
            get(headers=b'content-length: 300000\r\n') + b'z' * 300000,
            ErrorCode.BODY_TOO_LARGE,
        ),
        (b'GET / HTTP/1.1\r\nhost: a', ErrorCode.REQUEST_TOO_SLOW),
    ],
)
def test_malformed_request_is_refused_with_its_code(raw, code):
    """Two lengths, bad chunks and endless heads must not be forwarded."""

    async def main():
        endpoint = Endpoint()
        reader, writer = await connect_to(endpoint)
        writer.write(raw)
        answer = await reader.read()
        assert answer == b'refused: ' + code.encode()
        assert not endpoint.requests

    run_test(main)


def test_caller_that_still_sends_gets_the_refusal():
    """Closing with unread bytes reset the connection and lost the refusal."""

    async def main():
        reader, writer = await connect_to(Endpoint())
        writer.write(get(headers=b'content-length: 400000\r\n') + b'z' * 270000)
        await writer.drain()
        for _ in range(10):
            await asyncio.sleep(0.01)
            writer.write(b'z' * 1000)
        answer = await reader.read()
        assert answer == b'refused: body_too_large'

    run_test(main)


def test_caller_that_never_stops_sending_is_cut_off():
    """Discarding bytes without a limit would let a caller send for ever."""

    async def main():
        endpoint = Endpoint()
        _, writer = await connect_to(endpoint)
        writer.write(get(headers=b'content-length: 9000000\r\n'))
        with pytest.raises(ConnectionError):
            for _ in range(400):
                writer.write(b'z' * 20000)
                await writer.drain()
                await asyncio.sleep(0)

    run_test(main)


def test_idle_connection_is_closed_after_its_timeout():
    """Idle callers must not use up the file descriptors."""

    async def main():
        endpoint = Endpoint()
        reader, _ = await connect_to(endpoint)
        assert await reader.read() == b''
        assert not endpoint.connections

    run_test(main)


def test_leaving_node_closes_after_the_answer():
    """A caller must not reuse a connection of a node that shuts down."""

    async def main():
        endpoint = Endpoint()
        reader, writer = await connect_to(endpoint)
        writer.write(get())
        await endpoint.arrived.wait()
        endpoint.is_leaving = True
        conn = endpoint.requests[0][1]
        assert conn.closes_after_answer
        conn.answer(OK)
        assert await reader.read() == OK

    run_test(main)


def test_leaving_node_answers_the_requests_that_it_has_read():
    """Pipelined requests got no answer when their node shut down."""

    async def main():
        endpoint = Endpoint()
        reader, writer = await connect_to(endpoint)
        writer.write(get(b'/1') + get(b'/2'))
        await endpoint.arrived.wait()
        writer.write(get(b'/3'))
        await asyncio.sleep(0.02)
        endpoint.is_leaving = True
        for number in range(3):
            raw, conn = endpoint.requests[number]
            assert raw.target == b'/%d' % (number + 1)
            assert conn.closes_after_answer == (number == 2)
            conn.answer(OK)
            await asyncio.sleep(0.02)
        assert await reader.read() == OK * 3

    run_test(main)


def test_answer_after_the_caller_left_is_dropped():
    """An outcome after the disconnect must not raise."""

    async def main():
        endpoint = Endpoint()
        _, writer = await connect_to(endpoint)
        writer.write(get())
        await endpoint.arrived.wait()
        writer.transport.abort()
        await asyncio.sleep(0.05)
        endpoint.requests[0][1].answer(OK)

    run_test(main)
