"""Bound what cold backend servers get from all nodes together.

A cold server bears a rate that its service states, and falls over well above
it. Its permits for each second are divided among the nodes without messages:
each node takes an equal part, and what is left over goes to the nodes that
rank first for that server.
"""

import collections
import dataclasses
import hashlib
from collections.abc import Collection, Sequence

__all__ = ('ColdRateLimiter', 'ColdRateOptions')


@dataclasses.dataclass(frozen=True, slots=True)
class ColdRateOptions:
    """Times in seconds."""

    # A little longer than the second in which a server counts, since sends
    # arrive with varying delay.
    window_s: float = 1.1


_DEFAULTS = ColdRateOptions()


class ColdRateLimiter:
    """Count what one node sends to cold servers.

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
        """Start without known nodes: nothing may be sent."""
        self._node_id = node_id
        self._options = options
        self._nodes: Sequence[str] = ()
        self._sent: dict[str, collections.deque[float]] = {}

    def set_nodes(self, nodes: Sequence[str]) -> None:
        """Take the nodes among which permits are divided."""
        self._nodes = nodes

    def permits_per_s(self, server_id: str, rate: float) -> int:
        """Return how many requests this node may send in a second.

        Args:
            server_id: The cold server.
            rate: Requests in a second that it bears from all nodes.
        """
        if self._node_id not in self._nodes:
            return 0
        whole = max(1, int(rate))
        each, left = divmod(whole, len(self._nodes))
        ranked = sorted(
            self._nodes, key=lambda node: _rank_key(server_id, node)
        )
        return each + (ranked.index(self._node_id) < left)

    def try_acquire(self, now: float, server_id: str, *, rate: float) -> bool:
        """Take a permit; return False when none is left in this second."""
        sent = self._sent.setdefault(server_id, collections.deque())
        while sent and sent[0] <= now - self._options.window_s:
            sent.popleft()
        if len(sent) >= self.permits_per_s(server_id, rate):
            return False
        sent.append(now)
        return True

    def refund(self, server_id: str) -> None:
        """Return the permit of a request that was not sent after all."""
        self._sent[server_id].pop()

    def keep_only(self, known: Collection[str]) -> None:
        """Drop what is known of servers that are gone."""
        for server_id in self._sent.keys() - known:
            self._sent.pop(server_id)


def _rank_key(server_id: str, node_id: str) -> bytes:
    key = f'{server_id}/{node_id}'.encode()
    return hashlib.blake2b(key, digest_size=8).digest()
