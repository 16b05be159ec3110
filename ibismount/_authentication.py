"""Authenticate connections and refuse outdated incarnations of a node."""

import dataclasses
import secrets
from typing import Final

import anyio
import anyio.abc

from ibismount._link import Link, handshake
from ibismount.errors import ErrorCode, IbismountError
from ibismount.logs import part_logger
from ibismount.messages import Hello

__all__ = ('Authenticator', 'refusal_error')

_NONCE_BYTES: Final = 32

log = part_logger('link')


class Authenticator:
    """Run handshakes and track the newest incarnation of each node.

    Args:
        hello: This side's Hello; each handshake gets a fresh nonce.
        secret: Shared secret of the cluster.
        timeout_s: Timeout of a handshake in seconds.
    """

    def __init__(
        self, hello: Hello, secret: bytes, *, timeout_s: float
    ) -> None:
        """Start with no known incarnations."""
        self.refusals: dict[ErrorCode, int] = {}
        self._hello = hello
        self._secret = secret
        self._timeout_s = timeout_s
        self._newest_incarnations: dict[str, int] = {}

    async def authenticate(
        self, stream: anyio.abc.ByteStream, expected_node_id: str
    ) -> Link | None:
        """Run the handshake on a connection.

        Args:
            stream: A new connection.
            expected_node_id: Node id that was dialled; empty when accepting.

        Returns:
            The link, or None when the handshake failed or the peer was
            refused; the connection is then closed.
        """
        own_hello = dataclasses.replace(
            self._hello, nonce=secrets.token_bytes(_NONCE_BYTES)
        )
        accepted_link = None
        try:
            with anyio.fail_after(self._timeout_s):
                link = await handshake(
                    stream,
                    own_hello,
                    secret=self._secret,
                    expected_node_id=expected_node_id,
                )
            self.check_incarnation(link.peer_hello)
            accepted_link = link
        except IbismountError as exc:
            self.count_refusal(exc)
            log.warning(
                'handshake failed, link refused: %s [%s]', exc, exc.code
            )
        except (
            OSError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as exc:
            log.info('connection lost during the handshake: %r', exc)
        finally:
            if accepted_link is None:
                await anyio.aclose_forcefully(stream)
        return accepted_link

    def record_incarnation(self, node_id: str, incarnation: int) -> bool:
        """Record an incarnation; return whether it is the newest so far."""
        if incarnation <= self._newest_incarnations.get(node_id, -1):
            return False
        self._newest_incarnations[node_id] = incarnation
        return True

    def check_incarnation(self, peer_hello: Hello) -> None:
        """Refuse a node when a newer incarnation of it has been seen."""
        newest = self._newest_incarnations.get(
            peer_hello.node_id, peer_hello.incarnation
        )
        if peer_hello.incarnation < newest:
            raise refusal_error(
                peer_hello.node_id,
                f'incarnation {peer_hello.incarnation} is older than the '
                f'newest one seen, {newest}',
            )

    def count_refusal(self, exc: IbismountError) -> None:
        """Count the refusal of a peer or of one of its frames."""
        if exc.code is ErrorCode.LINK_LOST:
            return  # The connection ended; nothing was refused.
        self.refusals[exc.code] = self.refusals.get(exc.code, 0) + 1


def refusal_error(node_id: str, reason: str) -> IbismountError:
    """Return the error for a refused peer."""
    return IbismountError(
        ErrorCode.PEER_REFUSED, reason, place=f'peer {node_id}'
    )
