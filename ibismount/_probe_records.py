"""Records of the probes that a node sends, also on behalf of others."""

import dataclasses

from ibismount.probe_messages import MemberStatus, PingReq

__all__ = ('MemberRecord', 'PendingProbe', 'RelayTable', 'RelayedProbe')


@dataclasses.dataclass(slots=True)
class MemberRecord:
    """What a node believes of another, and since when."""

    status: MemberStatus
    since: float


@dataclasses.dataclass(slots=True)
class PendingProbe:
    """The probe under way, with its deadlines."""

    number: int
    target: str
    indirect_at: float
    deadline_at: float
    indirect_sent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A probe on behalf of ``asker``, who numbered it ``number``."""

    requester: str
    number: int
    target: str
    expires_at: float


class RelayTable:
    """Keep relayed probes until they are answered or expire."""

    def __init__(self) -> None:
        """Start empty."""
        self._relays: dict[int, RelayedProbe] = {}

    def add(
        self,
        now: float,
        number: int,
        requester: str,
        request: PingReq,
        expires_at: float,
    ) -> None:
        """Note a relayed probe and drop expired ones."""
        self._relays = {
            key: relay
            for key, relay in self._relays.items()
            if relay.expires_at > now
        }
        self._relays[number] = RelayedProbe(
            requester, request.probe, request.target, expires_at
        )

    def pop_answered(self, number: int, responder: str) -> RelayedProbe | None:
        """Remove and return the relay that an answer belongs to."""
        relay = self._relays.get(number)
        if relay is None or relay.target != responder:
            return None
        return self._relays.pop(number)
