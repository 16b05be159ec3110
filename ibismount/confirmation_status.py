"""Whether one node is confirmed, fenced, or should read the platform."""

import random

from ibismount._round_tally import ConfirmOptions
from ibismount.config import ConfigState
from ibismount.roster import Member, Roster

__all__ = ('NEVER', 'Standing')

NEVER = float('-inf')


class Standing:
    """Keep the time of the latest confirmation of one incarnation.

    Args:
        member: This node and its incarnation.
        state: The node's live copy of the configuration.
        options: Lapse of the confirmation, and times of the fallback.
    """

    def __init__(
        self, member: Member, state: ConfigState, options: ConfirmOptions
    ) -> None:
        """Start unconfirmed and not fenced."""
        self._member = member
        self._state = state
        self._options = options
        # Keeps nodes that lost their rounds together from reading the
        # platform together.
        self._rng = random.Random(member.incarnation)
        self._patience = options.fallback_after_s * self._rng.uniform(1, 1.3)
        self._confirmed_at = NEVER
        self._pending: tuple[int, float] | None = None
        self._gained_at = NEVER
        self._read_after = NEVER
        self._backoff = options.backoff_s
        self._seen = Roster()
        self._listed = False
        self._fenced = False

    @property
    def confirmed_at(self) -> float:
        """Return the time as of which all accepted versions are held."""
        if self._pending and self._state.version >= self._pending[0]:
            version, at = self._pending
            self._pending = None
            self.confirm(version, at, at)
        return self._confirmed_at

    @property
    def fenced(self) -> bool:
        """Tell whether a later incarnation has taken this node's place.

        Only an incarnation that was listed itself is fenced: a node that
        restarted also finds, perhaps late, the entry of its former
        incarnation. One that was never listed owns no shares.
        """
        roster = self._state.roster
        if roster is not self._seen and not self._fenced:
            self._note_listing(self._seen.version)
            self._seen = roster
            entry = roster.members.get(self._member.id)
            self._fenced = self._listed and not self._is_own(entry)
        return self._fenced

    def confirm(self, version: int, at: float, now: float) -> None:
        """Take a proof that nothing beyond ``version`` was accepted by ``at``.

        When the node does not hold that version yet, the proof is kept until
        it does.
        """
        if at <= self._confirmed_at:
            return
        if self._state.version < version:
            self._pending = (version, at)
            return
        self._confirmed_at = at
        self._gained_at = max(self._gained_at, now)

    def wants_read(self, now: float) -> bool:
        """Tell whether to start a direct read now; true once per attempt."""
        latest = max(self._gained_at, self.confirmed_at)
        if (
            now - latest <= self._patience
            or now < self._read_after
            or self.fenced
        ):
            return False
        self._read_after = now + self._backoff * self._rng.uniform(0.5, 1.5)
        self._backoff = min(self._backoff * 2, self._options.max_backoff_s)
        return True

    def read_answered(self) -> None:
        """Start again with the shortest pause between attempts."""
        self._backoff = self._options.backoff_s

    def _note_listing(self, after: int) -> None:
        """Look for this incarnation in the rosters after a version."""
        node_id = self._member.id
        mine = self._member.incarnation
        entries = [self._state.roster.members.get(node_id)]
        for undo in reversed(self._state.roster_undo):
            if undo.version <= after:
                break
            entries.append(undo.members.get(node_id))
        if any(entry and entry.incarnation == mine for entry in entries):
            self._listed = True

    def _is_own(self, entry: Member | None) -> bool:
        return entry is None or entry.incarnation == self._member.incarnation
