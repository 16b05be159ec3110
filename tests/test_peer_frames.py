"""Tests of frames between nodes: round trips, limits and fuzzing."""

import zlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibismount.fleet import (
    ServerChanged,
    ServerRemoved,
    ServersListed,
    ZoneChanged,
    ZonesListed,
)
from ibismount.member import Member
from ibismount.peer_frames import (
    MAX_FRAME_BYTES,
    FeedHeartbeat,
    FrameError,
    FrameReader,
    decode_probe,
    encode_frame,
    encode_probe,
)
from ibismount.probe_messages import Ack, MemberStatus, Ping, PingReq
from ibismount.routes import Route, RouteTable, Service, WeightedService
from ibismount.servers import Server

SERVER = Server('i-1', 'desk', '10.0.0.1', 80, 'z1', 4, revision=3)
ROUTE = Route(
    'r', 'h', '/a/', False, 1.5, 0.5, services=(WeightedService('s', 2),)
)
TABLE = RouteTable(7, (ROUTE,), {'s': Service('s', max_connections=9)})
FRAMES = [
    FeedHeartbeat(current=True, contact_age_s=0.5),
    TABLE,
    ServerChanged(SERVER),
    ServerRemoved('i-1', 4, 2.5),
    ServersListed((SERVER,), 9),
    ZoneChanged('z1', out=True, revision=4),
    ZonesListed(('z1',), 5),
]
MEMBER = Member('n1', 5, 'z1', 'r', '10.0.0.1:7740', '10.0.0.1:80')
STATUS = MemberStatus(MEMBER, 'alive', 3)


def test_frames_are_read_from_a_stream_split_anywhere():
    """TCP may split a stream at any byte."""
    raw = b''.join(map(encode_frame, FRAMES))
    reader = FrameReader()
    frames = []
    for start in range(0, len(raw), 7):
        frames.extend(reader.feed(raw[start : start + 7]))
    assert frames == FRAMES
    assert frames[1].match('h', '/a/b').name == 'r'


@pytest.mark.parametrize(
    'message',
    [Ping(3, (STATUS,)), PingReq(4, 'n2'), Ack(5, 'n2', (STATUS, STATUS))],
)
def test_probe_is_decoded_with_its_sender(message):
    """The answer to a probe goes to the node that sent it."""
    assert decode_probe(encode_probe('n9', message)) == ('n9', message)


def test_probe_of_an_idle_fleet_is_small():
    """Probes between idle nodes caused more traffic than the searches."""
    assert len(encode_probe('10.0.0.1', Ping(2**32, (STATUS,)))) < 110


def test_oversized_frame_is_refused_by_its_length():
    """A length prefix alone must not make a node buffer 4 GB."""
    with pytest.raises(FrameError):
        FrameReader().feed((MAX_FRAME_BYTES + 1).to_bytes(4, 'big'))


def list_servers(count):
    return ServersListed(
        tuple(
            Server(
                f'i-{number:08x}',
                f'desk{number % 36}',
                f'10.0.{number}.1',
                80,
                'z1',
                4,
            )
            for number in range(count)
        ),
        9,
    )


def test_large_frames_are_compressed():
    """A configuration of 20 KB went to 117 nodes twice, across zones."""
    listed = list_servers(125)
    raw = encode_frame(listed)
    assert len(raw) * 4 < len(msgspec.msgpack.encode(listed))
    assert FrameReader().feed(raw) == [listed]


def test_frame_too_large_when_decompressed_is_refused():
    """A few bytes can decompress to gigabytes."""
    compressed = zlib.compress(bytes(MAX_FRAME_BYTES + 1))
    header = len(compressed) | 1 << 31
    with pytest.raises(FrameError):
        FrameReader().feed(header.to_bytes(4, 'big') + compressed)


def test_truncated_compressed_frame_is_refused():
    """An incomplete frame must not be decoded."""
    raw = encode_frame(list_servers(50))[4:-9]
    header = len(raw) | 1 << 31
    with pytest.raises(FrameError):
        FrameReader().feed(header.to_bytes(4, 'big') + raw)


@given(st.binary(max_size=200))
def test_any_datagram_is_decoded_or_refused(raw):
    """Anyone can send bytes to the port."""
    try:
        decode_probe(raw)
    except FrameError:
        pass


@given(st.binary(max_size=200), st.sampled_from(FRAMES), st.integers(0, 60))
def test_damaged_stream_is_decoded_or_refused(noise, frame, position):
    """A faulty peer must not crash the process."""
    raw = bytearray(encode_frame(frame))
    raw[position:position] = noise
    try:
        FrameReader().feed(bytes(raw))
    except FrameError:
        pass
