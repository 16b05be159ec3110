"""The HTTP server of the daemon's API, which cuts off no request when it stops."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.responses import Response

from ibismount.caller_connection import (
    CallerConnection,
    CallerEndpoint,
    RawRequest,
)
from ibismount.errors import ErrorCode
from ibismount.listener import Listener, bind_socket, listen_on_socket
from ibismount.routes import CallerLimits

__all__ = ('ApiServer', 'open_api_server')

# Time between the last accepted connection of the application and its end, in
# seconds: requests that were sent on these connections arrive meanwhile.
LAST_REQUESTS_S = 0.2
# Time that refused callers get to read their response, in seconds.
LAST_REFUSALS_S = 0.25
_POLL_S = 0.02
# Versions of HTTP whose responses may close their connection.
_VERSIONS_WITH_CLOSE = frozenset(('1.0', '1.1'))

Refuse = Callable[[], Response]


class _RefusingEndpoint(CallerEndpoint):
    """Refuses every request: the application takes no more connections."""

    def __init__(self, refuse: Refuse) -> None:
        """Start without connections."""
        super().__init__()
        self._refuse = refuse

    @property
    def limits(self) -> CallerLimits:
        """Return fixed limits."""
        return CallerLimits()

    def handle(self, raw: RawRequest, conn: CallerConnection) -> None:
        """Refuse at once."""
        conn.answer(_encode_response(self._refuse()), last=True)

    def encode_error(self, code: ErrorCode) -> bytes:
        """Refuse a malformed request, too."""
        return _encode_response(self._refuse())


class ApiServer:
    """Serves an ASGI application at one address.

    Args:
        app: The ASGI application.
        sock: Bound socket.
        refuse: Makes the response to requests that arrive during the stop.
    """

    def __init__(self, app: Any, sock: socket.socket, refuse: Refuse) -> None:
        """Take ownership of the socket."""
        self._app = app
        self._sock = sock
        self._refuse = refuse
        self._leaving = False
        self._app_descriptor = sock.dup().detach()
        self._stop_requested = asyncio.Event()
        self._stopped = asyncio.Event()

    async def run(self) -> None:
        """Serve until the server is stopped."""
        config = Config()
        config.bind = [f'fd://{self._app_descriptor}']
        config.errorlog = None
        config.accesslog = None
        try:
            await serve(
                self._handle,
                config,
                shutdown_trigger=self._stop_requested.wait,
            )
        finally:
            self._stopped.set()

    def begin_leaving(self) -> None:
        """Close each connection after its next response."""
        self._leaving = True

    async def stop(self) -> None:
        """Answer every request that has arrived, then stop listening.

        The application's server resets connections whose requests it has not
        read. Another listener therefore takes over the address first, and
        refuses requests until the application's server has ended.
        """
        self._leaving = True
        endpoint = _RefusingEndpoint(self._refuse)
        listener = await listen_on_socket(self._sock, endpoint)
        asyncio.get_running_loop().remove_reader(self._app_descriptor)
        await asyncio.sleep(LAST_REQUESTS_S)
        self._stop_requested.set()
        await self._stopped.wait()
        await _close_listener(listener, endpoint)

    async def _handle(self, scope: Any, receive: Any, send: Any) -> None:
        # HTTP/2 has no such header; its connections end with the server.
        may_close = scope.get('http_version') in _VERSIONS_WITH_CLOSE

        async def send_event(event: Any) -> None:
            closes = self._leaving and may_close
            if closes and event['type'] == 'http.response.start':
                headers = [*event.get('headers', ()), (b'connection', b'close')]
                event = {**event, 'headers': headers}
            await send(event)

        await self._app(scope, receive, send_event)


def open_api_server(address: str, app: Any, refuse: Refuse) -> ApiServer:
    """Bind the address of the API; ``run`` serves it.

    Args:
        address: IP address and port, separated by a colon.
        app: The ASGI application.
        refuse: Makes the response to requests that arrive during the stop.

    Raises:
        OSError: The address can't be used.
    """
    return ApiServer(app, bind_socket(address), refuse)


async def _close_listener(
    listener: Listener, endpoint: _RefusingEndpoint
) -> None:
    await listener.close()
    loop = asyncio.get_running_loop()
    end_at = loop.time() + LAST_REFUSALS_S
    while endpoint.connections and loop.time() < end_at:
        await asyncio.sleep(_POLL_S)


def _encode_response(response: Response) -> bytes:
    """Encode a response that closes its connection."""
    headers = b''.join(
        b'%b: %b\r\n' % header
        for header in (*response.raw_headers, (b'connection', b'close'))
    )
    return (
        b'HTTP/1.1 %d \r\n' % response.status_code
        + headers
        + b'\r\n'
        + response.body
    )
