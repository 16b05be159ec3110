"""Choose the nodes that callers are told to connect to."""

import dataclasses
from collections.abc import Iterable

from ibismount.member import Member
from ibismount.source_election import rank_nodes

__all__ = ('HandoutOptions', 'nodes_to_name')


@dataclasses.dataclass(frozen=True, slots=True)
class HandoutOptions:
    """Bounds of the choice."""

    # Nodes with less than this share of the strongest one's capacity are
    # left out: a few strong nodes need far fewer connections to servers.
    strong_share: float = 0.5
    # Fewest nodes to name, so that a few losses are no outage.
    least: int = 4
    # Least share of the capacity of all nodes that can serve. The six strong
    # nodes of today's largest fleet hold 0.24 of it; when they are lost, the
    # weak ones have to carry the same load.
    capacity_share: float = 0.16
    # Beyond that share no more nodes than this are named: each named node
    # needs two connections to every server, and a server of today's largest
    # fleet takes 109.
    most: int = 40


_DEFAULTS = HandoutOptions()


def nodes_to_name(
    members: Iterable[Member], options: HandoutOptions = _DEFAULTS
) -> list[Member]:
    """Return the strong nodes among those that can serve, strongest first.

    Weaker ones are added until a share of the fleet's capacity is named.

    Args:
        members: The nodes that live; only those with an address for callers
            count.
        options: Bounds.

    Example::

        nodes_to_name([])  # []
    """
    able = {one.id: one for one in members if one.api_address}
    ranked = rank_nodes({one.id: one.capacity for one in able.values()})
    if not ranked:
        return []
    bound = able[ranked[0]].capacity * options.strong_share
    wanted = options.capacity_share * sum(one.capacity for one in able.values())
    named: list[Member] = []
    held: float = 0
    for node_id in ranked:
        one = able[node_id]
        enough = len(named) >= options.least and held >= wanted
        needless = one.capacity < bound or len(named) >= options.most
        if enough and needless:
            break
        named.append(one)
        held += one.capacity
    return named
