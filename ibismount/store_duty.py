"""Decide which nodes follow the store themselves.

Each call to the store is paid for, so only a few nodes follow it and hand
changes on. Every node links to the first nodes in a rank that all nodes
compute alike; a node whose links give no current view follows the store
itself until they do again.
"""

import dataclasses
import hashlib
from collections.abc import Mapping

__all__ = ('DutyOptions', 'StoreDuty', 'rank_nodes')


@dataclasses.dataclass(frozen=True, slots=True)
class DutyOptions:
    """Numbers and times in seconds."""

    # Nodes that follow the store: with two, one may fail unnoticed.
    sources: int = 2
    # A node starts to follow the store this long after its start, when it has
    # heard from its peers.
    settle_s: float = 0.7
    # Longest time without a current view from a peer. A change has to be in
    # force within three seconds, also when both sources are cut off just
    # before: about 1.8 s pass until their beats say so.
    patience_s: float = 0.6
    # Each rank waits longer than the one before: while the store is away for
    # all, calls by every node would be paid for without use.
    stagger_s: float = 0.25
    stagger_most_s: float = 30.0
    # A node stops following the store after this time with current links.
    release_s: float = 4.0


_DEFAULTS = DutyOptions()


def rank_nodes(capacities: Mapping[str, float]) -> list[str]:
    """Return nodes in an order that all nodes agree on, strong ones first.

    Args:
        capacities: The capacity of each node by its id.
    """
    return sorted(
        capacities, key=lambda one: (-capacities[one], _spread_key(one))
    )


def _spread_key(node_id: str) -> bytes:
    return hashlib.blake2b(node_id.encode(), digest_size=8).digest()


class StoreDuty:
    """Decide for one node, from its rank and its links.

    Args:
        node_id: This node.
        started_at: When the process started, in seconds.
        options: Numbers and times.
        is_seed: The settings of the others name this node.
    """

    def __init__(
        self,
        node_id: str,
        started_at: float,
        options: DutyOptions = _DEFAULTS,
        *,
        is_seed: bool = False,
    ) -> None:
        """Start without duty."""
        self._node_id = node_id
        self._options = options
        self._settled_at = started_at + options.settle_s
        # All nodes turn to the seeds first, so these must not wait.
        self._starts_at = started_at if is_seed else self._settled_at
        self._current_at = started_at
        self._stale_at = started_at

    def upstream(self, live: Mapping[str, float]) -> list[str]:
        """Return the other nodes that this node links to."""
        ranked = rank_nodes(live)
        others = [one for one in ranked if one != self._node_id]
        return others[: self._options.sources]

    def follows_store(
        self, now: float, live: Mapping[str, float], *, current_links: int
    ) -> bool:
        """Tell whether this node follows the store itself now.

        Args:
            now: Time in seconds.
            live: Capacities of the nodes that are alive, by id, this one
                included.
            current_links: Links whose peer follows the store closely.
        """
        if current_links:
            self._current_at = now
        else:
            self._stale_at = now
        if now < self._settled_at:
            return now >= self._starts_at
        ranked = rank_nodes(live)
        if self._node_id not in ranked:
            # A node that leaves is no longer alive to the others.
            return False
        rank = ranked.index(self._node_id)
        if rank < self._options.sources:
            return True
        if not current_links:
            stagger_s = min(
                (rank - self._options.sources) * self._options.stagger_s,
                self._options.stagger_most_s,
            )
            patience_s = self._options.patience_s + stagger_s
            return now - self._current_at >= patience_s
        return False

    def may_stop(self, now: float) -> bool:
        """Tell whether links have been current long enough to rely on."""
        return now - self._stale_at >= self._options.release_s
