"""Messages by which nodes judge each other's liveness."""

import dataclasses
from typing import NamedTuple

from ibismount.member import Member

__all__ = (
    'Ack',
    'Envelope',
    'MemberStatus',
    'Ping',
    'PingReq',
    'ProbeMessage',
)


@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatus:
    """Report one node's liveness; piggybacked on probes."""

    member: Member
    status: str  # 'alive', 'suspect', 'dead' or 'left'
    sequence: int  # raised by the node itself to refute a suspicion


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Probe a node directly."""

    probe: int
    updates: tuple[MemberStatus, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PingReq:
    """Ask a node to probe another one."""

    probe: int
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Answer a probe; ``target`` names the node that was found alive."""

    probe: int
    target: str
    updates: tuple[MemberStatus, ...] = ()


ProbeMessage = Ping | PingReq | Ack


class Envelope(NamedTuple):
    """A message with the node id that it goes to."""

    to: str
    message: object
