"""Stand-in of a backend server in the form that the edge program speaks.

It has slots and a short queue, stops at the deadline it is given, checks that
it is the server that was meant, and counts how often each request ran.
"""

import asyncio
import collections
import dataclasses

import h11

__all__ = ('ShardServer', 'serve_shard')

READ_BYTES = 65536


@dataclasses.dataclass(eq=False)
class ShardServer:
    """One backend server; ``fault`` is what the next requests meet.

    Faults: ``''``, ``reset``, ``silent``, ``cut``, ``extra``, ``fail``.
    """

    id: str
    service: str
    work_s: float = 0.005
    slots: int = 4
    queue: int = 8
    fault: str = ''
    running: int = 0
    waiting: int = 0
    ran: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    free: asyncio.Condition = dataclasses.field(
        default_factory=asyncio.Condition
    )

    async def run(self, request_id: str) -> bool:
        """Run a request; return False when it is rejected."""
        if self.running >= self.slots:
            if self.waiting >= self.queue:
                return False
            self.waiting += 1
            try:
                async with self.free:
                    await self.free.wait_for(lambda: self.running < self.slots)
            finally:
                self.waiting -= 1
        self.running += 1
        self.ran[request_id] += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            async with self.free:
                self.free.notify()
        return True


async def _serve_connection(
    server: ShardServer,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    conn = h11.Connection(h11.SERVER)
    try:
        while await _serve_request(server, conn, reader, writer):
            conn.start_next_cycle()
    except (
        asyncio.CancelledError,  # the stand-in ends
        ConnectionError,
        h11.RemoteProtocolError,
    ):
        pass  # or the node left in the middle of a request
    finally:
        writer.close()


async def _serve_request(
    server: ShardServer,
    conn: h11.Connection,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    headers: dict[str, str] = {}
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request):
            headers = {
                name.decode(): text.decode() for name, text in event.headers
            }
        elif isinstance(event, h11.EndOfMessage):
            break
        elif not isinstance(event, h11.Data):
            return False
    if headers.get('ibismount-expected-instance') != server.id:
        _send(conn, writer, 421, {})
        return True
    request_id = headers['ibismount-request-id']
    if not await server.run(request_id):
        _send(conn, writer, 503, {'ibismount-not-executed': '1'})
        return True
    if server.fault == 'silent':
        await reader.read()
        return False
    if server.fault == 'reset':
        writer.transport.abort()
        return False
    if server.fault == 'cut':
        writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nhalf')
        return False
    status = 500 if server.fault == 'fail' else 200
    body = f'{server.service}:{request_id}'.encode()[:16].ljust(16, b'.')
    answer = {
        'ibismount-request-id': request_id,
        'ibismount-server-stamp': f'{server.id}.{request_id}',
    }
    _send(conn, writer, status, answer, body)
    if server.fault == 'extra':
        writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno')
    await writer.drain()
    return conn.our_state is h11.DONE


def _send(
    conn: h11.Connection,
    writer: asyncio.StreamWriter,
    status: int,
    headers: dict[str, str],
    body: bytes = b'',
) -> None:
    sent = [*headers.items(), ('content-length', str(len(body)))]
    writer.write(conn.send(h11.Response(status_code=status, headers=sent)))
    writer.write(conn.send(h11.Data(data=body)))
    writer.write(conn.send(h11.EndOfMessage()))


async def serve_shard(server: ShardServer, host: str) -> asyncio.Server:
    """Listen for requests on a free port."""
    return await asyncio.start_server(
        lambda reader, writer: _serve_connection(server, reader, writer),
        host,
        0,
    )
