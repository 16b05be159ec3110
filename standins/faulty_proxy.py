"""A loopback TCP proxy that injects faults into connections."""

import asyncio

__all__ = ('FaultyProxy',)

READ_BYTES = 65536
DELAY_S = 0.15  # above the usual latency, below the deadlines


class FaultyProxy:
    """Forward connections from a free port to another, with faults.

    Values of ``fault``: ``''`` (none), ``delay``, ``silent`` (connections stay
    open, nothing is forwarded) and ``one_way`` (requests are forwarded, answers
    are not). A ``reset`` is done by the method of that name.
    """

    def __init__(self, port: int) -> None:
        """Forward to a loopback port; `start` starts to listen."""
        self.fault = ''
        self._target_port = port
        # The first `start` binds a free port.
        self._port = 0
        self._server: asyncio.Server | None = None
        self._pairs: set[tuple[asyncio.StreamWriter, ...]] = set()

    async def start(self) -> int:
        """Listen on a free port and return it.

        Nothing changes if it listens already. After `stop`, the earlier port is
        used again if no other process has taken it.
        """
        if self._server is not None and self._server.is_serving():
            return self._port
        try:
            self._server = await asyncio.start_server(
                self._serve, '127.0.0.1', self._port
            )
        except OSError:
            self._server = await asyncio.start_server(
                self._serve, '127.0.0.1', 0
            )
        self._port = self._server.sockets[0].getsockname()[1]
        return self._port

    def stop(self) -> None:
        """Refuse connections and abort the open ones, until `start`."""
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Abort all open connections."""
        for pair in list(self._pairs):
            for writer in pair:
                writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                '127.0.0.1', self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, upstream_writer)
        self._pairs.add(pair)
        await asyncio.gather(
            self._forward(reader, upstream_writer, blocked_by=('silent',)),
            self._forward(
                upstream_reader, writer, blocked_by=('silent', 'one_way')
            ),
        )
        self._pairs.discard(pair)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        blocked_by: tuple[str, ...],
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self.fault == 'delay':
                    await asyncio.sleep(DELAY_S)
                # Blocked bytes are dropped, as in a network partition.
                if self.fault not in blocked_by:
                    writer.write(data)
                    await writer.drain()
        except (asyncio.CancelledError, ConnectionError):
            # The proxy is stopped, or one side was reset.
            writer.transport.abort()
        else:
            writer.close()
