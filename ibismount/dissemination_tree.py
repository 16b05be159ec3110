"""The tree over a region's members for sending rounds and changes."""

import itertools
from collections.abc import Iterable, Iterator, Sequence
from collections.abc import Set as AbstractSet
from typing import NamedTuple

from ibismount.roster import Roster

__all__ = (
    'LEAF_LEVEL',
    'DisseminationTree',
    'split_evenly',
    'zone_coordinators',
)

# A node that is reached at this level does not forward.
LEAF_LEVEL = 99


def split_evenly(
    nodes: Sequence[str], max_segments: int
) -> list[Sequence[str]]:
    """Split nodes into at most ``max_segments`` segments of even length."""
    max_segments = max(1, min(max_segments, len(nodes)))
    boundaries = [
        len(nodes) * part // max_segments for part in range(max_segments + 1)
    ]
    return [nodes[start:end] for start, end in zip(boundaries, boundaries[1:])]


def zone_coordinators(
    roster: Roster, live: AbstractSet[str], region: str
) -> dict[str, str]:
    """Return the first live member of each availability zone of a region."""
    coordinators: dict[str, str] = {}
    for member in roster.region_members(region):
        if member.id in live:
            coordinators.setdefault(member.availability_zone, member.id)
    return coordinators


class DisseminationTree:
    """Split a region's members recursively into segments of one zone.

    The segments depend only on the roster, so nodes with different views of
    the live members agree on the segments. One live member of each segment,
    its head, receives messages and forwards them within the segment.

    Args:
        roster: Current roster.
        region: The region whose members form the tree.
        fan_out: Maximum number of children. The root may have more, because
            every zone, however small, has at least one segment of its own.
    """

    def __init__(self, roster: Roster, region: str, fan_out: int) -> None:
        """Group the members by availability zone."""
        self.roster = roster
        self.fan_out = fan_out
        self.zones: dict[str, list[str]] = {}
        self.member_count = 0
        for member in roster.region_members(region):
            self.member_count += 1
            self.zones.setdefault(member.availability_zone, []).append(
                member.id
            )
        self._zone_indexes: dict[str, int] = {}
        self._segment_paths: dict[tuple[str, int], list[Sequence[str]]] = {}
        self._top_segments: list[Sequence[str]] = []
        for zone in sorted(self.zones):
            nodes = self.zones[zone]
            segment_count = max(1, fan_out * len(nodes) // self.member_count)
            self._top_segments.extend(split_evenly(nodes, segment_count))

    def children(
        self,
        node_id: str,
        level: int,
        live: AbstractSet[str],
        sender: str = '',
        root: str = '',
    ) -> list[str]:
        """Return the nodes that a node forwards to.

        Args:
            node_id: The forwarding node.
            level: 0 for the root, else the level of the node in the tree.
            live: Ids of the nodes that are considered alive.
            sender: The node that sent the message; never a child.
            root: The root of the tree; never a child.
        """
        if level >= LEAF_LEVEL:
            return []
        selector = _HeadSelector(
            live, self._coordinators(live), self._zone_index(root or node_id)
        )
        if level == 0:
            return selector.select_heads(self._top_segments, {node_id})
        path = self._segment_path(node_id, level)
        if not path or len(path[-1]) <= 1:
            return []
        # The segments still contain the heads at higher levels.
        ancestors = {root}
        for segment in path[:-1]:
            ancestors.update(selector.select_heads([segment], ancestors))
        ancestors.update((node_id, sender))
        return selector.select_heads(
            split_evenly(path[-1], self.fan_out), ancestors
        )

    def zone_children(
        self, node_id: str, zone: str, live: AbstractSet[str]
    ) -> list[str]:
        """Return a node's children in the tree of its availability zone."""
        segment: Sequence[str] = self.zones.get(zone, ())
        ancestors: set[str] = set()
        selector = _HeadSelector(live, frozenset(), 0)
        while node_id in segment:
            head = selector.select_heads([segment], ancestors) or [node_id]
            ancestors.update(head)
            child_segments = split_evenly(segment, self.fan_out)
            if node_id in ancestors:
                return selector.select_heads(child_segments, ancestors)
            segment = next(
                child_segment
                for child_segment in child_segments
                if node_id in child_segment
            )
        return []

    def _segment_path(self, node_id: str, level: int) -> list[Sequence[str]]:
        """Return the segments that contain a node, from the top down."""
        path = self._segment_paths.get((node_id, level))
        if path is None:
            path = list(self._descend(node_id, level))
            self._segment_paths[node_id, level] = path
        return path

    def _descend(self, node_id: str, level: int) -> Iterator[Sequence[str]]:
        segments = self._top_segments
        for _ in range(level):
            segment = next(
                (candidate for candidate in segments if node_id in candidate),
                (),
            )
            yield segment
            if len(segment) <= 1:
                return
            segments = split_evenly(segment, self.fan_out)

    def _coordinators(self, live: AbstractSet[str]) -> frozenset[str]:
        """Return the first live node of each zone, the coordinators."""
        first_nodes = (
            next((node_id for node_id in nodes if node_id in live), '')
            for nodes in self.zones.values()
        )
        return frozenset(first_nodes)

    def _zone_index(self, root: str) -> int:
        zone_index = self._zone_indexes.get(root)
        if zone_index is None:
            contains_root = [
                root in self.zones[zone] for zone in sorted(self.zones)
            ]
            zone_index = self._zone_indexes[root] = (
                contains_root.index(True) if any(contains_root) else 0
            )
        return zone_index


class _HeadSelector(NamedTuple):
    """Select the heads of segments in the tree of one root.

    The trees of a region use different heads, and avoid other roots as heads.
    Until a lost node is detected, it therefore separates a segment from at
    most one root.
    """

    live: AbstractSet[str]
    roots: AbstractSet[str]
    zone_index: int

    def select_heads(
        self, segments: Iterable[Sequence[str]], excluded: AbstractSet[str]
    ) -> list[str]:
        """Return the heads of all segments with an eligible live node."""
        heads = (self._select_head(segment, excluded) for segment in segments)
        return [head for head in heads if head is not None]

    def _select_head(
        self, segment: Sequence[str], excluded: AbstractSet[str]
    ) -> str | None:
        fallback = None
        for node_id in self._search_order(segment):
            if node_id in self.live and node_id not in excluded:
                if node_id not in self.roots:
                    return node_id
                fallback = fallback or node_id
        return fallback

    def _search_order(self, segment: Sequence[str]) -> Iterator[str]:
        """Return the nodes from the start, the end or a place in between.

        Each tree skips different nodes, so searches that start at adjacent
        nodes would often select the same head. This matters most in regions
        with two zones.
        """
        if self.zone_index == 0:
            return iter(segment)
        if self.zone_index == 1:
            return reversed(segment)
        start = len(segment) // self.zone_index
        return itertools.chain(segment[start:], segment[:start])
