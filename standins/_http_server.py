"""Minimal HTTP/1.1 server connections over h11 and anyio."""

import asyncio
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple

import anyio
import anyio.abc
import h11

__all__ = (
    'HttpRequest',
    'HttpResponse',
    'ServerConnection',
    'json_response',
    'listen',
)

_READ_BYTES: Final = 65536
_CONNECTION_ERRORS: Final = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    h11.ProtocolError,
)


class HttpRequest(NamedTuple):
    """A complete request; header names are lower case."""

    method: str
    target: str
    headers: dict[bytes, bytes]
    body: bytes

    def header(self, name: str) -> str:
        """Return a header's value, or an empty string."""
        return self.headers.get(name.encode(), b'').decode()


class HttpResponse(NamedTuple):
    """A complete response."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


RequestHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]


def json_response(
    status: int, body: Any, headers: list[tuple[str, str]] | None = None
) -> HttpResponse:
    """Build a response with a JSON body."""
    return HttpResponse(status, headers or [], json.dumps(body).encode())


async def listen(
    host: str,
    port: int,
    handle: Callable[[anyio.abc.SocketStream], Awaitable[None]],
) -> tuple[int, asyncio.Task[None]]:
    """Accept connections in a task of the running asyncio loop.

    Returns:
        The port, and the task; cancelling it closes all connections.
    """
    listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    return port, asyncio.create_task(listener.serve(handle))


class ServerConnection:
    """Answer requests one after the other until the client disconnects.

    A request that is being handled is cancelled as soon as the client closes
    the connection.
    """

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        """Take over an accepted connection."""
        self.silent = False
        self.scope = anyio.CancelScope()
        self._stream = stream
        self._h11 = h11.Connection(h11.SERVER)
        self._read_ahead = b''

    async def serve(self, respond: RequestHandler) -> None:
        """Serve until the client disconnects or `reset` is called."""
        try:
            with self.scope:
                await self._serve(respond)
        except _CONNECTION_ERRORS:
            return
        finally:
            await anyio.aclose_forcefully(self._stream)

    def reset(self) -> None:
        """Abort the connection with a TCP reset."""
        raw = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        # With a linger time of 0 s the kernel sends RST instead of FIN.
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        self.scope.cancel()

    async def _serve(self, respond: RequestHandler) -> None:
        while True:
            request = await self._read_request()
            if request is None:
                return
            response = await self._respond(respond, request)
            if self.silent:
                await anyio.sleep_forever()
            await self._stream.send(self._encode(response))
            if self._h11.our_state is not h11.DONE:
                return
            self._h11.start_next_cycle()

    async def _read_request(self) -> HttpRequest | None:
        head: h11.Request | None = None
        body = b''
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                self._h11.receive_data(await self._receive())
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and head:
                return HttpRequest(
                    head.method.decode(),
                    head.target.decode(),
                    dict(head.headers),
                    body,
                )
            else:
                return None

    async def _receive(self) -> bytes:
        read_ahead, self._read_ahead = self._read_ahead, b''
        if read_ahead:
            return read_ahead
        try:
            return await self._stream.receive(_READ_BYTES)
        except anyio.EndOfStream:
            return b''

    async def _respond(
        self, respond: RequestHandler, request: HttpRequest
    ) -> HttpResponse:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_on_close)
            try:
                response = await respond(request)
            except (ValueError, TypeError, KeyError) as exc:
                response = json_response(500, {'error': repr(exc)})
            tasks.cancel_scope.cancel()
        return response

    async def _cancel_on_close(self) -> None:
        try:
            while True:
                self._read_ahead += await self._stream.receive(_READ_BYTES)
        except _CONNECTION_ERRORS:
            self.scope.cancel()

    def _encode(self, response: HttpResponse) -> bytes:
        head = h11.Response(
            status_code=response.status,
            headers=[
                ('content-length', str(len(response.body))),
                ('content-type', 'application/json'),
                *response.headers,
            ],
        )
        parts = (
            self._h11.send(head),
            self._h11.send(h11.Data(data=response.body)),
            self._h11.send(h11.EndOfMessage()),
        )
        return b''.join(part for part in parts if part)
