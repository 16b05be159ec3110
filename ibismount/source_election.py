"""Decide which nodes follow the store themselves.

Each call to the store is paid for, so only a few nodes follow it and hand
changes on. Every node links to the first nodes in a rank that all nodes
compute alike; a node whose links give no current view follows the store
itself until they do again.
"""

import dataclasses
import hashlib
from collections.abc import Mapping

__all__ = ('SourceElection', 'SourceElectionOptions', 'rank_nodes')


@dataclasses.dataclass(frozen=True, slots=True)
class SourceElectionOptions:
    """Numbers and times in seconds."""

    # Nodes that follow the store: with two, one may fail unnoticed.
    source_count: int = 2
    # A node starts to follow the store this long after its start, when it has
    # heard from its peers.
    startup_delay_s: float = 0.7
    # Longest time without a current view from a peer. A change has to be in
    # force within three seconds, also when both sources are cut off just
    # before: about 1.8 s pass until their beats say so.
    takeover_after_s: float = 0.6
    # Each rank waits longer than the one before: while the store is away for
    # all, calls by every node would be paid for without use.
    rank_stagger_s: float = 0.25
    max_stagger_s: float = 30.0
    # A node stops following the store after this time with current links.
    release_after_s: float = 4.0


_DEFAULT_OPTIONS = SourceElectionOptions()


def rank_nodes(capacities: Mapping[str, float]) -> list[str]:
    """Return nodes in an order that all nodes agree on, strong ones first.

    Args:
        capacities: The capacity of each node by its id.
    """
    return sorted(
        capacities,
        key=lambda node_id: (-capacities[node_id], _tie_break_hash(node_id)),
    )


def _tie_break_hash(node_id: str) -> bytes:
    return hashlib.blake2b(node_id.encode(), digest_size=8).digest()


class SourceElection:
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
        options: SourceElectionOptions = _DEFAULT_OPTIONS,
        *,
        is_seed: bool = False,
    ) -> None:
        """Start without duty."""
        self._node_id = node_id
        self._options = options
        self._startup_ends_at = started_at + options.startup_delay_s
        # All nodes turn to the seeds first, so these must not wait.
        self._may_follow_from = started_at if is_seed else self._startup_ends_at
        self._last_current_at = started_at
        self._last_stale_at = started_at

    def select_upstreams(self, capacities: Mapping[str, float]) -> list[str]:
        """Return the other nodes that this node links to."""
        ranked = rank_nodes(capacities)
        others = [node_id for node_id in ranked if node_id != self._node_id]
        return others[: self._options.source_count]

    def should_follow_store(
        self, now: float, capacities: Mapping[str, float], *, current_links: int
    ) -> bool:
        """Tell whether this node follows the store itself now.

        Args:
            now: Time in seconds.
            live: Capacities of the nodes that are alive, by id, this one
                included.
            current_links: Links whose peer follows the store closely.
        """
        if current_links:
            self._last_current_at = now
        else:
            self._last_stale_at = now
        if now < self._startup_ends_at:
            return now >= self._may_follow_from
        ranked = rank_nodes(capacities)
        if self._node_id not in ranked:
            # A node that leaves is no longer alive to the others.
            return False
        rank = ranked.index(self._node_id)
        if rank < self._options.source_count:
            return True
        if not current_links:
            stagger_s = min(
                (rank - self._options.source_count)
                * self._options.rank_stagger_s,
                self._options.max_stagger_s,
            )
            takeover_after_s = self._options.takeover_after_s + stagger_s
            return now - self._last_current_at >= takeover_after_s
        return False

    def may_stop_following(self, now: float) -> bool:
        """Tell whether links have been current long enough to rely on."""
        return now - self._last_stale_at >= self._options.release_after_s
