"""Liveness updates that wait to be piggybacked on probes."""

import math

from ibismount.probe_messages import MemberStatus

__all__ = ('UpdateQueue', 'supersedes')

_STATUS_RANKS = {'alive': 0, 'suspect': 1, 'dead': 2, 'left': 3}


def supersedes(new: MemberStatus, old: MemberStatus) -> bool:
    """Tell whether an update replaces another one about the same node.

    The sequence decides, then the status. The incarnation decides last: it is
    random, and only makes nodes that meet a tie agree until the node that is
    meant raises its sequence.
    """
    return _precedence(new) > _precedence(old)


def _precedence(update: MemberStatus) -> tuple[int, int, int]:
    return (
        update.sequence,
        _STATUS_RANKS.get(update.status, 0),
        update.member.incarnation,
    )


class UpdateQueue:
    """Hand out each update a bounded number of times, fewest sent first.

    Args:
        retransmit: Factor on the logarithm of the number of nodes.
    """

    def __init__(self, retransmit_factor: int) -> None:
        """Start with nothing to send."""
        self._retransmit_factor = retransmit_factor
        self._send_counts: dict[str, int] = {}
        self._updates: dict[str, MemberStatus] = {}

    def put(self, update: MemberStatus) -> None:
        """Queue an update in place of an earlier one about the same node."""
        self._updates[update.member.id] = update
        self._send_counts[update.member.id] = 0

    def take_next(self, count: int, node_count: int) -> list[MemberStatus]:
        """Return at most ``count`` updates to send among ``size`` nodes."""
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
