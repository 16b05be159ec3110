"""A loopback proxy that delays, resets, cuts one way or silences connections."""

import asyncio

__all__ = ('FaultyProxy',)

READ_BYTES = 65536
DELAY_S = 0.15  # longer than the usual latency, shorter than a deadline


class FaultyProxy:
    """Forward one port to another; ``fault`` is what connections meet.

    Faults: ``''``, ``delay``, ``reset`` (all connections, once), ``silent``
    (open connections stay open, nothing passes) and ``one_way`` (requests
    pass, answers do not).
    """

    def __init__(self, port: int) -> None:
        """Forward to a port of this machine."""
        self.fault = ''
        self._target_port = port
        self._pairs: set[tuple[asyncio.StreamWriter, ...]] = set()

    async def start(self) -> int:
        """Listen and return the port."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return server.sockets[0].getsockname()[1]

    def reset(self) -> None:
        """Reset the connections that are open now."""
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
                # Bytes that a cut holds up are lost, as behind a partition.
                if self.fault not in blocked_by:
                    writer.write(data)
                    await writer.drain()
        except (asyncio.CancelledError, ConnectionError):
            # The stand-in ends, or one side was reset.
            writer.transport.abort()
        else:
            writer.close()
