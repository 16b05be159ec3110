"""State of one backend server in a gateway's capacity table."""

import dataclasses

from ibismount.catalog import BackendServer
from ibismount.handover import ZERO_LIMITS, Limits
from ibismount.warmup import WarmUpState

__all__ = ('BackendRow',)

# Weight of the newest answer in the moving average of the service time.
LATENCY_WEIGHT = 0.1


@dataclasses.dataclass(slots=True)
class BackendRow:
    """A gateway's limits and current use of one backend server.

    ``share`` comes from the current assignment, and ``limits`` is the part of
    it that is in force. ``surplus`` is True while idle connections beyond the
    share may still be open. Times are in seconds.
    """

    server: BackendServer
    share: Limits = ZERO_LIMITS
    limits: Limits = ZERO_LIMITS
    rank: int = 0
    gateways: tuple[str, ...] = ()
    running: int = 0
    cold_running: int = 0
    warmth: WarmUpState = dataclasses.field(default_factory=WarmUpState)
    surplus: bool = False
    asked_at: float = float('-inf')
    ejected_until: float = float('-inf')
    eject_s: float = 0
    shed_until: float = float('-inf')
    shed_cap: int = 0
    latency_s: float = 0

    @property
    def is_within_share(self) -> bool:
        """Return whether the use is within the assigned share."""
        if self.cold_running and not self.share.cold_slots:
            return False
        return self.running <= self.share.slots and not self.surplus

    def request_limit(self, now: float) -> int:
        """Return the maximum number of concurrent requests."""
        request_limit = self.warmth.request_limit(
            self.limits, self.server, self.rank
        )
        return (
            min(request_limit, self.shed_cap)
            if now < self.shed_until
            else request_limit
        )

    def is_usable(self, now: float) -> bool:
        """Return whether requests are allowed, ignoring how many run."""
        if self.server.leaving or now < self.ejected_until:
            return False
        return self.request_limit(now) > 0

    def record_shed(self, until: float) -> None:
        """Halve the concurrency after the server shed a request."""
        if self.warmth.warm:
            self.shed_cap = max(1, (self.running + 1) // 2)
            self.shed_until = until
        else:
            # The warm-up ramp was too steep, so restart it.
            self.warmth.answer_count = 0

    def eject(self, now: float, *, min_s: float, max_s: float) -> None:
        """Eject the server; each consecutive ejection doubles the time."""
        self.eject_s = min(max_s, max(min_s, 2 * self.eject_s))
        self.ejected_until = now + self.eject_s

    def record_latency(self, latency_s: float) -> None:
        """Update the mean service time and reset the ejection back-off."""
        self.eject_s = 0
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
