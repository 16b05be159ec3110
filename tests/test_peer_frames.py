"""Frames between nodes: round trips, bounds and fuzzing."""

import zlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibismount.fleet_state import (
    ServerChanged,
    ServerRemoved,
    ServersListed,
    ZoneChanged,
    ZonesListed,
)
from ibismount.member import Member
from ibismount.peer_frames import (
    FRAME_BYTES_MOST,
    Beat,
    FrameError,
    FrameReader,
    decode_probe,
    encode_frame,
    encode_probe,
)
from ibismount.probing import Ack, MemberStatus, Ping, PingReq
from ibismount.routes import Route, RouteTable, Service, WeightedService
from ibismount.server_table import Server

SERVER = Server('i-1', 'desk', '10.0.0.1', 80, 'z1', 4, revision=3)
ROUTE = Route(
    'r', 'h', '/a/', False, 1.5, 0.5, services=(WeightedService('s', 2),)
)
TABLE = RouteTable(7, (ROUTE,), {'s': Service('s', max_connections=9)})
FRAMES = [
    Beat(current=True, contact_age_s=0.5),
    TABLE,
    ServerChanged(SERVER),
    ServerRemoved('i-1', 4, 2.5),
    ServersListed((SERVER,), 9),
    ZoneChanged('z1', out=True, revision=4),
    ZonesListed(('z1',), 5),
]
MEMBER = Member('n1', 5, 'z1', 'r', '10.0.0.1:7740', '10.0.0.1:80')
STATUS = MemberStatus(MEMBER, 'alive', 3)


def test_frames_survive_any_cut_of_the_stream():
    """TCP cuts a stream anywhere."""
    raw = b''.join(map(encode_frame, FRAMES))
    reader = FrameReader()
    found = []
    for start in range(0, len(raw), 7):
        found.extend(reader.feed(raw[start : start + 7]))
    assert found == FRAMES
    assert found[1].match('h', '/a/b').name == 'r'


@pytest.mark.parametrize(
    'message',
    [Ping(3, (STATUS,)), PingReq(4, 'n2'), Ack(5, 'n2', (STATUS, STATUS))],
)
def test_probes_come_back_with_their_sender(message):
    """A probe is answered to the node that sent it."""
    assert decode_probe(encode_probe('n9', message)) == ('n9', message)


def test_probe_of_a_calm_fleet_is_small():
    """Probes between idle nodes cost more bytes than the searches did."""
    assert len(encode_probe('10.0.0.1', Ping(2**32, (STATUS,)))) < 110


def test_oversized_frame_is_refused_before_it_is_read():
    """A length alone must not make a node hold four gigabytes."""
    with pytest.raises(FrameError):
        FrameReader().feed((FRAME_BYTES_MOST + 1).to_bytes(4, 'big'))


def servers_listed(count):
    return ServersListed(
        tuple(
            Server(
                f'i-{one:08x}', f'desk{one % 36}', f'10.0.{one}.1', 80, 'z1', 4
            )
            for one in range(count)
        ),
        9,
    )


def test_large_frames_are_packed():
    """A version went to 117 nodes twice, at 20 KB each, between zones."""
    listed = servers_listed(125)
    raw = encode_frame(listed)
    assert len(raw) * 4 < len(msgspec.msgpack.encode(listed))
    assert FrameReader().feed(raw) == [listed]


def test_packed_frame_that_grows_too_large_is_refused():
    """A few bytes can unpack to gigabytes."""
    packed = zlib.compress(bytes(FRAME_BYTES_MOST + 1))
    head = len(packed) | 1 << 31
    with pytest.raises(FrameError):
        FrameReader().feed(head.to_bytes(4, 'big') + packed)


def test_packed_frame_that_is_cut_is_refused():
    """The rest of a broken frame is no frame of its own."""
    raw = encode_frame(servers_listed(50))[4:-9]
    head = len(raw) | 1 << 31
    with pytest.raises(FrameError):
        FrameReader().feed(head.to_bytes(4, 'big') + raw)


@given(st.binary(max_size=200))
def test_any_datagram_is_a_probe_or_refused(raw):
    """Anyone may send bytes to the port."""
    try:
        decode_probe(raw)
    except FrameError:
        pass


@given(st.binary(max_size=200), st.sampled_from(FRAMES), st.integers(0, 60))
def test_damaged_stream_is_refused_or_read(noise, frame, position):
    """A broken peer must not end the process."""
    raw = bytearray(encode_frame(frame))
    raw[position:position] = noise
    try:
        FrameReader().feed(bytes(raw))
    except FrameError:
        pass
