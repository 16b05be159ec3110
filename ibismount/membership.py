"""SWIM membership: probes, suspicions and refutations."""

import dataclasses
import itertools
import random
from collections.abc import Iterable, Sequence
from collections.abc import Set as AbstractSet
from typing import TYPE_CHECKING

from ibismount._local_health import LocalHealth
from ibismount._probe_records import MemberRecord, PendingProbe, RelayTable
from ibismount._update_queue import UpdateQueue, supersedes
from ibismount.member import Member
from ibismount.probe_messages import (
    Ack,
    Envelope,
    MemberStatus,
    Ping,
    PingReq,
    ProbeMessage,
)

if TYPE_CHECKING:
    # Not imported at run time: the edge program has no roster, and should not
    # load the module.
    from ibismount.roster import Roster

__all__ = ('Membership', 'MembershipOptions', 'select_proposer')


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipOptions:
    """Times in seconds, and limits.

    ``max_health_score`` limits the local health score; all timeouts are
    multiplied by the score plus one. ``pause_threshold_s`` is the gap between
    two calls that counts as a pause of this process.
    ``periods_per_dead_probe`` is the number of periods between probes of a
    dead node. Without these probes the two sides of a healed partition would
    never find each other again. ``forget_after_s`` must therefore exceed the
    longest partition (one hour) by a margin.
    """

    period_s: float = 1.0
    probe_timeout_s: float = 0.3
    suspicion_timeout_s: float = 5.0
    remove_after_s: float = 10.0
    pause_threshold_s: float = 1.0
    forget_after_s: float = 7200.0
    indirect_probes: int = 3
    max_updates: int = 8
    retransmit_factor: int = 3
    max_health_score: int = 8
    periods_per_dead_probe: int = 5


_DEFAULT_OPTIONS = MembershipOptions()


def select_proposer(roster: 'Roster', live_ids: AbstractSet[str]) -> str | None:
    """Return the node that proposes roster changes: the lowest live member.

    If no roster member is live, as at the first start, the live node with the
    lowest id proposes.
    """
    lowest = min(live_ids & roster.members.keys(), default=None)
    return min(live_ids, default=None) if lowest is None else lowest


class Membership:
    """Track which nodes are alive, from the view of one node.

    A node sends one probe per period and answers the probes that it receives,
    so its load does not depend on the number of nodes.

    Args:
        member: This node.
        rng: Chooses the probe targets.
        options: Times and limits.
    """

    def __init__(
        self,
        member: Member,
        *,
        rng: random.Random,
        options: MembershipOptions = _DEFAULT_OPTIONS,
    ) -> None:
        """Start with this node as the only live node."""
        self._own_status = MemberStatus(member, 'alive', 0)
        self._rng = rng
        self._options = options
        self._records: dict[str, MemberRecord] = {}
        self._queue = UpdateQueue(options.retransmit_factor)
        self._probe_order: list[str] = []
        self._suspects: set[str] = set()
        self._live_ids: frozenset[str] = frozenset((member.id,))
        # Number of changes to any node's status: what is derived from the
        # nodes stays valid until it rises.
        self.change_count = 0
        self._pending_probe: PendingProbe | None = None
        self._relays = RelayTable()
        self._probe_numbers = itertools.count(rng.getrandbits(32) + 1)
        self._period_count = 0
        self._next_period_at = float('-inf')
        self._health = LocalHealth(options.max_health_score)
        self._last_call_at: float | None = None

    def add_seeds(self, members: Iterable[Member]) -> None:
        """Add unknown nodes as alive; records of known nodes stay."""
        for member in members:
            if member.id != self._own_status.member.id:
                if member.id not in self._records:
                    self._store_record(0, MemberStatus(member, 'alive', 0))

    def set_period(self, period_s: float) -> None:
        """Change the time between two probes, in seconds."""
        if period_s != self._options.period_s:
            self._options = dataclasses.replace(
                self._options, period_s=period_s
            )

    def update_own(self, member: Member) -> None:
        """Announce a change of this node's description."""
        self._own_status = dataclasses.replace(
            self._own_status,
            member=member,
            sequence=self._own_status.sequence + 1,
        )
        self.change_count += 1
        self._queue.put(self._own_status)

    def unsuspected_members(self) -> dict[str, Member]:
        """Return the live nodes that are not suspected, by id."""
        return {
            node_id: member
            for node_id, member in self.live_members().items()
            if node_id not in self._suspects
        }

    def live_members(self) -> dict[str, Member]:
        """Return all live nodes by id, suspects and this node included."""
        members = {
            node_id: record.status.member
            for node_id, record in self._records.items()
            if node_id in self._live_ids
        }
        if self._own_status.status == 'alive':
            members[self._own_status.member.id] = self._own_status.member
        return members

    def lookup(self, node_id: str) -> Member | None:
        """Return a known node, dead or alive."""
        if node_id == self._own_status.member.id:
            return self._own_status.member
        record = self._records.get(node_id)
        return record.status.member if record else None

    def statuses(self) -> tuple[MemberStatus, ...]:
        """Return the status of every known node, this one first."""
        return (
            self._own_status,
            *(record.status for record in self._records.values()),
        )

    def take_new_updates(self) -> tuple[MemberStatus, ...]:
        """Return the updates found out since the last call.

        Updates that came by `merge_from_link` are not among them.
        """
        return self._queue.take_new()

    def unconfirmed_updates(self) -> tuple[MemberStatus, ...]:
        """Return the updates that no link has returned yet."""
        return self._queue.unconfirmed()

    def merge_from_link(
        self, now: float, updates: Iterable[MemberStatus]
    ) -> list[MemberStatus]:
        """Merge updates that all linked nodes get, so probes need not carry them.

        Returns:
            The updates that were new to this node.
        """
        newer = []
        for update in updates:
            node_id = update.member.id
            if node_id == self._own_status.member.id:
                if update == self._own_status:
                    self._queue.discard(node_id)
                self._refute(update)
                continue
            record = self._records.get(node_id)
            if record is None or supersedes(update, record.status):
                self._store_record(now, update)
                self._queue.discard(node_id)
                newer.append(update)
            elif update == record.status:
                self._queue.discard(node_id)
        return newer

    def make_pings(
        self, to: str, updates: Sequence[MemberStatus] = ()
    ) -> list[Envelope]:
        """Return probes that tell a node this one's status and some updates."""
        per_probe = self._options.max_updates - 1
        return [
            Envelope(
                to,
                Ping(
                    next(self._probe_numbers),
                    (self._own_status, *updates[start : start + per_probe]),
                ),
            )
            for start in range(0, max(1, len(updates)), per_probe)
        ]

    def live_ids(self, now: float) -> frozenset[str]:
        """Return the ids of the live nodes; suspects still count as live."""
        self._expire_suspicions(now)
        return self._live_ids

    def dead_since(self, node_id: str) -> float | None:
        """Return when a node was found dead or gone; None if it is not."""
        record = self._records.get(node_id)
        if record is None or record.status.status not in {'dead', 'left'}:
            return None
        return record.since

    def leave(self, now: float) -> list[Envelope]:
        """Announce that this node shuts down; peers drop it at once."""
        self._detect_pause(now)
        self._own_status = dataclasses.replace(
            self._own_status,
            status='left',
            sequence=self._own_status.sequence + 1,
        )
        self.change_count += 1
        self._queue.put(self._own_status)
        self._update_live_ids()
        others = sorted(self._live_ids)
        chosen = self._rng.sample(
            others, min(self._options.max_updates, len(others))
        )
        return [ping for to in chosen for ping in self.make_pings(to)]

    def removal_candidates(self, now: float, roster: 'Roster') -> list[str]:
        """Return the members to remove from the roster in one change.

        A change removes at most a quarter of a zone's members (at least one),
        unless the whole zone is gone. No member of another region is removed
        while that whole region is unreachable: a partitioned region goes on
        serving, and would lose its shares when the partition heals.
        """
        self._expire_suspicions(now)
        zones: dict[tuple[str, str], list[str]] = {}
        reachable_regions: set[str] = {self._own_status.member.region}
        for member in roster.members.values():
            zone_key = (member.region, member.availability_zone)
            zones.setdefault(zone_key, []).append(member.id)
            if self.dead_since(member.id) is None:
                reachable_regions.add(member.region)
        candidates: list[str] = []
        for (region, _), members in sorted(zones.items()):
            removable = [
                node_id
                for node_id in sorted(members)
                if self._is_removable(now, node_id)
            ]
            limit = max(1, len(members) // 4)
            if len(removable) == len(members):
                limit = len(members)
            if region in reachable_regions:
                candidates.extend(removable[:limit])
        return candidates

    def select_proposer(
        self, roster: 'Roster', live_ids: AbstractSet[str]
    ) -> str | None:
        """Return the node that proposes roster changes."""
        return select_proposer(roster, live_ids)

    def tick(self, now: float) -> list[Envelope]:
        """Advance the pending probe, and start the next one when it is due."""
        self._detect_pause(now)
        self._expire_suspicions(now)
        if self._own_status.status == 'left':
            return []
        envelopes: list[Envelope] = []
        probe = self._pending_probe
        if probe and now >= probe.deadline_at:
            self._pending_probe = None
            self._handle_missed_probe(now, probe)
        elif probe and now >= probe.indirect_at and not probe.indirect_sent:
            probe.indirect_sent = True
            envelopes.extend(self._request_indirect_probes(probe))
        if self._pending_probe is None and now >= self._next_period_at:
            self._next_period_at = now + self._options.period_s
            self._period_count += 1
            envelopes.extend(self._probe_next(now))
        return envelopes

    def receive(
        self, now: float, sender: str, message: ProbeMessage
    ) -> list[Envelope]:
        """Handle a probe message and return the messages to send."""
        self._detect_pause(now)
        if isinstance(message, Ping):
            self._merge_updates(now, message.updates)
            ack = Ack(
                message.probe,
                self._own_status.member.id,
                self._select_updates(sender),
            )
            return [Envelope(sender, ack)]
        if isinstance(message, PingReq):
            return self._relay_probe(now, sender, message)
        if isinstance(message, Ack):
            self._merge_updates(now, message.updates)
            return self._handle_ack(sender, message)
        return []

    # Timeouts.

    def _detect_pause(self, now: float) -> None:
        """Extend all deadlines by the length of a pause of this process.

        Answers that arrived during the pause are still unread, so a missing
        answer does not show that a node is dead.
        """
        last_call_at, self._last_call_at = self._last_call_at, now
        if (
            last_call_at is None
            or now - last_call_at <= self._options.pause_threshold_s
        ):
            return
        pause_s = now - last_call_at
        self._health.set_worst()
        for node_id in self._suspects:
            self._records[node_id].since += pause_s
        if self._pending_probe:
            self._pending_probe.indirect_at += pause_s
            self._pending_probe.deadline_at += pause_s

    def _expire_suspicions(self, now: float) -> None:
        timeout_s = (
            self._options.suspicion_timeout_s * self._health.timeout_factor
        )
        for node_id in sorted(self._suspects):
            record = self._records[node_id]
            if now - record.since >= timeout_s:
                self._set_status(now, record.status, 'dead')

    # Records and updates.

    def _store_record(self, now: float, update: MemberStatus) -> None:
        node_id = update.member.id
        self.change_count += 1
        self._records[node_id] = MemberRecord(update, now)
        self._suspects.discard(node_id)
        if update.status == 'suspect':
            self._suspects.add(node_id)
        if (update.status in {'alive', 'suspect'}) != (
            node_id in self._live_ids
        ):
            self._update_live_ids()

    def _update_live_ids(self) -> None:
        live_ids = {
            node_id
            for node_id, record in self._records.items()
            if record.status.status in {'alive', 'suspect'}
        }
        if self._own_status.status == 'alive':
            live_ids.add(self._own_status.member.id)
        self._live_ids = frozenset(live_ids)

    def _set_status(self, now: float, old: MemberStatus, status: str) -> None:
        update = dataclasses.replace(old, status=status)
        self._store_record(now, update)
        self._queue.put(update)

    def _merge_updates(
        self, now: float, updates: Iterable[MemberStatus]
    ) -> None:
        for update in updates:
            if update.member.id == self._own_status.member.id:
                self._refute(update)
                continue
            record = self._records.get(update.member.id)
            if record is None or supersedes(update, record.status):
                self._store_record(now, update)
                self._queue.put(update)

    def _refute(self, update: MemberStatus) -> None:
        """Raise this node's sequence if an update overrides its own status."""
        if update == self._own_status or not supersedes(
            update, self._own_status
        ):
            return
        if update.status == 'suspect':
            # Another node missed an answer, so this node may be slow.
            self._health.worsen()
        self._own_status = dataclasses.replace(
            self._own_status, sequence=update.sequence + 1
        )
        self._queue.put(self._own_status)

    def _select_updates(self, to: str) -> tuple[MemberStatus, ...]:
        """Return the updates to piggyback on a message to a node.

        They always include this node's own status, so that a restarted node
        replaces its former incarnation, and the receiver's status if the
        receiver has to refute it.
        """
        chosen = {self._own_status.member.id: self._own_status}
        record = self._records.get(to)
        if record and record.status.status != 'alive':
            chosen[to] = record.status
        free_slots = self._options.max_updates - len(chosen)
        for update in self._queue.take_next(free_slots, len(self._live_ids)):
            chosen.setdefault(update.member.id, update)
        return tuple(chosen.values())

    # Probes.

    def _probe_next(self, now: float) -> list[Envelope]:
        envelopes = []
        if self._period_count % self._options.periods_per_dead_probe == 0:
            envelopes.extend(self._probe_dead(now))
        target = self._next_target()
        if target is None:
            return envelopes
        timeout_factor = self._health.timeout_factor
        self._pending_probe = PendingProbe(
            next(self._probe_numbers),
            target,
            now + self._options.probe_timeout_s * timeout_factor,
            now + self._options.period_s * timeout_factor,
        )
        envelopes.append(
            Envelope(
                target,
                Ping(self._pending_probe.number, self._select_updates(target)),
            )
        )
        return envelopes

    def _next_target(self) -> str | None:
        """Return the next live node of a random order without repetition.

        Every live node is probed once before a new random order starts.
        """
        while self._probe_order:
            target = self._probe_order.pop()
            if target in self._live_ids:
                return target
        self._probe_order = sorted(
            self._live_ids - {self._own_status.member.id}
        )
        self._rng.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else None

    def _probe_dead(self, now: float) -> list[Envelope]:
        dead = sorted(self._records.keys() - self._live_ids)
        for node_id in dead:
            if (
                now - self._records[node_id].since
                > self._options.forget_after_s
            ):
                self._records.pop(node_id)
        dead = [node_id for node_id in dead if node_id in self._records]
        if not dead:
            return []
        target = self._rng.choice(dead)
        return [
            Envelope(
                target,
                Ping(next(self._probe_numbers), self._select_updates(target)),
            )
        ]

    def _request_indirect_probes(self, probe: PendingProbe) -> list[Envelope]:
        others = sorted(
            self._live_ids - {self._own_status.member.id, probe.target}
        )
        count = min(self._options.indirect_probes, len(others))
        return [
            Envelope(helper, PingReq(probe.number, probe.target))
            for helper in self._rng.sample(others, count)
        ]

    def _relay_probe(
        self, now: float, sender: str, request: PingReq
    ) -> list[Envelope]:
        number = next(self._probe_numbers)
        expires_at = now + self._options.suspicion_timeout_s
        self._relays.add(now, number, sender, request, expires_at)
        updates = self._select_updates(request.target)
        return [Envelope(request.target, Ping(number, updates))]

    def _handle_ack(self, sender: str, ack: Ack) -> list[Envelope]:
        relay = self._relays.pop_answered(ack.probe, sender)
        if relay:
            updates = self._select_updates(relay.requester)
            return [
                Envelope(relay.requester, Ack(relay.number, sender, updates))
            ]
        probe = self._pending_probe
        if probe and (probe.number, probe.target) == (ack.probe, ack.target):
            self._pending_probe = None
            self._health.improve()
        return []

    def _handle_missed_probe(self, now: float, probe: PendingProbe) -> None:
        self._health.worsen()
        record = self._records.get(probe.target)
        if record and record.status.status == 'alive':
            self._set_status(now, record.status, 'suspect')
            # Probe it again next, so that it can refute the suspicion.
            self._probe_order.append(probe.target)

    def _is_removable(self, now: float, node_id: str) -> bool:
        since = self.dead_since(node_id)
        if since is None:
            return False
        if self._records[node_id].status.status == 'left':
            return True
        return now - since >= self._options.remove_after_s
