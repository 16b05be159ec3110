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
    """Timeouts of connections, in seconds."""

    # Far above a healthy server's handshake, below the shortest deadline.
    connect_timeout_s: float = 0.4
    # A connection is reused for this fraction of the idle timeout that the
    # server advertises: a request sent as the server closes it is lost.
    idle_timeout_fraction: float = 0.7
    # Idle timeout where the server advertises none.
    default_idle_timeout_s: float = 4.0


_DEFAULTS = PoolOptions()
Address = tuple[str, int]


class PendingExchange:
    """An exchange under way, or one that waits for its connection."""

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

    @property
    def sent(self) -> bool:
        """Return whether any byte of the request may have been sent."""
        return self.conn is not None

    def cancel(self) -> None:
        """Cancel the exchange without notifying its owner."""
        self.canceled = True
        if self.conn is not None:
            self.conn.close_if_owned_by(self.owner)


class ServerConnectionPool:
    """Reuse connections, and bound their number for each server.

    Args:
        options: Timeouts.
    """

    def __init__(self, options: PoolOptions = _DEFAULTS) -> None:
        """Start without connections."""
        self._options = options
        self._idle: dict[Address, collections.deque[Connection]] = {}
        self._open: collections.Counter[Address] = collections.Counter()
        # Connections that are established, in use or idle.
        self._established: collections.Counter[Address] = collections.Counter()
        self._tasks: set[asyncio.Task] = set()
        self.opened_total = 0

    def start_exchange(
        self,
        address: Address,
        owner: ExchangeOwner,
        request: Callable[[], bytes],
        *,
        max_open: int,
    ) -> PendingExchange | None:
        """Start an exchange.

        Args:
            address: The backend server.
            owner: Gets the outcome, never before this method returns.
            request: Encodes the request when it is about to be sent.
            max_open: Most connections to this server.

        Returns:
            A handle to cancel it, or None when no connection is free.
        """
        pending = PendingExchange(owner, request)
        conn = self._pop_idle(address)
        if conn is not None:
            pending.conn = conn
            conn.send(owner, request())
            return pending
        if self._open[address] >= max_open:
            return None
        self._open[address] += 1
        pending.task = asyncio.get_running_loop().create_task(
            self._connect(address, pending)
        )
        self._tasks.add(pending.task)
        pending.task.add_done_callback(self._tasks.discard)
        return pending

    def close(self, keep: Callable[[Address], bool] | None = None) -> None:
        """Close idle connections.

        Args:
            keep: Returns whether connections to an address stay open; without
                it all idle connections are closed.
        """
        for address, conns in list(self._idle.items()):
            if keep is None or not keep(address):
                for conn in list(conns):
                    conn.close()

    async def is_reachable(self, address: Address) -> bool:
        """Return whether a connection to a server is open or can be opened.

        A connection that is opened for this stays in the pool.
        """
        if self._established[address]:
            return True
        self._open[address] += 1
        conn = await self._open_connection(address)
        if conn is None:
            return False
        self._add_idle(address, conn)
        return True

    async def _connect(
        self, address: Address, pending: PendingExchange
    ) -> None:
        conn = await self._open_connection(address)
        if conn is None:
            if not pending.canceled:
                pending.owner.on_exchange_failed(ExchangeFailure.NOT_SENT)
        elif pending.canceled:
            self._add_idle(address, conn)
        else:
            pending.conn = conn
            conn.send(pending.owner, pending.request())

    async def _open_connection(self, address: Address) -> Connection | None:
        """Open a connection that is already counted; return None on failure."""
        try:
            async with asyncio.timeout(self._options.connect_timeout_s):
                conn = await connect(*address)
        except (OSError, TimeoutError):
            self._decrement_open(address)
            return None
        self.opened_total += 1
        if conn.closed:
            self._decrement_open(address)
            return None
        self._established[address] += 1
        conn.on_closed = lambda closed_conn: self._remove_closed(
            address, closed_conn
        )
        conn.on_idle = lambda idle_conn: self._add_idle(address, idle_conn)
        return conn

    def _pop_idle(self, address: Address) -> Connection | None:
        conns = self._idle.get(address)
        now = asyncio.get_running_loop().time()
        while conns:
            conn = conns.pop()
            if conn.closed:
                continue
            if now - conn.idle_since < self._max_idle_s(conn):
                return conn
            conn.close()
        return None

    def _max_idle_s(self, conn: Connection) -> float:
        if conn.idle_timeout_s is None:
            return self._options.default_idle_timeout_s
        return conn.idle_timeout_s * self._options.idle_timeout_fraction

    def _add_idle(self, address: Address, conn: Connection) -> None:
        conn.idle_since = asyncio.get_running_loop().time()
        self._idle.setdefault(address, collections.deque()).append(conn)

    def _remove_closed(self, address: Address, conn: Connection) -> None:
        self._decrement_open(address)
        _decrement(self._established, address)
        conns = self._idle.get(address)
        if conns and conn in conns:
            conns.remove(conn)
        if conns is not None and not conns:
            self._idle.pop(address, None)

    def _decrement_open(self, address: Address) -> None:
        _decrement(self._open, address)


def _decrement(counter: collections.Counter[Address], address: Address) -> None:
    """Subtract one; drop the address when its count is zero."""
    counter[address] -= 1
    if not counter[address]:
        counter.pop(address)
