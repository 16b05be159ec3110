"""Bytes without end from a caller, in a head or a body, until we close."""

import asyncio
import itertools

import pytest

from ibismount.caller_connection import (
    MAX_OVERHEAD_BYTES,
    CallerConnection,
    CallerEndpoint,
)
from ibismount.errors import ErrorCode
from ibismount.routes import CallerLimits

READ_BYTES = 16384
LIMITS = CallerLimits(header_bytes=16384, body_bytes=4 * 1024 * 1024)
HOST = b'POST / HTTP/1.1\r\nhost: a\r\n'
CHUNKED = HOST + b'transfer-encoding: chunked\r\n\r\n'

# Each shape is what comes first, and what then comes again and again.
ENDLESS = {
    'header value': (HOST + b'x-a: ', b'v' * READ_BYTES),
    'header name': (HOST, b'n' * READ_BYTES),
    'many headers': (HOST, b'x-a: b\r\n' * 1000),
    'target': (b'GET /', b't' * READ_BYTES),
    'method': (b'', b'M' * READ_BYTES),
    'empty lines': (b'', b'\r\n' * 5000),
    'chunk extension': (CHUNKED + b'5;', b'e' * READ_BYTES),
    'small chunks': (CHUNKED, b'1\r\nb\r\n' * 1000),
    'trailers': (CHUNKED + b'0\r\n', b'x-a: b\r\n' * 1000),
}


class FakeTransport:
    """Records what was written and that the connection was closed."""

    def __init__(self):
        self.closed = False
        self.written = b''

    def get_extra_info(self, name):
        return FakeSocket()

    def write(self, data):
        self.written += data

    def write_eof(self):
        self.closed = True

    def close(self):
        self.closed = True

    def abort(self):
        self.closed = True


class FakeSocket:
    def setsockopt(self, *args):
        pass


class Endpoint(CallerEndpoint):
    """Accepts no request."""

    @property
    def limits(self):
        return LIMITS

    def handle(self, raw, conn):
        raise AssertionError('an endless request is never complete')

    def encode_error(self, code):
        return code.encode()


@pytest.mark.parametrize('read_bytes', [READ_BYTES, 1])
@pytest.mark.parametrize('shape', ENDLESS)
def test_endless_request_is_refused_within_its_bound(shape, read_bytes):
    """A request without end would fill the memory of the VM."""

    async def main():
        conn = CallerConnection(Endpoint())
        transport = FakeTransport()
        conn.connection_made(transport)
        first, repeated = ENDLESS[shape]
        taken = 0
        max_overhead = LIMITS.header_bytes + MAX_OVERHEAD_BYTES
        # Bytes of a body may come with a quarter of framing.
        bound = max_overhead * 1.25 + 2 * READ_BYTES
        for piece in itertools.chain([first], itertools.repeat(repeated)):
            for start in range(0, len(piece), read_bytes):
                if transport.closed:
                    break
                read = piece[start : start + read_bytes]
                conn.data_received(read)
                taken += len(read)
            if transport.closed:
                break
            assert taken < bound, 'the request is still read'
        assert transport.written in {
            ErrorCode.HEADERS_TOO_LARGE.encode(),
            ErrorCode.BODY_TOO_LARGE.encode(),
            ErrorCode.BAD_REQUEST.encode(),
        }
        conn.connection_lost(None)

    asyncio.run(main())


def test_body_in_small_chunks_is_read():
    """The bound on framing must not refuse a body that is sent in pieces."""

    async def main():
        received = []

        class Accepting(Endpoint):
            def handle(self, raw, conn):
                received.append(raw)

        conn = CallerConnection(Accepting())
        conn.connection_made(FakeTransport())
        conn.data_received(CHUNKED)
        for _ in range(3000):
            conn.data_received(b'20\r\n' + b'b' * 32 + b'\r\n')
        conn.data_received(b'0\r\n\r\n')
        assert received[0].body == b'b' * 96_000
        conn.connection_lost(None)

    asyncio.run(main())
