"""Queue of membership updates to piggyback on probes."""

import math

from ibismount.probe_messages import MemberStatus

__all__ = ('UpdateQueue', 'supersedes')

_STATUS_RANKS = {'alive': 0, 'suspect': 1, 'dead': 2, 'left': 3}


def supersedes(new: MemberStatus, old: MemberStatus) -> bool:
    """Return whether an update replaces another one about the same node.

    The sequence is compared first, then the status. The incarnation is random
    and only breaks ties, so that all nodes agree until the node concerned
    raises its sequence.
    """
    return _precedence(new) > _precedence(old)


def _precedence(update: MemberStatus) -> tuple[int, int, int]:
    return (
        update.sequence,
        _STATUS_RANKS.get(update.status, 0),
        update.member.incarnation,
    )


class UpdateQueue:
    """Return each update a bounded number of times, least sent first.

    Args:
        retransmit_factor: Sends per update, times log2 of the number of nodes.
    """

    def __init__(self, retransmit_factor: int) -> None:
        """Start with an empty queue."""
        self._retransmit_factor = retransmit_factor
        self._send_counts: dict[str, int] = {}
        self._updates: dict[str, MemberStatus] = {}
        # Updates that `take_new` has not returned yet, by node id.
        self._new: dict[str, MemberStatus] = {}

    def put(self, update: MemberStatus) -> None:
        """Queue an update, replacing an earlier one about the same node."""
        self._updates[update.member.id] = update
        self._send_counts[update.member.id] = 0
        self._new[update.member.id] = update

    def take_new(self) -> tuple[MemberStatus, ...]:
        """Return the updates that were queued since the last call.

        Those that were discarded meanwhile are among them.
        """
        new, self._new = self._new, {}
        return tuple(new.values())

    def unconfirmed(self) -> tuple[MemberStatus, ...]:
        """Return all queued updates."""
        return tuple(self._updates.values())

    def discard(self, node_id: str) -> None:
        """Remove the update about a node: all nodes get it another way."""
        self._updates.pop(node_id, None)
        self._send_counts.pop(node_id, None)

    def take_next(self, count: int, node_count: int) -> list[MemberStatus]:
        """Return at most ``count`` updates for the next message.

        Args:
            count: Most updates to return.
            node_count: Number of live nodes; sets how often each update is
                sent in all.
        """
        limit = math.ceil(
            self._retransmit_factor * math.log2(max(node_count, 2))
        )
        chosen = sorted(self._updates, key=self._send_counts.__getitem__)[
            :count
        ]
        updates = [self._updates[node_id] for node_id in chosen]
        for node_id in chosen:
            self._send_counts[node_id] += 1
            if self._send_counts[node_id] >= limit:
                del self._updates[node_id], self._send_counts[node_id]
        return updates
