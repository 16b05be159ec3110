"""The control plane of one node: its tables and the handling of messages."""

import dataclasses
import random
import time
from collections import deque
from collections.abc import Callable

import anyio

from ibismount import messages
from ibismount._state_encoding import decode_state, encode_state
from ibismount.assignment import Assigner, Assignment
from ibismount.capacity import CapacityTable
from ibismount.catalog import BackendServer
from ibismount.cause import Cause, system_cause
from ibismount.changelog import (
    ChangeLog,
    CommitResult,
    CommitStatus,
    Proposal,
    apply_or_skip,
)
from ibismount.config import Change, ChangeKind, ConfigState
from ibismount.confirmation import ConfirmOptions, Confirmer
from ibismount.errors import ErrorCode, IbismountError
from ibismount.journal import Event, Journal, decode_events, encode_events
from ibismount.link_manager import LinkManager
from ibismount.logs import part_logger
from ibismount.membership import Membership
from ibismount.node_view import NodeView
from ibismount.quarantine import Quarantine
from ibismount.roster import Member

__all__ = ('GatewayView', 'Node', 'NodeOptions', 'boot_time')

log = part_logger('control')
# Changes of these kinds alter the assignment of shares.
_ASSIGNMENT_KINDS = frozenset((ChangeKind.ROSTER, ChangeKind.CATALOG))
# A node that catches up with more assignments at once computes only the last.
MAX_ASSIGNMENTS_PER_BATCH = 4
# A timeline query asks at most this many peers, each for its latest events, so
# that one query does not load a large fleet.
MAX_QUERIED_PEERS = 16
CONFIRM_TTL_S = ConfirmOptions().confirm_ttl_s
MAX_REPLY_EVENTS = 500


def boot_time() -> float:
    """Return seconds since boot, including time when the VM was suspended.

    A confirmation must also expire during a suspension, when CLOCK_MONOTONIC
    stops.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(frozen=True, slots=True)
class NodeOptions:
    """Configure a node.

    ``tick_s`` is the time between two ticks, in seconds. ``recent_changes`` is
    the number of changes kept to answer pulls; older ones are served as a
    complete state.
    """

    tick_s: float = 0.05
    recent_changes: int = 512


_DEFAULTS = NodeOptions()


class Node(NodeView):
    """Own the control tables of a node and keep them consistent.

    Args:
        member: The node itself, with its incarnation.
        changelog: The change log stored in the platform.
        rng: Source of randomness.
        clock: Returns monotonic seconds, including time in suspension.
        now_unix: Returns Unix seconds, for journals and causes.
        options: Tick period and number of changes kept.
    """

    def __init__(
        self,
        member: Member,
        *,
        changelog: ChangeLog,
        rng: random.Random,
        clock: Callable[[], float] = boot_time,
        now_unix: Callable[[], float] = time.time,
        options: NodeOptions = _DEFAULTS,
    ) -> None:
        """Create empty tables; changes and messages fill them."""
        self.member = member
        self.node_id = member.id
        self.availability_zone = member.availability_zone
        self.changelog = changelog
        self.options = options
        self.now_unix = now_unix
        self.shutting_down = False
        self.leaving_incarnations: dict[str, int] = {}
        self.stored_state_version = 0
        self.servers: dict[str, BackendServer] = {}
        self._clock = clock
        self._state = ConfigState()
        self._assignment = Assignment()
        self._assigner = Assigner()
        self._last_accepted_version = 0
        self._recent_changes: deque[Change] = deque(
            maxlen=options.recent_changes
        )
        self.membership = Membership(member, rng=rng)
        self.quarantine = Quarantine(unix_offset=now_unix() - clock())
        self.confirmer = Confirmer(
            member,
            self._state,
            quarantine=self.quarantine,
            lookup=self.membership.lookup,
        )
        self.capacity = CapacityTable(member.id)
        self.journal = Journal()
        self.link_manager: LinkManager | None = None
        self._journal_replies: dict[int, dict[str, list[Event]]] = {}
        self._last_query_id = 0
        self._handlers = {
            messages.Ping: self._handle_probe,
            messages.Ack: self._handle_probe,
            messages.PingReq: self._handle_probe,
            messages.RoundDown: self._handle_round,
            messages.RoundUp: self._handle_round,
            messages.RegionAccepted: self._handle_round,
            messages.Push: self._handle_push,
            messages.Pull: self._handle_pull,
            messages.StateTransfer: self._handle_state_transfer,
            messages.Join: self._handle_join,
            messages.ShareRelease: self._handle_share_release,
            messages.WarmNotice: self._handle_warm_notice,
            messages.JournalQuery: self._handle_journal_query,
            messages.JournalReply: self._handle_journal_reply,
        }

    @property
    def state(self) -> ConfigState:
        """Return the node's current configuration."""
        return self._state

    @property
    def assignment(self) -> Assignment:
        """Return the assignment computed from the configuration."""
        return self._assignment

    def now(self) -> float:
        """Return the time in seconds."""
        return self._clock()

    def is_live(self, node_id: str) -> bool:
        """Return whether the membership lists the node as alive."""
        return node_id in self.live_ids()

    def live_ids(self) -> frozenset[str]:
        """Return the ids of all nodes listed as alive, including this one."""
        return self.membership.live_ids(self.now())

    def refusal(self) -> Cause | None:
        """Return why the node may accept no new work, or None."""
        if not self.confirmer.is_confirmed(self.now()):
            return system_cause(
                ErrorCode.UNCONFIRMED,
                f'no quorum round or platform read for {CONFIRM_TTL_S:g} s',
            )
        if self.shutting_down:
            return system_cause(
                ErrorCode.SHUTTING_DOWN, 'the node is shutting down'
            )
        if not self._state.zone_in_service(self.availability_zone):
            zone = self._state.zones[self.availability_zone]
            return zone.cause(ErrorCode.ZONE_OUT)
        if not self._state.vm_in_service(self.node_id):
            return self._state.vms[self.node_id].cause(ErrorCode.VM_OUT)
        return None

    def tick(self) -> list[messages.Envelope]:
        """Run every control component once and return the messages to send."""
        now = self.now()
        live = self.membership.live_ids(now)
        outgoing = [
            *self.membership.tick(now),
            *self.confirmer.tick(now, live),
            *self.capacity.tick(now),
        ]
        self._process_acceptance(now)
        return outgoing

    def receive(
        self, sender: str, message: messages.Message
    ) -> list[messages.Envelope]:
        """Handle one control message and return the messages to send."""
        handler = self._handlers.get(type(message))
        if handler is None:
            raise IbismountError(
                ErrorCode.FRAME_INVALID,
                f'{type(message).__name__} is not a control message',
                place=f'link from {sender}',
            )
        outgoing = handler(sender, message)
        self._process_acceptance(self.now())
        return outgoing

    async def send(self, envelopes: list[messages.Envelope]) -> None:
        """Send envelopes over the links; later rounds make up for lost ones."""
        for envelope in envelopes:
            try:
                await self.link_manager.send(envelope.to, envelope.message)
            except IbismountError as exc:
                log.error(
                    'control message to %s was not sent: %s', envelope.to, exc
                )

    def adopt_state(self, state: ConfigState) -> bool:
        """Replace the state by a newer one; return whether it was newer."""
        if state.version <= self._state.version:
            return False
        self._state.replace_with(state)
        self._recent_changes.clear()
        self._update_assignment(skipped=True)
        return True

    def apply_changes(self, changes: list[Change]) -> list[Change]:
        """Apply the changes that follow the current version; return those."""
        applied = []
        assignments = 0
        for change in sorted(changes, key=lambda item: item.version):
            if change.version != self._state.version + 1:
                continue
            apply_or_skip(self._state, change)
            self._recent_changes.append(change)
            applied.append(change)
            if change.kind in _ASSIGNMENT_KINDS:
                assignments += 1
                if assignments <= MAX_ASSIGNMENTS_PER_BATCH:
                    self._update_assignment()
        if assignments > MAX_ASSIGNMENTS_PER_BATCH:
            self._update_assignment(skipped=True)
        return applied

    def make_pushes(self, changes: list[Change]) -> list[messages.Envelope]:
        """Make pushes of changes to the children in the dissemination tree."""
        if not changes:
            return []
        push = messages.Push(tuple(changes))
        return [
            messages.Envelope(node_id, push)
            for node_id in self.confirmer.push_targets(self.live_ids())
        ]

    async def commit(self, proposal: Proposal) -> CommitResult:
        """Commit a change, apply it here and push it to other nodes."""
        result = await self.changelog.commit(lambda: self._state, proposal)
        if result.status is CommitStatus.COMMITTED:
            self.apply_changes([result.change])
            await self.send(self.make_pushes([result.change]))
        return result

    def record_event(
        self,
        part: str,
        text: str,
        *,
        cause: Cause | None = None,
        request_id: str = '',
        trace_id: str = '',
    ) -> None:
        """Record an action of the system in the journal."""
        self.journal.record(
            Event(
                at=self.now_unix(),
                part=part,
                code=cause.code if cause else '',
                text=text,
                cause=cause,
                request_id=request_id,
                trace_id=trace_id,
            )
        )

    async def query_journals(
        self, since: float, request_id: str, *, wait_s: float = 1
    ) -> dict[str, list[Event]]:
        """Collect events of this node and of up to 16 live peers.

        Args:
            since: Unix seconds.
            request_id: Selects the events of one request; empty for all.
            wait_s: Longest wait for the peers, in seconds.

        Returns:
            Events by node id, without peers that did not answer.
        """
        self._last_query_id += 1
        query = messages.JournalQuery(self._last_query_id, since, request_id)
        peer_ids = sorted(self.live_ids() - {self.node_id})[:MAX_QUERIED_PEERS]
        events_by_node = {self.node_id: self.journal.since(since, request_id)}
        self._journal_replies[query.query_id] = events_by_node
        await self.send(
            [messages.Envelope(peer_id, query) for peer_id in peer_ids]
        )
        with anyio.move_on_after(wait_s):
            while len(events_by_node) <= len(peer_ids):
                await anyio.sleep(self.options.tick_s)
        return self._journal_replies.pop(query.query_id)

    def _update_assignment(self, *, skipped: bool = False) -> None:
        """Compute the assignment of the current configuration and apply it.

        The capacity table must see every assignment, because a share may have
        moved away and back. When some were skipped, ``skipped`` makes it
        acquire all shares anew.
        """
        self._assignment = self._assigner.assign(
            self._state.roster,
            self._state.catalogs,
            version=self._state.version,
        )
        self.servers = {
            server.id: server
            for catalog in self._state.catalogs.values()
            for server in catalog.servers.values()
        }
        self.capacity.apply_assignment(
            self.now(), self._assignment, self.servers, skipped=skipped
        )
        self.membership.add_seeds(self._state.roster.members.values())

    def _process_acceptance(self, now: float) -> None:
        accepted = self.confirmer.accepted_version
        if accepted > self._last_accepted_version:
            self._last_accepted_version = accepted
            self.capacity.record_accepted_version(now, accepted)

    def _handle_probe(self, sender, message):
        return self.membership.receive(self.now(), sender, message)

    def _handle_round(self, sender, message):
        return self.confirmer.receive(self.now(), sender, message)

    def _handle_push(self, sender, message):
        applied = self.apply_changes(list(message.changes))
        outgoing = self.make_pushes(applied)
        if message.changes and message.changes[-1].version > (
            self._state.version
        ):
            pull = messages.Pull(self._state.version)
            outgoing.append(messages.Envelope(sender, pull))
        return outgoing

    def _handle_pull(self, sender, message):
        if message.after >= self._state.version:
            return []
        missing = [
            change
            for change in self._recent_changes
            if change.version > message.after
        ]
        if missing and missing[0].version == message.after + 1:
            reply = messages.Push(tuple(missing))
        else:
            reply = messages.StateTransfer(encode_state(self._state))
        return [messages.Envelope(sender, reply)]

    def _handle_state_transfer(self, sender, message):
        self.adopt_state(decode_state(message.state))
        return []

    def _handle_join(self, sender, message):
        if message.leaving:
            self.leaving_incarnations[message.member.id] = (
                message.member.incarnation
            )
        return []

    def _handle_share_release(self, sender, message):
        self.capacity.receive_release(self.now(), sender, message)
        return []

    def _handle_warm_notice(self, sender, message):
        self.capacity.receive_warm_notice(self.now(), sender, message)
        return []

    def _handle_journal_query(self, sender, message):
        events = self.journal.since(message.since, message.request_id)
        reply = messages.JournalReply(
            message.query_id, encode_events(events[-MAX_REPLY_EVENTS:])
        )
        return [messages.Envelope(sender, reply)]

    def _handle_journal_reply(self, sender, message):
        replies = self._journal_replies.get(message.query_id)
        if replies is not None:
            replies[sender] = decode_events(message.events)
        return []


class GatewayView(NodeView):
    """View for a node's gateway, which also requires an entry in the roster.

    A node may answer callers as soon as it is confirmed, but its shares of
    the backend servers belong to the incarnation in the roster.
    """

    def __init__(self, node: Node) -> None:
        """Wrap a node."""
        self._node = node
        self.node_id = node.node_id
        self.availability_zone = node.availability_zone

    @property
    def state(self) -> ConfigState:
        """Return the node's current configuration."""
        return self._node.state

    @property
    def assignment(self) -> Assignment:
        """Return the assignment computed from the configuration."""
        return self._node.assignment

    def now(self) -> float:
        """Return the time in seconds."""
        return self._node.now()

    def is_live(self, node_id: str) -> bool:
        """Return whether the membership lists the node as alive."""
        return self._node.is_live(node_id)

    def refusal(self) -> Cause | None:
        """Return why the gateway may dispatch nothing, or None."""
        cause = self._node.refusal()
        if cause is None and not self._node.confirmer.may_use_shares(
            self.now()
        ):
            return system_cause(
                ErrorCode.NO_SHARE,
                'this incarnation of the node is not in the roster',
            )
        return cause
