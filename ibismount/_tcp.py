"""Open TCP streams by address; tests replace the opener."""

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

__all__ = ('StreamOpener', 'open_tcp', 'split_address')

StreamOpener = Callable[[str], Awaitable[anyio.abc.ByteStream]]


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; an IPv6 host is written in brackets."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


async def open_tcp(address: str) -> anyio.abc.ByteStream:
    """Connect to ``host:port``."""
    host, port = split_address(address)
    return await anyio.connect_tcp(host, port)
