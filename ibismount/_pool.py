"""Bounded pool of connections to one backend server."""

from collections import deque

import anyio

from ibismount._http1 import Http1Connection
from ibismount._tcp import StreamOpener

__all__ = ('ConnectionPool',)


class StaleConnectionError(Exception):
    """Report that the server closed an idle connection."""


class ConnectionPool:
    """Pool of connections of which at most ``limit`` are open.

    One connection of the limit is reserved for probes, unless the limit is
    1. The most recently used idle connection is reused first, so that the
    others age and the server can close them.
    """

    def __init__(self, address: str, *, limit: int = 1) -> None:
        """Start without connections; they are opened on demand."""
        self.limit = limit
        self.used_at: float = 0
        self._address = address
        self._idle: list[Http1Connection] = []
        self._open_count = 0
        self._epoch = 0
        self._waiters: deque[anyio.Event] = deque()

    @property
    def open_count(self) -> int:
        """Return the number of connections that are open or being opened."""
        return self._open_count

    async def resize(self, limit: int) -> None:
        """Set the limit and close idle connections above it."""
        self.limit = limit
        while self._idle and self._open_count > limit:
            await self._close(self._idle.pop(0))

    async def acquire(self, open_stream: StreamOpener) -> Http1Connection:
        """Return an idle or new connection, waiting if none is available.

        Raises:
            OSError: A new connection could not be opened.
        """
        while True:
            conn = await self._take_idle()
            if conn is not None:
                return conn
            if self._open_count < max(1, self.limit - 1):
                return await self._open_new(open_stream)
            await self._wait_for_change()

    async def acquire_new(self, open_stream: StreamOpener) -> Http1Connection:
        """Open a connection within the limit, closing an idle one if needed.

        Raises:
            OSError: The connection could not be opened.
        """
        while self._open_count >= self.limit:
            if self._idle:
                await self._close(self._idle.pop(0))
            else:
                await self._wait_for_change()
        return await self._open_new(open_stream)

    async def release(self, conn: Http1Connection, *, keep: bool) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        is_current = (
            conn.epoch == self._epoch and self._open_count <= self.limit
        )
        if keep and is_current and conn.reusable:
            self._idle.append(conn)
            self._wake_next()
        else:
            await self._close(conn)

    def has_open_connections(self) -> bool:
        """Return whether any connection is open, idle or in use."""
        return self._open_count > 0

    async def close_idle(self) -> None:
        """Close idle connections, and those in use on their release."""
        self._epoch += 1
        idle, self._idle = self._idle, []
        for conn in idle:
            await self._close(conn)

    async def _take_idle(self) -> Http1Connection | None:
        """Return an idle connection, or None if there is none.

        Raises:
            StaleConnectionError: The server closed it. The server may have
                restarted cold, so its warm state must be verified again.
        """
        if not self._idle:
            return None
        conn = self._idle.pop()
        if not conn.is_stale():
            return conn
        await self._close(conn)
        await self.close_idle()
        raise StaleConnectionError('the server closed an idle connection')

    async def _open_new(self, open_stream: StreamOpener) -> Http1Connection:
        self._open_count += 1
        try:
            stream = await open_stream(self._address)
        except BaseException:
            self._connection_closed()
            raise
        return Http1Connection(stream, host=self._address, epoch=self._epoch)

    async def _close(self, conn: Http1Connection) -> None:
        try:
            await conn.aclose()
        finally:
            self._connection_closed()

    def _connection_closed(self) -> None:
        self._open_count -= 1
        self._wake_next()

    async def _wait_for_change(self) -> None:
        event = anyio.Event()
        self._waiters.append(event)
        try:
            await event.wait()
        except BaseException:
            if event.is_set():
                # This waiter is cancelled, so pass its wake-up to the next one.
                self._wake_next()
            else:
                self._waiters.remove(event)
            raise

    def _wake_next(self) -> None:
        if self._waiters:
            self._waiters.popleft().set()
