"""The tree over a region's roster on which rounds and changes travel."""

import itertools
from collections.abc import Iterable, Iterator, Sequence
from collections.abc import Set as AbstractSet
from typing import NamedTuple

from ibismount.roster import Roster

__all__ = ('LEAF_LEVEL', 'Tree', 'coordinators', 'cut')

# A receiver at this level forwards to nobody.
LEAF_LEVEL = 99


def cut(nodes: Sequence[str], parts: int) -> list[Sequence[str]]:
    """Cut nodes into at most ``parts`` consecutive runs of even length."""
    parts = max(1, min(parts, len(nodes)))
    edges = [len(nodes) * part // parts for part in range(parts + 1)]
    return [nodes[low:high] for low, high in zip(edges, edges[1:])]


def coordinators(
    roster: Roster, live: AbstractSet[str], region: str
) -> dict[str, str]:
    """Return the first live member of each availability zone of a region."""
    found: dict[str, str] = {}
    for member in roster.region_members(region):
        if member.id in live:
            found.setdefault(member.availability_zone, member.id)
    return found


class Tree:
    """Cut a region's members into runs by availability zone.

    The runs depend on the roster alone, so nodes that differ in what they
    believe to be alive still agree on who belongs to which run. Each run is
    served by one of its live members, its head.

    Args:
        roster: Current roster.
        region: The region whose members form the tree.
        fan_out: Greatest number of children, apart from zones too small to
            share one.
    """

    def __init__(self, roster: Roster, region: str, fan_out: int) -> None:
        """Group the members by availability zone."""
        self.roster = roster
        self.fan_out = fan_out
        self.zones: dict[str, list[str]] = {}
        self.size = 0
        for member in roster.region_members(region):
            self.size += 1
            self.zones.setdefault(member.availability_zone, []).append(
                member.id
            )
        self._turns: dict[str, int] = {}
        self._paths: dict[tuple[str, int], list[Sequence[str]]] = {}
        self._top: list[Sequence[str]] = []
        for zone in sorted(self.zones):
            nodes = self.zones[zone]
            parts = max(1, fan_out * len(nodes) // self.size)
            self._top.extend(cut(nodes, parts))

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
            level: 0 for the root, else the level it was reached at.
            live: Node ids believed alive.
            sender: The node it was reached from; never a child.
            root: The node at which the tree begins; never a child.
        """
        if level >= LEAF_LEVEL:
            return []
        choice = _Choice(live, self._firsts(live), self._turn(root or node_id))
        if level == 0:
            return choice.heads(self._top, {node_id})
        path = self._path(node_id, level)
        if not path or len(path[-1]) <= 1:
            return []
        # Runs contain the heads that the tree went through on the way.
        above = {root}
        for run in path[:-1]:
            above.update(choice.heads([run], above))
        above.update((node_id, sender))
        return choice.heads(cut(path[-1], self.fan_out), above)

    def zone_children(
        self, node_id: str, zone: str, live: AbstractSet[str]
    ) -> list[str]:
        """Return a node's children in the tree of its availability zone."""
        run: Sequence[str] = self.zones.get(zone, ())
        above: set[str] = set()
        choice = _Choice(live, frozenset(), 0)
        while node_id in run:
            head = choice.heads([run], above) or [node_id]
            above.update(head)
            parts = cut(run, self.fan_out)
            if node_id in above:
                return choice.heads(parts, above)
            run = next(one for one in parts if node_id in one)
        return []

    def _path(self, node_id: str, level: int) -> list[Sequence[str]]:
        """Return the runs from the top down that contain a node."""
        path = self._paths.get((node_id, level))
        if path is None:
            path = list(self._descend(node_id, level))
            self._paths[node_id, level] = path
        return path

    def _descend(self, node_id: str, level: int) -> Iterator[Sequence[str]]:
        runs = self._top
        for _ in range(level):
            run = next((one for one in runs if node_id in one), ())
            yield run
            if len(run) <= 1:
                return
            runs = cut(run, self.fan_out)

    def _firsts(self, live: AbstractSet[str]) -> frozenset[str]:
        """Return the first live node of each zone, the coordinators."""
        firsts = (
            next((one for one in nodes if one in live), '')
            for nodes in self.zones.values()
        )
        return frozenset(firsts)

    def _turn(self, root: str) -> int:
        turn = self._turns.get(root)
        if turn is None:
            holds = [root in self.zones[zone] for zone in sorted(self.zones)]
            turn = self._turns[root] = holds.index(True) if any(holds) else 0
        return turn


class _Choice(NamedTuple):
    """Choose the heads of runs for the tree of one root.

    The roots of a region choose different heads, and no other root, so that
    one lost node cuts a run off from one root at most until it is found dead.
    """

    live: AbstractSet[str]
    roots: AbstractSet[str]
    turn: int

    def heads(
        self, runs: Iterable[Sequence[str]], skipped: AbstractSet[str]
    ) -> list[str]:
        """Return the head of each run that has a live node left."""
        heads = (self._head(run, skipped) for run in runs)
        return [head for head in heads if head is not None]

    def _head(
        self, run: Sequence[str], skipped: AbstractSet[str]
    ) -> str | None:
        spare = None
        for node_id in self._ordered(run):
            if node_id in self.live and node_id not in skipped:
                if node_id not in self.roots:
                    return node_id
                spare = spare or node_id
        return spare

    def _ordered(self, run: Sequence[str]) -> Iterator[str]:
        """Search from the front, the end or a place between.

        Trees skip different heads, and starts next to each other would then
        often meet; this matters most in regions of two zones.
        """
        if self.turn == 0:
            return iter(run)
        if self.turn == 1:
            return reversed(run)
        start = len(run) // self.turn
        return itertools.chain(run[start:], run[:start])
