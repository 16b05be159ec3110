"""Records of the probes that a node sends, also on behalf of others."""

import dataclasses

from ibismount.probing import MemberStatus, PingReq

__all__ = ('Probe', 'Record', 'Relay', 'RelayTable')


@dataclasses.dataclass(slots=True)
class Record:
    """What a node believes of another, and since when."""

    status: MemberStatus
    since: float


@dataclasses.dataclass(slots=True)
class Probe:
    """The probe under way, with its deadlines."""

    number: int
    target: str
    indirect_at: float
    ends_at: float
    asked: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """A probe on behalf of ``asker``, who numbered it ``number``."""

    asker: str
    number: int
    target: str
    expires_at: float


class RelayTable:
    """Keep relayed probes until they are answered or expire."""

    def __init__(self) -> None:
        """Start empty."""
        self._relays: dict[int, Relay] = {}

    def add(
        self,
        now: float,
        number: int,
        asker: str,
        request: PingReq,
        expires_at: float,
    ) -> None:
        """Note a relayed probe and drop expired ones."""
        self._relays = {
            key: relay
            for key, relay in self._relays.items()
            if relay.expires_at > now
        }
        self._relays[number] = Relay(
            asker, request.probe, request.target, expires_at
        )

    def take(self, number: int, answerer: str) -> Relay | None:
        """Remove and return the relay that an answer belongs to."""
        relay = self._relays.get(number)
        if relay is None or relay.target != answerer:
            return None
        return self._relays.pop(number)
