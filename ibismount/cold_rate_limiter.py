"""Bound the requests of all nodes together to cold backend servers.

A service states the rate that its cold servers can take; a server crashes
well above it. The permits of each second are divided among the nodes without
messages: each node gets an equal part, and the remainder goes to the nodes
that rank first for that server.
"""

import collections
import dataclasses
import hashlib
from collections.abc import Collection, Sequence

__all__ = ('ColdRateLimiter', 'ColdRateOptions')


@dataclasses.dataclass(frozen=True, slots=True)
class ColdRateOptions:
    """Times in seconds."""

    # A little longer than the second in which a server counts, since requests
    # arrive with varying delay.
    window_s: float = 1.1


_DEFAULTS = ColdRateOptions()


class ColdRateLimiter:
    """Limit the requests that one node sends to cold servers.

    Args:
        node_id: This node.
        options: Times.

    Example::

        limiter = ColdRateLimiter('a')
        limiter.set_nodes(['a', 'b'])
        limiter.try_acquire(0, 'server-1', rate=4)  # True, twice in a second
    """

    def __init__(
        self, node_id: str, options: ColdRateOptions = _DEFAULTS
    ) -> None:
        """Start without nodes, and so without permits."""
        self._node_id = node_id
        self._options = options
        self._nodes: Sequence[str] = ()
        self._sent_at: dict[str, collections.deque[float]] = {}

    def set_nodes(self, nodes: Sequence[str]) -> None:
        """Set the nodes among which the permits are divided."""
        self._nodes = nodes

    def permits_per_s(self, server_id: str, rate: float) -> int:
        """Return how many requests this node may send in a second.

        Args:
            server_id: The cold server.
            rate: Requests per second for the server from all nodes.
        """
        if self._node_id not in self._nodes:
            return 0
        total = max(1, int(rate))
        per_node, remainder = divmod(total, len(self._nodes))
        ranked = sorted(
            self._nodes, key=lambda node: _rank_key(server_id, node)
        )
        return per_node + (ranked.index(self._node_id) < remainder)

    def try_acquire(self, now: float, server_id: str, *, rate: float) -> bool:
        """Take a permit; return False when none is left in this second."""
        sent_at = self._sent_at.setdefault(server_id, collections.deque())
        while sent_at and sent_at[0] <= now - self._options.window_s:
            sent_at.popleft()
        if len(sent_at) >= self.permits_per_s(server_id, rate):
            return False
        sent_at.append(now)
        return True

    def refund(self, server_id: str) -> None:
        """Return the permit of a request that was not sent."""
        self._sent_at[server_id].pop()

    def keep_only(self, server_ids: Collection[str]) -> None:
        """Drop the counts of all other servers."""
        for server_id in self._sent_at.keys() - server_ids:
            self._sent_at.pop(server_id)


def _rank_key(server_id: str, node_id: str) -> bytes:
    key = f'{server_id}/{node_id}'.encode()
    return hashlib.blake2b(key, digest_size=8).digest()
