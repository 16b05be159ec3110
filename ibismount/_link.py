"""One authenticated link between two nodes: handshake, frames, heartbeats."""

import dataclasses
from collections.abc import Callable
from typing import Final

import anyio
import anyio.abc

from ibismount._session import SEAL_BYTES, Session, check_hello
from ibismount.errors import ErrorCode, IbismountError
from ibismount.frame import (
    LENGTH_PREFIX_BYTES,
    MAX_FRAME_BYTES,
    add_length_prefix,
    decode_body,
    encode_body,
    parse_body_length,
)
from ibismount.messages import (
    BatchReply,
    BatchRequest,
    Hello,
    Message,
)

__all__ = ('BATCH_TYPES', 'FrameReader', 'Link', 'LinkTimings', 'handshake')

NextMessage = Callable[[], tuple[Message, bytes] | None]

BATCH_TYPES: Final = (BatchRequest, BatchReply)
_READ_BYTES: Final = 65536
_MAX_SEALED_BYTES: Final = MAX_FRAME_BYTES + SEAL_BYTES
# Kept small because the peer that sends the Hello is not authenticated yet.
_MAX_HELLO_BYTES: Final = 4096
# Queued frames are joined up to this size and sent with one system call.
_MAX_WRITE_BYTES: Final = 262144


@dataclasses.dataclass(frozen=True, slots=True)
class LinkTimings:
    """Periods and timeouts of a link, in seconds.

    The dialling side closes an idle link; otherwise the membership probes
    would leave a link open to every node. A link that carried batches stays
    open for longer than the longest request deadline.
    """

    heartbeat_s: float = 1
    dead_after_s: float = 3
    handshake_s: float = 3
    idle_after_s: float = 2
    batch_idle_after_s: float = 15


class FrameReader:
    """Split a byte stream into frame bodies."""

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        """Start with an empty buffer."""
        self._stream = stream
        self._buffer = bytearray()
        self.last_received_at = anyio.current_time()

    async def read(self, limit: int = _MAX_SEALED_BYTES) -> bytes:
        """Return the next frame's body.

        Raises:
            IbismountError: ``frame_too_large``, ``frame_truncated``, or
                ``link_lost`` when the stream ends between two frames.
        """
        await self._fill_buffer(LENGTH_PREFIX_BYTES)
        end_bytes = LENGTH_PREFIX_BYTES + parse_body_length(
            self._buffer[:LENGTH_PREFIX_BYTES], limit=limit
        )
        await self._fill_buffer(end_bytes)
        body = bytes(self._buffer[LENGTH_PREFIX_BYTES:end_bytes])
        del self._buffer[:end_bytes]
        return body

    async def _fill_buffer(self, size_bytes: int) -> None:
        while len(self._buffer) < size_bytes:
            try:
                chunk = await self._stream.receive(_READ_BYTES)
            except anyio.EndOfStream as exc:
                raise self._end_of_stream_error() from exc
            self.last_received_at = anyio.current_time()
            self._buffer += chunk

    def _end_of_stream_error(self) -> IbismountError:
        if self._buffer:
            return IbismountError(
                ErrorCode.FRAME_TRUNCATED,
                f'the connection ended {len(self._buffer)} bytes into a frame',
            )
        return IbismountError(ErrorCode.LINK_LOST, 'the peer closed the link')


async def handshake(
    stream: anyio.abc.ByteStream,
    own_hello: Hello,
    *,
    secret: bytes,
    expected_node_id: str = '',
) -> 'Link':
    """Exchange a Hello and one sealed frame in each direction.

    Args:
        stream: A new connection.
        own_hello: This side's Hello with a fresh nonce.
        secret: The cluster's shared secret.
        expected_node_id: Node id that was dialled; empty on the accepting side.

    Returns:
        The established link.

    Raises:
        IbismountError: The peer was refused; the code gives the reason.
    """
    reader = FrameReader(stream)
    own_body = encode_body(own_hello)
    dialled = bool(expected_node_id)
    if dialled:
        await stream.send(add_length_prefix(own_body))
    peer_body = await reader.read(_MAX_HELLO_BYTES)
    if not dialled:
        # Sent before the peer's Hello is checked, so that both sides can log
        # the reason of a refusal.
        await stream.send(add_length_prefix(own_body))
    peer_hello = decode_body(peer_body)
    if not isinstance(peer_hello, Hello):
        raise IbismountError(
            ErrorCode.PEER_REFUSED, 'the first frame is not a Hello'
        )
    check_hello(own_hello, peer_hello, expected_node_id=expected_node_id)
    dialler_body, acceptor_body = (
        (own_body, peer_body) if dialled else (peer_body, own_body)
    )
    session = Session(secret, dialler_body, acceptor_body, dialled=dialled)
    await stream.send(session.seal(b''))
    session.open(await reader.read(_MAX_HELLO_BYTES))
    return Link(stream, reader, session, peer_hello, dialled=dialled)


class Link:
    """Send and receive sealed frames on one authenticated connection.

    The owner supplies the messages to send. A frame with an empty body is a
    heartbeat, which costs an idle link 28 bytes per second. Heartbeats are
    omitted while messages are being sent.
    """

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        reader: FrameReader,
        session: Session,
        peer_hello: Hello,
        *,
        dialled: bool,
    ) -> None:
        """Wrap a connection whose handshake has succeeded."""
        self.peer_hello = peer_hello
        self.dialled = dialled
        self.cancel_scope = anyio.CancelScope()
        self.end_reason: IbismountError | None = None
        self.closed_as_idle = False
        self.carried_batch = False
        self.opened_at = anyio.current_time()
        self.last_message_at = self.opened_at
        self._stream = stream
        self._reader = reader
        self._session = session
        self._write_started_at: float | None = None
        self._heartbeat_due = False
        self._last_sent_at = self.opened_at
        self._work_available = anyio.Event()

    @property
    def writing(self) -> bool:
        """Return whether a write to the connection is in progress."""
        return self._write_started_at is not None

    def wake_writer(self) -> None:
        """Wake the writer, because a message or heartbeat is due."""
        self._work_available.set()

    def end(self, reason: IbismountError) -> None:
        """End the link; only the first reason is kept."""
        self.end_reason = self.end_reason or reason
        self.cancel_scope.cancel()

    async def receive(self) -> bytes:
        """Return the body of the next message, skipping heartbeats."""
        while True:
            body = self._session.open(await self._reader.read())
            if body:
                return body

    async def write_messages(self, next_message: NextMessage) -> None:
        """Send queued messages and heartbeats until the link ends.

        Args:
            next_message: Removes and returns the next queued message with
                its encoded body, or returns None when there is none.
        """
        while True:
            sealed_frames, total_bytes = [], 0
            while total_bytes < _MAX_WRITE_BYTES:
                queued = next_message()
                if queued is None:
                    break
                message, body = queued
                self.record_message(message)
                sealed_frames.append(self._session.seal(body))
                total_bytes += len(body)
            if not sealed_frames and self._heartbeat_due:
                sealed_frames.append(self._session.seal(b''))
            if sealed_frames:
                await self._send(b''.join(sealed_frames))
            else:
                await self._work_available.wait()
                self._work_available = anyio.Event()

    async def monitor(self, timings: LinkTimings) -> None:
        """Schedule heartbeats and end a link that is dead or idle.

        A link is dead when nothing was received, or one write took, for
        longer than ``dead_after_s``.
        """
        next_heartbeat_at = anyio.current_time() + timings.heartbeat_s
        while True:
            dead_at = self._last_progress_at() + timings.dead_after_s
            wake_at = min(next_heartbeat_at, dead_at)
            await anyio.sleep_until(wake_at)
            if anyio.current_time() - wake_at > timings.heartbeat_s / 2:
                # This process was stalled. Read the bytes that are already
                # buffered before declaring the link dead.
                await anyio.sleep(timings.heartbeat_s / 10)
            now = anyio.current_time()
            if now >= self._last_progress_at() + timings.dead_after_s:
                self.end(
                    IbismountError(
                        ErrorCode.LINK_LOST,
                        f'the link made no progress for {timings.dead_after_s} s',
                    )
                )
            elif now >= next_heartbeat_at:
                self._close_if_idle(now, timings)
                next_heartbeat_at = self._last_sent_at + timings.heartbeat_s
                if now >= next_heartbeat_at:
                    next_heartbeat_at = now + timings.heartbeat_s
                    self._heartbeat_due = True
                    self.wake_writer()

    def record_message(self, message: Message) -> None:
        """Restart the idle timer, because the link carried a message."""
        self.last_message_at = anyio.current_time()
        if isinstance(message, BATCH_TYPES):
            self.carried_batch = True

    def idle_for_s(self, now: float) -> float:
        """Return the seconds since the link last carried a message."""
        return now - self.last_message_at

    def idle_limit_s(self, timings: LinkTimings) -> float:
        """Return the idle seconds after which the link may be closed."""
        if self.carried_batch:
            return timings.batch_idle_after_s
        return timings.idle_after_s

    async def aclose(self) -> None:
        """Close the connection, even when the calling task is cancelled."""
        with anyio.CancelScope(shield=True):
            try:
                await self._stream.aclose()
            except (anyio.BrokenResourceError, OSError):
                return

    def _close_if_idle(self, now: float, timings: LinkTimings) -> None:
        if self.dialled and self.idle_for_s(now) >= self.idle_limit_s(timings):
            self.closed_as_idle = True
            self.end(IbismountError(ErrorCode.LINK_LOST, 'the link was idle'))

    def _last_progress_at(self) -> float:
        last_received_at = self._reader.last_received_at
        if self._write_started_at is None:
            return last_received_at
        return min(last_received_at, self._write_started_at)

    async def _send(self, frames: bytes) -> None:
        self._write_started_at = anyio.current_time()
        await self._stream.send(frames)
        self._write_started_at = None
        self._last_sent_at = anyio.current_time()
        self._heartbeat_due = False
