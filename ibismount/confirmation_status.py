"""Confirmation status of one node: confirmed, fenced, or read due."""

import random

from ibismount._round_tally import ConfirmOptions
from ibismount.config import ConfigState
from ibismount.roster import Member, Roster

__all__ = ('NEVER', 'ConfirmationStatus')

NEVER = float('-inf')


class ConfirmationStatus:
    """Track confirmation and fencing of one incarnation of a node.

    Args:
        member: This node and its incarnation.
        state: The node's live copy of the configuration.
        options: Timeouts of the fallback read of the platform.
    """

    def __init__(
        self, member: Member, state: ConfigState, options: ConfirmOptions
    ) -> None:
        """Start unconfirmed and not fenced."""
        self._member = member
        self._state = state
        self._options = options
        # Jitter: nodes that lose their rounds at the same time must not all
        # read the platform at the same time.
        self._rng = random.Random(member.incarnation)
        self._fallback_after_s = options.fallback_after_s * self._rng.uniform(
            1, 1.3
        )
        self._confirmed_at = NEVER
        self._pending_proof: tuple[int, float] | None = None
        self._confirmation_received_at = NEVER
        self._next_read_at = NEVER
        self._read_backoff_s = options.backoff_s
        self._checked_roster = Roster()
        self._was_listed = False
        self._fenced = False

    @property
    def confirmed_at(self) -> float:
        """Return the time up to which the node has all accepted versions."""
        if (
            self._pending_proof
            and self._state.version >= self._pending_proof[0]
        ):
            version, at = self._pending_proof
            self._pending_proof = None
            self.confirm(version, at, at)
        return self._confirmed_at

    @property
    def fenced(self) -> bool:
        """Return whether a later incarnation has replaced this one.

        Only an incarnation that was in the roster is fenced, because the
        roster of a restarted node may still have its former incarnation. An
        incarnation that was never in the roster owns no shares.
        """
        roster = self._state.roster
        if roster is not self._checked_roster and not self._fenced:
            self._check_was_listed(self._checked_roster.version)
            self._checked_roster = roster
            entry = roster.members.get(self._member.id)
            self._fenced = self._was_listed and not self._is_current(entry)
        return self._fenced

    def confirm(self, version: int, at: float, now: float) -> None:
        """Confirm the node up to a time.

        While the node's state is older than ``version``, the confirmation is
        kept until the state has caught up.

        Args:
            version: No later version was accepted by the time ``at``.
            at: Time of the proof, by this node's clock.
            now: When the proof was received.
        """
        if at <= self._confirmed_at:
            return
        if self._state.version < version:
            self._pending_proof = (version, at)
            return
        self._confirmed_at = at
        self._confirmation_received_at = max(
            self._confirmation_received_at, now
        )

    def platform_read_due(self, now: float) -> bool:
        """Return whether to read the platform now; True once per attempt."""
        latest = max(self._confirmation_received_at, self.confirmed_at)
        if (
            now - latest <= self._fallback_after_s
            or now < self._next_read_at
            or self.fenced
        ):
            return False
        self._next_read_at = now + self._read_backoff_s * self._rng.uniform(
            0.5, 1.5
        )
        self._read_backoff_s = min(
            self._read_backoff_s * 2, self._options.max_backoff_s
        )
        return True

    def reset_read_backoff(self) -> None:
        """Reset the delay between attempts to its minimum."""
        self._read_backoff_s = self._options.backoff_s

    def _check_was_listed(self, after: int) -> None:
        """Check whether a roster after a version has this incarnation."""
        node_id = self._member.id
        incarnation = self._member.incarnation
        entries = [self._state.roster.members.get(node_id)]
        for undo in reversed(self._state.roster_undo):
            if undo.version <= after:
                break
            entries.append(undo.members.get(node_id))
        if any(entry and entry.incarnation == incarnation for entry in entries):
            self._was_listed = True

    def _is_current(self, entry: Member | None) -> bool:
        return entry is None or entry.incarnation == self._member.incarnation
