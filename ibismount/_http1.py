"""HTTP/1.1 client connection that runs one request at a time."""

import select
from collections.abc import Sequence
from typing import Any, Final, NamedTuple

import anyio
import anyio.abc
import h11

__all__ = ('Http1Connection', 'Http1Error', 'Http1Response')

# A batch reply carries the body in one frame of at most 4 MiB.
MAX_BODY_BYTES: Final = 3 * 1024 * 1024
_READ_SIZE_BYTES: Final = 65536
_HEADERS = Sequence[tuple[bytes, bytes]]


class Http1Response(NamedTuple):
    """A complete response; header names are lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class Http1Error(Exception):
    """Report an exchange that failed.

    ``closed`` is True if the server closed the connection, and False if it
    sent an invalid answer. ``sent`` is False if the request could not be
    encoded as HTTP.
    """

    def __init__(
        self, message: str, *, closed: bool, sent: bool = True
    ) -> None:
        """Store the message and how the exchange ended."""
        super().__init__(message)
        self.closed = closed
        self.sent = sent


class Http1Connection:
    """Run one request at a time on a byte stream."""

    def __init__(
        self, stream: anyio.abc.ByteStream, *, host: str, epoch: int = 0
    ) -> None:
        """Take ownership of the stream; ``epoch`` is used by the pool only."""
        self.epoch = epoch
        self.sent = False
        self._stream = stream
        self._host = host.encode()
        self._h11 = h11.Connection(h11.CLIENT)
        self._ended = False

    def is_stale(self) -> bool:
        """Return whether an idle connection was closed or has stray bytes.

        Nothing may arrive on an idle connection, so a readable socket means
        end of file, a reset or bytes that belong to no request.
        """
        raw = self._stream.extra(anyio.abc.SocketAttribute.raw_socket, None)
        if raw is None:
            return False
        descriptor = raw.fileno()
        if descriptor < 0:
            return True
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))

    @property
    def reusable(self) -> bool:
        """Return whether another request may be sent."""
        return self._h11.our_state is h11.IDLE

    async def exchange(
        self, method: str, target: str, headers: _HEADERS, body: bytes
    ) -> Http1Response:
        """Send one request and read its whole answer.

        ``sent`` becomes True before the first byte may be sent.

        Raises:
            Http1Error: The connection ended or the answer is malformed.
        """
        self.sent = False
        try:
            raw = self._request(method, target, headers, body)
        except h11.LocalProtocolError as exc:
            raise Http1Error(str(exc), closed=False, sent=False) from exc
        try:
            self.sent = True
            await self._stream.send(raw)
            return await self._read_answer()
        except h11.RemoteProtocolError as exc:
            raise Http1Error(str(exc), closed=self._ended) from exc
        except (
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            OSError,
        ) as exc:
            raise Http1Error(
                f'the connection failed ({exc!r})', closed=True
            ) from exc

    async def aclose(self) -> None:
        """Close the stream, even if the caller is cancelled."""
        with anyio.CancelScope(shield=True):
            try:
                await self._stream.aclose()
            except (anyio.BrokenResourceError, OSError):
                return

    def _request(
        self, method: str, target: str, headers: _HEADERS, body: bytes
    ) -> bytes:
        request = h11.Request(
            method=method,
            target=target,
            headers=[
                (b'host', self._host),
                (b'content-length', b'%d' % len(body)),
                *headers,
            ],
        )
        parts = [self._h11.send(request)]
        if body:
            parts.append(self._h11.send(h11.Data(data=body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        return b''.join(part for part in parts if part)

    async def _read_answer(self) -> Http1Response:
        response: h11.Response | None = None
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                response = event
            elif isinstance(event, h11.Data):
                body.extend(event.data)
            elif isinstance(event, h11.EndOfMessage) and response:
                return self._complete_answer(response, bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                raise Http1Error(
                    'the server closed the connection', closed=True
                )
            if len(body) > MAX_BODY_BYTES:
                raise Http1Error(
                    'the answer exceeds the size limit', closed=False
                )

    async def _next_event(self) -> Any:
        event = self._h11.next_event()
        while event is h11.NEED_DATA:
            self._h11.receive_data(await self._receive())
            event = self._h11.next_event()
        return event

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive(_READ_SIZE_BYTES)
        except anyio.EndOfStream:
            self._ended = True
            return b''

    def _complete_answer(
        self, response: h11.Response, body: bytes
    ) -> Http1Response:
        if self._h11.trailing_data[0]:
            raise Http1Error('unexpected bytes follow the answer', closed=False)
        if self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
        return Http1Response(response.status_code, dict(response.headers), body)
