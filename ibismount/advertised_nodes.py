"""Choose the nodes whose addresses are given to callers."""

import dataclasses
from collections.abc import Iterable

from ibismount.member import Member
from ibismount.source_election import rank_nodes

__all__ = ('AdvertisingOptions', 'select_advertised_nodes')


@dataclasses.dataclass(frozen=True, slots=True)
class AdvertisingOptions:
    """Bounds of the choice."""

    # Nodes with less than this fraction of the strongest node's capacity are
    # left out: a few strong nodes need far fewer connections to servers.
    min_relative_capacity: float = 0.5
    # Fewest nodes, so that the loss of a few is no outage.
    min_nodes: int = 4
    # Least share of the capacity of all nodes that can serve. The six strong
    # nodes of today's largest fleet have 0.24 of it; when they are lost, the
    # weak ones have to carry the same load.
    min_capacity_share: float = 0.16
    # With that share reached, no more nodes than this are advertised: each
    # needs two connections to every server, and a server of today's largest
    # fleet accepts 109.
    max_nodes: int = 40


_DEFAULTS = AdvertisingOptions()


def select_advertised_nodes(
    members: Iterable[Member], options: AdvertisingOptions = _DEFAULTS
) -> list[Member]:
    """Return the strong nodes among those that can serve, strongest first.

    Weaker ones are added until they have a share of the fleet's capacity.

    Args:
        members: The live nodes; those without an address for callers are
            ignored.
        options: Bounds.

    Example::

        select_advertised_nodes([])  # []
    """
    serving = {member.id: member for member in members if member.api_address}
    ranked = rank_nodes(
        {member.id: member.capacity for member in serving.values()}
    )
    if not ranked:
        return []
    min_capacity = serving[ranked[0]].capacity * options.min_relative_capacity
    min_total = options.min_capacity_share * sum(
        member.capacity for member in serving.values()
    )
    selected: list[Member] = []
    total: float = 0
    for node_id in ranked:
        member = serving[node_id]
        enough = len(selected) >= options.min_nodes and total >= min_total
        dispensable = (
            member.capacity < min_capacity or len(selected) >= options.max_nodes
        )
        if enough and dispensable:
            break
        selected.append(member)
        total += member.capacity
    return selected
