"""A listener that closes cuts off no established connection."""

import asyncio
import socket

import pytest

from ibismount.caller_connection import CallerEndpoint
from ibismount.listener import open_listener
from ibismount.routes import CallerLimits

REQUEST = b'GET /x HTTP/1.1\r\nhost: a.example\r\n\r\n'
OK = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'


class AnsweringEndpoint(CallerEndpoint):
    """Answers every request at once."""

    @property
    def limits(self):
        return CallerLimits()

    def handle(self, raw, conn):
        conn.answer(OK, last=True)

    def encode_error(self, code):
        return b''


def listener_address(listener):
    host, port = listener._sock.getsockname()
    return host, port


def test_requests_in_the_backlog_are_answered():
    """Requests sent just before the stop were reset with their connections.

    The event loop does not run between the connects and the close, so the
    connections are in the backlog then.
    """

    async def main():
        listener = await open_listener('127.0.0.1:0', AnsweringEndpoint())
        callers = [
            socket.create_connection(listener_address(listener), timeout=5)
            for _ in range(20)
        ]
        for caller in callers:
            caller.sendall(REQUEST)
        await listener.close()
        loop = asyncio.get_running_loop()
        for caller in callers:
            caller.setblocking(False)
            assert await loop.sock_recv(caller, 1000) == OK
            caller.close()

    asyncio.run(asyncio.wait_for(main(), 10))


@pytest.mark.parametrize('turns', range(6))
def test_requests_that_are_being_accepted_are_answered(turns):
    """A connection whose set-up the close interrupted was never answered.

    The event loop accepts the connections in one turn and starts to serve them
    in the next.
    """

    async def main():
        loop = asyncio.get_running_loop()
        failures = []
        loop.set_exception_handler(lambda _, context: failures.append(context))
        listener = await open_listener('127.0.0.1:0', AnsweringEndpoint())
        callers = [
            socket.create_connection(listener_address(listener), timeout=5)
            for _ in range(5)
        ]
        for caller in callers:
            caller.sendall(REQUEST)
        for _ in range(turns):
            await asyncio.sleep(0)
        await listener.close()
        for caller in callers:
            caller.setblocking(False)
            async with asyncio.timeout(1):
                assert await loop.sock_recv(caller, 1000) == OK
            caller.close()
        assert failures == []

    asyncio.run(asyncio.wait_for(main(), 10))


def test_closed_listener_refuses_connections():
    """A caller must go to another node at once, not wait for an answer."""

    async def main():
        listener = await open_listener('127.0.0.1:0', AnsweringEndpoint())
        address = listener_address(listener)
        await listener.close()
        await listener.close()
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address, timeout=5)

    asyncio.run(asyncio.wait_for(main(), 10))


def test_address_in_use_is_an_error():
    """Two processes at one address would each get some of the callers."""

    async def main():
        listener = await open_listener('127.0.0.1:0', AnsweringEndpoint())
        host, port = listener_address(listener)
        with pytest.raises(OSError):
            await open_listener(f'{host}:{port}', AnsweringEndpoint())

    asyncio.run(asyncio.wait_for(main(), 10))
