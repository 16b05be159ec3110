"""HTTP/1.1 client connections to backend servers and the platform's store.

A connection carries one exchange at a time. Bytes that arrive outside an
exchange close the connection, since they belong to no request.
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
    'ResponseMemory',
    'configure_tcp_socket',
    'connect',
)

# A peer that vanished without a reset is detected after about three seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000
# A body is buffered whole up to this size.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# Bytes beside the body: heads, interim responses, framing of chunks, trailers.
# The parser keeps an unfinished name or value itself, so raw bytes are counted.
MAX_OVERHEAD_BYTES = 64 * 1024
# Chunks of a body may have this many bytes of framing for each byte of it: 32
# bytes in a chunk have six.
MAX_OVERHEAD_PER_BODY_BYTE = 0.25
# All responses that are received in part, on all connections. The smallest VM
# has 152 MB, of which the process itself uses about 30 MB.
MAX_MEMORY_BYTES = 32 * 1024 * 1024


class ExchangeFailure(enum.Enum):
    """Why an exchange ended without a response."""

    # No byte of the request was sent.
    NOT_SENT = 'not_sent'
    # The peer broke the connection, or sent no complete response.
    BROKEN = 'broken'
    # The peer did not acknowledge anything for too long.
    TIMED_OUT = 'timed_out'


@dataclasses.dataclass(slots=True)
class RawResponse:
    """One complete HTTP response, with lower-case header names.

    ``received_bytes`` is what the exchange had received by its end, in bytes.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    received_bytes: int = 0

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        for header_name, header_value in self.headers:
            if header_name == name:
                return header_value
        return None


class ExchangeOwner(Protocol):
    """Receives the outcome of an exchange."""

    def on_response(self, response: RawResponse) -> bool:
        """Accept a response, or return False if it is for another request."""

    def on_exchange_failed(self, failure: ExchangeFailure) -> None:
        """Handle the end of an exchange that will get no response."""


class ResponseMemory:
    """Bound the bytes of all responses that are received in part.

    When the bound is exceeded, the connection that holds the most is closed,
    so that one flooding server does not fail the responses of others.

    Args:
        max_bytes: Bound in bytes.
    """

    def __init__(self, max_bytes: int = MAX_MEMORY_BYTES) -> None:
        """Start with nothing held."""
        self._max_bytes = max_bytes
        self._held: dict[Connection, int] = {}
        self.held_bytes = 0

    def hold(self, conn: 'Connection', size: int) -> None:
        """Note that a connection now holds ``size`` bytes in all."""
        self.held_bytes += size - self._held.get(conn, 0)
        self._held[conn] = size
        while self.held_bytes > self._max_bytes:
            largest = max(self._held, key=self._held.__getitem__)
            self.release(largest)
            largest.fail_exchange()

    def release(self, conn: 'Connection') -> None:
        """Note that a connection holds nothing any more."""
        self.held_bytes -= self._held.pop(conn, 0)


def configure_tcp_socket(sock: socket.socket) -> None:
    """Disable Nagle's algorithm, and detect a dead peer within seconds."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class Connection(asyncio.Protocol):
    """One client connection; ``on_idle`` and ``on_closed`` notify its pool.

    Args:
        memory: Bound that the connections of a process share.
    """

    def __init__(self, memory: ResponseMemory | None = None) -> None:
        """Start without a transport."""
        self._memory = memory or _process_memory
        self.on_closed: Callable[[Connection], None] | None = None
        self.on_idle: Callable[[Connection], None] | None = None
        self.idle_timeout_s: float | None = None
        self.idle_since: float = 0
        self.closed = False
        # Set by the owners of exchanges: some response on this connection
        # stated the id of its request.
        self.names_requests = False
        self._transport: asyncio.Transport | None = None
        self._owner: ExchangeOwner | None = None
        self._responses: list[RawResponse] = []
        # Close the connection after the exchange under way.
        self._close_after_exchange = False
        self._reset_message()

    def send(self, owner: ExchangeOwner, request: bytes) -> None:
        """Start an exchange."""
        self._owner = owner
        self._parser = httptools.HttpResponseParser(self)
        # Bytes of this exchange, over all of its messages.
        self._raw_bytes = 0
        self._body_bytes = 0
        self._expects_body = not request.startswith(b'HEAD ')
        self._reset_message()
        self._transport.write(request)

    def close(self) -> None:
        """Close at once, without notifying the owner of an exchange."""
        self._owner = None
        self.closed = True
        self._memory.release(self)
        if self._transport is not None:
            self._transport.abort()

    def close_if_owned_by(self, owner: ExchangeOwner) -> None:
        """Close if the exchange under way belongs to this owner."""
        if self._owner is owner:
            self.close()

    def fail_exchange(self) -> None:
        """Close, and report the exchange under way as broken."""
        self._fail(ExchangeFailure.BROKEN)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and configure its socket."""
        self._transport = transport
        configure_tcp_socket(transport.get_extra_info('socket'))

    def data_received(self, data: bytes) -> None:
        """Parse bytes; anything unexpected closes the connection."""
        if self._owner is None:
            self.close()
            return
        self._raw_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserCallbackError):
            # Responses that were complete before the bad bytes are valid.
            self._close_after_exchange = True
            self._deliver_responses()
            self.fail_exchange()
            return
        if self._responses:
            self._deliver_responses()
        if self._owner is None:
            self._memory.release(self)
        elif self._has_too_much_overhead():
            self.fail_exchange()
        else:
            self._memory.hold(self, self._raw_bytes)

    def _has_too_much_overhead(self) -> bool:
        max_overhead = (
            MAX_OVERHEAD_BYTES + MAX_OVERHEAD_PER_BODY_BYTE * self._body_bytes
        )
        return self._raw_bytes - self._body_bytes > max_overhead

    def eof_received(self) -> None:
        """Complete a response whose end is that of the connection."""
        if (
            self._owner is not None
            and self._head_complete
            and not self._has_framing
        ):
            self._close_after_exchange = True
            self._finish_message()
            self._deliver_responses()
        # The transport closes by itself, but only after this call: a request
        # sent until then would be lost.
        self.closed = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange under way and notify the pool."""
        self.closed = True
        self._memory.release(self)
        self._fail(
            ExchangeFailure.TIMED_OUT
            if isinstance(exc, TimeoutError)
            else ExchangeFailure.BROKEN
        )
        if self.on_closed is not None:
            self.on_closed(self)

    def on_message_begin(self) -> None:
        """Start a response; called by the parser."""
        self._reset_message()
        self._in_message = True

    def on_header(self, name: bytes, header_value: bytes) -> None:
        """Store a header; called by the parser."""
        name = name.lower()
        if name in _FRAMING_HEADERS:
            self._has_framing = True
            if name == b'content-length':
                _check_content_length(header_value)
        elif name == b'keep-alive':
            self.idle_timeout_s = _parse_keep_alive_timeout_s(header_value)
        self._headers.append((name, header_value))

    def on_headers_complete(self) -> None:
        """Store the status of a complete head; called by the parser."""
        self._head_complete = True
        self._status = self._parser.get_status_code()
        if self._status in _BODILESS_STATUSES:
            self._has_framing = True
        elif not self._expects_body and self._status >= _FIRST_FINAL_STATUS:
            # The parser does not know the method and takes what follows for
            # a body.
            self._close_after_exchange = True
            self._finish_message()
            self._has_framing = False

    def on_body(self, chunk: bytes) -> None:
        """Store a part of the body; called by the parser."""
        self._body_bytes += len(chunk)
        if self._body_bytes > MAX_RESPONSE_BYTES:
            raise ValueError('response exceeds MAX_RESPONSE_BYTES')
        self._body.append(chunk)

    def on_message_complete(self) -> None:
        """Finish a response with framing; called by the parser."""
        self._in_message = False
        if self._status < _FIRST_FINAL_STATUS:
            self._head_complete = False
        elif self._has_framing:
            if not self._parser.should_keep_alive():
                self._close_after_exchange = True
            self._finish_message()

    def _reset_message(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._status = 0
        self._head_complete = False
        # The response states where its body ends.
        self._has_framing = False
        self._in_message = False

    def _finish_message(self) -> None:
        self._responses.append(
            RawResponse(
                self._status,
                self._headers,
                b''.join(self._body),
                self._raw_bytes,
            )
        )
        self._head_complete = False

    def _deliver_responses(self) -> None:
        responses, self._responses = self._responses, []
        for response in responses:
            owner = self._owner
            if owner is None:
                # An extra response belongs to no request.
                self._close_after_exchange = True
            elif owner.on_response(response):
                self._owner = None
            else:
                # A late response to an earlier request: the response to this
                # request is still to come.
                self._close_after_exchange = True
        if self._owner is None and not self.closed:
            self._release_or_close()

    def _release_or_close(self) -> None:
        if (
            self._close_after_exchange
            or self._in_message
            or self.on_idle is None
        ):
            self.close()
        else:
            self.on_idle(self)

    def _fail(self, failure: ExchangeFailure) -> None:
        owner, self._owner = self._owner, None
        if not self.closed:
            self.close()
        if owner is not None:
            owner.on_exchange_failed(failure)


_process_memory = ResponseMemory()
_FRAMING_HEADERS = frozenset((b'content-length', b'transfer-encoding'))
# Lower statuses are of interim responses.
_FIRST_FINAL_STATUS = 200
_BODILESS_STATUSES = frozenset((204, 304))


def _check_content_length(header_value: bytes) -> None:
    if header_value.isdigit() and int(header_value) > MAX_RESPONSE_BYTES:
        raise ValueError('response exceeds MAX_RESPONSE_BYTES')


def _parse_keep_alive_timeout_s(header_value: bytes) -> float | None:
    for parameter in header_value.split(b','):
        key, _, timeout = parameter.partition(b'=')
        if key.strip().lower() == b'timeout' and timeout.strip().isdigit():
            return float(timeout)
    return None


async def connect(host: str, port: int) -> Connection:
    """Open a connection.

    Raises:
        OSError: The peer refused or can't be reached.
    """
    loop = asyncio.get_running_loop()
    _, conn = await loop.create_connection(Connection, host, port)
    return conn
