"""Stand-in for a backend server that the edge program sends requests to.

It has slots and a short queue, cancels a request whose connection closes,
refuses a request that is meant for another server, and counts how often each
request ran.
"""

import asyncio
import collections
import dataclasses
import enum
from collections.abc import Callable

import anyio
import anyio.abc

from standins._http_server import (
    HttpRequest,
    HttpResponse,
    ServerConnection,
    listen,
)

__all__ = (
    'CRASH_SUFFIX',
    'ShardServer',
    'Statement',
    'StatementKind',
    'serve_shard',
)

_UNREQUESTED_RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno'
_ENDLESS_STARTS = {
    'endless_head': b'HTTP/1.1 200 OK\r\nx-a: ',
    'endless_body': b'HTTP/1.1 200 OK\r\n\r\n',
}
_ENDLESS_PIECE = b'v' * 16384
CRASH_SUFFIX = '/crash'


class StatementKind(enum.Enum):
    """What a server says of itself in an answer."""

    # The requests per second that it takes.
    LIMIT = 'limit'
    # None any more.
    LIMIT_ENDED = 'limit_ended'
    # The seconds for which it wants no request of the node.
    PAUSE = 'pause'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What a server said in the answer to a request."""

    kind: StatementKind
    at: float
    request_id: str
    number: float = 0


@dataclasses.dataclass(eq=False)
class ShardServer:
    """One backend server; ``fault`` applies to the next responses.

    Faults: ``''`` (none), ``reset`` (reset the connection), ``silent`` (send no
    response), ``cut`` (send half of the body), ``extra`` (append a response
    that was not requested), ``copy`` and ``unnamed_copy`` (send a second copy
    of the last response before the next one; without the request's id),
    ``endless_head`` and ``endless_body`` (send bytes until the connection is
    closed) and ``fail`` (status 500).

    A request whose target has the suffix ``CRASH_SUFFIX`` crashes the server as
    soon as it runs: ``on_crash`` is called, which must end its connections.
    """

    id: str
    service: str
    work_s: float = 0.005
    slots: int = 4
    queue_size: int = 8
    fault: str = ''
    waiting: int = 0
    run_counts: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    # In seconds of the event loop's clock; the ids of the requests beside them.
    arrival_times_s: list[float] = dataclasses.field(default_factory=list)
    arrival_ids: list[str] = dataclasses.field(default_factory=list)
    statements: list[Statement] = dataclasses.field(default_factory=list)
    # Whether its last answer stated a limit.
    states_limit: bool = False
    # When it was replaced after it had said that it leaves.
    replaced_at: list[float] = dataclasses.field(default_factory=list)
    cold_until: float = 0
    # Start of the server in its entry; a restarted server has a higher one.
    born: int = 1
    # Requests per second that it states in its answers; None states none.
    rate_limit: float | None = None
    # Seconds that it asks for in its answers, which are then all 503.
    retry_after_s: float | None = None
    # States in its answers that it leaves.
    leaving: bool = False
    on_crash: Callable[['ShardServer'], None] | None = None
    # Runs requests that crash servers like any other.
    withstands_crashes: bool = False
    # Ids of the requests that crashed the server, each with its time.
    crashes: list[tuple[str, float]] = dataclasses.field(default_factory=list)

    def __post_init__(self) -> None:
        """Start with all slots free."""
        self._free_slots = asyncio.Semaphore(self.slots)

    def arrivals(self) -> list[tuple[float, str]]:
        """Return the times and ids of the requests that arrived."""
        return list(zip(self.arrival_times_s, self.arrival_ids, strict=True))

    def left_until(self, since: float) -> float:
        """Return when a server that said it leaves was replaced."""
        return min((at for at in self.replaced_at if at > since), default=1e9)

    def state(
        self, kind: StatementKind, request_id: str, number: float = 0
    ) -> None:
        """Note what an answer states."""
        now = asyncio.get_running_loop().time()
        self.statements.append(Statement(kind, now, request_id, number))

    async def run(self, request_id: str) -> bool:
        """Run a request; return False when the queue is full."""
        if self._free_slots.locked() and self.waiting >= self.queue_size:
            return False
        self.waiting += 1
        try:
            await self._free_slots.acquire()
        finally:
            self.waiting -= 1
        try:
            self.run_counts[request_id] += 1
            await asyncio.sleep(self.work_s)
        finally:
            self._free_slots.release()
        return True


class _ShardConnection(ServerConnection):
    """Connection that applies the server's fault to each response."""

    def __init__(
        self, stream: anyio.abc.SocketStream, server: ShardServer
    ) -> None:
        """Take over an accepted connection."""
        super().__init__(stream)
        self._server = server
        self._last_encoded = b''

    async def respond(self, request: HttpRequest) -> HttpResponse:
        """Run a request and build its response."""
        server = self._server
        if request.header('ibismount-expected-instance') != server.id:
            return HttpResponse(421, [], b'')
        request_id = request.header('ibismount-request-id')
        server.arrival_times_s.append(asyncio.get_running_loop().time())
        server.arrival_ids.append(request_id)
        rejection = [
            ('ibismount-request-id', request_id),
            ('ibismount-not-executed', '1'),
        ]
        if server.retry_after_s is not None:
            server.state(StatementKind.PAUSE, request_id, server.retry_after_s)
            rejection.append(('retry-after', str(server.retry_after_s)))
            return HttpResponse(503, rejection, b'')
        if not await server.run(request_id):
            return HttpResponse(503, rejection, b'')
        if (
            request.target.endswith(CRASH_SUFFIX)
            and not server.withstands_crashes
        ):
            now = asyncio.get_running_loop().time()
            server.crashes.append((request_id, now))
            server.on_crash(server)
            await anyio.sleep_forever()
        if server.fault == 'reset':
            self.reset()
        self.silent = server.fault == 'silent'
        if server.fault in _ENDLESS_STARTS:
            await self._send_without_end(_ENDLESS_STARTS[server.fault])
        headers = [
            ('ibismount-request-id', request_id),
            ('ibismount-server-stamp', f'{server.id}.{request_id}'),
        ]
        if server.leaving:
            server.state(StatementKind.LEAVING, request_id)
            headers.append(('server-leaving', '1'))
        if server.rate_limit is not None:
            server.state(StatementKind.LIMIT, request_id, server.rate_limit)
            headers.append(('server-limit', str(server.rate_limit)))
        elif server.states_limit:
            server.state(StatementKind.LIMIT_ENDED, request_id)
        server.states_limit = server.rate_limit is not None
        if server.fault == 'cut':
            headers.append(('connection', 'close'))
        body = f'{server.service}:{request_id}'.encode()[:16].ljust(16, b'.')
        status = 500 if server.fault == 'fail' else 200
        return HttpResponse(status, headers, body)

    def _encode(self, response: HttpResponse) -> bytes:
        encoded = super()._encode(response)
        last_encoded, self._last_encoded = self._last_encoded, encoded
        fault = self._server.fault
        if fault == 'cut':
            return encoded[: -len(response.body) // 2]
        if fault == 'extra':
            return encoded + _UNREQUESTED_RESPONSE
        if fault == 'copy':
            return last_encoded + encoded
        if fault == 'unnamed_copy':
            return _remove_request_id(last_encoded) + encoded
        return encoded

    async def _send_without_end(self, start: bytes) -> None:
        try:
            await self._stream.send(start)
            while True:
                await self._stream.send(_ENDLESS_PIECE)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.scope.cancel()
            await anyio.sleep_forever()


def _remove_request_id(encoded: bytes) -> bytes:
    return b'\r\n'.join(
        line
        for line in encoded.split(b'\r\n')
        if not line.lower().startswith(b'ibismount-request-id:')
    )


async def serve_shard(
    server: ShardServer, host: str
) -> tuple[int, asyncio.Task]:
    """Listen on a free port; return the port and the serving task."""

    async def handle(stream: anyio.abc.SocketStream) -> None:
        conn = _ShardConnection(stream, server)
        await conn.serve(conn.respond)

    return await listen(host, 0, handle)
