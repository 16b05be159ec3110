"""Choose the nodes whose addresses are given to callers."""

import dataclasses
from collections.abc import Collection, Iterable, Mapping

from ibismount.member import Member
from ibismount.source_election import rank_nodes

__all__ = (
    'AdvertisingOptions',
    'find_server_zones',
    'select_advertised_nodes',
)


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
    # A zone has servers when it holds this share of what it would hold if all
    # zones held the same. The zones that hold no shards have a seventh.
    min_relative_servers: float = 0.5


_DEFAULTS = AdvertisingOptions()


def find_server_zones(
    server_counts: Mapping[str, int], options: AdvertisingOptions = _DEFAULTS
) -> set[str]:
    """Return the availability zones that hold their share of the servers.

    Args:
        server_counts: Number of usable servers by zone; zones without any may
            be missing.
        options: Bounds.

    Example::

        find_server_zones({'a': 43, 'b': 44, 'c': 3})  # {'a', 'b'}
    """
    total = sum(server_counts.values())
    least = options.min_relative_servers * total / max(1, len(server_counts))
    return {zone for zone, count in server_counts.items() if count >= least}


def select_advertised_nodes(
    members: Iterable[Member],
    server_zones: Collection[str] = (),
    options: AdvertisingOptions = _DEFAULTS,
) -> list[Member]:
    """Return the strong nodes among those that can serve, the best first.

    A search has one answer for its caller and dozens of parts, so a node in a
    zone with servers sends far less to other zones, wherever its callers are.
    Other nodes, and weaker ones, are added until the advertised nodes have a
    share of the fleet's capacity.

    Args:
        members: The live nodes; those without an address for callers are
            ignored.
        server_zones: Availability zones that hold servers; empty if unknown.
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

    def is_preferred(node_id: str) -> bool:
        member = serving[node_id]
        near = not server_zones or member.availability_zone in server_zones
        return near and member.capacity >= min_capacity

    # Stable: among the others, the strong ones still come first.
    ranked.sort(key=is_preferred, reverse=True)
    min_total = options.min_capacity_share * sum(
        member.capacity for member in serving.values()
    )
    selected: list[Member] = []
    total: float = 0
    for node_id in ranked:
        member = serving[node_id]
        enough = len(selected) >= options.min_nodes and total >= min_total
        dispensable = (
            not is_preferred(node_id) or len(selected) >= options.max_nodes
        )
        if enough and dispensable:
            break
        selected.append(member)
        total += member.capacity
    return selected
