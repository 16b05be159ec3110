"""Typed messages between nodes; `frame` encodes them."""

import dataclasses
import enum

from ibismount.cause import Cause
from ibismount.config import Change
from ibismount.member import Member
from ibismount.probe_messages import Ack, Envelope, MemberStatus, Ping, PingReq

__all__ = (
    'Ack',
    'BatchReply',
    'BatchRequest',
    'Cancel',
    'Envelope',
    'Heartbeat',
    'Hello',
    'Item',
    'ItemReply',
    'ItemStatus',
    'Join',
    'JournalQuery',
    'JournalReply',
    'LossReport',
    'MemberStatus',
    'Message',
    'Ping',
    'PingReq',
    'Pull',
    'Push',
    'QuarantineEntry',
    'RegionAccepted',
    'RoundDown',
    'RoundResult',
    'RoundUp',
    'ShareRelease',
    'StateTransfer',
    'WarmNotice',
)


class ItemStatus(enum.StrEnum):
    """Name the three truthful outcomes of a sub-request."""

    ANSWERED = 'answered'
    # No byte that could start the work left, or the backend server refused.
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Open a link; both sides send it first."""

    protocol: int
    cluster: str
    node_id: str
    incarnation: int
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Show that the link makes progress."""


@dataclasses.dataclass(frozen=True, slots=True)
class LossReport:
    """Report that backend servers were lost while running a fingerprint.

    An empty fingerprint names servers that were lost while they ran nothing.
    Without servers, the report says that the request's canary was answered.
    Times are Unix seconds.
    """

    fingerprint: str
    servers: tuple[str, ...]
    at: float
    # When the latest sub-request was sent to them; 0 when unknown.
    started: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineEntry:
    """Name a quarantined fingerprint and its expiry in Unix seconds."""

    fingerprint: str
    expires_at: float
    evidence: str


@dataclasses.dataclass(frozen=True, slots=True)
class RoundResult:
    """Tell what a finished round found.

    ``confirmed_version`` is 0 when the round confirms nothing; otherwise it
    confirms each node that holds at least this version.
    """

    round: int
    confirmed_version: int
    accepted_version: int
    # Accepted versions of all regions heard of, as (region, version).
    regions: tuple[tuple[str, int], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RoundDown:
    """Start a confirmation round at a child of the tree.

    ``accepted`` is the version whose roster members are counted. ``included``
    tells the receiver that its answer to round ``round - 1`` reached the
    coordinator in time.
    """

    coordinator: str
    coordinator_incarnation: int
    region: str
    round: int
    accepted: int
    version: int
    result: RoundResult
    included: bool
    quarantined: tuple[QuarantineEntry, ...] = ()
    # How often the tree was cut to reach the receiver. It fixes the part of
    # the tree that the receiver serves, whatever it believes to be alive.
    level: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class RoundUp:
    """Answer a round for a whole subtree.

    ``versions`` holds (version, number of counted members at it).
    """

    coordinator: str
    round: int
    versions: tuple[tuple[int, int], ...]
    highest: int
    # Like ``versions``, for nodes whose earlier incarnation is in the counted
    # roster. They count towards acceptance only: a restart loses memory.
    replaced: tuple[tuple[int, int], ...] = ()
    losses: tuple[LossReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RegionAccepted:
    """Tell another region's coordinators the version accepted here."""

    region: str
    version: int
    quarantined: tuple[QuarantineEntry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Push:
    """Hand over consecutive changes."""

    changes: tuple[Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Pull:
    """Ask for all changes after a version."""

    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class StateTransfer:
    """Hand over a whole state to a node that is too far behind."""

    state: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Ask the proposer to bring a node into the roster, or take it out."""

    member: Member
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ShareRelease:
    """Tell that the sender's work beyond its new shares has ended.

    The sender uses no more than its shares of the map of ``version`` for
    the backend servers named.
    """

    version: int
    servers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WarmNotice:
    """Tell the other gateways of a backend server whether it is warm.

    With ``warm``, the primary states that an answer to a request sent after
    question ``sequence`` of the receiver carried ``generation``. Without
    it, the sender has stopped or doubts the server, and asks the primary
    for such a notice under the number ``sequence``.
    """

    server: str
    generation: str
    warm: bool
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """One sub-request of a batch."""

    index: int
    shard: str
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class BatchRequest:
    """Ask a gateway to run sub-requests of one request.

    ``remaining_ms`` is the time left when the message was sent; ``body`` is
    the query as JSON. ``idempotent`` is False for bookings.
    """

    attempt_id: str
    request_id: str
    trace_parent: str
    team: str
    weight: int
    priority: int
    collection: str
    snapshot: str
    fingerprint: str
    remaining_ms: int
    config_version: int
    idempotent: bool
    body: bytes
    items: tuple[Item, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ItemReply:
    """Answer one sub-request; ``body`` is JSON when it was answered."""

    index: int
    status: ItemStatus
    snapshot: str = ''
    body: bytes = b''
    cause: Cause | None = None
    # The backend server may have started work that was then lost.
    server_lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class BatchReply:
    """Answer some sub-requests of a batch; ``final`` ends the batch."""

    attempt_id: str
    replies: tuple[ItemReply, ...]
    final: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Ask a gateway to stop sub-requests of a batch."""

    attempt_id: str
    indexes: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class JournalQuery:
    """Ask a node for its journal; times are Unix seconds."""

    query_id: int
    since: float
    request_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class JournalReply:
    """Answer a journal query with events as JSON."""

    query_id: int
    events: bytes


Message = (
    Hello
    | Heartbeat
    | Ping
    | PingReq
    | Ack
    | RoundDown
    | RoundUp
    | RegionAccepted
    | Push
    | Pull
    | StateTransfer
    | Join
    | ShareRelease
    | WarmNotice
    | BatchRequest
    | BatchReply
    | Cancel
    | JournalQuery
    | JournalReply
)
