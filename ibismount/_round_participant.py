"""The participant's side of the confirmation rounds."""

import dataclasses

from ibismount._confirmation_context import ConfirmationContext
from ibismount._round_tally import FollowedCoordinator, RoundTally
from ibismount.messages import Envelope, RoundDown, RoundUp

__all__ = ('RoundParticipant',)

# The round timeout is divided over this many levels of the tree. With a
# fan-out of 16, three levels reach 4,096 members.
_TIMED_LEVELS = 4
# A coordinator without rounds for this long has been replaced.
_FORGET_AFTER_S = 60.0


class RoundParticipant:
    """Forward rounds, answer them and confirm the node by their results.

    Args:
        ctx: State that the node's confirmation parts share.
    """

    def __init__(self, ctx: ConfirmationContext) -> None:
        """Start without known coordinators."""
        self._ctx = ctx
        self._coordinators: dict[str, FollowedCoordinator] = {}

    def finish_due_rounds(self, now: float) -> list[Envelope]:
        """Answer rounds whose timeout expired before all children answered."""
        out = []
        for followed in tuple(self._coordinators.values()):
            tally = followed.current
            if not tally.done and now >= tally.due_at:
                out.append(self._finish_round(now, followed))
            elif now - tally.started_at > _FORGET_AFTER_S:
                self._coordinators.pop(tally.coordinator)
        return out

    def handle_round_down(
        self, now: float, sender: str, down: RoundDown
    ) -> list[Envelope]:
        """Take part in a round.

        When the round is of another region, or was already received from
        another parent, the sender gets an empty answer.
        """
        if down.region != self._ctx.member.region:
            return [self._build_empty_answer(sender, down)]
        self._adopt_reported_state(down)
        followed = self._coordinators.get(down.coordinator)
        if followed and followed.incarnation != down.coordinator_incarnation:
            followed = None
        if followed and down.round <= followed.current.round:
            # A repeated request of the same parent is not answered: the full
            # answer was sent or will follow, and the parent would take an
            # empty one for it.
            if (down.round, sender) == (
                followed.current.round,
                followed.current.parent,
            ):
                return []
            return [self._build_empty_answer(sender, down)]
        previous = followed.current if followed else None
        followed = self._start_round(now, sender, down, followed)
        out = self._forward_round(sender, down, previous, followed.current)
        if not followed.current.waiting:
            out.append(self._finish_round(now, followed))
        return out

    def _adopt_reported_state(self, down: RoundDown) -> None:
        self._ctx.accepted.record(down.region, down.accepted)
        self._ctx.accepted.record(down.region, down.result.accepted_version)
        self._ctx.accepted.record_all(down.result.regions)
        self._ctx.quarantine_relay.adopt(down.quarantined)

    def _start_round(
        self,
        now: float,
        sender: str,
        down: RoundDown,
        followed: FollowedCoordinator | None,
    ) -> FollowedCoordinator:
        timeout_share = max(1, _TIMED_LEVELS - down.level) / _TIMED_LEVELS
        current = RoundTally(
            coordinator=down.coordinator,
            round=down.round,
            accepted=down.accepted,
            started_at=now,
            due_at=now + self._ctx.options.round_timeout_s * timeout_share,
            parent=sender,
        )
        last_round = down.round - 1
        if followed is None:
            followed = FollowedCoordinator(
                down.coordinator_incarnation, current
            )
            self._coordinators[down.coordinator] = followed
            return followed
        confirmed = down.result.confirmed_version
        if confirmed and down.result.round == last_round == followed.base_round:
            self._ctx.status.confirm(confirmed, followed.base_at, now)
        # Only the parent that received the full answer can report that it
        # arrived in time. Another parent may refer to the empty answer, which
        # was sent earlier.
        answered = (last_round, sender) == (
            followed.current.round,
            followed.current.parent,
        )
        if answered and down.included and followed.sent_at is not None:
            followed.base_round = down.round
            followed.base_at = followed.sent_at
        followed.current = current
        followed.sent_at = None
        return followed

    def _forward_round(
        self,
        sender: str,
        down: RoundDown,
        previous: RoundTally | None,
        current: RoundTally,
    ) -> list[Envelope]:
        children = self._ctx.tree.children(
            self._ctx.member.id,
            down.level,
            self._ctx.live,
            sender,
            down.coordinator,
        )
        in_time = set()
        if down.included and previous and previous.round == down.round - 1:
            in_time = previous.answered
        current.waiting.update(children)
        return [
            Envelope(
                child,
                dataclasses.replace(
                    down,
                    level=down.level + 1,
                    # Children pull missing changes from this node, so this
                    # is the newest version they can get.
                    version=self._ctx.state.version,
                    included=child in in_time,
                ),
            )
            for child in children
        ]

    def _finish_round(
        self, now: float, followed: FollowedCoordinator
    ) -> Envelope:
        tally = followed.current
        tally.done = True
        followed.sent_at = now
        self._ctx.add_own_version(now, tally)
        tally.losses.extend(self._ctx.quarantine_relay.recent_reports(now))
        return Envelope(tally.parent, tally.build_answer())

    def _build_empty_answer(self, sender: str, down: RoundDown) -> Envelope:
        return Envelope(
            sender,
            RoundUp(down.coordinator, down.round, (), self._ctx.state.version),
        )

    def handle_round_up(
        self, now: float, sender: str, up: RoundUp
    ) -> list[Envelope]:
        """Add the answer of a child; answer the parent after the last one."""
        followed = self._coordinators.get(up.coordinator)
        if followed is None or followed.current.round != up.round:
            return []
        if (
            followed.current.add_answer(sender, up)
            and not followed.current.waiting
        ):
            return [self._finish_round(now, followed)]
        return []
