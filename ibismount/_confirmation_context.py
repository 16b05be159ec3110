"""State shared by all parts of one node's confirmation."""

from ibismount._quarantine_relay import QuarantineRelay
from ibismount._round_tally import ConfirmOptions, RoundTally
from ibismount.accepted_versions import AcceptedVersions
from ibismount.config import ConfigState
from ibismount.confirmation_status import ConfirmationStatus
from ibismount.dissemination_tree import DisseminationTree
from ibismount.roster import Member, Roster

__all__ = ('ConfirmationContext',)


class ConfirmationContext:
    """The state, confirmation status and accepted versions of one node.

    Args:
        member: This node and its incarnation.
        state: The node's live copy of the configuration.
        options: Periods and timeouts.
        quarantine_relay: Exchanges quarantine reports and entries in the rounds.
    """

    def __init__(
        self,
        member: Member,
        state: ConfigState,
        options: ConfirmOptions,
        quarantine_relay: QuarantineRelay,
    ) -> None:
        """Start with an empty tree."""
        self.member = member
        self.state = state
        self.options = options
        self.quarantine_relay = quarantine_relay
        self.status = ConfirmationStatus(member, state, options)
        self.accepted = AcceptedVersions(member.region, state)
        self.live: frozenset[str] = frozenset()
        self._first_call_at: float | None = None
        self._tree = DisseminationTree(Roster(), member.region, options.fan_out)

    @property
    def tree(self) -> DisseminationTree:
        """Return the tree over the region's members in the current roster."""
        if self._tree.roster is not self.state.roster:
            self._tree = DisseminationTree(
                self.state.roster, self.member.region, self.options.fan_out
            )
        return self._tree

    def record_call(self, now: float) -> None:
        """Record when this incarnation was first called."""
        if self._first_call_at is None:
            self._first_call_at = now

    def add_own_version(self, now: float, tally: RoundTally) -> None:
        """Add this node's version to a round in which it counts.

        The node counts when the accepted roster lists it in this region. Its
        version goes to ``versions`` for the incarnation in the roster, else,
        after the settling time, to ``replaced``.
        """
        version = self.state.version
        tally.highest = max(tally.highest, version)
        # Below the accepted version the node does not have the roster in
        # force, so it cannot check whether the roster lists it.
        if version < tally.accepted or self.status.fenced:
            return
        roster = self.state.roster_at(tally.accepted)
        roster_entry = roster.members.get(self.member.id) if roster else None
        if roster_entry is None or roster_entry.region != self.member.region:
            return
        if roster_entry.incarnation == self.member.incarnation:
            tally.versions[version] += 1
        elif now - (self._first_call_at or 0) >= self.options.settle_s:
            tally.replaced[version] += 1
