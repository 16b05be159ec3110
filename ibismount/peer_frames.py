"""Encode the messages between edge nodes: probes, changes and heartbeats.

A probe is one datagram. Changes and heartbeats are length-prefixed frames on a
stream. Sizes are bounded, and invalid bytes raise `FrameError`.
"""

import dataclasses
import operator
import zlib
from collections.abc import Iterable
from typing import Any

import msgspec

from ibismount.fleet_state import (
    FleetChange,
    ServerChanged,
    ServerRemoved,
    ServersListed,
    ViewRevisions,
    ZoneChanged,
    ZonesListed,
)
from ibismount.member import Member
from ibismount.probe_messages import (
    Ack,
    MembersChanged,
    MemberStatus,
    Ping,
    PingReq,
    ProbeMessage,
)
from ibismount.quarantine_sharing import QuarantineUpdate
from ibismount.routes import CallerLimits, Route, RouteTable, Service
from ibismount.server_limit_sharing import ServerLimitsUpdate

__all__ = (
    'MAX_FRAME_BYTES',
    'FeedHeartbeat',
    'Frame',
    'FrameError',
    'FrameReader',
    'decode_probe',
    'encode_frame',
    'encode_probe',
    'pop_frame',
)

MAX_FRAME_BYTES = 4 * 1024 * 1024
_LENGTH_BYTES = 4
# Set in the length prefix of a compressed frame.
_COMPRESSED_FLAG = 1 << 31
# Compression saves nothing on shorter frames. A routing configuration or a list
# of servers goes to every node and shrinks to a quarter or less.
COMPRESSION_THRESHOLD_BYTES = 512
# A fast zlib level, since a source compresses its view while a hundred nodes
# connect at once.
_COMPRESSION_LEVEL = 3


class FrameError(ValueError):
    """Raised when bytes from a peer are not a valid probe or frame."""


@dataclasses.dataclass(frozen=True, slots=True)
class FeedHeartbeat:
    """Report whether the sender watches the store and is up to date.

    ``current`` is `ChangeFeed.current` of the sender. ``contact_age_s`` is the
    time since the store last answered the sender, in seconds.
    """

    current: bool
    contact_age_s: float


Frame = (
    FleetChange
    | FeedHeartbeat
    | ViewRevisions
    | MembersChanged
    | QuarantineUpdate
    | ServerLimitsUpdate
)


@dataclasses.dataclass(frozen=True, slots=True)
class _RouteTableFrame:
    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits


# The fields of `Member` in order, then the status and the sequence.
_StatusRow = tuple[str, int, str, str, str, str, int, float, str, int]
# `dataclasses.astuple` copies deeply, which takes nine times as long: a source
# sends the rows of all nodes to each node that starts.
_member_fields = operator.attrgetter(
    *(field.name for field in dataclasses.fields(Member))
)


@dataclasses.dataclass(frozen=True, slots=True)
class _MembersFrame:
    rows: list[_StatusRow]


_FRAME_TYPES: tuple[type, ...] = (
    FeedHeartbeat,
    _RouteTableFrame,
    ServerChanged,
    ServerRemoved,
    ServersListed,
    ZoneChanged,
    ZonesListed,
    ViewRevisions,
    _MembersFrame,
    QuarantineUpdate,
    ServerLimitsUpdate,
)
_PROBE_TYPES: tuple[type, ...] = (Ping, PingReq, Ack)
_PROBE_DECODER = msgspec.msgpack.Decoder(
    tuple[int, str, int, str, list[_StatusRow]]
)
_TAGGED_FRAME_DECODER = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])


def encode_probe(sender: str, message: ProbeMessage) -> bytes:
    """Encode a probe with the id of its sender.

    Probes make up most of the traffic between idle nodes, so members are sent
    as plain lists without field names.
    """
    target = '' if isinstance(message, Ping) else message.target
    updates = () if isinstance(message, PingReq) else message.updates
    rows = _encode_statuses(updates)
    tag = _PROBE_TYPES.index(type(message))
    return msgspec.msgpack.encode((tag, sender, message.probe, target, rows))


def decode_probe(raw: bytes) -> tuple[str, ProbeMessage]:
    """Decode a probe and the id of its sender.

    Raises:
        FrameError: The bytes are not a valid probe.
    """
    try:
        tag, sender, probe, target, rows = _PROBE_DECODER.decode(raw)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise FrameError(str(exc)) from exc
    updates = _decode_statuses(rows)
    if tag == _PROBE_TYPES.index(Ping):
        return sender, Ping(probe, updates)
    if tag == _PROBE_TYPES.index(PingReq):
        return sender, PingReq(probe, target)
    if tag == _PROBE_TYPES.index(Ack):
        return sender, Ack(probe, target, updates)
    raise FrameError(f'unknown type of probe: {tag}')


def _encode_statuses(updates: Iterable[MemberStatus]) -> list[_StatusRow]:
    return [
        (*_member_fields(update.member), update.status, update.sequence)
        for update in updates
    ]


def _decode_statuses(rows: Iterable[_StatusRow]) -> tuple[MemberStatus, ...]:
    return tuple(
        MemberStatus(Member(*fields), status, sequence)
        for *fields, status, sequence in rows
    )


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame with its length prefix."""
    if isinstance(frame, RouteTable):
        frame = _RouteTableFrame(
            frame.version, frame.routes, dict(frame.services), frame.limits
        )
    elif isinstance(frame, MembersChanged):
        frame = _MembersFrame(_encode_statuses(frame.updates))
    tag = _FRAME_TYPES.index(type(frame))
    body = msgspec.msgpack.encode((tag, frame))
    compressed = len(body) > COMPRESSION_THRESHOLD_BYTES
    if compressed:
        body = zlib.compress(body, _COMPRESSION_LEVEL)
    header = len(body) | (_COMPRESSED_FLAG if compressed else 0)
    return header.to_bytes(_LENGTH_BYTES, 'big') + body


class FrameReader:
    """Split a stream into changes and heartbeats.

    Example::

        reader = FrameReader()
        heartbeat = FeedHeartbeat(True, 0)
        reader.feed(encode_frame(heartbeat))  # [heartbeat]
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Add received bytes and return the frames that are now complete.

        Raises:
            FrameError: The stream is invalid and must not be read further.
        """
        self._buffer += data
        frames = []
        while True:
            frame = pop_frame(self._buffer)
            if frame is None:
                return frames
            frames.append(frame)


def pop_frame(buffer: bytearray) -> Frame | None:
    """Remove the first frame from a buffer; return None if it is incomplete.

    Raises:
        FrameError: The buffer does not begin with a valid frame.
    """
    # Pads an incomplete prefix, to reject one that is too large at once.
    prefix = bytes(buffer[:_LENGTH_BYTES]).ljust(_LENGTH_BYTES, b'\0')
    header = int.from_bytes(prefix, 'big')
    length = header & ~_COMPRESSED_FLAG
    if length > MAX_FRAME_BYTES:
        raise FrameError(f'frame of {length} bytes exceeds the limit')
    end = _LENGTH_BYTES + length
    if len(buffer) < end:
        return None
    body = bytes(buffer[_LENGTH_BYTES:end])
    del buffer[:end]
    if header & _COMPRESSED_FLAG:
        body = _decompress(body)
    return _to_change(_decode_frame(body))


def _decompress(compressed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(compressed, MAX_FRAME_BYTES)
    except zlib.error as exc:
        raise FrameError(f'cannot decompress the frame: {exc}') from exc
    if not decompressor.eof:
        raise FrameError('frame is truncated, or too large when decompressed')
    return body


def _decode_frame(raw: bytes) -> Any:
    try:
        tag, body = _TAGGED_FRAME_DECODER.decode(raw)
        if not 0 <= tag < len(_FRAME_TYPES):
            raise FrameError(f'unknown type of frame: {tag}')
        return msgspec.msgpack.decode(body, type=_FRAME_TYPES[tag])
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise FrameError(str(exc)) from exc


def _to_change(frame: Any) -> Frame:
    if isinstance(frame, _RouteTableFrame):
        return RouteTable(
            frame.version, frame.routes, frame.services, frame.limits
        )
    if isinstance(frame, _MembersFrame):
        return MembersChanged(_decode_statuses(frame.rows))
    return frame
