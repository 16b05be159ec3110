"""Spread updates about nodes over the links between nodes.

A probe carries a few updates and each node sends one probe per period, so in a
fleet of hundreds of nodes an update that spreads by probes alone waits behind
all others, for half a minute after a start. A node therefore tells each update
that it finds out to the node that it takes changes from. That node passes it on
to all that take changes from it. Probes still carry an update until it comes
back over a link, which shows that the links have it.
"""

from ibismount.membership import Membership
from ibismount.probe_messages import Envelope, MembersChanged, MemberStatus

__all__ = ('MemberDissemination',)

# Time after which the upstream node is told again what did not come back, in
# seconds: twice the time that it takes through a source and back.
RESEND_AFTER_S = 0.4


class MemberDissemination:
    """Pass updates about nodes up and down the links of one node.

    Args:
        membership: This node's view of the other nodes.

    Example::

        dissemination = MemberDissemination(membership)
        dissemination.receive(now, change)  # from the upstream node
        change, probes = dissemination.take_outgoing(now, '10.1.0.7')
    """

    def __init__(self, membership: Membership) -> None:
        """Start with nothing to pass on."""
        self._membership = membership
        # Updates from links, by node id, that subscribers have not got yet.
        self._from_links: dict[str, MemberStatus] = {}
        self._resend_at: float = 0

    def make_snapshot(self) -> MembersChanged:
        """Return the status of every known node, for a new subscriber."""
        return MembersChanged(self._membership.statuses())

    def receive(self, now: float, change: MembersChanged) -> None:
        """Merge what an upstream node sent, and keep what is new to pass on."""
        for update in self._membership.merge_from_link(now, change.updates):
            self._from_links[update.member.id] = update

    def take_outgoing(
        self, now: float, upstream_id: str | None
    ) -> tuple[MembersChanged | None, list[Envelope]]:
        """Return what to send to subscribers and to the upstream node.

        Args:
            now: Time in seconds.
            upstream_id: Node that this one takes changes from, if it has any.

        Returns:
            The updates for all subscribers, or None if there are none, and
            the probes that tell the upstream node what it may not know.
        """
        found = self._membership.take_new_updates()
        updates = self._from_links
        updates.update((update.member.id, update) for update in found)
        self._from_links = {}
        if now >= self._resend_at:
            self._resend_at = now + RESEND_AFTER_S
            found = self._membership.unconfirmed_updates()
        envelopes = (
            self._membership.make_pings(upstream_id, found)
            if upstream_id and found
            else []
        )
        change = MembersChanged(tuple(updates.values())) if updates else None
        return change, envelopes
