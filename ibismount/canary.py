"""Send a search that may crash backend servers to one shard first."""

import enum
from typing import Any

__all__ = ('CanaryDecision', 'CanaryGate')


class CanaryDecision(enum.Enum):
    """What to do with a shard that is ready to be sent."""

    SEND = 'send'
    HOLD = 'hold'
    REFUSE = 'refuse'


class CanaryGate:
    """Send only one shard, the canary, while the query is suspect.

    An answered canary clears the query for the rest of this search, unless
    another server is lost while running it.

    Args:
        quarantine: Holds the run mode of each fingerprint.
        fingerprint: The query's fingerprint.
        max_lost: Lost canaries after which the search is given up; each may
            have crashed a backend server.
    """

    def __init__(
        self, quarantine: Any, fingerprint: str, *, max_lost: int
    ) -> None:
        """Start without a canary."""
        self._quarantine = quarantine
        self._fingerprint = fingerprint
        self._max_lost = max_lost
        self._lost_canaries = 0
        self._cleared = False
        self._canary = ''
        self._conclusive = False

    @property
    def active(self) -> bool:
        """Tell whether a canary is under way."""
        return bool(self._canary)

    @property
    def given_up(self) -> bool:
        """Tell whether too many canaries were lost."""
        return self._lost_canaries >= self._max_lost

    def lost_servers(self, now: float) -> tuple[str, ...]:
        """Return the servers lost while running the query.

        Empty unless the query is suspect. A canary is conclusive only on a
        shard that one of these servers held.
        """
        mode = self._quarantine.run_mode(now, self._fingerprint).name
        if mode != 'CANARY' or self._cleared:
            return ()
        return self._quarantine.lost_servers(self._fingerprint)

    def admit(
        self, now: float, shard: str, *, conclusive: bool
    ) -> CanaryDecision:
        """Decide whether a shard may be sent.

        The first shard sent while the query is suspect becomes the canary.

        Args:
            now: Time in seconds.
            shard: The shard to be sent.
            conclusive: Whether an answer would clear the query.
        """
        mode = self._quarantine.run_mode(now, self._fingerprint).name
        if mode == 'REFUSED' or self.given_up:
            return CanaryDecision.REFUSE
        if mode == 'NORMAL' or self._cleared:
            return CanaryDecision.SEND
        if self._canary not in {'', shard}:
            return CanaryDecision.HOLD
        self._canary = shard
        self._conclusive = conclusive
        return CanaryDecision.SEND

    def record_answer(self, now: float, shard: str) -> bool:
        """Record an answer; return True when the held shards may be sent."""
        if self._canary != shard:
            return False
        if self._conclusive:
            self._quarantine.record_canary_answer(now, self._fingerprint)
        self._cleared = True
        self._canary = ''
        return True

    def record_loss(
        self, now: float, shard: str, server_id: str, *, sent_at: float
    ) -> None:
        """Record the loss of a server that was running the query."""
        running = {self._fingerprint: sent_at}
        self._quarantine.record_loss(now, server_id, running)
        self._cleared = False
        if self._canary == shard:
            self._lost_canaries += 1

    def record_end(self, shard: str) -> bool:
        """Record the end of a shard without an answer.

        Returns:
            True when the shard was the canary and another one may be sent.
        """
        if self._canary != shard:
            return False
        self._canary = ''
        return True

    def reset(self) -> None:
        """Forget the canary after all sub-requests were cancelled."""
        self._canary = ''
