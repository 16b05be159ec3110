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
from ibismount.canary import Admit, CanaryGate
from ibismount.cause import Cause, system_cause
from ibismount.errors import ErrorCode
from ibismount.merging import Merge, MergeOutcome
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
    classify,
    note_fault,
)
from ibismount.route_load import ReplicaIndex, Target
from ibismount.template import AtDeadline, Policy

__all__ = ('SearchContext', 'SearchOptions', 'SearchRun')


# Two gateways or connections can be silent at once, so the third hedge is the
# first that must get through.
MAX_HEDGES = 3


class SearchRun:
    """Run one search against one snapshot at a time.

    Args:
        context: Shared state of the entry.
        policy: Deadlines, coverage and hedging of the request.
        index: Replicas of the collection.
        template: A batch without snapshot and items.
        started: When the request came in.
        fixed_snapshot: The snapshot that a cursor fixes, or empty.
        shards: The only shards to ask; empty for all.
    """

    def __init__(
        self,
        context: SearchContext,
        policy: Policy,
        index: ReplicaIndex,
        template: BatchRequest,
        *,
        started: float,
        fixed_snapshot: str = '',
        shards: Sequence[str] = (),
    ) -> None:
        """Take what the search depends on; nothing is sent yet."""
        self._context = context
        self._options = context.options
        self._policy = policy
        self._index = index
        self._template = template
        self._fixed_snapshot = fixed_snapshot
        self._only = tuple(shards)
        refuse = policy.at_deadline is AtDeadline.REFUSE
        self._deadline = started + policy.deadline_s
        self._ends_at = started + (
            policy.deadline_s if refuse else policy.hard_deadline_s
        )
        self._canary = CanaryGate(
            context.quarantine,
            template.fingerprint,
            most_lost=context.options.lost_canaries,
        )
        self._shards: dict[str, ShardState] = {}
        self._dispatcher: Any = None
        self._timers: list[tuple[float, int, str, ShardState]] = []
        self._order = itertools.count()
        self._pending: list[Target] = []
        self._held: list[ShardState] = []
        self._replans = 0
        self._lost_seen = 0
        self._hedge_s = math.inf
        self.merge: Any = None
        self.snapshot = ''
        self.may_have_run = False
        self.hedges = 0
        self.retries = 0

    async def run(self) -> None:
        """Search until complete, hopeless or at the deadline.

        Raises:
            IbismountError: ``snapshot_gone`` for a fixed snapshot.
        """
        plan: SearchPlan | None = plan_search(
            self._planner(),
            self._index.catalog,
            snapshot_id=self._fixed_snapshot,
            shards=self._only,
        )
        async with anyio.create_task_group() as group:
            try:
                while plan is not None:
                    self._start(plan, group)
                    plan = await self._loop()
            finally:
                self._finish_dispatch()
            group.cancel_scope.cancel()

    def _start(self, plan: SearchPlan, group: anyio.abc.TaskGroup) -> None:
        self._finish_dispatch()
        self.snapshot = plan.snapshot.id
        names = (*plan.targets, *plan.missing)
        self.merge = Merge(plan.snapshot.id, names)
        self._dispatcher = Dispatcher(
            self._context.ports,
            self._context.load,
            group,
            self._context.view.now,
            dataclasses.replace(
                self._template,
                snapshot=plan.snapshot.id,
                attempt_id=f'{self._template.attempt_id}.{self._replans}',
            ),
        )
        self._shards = {name: ShardState(name) for name in names}
        self._timers.clear()
        self._pending.clear()
        self._held.clear()
        self._canary.reset()
        self._lost_seen = 0
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

    async def _loop(self) -> SearchPlan | None:
        """Handle events until the search ends; return a better plan."""
        while not self._finished():
            timeout_s = self._next_time() - self._now()
            arrivals = await self._dispatcher.receive_results(max(0, timeout_s))
            for arrival in arrivals:
                self._arrived(arrival)
            self._run_timers()
            better = self._better_plan()
            if better is not None:
                return better
            self._send_pending()
        return None

    def _finished(self) -> bool:
        now = self._now()
        if now >= self._ends_at or self.merge.complete:
            return True
        if (
            now >= self._deadline
            and self._policy.at_deadline is AtDeadline.PARTIAL
            and self.merge.fraction >= self._policy.least_coverage
        ):
            return True
        return not any(shard.open for shard in self._shards.values())

    def _next_time(self) -> float:
        times = [self._ends_at]
        if self._now() < self._deadline:
            times.append(self._deadline)
        if self._timers:
            times.append(self._timers[0][0])
        return min(times)

    # Sending.

    def _submit(self, targets: Iterable[Target]) -> None:
        """Queue targets for sending; only one while the query is suspect."""
        now = self._now()
        lost_shards = self._shards_of(self._canary.lost_servers(now))
        if lost_shards:
            targets = sorted(
                targets, key=lambda one: one.shard not in lost_shards
            )
        for target in targets:
            shard = self._shards[target.shard]
            admitted = self._canary.admit(
                now, shard.name, proves=shard.name in lost_shards
            )
            if admitted is Admit.REFUSE:
                self._give_up(shard, self._refused())
                continue
            shard.waiting = True
            if admitted is Admit.SEND:
                self._pending.append(target)
            else:
                self._held.append(shard)

    def _shards_of(self, server_ids: Iterable[str]) -> set[str]:
        servers = self._index.catalog.servers
        return {servers[one].shard for one in server_ids if one in servers}

    def _send_pending(self) -> None:
        if self._pending:
            targets, self._pending = self._pending, []
            self._sent(self._dispatcher.send(targets, deadline=self._ends_at))

    def _sent(self, attempts: list[Attempt]) -> None:
        now = self._now()
        self._hedge_s = self._hedge_after(now)
        for attempt in attempts:
            shard = self._shards[attempt.target.shard]
            shard.waiting = False
            shard.active.append(attempt)
            self.merge.expect(attempt.batch_id, attempt.index, shard.name)
            if len(shard.active) == 1:
                self._at(now + self._hedge_s, 'hedge', shard)

    def _send_to_any(self, planner: Planner, shard: ShardState) -> None:
        """Queue a shard at any target that is left, or pause, or give up."""
        found: Target | Cause | None = None
        if not self._time_left():
            self._give_up(shard, None)
            return
        if shard.gateway_retries <= self._options.retries.gateway_retries:
            found = planner.plan_shard(
                self.snapshot, shard.name, shard.exclusions
            )
        if isinstance(found, Target):
            self.retries += 1
            self._submit([found])
            return
        pause_s = shard.pause(self._options.retries)
        if pause_s is None:
            self._give_up(shard, found)
            return
        shard.waiting = True
        jittered_s = pause_s * self._context.rng.uniform(0.5, 1.5)
        self._at(self._now() + jittered_s, 'retry', shard)

    def _time_left(self) -> bool:
        left_s = self._ends_at - self._now()
        whole_s = self._policy.deadline_s
        return left_s > min(self._options.least_time_s, whole_s / 10)

    # Replies.

    def _arrived(self, arrival: AttemptResult) -> None:
        attempt, reply = arrival
        shard = self._shards[attempt.target.shard]
        if attempt in shard.active:
            shard.active.remove(attempt)
        outcome = self.merge.add(attempt.batch_id, reply)
        if outcome is MergeOutcome.TAKEN:
            self._answered(shard, attempt)
        elif outcome is MergeOutcome.NOT_ANSWERED:
            self._not_answered(shard, attempt, reply)

    def _answered(self, shard: ShardState, attempt: Attempt) -> None:
        now = self._now()
        shard.waiting = False
        self._context.latency.record(now, now - attempt.sent_at)
        self._record_cancelled(shard.active)
        self._dispatcher.cancel(shard.active)
        shard.active.clear()
        if self._canary.answered(now, shard.name):
            self._release_held()

    def _record_cancelled(self, attempts: Iterable[Attempt]) -> None:
        """Count cancelled attempts with the time they took so far.

        Without them the estimate would see only the fast ones and fall
        until almost everything is hedged.
        """
        now = self._now()
        for attempt in attempts:
            self._context.latency.record(now, now - attempt.sent_at)

    def _not_answered(
        self, shard: ShardState, attempt: Attempt, reply: ItemReply
    ) -> None:
        now = self._now()
        if attempt.hedge and reply.status is ItemStatus.NOT_RUN:
            self._context.budget.refund()
            self.hedges -= 1
            shard.hedges -= 1
        fault = classify(reply)
        note_fault(
            shard,
            attempt.target,
            fault,
            load=self._context.load,
            assignment=self._context.view.assignment,
            snapshot_id=self.snapshot,
            now=now,
        )
        if fault.lost:
            self._canary.lost(
                now,
                shard.name,
                attempt.target.server.id,
                sent_at=attempt.sent_at,
            )
        if shard.open:
            # Another attempt is under way; hedge that one again if late.
            self._at(now, 'hedge', shard)
            return
        if self._may_retry(shard, fault):
            self._send_to_any(self._planner(), shard)
        else:
            self._give_up(shard, None)

    def _may_retry(self, shard: ShardState, fault: Fault) -> bool:
        return self._options.retry and shard.may_retry(
            fault, self._options.retries
        )

    def _give_up(self, shard: ShardState, cause: Cause | None) -> None:
        shard.ended = True
        shard.waiting = False
        if cause is not None and not (
            cause.code is ErrorCode.NO_REPLICA and shard.exclusions.servers
        ):
            # After a try, its own end says more than "all were tried".
            self.merge.miss(shard.name, cause)
        if self._canary.ended(shard.name):
            self._release_held()

    def _release_held(self) -> None:
        held, self._held = self._held, []
        planner = self._planner()
        for shard in held:
            shard.waiting = False
            found = planner.plan_shard(
                self.snapshot, shard.name, shard.exclusions
            )
            if isinstance(found, Target):
                self._submit([found])
            else:
                self._give_up(shard, found)

    def _refused(self) -> Cause:
        if self._canary.given_up:
            return system_cause(
                ErrorCode.BACKEND_LOST,
                'backend servers were lost while running this request',
            )
        return system_cause(
            ErrorCode.QUARANTINED, f'fingerprint {self._template.fingerprint}'
        )

    # Timers.

    def _at(self, moment: float, action: str, shard: ShardState) -> None:
        if moment == math.inf:
            return
        heapq.heappush(self._timers, (moment, next(self._order), action, shard))

    def _run_timers(self) -> None:
        now = self._now()
        if not self._timers or self._timers[0][0] > now:
            return
        planner = self._planner()
        hedges: list[Target] = []
        while self._timers and self._timers[0][0] <= now:
            _, _, action, shard = heapq.heappop(self._timers)
            if action == 'retry':
                shard.waiting = False
                self._send_to_any(planner, shard)
            else:
                hedges.extend(self._hedge(planner, shard))
        if hedges:
            self.hedges += len(hedges)
            self._sent(
                self._dispatcher.send(
                    hedges, deadline=self._ends_at, hedge=True
                )
            )

    def _hedge_after(self, now: float) -> float:
        """Return the age in seconds from which an attempt is late."""
        if not (self._options.hedge and self._policy.hedge):
            return math.inf
        late_s = self._context.latency.quantile(
            now, self._options.hedge_quantile
        )
        if late_s is None:
            late_s = self._policy.deadline_s * self._options.first_hedge
        return max(late_s, self._options.least_hedge_s)

    def _hedge(self, planner: Planner, shard: ShardState) -> list[Target]:
        hedged = bool(shard.hedges)
        if len(shard.active) != 1 + hedged or self._canary.active:
            return []
        late = shard.active[-1]
        urgent_at = late.sent_at + self._hedge_s * self._options.urgent_after
        late_at = urgent_at if hedged else late.sent_at + self._hedge_s
        if self._now() < late_at:
            self._at(late_at, 'hedge', shard)
            return []
        self._context.load.late(self._now(), late.target, late.sent_at)
        busy = {one.target.server.id for one in shard.active}
        found = planner.plan_shard(
            self.snapshot,
            shard.name,
            Exclusions(shard.exclusions.servers | busy, shard.exclusions.pairs),
        )
        again = self._now() + self._options.hedge_pause_s
        if isinstance(found, Cause):
            if shard.exclusions.pairs:
                # Gateways that were busy may have a permit by then.
                shard.exclusions.pairs.clear()
                self._at(again, 'hedge', shard)
            return []
        # The last tokens are kept for sub-requests that are so late that
        # their connection or gateway has probably gone silent.
        urgent = self._now() >= urgent_at
        kept = 0 if urgent else self._options.urgent_tokens
        if not self._context.budget.spend(keep=kept):
            # Tokens come with other requests.
            self._at(again, 'hedge', shard)
            return []
        shard.hedges += 1
        if shard.hedges < MAX_HEDGES:
            pause_s = self._hedge_s * self._options.urgent_after
            self._at(self._now() + pause_s, 'hedge', shard)
        return [found]

    # Replanning.

    def _better_plan(self) -> SearchPlan | None:
        """Return a plan on another snapshot when it covers more."""
        if self._fixed_snapshot or not self._options.replan:
            return None
        lost = sum(shard.ended for shard in self._shards.values())
        # Counting the covered shards is costly, so only a change counts.
        if lost == self._lost_seen:
            return None
        self._lost_seen = lost
        if self._replans >= self._options.replans:
            return None
        planner = self._planner()
        catalog = planner.catalog
        chosen = choose_snapshot(planner, catalog, shards=self._only)
        if chosen.id == self.snapshot:
            return None
        possible = 1 - lost / len(self._shards)
        asked = len(self._only or chosen.shards)
        if planner.covered(chosen, self._only) / asked <= possible:
            return None
        self._replans += 1
        return plan_search(
            planner, catalog, snapshot_id=chosen.id, shards=self._only
        )

    def _planner(self) -> Planner:
        catalog = self._context.view.state.catalogs.get(
            self._policy.collection, self._index.catalog
        )
        if catalog is not self._index.catalog:
            self._index = ReplicaIndex(catalog)
        return Planner(
            self._context.view,
            self._index,
            self._context.load,
            now=self._now(),
            rng=self._context.rng,
        )

    def _now(self) -> float:
        return self._context.view.now()
