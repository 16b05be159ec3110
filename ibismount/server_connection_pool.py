"""Pool of connections to each backend server."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from ibismount.http_client import (
    Connection,
    ExchangeFailure,
    ExchangeOwner,
    connect,
)

__all__ = ('PendingExchange', 'PoolOptions', 'ServerConnectionPool')


@dataclasses.dataclass(frozen=True, slots=True)
class PoolOptions:
    """Bounds of the pool; times in seconds."""

    # Longest time to open a connection: far above a healthy server's
    # handshake, below the shortest deadline.
    connect_s: float = 0.4
    # Share of the idle time advertised by the server that is used up.
    idle_share: float = 0.7
    # Idle time where the server advertises none.
    idle_s: float = 4.0


_DEFAULTS = PoolOptions()
Address = tuple[str, int]


class PendingExchange:
    """An exchange that waits for its connection."""

    __slots__ = ('canceled', 'conn', 'owner', 'request', 'task')

    def __init__(
        self, owner: ExchangeOwner, request: Callable[[], bytes]
    ) -> None:
        """Start without a connection."""
        self.owner = owner
        self.request = request
        self.conn: Connection | None = None
        self.task: asyncio.Task | None = None
        self.canceled = False

    def cancel(self) -> None:
        """End the exchange; its owner hears nothing more."""
        self.canceled = True
        if self.conn is not None:
            self.conn.close_if_owned_by(self.owner)


class ServerConnectionPool:
    """Reuse connections, within a bound for each server.

    Args:
        options: Bounds and times.
    """

    def __init__(self, options: PoolOptions = _DEFAULTS) -> None:
        """Start without connections."""
        self._options = options
        self._idle: dict[Address, collections.deque[Connection]] = {}
        self._open: collections.Counter[Address] = collections.Counter()
        self._tasks: set[asyncio.Task] = set()
        self.opened_total = 0

    def start_exchange(
        self,
        address: Address,
        owner: ExchangeOwner,
        request: Callable[[], bytes],
        *,
        max_open: int,
        fresh: bool = False,
    ) -> PendingExchange | None:
        """Start an exchange.

        Args:
            address: The backend server.
            owner: Gets the outcome, never before this returns.
            request: Encodes the request when it is about to be sent.
            max_open: Most connections to this server.
            fresh: Do not reuse a connection.

        Returns:
            A handle to cancel it, or None when no connection is free.
        """
        waiting = PendingExchange(owner, request)
        conn = None if fresh else self._take_idle(address)
        if conn is not None:
            waiting.conn = conn
            conn.send(owner, request())
            return waiting
        if self._open[address] >= max_open:
            return None
        self._open[address] += 1
        waiting.task = asyncio.get_running_loop().create_task(
            self._connect(address, waiting)
        )
        self._tasks.add(waiting.task)
        waiting.task.add_done_callback(self._tasks.discard)
        return waiting

    def close(self, keep: Callable[[Address], bool] | None = None) -> None:
        """Close idle connections to addresses that are not to be kept."""
        for address, conns in list(self._idle.items()):
            if keep is None or not keep(address):
                for conn in list(conns):
                    conn.close()

    async def _connect(
        self, address: Address, waiting: PendingExchange
    ) -> None:
        try:
            async with asyncio.timeout(self._options.connect_s):
                conn = await connect(*address)
        except (OSError, TimeoutError):
            self._forget(address)
            if not waiting.canceled:
                waiting.owner.on_exchange_failed(ExchangeFailure.NOT_SENT)
            return
        self.opened_total += 1
        if conn.closed:
            self._forget(address)
            if not waiting.canceled:
                waiting.owner.on_exchange_failed(ExchangeFailure.NOT_SENT)
            return
        conn.on_closed = lambda one: self._closed(address, one)
        conn.on_idle = lambda one: self._release(address, one)
        if waiting.canceled:
            self._release(address, conn)
        else:
            waiting.conn = conn
            conn.send(waiting.owner, waiting.request())

    def _take_idle(self, address: Address) -> Connection | None:
        conns = self._idle.get(address)
        now = asyncio.get_running_loop().time()
        while conns:
            conn = conns.pop()
            if conn.closed:
                continue
            if now - conn.idle_since < self._idle_most(conn):
                return conn
            conn.close()
        return None

    def _idle_most(self, conn: Connection) -> float:
        if conn.idle_timeout_s is None:
            return self._options.idle_s
        return conn.idle_timeout_s * self._options.idle_share

    def _release(self, address: Address, conn: Connection) -> None:
        conn.idle_since = asyncio.get_running_loop().time()
        self._idle.setdefault(address, collections.deque()).append(conn)

    def _closed(self, address: Address, conn: Connection) -> None:
        self._forget(address)
        conns = self._idle.get(address)
        if conns and conn in conns:
            conns.remove(conn)
        if conns is not None and not conns:
            self._idle.pop(address, None)

    def _forget(self, address: Address) -> None:
        self._open[address] -= 1
        if not self._open[address]:
            self._open.pop(address)
