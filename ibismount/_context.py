"""What all parts of one node's confirmation share."""

from ibismount._hooks import HookCarrier
from ibismount._round_tally import ConfirmOptions, RoundTally
from ibismount.accepted_versions import AcceptedVersions
from ibismount.config import ConfigState
from ibismount.confirmation_status import ConfirmationStatus
from ibismount.dissemination_tree import DisseminationTree
from ibismount.roster import Member, Roster

__all__ = ('Context',)


class Context:
    """Hold one node's state, standing and accepted versions.

    Args:
        member: This node and its incarnation.
        state: The node's live copy of the configuration.
        options: Periods and timeouts.
        hook: Carries what the quarantine has to say.
    """

    def __init__(
        self,
        member: Member,
        state: ConfigState,
        options: ConfirmOptions,
        hook: HookCarrier,
    ) -> None:
        """Start with an empty tree."""
        self.member = member
        self.state = state
        self.options = options
        self.hook = hook
        self.standing = ConfirmationStatus(member, state, options)
        self.accepted = AcceptedVersions(member.region, state)
        self.live: frozenset[str] = frozenset()
        self._born: float | None = None
        self._tree = DisseminationTree(Roster(), member.region, options.fan_out)

    @property
    def tree(self) -> DisseminationTree:
        """Return the tree over the region's members in the current roster."""
        if self._tree.roster is not self.state.roster:
            self._tree = DisseminationTree(
                self.state.roster, self.member.region, self.options.fan_out
            )
        return self._tree

    def note_call(self, now: float) -> None:
        """Remember when this incarnation began to take part."""
        if self._born is None:
            self._born = now

    def count_self(self, now: float, found: RoundTally) -> None:
        """Add this node to the answers of a round that count it."""
        version = self.state.version
        found.highest = max(found.highest, version)
        # Below the accepted version the node cannot tell whether the counted
        # roster holds it.
        if version < found.accepted or self.standing.fenced:
            return
        roster = self.state.roster_at(found.accepted)
        entry = roster.members.get(self.member.id) if roster else None
        if entry is None or entry.region != self.member.region:
            return
        if entry.incarnation == self.member.incarnation:
            found.versions[version] += 1
        elif now - (self._born or 0) >= self.options.settle_s:
            found.replaced[version] += 1
