"""Bytes without end from a server of the own interface's daemon."""

import anyio
import pytest

from ibismount._http1 import MAX_BODY_BYTES, Http1Connection, Http1Error
from tests.test_response_bounds import (
    ENDLESS_BODIES,
    ENDLESS_OVERHEAD,
    READ_BYTES,
)

# h11 keeps at most this much of a line or head that is not complete, in bytes.
MAX_INCOMPLETE_BYTES = 128 * 1024
# Shapes of which the parser keeps nothing: only the deadline of the call, after
# which the connection is closed, ends them.
UNBUFFERED = {'interim responses', 'interim responses with headers'}


class EndlessStream:
    """A byte stream that sends one piece again and again."""

    def __init__(self, first, repeated):
        self.first, self.repeated = first, repeated
        self.received_bytes = 0
        self.closed = False

    async def send(self, data):
        pass

    async def receive(self, max_bytes):
        await anyio.sleep(0.001)
        piece, self.first = self.first or self.repeated, b''
        self.received_bytes += len(piece)
        return piece[:max_bytes]

    async def aclose(self):
        self.closed = True


@pytest.mark.anyio
@pytest.mark.parametrize('shape', [*ENDLESS_OVERHEAD, *ENDLESS_BODIES])
async def test_endless_bytes_end_the_exchange(shape):
    """They would fill the memory, or keep the shard from being retried."""
    stream = EndlessStream(*(ENDLESS_OVERHEAD | ENDLESS_BODIES)[shape])
    conn = Http1Connection(stream, host='h')
    if shape in UNBUFFERED:
        with pytest.raises(TimeoutError), anyio.fail_after(0.2):
            await conn.exchange('GET', '/', (), b'')
        buffered_bytes = len(conn._h11.trailing_data[0])
        assert buffered_bytes <= MAX_INCOMPLETE_BYTES
    else:
        with pytest.raises(Http1Error), anyio.fail_after(20):
            await conn.exchange('GET', '/', (), b'')
        bound = MAX_BODY_BYTES if shape in ENDLESS_BODIES else 0
        assert stream.received_bytes <= (
            bound + MAX_INCOMPLETE_BYTES + 4 * READ_BYTES
        )
