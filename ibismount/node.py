"""One node: its control tables, the systems that run over them each tick."""

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
from ibismount.link import Peers
from ibismount.logs import part_logger
from ibismount.membership import Membership
from ibismount.node_view import NodeView
from ibismount.quarantine import Quarantine
from ibismount.roster import Member

__all__ = ('GatewayView', 'Node', 'NodeOptions', 'boot_time')

log = part_logger('control')
# Changes that move shares.
_MAPPED = frozenset((ChangeKind.ROSTER, ChangeKind.CATALOG))
# A node that catches up with more maps at once takes only the last one.
MAX_MAPS = 4
# A timeline asks this many peers, each for its latest events, so that one
# question does not load a large fleet.
MAX_ASKED = 16
CONFIRM_TTL_S = ConfirmOptions().confirm_ttl_s
MAX_EVENTS = 500


def boot_time() -> float:
    """Return seconds since boot, counting time that the VM was suspended.

    A confirmation must lapse during a suspension as well, and
    CLOCK_MONOTONIC stands still then.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(frozen=True, slots=True)
class NodeOptions:
    """Periods in seconds."""

    tick_s: float = 0.05
    # Changes kept to answer pulls; older ones are served as a whole state.
    recent_changes: int = 512


_DEFAULTS = NodeOptions()


class Node(NodeView):
    """Own the control tables of a node and keep them consistent.

    Args:
        member: The node itself, with its incarnation.
        changelog: The change log in the platform.
        rng: Source of randomness.
        clock: Monotonic seconds.
        unix: Unix seconds, for journals and causes.
    """

    def __init__(
        self,
        member: Member,
        *,
        changelog: ChangeLog,
        rng: random.Random,
        clock: Callable[[], float] = boot_time,
        unix: Callable[[], float] = time.time,
        options: NodeOptions = _DEFAULTS,
    ) -> None:
        """Create empty tables; `start` fills them."""
        self.member = member
        self.node_id = member.id
        self.availability_zone = member.availability_zone
        self.changelog = changelog
        self.options = options
        self.unix = unix
        self.shutting_down = False
        self.leaving: dict[str, int] = {}
        self.state_written = 0
        self.servers: dict[str, BackendServer] = {}
        self._clock = clock
        self._state = ConfigState()
        self._assignment = Assignment()
        self._assigner = Assigner()
        self._accepted_seen = 0
        self._recent: deque[Change] = deque(maxlen=options.recent_changes)
        self.membership = Membership(member, rng=rng)
        self.quarantine = Quarantine(unix_offset=unix() - clock())
        self.confirmer = Confirmer(
            member,
            self._state,
            quarantine=self.quarantine,
            lookup=self.membership.lookup,
        )
        self.capacity = CapacityTable(member.id)
        self.journal = Journal()
        self.peers: Peers | None = None
        self._replies: dict[int, dict[str, list[Event]]] = {}
        self._queries = 0
        self._handlers = {
            messages.Ping: self._probe,
            messages.Ack: self._probe,
            messages.PingReq: self._probe,
            messages.RoundDown: self._round,
            messages.RoundUp: self._round,
            messages.RegionAccepted: self._round,
            messages.Push: self._push,
            messages.Pull: self._pull,
            messages.StateTransfer: self._state_transfer,
            messages.Join: self._join,
            messages.ShareRelease: self._share_release,
            messages.WarmNotice: self._warm_notice,
            messages.JournalQuery: self._journal_query,
            messages.JournalReply: self._journal_reply,
        }

    @property
    def state(self) -> ConfigState:
        """Return the configuration that the node holds."""
        return self._state

    @property
    def assignment(self) -> Assignment:
        """Return the assignment that follows from the configuration."""
        return self._assignment

    def now(self) -> float:
        """Return the time in seconds."""
        return self._clock()

    def is_live(self, node_id: str) -> bool:
        """Tell whether membership believes the node to be alive."""
        return node_id in self.live()

    def live(self) -> frozenset[str]:
        """Return the ids of all nodes believed alive, this one included."""
        return self.membership.live_ids(self.now())

    def refusal(self) -> Cause | None:
        """Return why the node may take no new work, or None."""
        if not self.confirmer.is_confirmed(self.now()):
            return system_cause(
                ErrorCode.UNCONFIRMED,
                f'no quorum round and no platform read for {CONFIRM_TTL_S:g} s',
            )
        if self.shutting_down:
            return system_cause(ErrorCode.SHUTTING_DOWN, 'the node stops')
        if not self._state.zone_in_service(self.availability_zone):
            zone = self._state.zones[self.availability_zone]
            return zone.cause(ErrorCode.ZONE_OUT)
        if not self._state.vm_in_service(self.node_id):
            return self._state.vms[self.node_id].cause(ErrorCode.VM_OUT)
        return None

    def tick(self) -> list[messages.Envelope]:
        """Run every system once and return what has to be sent."""
        now = self.now()
        live = self.membership.live_ids(now)
        outgoing = [
            *self.membership.tick(now),
            *self.confirmer.tick(now, live),
            *self.capacity.tick(now),
        ]
        self._note_acceptance(now)
        return outgoing

    def receive(
        self, sender: str, message: messages.Message
    ) -> list[messages.Envelope]:
        """Handle one control message and return what has to be sent."""
        handler = self._handlers.get(type(message))
        if handler is None:
            raise IbismountError(
                ErrorCode.FRAME_INVALID,
                f'{type(message).__name__} is not a control message',
                place=f'link from {sender}',
            )
        outgoing = handler(sender, message)
        self._note_acceptance(self.now())
        return outgoing

    async def send(self, envelopes: list[messages.Envelope]) -> None:
        """Send envelopes over the links; lost ones are repaired by rounds."""
        for envelope in envelopes:
            try:
                await self.peers.send(envelope.to, envelope.message)
            except IbismountError as exc:
                log.error('message to %s not sent: %s', envelope.to, exc)

    def adopt_state(self, state: ConfigState) -> bool:
        """Take over a whole state if it is newer; tell whether it was."""
        if state.version <= self._state.version:
            return False
        self._state.replace_with(state)
        self._recent.clear()
        self._remap(skipped=True)
        return True

    def apply_changes(self, changes: list[Change]) -> list[Change]:
        """Apply the changes that follow the held version; return those."""
        applied = []
        maps = 0
        for change in sorted(changes, key=lambda one: one.version):
            if change.version != self._state.version + 1:
                continue
            apply_or_skip(self._state, change)
            self._recent.append(change)
            applied.append(change)
            if change.kind in _MAPPED:
                maps += 1
                if maps <= MAX_MAPS:
                    self._remap()
        if maps > MAX_MAPS:
            self._remap(skipped=True)
        return applied

    def spread(self, changes: list[Change]) -> list[messages.Envelope]:
        """Push changes to this node's children in the dissemination tree."""
        if not changes:
            return []
        push = messages.Push(tuple(changes))
        return [
            messages.Envelope(node_id, push)
            for node_id in self.confirmer.push_targets(self.live())
        ]

    async def commit(self, proposal: Proposal) -> CommitResult:
        """Commit a change, hold it and push it to other nodes."""
        result = await self.changelog.commit(lambda: self._state, proposal)
        if result.status is CommitStatus.COMMITTED:
            self.apply_changes([result.change])
            await self.send(self.spread([result.change]))
        return result

    def record_act(
        self,
        part: str,
        text: str,
        *,
        cause: Cause | None = None,
        request_id: str = '',
        trace_id: str = '',
    ) -> None:
        """Write an act of the system into the journal."""
        self.journal.record(
            Event(
                at=self.unix(),
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
            request_id: Only this request's events, or all when empty.
            wait_s: How long to wait for the peers, in seconds.

        Returns:
            Events by node id; a peer that did not answer is left out.
        """
        self._queries += 1
        query = messages.JournalQuery(self._queries, since, request_id)
        others = sorted(self.live() - {self.node_id})[:MAX_ASKED]
        found = {self.node_id: self.journal.since(since, request_id)}
        self._replies[query.query_id] = found
        await self.send([messages.Envelope(one, query) for one in others])
        with anyio.move_on_after(wait_s):
            while len(found) <= len(others):
                await anyio.sleep(self.options.tick_s)
        return self._replies.pop(query.query_id)

    def _remap(self, *, skipped: bool = False) -> None:
        """Follow the configuration with a new map.

        The table of shares has to see every map, because a share may have
        moved and come back; ``skipped`` makes it gain all shares anew.
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
        self.capacity.apply(
            self.now(), self._assignment, self.servers, skipped=skipped
        )
        self.membership.add_seeds(self._state.roster.members.values())

    def _note_acceptance(self, now: float) -> None:
        accepted = self.confirmer.accepted_version
        if accepted > self._accepted_seen:
            self._accepted_seen = accepted
            self.capacity.accepted(now, accepted)

    def _probe(self, sender, message):
        return self.membership.receive(self.now(), sender, message)

    def _round(self, sender, message):
        return self.confirmer.receive(self.now(), sender, message)

    def _push(self, sender, message):
        applied = self.apply_changes(list(message.changes))
        outgoing = self.spread(applied)
        if message.changes and message.changes[-1].version > (
            self._state.version
        ):
            pull = messages.Pull(self._state.version)
            outgoing.append(messages.Envelope(sender, pull))
        return outgoing

    def _pull(self, sender, message):
        if message.after >= self._state.version:
            return []
        missing = [one for one in self._recent if one.version > message.after]
        if missing and missing[0].version == message.after + 1:
            reply = messages.Push(tuple(missing))
        else:
            reply = messages.StateTransfer(encode_state(self._state))
        return [messages.Envelope(sender, reply)]

    def _state_transfer(self, sender, message):
        self.adopt_state(decode_state(message.state))
        return []

    def _join(self, sender, message):
        if message.leaving:
            self.leaving[message.member.id] = message.member.incarnation
        return []

    def _share_release(self, sender, message):
        self.capacity.released(self.now(), sender, message)
        return []

    def _warm_notice(self, sender, message):
        self.capacity.warm_notice(self.now(), sender, message)
        return []

    def _journal_query(self, sender, message):
        events = self.journal.since(message.since, message.request_id)
        reply = messages.JournalReply(
            message.query_id, encode_events(events[-MAX_EVENTS:])
        )
        return [messages.Envelope(sender, reply)]

    def _journal_reply(self, sender, message):
        waiting = self._replies.get(message.query_id)
        if waiting is not None:
            waiting[sender] = decode_events(message.events)
        return []


class GatewayView(NodeView):
    """The view of a node's gateway: it also needs a place in the roster.

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
        """Return the configuration that the node holds."""
        return self._node.state

    @property
    def assignment(self) -> Assignment:
        """Return the assignment that follows from the configuration."""
        return self._node.assignment

    def now(self) -> float:
        """Return the time in seconds."""
        return self._node.now()

    def is_live(self, node_id: str) -> bool:
        """Tell whether membership believes the node to be alive."""
        return self._node.is_live(node_id)

    def refusal(self) -> Cause | None:
        """Return why the gateway may dispatch nothing, or None."""
        cause = self._node.refusal()
        if cause is None and not self._node.confirmer.may_use_shares(
            self.now()
        ):
            return system_cause(
                ErrorCode.NO_SHARE, 'this incarnation is not in the roster'
            )
        return cause
