"""Run one booking: claim, dispatch once, record the outcome."""

import dataclasses
import json
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from ibismount._dispatch import Dispatcher
from ibismount._requests import AnswerStatus
from ibismount.booking import BookingDesk, ClaimResult, ClaimStatus, Outcome
from ibismount.cause import Cause, system_cause
from ibismount.errors import ErrorCode
from ibismount.load_tracker import ReplicaIndex, Target
from ibismount.messages import BatchRequest, ItemReply, ItemStatus
from ibismount.planning import Exclusions, Planner, choose_snapshot
from ibismount.retries import GATEWAY_CODES
from ibismount.search_run import SearchContext
from ibismount.template import Policy

__all__ = ('BookingOutcome', 'BookingRun')

# The first gateway and two others; a claim is worth a few tries, because a
# refused booking has to be claimed again.
_MOST_GATEWAYS = 3

Spawn = Callable[[Callable[[], Awaitable[Any]]], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class BookingOutcome:
    """What became of a booking."""

    status: AnswerStatus
    answer: Any = None
    earlier: bool = False
    cause: Cause | None = None


class BookingRun:
    """Run one booking at most once.

    Args:
        context: Shared state of the entry.
        desk: Claims bookings in the platform.
        policy: Deadlines of the request.
        index: Replicas of the collection.
        template: A batch without snapshot and items.
        ends_at: The deadline.
        spawn: Runs the recording of an outcome in the background.
    """

    def __init__(
        self,
        context: SearchContext,
        desk: BookingDesk,
        policy: Policy,
        index: ReplicaIndex,
        template: BatchRequest,
        *,
        ends_at: float,
        spawn: Spawn,
    ) -> None:
        """Take what the booking depends on; nothing is claimed yet."""
        self._context = context
        self._desk = desk
        self._policy = policy
        self._index = index
        self._template = template
        self._ends_at = ends_at
        self._spawn = spawn
        self._snapshot = ''
        self._shard = ''

    async def run(self, shard: str) -> BookingOutcome:
        """Book at a shard."""
        self._shard = shard
        planner = self._planner()
        self._snapshot = choose_snapshot(
            planner, planner.catalog, shards=(shard,)
        ).id
        target = self._plan(Exclusions())
        if isinstance(target, Cause):
            return _not_run(target)
        claim = await self._desk.claim(
            self._template.team,
            self._template.request_id,
            self._template.attempt_id,
            entry=self._context.view.node_id,
            server=target.server.id,
            timeout_s=max(0, self._ends_at - self._context.view.now()),
        )
        if claim.status is not ClaimStatus.CLAIMED:
            return await self._unclaimed(claim)
        outcome = await self._dispatch_claimed(target)
        await self._record(claim, outcome)
        return outcome

    async def _unclaimed(self, claim: ClaimResult) -> BookingOutcome:
        if claim.status is ClaimStatus.EARLIER:
            return BookingOutcome(
                AnswerStatus.ANSWERED,
                (claim.answer or {}).get('answer'),
                earlier=True,
            )
        if claim.status is ClaimStatus.UNKNOWN:
            return _unknown(claim.cause)
        if claim.unsettled:
            await self._spawn(lambda: self._desk.release(claim))
        return _not_run(claim.cause)

    async def _dispatch_claimed(self, target: Target) -> BookingOutcome:
        # The claim may have taken long, and the process may have been paused.
        refusal = self._context.view.refusal()
        if refusal is not None:
            return _not_run(refusal)
        async with anyio.create_task_group() as group:
            dispatcher = Dispatcher(
                self._context.ports,
                self._context.load,
                group,
                self._context.view.now,
                dataclasses.replace(self._template, snapshot=self._snapshot),
            )
            try:
                outcome = await self._dispatch(dispatcher, target)
            finally:
                dispatcher.cancel_all()
                dispatcher.close()
            group.cancel_scope.cancel()
        return outcome

    async def _dispatch(
        self, dispatcher: Dispatcher, target: Target
    ) -> BookingOutcome:
        """Send to one gateway after the other until one dispatches."""
        exclusions = Exclusions()
        for _ in range(_MOST_GATEWAYS):
            reply = await self._send(dispatcher, target)
            if reply is None:
                return _unknown(
                    system_cause(
                        ErrorCode.DEADLINE_EXCEEDED, 'no reply in time'
                    )
                )
            if reply.status is not ItemStatus.NOT_RUN:
                return self._ran(reply)
            if reply.cause is None or reply.cause.code not in GATEWAY_CODES:
                break
            exclusions.pairs.add((target.server.id, target.gateway))
            found = self._plan(exclusions)
            if isinstance(found, Cause):
                break
            target = found
        return _not_run(reply.cause)

    async def _send(
        self, dispatcher: Dispatcher, target: Target
    ) -> ItemReply | None:
        left_s = self._ends_at - self._context.view.now()
        if left_s <= 0:
            return ItemReply(
                0,
                ItemStatus.NOT_RUN,
                cause=system_cause(
                    ErrorCode.DEADLINE_HOPELESS, 'no time left to dispatch'
                ),
            )
        dispatcher.send([target], deadline=self._ends_at)
        arrivals = await dispatcher.arrivals(left_s)
        return arrivals[0].reply if arrivals else None

    def _ran(self, reply: ItemReply) -> BookingOutcome:
        if reply.status is ItemStatus.UNKNOWN:
            return _unknown(reply.cause)
        try:
            answer = json.loads(reply.body)
        except (ValueError, RecursionError):
            return _unknown(
                system_cause(ErrorCode.BACKEND_LOST, 'the answer is truncated')
            )
        return BookingOutcome(AnswerStatus.ANSWERED, answer)

    async def _record(
        self, claim: ClaimResult, outcome: BookingOutcome
    ) -> None:
        recorded = _RECORDED[outcome.status]
        answer = None
        if outcome.status is AnswerStatus.ANSWERED:
            answer = {'answer': outcome.answer}
        left_s = max(0, self._ends_at - self._context.view.now())
        await self._spawn(
            lambda: self._desk.record(
                claim, recorded, answer, deadline_s=left_s
            )
        )

    def _plan(self, exclusions: Exclusions) -> Target | Cause:
        return self._planner().plan_shard(
            self._snapshot, self._shard, exclusions
        )

    def _planner(self) -> Planner:
        return Planner(
            self._context.view,
            self._index,
            self._context.load,
            now=self._context.view.now(),
            rng=self._context.rng,
        )


_RECORDED = {
    AnswerStatus.ANSWERED: Outcome.DONE,
    AnswerStatus.NOT_RUN: Outcome.RELEASED,
    AnswerStatus.UNKNOWN: Outcome.UNKNOWN,
}


def _not_run(cause: Cause | None) -> BookingOutcome:
    return BookingOutcome(AnswerStatus.NOT_RUN, cause=cause)


def _unknown(cause: Cause | None) -> BookingOutcome:
    return BookingOutcome(
        AnswerStatus.UNKNOWN,
        cause=cause or system_cause(ErrorCode.OUTCOME_UNKNOWN),
    )
