"""A node's part in the confirmation rounds of coordinators."""

import dataclasses

from ibismount._confirmation_context import ConfirmationContext
from ibismount._rounds import Collection, Following
from ibismount.messages import Envelope, RoundDown, RoundUp

__all__ = ('FollowedRounds',)

# Levels of the tree with a timeout of their own; fan-out 16 reaches 4,096
# members at three levels.
_LEVELS = 4
# Without rounds for this long, another node coordinates.
_FORGET_S = 60.0


class FollowedRounds:
    """Forward rounds, answer them and draw confirmations from them.

    Args:
        ctx: The node.
    """

    def __init__(self, ctx: ConfirmationContext) -> None:
        """Start without any coordinator."""
        self._ctx = ctx
        self._following: dict[str, Following] = {}

    def end_due(self, now: float) -> list[Envelope]:
        """Answer the rounds whose children are too late."""
        out = []
        for follow in tuple(self._following.values()):
            found = follow.current
            if not found.done and now >= found.due:
                out.append(self._send_up(now, follow))
            elif now - found.started > _FORGET_S:
                self._following.pop(found.coordinator)
        return out

    def on_down(
        self, now: float, sender: str, down: RoundDown
    ) -> list[Envelope]:
        """Take part in a round, or tell the sender that another one asked."""
        if down.region != self._ctx.member.region:
            return [self._empty_up(sender, down)]
        self._take_news(down)
        follow = self._following.get(down.coordinator)
        if follow and follow.incarnation != down.coordinator_incarnation:
            follow = None
        if follow and down.round <= follow.current.round:
            # A second request of the same parent came too early to say that
            # the answer is complete, so it gets none of its own.
            if (down.round, sender) == (
                follow.current.round,
                follow.current.parent,
            ):
                return []
            return [self._empty_up(sender, down)]
        previous = follow.current if follow else None
        follow = self._advance(now, sender, down, follow)
        out = self._forward(sender, down, previous, follow.current)
        if not follow.current.waiting:
            out.append(self._send_up(now, follow))
        return out

    def _take_news(self, down: RoundDown) -> None:
        self._ctx.accepted.learn(down.region, down.accepted)
        self._ctx.accepted.learn(down.region, down.result.accepted_version)
        self._ctx.accepted.learn_all(down.result.regions)
        self._ctx.quarantine_relay.adopt(down.quarantined)

    def _advance(
        self,
        now: float,
        sender: str,
        down: RoundDown,
        follow: Following | None,
    ) -> Following:
        share = max(1, _LEVELS - down.level) / _LEVELS
        current = Collection(
            coordinator=down.coordinator,
            round=down.round,
            accepted=down.accepted,
            started=now,
            due=now + self._ctx.options.round_timeout_s * share,
            parent=sender,
        )
        last = down.round - 1
        if follow is None:
            follow = Following(down.coordinator_incarnation, current)
            self._following[down.coordinator] = follow
            return follow
        confirmed = down.result.confirmed_version
        if confirmed and down.result.round == last == follow.base_round:
            self._ctx.standing.confirm(confirmed, follow.base_at, now)
        # Only the parent that got the full answer knows when it came; another
        # one may speak of the empty answer, which was sent earlier.
        answered = (last, sender) == (
            follow.current.round,
            follow.current.parent,
        )
        if answered and down.included and follow.sent_at is not None:
            follow.base_round = down.round
            follow.base_at = follow.sent_at
        follow.current = current
        follow.sent_at = None
        return follow

    def _forward(
        self,
        sender: str,
        down: RoundDown,
        previous: Collection | None,
        current: Collection,
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
                    # Children pull from here what is held here.
                    version=self._ctx.state.version,
                    included=child in in_time,
                ),
            )
            for child in children
        ]

    def _send_up(self, now: float, follow: Following) -> Envelope:
        found = follow.current
        found.done = True
        follow.sent_at = now
        self._ctx.add_own_version(now, found)
        found.losses.extend(self._ctx.quarantine_relay.recent_reports(now))
        return Envelope(found.parent, found.answer())

    def _empty_up(self, sender: str, down: RoundDown) -> Envelope:
        return Envelope(
            sender,
            RoundUp(down.coordinator, down.round, (), self._ctx.state.version),
        )

    def take_answer(
        self, now: float, sender: str, up: RoundUp
    ) -> list[Envelope]:
        """Take the answer of a child; answer the parent after the last."""
        follow = self._following.get(up.coordinator)
        if follow is None or follow.current.round != up.round:
            return []
        if follow.current.add(sender, up) and not follow.current.waiting:
            return [self._send_up(now, follow)]
        return []
