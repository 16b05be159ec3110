"""Encode what nodes tell each other: probes, and changes of the view.

Probes are single datagrams; changes are length-framed on a stream. Both are
bounded, and bytes that can't be read raise `FrameError`.
"""

import dataclasses
import zlib
from typing import Any

import msgspec

from ibismount.fleet_state import (
    FleetChange,
    ServerChanged,
    ServerRemoved,
    ServersListed,
    ZoneChanged,
    ZonesListed,
)
from ibismount.member import Member
from ibismount.probing import (
    Ack,
    MemberStatus,
    Ping,
    PingReq,
    ProbeMessage,
)
from ibismount.routes import CallerLimits, Route, RouteTable, Service

__all__ = (
    'FRAME_BYTES_MOST',
    'Beat',
    'FrameError',
    'FrameReader',
    'decode_probe',
    'encode_frame',
    'encode_probe',
)

FRAME_BYTES_MOST = 4 * 1024 * 1024
_LENGTH_BYTES = 4
# Set in the length of a compressed frame.
_PACKED_BIT = 1 << 31
# Shorter frames gain nothing by compression. A version of the configuration or
# a list of servers goes to every node and shrinks to a quarter or less.
PACK_BYTES_LEAST = 512
# The fast end of zlib: a source packs its view for a hundred nodes at once.
_PACK_LEVEL = 3


class FrameError(ValueError):
    """Report bytes from a peer that are no frame of this version."""


@dataclasses.dataclass(frozen=True, slots=True)
class Beat:
    """Tell whether the sender follows the store itself, and how closely.

    ``contact_age_s`` is the time since the store last answered it.
    """

    current: bool
    contact_age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _TableFrame:
    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits


_FRAMES: tuple[type, ...] = (
    Beat,
    _TableFrame,
    ServerChanged,
    ServerRemoved,
    ServersListed,
    ZoneChanged,
    ZonesListed,
)
_PROBES: tuple[type, ...] = (Ping, PingReq, Ack)
# The fields of a member in their order, then its status and sequence.
_FlatStatus = tuple[str, int, str, str, str, str, int, float, str, int]
_DECODE_PROBE = msgspec.msgpack.Decoder(
    tuple[int, str, int, str, list[_FlatStatus]]
)
_DECODE_TAGGED = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])


def encode_probe(sender: str, message: ProbeMessage) -> bytes:
    """Encode a probe with the id of its sender.

    Probes are most of the bytes between idle nodes, so that members are sent
    as plain lists, without the names of their fields.
    """
    target = '' if isinstance(message, Ping) else message.target
    updates = () if isinstance(message, PingReq) else message.updates
    flat = [
        (*dataclasses.astuple(one.member), one.status, one.sequence)
        for one in updates
    ]
    tag = _PROBES.index(type(message))
    return msgspec.msgpack.encode((tag, sender, message.probe, target, flat))


def decode_probe(raw: bytes) -> tuple[str, ProbeMessage]:
    """Decode a probe and the id of its sender.

    Raises:
        FrameError: The bytes are no probe.
    """
    try:
        tag, sender, probe, target, flat = _DECODE_PROBE.decode(raw)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise FrameError(str(exc)) from exc
    updates = tuple(
        MemberStatus(Member(*fields), status, sequence)
        for *fields, status, sequence in flat
    )
    if tag == _PROBES.index(Ping):
        return sender, Ping(probe, updates)
    if tag == _PROBES.index(PingReq):
        return sender, PingReq(probe, target)
    if tag == _PROBES.index(Ack):
        return sender, Ack(probe, target, updates)
    raise FrameError(f'unknown probe {tag}')


def encode_frame(change: FleetChange | Beat) -> bytes:
    """Encode a change or a beat, with its length."""
    if isinstance(change, RouteTable):
        change = _TableFrame(
            change.version, change.routes, dict(change.services), change.limits
        )
    tag = _FRAMES.index(type(change))
    body = msgspec.msgpack.encode((tag, change))
    packed = len(body) > PACK_BYTES_LEAST
    if packed:
        body = zlib.compress(body, _PACK_LEVEL)
    head = len(body) | (_PACKED_BIT if packed else 0)
    return head.to_bytes(_LENGTH_BYTES, 'big') + body


class FrameReader:
    """Cut a stream into changes and beats.

    Example::

        reader = FrameReader()
        reader.feed(encode_frame(Beat(True, 0)))  # [Beat(True, 0)]
    """

    def __init__(self) -> None:
        """Start with no bytes."""
        self._bytes = bytearray()

    def feed(self, data: bytes) -> list[FleetChange | Beat]:
        """Return the frames that are whole now.

        Raises:
            FrameError: The stream is broken; it must not be read further.
        """
        self._bytes += data
        found = []
        while len(self._bytes) >= _LENGTH_BYTES:
            head = int.from_bytes(self._bytes[:_LENGTH_BYTES], 'big')
            length = head & ~_PACKED_BIT
            if length > FRAME_BYTES_MOST:
                raise FrameError(f'frame of {length} bytes')
            end = _LENGTH_BYTES + length
            if len(self._bytes) < end:
                break
            body = bytes(self._bytes[_LENGTH_BYTES:end])
            del self._bytes[:end]
            if head & _PACKED_BIT:
                body = _unpack(body)
            found.append(_plain(_decode(body)))
        return found


def _unpack(packed: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(packed, FRAME_BYTES_MOST)
    except zlib.error as exc:
        raise FrameError(f'frame can not be unpacked: {exc}') from exc
    if not unpacker.eof:
        raise FrameError('frame is cut, or too large when unpacked')
    return body


def _decode(raw: bytes) -> Any:
    try:
        tag, body = _DECODE_TAGGED.decode(raw)
        if not 0 <= tag < len(_FRAMES):
            raise FrameError(f'unknown frame {tag}')
        return msgspec.msgpack.decode(body, type=_FRAMES[tag])
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise FrameError(str(exc)) from exc


def _plain(frame: Any) -> FleetChange | Beat:
    if isinstance(frame, _TableFrame):
        return RouteTable(
            frame.version, frame.routes, frame.services, frame.limits
        )
    return frame
