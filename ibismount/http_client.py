"""HTTP/1.1 connections to backend servers and to the platform's store.

A connection carries one exchange at a time. Bytes that arrive without an
exchange, or after its end, close the connection, since they belong to nothing.
"""

import asyncio
import dataclasses
import enum
import socket
from collections.abc import Callable
from typing import Protocol

import httptools

__all__ = (
    'Connection',
    'ExchangeFailure',
    'RawResponse',
    'configure_tcp_socket',
    'connect',
)

# A peer that vanished without a reset is noticed after about three seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000
# Greatest body that is held in memory for one answer.
ANSWER_BYTES_MOST = 8 * 1024 * 1024
HEAD_BYTES_MOST = 64 * 1024


class ExchangeFailure(enum.Enum):
    """How an exchange ended without an answer."""

    # No byte of the request was sent.
    NOT_SENT = 'not_sent'
    # The connection broke, or the bytes were no whole answer.
    BROKEN = 'broken'


@dataclasses.dataclass(slots=True)
class RawResponse:
    """One whole HTTP answer, with lower-case header names."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        for known, text in self.headers:
            if known == name:
                return text
        return None


class ExchangeOwner(Protocol):
    """Gets the outcome of an exchange."""

    def on_response(self, answer: RawResponse) -> bool:
        """Take an answer; return False when it belongs to another request."""

    def on_exchange_failed(self, end: ExchangeFailure) -> None:
        """Learn that no answer will come."""


def configure_tcp_socket(sock: socket.socket) -> None:
    """Make a silent peer show up as an error within seconds."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class Connection(asyncio.Protocol):
    """One client connection; ``on_idle`` and ``on_closed`` tell its pool."""

    def __init__(self) -> None:
        """Start without a transport."""
        self.on_closed: Callable[[Connection], None] | None = None
        self.on_idle: Callable[[Connection], None] | None = None
        self.idle_timeout_s: float | None = None
        self.idle_since: float = 0
        self.closed = False
        self._transport: asyncio.Transport | None = None
        self._owner: ExchangeOwner | None = None
        self._answers: list[RawResponse] = []
        # The connection is not used after the exchange under way.
        self._last = False
        self._start_message()

    def send(self, owner: ExchangeOwner, request: bytes) -> None:
        """Start an exchange."""
        self._owner = owner
        self._parser = httptools.HttpResponseParser(self)
        self._start_message()
        self._transport.write(request)

    def close(self) -> None:
        """Close at once; an exchange under way hears nothing more."""
        self._owner = None
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def close_if_owned_by(self, owner: ExchangeOwner) -> None:
        """Close if this owner's exchange is the one under way."""
        if self._owner is owner:
            self.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport
        configure_tcp_socket(transport.get_extra_info('socket'))

    def data_received(self, data: bytes) -> None:
        """Feed the parser; anything unexpected ends the connection."""
        if self._owner is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserCallbackError):
            # Whole answers before the bad bytes are still good.
            self._last = True
            self._deliver()
            self._end(ExchangeFailure.BROKEN)
            return
        if self._answers:
            self._deliver()

    def eof_received(self) -> None:
        """End an answer that has no length."""
        if self._owner is not None and self._got_head and not self._framed:
            self._last = True
            self._finish_message()
            self._deliver()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the owner and the pool."""
        self.closed = True
        self._end(ExchangeFailure.BROKEN)
        if self.on_closed is not None:
            self.on_closed(self)

    def on_message_begin(self) -> None:
        """Start an answer; the parser calls this."""
        self._start_message()
        self._in_message = True

    def on_header(self, name: bytes, text: bytes) -> None:
        """Collect a header; the parser calls this."""
        name = name.lower()
        self._size += len(name) + len(text)
        if self._size > HEAD_BYTES_MOST:
            raise ValueError('answer head too large')
        if name in _FRAMING:
            self._framed = True
        elif name == b'keep-alive':
            self.idle_timeout_s = _keep_alive_s(text)
        self._headers.append((name, text))

    def on_headers_complete(self) -> None:
        """Note that the head is in; the parser calls this."""
        self._got_head = True
        self._status = self._parser.get_status_code()
        if self._status in _NO_BODY:
            self._framed = True

    def on_body(self, piece: bytes) -> None:
        """Collect a piece of the body; the parser calls this."""
        self._size += len(piece)
        if self._size > ANSWER_BYTES_MOST:
            raise ValueError('answer too large')
        self._body.append(piece)

    def on_message_complete(self) -> None:
        """Take the answer as whole; the parser calls this."""
        self._in_message = False
        if self._framed:
            if not self._parser.should_keep_alive():
                self._last = True
            self._finish_message()

    def _start_message(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._size = 0
        self._status = 0
        self._got_head = False
        self._framed = False
        self._in_message = False

    def _finish_message(self) -> None:
        self._answers.append(
            RawResponse(self._status, self._headers, b''.join(self._body))
        )
        self._got_head = False

    def _deliver(self) -> None:
        answers, self._answers = self._answers, []
        for answer in answers:
            owner = self._owner
            if owner is None:
                # A second answer belongs to nothing.
                self._last = True
            elif owner.on_response(answer):
                self._owner = None
            else:
                # A late answer to an earlier request; ours is still to come.
                self._last = True
        if self._owner is None and not self.closed:
            self._rest()

    def _rest(self) -> None:
        if self._last or self._in_message or self.on_idle is None:
            self.close()
        else:
            self.on_idle(self)

    def _end(self, end: ExchangeFailure) -> None:
        owner, self._owner = self._owner, None
        if not self.closed:
            self.close()
        if owner is not None:
            owner.on_exchange_failed(end)


_FRAMING = frozenset((b'content-length', b'transfer-encoding'))
_NO_BODY = frozenset((204, 304))


def _keep_alive_s(text: bytes) -> float | None:
    for item in text.split(b','):
        key, _, number = item.partition(b'=')
        if key.strip().lower() == b'timeout' and number.strip().isdigit():
            return float(number)
    return None


async def connect(host: str, port: int) -> Connection:
    """Open a connection.

    Raises:
        OSError: The peer refused or can't be reached.
    """
    loop = asyncio.get_running_loop()
    _, conn = await loop.create_connection(Connection, host, port)
    return conn
