"""The confirmation rounds that a coordinator runs."""

from collections.abc import Callable

from ibismount._confirmation_context import ConfirmationContext
from ibismount._rounds import Collection, judge
from ibismount.messages import (
    Envelope,
    RegionAccepted,
    RoundDown,
    RoundResult,
    RoundUp,
)
from ibismount.roster import Member
from ibismount.round_tree import LEAF_LEVEL, coordinators
from ibismount.standing import NEVER

__all__ = ('OwnRounds',)


class OwnRounds:
    """Start rounds, collect their answers and tell the results.

    Args:
        ctx: The node.
        lookup: Finds a live node that is not in the roster.
    """

    def __init__(
        self,
        ctx: ConfirmationContext,
        lookup: Callable[[str], Member | None] | None,
    ) -> None:
        """Start without a round."""
        self._ctx = ctx
        self._lookup = lookup
        # Numbers of an earlier incarnation must not come again, or a late
        # answer to it would count in a round of this one.
        self._round = (ctx.member.incarnation & 0x7FFFFFFF) << 20
        self._next_round = NEVER
        self._next_region = NEVER
        self._own: Collection | None = None
        self._last_result = RoundResult(0, 0, 0)
        self._to_store: int | None = None

    def take_accepted_to_store(self) -> int | None:
        """Return, once, the version to write to ``accepted/<region>``."""
        version, self._to_store = self._to_store, None
        return version

    def end_due(self, now: float) -> None:
        """End the round whose time is over."""
        if self._own and not self._own.done and now >= self._own.due:
            self._finish(now, self._own)

    def coordinate(self, now: float) -> list[Envelope]:
        """Start what is due of a coordinator's work."""
        out: list[Envelope] = []
        if now >= self._next_round:
            late = now - self._next_round > self._ctx.options.round_period_s
            start = now if late else self._next_round
            self._next_round = start + self._ctx.options.round_period_s
            out.extend(self._start_round(now))
        if now >= self._next_region:
            self._next_region = now + self._ctx.options.region_period_s
            out.extend(self._tell_regions(now))
        return out

    def _start_round(self, now: float) -> list[Envelope]:
        previous = self._own
        if previous and not previous.done:
            self._finish(now, previous)
        self._round += 1
        found = Collection(
            coordinator=self._ctx.member.id,
            round=self._round,
            accepted=self._ctx.accepted.here,
            started=now,
            due=now + self._ctx.options.round_timeout_s,
        )
        self._own = found
        self._ctx.add_own_version(now, found)
        children = self._ctx.tree.children(
            self._ctx.member.id, 0, self._ctx.live
        )
        fresh = self._unlisted()
        found.waiting.update(children, fresh)
        in_time = set()
        if previous and previous.round == self._round - 1:
            in_time = previous.answered
        out = [
            Envelope(child, self._down(now, child in in_time, 1))
            for child in children
        ]
        out.extend(
            Envelope(node_id, self._down(now, node_id in in_time, LEAF_LEVEL))
            for node_id in fresh
        )
        if not found.waiting:
            self._finish(now, found)
        return out

    def _down(self, now: float, included: bool, level: int) -> RoundDown:
        return RoundDown(
            coordinator=self._ctx.member.id,
            coordinator_incarnation=self._ctx.member.incarnation,
            region=self._ctx.member.region,
            round=self._round,
            accepted=self._own.accepted if self._own else 0,
            version=self._ctx.state.version,
            result=self._last_result,
            included=included,
            quarantined=self._ctx.hook.active(now),
            level=level,
        )

    def _unlisted(self) -> list[str]:
        """Return live nodes of this zone that the roster does not name."""
        if self._lookup is None:
            return []
        found = []
        for node_id in sorted(
            self._ctx.live - self._ctx.state.roster.members.keys()
        ):
            member = self._lookup(node_id)
            if member and _same_place(member, self._ctx.member):
                found.append(node_id)
        return found

    def take_answer(self, now: float, sender: str, up: RoundUp) -> None:
        """Take the answer of a child."""
        found = self._own
        if found is None or found.done or found.round != up.round:
            return
        # After a pause, answers of a restarted node could follow those of its
        # former incarnation; within the timeout they cannot (``settle_s``).
        if now < found.due:
            found.add(sender, up)
        if now >= found.due or not found.waiting:
            self._finish(now, found)

    def _finish(self, now: float, found: Collection) -> None:
        found.done = True
        outcome = judge(
            found,
            self._ctx.state,
            self._ctx.member.region,
            confirm_size=self._ctx.options.confirm_quorum,
        )
        if outcome.confirmed:
            self._ctx.standing.confirm(outcome.confirmed, found.started, now)
        self._ctx.accepted.learn(self._ctx.member.region, outcome.accepted)
        if outcome.accepted_roster:
            self._to_store = outcome.accepted
        self._ctx.hook.merge(now, found.losses)
        self._last_result = RoundResult(
            round=found.round,
            confirmed_version=outcome.confirmed,
            accepted_version=self._ctx.accepted.here,
            regions=self._ctx.accepted.pairs(),
        )

    def _tell_regions(self, now: float) -> list[Envelope]:
        own = self._ctx.member.region
        notice = RegionAccepted(
            own, self._ctx.accepted.here, self._ctx.hook.active(now)
        )
        roster = self._ctx.state.roster
        return [
            Envelope(node_id, notice)
            for region in roster.region_names()
            if region != own
            for node_id in coordinators(roster, self._ctx.live, region).values()
        ]


def _same_place(one: Member, other: Member) -> bool:
    return (one.region, one.availability_zone) == (
        other.region,
        other.availability_zone,
    )
