"""HTTP/1.1 server side: connections of callers, one request at a time."""

import abc
import asyncio
import collections
import dataclasses
from typing import Protocol

import httptools

from ibismount.errors import ErrorCode
from ibismount.http_client import configure_tcp_socket
from ibismount.routes import CallerLimits

__all__ = ('CallerConnection', 'CallerEndpoint', 'PendingRequest', 'RawRequest')


@dataclasses.dataclass(slots=True)
class RawRequest:
    """One whole request, with lower-case header names."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


class PendingRequest(Protocol):
    """A request under way."""

    def caller_left(self) -> None:
        """End the work: nobody waits for its outcome."""


class CallerEndpoint(abc.ABC):
    """What a listening address serves."""

    def __init__(self) -> None:
        """Start without connections."""
        self.connections: set[CallerConnection] = set()

    @property
    @abc.abstractmethod
    def limits(self) -> CallerLimits:
        """Return what callers may send now."""

    @property
    def leaving(self) -> bool:
        """Tell whether answers announce the end of their connection."""
        return False

    @abc.abstractmethod
    def handle(
        self, raw: RawRequest, conn: 'CallerConnection'
    ) -> PendingRequest | None:
        """Start a request; ``conn.answer`` is called once, now or later."""

    @abc.abstractmethod
    def encode_error(self, code: ErrorCode) -> bytes:
        """Encode the refusal of a request that can't be read."""


# After a refusal, what the caller still sends is read and dropped for this long,
# in seconds, and up to this many bytes: closing at once would reset the
# connection, and the caller could lose the refusal.
LINGER_S = 1.0
LINGER_BYTES_MOST = 1024 * 1024
# Bytes of further requests that are kept while one is under way.
PIPELINED_BYTES_MOST = 65536


class CallerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, site: CallerEndpoint) -> None:
        """Start without a transport."""
        self._site = site
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._work: PendingRequest | None = None
        self._busy = False
        self._rest = b''
        self._timer: asyncio.TimerHandle | None = None
        self.closed = False
        # Bytes that were dropped after a refusal.
        self._dropped = 0
        self._reset()

    @property
    def busy(self) -> bool:
        """Tell whether a request waits for its answer."""
        return self._busy

    @property
    def reading(self) -> bool:
        """Tell whether a request is partly in."""
        return self._begun

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request."""
        self._transport = transport
        self._site.connections.add(self)
        configure_tcp_socket(transport.get_extra_info('socket'))
        self._wait(self._site.limits.idle_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the work of a caller that left."""
        self.closed = True
        self._site.connections.discard(self)
        self._stop_timer()
        self._leave()

    def eof_received(self) -> None:
        """Treat a caller that closed its side as gone."""
        self._leave()

    def data_received(self, data: bytes) -> None:
        """Read requests; later ones wait for the answer of the first."""
        if self.closed:
            self._drop(data)
            return
        if self._busy:
            self._rest += data
            if len(self._rest) > PIPELINED_BYTES_MOST:
                self.close()
            return
        if not self._begun:
            self._begun = True
            self._wait(self._site.limits.header_s)
        self._feed(data)

    def answer(self, encoded: bytes, *, last: bool = False) -> None:
        """Send the answer to the request under way."""
        self._work = None
        self._busy = False
        if self.closed:
            return
        self._transport.write(encoded)
        if last or not self._keep or self._site.leaving:
            self.close()
            return
        self._wait(self._site.limits.idle_s)
        self._loop.call_soon(self._continue)

    @property
    def closes_after_answer(self) -> bool:
        """Tell whether the next answer ends the connection."""
        return not self._keep or self._site.leaving

    def close(self) -> None:
        """Close after what was written."""
        self.closed = True
        self._stop_timer()
        self._transport.close()

    def on_url(self, url: bytes) -> None:
        """Collect the target; the parser calls this."""
        self._target += url

    def on_header(self, name: bytes, text: bytes) -> None:
        """Collect a header; the parser calls this."""
        self._size += len(name) + len(text) + 4
        self._headers.append((name.lower(), text))
        if self._size > self._site.limits.header_bytes:
            self._error = ErrorCode.HEADERS_TOO_LARGE

    def on_headers_complete(self) -> None:
        """Note that the body follows; the parser calls this."""
        self._has_head = True

    def on_body(self, piece: bytes) -> None:
        """Collect a piece of the body; the parser calls this."""
        self._body.append(piece)
        self._body_size += len(piece)
        if self._body_size > self._site.limits.body_bytes:
            self._error = ErrorCode.BODY_TOO_LARGE

    def on_message_complete(self) -> None:
        """Note that the request is whole; the parser calls this."""
        raw = RawRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            b''.join(self._body),
        )
        self._requests.append((raw, self._parser.should_keep_alive()))
        self._clear_message()

    def _continue(self) -> None:
        if self._busy or self.closed:
            return
        if self._requests:
            self._start_next()
        elif self._rest:
            rest, self._rest = self._rest, b''
            self.data_received(rest)

    def _feed(self, data: bytes) -> None:
        if not self._has_head:
            # A head without its end is bounded as well.
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(ErrorCode.BAD_REQUEST)
            return
        except (httptools.HttpParserError, httptools.HttpParserCallbackError):
            if not self._requests:
                self._refuse(ErrorCode.BAD_REQUEST)
                return
            # Whole requests before the bad bytes are served; then it ends.
            last, _ = self._requests.pop()
            self._requests.append((last, False))
        most = self._site.limits.header_bytes + self._site.limits.body_bytes
        if not self._has_head and self._head_bytes > most:
            self._error = ErrorCode.HEADERS_TOO_LARGE
        if self._error is not None:
            self._refuse(self._error)
        elif self._requests:
            self._start_next()

    def _start_next(self) -> None:
        raw, self._keep = self._requests.popleft()
        self._begun = False
        self._stop_timer()
        self._busy = True
        work = self._site.handle(raw, self)
        if self._busy:
            self._work = work

    def _refuse(self, code: ErrorCode) -> None:
        if self.closed:
            return
        self.closed = True
        self._stop_timer()
        self._transport.write(self._site.encode_error(code))
        self._transport.write_eof()
        self._timer = self._loop.call_later(LINGER_S, self._transport.close)

    def _drop(self, data: bytes) -> None:
        self._dropped += len(data)
        if self._dropped > LINGER_BYTES_MOST:
            self._transport.abort()

    def _leave(self) -> None:
        work, self._work = self._work, None
        self._busy = False
        if work is not None:
            work.caller_left()

    def _wait(self, delay_s: float) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(delay_s, self._timed_out)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _timed_out(self) -> None:
        if self._begun:
            self._refuse(ErrorCode.REQUEST_TOO_SLOW)
        else:
            self.close()

    def _reset(self) -> None:
        self._requests: collections.deque[tuple[RawRequest, bool]] = (
            collections.deque()
        )
        self._begun = False
        self._keep = True
        self._error: ErrorCode | None = None
        self._clear_message()

    def _clear_message(self) -> None:
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._size = 0
        self._body_size = 0
        self._head_bytes = 0
        self._has_head = False
