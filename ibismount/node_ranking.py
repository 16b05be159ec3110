"""The live nodes by rank, as every node sees them alike."""

from ibismount.membership import Membership
from ibismount.source_election import rank_nodes

__all__ = ('NodeRanking',)


class NodeRanking:
    """Rank the live nodes, again only when one of them has changed.

    The ranking is read in every tick of every node. In a fleet of 300 nodes,
    ranking them each time took most of an idle node's processor time.

    Args:
        membership: This node's view of the other nodes.
        zone: This node's availability zone.

    Example::

        ranking = NodeRanking(membership, 'telford')
        ranking.update()
        ranking.ids[:2]  # the nodes that watch the store
    """

    def __init__(self, membership: Membership, zone: str) -> None:
        """Start without nodes."""
        self._membership = membership
        self._zone = zone
        self._change_count = -1
        # Ids of the live nodes, and of those in this node's zone, by rank.
        self.ids: list[str] = []
        self.zone_ids: list[str] = []
        # Greatest number of nodes that were alive at once.
        self.peak_count = 1

    def update(self) -> bool:
        """Rank the nodes if any has changed; return whether that was so."""
        if self._change_count == self._membership.change_count:
            return False
        self._change_count = self._membership.change_count
        members = self._membership.live_members()
        self.ids = rank_nodes(
            {node_id: member.capacity for node_id, member in members.items()}
        )
        self.zone_ids = [
            node_id
            for node_id in self.ids
            if members[node_id].availability_zone == self._zone
        ]
        self.peak_count = max(self.peak_count, len(self.ids))
        return True
