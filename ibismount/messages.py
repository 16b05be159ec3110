"""Message types exchanged between nodes; `frame` encodes them."""

import dataclasses
import enum

from ibismount.cause import Cause
from ibismount.config import Change
from ibismount.loss_report import LossReport, QuarantineEntry
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
    """Outcome of a sub-request."""

    ANSWERED = 'answered'
    # Nothing that could start the work was sent, or the backend server
    # refused it.
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message in each direction of a link."""

    protocol: int
    cluster: str
    node_id: str
    incarnation: int
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Show that the sending node is alive."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoundResult:
    """Result of a finished confirmation round.

    A nonzero ``confirmed_version`` confirms every node whose state has at
    least this version; 0 confirms no node.
    """

    round: int
    confirmed_version: int
    accepted_version: int
    # The accepted version of each known region, as (region, version).
    regions: tuple[tuple[str, int], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RoundDown:
    """Request a confirmation round from a child in the tree.

    The members of the roster at version ``accepted`` are counted. With
    ``included``, the receiver's answer to round ``round - 1`` reached the
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
    # Depth of the receiver in the tree. It determines the segment of the
    # tree that the receiver forwards to, independently of the receiver's
    # own view of the live nodes.
    level: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class RoundUp:
    """Answer to a confirmation round for a whole subtree.

    ``versions`` lists (version, number of counted members at that version).
    """

    coordinator: str
    round: int
    versions: tuple[tuple[int, int], ...]
    highest: int
    # Like ``versions``, for nodes that restarted since the counted roster.
    # They count towards acceptance but not towards confirmation, because a
    # restarted node has lost its memory of earlier rounds.
    replaced: tuple[tuple[int, int], ...] = ()
    losses: tuple[LossReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RegionAccepted:
    """Send the accepted version of a region to another region."""

    region: str
    version: int
    quarantined: tuple[QuarantineEntry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Push:
    """Send consecutive changes."""

    changes: tuple[Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Pull:
    """Request all changes after a version."""

    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class StateTransfer:
    """Send a complete state to a node that is too far behind."""

    state: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Ask the proposer to add a node to the roster or remove it."""

    member: Member
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ShareRelease:
    """Announce that the sender uses no more than its new shares.

    This applies to its shares of the named backend servers in the map of
    ``version``; all work beyond them has ended.
    """

    version: int
    servers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WarmNotice:
    """Exchange between gateways whether a backend server is warm.

    With ``warm``, the primary gateway confirms that the server answered a
    request that was sent after the receiver's query ``sequence``, and that
    the answer carried ``generation``. Without ``warm``, the message is such
    a query: the sender has stopped using the server or doubts that it is
    warm, and requests a notice for the number ``sequence``.
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
    """Request that a gateway runs sub-requests of one request.

    ``remaining_ms`` is the time until the deadline when the message was
    sent. ``body`` is the query as JSON. ``idempotent`` is False for bookings.
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
    """Reply to one sub-request; ``body`` is JSON when it was answered."""

    index: int
    status: ItemStatus
    snapshot: str = ''
    body: bytes = b''
    cause: Cause | None = None
    # The backend server was lost and may have started the work.
    server_lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class BatchReply:
    """Reply to some sub-requests of a batch; ``final`` ends the batch."""

    attempt_id: str
    replies: tuple[ItemReply, ...]
    final: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Request that a gateway stops sub-requests of a batch."""

    attempt_id: str
    indexes: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class JournalQuery:
    """Request journal events since a time in Unix seconds."""

    query_id: int
    since: float
    request_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class JournalReply:
    """Reply to a journal query with the events as JSON."""

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
