"""Who is alive: probes, suspicions and refutations after SWIM."""

import dataclasses
import random
from collections.abc import Iterable
from collections.abc import Set as AbstractSet
from typing import TYPE_CHECKING

from ibismount._probes import Probe, Record, RelayTable
from ibismount._updates import UpdateQueue, outranks
from ibismount.member import Member
from ibismount.probing import (
    Ack,
    Envelope,
    MemberStatus,
    Ping,
    PingReq,
    ProbeMessage,
)

if TYPE_CHECKING:
    # The lean edge program has no roster and does not load it.
    from ibismount.roster import Roster

__all__ = ('Membership', 'MembershipOptions', 'proposer')


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipOptions:
    """Times in seconds, and bounds of the probing.

    ``max_health`` bounds the local health score; all timeouts are multiplied
    by one more than the score. ``pause_after_s`` is the gap between two calls
    that counts as a pause of this process. ``dead_probe_every`` is the number
    of periods between probes of a dead member; without them the two sides of
    a healed partition would never meet again, so ``forget_after_s`` must
    exceed the longest partition (one hour) by a margin.
    """

    period_s: float = 1.0
    probe_timeout_s: float = 0.3
    suspicion_s: float = 5.0
    remove_after_s: float = 10.0
    pause_after_s: float = 1.0
    forget_after_s: float = 7200.0
    indirect_probes: int = 3
    max_updates: int = 8
    retransmit: int = 3
    max_health: int = 8
    dead_probe_every: int = 5


_DEFAULTS = MembershipOptions()


def proposer(roster: 'Roster', live: AbstractSet[str]) -> str | None:
    """Return the first live member in rank order.

    While the roster has no live member, as at the first start, the first
    live node proposes.
    """
    ranked = min(live & roster.members.keys(), default=None)
    return min(live, default=None) if ranked is None else ranked


class Membership:
    """Keep one node's view of who is alive.

    A node sends one probe per period and answers those it gets, so its load
    does not depend on the number of nodes.

    Args:
        member: This node and its incarnation.
        rng: Chooses whom to probe.
        options: Times and bounds.
    """

    def __init__(
        self,
        member: Member,
        *,
        rng: random.Random,
        options: MembershipOptions = _DEFAULTS,
    ) -> None:
        """Start with this node as the only live one."""
        self._own = MemberStatus(member, 'alive', 0)
        self._rng = rng
        self._options = options
        self._records: dict[str, Record] = {}
        self._queue = UpdateQueue(options.retransmit)
        self._ring: list[str] = []
        self._suspects: set[str] = set()
        self._live: frozenset[str] = frozenset((member.id,))
        self._probe: Probe | None = None
        self._relays = RelayTable()
        self._number = rng.getrandbits(32)
        self._periods = 0
        self._next_period = float('-inf')
        self._health = 0
        self._called_at: float | None = None

    @property
    def health(self) -> int:
        """Return the local health score; 0 is healthy."""
        return self._health

    def seed(self, members: Iterable[Member]) -> None:
        """Take nodes that are probably there; what is known stays."""
        for member in members:
            if member.id != self._own.member.id:
                if member.id not in self._records:
                    self._store(0, MemberStatus(member, 'alive', 0))

    def set_period(self, period_s: float) -> None:
        """Change the time between two probes, in seconds."""
        if period_s != self._options.period_s:
            self._options = dataclasses.replace(
                self._options, period_s=period_s
            )

    def update_own(self, member: Member) -> None:
        """Announce a change of this node to the others."""
        self._own = dataclasses.replace(
            self._own, member=member, sequence=self._own.sequence + 1
        )
        self._queue.put(self._own)

    def undoubted(self) -> dict[str, Member]:
        """Return the live nodes that nobody suspects, by id."""
        return {
            node_id: member
            for node_id, member in self.members().items()
            if node_id not in self._suspects
        }

    def members(self) -> dict[str, Member]:
        """Return all live nodes by id, this one included."""
        found = {
            node_id: record.status.member
            for node_id, record in self._records.items()
            if node_id in self._live
        }
        if self._own.status == 'alive':
            found[self._own.member.id] = self._own.member
        return found

    def lookup(self, node_id: str) -> Member | None:
        """Return what is known of a node, dead or alive."""
        if node_id == self._own.member.id:
            return self._own.member
        record = self._records.get(node_id)
        return record.status.member if record else None

    def live(self, now: float) -> frozenset[str]:
        """Return the nodes believed alive; suspects still count."""
        self._expire(now)
        return self._live

    def dead_since(self, node_id: str) -> float | None:
        """Return when this node took another for dead, None when it lives."""
        record = self._records.get(node_id)
        if record is None or record.status.status not in {'dead', 'left'}:
            return None
        return record.since

    def leave(self, now: float) -> list[Envelope]:
        """Announce that this node ends; it then counts as gone at once."""
        self._note_call(now)
        self._own = dataclasses.replace(
            self._own, status='left', sequence=self._own.sequence + 1
        )
        self._refresh_live()
        others = sorted(self._live)
        chosen = self._rng.sample(
            others, min(self._options.max_updates, len(others))
        )
        return [
            Envelope(to, Ping(self._take_number(), (self._own,)))
            for to in chosen
        ]

    def removal_candidates(self, now: float, roster: 'Roster') -> list[str]:
        """Return the members to take out of the roster in one change.

        A change removes at most a quarter of a zone's members (at least
        one), unless the whole zone is gone. No member of another region is
        removed while that whole region is out of reach: a parted region goes
        on serving, and would lose its shares when it comes back.
        """
        self._expire(now)
        zones: dict[tuple[str, str], list[str]] = {}
        reached: set[str] = {self._own.member.region}
        for member in roster.members.values():
            place = (member.region, member.availability_zone)
            zones.setdefault(place, []).append(member.id)
            if self.dead_since(member.id) is None:
                reached.add(member.region)
        found: list[str] = []
        for (region, _), members in sorted(zones.items()):
            gone = [one for one in sorted(members) if self._is_gone(now, one)]
            limit = max(1, len(members) // 4)
            if len(gone) == len(members):
                limit = len(members)
            if region in reached:
                found.extend(gone[:limit])
        return found

    def proposer(self, roster: 'Roster', live: AbstractSet[str]) -> str | None:
        """Return the node that proposes roster changes."""
        return proposer(roster, live)

    def tick(self, now: float) -> list[Envelope]:
        """Probe the next node and judge the probe that is under way."""
        self._note_call(now)
        self._expire(now)
        if self._own.status == 'left':
            return []
        out: list[Envelope] = []
        probe = self._probe
        if probe and now >= probe.ends_at:
            self._probe = None
            self._missed(now, probe)
        elif probe and now >= probe.indirect_at and not probe.asked:
            probe.asked = True
            out.extend(self._ask_others(probe))
        if self._probe is None and now >= self._next_period:
            self._next_period = now + self._options.period_s
            self._periods += 1
            out.extend(self._start_probe(now))
        return out

    def receive(
        self, now: float, sender: str, message: ProbeMessage
    ) -> list[Envelope]:
        """Take a probe, an answer or a request to probe."""
        self._note_call(now)
        if isinstance(message, Ping):
            self._merge(now, message.updates)
            ack = Ack(message.probe, self._own.member.id, self._updates(sender))
            return [Envelope(sender, ack)]
        if isinstance(message, PingReq):
            return self._relay(now, sender, message)
        if isinstance(message, Ack):
            self._merge(now, message.updates)
            return self._on_ack(sender, message)
        return []

    # Time.

    def _scale(self) -> int:
        return self._health + 1

    def _raise_health(self, score: int) -> None:
        self._health = max(0, min(score, self._options.max_health))

    def _note_call(self, now: float) -> None:
        """Move all deadlines by the length of a pause of this process.

        Answers that arrived meanwhile are still unread, so nothing follows
        from their absence.
        """
        last, self._called_at = self._called_at, now
        if last is None or now - last <= self._options.pause_after_s:
            return
        gap = now - last
        self._raise_health(self._options.max_health)
        for node_id in self._suspects:
            self._records[node_id].since += gap
        if self._probe:
            self._probe.indirect_at += gap
            self._probe.ends_at += gap

    def _expire(self, now: float) -> None:
        limit = self._options.suspicion_s * self._scale()
        for node_id in sorted(self._suspects):
            record = self._records[node_id]
            if now - record.since >= limit:
                self._change(now, record.status, 'dead')

    # Records and updates.

    def _store(self, now: float, update: MemberStatus) -> None:
        node_id = update.member.id
        self._records[node_id] = Record(update, now)
        self._suspects.discard(node_id)
        if update.status == 'suspect':
            self._suspects.add(node_id)
        if (update.status in {'alive', 'suspect'}) != (node_id in self._live):
            self._refresh_live()

    def _refresh_live(self) -> None:
        live = {
            node_id
            for node_id, record in self._records.items()
            if record.status.status in {'alive', 'suspect'}
        }
        if self._own.status == 'alive':
            live.add(self._own.member.id)
        self._live = frozenset(live)

    def _change(self, now: float, old: MemberStatus, status: str) -> None:
        update = dataclasses.replace(old, status=status)
        self._store(now, update)
        self._queue.put(update)

    def _merge(self, now: float, updates: Iterable[MemberStatus]) -> None:
        for update in updates:
            if update.member.id == self._own.member.id:
                self._refute(update)
                continue
            record = self._records.get(update.member.id)
            if record is None or outranks(update, record.status):
                self._store(now, update)
                self._queue.put(update)

    def _refute(self, update: MemberStatus) -> None:
        """Answer an update that says other than this node about itself."""
        if update == self._own or not outranks(update, self._own):
            return
        if update.status == 'suspect':
            # Others missed answers of this node, so it may be slow itself.
            self._raise_health(self._health + 1)
        self._own = dataclasses.replace(self._own, sequence=update.sequence + 1)
        self._queue.put(self._own)

    def _updates(self, to: str) -> tuple[MemberStatus, ...]:
        """Choose updates for a message.

        It always tells what this node is, so that a restarted node replaces
        its former incarnation, and what the receiver has to refute.
        """
        chosen = {self._own.member.id: self._own}
        record = self._records.get(to)
        if record and record.status.status != 'alive':
            chosen[to] = record.status
        room = self._options.max_updates - len(chosen)
        for update in self._queue.take(room, len(self._live)):
            chosen.setdefault(update.member.id, update)
        return tuple(chosen.values())

    # Probes.

    def _take_number(self) -> int:
        self._number += 1
        return self._number

    def _start_probe(self, now: float) -> list[Envelope]:
        out = []
        if self._periods % self._options.dead_probe_every == 0:
            out.extend(self._probe_dead(now))
        target = self._next_target()
        if target is None:
            return out
        scale = self._scale()
        self._probe = Probe(
            self._take_number(),
            target,
            now + self._options.probe_timeout_s * scale,
            now + self._options.period_s * scale,
        )
        out.append(
            Envelope(target, Ping(self._probe.number, self._updates(target)))
        )
        return out

    def _next_target(self) -> str | None:
        """Return each live node once, in random order, before any again."""
        while self._ring:
            target = self._ring.pop()
            if target in self._live:
                return target
        self._ring = sorted(self._live - {self._own.member.id})
        self._rng.shuffle(self._ring)
        return self._ring.pop() if self._ring else None

    def _probe_dead(self, now: float) -> list[Envelope]:
        dead = sorted(self._records.keys() - self._live)
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
            Envelope(target, Ping(self._take_number(), self._updates(target)))
        ]

    def _ask_others(self, probe: Probe) -> list[Envelope]:
        others = sorted(self._live - {self._own.member.id, probe.target})
        count = min(self._options.indirect_probes, len(others))
        return [
            Envelope(helper, PingReq(probe.number, probe.target))
            for helper in self._rng.sample(others, count)
        ]

    def _relay(
        self, now: float, sender: str, request: PingReq
    ) -> list[Envelope]:
        number = self._take_number()
        expires_at = now + self._options.suspicion_s
        self._relays.add(now, number, sender, request, expires_at)
        updates = self._updates(request.target)
        return [Envelope(request.target, Ping(number, updates))]

    def _on_ack(self, sender: str, ack: Ack) -> list[Envelope]:
        relay = self._relays.take(ack.probe, sender)
        if relay:
            updates = self._updates(relay.asker)
            return [Envelope(relay.asker, Ack(relay.number, sender, updates))]
        probe = self._probe
        if probe and (probe.number, probe.target) == (ack.probe, ack.target):
            self._probe = None
            self._raise_health(self._health - 1)
        return []

    def _missed(self, now: float, probe: Probe) -> None:
        self._raise_health(self._health + 1)
        record = self._records.get(probe.target)
        if record and record.status.status == 'alive':
            self._change(now, record.status, 'suspect')
            # Probe it again next, to give it the suspicion to refute.
            self._ring.append(probe.target)

    def _is_gone(self, now: float, node_id: str) -> bool:
        since = self.dead_since(node_id)
        if since is None:
            return False
        if self._records[node_id].status.status == 'left':
            return True
        return now - since >= self._options.remove_after_s
