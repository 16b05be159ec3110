"""Messages of the SWIM failure detector."""

import dataclasses
from typing import NamedTuple

from ibismount.member import Member

__all__ = (
    'Ack',
    'Envelope',
    'MemberStatus',
    'MembersChanged',
    'Ping',
    'PingReq',
    'ProbeMessage',
)


@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatus:
    """Status of one node, piggybacked on probes."""

    member: Member
    status: str  # 'alive', 'suspect', 'dead' or 'left'
    sequence: int  # raised by the node itself to refute a suspicion


@dataclasses.dataclass(frozen=True, slots=True)
class MembersChanged:
    """Statuses of nodes that are sent over a link."""

    updates: tuple[MemberStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Probe the receiver."""

    probe: int
    updates: tuple[MemberStatus, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PingReq:
    """Ask the receiver to probe ``target``."""

    probe: int
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Answer a probe; ``target`` is the node that proved alive."""

    probe: int
    target: str
    updates: tuple[MemberStatus, ...] = ()


ProbeMessage = Ping | PingReq | Ack


class Envelope(NamedTuple):
    """A message with the id of its receiver."""

    to: str
    message: object
