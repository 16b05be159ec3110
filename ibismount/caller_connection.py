"""HTTP/1.1 server side: connections of callers, one request at a time."""

import abc
import asyncio
import collections
import dataclasses
import select
from typing import Protocol

import httptools

from ibismount.errors import ErrorCode
from ibismount.http_client import configure_tcp_socket
from ibismount.routes import CallerLimits

__all__ = ('CallerConnection', 'CallerEndpoint', 'PendingRequest', 'RawRequest')


@dataclasses.dataclass(slots=True)
class RawRequest:
    """One complete request, with lower-case header names."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


class PendingRequest(Protocol):
    """A request that is not answered yet."""

    def caller_left(self) -> None:
        """Cancel the request: its caller has disconnected."""


class CallerEndpoint(abc.ABC):
    """Handles the requests that arrive at a listening address."""

    def __init__(self) -> None:
        """Start without connections."""
        self.connections: set[CallerConnection] = set()

    @property
    @abc.abstractmethod
    def limits(self) -> CallerLimits:
        """Return the limits that apply to callers now."""

    @property
    def leaving(self) -> bool:
        """Return whether connections close after their next answer."""
        return False

    @abc.abstractmethod
    def handle(
        self, raw: RawRequest, conn: 'CallerConnection'
    ) -> PendingRequest | None:
        """Start a request.

        The endpoint calls ``conn.answer`` once, during this call or later.

        Returns:
            The request under way, or None when it is answered already.
        """

    @abc.abstractmethod
    def encode_error(self, code: ErrorCode) -> bytes:
        """Encode the error answer to a malformed request."""


# After an error answer, further bytes of the caller are read and discarded for this
# time, in seconds, and up to this size. Closing at once would reset the
# connection, and the caller could lose the answer.
LINGER_S = 1.0
MAX_LINGER_BYTES = 1024 * 1024
# Bytes of one request beside its headers and body: request line, empty lines,
# framing of chunks. The parser keeps an unfinished name or value itself, so raw
# bytes are counted.
MAX_OVERHEAD_BYTES = 64 * 1024
# Chunks of a body may have this many bytes of framing for each byte of it.
MAX_OVERHEAD_PER_BODY_BYTE = 0.25
# Bytes of further requests that are buffered while a request is under way.
MAX_PIPELINED_BYTES = 65536


class CallerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, endpoint: CallerEndpoint) -> None:
        """Start without a transport."""
        self._endpoint = endpoint
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pending: PendingRequest | None = None
        self._busy = False
        self._pipelined = b''
        self._timer: asyncio.TimerHandle | None = None
        self.closed = False
        # Bytes that were discarded after an error answer.
        self._discarded_bytes = 0
        self._reset()

    @property
    def busy(self) -> bool:
        """Return whether a request waits for its answer."""
        return self._busy

    @property
    def idle(self) -> bool:
        """Return whether no request is under way or has arrived in part.

        Bytes that the kernel holds count: closing the connection before they
        are read would reset it.
        """
        return not (
            self._busy or self._request_begun or self._has_further_bytes()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and wait for the first request."""
        self._transport = transport
        self._endpoint.connections.add(self)
        configure_tcp_socket(transport.get_extra_info('socket'))
        self._start_timer(self._endpoint.limits.idle_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request of a caller that disconnected."""
        self.closed = True
        self._endpoint.connections.discard(self)
        self._stop_timer()
        self._cancel_pending()

    def eof_received(self) -> None:
        """Treat a caller that closed its sending side as disconnected."""
        self._cancel_pending()

    def data_received(self, data: bytes) -> None:
        """Read requests; buffer further bytes while one is under way."""
        if self.closed:
            self._discard(data)
            return
        if self._busy or self._requests or self._pipelined:
            # Also right after an answer, until the next request is started.
            self._pipelined += data
            if len(self._pipelined) > MAX_PIPELINED_BYTES:
                self.close()
            return
        if not self._request_begun:
            self._request_begun = True
            self._start_timer(self._endpoint.limits.header_s)
        self._parse(data)

    def answer(self, encoded: bytes, *, last: bool = False) -> None:
        """Send the answer to the request under way.

        Args:
            encoded: The bytes of the answer.
            last: Close the connection after it.
        """
        self._pending = None
        self._busy = False
        if self.closed:
            return
        self._transport.write(encoded)
        if last or self.closes_after_answer:
            self.close()
            return
        self._start_timer(self._endpoint.limits.idle_s)
        self._loop.call_soon(self._process_buffered)

    @property
    def closes_after_answer(self) -> bool:
        """Return whether the connection closes after the next answer.

        A node that leaves closes it once it has answered all that has arrived.
        """
        if not self._keep_alive:
            return True
        return self._endpoint.leaving and not self._has_further_bytes()

    def close(self) -> None:
        """Close once the bytes written so far are sent."""
        self.closed = True
        self._stop_timer()
        self._transport.close()

    def on_url(self, url: bytes) -> None:
        """Store a part of the target; called by the parser."""
        self._target += url

    def on_header(self, name: bytes, header_value: bytes) -> None:
        """Store a header; called by the parser."""
        self._header_bytes += len(name) + len(header_value) + 4
        self._headers.append((name.lower(), header_value))
        if self._header_bytes > self._endpoint.limits.header_bytes:
            self._limit_error = ErrorCode.HEADERS_TOO_LARGE

    def on_headers_complete(self) -> None:
        """Note that the head is complete; called by the parser."""
        self._head_complete = True

    def on_body(self, chunk: bytes) -> None:
        """Store a part of the body; called by the parser."""
        self._body.append(chunk)
        self._body_bytes += len(chunk)
        if self._body_bytes > self._endpoint.limits.body_bytes:
            self._limit_error = ErrorCode.BODY_TOO_LARGE

    def on_message_complete(self) -> None:
        """Queue a complete request; called by the parser."""
        raw = RawRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            b''.join(self._body),
        )
        self._requests.append((raw, self._parser.should_keep_alive()))
        self._clear_message()

    def _has_further_bytes(self) -> bool:
        """Return whether more than the request under way has arrived."""
        return bool(
            self._requests or self._pipelined or self._has_unread_bytes()
        )

    def _has_unread_bytes(self) -> bool:
        descriptor = self._transport.get_extra_info('socket').fileno()
        if descriptor < 0:
            return False
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))

    def _process_buffered(self) -> None:
        if self._busy or self.closed:
            return
        if self._requests:
            self._start_next()
        elif self._pipelined:
            pipelined, self._pipelined = self._pipelined, b''
            self.data_received(pipelined)

    def _parse(self, data: bytes) -> None:
        self._raw_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._send_error(ErrorCode.BAD_REQUEST)
            return
        except (httptools.HttpParserError, httptools.HttpParserCallbackError):
            if not self._requests:
                self._send_error(ErrorCode.BAD_REQUEST)
                return
            # Requests that were complete before the bad bytes are served; the
            # connection closes after the last of them.
            last, _ = self._requests.pop()
            self._requests.append((last, False))
        if not self._requests and self._has_too_much_overhead():
            self._limit_error = (
                ErrorCode.BODY_TOO_LARGE
                if self._head_complete
                else ErrorCode.HEADERS_TOO_LARGE
            )
        if self._limit_error is not None:
            self._send_error(self._limit_error)
        elif self._requests:
            self._start_next()

    def _has_too_much_overhead(self) -> bool:
        max_overhead = (
            self._endpoint.limits.header_bytes
            + MAX_OVERHEAD_BYTES
            + MAX_OVERHEAD_PER_BODY_BYTE * self._body_bytes
        )
        return self._raw_bytes - self._body_bytes > max_overhead

    def _start_next(self) -> None:
        raw, self._keep_alive = self._requests.popleft()
        self._request_begun = False
        self._stop_timer()
        self._busy = True
        pending = self._endpoint.handle(raw, self)
        if self._busy:
            self._pending = pending

    def _send_error(self, code: ErrorCode) -> None:
        if self.closed:
            return
        self.closed = True
        self._stop_timer()
        self._transport.write(self._endpoint.encode_error(code))
        self._transport.write_eof()
        self._timer = self._loop.call_later(LINGER_S, self._transport.close)

    def _discard(self, data: bytes) -> None:
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_LINGER_BYTES:
            self._transport.abort()

    def _cancel_pending(self) -> None:
        pending, self._pending = self._pending, None
        self._busy = False
        if pending is not None:
            pending.caller_left()

    def _start_timer(self, delay_s: float) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(delay_s, self._on_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._request_begun:
            self._send_error(ErrorCode.REQUEST_TOO_SLOW)
        else:
            self.close()

    def _reset(self) -> None:
        self._requests: collections.deque[tuple[RawRequest, bool]] = (
            collections.deque()
        )
        self._request_begun = False
        self._keep_alive = True
        self._limit_error: ErrorCode | None = None
        self._clear_message()

    def _clear_message(self) -> None:
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._header_bytes = 0
        self._body_bytes = 0
        self._raw_bytes = 0
        self._head_complete = False
