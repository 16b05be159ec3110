"""Send a suspect search to one shard first."""

import enum
from typing import Any

__all__ = ('Admit', 'CanaryGate')


class Admit(enum.Enum):
    """Say what to do with a shard that is ready to be sent."""

    SEND = 'send'
    HOLD = 'hold'
    REFUSE = 'refuse'


class CanaryGate:
    """Let one shard through while the query is suspect.

    An answered canary clears the query for the rest of this search, unless
    it loses another server.

    Args:
        quarantine: Knows the run mode of the fingerprint.
        fingerprint: The query.
        most_lost: Lost canaries after which the search is given up; each
            may have cost a backend server.
    """

    def __init__(
        self, quarantine: Any, fingerprint: str, *, most_lost: int
    ) -> None:
        """Start without a canary."""
        self._quarantine = quarantine
        self._fingerprint = fingerprint
        self._most_lost = most_lost
        self._lost = 0
        self._cleared = False
        self._canary = ''
        self._proves = False

    @property
    def active(self) -> bool:
        """Tell whether a canary is under way."""
        return bool(self._canary)

    @property
    def given_up(self) -> bool:
        """Tell whether too many canaries were lost."""
        return self._lost >= self._most_lost

    def lost_servers(self, now: float) -> tuple[str, ...]:
        """Return the servers lost with the query, while it is suspect.

        A canary proves something only on a shard that one of them held.
        """
        mode = self._quarantine.run_mode(now, self._fingerprint).name
        if mode != 'CANARY' or self._cleared:
            return ()
        return self._quarantine.lost_servers(self._fingerprint)

    def admit(self, now: float, shard: str, *, proves: bool) -> Admit:
        """Decide on a shard; the first one while suspect is the canary.

        Args:
            now: Time in seconds.
            shard: The shard to be sent.
            proves: Whether an answer would clear the query.
        """
        mode = self._quarantine.run_mode(now, self._fingerprint).name
        if mode == 'REFUSED' or self.given_up:
            return Admit.REFUSE
        if mode == 'NORMAL' or self._cleared:
            return Admit.SEND
        if self._canary not in {'', shard}:
            return Admit.HOLD
        self._canary = shard
        self._proves = proves
        return Admit.SEND

    def answered(self, now: float, shard: str) -> bool:
        """Take an answer; True when the others may follow."""
        if self._canary != shard:
            return False
        if self._proves:
            self._quarantine.answered(now, self._fingerprint)
        self._cleared = True
        self._canary = ''
        return True

    def lost(
        self, now: float, shard: str, server_id: str, *, sent_at: float
    ) -> None:
        """Take the loss of a server that was running the query."""
        running = {self._fingerprint: sent_at}
        self._quarantine.server_lost(now, server_id, running)
        self._cleared = False
        if self._canary == shard:
            self._lost += 1

    def ended(self, shard: str) -> bool:
        """Take the end of a shard; True when another canary may follow."""
        if self._canary != shard:
            return False
        self._canary = ''
        return True

    def reset(self) -> None:
        """Forget the canary, as all sub-requests were cancelled."""
        self._canary = ''
