"""The coordinator's side of the confirmation rounds."""

from collections.abc import Callable

from ibismount._confirmation_context import ConfirmationContext
from ibismount._round_tally import RoundTally, evaluate_round
from ibismount.confirmation_status import NEVER
from ibismount.dissemination_tree import LEAF_LEVEL, zone_coordinators
from ibismount.messages import (
    Envelope,
    RegionAccepted,
    RoundDown,
    RoundResult,
    RoundUp,
)
from ibismount.roster import Member

__all__ = ('RoundCoordinator',)


class RoundCoordinator:
    """Start rounds, collect the answers and publish the results.

    Args:
        ctx: State that the node's confirmation parts share.
        lookup: Returns a live node that is not in the roster, or None.
    """

    def __init__(
        self,
        ctx: ConfirmationContext,
        lookup: Callable[[str], Member | None] | None,
    ) -> None:
        """Start before the first round."""
        self._ctx = ctx
        self._lookup = lookup
        # Round numbers of an earlier incarnation must not be reused, or a
        # late answer to such a round would be counted in a new one.
        self._round_number = (ctx.member.incarnation & 0x7FFFFFFF) << 20
        self._next_round_at = NEVER
        self._next_region_notice_at = NEVER
        self._tally: RoundTally | None = None
        self._last_result = RoundResult(0, 0, 0)
        self._version_to_store: int | None = None

    def take_accepted_to_store(self) -> int | None:
        """Return the version to write to ``accepted/<region>``, only once."""
        version, self._version_to_store = self._version_to_store, None
        return version

    def finish_due_rounds(self, now: float) -> None:
        """Finish the current round when its timeout has expired."""
        if self._tally and not self._tally.done and now >= self._tally.due_at:
            self._finish_round(now, self._tally)

    def start_due_work(self, now: float) -> list[Envelope]:
        """Start the next round and notify other regions when due."""
        out: list[Envelope] = []
        if now >= self._next_round_at:
            overdue = (
                now - self._next_round_at > self._ctx.options.round_period_s
            )
            started_at = now if overdue else self._next_round_at
            self._next_round_at = started_at + self._ctx.options.round_period_s
            out.extend(self._start_round(now))
        if now >= self._next_region_notice_at:
            self._next_region_notice_at = (
                now + self._ctx.options.region_period_s
            )
            out.extend(self._notify_regions(now))
        return out

    def _start_round(self, now: float) -> list[Envelope]:
        previous = self._tally
        if previous and not previous.done:
            self._finish_round(now, previous)
        self._round_number += 1
        tally = RoundTally(
            coordinator=self._ctx.member.id,
            round=self._round_number,
            accepted=self._ctx.accepted.in_own_region,
            started_at=now,
            due_at=now + self._ctx.options.round_timeout_s,
        )
        self._tally = tally
        self._ctx.add_own_version(now, tally)
        children = self._ctx.tree.children(
            self._ctx.member.id, 0, self._ctx.live
        )
        unlisted = self._find_unlisted_nodes()
        tally.waiting.update(children, unlisted)
        in_time = set()
        if previous and previous.round == self._round_number - 1:
            in_time = previous.answered
        out = [
            Envelope(child, self._build_round_down(now, child in in_time, 1))
            for child in children
        ]
        out.extend(
            Envelope(
                node_id,
                self._build_round_down(now, node_id in in_time, LEAF_LEVEL),
            )
            for node_id in unlisted
        )
        if not tally.waiting:
            self._finish_round(now, tally)
        return out

    def _build_round_down(
        self, now: float, included: bool, level: int
    ) -> RoundDown:
        return RoundDown(
            coordinator=self._ctx.member.id,
            coordinator_incarnation=self._ctx.member.incarnation,
            region=self._ctx.member.region,
            round=self._round_number,
            accepted=self._tally.accepted if self._tally else 0,
            version=self._ctx.state.version,
            result=self._last_result,
            included=included,
            quarantined=self._ctx.quarantine_relay.active(now),
            level=level,
        )

    def _find_unlisted_nodes(self) -> list[str]:
        """Return live nodes of this zone that are not in the roster."""
        if self._lookup is None:
            return []
        unlisted = []
        for node_id in sorted(
            self._ctx.live - self._ctx.state.roster.members.keys()
        ):
            member = self._lookup(node_id)
            if member and _is_same_zone(member, self._ctx.member):
                unlisted.append(node_id)
        return unlisted

    def handle_round_up(self, now: float, sender: str, up: RoundUp) -> None:
        """Add the answer of a child; finish the round after the last one."""
        tally = self._tally
        if tally is None or tally.done or tally.round != up.round:
            return
        # An answer after the timeout is not counted: it may come from a
        # restarted node whose former incarnation also answered. Within the
        # timeout, ``settle_s`` prevents that.
        if now < tally.due_at:
            tally.add_answer(sender, up)
        if now >= tally.due_at or not tally.waiting:
            self._finish_round(now, tally)

    def _finish_round(self, now: float, tally: RoundTally) -> None:
        tally.done = True
        outcome = evaluate_round(
            tally,
            self._ctx.state,
            self._ctx.member.region,
            confirm_size=self._ctx.options.confirm_quorum,
        )
        if outcome.confirmed_version:
            self._ctx.status.confirm(
                outcome.confirmed_version, tally.started_at, now
            )
        self._ctx.accepted.record(
            self._ctx.member.region, outcome.accepted_version
        )
        if outcome.accepted_roster:
            self._version_to_store = outcome.accepted_version
        self._ctx.quarantine_relay.merge(now, tally.losses)
        self._last_result = RoundResult(
            round=tally.round,
            confirmed_version=outcome.confirmed_version,
            accepted_version=self._ctx.accepted.in_own_region,
            regions=self._ctx.accepted.to_pairs(),
        )

    def _notify_regions(self, now: float) -> list[Envelope]:
        own_region = self._ctx.member.region
        notice = RegionAccepted(
            own_region,
            self._ctx.accepted.in_own_region,
            self._ctx.quarantine_relay.active(now),
        )
        roster = self._ctx.state.roster
        return [
            Envelope(node_id, notice)
            for region in roster.region_names()
            if region != own_region
            for node_id in zone_coordinators(
                roster, self._ctx.live, region
            ).values()
        ]


def _is_same_zone(member: Member, other_member: Member) -> bool:
    return (member.region, member.availability_zone) == (
        other_member.region,
        other_member.availability_zone,
    )
