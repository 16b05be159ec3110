"""A listening socket that cuts off no connection when it closes."""

import asyncio
import socket

from ibismount.caller_connection import CallerConnection, CallerEndpoint
from ibismount.logs import part_logger

__all__ = ('Listener', 'bind_socket', 'listen_on_socket', 'open_listener')

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
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._sock.fileno())
        # Connections that were accepted just now are set up in the next turn of
        # the event loop, which fails if their server is closed by then.
        await asyncio.sleep(0)
        established = self._accept_established()
        self._server.close()
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
    return await listen_on_socket(bind_socket(address), endpoint)


def bind_socket(address: str) -> socket.socket:
    """Bind a socket to an address.

    Args:
        address: IP address and port, separated by a colon.

    Raises:
        OSError: The address can't be used.
    """
    host, _, port = address.rpartition(':')
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, int(port)))
    except OSError:
        sock.close()
        raise
    return sock


async def listen_on_socket(
    sock: socket.socket, endpoint: CallerEndpoint
) -> Listener:
    """Listen on a bound socket; it is closed if that fails.

    Args:
        sock: Bound socket; it may be listening already.
        endpoint: Handles the requests.

    Raises:
        OSError: The socket can't listen.
    """
    try:
        server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(endpoint), sock=sock, backlog=BACKLOG
        )
    except OSError:
        sock.close()
        raise
    return Listener(sock, server, endpoint)
