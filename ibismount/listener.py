"""A listening socket that cuts off no connection when it closes."""

import asyncio
import socket

from ibismount.caller_connection import CallerConnection, CallerEndpoint
from ibismount.logs import part_logger

__all__ = ('Listener', 'open_listener')

log = part_logger('listener')

BACKLOG = 512  # connections not yet accepted


class Listener:
    """Accepts the connections of callers at one address.

    Args:
        sock: Bound, listening socket.
        server: Accepts its connections.
        endpoint: Handles the requests.
    """

    def __init__(
        self,
        sock: socket.socket,
        server: asyncio.Server,
        endpoint: CallerEndpoint,
    ) -> None:
        """Take ownership of the socket."""
        self._sock = sock
        self._server = server
        self._endpoint = endpoint

    async def close(self) -> None:
        """Stop listening, but serve the connections that are established.

        The kernel completes handshakes on its own, and callers may have sent
        requests on connections that the event loop has not accepted yet.
        Closing the listening socket would reset these.
        """
        if not self._server.is_serving():
            return
        established = self._accept_established()
        self._server.close()
        loop = asyncio.get_running_loop()
        for sock in established:
            sock.setblocking(False)
            await loop.connect_accepted_socket(self._make_connection, sock)

    def _make_connection(self) -> CallerConnection:
        return CallerConnection(self._endpoint)

    def _accept_established(self) -> list[socket.socket]:
        established: list[socket.socket] = []
        while True:
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return established
            except ConnectionAbortedError:
                continue
            except OSError as exc:
                log.warning(
                    'connections are cut off by the stop',
                    extra={'reason': str(exc)},
                )
                return established
            established.append(sock)


async def open_listener(address: str, endpoint: CallerEndpoint) -> Listener:
    """Listen at an address.

    Args:
        address: IP address and port, separated by a colon.
        endpoint: Handles the requests.

    Raises:
        OSError: The address can't be used.
    """
    host, _, port = address.rpartition(':')
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, int(port)))
        server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(endpoint), sock=sock, backlog=BACKLOG
        )
    except OSError:
        sock.close()
        raise
    return Listener(sock, server, endpoint)
