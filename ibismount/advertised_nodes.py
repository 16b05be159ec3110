"""Choose the nodes that callers are told to connect to."""

import dataclasses
from collections.abc import Iterable

from ibismount.member import Member
from ibismount.store_duty import rank_nodes

__all__ = ('AdvertisingOptions', 'select_advertised_nodes')


@dataclasses.dataclass(frozen=True, slots=True)
class AdvertisingOptions:
    """Bounds of the choice."""

    # Nodes with less than this share of the strongest one's capacity are
    # left out: a few strong nodes need far fewer connections to servers.
    min_relative_capacity: float = 0.5
    # Fewest nodes to name, so that a few losses are no outage.
    min_nodes: int = 4
    # Least share of the capacity of all nodes that can serve. The six strong
    # nodes of today's largest fleet hold 0.24 of it; when they are lost, the
    # weak ones have to carry the same load.
    min_capacity_share: float = 0.16
    # Beyond that share no more nodes than this are named: each named node
    # needs two connections to every server, and a server of today's largest
    # fleet takes 109.
    max_nodes: int = 40


_DEFAULTS = AdvertisingOptions()


def select_advertised_nodes(
    members: Iterable[Member], options: AdvertisingOptions = _DEFAULTS
) -> list[Member]:
    """Return the strong nodes among those that can serve, strongest first.

    Weaker ones are added until a share of the fleet's capacity is named.

    Args:
        members: The nodes that live; only those with an address for callers
            count.
        options: Bounds.

    Example::

        select_advertised_nodes([])  # []
    """
    able = {one.id: one for one in members if one.api_address}
    ranked = rank_nodes({one.id: one.capacity for one in able.values()})
    if not ranked:
        return []
    bound = able[ranked[0]].capacity * options.min_relative_capacity
    wanted = options.min_capacity_share * sum(
        one.capacity for one in able.values()
    )
    named: list[Member] = []
    held: float = 0
    for node_id in ranked:
        one = able[node_id]
        enough = len(named) >= options.min_nodes and held >= wanted
        needless = one.capacity < bound or len(named) >= options.max_nodes
        if enough and needless:
            break
        named.append(one)
        held += one.capacity
    return named
