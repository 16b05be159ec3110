"""Bound the requests of all nodes together to single backend servers.

A cold server, or one in need, takes only so many requests a second. Permits
for them are divided among the nodes without messages: each node gets an equal
part, and the remainder goes to the nodes that rank first for that server.
"""

import collections
import dataclasses
import hashlib
import math
from collections.abc import Collection, Sequence

__all__ = ('RateLimiterOptions', 'ServerRateLimiter')


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimiterOptions:
    """Times in seconds."""

    # Permits are counted over the time in which each node gets one, within
    # these bounds: a longer time gives a low rate to more nodes, a shorter one
    # spreads a high rate evenly.
    min_period_s: float = 1.0
    max_period_s: float = 1.0
    # Added to the period, since requests arrive with varying delay.
    margin_s: float = 0.1


_DEFAULTS = RateLimiterOptions()


class ServerRateLimiter:
    """Limit the requests that one node sends to servers with a rate.

    Args:
        node_id: This node.
        options: Times.

    Example::

        limiter = ServerRateLimiter('a')
        limiter.set_nodes(['a', 'b'])
        limiter.try_acquire(0, 'server-1', rate=4)  # True, twice in a second
    """

    def __init__(
        self, node_id: str, options: RateLimiterOptions = _DEFAULTS
    ) -> None:
        """Start without nodes, and so without permits."""
        self._node_id = node_id
        self._options = options
        self._nodes: Sequence[str] = ()
        self._sent_at: dict[str, collections.deque[float]] = {}
        # Permits of this node by server and rate, for the nodes that are set.
        self._permits: dict[tuple[str, float], int] = {}

    def set_nodes(self, nodes: Sequence[str]) -> None:
        """Set the nodes among which the permits are divided."""
        if nodes != self._nodes:
            self._nodes = nodes
            self._permits.clear()

    def permits(self, server_id: str, rate: float) -> int:
        """Return how many requests this node may send in a period.

        Args:
            server_id: The server.
            rate: Requests per second for the server from all nodes.
        """
        permits = self._permits.get((server_id, rate))
        if permits is None:
            permits = self._compute_permits(server_id, rate)
            self._permits[server_id, rate] = permits
        return permits

    def _compute_permits(self, server_id: str, rate: float) -> int:
        if self._node_id not in self._nodes:
            return 0
        total = max(1, int(rate * self.period_s(rate)))
        per_node, remainder = divmod(total, len(self._nodes))
        ranked = sorted(
            self._nodes, key=lambda node: _rank_key(server_id, node)
        )
        return per_node + (ranked.index(self._node_id) < remainder)

    def period_s(self, rate: float) -> float:
        """Return the time over which permits are counted, in seconds."""
        options = self._options
        one_each_s = len(self._nodes) / rate if rate else math.inf
        return min(options.max_period_s, max(options.min_period_s, one_each_s))

    def try_acquire(self, now: float, server_id: str, *, rate: float) -> bool:
        """Take a permit; return False when none is left in this period."""
        if self.next_permit_at(now, server_id, rate=rate) > now:
            return False
        self._sent_at.setdefault(server_id, collections.deque()).append(now)
        return True

    def next_permit_at(
        self, now: float, server_id: str, *, rate: float
    ) -> float:
        """Return when a permit is free, in seconds; infinity if never."""
        permits = self.permits(server_id, rate)
        if not permits:
            return math.inf
        options = self._options
        sent_at = self._sent_at.get(server_id, ())
        # The period may grow again, so entries are kept for the longest one.
        oldest = now - options.max_period_s - options.margin_s
        while sent_at and sent_at[0] <= oldest:
            sent_at.popleft()
        if len(sent_at) < permits:
            return now
        return max(
            now, sent_at[-permits] + self.period_s(rate) + options.margin_s
        )

    def refund(self, server_id: str) -> None:
        """Return the permit of a request that was not sent."""
        self._sent_at[server_id].pop()

    def keep_only(self, server_ids: Collection[str]) -> None:
        """Drop the counts of all other servers."""
        for server_id in self._sent_at.keys() - server_ids:
            self._sent_at.pop(server_id)
        self._permits.clear()


def _rank_key(server_id: str, node_id: str) -> bytes:
    key = f'{server_id}/{node_id}'.encode()
    return hashlib.blake2b(key, digest_size=8).digest()
