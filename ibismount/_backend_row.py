"""One backend server in the capacity table of a gateway."""

import dataclasses

from ibismount.catalog import BackendServer
from ibismount.handover import NOTHING, Limits
from ibismount.warmth import Warmth

__all__ = ('BackendRow',)

# Weight of the newest answer in the mean service time.
LATENCY_WEIGHT = 0.1


@dataclasses.dataclass(slots=True)
class BackendRow:
    """What a gateway may use and does use of one backend server.

    ``share`` is what the current map gives and ``limits`` the part of it
    that is in force. ``surplus`` tells that idle connections beyond the
    share may still be open. Times are in seconds.
    """

    server: BackendServer
    share: Limits = NOTHING
    limits: Limits = NOTHING
    rank: int = 0
    gateways: tuple[str, ...] = ()
    running: int = 0
    cold_running: int = 0
    warmth: Warmth = dataclasses.field(default_factory=Warmth)
    surplus: bool = False
    asked_at: float = float('-inf')
    ejected_until: float = float('-inf')
    eject_s: float = 0
    shed_until: float = float('-inf')
    shed_cap: int = 0
    latency_s: float = 0

    @property
    def drained(self) -> bool:
        """Tell whether nothing beyond the share of the map is in use."""
        if self.cold_running and not self.share.cold_slots:
            return False
        return self.running <= self.share.slots and not self.surplus

    def cap(self, now: float) -> int:
        """Return how many requests may run at once."""
        cap = self.warmth.cap(self.limits, self.server, self.rank)
        return min(cap, self.shed_cap) if now < self.shed_until else cap

    def usable(self, now: float) -> bool:
        """Tell whether the server takes requests, apart from busy slots."""
        if self.server.leaving or now < self.ejected_until:
            return False
        return self.cap(now) > 0

    def shed(self, until: float) -> None:
        """Halve what is in use after the server refused a request."""
        if self.warmth.warm:
            self.shed_cap = max(1, (self.running + 1) // 2)
            self.shed_until = until
        else:
            # The ramp went too fast and starts again.
            self.warmth.answers = 0

    def eject(self, now: float, *, least_s: float, most_s: float) -> None:
        """Send nothing for a while; each ejection in a row doubles it."""
        self.eject_s = min(most_s, max(least_s, 2 * self.eject_s))
        self.ejected_until = now + self.eject_s

    def observe(self, latency_s: float) -> None:
        """Take the time of an answer into account."""
        self.eject_s = 0
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
