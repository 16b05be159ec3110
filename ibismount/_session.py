"""Link security: Hello checks, keys, sequence numbers and MACs."""

import hmac
from typing import Final

from ibismount.errors import ErrorCode, IbismountError
from ibismount.frame import LENGTH_PREFIX_BYTES, add_length_prefix
from ibismount.messages import Hello

__all__ = ('MIN_NONCE_BYTES', 'SEAL_BYTES', 'Session', 'check_hello')

MIN_NONCE_BYTES: Final = 16
_SEQUENCE_BYTES: Final = 8
# Half of the SHA-256 output, the shortest truncation RFC 2104 recommends.
_MAC_BYTES: Final = 16
SEAL_BYTES: Final = _SEQUENCE_BYTES + _MAC_BYTES


def check_hello(
    own_hello: Hello, peer_hello: Hello, *, expected_node_id: str = ''
) -> None:
    """Refuse a peer whose Hello does not match this cluster.

    Args:
        own_hello: The Hello that this side sent.
        peer_hello: The Hello that the peer sent.
        expected_node_id: Node id that was dialled; empty on the accepting side.

    Raises:
        IbismountError: ``protocol_version``, ``wrong_cluster`` or
            ``peer_refused``.
    """
    place = f'peer {peer_hello.node_id}'
    if peer_hello.protocol != own_hello.protocol:
        raise IbismountError(
            ErrorCode.PROTOCOL_VERSION,
            f'protocol version {peer_hello.protocol} is not supported; '
            f'expected {own_hello.protocol}',
            place=place,
        )
    if peer_hello.cluster != own_hello.cluster:
        raise IbismountError(
            ErrorCode.WRONG_CLUSTER,
            f'the peer belongs to cluster {peer_hello.cluster!r}; '
            f'expected {own_hello.cluster!r}',
            place=place,
        )
    if peer_hello.node_id == own_hello.node_id or expected_node_id not in {
        '',
        peer_hello.node_id,
    }:
        raise IbismountError(
            ErrorCode.PEER_REFUSED,
            f'node id {peer_hello.node_id!r} is this node or differs from '
            'the node that was dialled',
            place=place,
        )
    if (
        len(peer_hello.nonce) < MIN_NONCE_BYTES
        or peer_hello.nonce == own_hello.nonce
    ):
        raise IbismountError(
            ErrorCode.PEER_REFUSED,
            'the nonce is too short or repeats the nonce of this node',
            place=place,
        )


class Session:
    """Seal outgoing and verify incoming frames of one connection.

    The keys are derived from both Hello bodies, so neither side's identity
    can be replaced. Each direction has its own key, so a frame cannot be
    reflected to its sender.

    Args:
        secret: The cluster's shared secret.
        dialler_hello: Encoded Hello of the side that opened the connection.
        acceptor_hello: Encoded Hello of the other side.
        dialled: Whether this side opened the connection.
    """

    def __init__(
        self,
        secret: bytes,
        dialler_hello: bytes,
        acceptor_hello: bytes,
        *,
        dialled: bool,
    ) -> None:
        """Derive one key per direction."""
        transcript = add_length_prefix(dialler_hello) + add_length_prefix(
            acceptor_hello
        )
        master = hmac.digest(secret, b'ibismount link' + transcript, 'sha256')
        dialler_key = hmac.digest(master, b'dialler', 'sha256')
        acceptor_key = hmac.digest(master, b'acceptor', 'sha256')
        self._send_key, self._receive_key = (
            (dialler_key, acceptor_key)
            if dialled
            else (acceptor_key, dialler_key)
        )
        self._sent = 0
        self._received = 0

    def seal(self, body: bytes) -> bytes:
        """Return a whole frame with the next sequence number and a MAC."""
        sequence = self._sent.to_bytes(_SEQUENCE_BYTES, 'big')
        self._sent += 1
        size = SEAL_BYTES + len(body)
        return b''.join(
            (
                size.to_bytes(LENGTH_PREFIX_BYTES, 'big'),
                sequence,
                _mac(self._send_key, sequence + body),
                body,
            )
        )

    def open(self, sealed: bytes) -> bytes:
        """Verify a frame's sequence number and MAC and return its body.

        Raises:
            IbismountError: ``frame_truncated``; ``frame_replayed`` for a
                repeated, missing or reordered frame; ``unauthorized`` when
                the MAC of the first frame is wrong; ``frame_invalid`` when
                the MAC of a later frame is wrong.
        """
        if len(sealed) < SEAL_BYTES:
            raise IbismountError(
                ErrorCode.FRAME_TRUNCATED,
                'the frame is too short for a sequence number and a MAC',
            )
        sequence = int.from_bytes(sealed[:_SEQUENCE_BYTES], 'big')
        if sequence != self._received:
            raise IbismountError(
                ErrorCode.FRAME_REPLAYED,
                f'received frame {sequence}; expected frame {self._received}',
            )
        body = sealed[SEAL_BYTES:]
        expected = _mac(self._receive_key, sealed[:_SEQUENCE_BYTES] + body)
        if not hmac.compare_digest(
            expected, sealed[_SEQUENCE_BYTES:SEAL_BYTES]
        ):
            raise self._wrong_mac()
        self._received += 1
        return body

    def _wrong_mac(self) -> IbismountError:
        if self._received:
            return IbismountError(
                ErrorCode.FRAME_INVALID, 'the MAC of the frame is wrong'
            )
        return IbismountError(
            ErrorCode.UNAUTHORIZED,
            'the MAC of the first frame is wrong: '
            'the peer uses another shared secret',
        )


def _mac(key: bytes, content: bytes) -> bytes:
    return hmac.digest(key, content, 'sha256')[:_MAC_BYTES]
