"""Run one booking: claim it, dispatch it once, record the outcome."""

import dataclasses
import json
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from ibismount._dispatch import Dispatcher
from ibismount._requests import AnswerStatus
from ibismount.booking import ClaimResult, ClaimStatus, ClaimStore, Outcome
from ibismount.cause import Cause, system_cause
from ibismount.errors import ErrorCode
from ibismount.load_tracker import ReplicaIndex, Target
from ibismount.messages import BatchRequest, ItemReply, ItemStatus
from ibismount.planning import Exclusions, Planner, choose_snapshot
from ibismount.retries import GATEWAY_CODES
from ibismount.search_run import SearchContext
from ibismount.template import Policy

__all__ = ('BookingOutcome', 'BookingRun')

# The first gateway and two others. Trying them under one claim is cheaper than
# claiming the booking again after a refusal.
_MAX_GATEWAYS = 3

Spawn = Callable[[Callable[[], Awaitable[Any]]], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class BookingOutcome:
    """Outcome of a booking."""

    status: AnswerStatus
    answer: Any = None
    earlier: bool = False
    cause: Cause | None = None


class BookingRun:
    """Run one booking at most once.

    Args:
        context: Shared state of the entry.
        claims: Store of the booking claims.
        policy: Deadlines of the request.
        replica_index: Replicas of the collection.
        batch_template: A batch without snapshot and items.
        deadline: Deadline on the clock of the view, in seconds.
        spawn: Runs the recording of an outcome in the background.
    """

    def __init__(
        self,
        context: SearchContext,
        claims: ClaimStore,
        policy: Policy,
        replica_index: ReplicaIndex,
        batch_template: BatchRequest,
        *,
        deadline: float,
        spawn: Spawn,
    ) -> None:
        """Store the arguments; nothing is claimed yet."""
        self._context = context
        self._claims = claims
        self._policy = policy
        self._replica_index = replica_index
        self._batch_template = batch_template
        self._deadline = deadline
        self._spawn = spawn
        self._snapshot = ''
        self._shard = ''

    async def run(self, shard: str) -> BookingOutcome:
        """Run the booking at a shard."""
        self._shard = shard
        planner = self._planner()
        self._snapshot = choose_snapshot(
            planner, planner.catalog, shards=(shard,)
        ).id
        target = self._plan_target(Exclusions())
        if isinstance(target, Cause):
            return _not_run(target)
        claim = await self._claims.claim(
            self._batch_template.team,
            self._batch_template.request_id,
            self._batch_template.attempt_id,
            entry=self._context.view.node_id,
            server=target.server.id,
            timeout_s=max(0, self._deadline - self._context.view.now()),
        )
        if claim.status is not ClaimStatus.CLAIMED:
            return await self._outcome_without_claim(claim)
        outcome = await self._dispatch_claimed(target)
        await self._record(claim, outcome)
        return outcome

    async def _outcome_without_claim(
        self, claim: ClaimResult
    ) -> BookingOutcome:
        if claim.status is ClaimStatus.EARLIER:
            return BookingOutcome(
                AnswerStatus.ANSWERED,
                (claim.answer or {}).get('answer'),
                earlier=True,
            )
        if claim.status is ClaimStatus.UNKNOWN:
            return _unknown(claim.cause)
        if claim.unsettled:
            await self._spawn(lambda: self._claims.release(claim))
        return _not_run(claim.cause)

    async def _dispatch_claimed(self, target: Target) -> BookingOutcome:
        # The claim may have been slow or the process paused, so check again.
        refusal = self._context.view.refusal()
        if refusal is not None:
            return _not_run(refusal)
        async with anyio.create_task_group() as group:
            dispatcher = Dispatcher(
                self._context.ports,
                self._context.load,
                group,
                self._context.view.now,
                dataclasses.replace(
                    self._batch_template, snapshot=self._snapshot
                ),
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
        """Try the gateways in turn until one of them dispatches."""
        exclusions = Exclusions()
        for _ in range(_MAX_GATEWAYS):
            reply = await self._send(dispatcher, target)
            if reply is None:
                return _unknown(
                    system_cause(
                        ErrorCode.DEADLINE_EXCEEDED,
                        'the gateway did not reply before the deadline',
                    )
                )
            if reply.status is not ItemStatus.NOT_RUN:
                return self._outcome_from_reply(reply)
            if reply.cause is None or reply.cause.code not in GATEWAY_CODES:
                break
            exclusions.pairs.add((target.server.id, target.gateway))
            next_target = self._plan_target(exclusions)
            if isinstance(next_target, Cause):
                break
            target = next_target
        return _not_run(reply.cause)

    async def _send(
        self, dispatcher: Dispatcher, target: Target
    ) -> ItemReply | None:
        left_s = self._deadline - self._context.view.now()
        if left_s <= 0:
            return ItemReply(
                0,
                ItemStatus.NOT_RUN,
                cause=system_cause(
                    ErrorCode.DEADLINE_HOPELESS,
                    'no time left to dispatch the booking',
                ),
            )
        dispatcher.send([target], deadline=self._deadline)
        results = await dispatcher.receive_results(left_s)
        return results[0].reply if results else None

    def _outcome_from_reply(self, reply: ItemReply) -> BookingOutcome:
        if reply.status is ItemStatus.UNKNOWN:
            return _unknown(reply.cause)
        try:
            answer = json.loads(reply.body)
        except (ValueError, RecursionError):
            return _unknown(
                system_cause(
                    ErrorCode.BACKEND_LOST, 'the answer is not valid JSON'
                )
            )
        return BookingOutcome(AnswerStatus.ANSWERED, answer)

    async def _record(
        self, claim: ClaimResult, outcome: BookingOutcome
    ) -> None:
        recorded_outcome = _RECORDED_OUTCOMES[outcome.status]
        answer = None
        if outcome.status is AnswerStatus.ANSWERED:
            answer = {'answer': outcome.answer}
        left_s = max(0, self._deadline - self._context.view.now())
        await self._spawn(
            lambda: self._claims.record(
                claim, recorded_outcome, answer, deadline_s=left_s
            )
        )

    def _plan_target(self, exclusions: Exclusions) -> Target | Cause:
        return self._planner().plan_shard(
            self._snapshot, self._shard, exclusions
        )

    def _planner(self) -> Planner:
        return Planner(
            self._context.view,
            self._replica_index,
            self._context.load,
            now=self._context.view.now(),
            rng=self._context.rng,
        )


_RECORDED_OUTCOMES = {
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
