"""Arbitrary bytes at the parsers: no exception escapes, one outcome at most."""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from ibismount.caller_connection import CallerConnection
from ibismount.http_client import ExchangeFailure, RawResponse
from ibismount.peer_frames import (
    MAX_FRAME_BYTES,
    FeedHeartbeat,
    FrameError,
    FrameReader,
    decode_probe,
    encode_frame,
    encode_probe,
)
from ibismount.probe_messages import Ping
from tests.test_request_bounds import Endpoint, FakeTransport
from tests.test_response_bounds import start_exchange

FUZZ = settings(max_examples=300, derandomize=True, deadline=None)

HTTP_PIECES = st.sampled_from(
    [
        b'HTTP/1.1 200 OK\r\n',
        b'HTTP/1.1 100 Continue\r\n\r\n',
        b'HTTP/1.1 304 N\r\n',
        b'GET /a HTTP/1.1\r\n',
        b'POST /a HTTP/1.1\r\nhost: a\r\n',
        b'content-length: 3\r\n',
        b'content-length: 99999999999999999999\r\n',
        b'transfer-encoding: chunked\r\n',
        b'connection: close\r\n',
        b'upgrade: x\r\nconnection: upgrade\r\n',
        b'\r\n',
        b'\n',
        b'3\r\nabc\r\n',
        b'0\r\n\r\n',
        b'ffffffffffffffff\r\n',
        b'abc',
        b'\x00',
    ]
)
HTTP_BYTES = st.lists(HTTP_PIECES | st.binary(max_size=12), max_size=12)


@FUZZ
@given(HTTP_BYTES, st.sampled_from([b'GET', b'HEAD']), st.booleans())
def test_any_response_has_one_outcome(pieces, method, ends_with_eof):
    """A server in trouble may send bytes that are no answer."""
    conn, owner, transport = start_exchange(method)
    for piece in pieces:
        if not transport.aborted:
            conn.data_received(piece)
    if not transport.aborted:
        if ends_with_eof:
            conn.eof_received()
        conn.connection_lost(None)
    (outcome,) = owner.outcomes
    assert outcome is ExchangeFailure.BROKEN or (
        isinstance(outcome, RawResponse) and outcome.status >= 200
    )


@FUZZ
@given(HTTP_BYTES)
def test_any_request_is_read_or_refused(pieces):
    """An exception would leave the caller without an answer."""

    class Accepting(Endpoint):
        def handle(self, raw, conn):
            assert raw.method
            conn.answer(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')

    async def main():
        conn = CallerConnection(Accepting())
        transport = FakeTransport()
        conn.connection_made(transport)
        for piece in pieces:
            conn.data_received(piece)
            await asyncio.sleep(0)
        conn.connection_lost(None)

    asyncio.run(main())


FRAME = encode_frame(FeedHeartbeat(True, 0.5))
PROBE = encode_probe('10.0.0.1', Ping(7, ()))


@FUZZ
@given(
    st.lists(
        st.sampled_from([FRAME, FRAME[:5], b'\x80\x00\x00\x05'])
        | st.binary(max_size=20),
        max_size=6,
    )
)
def test_any_frame_is_decoded_or_an_error(pieces):
    """A peer of another version, or another program, may connect."""
    reader = FrameReader()
    try:
        for piece in pieces:
            reader.feed(piece)
    except FrameError:
        return
    assert len(reader._buffer) <= MAX_FRAME_BYTES + 4


@FUZZ
@given(st.binary(max_size=60), st.integers(0, len(PROBE)))
def test_any_datagram_is_decoded_or_an_error(noise, position):
    """Anyone can send datagrams to the port of the probes."""
    for raw in (noise, PROBE[:position] + noise, noise + PROBE[position:]):
        try:
            decode_probe(raw)
        except FrameError:
            continue
