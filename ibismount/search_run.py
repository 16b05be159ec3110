"""Run one search: dispatch, retry, hedge, replan and merge."""

import dataclasses
import heapq
import itertools
import math
from collections.abc import Iterable, Sequence
from typing import Any

import anyio
import anyio.abc

from ibismount._dispatch import Attempt, AttemptResult, Dispatcher
from ibismount._search_context import SearchContext, SearchOptions
from ibismount.canary import CanaryDecision, CanaryGate
from ibismount.cause import Cause, system_cause
from ibismount.errors import ErrorCode
from ibismount.load_tracker import ReplicaIndex, Target
from ibismount.merging import MergeOutcome, ResultMerger
from ibismount.messages import BatchRequest, ItemReply, ItemStatus
from ibismount.planning import (
    Exclusions,
    Planner,
    SearchPlan,
    choose_snapshot,
    plan_search,
)
from ibismount.retries import (
    Fault,
    ShardState,
    classify_reply,
    record_fault,
)
from ibismount.template import AtDeadline, Policy

__all__ = ('SearchContext', 'SearchOptions', 'SearchRun')


# Two gateways or connections can be silent at the same time; the third hedge
# can then still be answered.
MAX_HEDGES_PER_SHARD = 3


class SearchRun:
    """Run one search against one snapshot at a time.

    Args:
        context: Shared state of the entry.
        policy: Deadlines, coverage and hedging of the request.
        replica_index: Replicas of the collection.
        batch_template: A batch without snapshot and items.
        started: Time at which the request arrived, in seconds.
        fixed_snapshot: The snapshot that a cursor fixes; empty for any.
        shards: The only shards to search; empty for all.
    """

    def __init__(
        self,
        context: SearchContext,
        policy: Policy,
        replica_index: ReplicaIndex,
        batch_template: BatchRequest,
        *,
        started: float,
        fixed_snapshot: str = '',
        shards: Sequence[str] = (),
    ) -> None:
        """Store the dependencies; nothing is sent yet."""
        self._context = context
        self._options = context.options
        self._policy = policy
        self._replica_index = replica_index
        self._batch_template = batch_template
        self._fixed_snapshot = fixed_snapshot
        self._requested_shards = tuple(shards)
        refuse = policy.at_deadline is AtDeadline.REFUSE
        self._deadline = started + policy.deadline_s
        self._ends_at = started + (
            policy.deadline_s if refuse else policy.hard_deadline_s
        )
        self._canary = CanaryGate(
            context.quarantine,
            batch_template.fingerprint,
            max_lost=context.options.max_lost_canaries,
        )
        self._shards: dict[str, ShardState] = {}
        self._dispatcher: Any = None
        self._timers: list[tuple[float, int, str, ShardState]] = []
        self._order = itertools.count()
        self._pending: list[Target] = []
        self._held_shards: list[ShardState] = []
        self._replan_count = 0
        self._checked_ended_count = 0
        self._hedge_delay_s = math.inf
        self.merger: Any = None
        self.snapshot = ''
        self.may_have_run = False
        self.hedges = 0
        self.retries = 0

    async def run(self) -> None:
        """Search until complete, out of usable targets or at the deadline.

        Raises:
            IbismountError: ``snapshot_gone`` for a fixed snapshot.
        """
        plan: SearchPlan | None = plan_search(
            self._new_planner(),
            self._replica_index.catalog,
            snapshot_id=self._fixed_snapshot,
            shards=self._requested_shards,
        )
        async with anyio.create_task_group() as group:
            try:
                while plan is not None:
                    self._start_plan(plan, group)
                    plan = await self._run_plan()
            finally:
                self._finish_dispatch()
            group.cancel_scope.cancel()

    def _start_plan(self, plan: SearchPlan, group: anyio.abc.TaskGroup) -> None:
        self._finish_dispatch()
        self.snapshot = plan.snapshot.id
        shard_names = (*plan.targets, *plan.missing)
        self.merger = ResultMerger(plan.snapshot.id, shard_names)
        self._dispatcher = Dispatcher(
            self._context.ports,
            self._context.load,
            group,
            self._context.view.now,
            dataclasses.replace(
                self._batch_template,
                snapshot=plan.snapshot.id,
                attempt_id=f'{self._batch_template.attempt_id}.{self._replan_count}',
            ),
        )
        self._shards = {name: ShardState(name) for name in shard_names}
        self._timers.clear()
        self._pending.clear()
        self._held_shards.clear()
        self._canary.reset()
        self._checked_ended_count = 0
        for name, cause in plan.missing.items():
            self._give_up(self._shards[name], cause)
        self._context.budget.earn(len(plan.targets))
        self._submit(plan.targets.values())
        self._send_pending()

    def _finish_dispatch(self) -> None:
        if self._dispatcher is None:
            return
        for shard in self._shards.values():
            self._record_cancelled(shard.active)
        self._dispatcher.cancel_all()
        self._dispatcher.close()
        self.may_have_run = self.may_have_run or bool(
            self._dispatcher.may_have_run
        )
        self._dispatcher = None

    async def _run_plan(self) -> SearchPlan | None:
        """Run the current plan until the search ends.

        Returns:
            A better plan to restart with, or None when the search has ended.
        """
        while not self._is_finished():
            timeout_s = self._next_wakeup() - self._now()
            results = await self._dispatcher.receive_results(max(0, timeout_s))
            for result in results:
                self._handle_result(result)
            self._run_timers()
            better_plan = self._better_plan()
            if better_plan is not None:
                return better_plan
            self._send_pending()
        return None

    def _is_finished(self) -> bool:
        now = self._now()
        if now >= self._ends_at or self.merger.complete:
            return True
        if (
            now >= self._deadline
            and self._policy.at_deadline is AtDeadline.PARTIAL
            and self.merger.fraction >= self._policy.least_coverage
        ):
            return True
        return not any(shard.open for shard in self._shards.values())

    def _next_wakeup(self) -> float:
        wakeups = [self._ends_at]
        if self._now() < self._deadline:
            wakeups.append(self._deadline)
        if self._timers:
            wakeups.append(self._timers[0][0])
        return min(wakeups)

    # Sending.

    def _submit(self, targets: Iterable[Target]) -> None:
        """Queue targets for sending; only one while the query is suspect.

        Shards of lost servers go first, because only they make a conclusive
        canary.
        """
        now = self._now()
        lost_shards = self._shards_of(self._canary.lost_servers(now))
        if lost_shards:
            targets = sorted(
                targets,
                key=lambda candidate: candidate.shard not in lost_shards,
            )
        for target in targets:
            shard = self._shards[target.shard]
            decision = self._canary.admit(
                now, shard.name, conclusive=shard.name in lost_shards
            )
            if decision is CanaryDecision.REFUSE:
                self._give_up(shard, self._refusal_cause())
                continue
            shard.queued = True
            if decision is CanaryDecision.SEND:
                self._pending.append(target)
            else:
                self._held_shards.append(shard)

    def _shards_of(self, server_ids: Iterable[str]) -> set[str]:
        servers = self._replica_index.catalog.servers
        return {
            servers[server_id].shard
            for server_id in server_ids
            if server_id in servers
        }

    def _send_pending(self) -> None:
        if self._pending:
            targets, self._pending = self._pending, []
            self._record_sent(
                self._dispatcher.send(targets, deadline=self._ends_at)
            )

    def _record_sent(self, attempts: list[Attempt]) -> None:
        now = self._now()
        self._hedge_delay_s = self._compute_hedge_delay_s(now)
        for attempt in attempts:
            shard = self._shards[attempt.target.shard]
            shard.queued = False
            shard.active.append(attempt)
            self.merger.expect(attempt.batch_id, attempt.index, shard.name)
            if len(shard.active) == 1:
                self._schedule(now + self._hedge_delay_s, 'hedge', shard)

    def _resend(self, planner: Planner, shard: ShardState) -> None:
        """Send a shard to another target, else retry after a pause or give up.

        Without enough time left, the shard is given up at once.
        """
        target: Target | Cause | None = None
        if not self._can_retry_in_time():
            self._give_up(shard, None)
            return
        if shard.gateway_retries <= self._options.retries.max_gateway_retries:
            target = planner.plan_shard(
                self.snapshot, shard.name, shard.exclusions
            )
        if isinstance(target, Target):
            self.retries += 1
            self._submit([target])
            return
        pause_s = shard.start_pause(self._options.retries)
        if pause_s is None:
            self._give_up(shard, target)
            return
        shard.queued = True
        jittered_s = pause_s * self._context.rng.uniform(0.5, 1.5)
        self._schedule(self._now() + jittered_s, 'retry', shard)

    def _can_retry_in_time(self) -> bool:
        time_left_s = self._ends_at - self._now()
        deadline_s = self._policy.deadline_s
        return time_left_s > min(
            self._options.min_retry_time_s, deadline_s / 10
        )

    # Replies.

    def _handle_result(self, result: AttemptResult) -> None:
        attempt, reply = result
        shard = self._shards[attempt.target.shard]
        if attempt in shard.active:
            shard.active.remove(attempt)
        outcome = self.merger.add(attempt.batch_id, reply)
        if outcome is MergeOutcome.ACCEPTED:
            self._handle_answer(shard, attempt)
        elif outcome is MergeOutcome.NOT_ANSWERED:
            self._handle_failure(shard, attempt, reply)

    def _handle_answer(self, shard: ShardState, attempt: Attempt) -> None:
        now = self._now()
        shard.queued = False
        self._context.latency.record(now, now - attempt.sent_at)
        self._record_cancelled(shard.active)
        self._dispatcher.cancel(shard.active)
        shard.active.clear()
        if self._canary.record_answer(now, shard.name):
            self._release_held()

    def _record_cancelled(self, attempts: Iterable[Attempt]) -> None:
        """Add cancelled attempts to the latency estimate.

        They count with the time they took so far. Without them the estimate
        would include only fast attempts and fall until almost every
        sub-request is hedged.
        """
        now = self._now()
        for attempt in attempts:
            self._context.latency.record(now, now - attempt.sent_at)

    def _handle_failure(
        self, shard: ShardState, attempt: Attempt, reply: ItemReply
    ) -> None:
        now = self._now()
        if attempt.hedge and reply.status is ItemStatus.NOT_RUN:
            self._context.budget.refund()
            self.hedges -= 1
            shard.hedges -= 1
        fault = classify_reply(reply)
        record_fault(
            shard,
            attempt.target,
            fault,
            load=self._context.load,
            assignment=self._context.view.assignment,
            now=now,
        )
        if fault.server_lost:
            self._canary.record_loss(
                now,
                shard.name,
                attempt.target.server.id,
                sent_at=attempt.sent_at,
            )
        if shard.open:
            # Another attempt is running; hedge it again if it is late.
            self._schedule(now, 'hedge', shard)
            return
        if self._count_retry(shard, fault):
            self._resend(self._new_planner(), shard)
        else:
            self._give_up(shard, None)

    def _count_retry(self, shard: ShardState, fault: Fault) -> bool:
        return self._options.retry and shard.count_retry(
            fault, self._options.retries
        )

    def _give_up(self, shard: ShardState, cause: Cause | None) -> None:
        shard.ended = True
        shard.queued = False
        if cause is not None and not (
            cause.code is ErrorCode.NO_REPLICA and shard.exclusions.servers
        ):
            # After an attempt, its failure is a more useful cause than "every
            # replica was already tried".
            self.merger.record_missing(shard.name, cause)
        if self._canary.record_end(shard.name):
            self._release_held()

    def _release_held(self) -> None:
        held_shards, self._held_shards = self._held_shards, []
        planner = self._new_planner()
        for shard in held_shards:
            shard.queued = False
            target = planner.plan_shard(
                self.snapshot, shard.name, shard.exclusions
            )
            if isinstance(target, Target):
                self._submit([target])
            else:
                self._give_up(shard, target)

    def _refusal_cause(self) -> Cause:
        if self._canary.given_up:
            return system_cause(
                ErrorCode.BACKEND_LOST,
                'too many backend servers were lost while running this request',
            )
        return system_cause(
            ErrorCode.QUARANTINED,
            f'fingerprint {self._batch_template.fingerprint} is quarantined',
        )

    # Timers.

    def _schedule(self, at: float, action: str, shard: ShardState) -> None:
        if at == math.inf:
            return
        heapq.heappush(self._timers, (at, next(self._order), action, shard))

    def _run_timers(self) -> None:
        now = self._now()
        if not self._timers or self._timers[0][0] > now:
            return
        planner = self._new_planner()
        hedges: list[Target] = []
        while self._timers and self._timers[0][0] <= now:
            _, _, action, shard = heapq.heappop(self._timers)
            if action == 'retry':
                shard.queued = False
                self._resend(planner, shard)
            else:
                hedges.extend(self._hedge_targets(planner, shard))
        if hedges:
            self.hedges += len(hedges)
            self._record_sent(
                self._dispatcher.send(
                    hedges, deadline=self._ends_at, hedge=True
                )
            )

    def _compute_hedge_delay_s(self, now: float) -> float:
        """Return the age in seconds from which an attempt is late."""
        if not (self._options.hedge and self._policy.hedge):
            return math.inf
        late_s = self._context.latency.quantile(
            now, self._options.hedge_quantile
        )
        if late_s is None:
            late_s = (
                self._policy.deadline_s * self._options.initial_hedge_fraction
            )
        return max(late_s, self._options.min_hedge_delay_s)

    def _hedge_targets(
        self, planner: Planner, shard: ShardState
    ) -> list[Target]:
        # An attempt that has ended is followed up by its own retry.
        if len(shard.active) != 1 + shard.hedges or self._canary.active:
            return []
        late_attempt = shard.active[-1]
        urgent_at = (
            late_attempt.sent_at
            + self._hedge_delay_s * self._options.urgent_hedge_factor
        )
        hedge_at = (
            urgent_at
            if shard.hedges
            else late_attempt.sent_at + self._hedge_delay_s
        )
        if self._now() < hedge_at:
            self._schedule(hedge_at, 'hedge', shard)
            return []
        self._context.load.record_late(
            self._now(), late_attempt.target, late_attempt.sent_at
        )
        busy_servers = {attempt.target.server.id for attempt in shard.active}
        target = planner.plan_shard(
            self.snapshot,
            shard.name,
            Exclusions(
                shard.exclusions.servers | busy_servers, shard.exclusions.pairs
            ),
        )
        retry_at = self._now() + self._options.hedge_retry_delay_s
        if isinstance(target, Cause):
            if shard.exclusions.pairs:
                # Busy gateways may have a free permit by then.
                shard.exclusions.pairs.clear()
                self._schedule(retry_at, 'hedge', shard)
            return []
        # The last tokens are reserved for sub-requests that are so late that
        # their connection or gateway has probably become silent.
        urgent = self._now() >= urgent_at
        reserved_tokens = 0 if urgent else self._options.reserved_urgent_tokens
        if not self._context.budget.spend(reserved_tokens=reserved_tokens):
            # Other requests earn new tokens.
            self._schedule(retry_at, 'hedge', shard)
            return []
        shard.hedges += 1
        if shard.hedges < MAX_HEDGES_PER_SHARD:
            pause_s = self._hedge_delay_s * self._options.urgent_hedge_factor
            self._schedule(self._now() + pause_s, 'hedge', shard)
        return [target]

    # Replanning.

    def _better_plan(self) -> SearchPlan | None:
        """Return a plan on another snapshot that covers more, or None."""
        if self._fixed_snapshot or not self._options.replan:
            return None
        ended_count = sum(shard.ended for shard in self._shards.values())
        # Counting the covered shards is costly, so it is done only after
        # another shard has ended.
        if ended_count == self._checked_ended_count:
            return None
        self._checked_ended_count = ended_count
        if self._replan_count >= self._options.max_replans:
            return None
        planner = self._new_planner()
        catalog = planner.catalog
        chosen = choose_snapshot(
            planner, catalog, shards=self._requested_shards
        )
        if chosen.id == self.snapshot:
            return None
        reachable_fraction = 1 - ended_count / len(self._shards)
        shard_count = len(self._requested_shards or chosen.shards)
        if (
            planner.count_covered(chosen, self._requested_shards) / shard_count
            <= reachable_fraction
        ):
            return None
        self._replan_count += 1
        return plan_search(
            planner,
            catalog,
            snapshot_id=chosen.id,
            shards=self._requested_shards,
        )

    def _new_planner(self) -> Planner:
        catalog = self._context.view.state.catalogs.get(
            self._policy.collection, self._replica_index.catalog
        )
        if catalog is not self._replica_index.catalog:
            self._replica_index = ReplicaIndex(catalog)
        return Planner(
            self._context.view,
            self._replica_index,
            self._context.load,
            now=self._now(),
            rng=self._context.rng,
        )

    def _now(self) -> float:
        return self._context.view.now()
