"""Records of known nodes, the pending probe and relayed probes."""

import dataclasses

from ibismount.probe_messages import MemberStatus, PingReq

__all__ = ('MemberRecord', 'PendingProbe', 'RelayTable', 'RelayedProbe')


@dataclasses.dataclass(slots=True)
class MemberRecord:
    """Status of another node, and the time of the last change of it."""

    status: MemberStatus
    since: float


@dataclasses.dataclass(slots=True)
class PendingProbe:
    """A probe that is not answered yet, with its deadlines.

    ``indirect_at`` is when other nodes are asked to probe the target too, and
    ``deadline_at`` is when the target becomes suspected.
    """

    number: int
    target: str
    indirect_at: float
    deadline_at: float
    indirect_sent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A probe for ``requester``, which numbered it ``number``."""

    requester: str
    number: int
    target: str
    expires_at: float


class RelayTable:
    """Keep relayed probes until they are answered or expire."""

    def __init__(self) -> None:
        """Start without relayed probes."""
        self._relays: dict[int, RelayedProbe] = {}

    def add(
        self,
        now: float,
        number: int,
        requester: str,
        request: PingReq,
        expires_at: float,
    ) -> None:
        """Add a relayed probe and drop expired ones."""
        self._relays = {
            key: relay
            for key, relay in self._relays.items()
            if relay.expires_at > now
        }
        self._relays[number] = RelayedProbe(
            requester, request.probe, request.target, expires_at
        )

    def pop_answered(self, number: int, responder: str) -> RelayedProbe | None:
        """Remove and return the relayed probe that an answer belongs to."""
        relay = self._relays.get(number)
        if relay is None or relay.target != responder:
            return None
        return self._relays.pop(number)
