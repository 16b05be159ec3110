"""Elect the nodes that watch the store directly.

Every call to the store costs money, so only a few nodes, the sources, watch
it and forward the changes to the others. Every node computes the same ranking
and links to its first nodes. A node whose links are all stale watches the
store itself until a link is current again.
"""

import dataclasses
import functools
import hashlib
import itertools
from collections.abc import Mapping, Sequence

__all__ = ('SourceElection', 'SourceElectionOptions', 'rank_nodes')


@dataclasses.dataclass(frozen=True, slots=True)
class SourceElectionOptions:
    """Limits, and times in seconds."""

    # With two sources, one can fail without a gap.
    source_count: int = 2
    # Wait after the start of a process, until its peers have answered: before
    # that, every node ranks itself first.
    startup_delay_s: float = 0.7
    # Wait of a restarted node with one core until it watches the store, if it
    # has no link by then: all nodes may have lost power. A node with more
    # capacity waits less, since callers are sent to such nodes.
    restart_delay_s: float = 0.1
    # A new process with current links takes no watches over before this time:
    # it does not know yet which nodes rank before it.
    settle_s: float = 3.0
    # Time without a current link before the next node takes over. A change
    # must be in force within 3 s, even if both sources are cut off just before
    # it: their heartbeats report this after about 1.8 s.
    takeover_after_s: float = 0.6
    # Extra wait per rank. While the store is down for all nodes, calls by
    # every node would only cost money.
    rank_stagger_s: float = 0.25
    max_stagger_s: float = 30.0
    # Most nodes beyond the sources to link to while no source is up to date:
    # the store may turn the sources away and serve others.
    max_further_upstreams: int = 6
    # A node stops watching the store after this time with current links.
    release_after_s: float = 4.0


_DEFAULT_OPTIONS = SourceElectionOptions()


def rank_nodes(capacities: Mapping[str, float]) -> list[str]:
    """Return node ids by descending capacity, in the same order on all nodes.

    Args:
        capacities: Capacity of each node by node id.
    """
    return sorted(
        capacities,
        key=lambda node_id: (-capacities[node_id], _tie_break_hash(node_id)),
    )


# Hashing hundreds of ids at each change of a node costs more than the ranking.
@functools.lru_cache(maxsize=8192)
def _tie_break_hash(node_id: str) -> bytes:
    return hashlib.blake2b(node_id.encode(), digest_size=8).digest()


class SourceElection:
    """Decide whether one node watches the store, from its rank and its links.

    Args:
        node_id: Id of this node.
        started_at: Start of the process, in seconds.
        options: Limits and times.
        is_seed: Whether the settings of other nodes name this node as a seed.
        restart_capacity: Capacity of this node in cores if the fleet has run
            before; 0 when the whole fleet starts for the first time.
    """

    def __init__(
        self,
        node_id: str,
        started_at: float,
        options: SourceElectionOptions = _DEFAULT_OPTIONS,
        *,
        is_seed: bool = False,
        restart_capacity: float = 0,
    ) -> None:
        """Start as a node that does not watch the store."""
        self._node_id = node_id
        self._options = options
        self._is_seed = is_seed
        self._startup_ends_at = started_at + options.startup_delay_s
        self._settled_at = started_at + options.settle_s
        self._watch_alone_from = (
            started_at + options.restart_delay_s / restart_capacity
            if restart_capacity
            else self._startup_ends_at
        )
        self._last_current_at = started_at
        self._last_stale_at = started_at

    def select_upstreams(self, ranked_ids: Sequence[str]) -> list[str]:
        """Return the ids of the nodes to link to.

        Args:
            ranked_ids: Ids of the live nodes, see `rank_nodes`.
        """
        return self._select_others(ranked_ids, 0, self._options.source_count)

    def select_further_upstreams(
        self, ranked_ids: Sequence[str], *, stale_s: float
    ) -> list[str]:
        """Return the ids of nodes that may know more than the sources.

        They take over in the order of their ranks, so one more of them is
        tried each time that one more may have done so.

        Args:
            ranked_ids: Ids of the live nodes, see `rank_nodes`.
            stale_s: Time for which no source has been up to date.
        """
        options = self._options
        if stale_s < options.takeover_after_s:
            return []
        tried = (stale_s - options.takeover_after_s) / options.rank_stagger_s
        count = min(options.max_further_upstreams, 1 + int(tried))
        return self._select_others(ranked_ids, options.source_count, count)

    def _select_others(
        self, ranked_ids: Sequence[str], first: int, count: int
    ) -> list[str]:
        others = (node_id for node_id in ranked_ids if node_id != self._node_id)
        return list(itertools.islice(others, first, first + count))

    def select_relay(self, ranked_zone_ids: Sequence[str]) -> str | None:
        """Return the node of this zone that passes changes on to this one.

        Only one node of each zone receives changes from another zone, since
        traffic between zones is billed.

        Args:
            ranked_zone_ids: Ids of the live nodes of this node's zone.

        Returns:
            The id of the node, or None if this node is the relay itself.
        """
        relay_id = next(iter(ranked_zone_ids), None)
        return None if relay_id == self._node_id else relay_id

    def should_watch_store(
        self,
        now: float,
        ranked_ids: Sequence[str],
        *,
        current_links: int,
        alone: bool = False,
    ) -> bool:
        """Return whether this node has to watch the store now.

        Args:
            now: Time in seconds.
            ranked_ids: Ids of the live nodes, this one included, see
                `rank_nodes`.
            current_links: Number of links whose peer is up to date with the
                store.
            alone: This node can't serve yet and has no link.
        """
        if current_links:
            self._last_current_at = now
        else:
            self._last_stale_at = now
        if now < self._startup_ends_at:
            # All nodes link to the seeds first, so seeds must not wait.
            return self._is_seed or (alone and now >= self._watch_alone_from)
        if current_links and now < self._settled_at and not self._is_seed:
            return False
        if self._node_id not in ranked_ids:
            # A leaving node is no longer among the live nodes.
            return False
        rank = ranked_ids.index(self._node_id)
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

    def may_stop_watching(self, now: float) -> bool:
        """Return whether links have been current long enough to rely on."""
        return now - self._last_stale_at >= self._options.release_after_s
