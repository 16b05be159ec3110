"""Call backend servers over HTTP/1.1."""

import abc
import dataclasses
import json
import time
from collections.abc import Callable
from typing import Final, NamedTuple

import anyio

from ibismount._http1 import Http1Connection, Http1Error, Http1Response
from ibismount._pool import ConnectionPool, StaleConnectionError
from ibismount._tcp import StreamOpener, open_tcp
from ibismount.catalog import BackendServer
from ibismount.errors import ErrorCode, IbismountError

__all__ = (
    'BackendCall',
    'BackendClient',
    'BackendError',
    'BackendReply',
    'make_backend_client',
)


# Otherwise connections to servers that left the catalog would stay open.
_UNUSED_POOL_TTL_S: Final = 60

# RecursionError: deeply nested JSON exhausts the decoder's stack.
_INVALID_ANSWER_ERRORS: Final = (
    ValueError,
    KeyError,
    TypeError,
    RecursionError,
)

_NOT_RUN_CODES: Final = {
    503: ErrorCode.BACKEND_SHED,
    410: ErrorCode.BACKEND_LEAVING,
    409: ErrorCode.SNAPSHOT_NOT_HELD,
    504: ErrorCode.DEADLINE_EXCEEDED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class BackendCall:
    """A sub-request to one backend server.

    ``path`` is ``/search`` or ``/booking``, and ``deadline_s`` is the time
    left in seconds.
    """

    path: str
    request_id: str
    attempt_id: str
    shard: str
    snapshot: str
    deadline_s: float
    trace_parent: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class BackendReply:
    """A complete answer; ``generation`` changes when the server turns cold."""

    generation: str
    snapshot: str
    body: bytes


class BackendError(IbismountError):
    """Report a sub-request that was not answered.

    ``not_run`` is True only if no byte that could start the work left this
    process, or the backend server itself refused the request. ``lost`` is
    True if the connection was reset while the request was running.
    ``generation`` is the one in the refusal, if any.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        *,
        not_run: bool = False,
        lost: bool = False,
        generation: str = '',
    ) -> None:
        """Store the error and what is known about the work."""
        super().__init__(code, message)
        self.not_run = not_run
        self.lost = lost
        self.generation = generation


class BackendClient(abc.ABC):
    """Interface for calls to backend servers."""

    @abc.abstractmethod
    async def call(
        self, server: BackendServer, call: BackendCall, *, connections: int
    ) -> BackendReply:
        """Run one sub-request.

        Cancelling the call closes its connection, upon which the backend
        server stops the work.

        Args:
            server: The backend server.
            call: The sub-request.
            connections: Maximum number of open connections to the server.

        Raises:
            BackendError: ``backend_shed``, ``backend_leaving``,
                ``snapshot_not_held``, ``backend_lost``,
                ``deadline_exceeded`` or ``deadline_hopeless``;
                ``bad_request`` if a field is not valid in an HTTP header;
                ``no_share`` if ``connections`` is 0.
        """

    def is_connected(self, server: BackendServer) -> bool:
        """Return whether a connection to the server is open.

        Without one, a restart of the server goes undetected. A client that
        does not keep connections returns True and reports resets instead.
        """
        return True

    @abc.abstractmethod
    async def probe(self, server: BackendServer, *, timeout_s: float) -> bool:
        """Return whether the server answers on a new connection."""

    @abc.abstractmethod
    async def close_idle(self, server: BackendServer) -> None:
        """Close idle connections to a server and reuse none in use.

        Call this if they may be silent, or if the share of the server is
        reduced.
        """


def make_backend_client(
    *,
    open_stream: StreamOpener | None = None,
    unix_time: Callable[[], float] = time.time,
) -> BackendClient:
    """Return a client that pools HTTP/1.1 connections.

    Args:
        open_stream: Opens a byte stream to an address; TCP by default.
        unix_time: Wall clock in seconds, for the absolute deadline that the
            backend server checks on arrival.
    """
    return _PooledClient(open_stream or open_tcp, unix_time)


class _Deadline(NamedTuple):
    """A deadline on the event loop's clock and on the wall clock."""

    expires_at: float
    unix_time: float


class _PooledClient(BackendClient):
    def __init__(
        self, open_stream: StreamOpener, unix_time: Callable[[], float]
    ) -> None:
        self._open_stream = open_stream
        self._unix_time = unix_time
        self._pools: dict[tuple[str, str], ConnectionPool] = {}
        self._last_cleanup_at: float = 0

    async def call(
        self, server: BackendServer, call: BackendCall, *, connections: int
    ) -> BackendReply:
        if call.deadline_s <= 0:
            raise BackendError(
                ErrorCode.DEADLINE_HOPELESS,
                'no time left to call the backend server',
                not_run=True,
            )
        if connections < 1:
            raise BackendError(
                ErrorCode.NO_SHARE,
                'this gateway has no share of connections',
                not_run=True,
            )
        now = anyio.current_time()
        expires_at = now + call.deadline_s
        # Computed up front: the event loop's clock stops while the VM is
        # suspended, so computing it later would extend the deadline.
        deadline_at = self._unix_time() + call.deadline_s
        pool = self._pool(server)
        await pool.resize(connections)
        if now - self._last_cleanup_at > _UNUSED_POOL_TTL_S:
            await self._close_unused_pools(now)
        conn: Http1Connection | None = None
        try:
            with anyio.fail_at(expires_at):
                conn = await self._acquire_connection(pool, server)
                return await self._exchange(
                    pool, conn, call, _Deadline(expires_at, deadline_at)
                )
        except TimeoutError as exc:
            raise BackendError(
                ErrorCode.DEADLINE_EXCEEDED,
                f'{server.id} did not answer before the deadline',
                not_run=conn is None or not conn.sent,
            ) from exc

    def is_connected(self, server: BackendServer) -> bool:
        pool = self._pools.get((server.id, server.address))
        return pool is not None and pool.has_open_connections()

    async def probe(self, server: BackendServer, *, timeout_s: float) -> bool:
        pool = self._pool(server)
        try:
            with anyio.fail_after(timeout_s):
                conn = await pool.acquire_new(self._open_stream)
                return await self._health_check(pool, conn)
        except (TimeoutError, OSError, anyio.BrokenResourceError):
            return False

    async def close_idle(self, server: BackendServer) -> None:
        await self._pool(server).close_idle()

    def _pool(self, server: BackendServer) -> ConnectionPool:
        key = (server.id, server.address)
        pool = self._pools.get(key)
        if pool is None:
            pool = ConnectionPool(server.address)
            self._pools[key] = pool
        pool.used_at = anyio.current_time()
        return pool

    async def _close_unused_pools(self, now: float) -> None:
        """Close the pools of servers that are no longer called."""
        self._last_cleanup_at = now
        unused = [
            key
            for key, pool in self._pools.items()
            if now - pool.used_at > _UNUSED_POOL_TTL_S
        ]
        for key in unused:
            pool = self._pools.pop(key)
            await pool.close_idle()

    async def _acquire_connection(
        self, pool: ConnectionPool, server: BackendServer
    ) -> Http1Connection:
        try:
            return await pool.acquire(self._open_stream)
        except StaleConnectionError as exc:
            raise BackendError(
                ErrorCode.BACKEND_LOST, str(exc), not_run=True, lost=True
            ) from exc
        except (OSError, anyio.BrokenResourceError) as exc:
            raise BackendError(
                ErrorCode.BACKEND_LOST,
                f'cannot connect to {server.id} ({exc!r})',
                not_run=True,
            ) from exc

    async def _exchange(
        self,
        pool: ConnectionPool,
        conn: Http1Connection,
        call: BackendCall,
        deadline: _Deadline,
    ) -> BackendReply:
        keep = False
        try:
            answer = await conn.exchange(
                'POST', call.path, self._headers(call, deadline), call.body
            )
            _check_attempt(answer, call)
            reply = _parse_reply(answer, call)
            keep = True
        except UnicodeEncodeError as exc:
            raise BackendError(
                ErrorCode.BAD_REQUEST, str(exc), not_run=True
            ) from exc
        except Http1Error as exc:
            code = ErrorCode.BACKEND_LOST if exc.sent else ErrorCode.BAD_REQUEST
            raise BackendError(
                code, str(exc), lost=exc.closed, not_run=not exc.sent
            ) from exc
        except BackendError as exc:
            # A refusal is a complete answer, so the connection is reusable.
            keep = exc.not_run
            raise
        finally:
            await pool.release(conn, keep=keep)
        return reply

    async def _health_check(
        self, pool: ConnectionPool, conn: Http1Connection
    ) -> bool:
        keep = False
        try:
            await conn.exchange('GET', '/health', (), b'')
            keep = True
        except Http1Error:
            return False
        finally:
            await pool.release(conn, keep=keep)
        return True

    def _headers(
        self, call: BackendCall, deadline: _Deadline
    ) -> list[tuple[bytes, bytes]]:
        left_s = max(0, deadline.expires_at - anyio.current_time())
        return [
            (b'content-type', b'application/json'),
            (b'x-request-id', call.request_id.encode()),
            (b'x-attempt-id', call.attempt_id.encode()),
            (b'x-shard', call.shard.encode()),
            (b'x-snapshot', call.snapshot.encode()),
            (b'x-deadline-ms', b'%d' % int(left_s * 1000)),
            (b'x-deadline-at', b'%d' % int(deadline.unix_time * 1000)),
            (b'traceparent', call.trace_parent.encode()),
        ]


def _check_attempt(answer: Http1Response, call: BackendCall) -> None:
    echoed_attempt_id = answer.headers.get(b'x-attempt-id', b'')
    if echoed_attempt_id != call.attempt_id.encode():
        raise _malformed_answer_error(
            f'the answer is for attempt {echoed_attempt_id!r},'
            f' not {call.attempt_id}'
        )


def _parse_reply(answer: Http1Response, call: BackendCall) -> BackendReply:
    generation = answer.headers.get(b'x-generation', b'').decode('latin-1')
    if answer.status != 200:
        raise _refusal_error(answer, generation)
    try:
        fields = json.loads(answer.body)
        snapshot, shard = str(fields['snapshot']), fields['shard']
    except _INVALID_ANSWER_ERRORS as exc:
        raise _malformed_answer_error(
            f'the answer is not valid ({exc!r})'
        ) from exc
    # The attempt id is shared by the whole batch, so check the shard as well.
    if shard != call.shard or not generation:
        raise _malformed_answer_error(
            f'the answer is for shard {shard!r} of generation {generation!r}'
        )
    return BackendReply(generation, snapshot, answer.body)


def _malformed_answer_error(message: str) -> BackendError:
    return BackendError(ErrorCode.BACKEND_LOST, message)


def _refusal_error(answer: Http1Response, generation: str) -> BackendError:
    return BackendError(
        _NOT_RUN_CODES.get(answer.status, ErrorCode.BACKEND_LOST),
        f'the backend server answered with status {answer.status}',
        not_run=answer.headers.get(b'x-not-run') == b'1',
        generation=generation,
    )
