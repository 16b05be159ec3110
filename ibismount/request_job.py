"""Run one request of a caller, from its receipt to its outcome."""

import asyncio
import dataclasses
import math
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

from ibismount.errors import ErrorCode
from ibismount.http_client import ExchangeFailure, RawResponse
from ibismount.part_tracker import Attempt, Decision, Part, PartTracker
from ibismount.routes import Route
from ibismount.send_order import SendOrder
from ibismount.server_connection_pool import PendingExchange
from ibismount.server_health import ServerHealth
from ibismount.server_table import Server
from ibismount.top_k import merge_top_k
from ibismount.wait_queues import Waiter
from ibismount.wire_format import (
    AnswerKind,
    CallerRequest,
    Outcome,
    OutcomeKind,
    ServerAnswer,
)

if TYPE_CHECKING:
    from ibismount.edge_dispatch import EdgeDispatch

__all__ = ('DispatchOptions', 'RequestJob', 'ServerCall')


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchOptions:
    """Times in seconds, and limits, of one node's dispatch."""

    # An answer is given this long before the route's target, to allow for the
    # network to the caller and for late timers.
    answer_margin_s: float = 0.011
    # The same before the caller's deadline or the route's timeout.
    end_margin_s: float = 0.01
    # Attempts still open at the outcome may be answered for this long, so that
    # their connections can be reused.
    linger_s: float = 0.3
    # Share of the target for which a lost part waits for the retry budget. A
    # caller whose search fails early can still repeat it in time.
    budget_wait_share: float = 0.2
    # Interval at which a queued part is tried again, besides each time that a
    # server becomes free: permits of cold servers accrue with time.
    queue_retry_pause_s: float = 0.03
    # Interval at which a retry without a free server or budget is tried again.
    retry_pause_s: float = 0.005
    # Time for which a server with an overdue request is a suspect and others are
    # preferred: the usual length of a pause.
    suspect_s: float = 0.2
    # Rejections of a request, per part, after which a rejected part is given up.
    max_rejections: int = 3
    # Lost servers of a request, before any server ran a part of it, above which
    # its retries wait until it is known whether these servers ended.
    max_early_losses: int = 2
    # Requests under way at which new ones are rejected, to bound memory.
    max_jobs: int = 2000


class ServerCall:
    """One attempt at a backend server; receives the result of its exchange."""

    __slots__ = (
        '_job',
        'attempt',
        'extra',
        'health',
        'pending',
        'sent_bytes',
        'server',
    )

    def __init__(
        self, job: 'RequestJob', server: Server, *, extra: bool
    ) -> None:
        """Start without an attempt; it is recorded when the exchange starts."""
        self._job = job
        self.server = server
        # The attempt is a hedge or a retry.
        self.extra = extra
        self.sent_bytes = 0
        self.attempt: Attempt | None = None
        self.pending: PendingExchange | None = None
        # Kept here, because a restart replaces the health of the server.
        self.health: ServerHealth | None = None

    def encode(self) -> bytes:
        """Encode the request when it is about to be sent."""
        raw = self._job.encode_for(self.server)
        self.sent_bytes = len(raw)
        return raw

    def on_response(self, response: RawResponse) -> bool:
        """Pass on a response; return False if it belongs to another request."""
        return self._job.handle_answer(self, response)

    def on_exchange_failed(self, failure: ExchangeFailure) -> None:
        """Pass on the loss of the connection."""
        self._job.handle_loss(self, failure)


class RequestJob:
    """Run one request of a caller, from its receipt to its outcome.

    Args:
        dispatch: What all requests of the node share.
        req: The request.
        route: The route that matched it.
        tracker: Its parts and their attempts.
        on_outcome: Called once with the outcome, unless the caller leaves.
        suspect_services: Services whose servers ended under the request
            before, or None: one part must then be answered before the others
            are sent.
    """

    def __init__(
        self,
        dispatch: 'EdgeDispatch',
        req: CallerRequest,
        route: Route,
        tracker: PartTracker,
        on_outcome: Callable[[Outcome], None],
        *,
        suspect_services: Collection[str] | None = None,
    ) -> None:
        """Start with nothing sent."""
        self.req = req
        self.route = route
        self.tracker = tracker
        self.started_at = dispatch.now()
        self._dispatch = dispatch
        self._on_outcome: Callable[[Outcome], None] | None = on_outcome
        self._open_calls: set[ServerCall] = set()
        self._answers: dict[Part, ServerAnswer] = {}
        self._last_failure: ServerAnswer | None = None
        self._rejections = 0
        self._timer: asyncio.TimerHandle | None = None
        # Nothing was added since the timer was set that is due before it.
        self._timer_is_current = False
        # Parts that wait in a queue for their first attempt.
        self._waiters: dict[Part, Waiter] = {}
        # Parts whose next attempt is tried again soon, and whether it spends
        # the budget. They are not queued: they may not use every server, so at
        # the head of a queue they would block parts that can.
        self._pending_retries: dict[Part, bool] = {}
        # Whether a queue was too long or no server became free in time.
        self._deadline_unreachable = False
        # Servers that broke their connection before any server had run a part.
        self._early_losses = 0
        self._has_run = False
        self._order = SendOrder(suspect_services)

    @property
    def ended(self) -> bool:
        """Return whether the caller has its outcome or has left."""
        return self._on_outcome is None

    def latest_send_at(self) -> float:
        """Return the time until which a first attempt is probably in time."""
        plan = self.tracker.plan
        p90_s = self._dispatch.p90_s(self.route)
        # Lets a route wait whose target is close to its latency.
        min_send_at = min(self.started_at + p90_s, plan.end_at)
        return max(plan.answer_at - p90_s, min_send_at)

    def start(self) -> None:
        """Send every part, unless too few can be served in time."""
        parts = self.tracker.parts
        for part in parts:
            if not self._dispatch.has_server(part):
                self.tracker.exhaust(part)
            elif not self._dispatch.can_meet_deadline(self, part):
                self._deadline_unreachable = True
                self.tracker.exhaust(part)
        if self.tracker.decide(self.started_at) is Decision.WAIT:
            for part in self._order.start(
                part for part in parts if not part.exhausted
            ):
                self._try_send(part)
        self._apply_decision()

    def encode_for(self, server: Server) -> bytes:
        """Encode the request for a server, with the time that is left."""
        elapsed_s = self._dispatch.now() - self.started_at
        remaining_s = min(self.req.deadline_s, self.route.timeout_s) - elapsed_s
        return self._dispatch.wire.encode_request(
            self.req, server, max(0.001, remaining_s)
        )

    def end_now(self) -> None:
        """End the request with what it has: the node is about to stop."""
        if self.ended:
            return
        tracker = self.tracker
        if tracker.answered_count >= tracker.plan.min_parts:
            self._finish(self._make_answer())
        else:
            self._finish(self._make_failure(ErrorCode.SHUTTING_DOWN))

    def caller_left(self) -> None:
        """Cancel the request, because its caller has left."""
        if self.ended:
            return
        self._on_outcome = None
        self._stop_timer()
        self._leave_queues()
        self._cancel_open_calls()
        self._dispatch.finish_job(self)

    def handle_answer(self, call: ServerCall, raw: RawResponse) -> bool:
        """Handle an answer; return False if it belongs to another request."""
        dispatch = self._dispatch
        answer = dispatch.wire.read_answer(self.req, raw)
        if not dispatch.belongs_to_request(self, call, answer):
            return False
        self._close_call(call, raw.received_bytes)
        dispatch.record_answer(self, call, answer)
        attempt, tracker = call.attempt, self.tracker
        if answer.is_conclusive:
            self._has_run = True
            dispatch.crash_guard.release_canary(self.req.fingerprint, self)
            for part in self._order.release(attempt.part):
                self._try_send(part)
        if answer.kind is AnswerKind.ANSWER:
            if tracker.record_answer(attempt) and not self.ended:
                self._answers[attempt.part] = answer
        elif answer.kind in {AnswerKind.FAILURE, AnswerKind.GARBLED}:
            tracker.record_failure(attempt)
            if answer.kind is AnswerKind.FAILURE:
                self._last_failure = answer
            self._retry(attempt.part)
        else:
            tracker.record_not_run(attempt)
            self._rejections += 1
            if self._rejections > dispatch.options.max_rejections * len(
                tracker.parts
            ):
                tracker.exhaust(attempt.part)
            self._retry(attempt.part)
        self._apply_decision()
        return True

    def handle_loss(self, call: ServerCall, failure: ExchangeFailure) -> None:
        """Handle an attempt that ended without an answer."""
        self._close_call(call)
        self._dispatch.record_connection_loss(self, call, failure)
        if failure is ExchangeFailure.BROKEN and not self._has_run:
            self._early_losses += 1
        attempt = call.attempt
        if failure is ExchangeFailure.NOT_SENT:
            self.tracker.record_not_run(attempt)
        else:
            self.tracker.record_failure(attempt)
        self._retry(
            attempt.part,
            may_have_arrived=failure is not ExchangeFailure.NOT_SENT,
        )
        self._apply_decision()

    def _retry(self, part: Part, *, may_have_arrived: bool = True) -> None:
        if self.ended or part.answered:
            return
        if part.open and part.runs >= self.tracker.plan.max_runs:
            return
        canary_lost = may_have_arrived and self._order.is_canary(part)
        if (
            canary_lost
            or not self.tracker.may_send(part)
            or self._dispatch.is_quarantined(self.req)
        ):
            self.tracker.exhaust(part)
        elif self._may_be_ending_servers():
            self._pending_retries[part] = may_have_arrived
            self._timer_is_current = False
        else:
            self._try_send(part, extra=may_have_arrived)

    def _may_be_ending_servers(self) -> bool:
        """Return whether the request may have ended all servers that had it.

        Their loss may have another cause, so retries wait until that is known.
        """
        max_losses = self._dispatch.options.max_early_losses
        return not self._has_run and self._early_losses > max_losses

    def _retry_pending(self) -> None:
        pending_retries, self._pending_retries = self._pending_retries, {}
        for part, extra in pending_retries.items():
            if not self._may_be_ending_servers():
                self._try_send(part, extra=extra)
            elif self._dispatch.is_suspect(self.req):
                self.tracker.exhaust(part)
            elif self._dispatch.crash_guard.is_checking(self.req.fingerprint):
                self._pending_retries[part] = extra
            else:
                # The servers are there and have only lost connections.
                self._try_send(part, extra=extra)

    def _try_send(self, part: Part, *, extra: bool = False) -> bool:
        """Send a part to the best free server, or let it wait.

        Args:
            part: The part.
            extra: The attempt spends the budget of extra requests.
        """
        dispatch = self._dispatch
        ranked = dispatch.rank_servers(part)
        if not ranked or dispatch.is_quarantined(self.req):
            self._give_up(part)
            return False
        if self._must_wait_for_canary(part):
            self._pending_retries[part] = extra
            self._timer_is_current = False
            return False
        if extra and not dispatch.budget.try_withdraw(
            part.service, urgent=not part.open
        ):
            if not part.open:
                self._wait_for_budget(part)
            return False
        if not self._would_overtake(part):
            for server in ranked:
                if part.open and not dispatch.has_slot_for_hedge(server):
                    continue
                if self._try_send_to(part, server):
                    self._leave_queue(part)
                    # Later attempts of a request that was not sent are
                    # neither extra nor another request.
                    if len(part.attempts) == 1:
                        dispatch.budget.deposit(part.service)
                    return True
        if extra:
            dispatch.budget.refund(part.service)
        if not part.open:
            self._wait_for_server(part, extra=extra)
        return False

    def _must_wait_for_canary(self, part: Part) -> bool:
        """Return whether another request of the fingerprint is sent first."""
        if not self._order.is_canary(part):
            return False
        crash_guard = self._dispatch.crash_guard
        return not crash_guard.claim_canary(self.req.fingerprint, self)

    def _give_up(self, part: Part) -> None:
        self._leave_queue(part)
        self.tracker.exhaust(part)

    def _would_overtake(self, part: Part) -> bool:
        """Return whether queued parts must be served before this one."""
        if part.tried or part in self._waiters:
            return False
        wait_queues = self._dispatch.wait_queues
        return bool(wait_queues.count_ahead(part.service, self.route.priority))

    def _wait_for_server(self, part: Part, *, extra: bool) -> None:
        """Queue or retry a part while an answer can still be in time."""
        if part.tried:
            self._pending_retries[part] = extra
            self._timer_is_current = False
        elif self._dispatch.now() >= self.latest_send_at():
            self._deadline_unreachable = True
            self._give_up(part)
        elif part not in self._waiters:
            self._waiters[part] = self._dispatch.wait_queues.enqueue(
                part.service,
                self.route.priority,
                lambda: self._resume(part),
            )
            self._timer_is_current = False

    def _resume(self, part: Part) -> None:
        if part in self._waiters and not self.ended:
            self._try_send(part)
            self._apply_decision()

    def _leave_queue(self, part: Part) -> None:
        waiter = self._waiters.pop(part, None)
        if waiter is not None:
            self._dispatch.wait_queues.remove(waiter)

    def _wait_for_budget(self, part: Part) -> None:
        """Retry a part until the budget has a token, for a limited time."""
        wait_s = self.route.target_s * self._dispatch.options.budget_wait_share
        if self._dispatch.now() < self.started_at + wait_s:
            self._pending_retries[part] = True
            self._timer_is_current = False
        else:
            self.tracker.exhaust(part)

    def _try_send_to(self, part: Part, server: Server) -> bool:
        dispatch = self._dispatch
        if not dispatch.reserve(server):
            return False
        call = ServerCall(self, server, extra=bool(part.attempts))
        call.pending = dispatch.pool.start_exchange(
            (server.host, server.port),
            call,
            call.encode,
            max_open=dispatch.connection_limit(server),
        )
        if call.pending is None:
            dispatch.release(server)
            return False
        call.attempt = self.tracker.record_send(part, server.id, dispatch.now())
        self._timer_is_current = False
        self._open_calls.add(call)
        call.health = dispatch.begin_attempt(server)
        return True

    def _close_call(self, call: ServerCall, received_bytes: int = 0) -> None:
        if call in self._open_calls:
            self._open_calls.discard(call)
            self._dispatch.end_attempt(call, received_bytes)

    def _apply_decision(self) -> None:
        if self.ended:
            return
        while canary := self._order.replace_canary():
            self._try_send(canary)
        for part in self._order.take_hopeless():
            self.tracker.exhaust(part)
        now = self._dispatch.now()
        decision = self.tracker.decide(now)
        if decision is Decision.ANSWER:
            self._finish(self._make_answer())
        elif decision is Decision.FAIL:
            self._finish(self._make_failure())
        else:
            self._schedule_timer(now)

    def _schedule_timer(self, now: float) -> None:
        if self._timer is not None and self._timer_is_current:
            return
        self._timer_is_current = True
        check_at = self.tracker.next_decision_at(now)
        options = self._dispatch.options
        if self._waiters:
            check_at = min(check_at, now + options.queue_retry_pause_s)
        if self._pending_retries:
            check_at = min(check_at, now + options.retry_pause_s)
        if self._timer is not None:
            # A timer that fires early does no harm.
            if self._timer.when() <= check_at:
                return
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(
            check_at, self._on_timer
        )

    def _on_timer(self) -> None:
        self._timer = None
        now = self._dispatch.now()
        self._retry_pending()
        for part in list(self._waiters):
            self._try_send(part)
        for part in self.tracker.due_hedges(now):
            self._hedge(part, now)
        self._apply_decision()

    def _hedge(self, part: Part, now: float) -> None:
        self._record_overdue(part, now)
        if not self.tracker.may_send(part):
            part.next_hedge_at = math.inf
            return
        # Without budget or a free server now, the part asks again later.
        part.next_hedge_at = now + self.tracker.plan.hedge_delay_s
        # A free server goes to a first send that waits for it.
        if self._dispatch.wait_queues.peek(part.service) is None:
            self._try_send(part, extra=True)

    def _record_overdue(self, part: Part, now: float) -> None:
        for call in self._open_calls:
            if call.attempt.part is part:
                self._dispatch.record_overdue(self, call, now)

    def _make_answer(self) -> Outcome:
        if not self.route.shards:
            answer = next(iter(self._answers.values()))
            return Outcome(OutcomeKind.RELAYED, relayed=answer)
        answers = self._answers.values()
        return Outcome(
            OutcomeKind.MERGED,
            records=merge_top_k(
                (shard_answer.raw.body for shard_answer in answers),
                self.route.top_k,
            ),
            signatures=tuple(
                shard_answer.signature for shard_answer in answers
            ),
            missing=len(self.tracker.parts) - len(self._answers),
        )

    def _make_failure(self, code: ErrorCode | None = None) -> Outcome:
        """Return the outcome of a request that can't be answered.

        Args:
            code: Why, if it is neither the deadline nor the servers.
        """
        self._cancel_unsent_calls()
        if not self.route.shards and self._last_failure is not None:
            return Outcome(OutcomeKind.RELAYED, relayed=self._last_failure)
        if not self.tracker.may_have_run:
            if self._dispatch.is_quarantined(self.req):
                return self._dispatch.refuse_quarantined(self.req)
            not_run_code = (
                ErrorCode.DEADLINE_HOPELESS
                if self._deadline_unreachable
                else ErrorCode.NO_REPLICA
            )
            return Outcome(
                OutcomeKind.NOT_RUN,
                code=code or not_run_code,
                retry_after_s=self._dispatch.retry_after_s(self.req),
            )
        late = self._dispatch.now() >= self.tracker.plan.end_at
        unknown_code = (
            ErrorCode.DEADLINE_EXCEEDED if late else ErrorCode.BACKEND_LOST
        )
        return Outcome(OutcomeKind.UNKNOWN, code=code or unknown_code)

    def _finish(self, outcome: Outcome) -> None:
        on_outcome, self._on_outcome = self._on_outcome, None
        self._stop_timer()
        self._leave_queues()
        self._dispatch.finish_job(self, outcome)
        if outcome.kind is OutcomeKind.NOT_RUN:
            # No server may still receive the request after this outcome.
            self._cancel_open_calls()
        elif self._open_calls:
            self._timer = asyncio.get_running_loop().call_later(
                self._dispatch.options.linger_s, self._cancel_late_calls
            )
        on_outcome(outcome)

    def _cancel_late_calls(self) -> None:
        """Cancel attempts that are still open and record them as overdue."""
        self._timer = None
        now = self._dispatch.now()
        for call in self._open_calls:
            self._dispatch.record_overdue(self, call, now, suspect=False)
        self._cancel_open_calls()

    def _cancel_open_calls(self) -> None:
        for call in list(self._open_calls):
            self._close_call(call)
            call.pending.cancel()

    def _cancel_unsent_calls(self) -> None:
        """Cancel attempts that still wait for a connection: they did not run."""
        for call in list(self._open_calls):
            if not call.pending.sent:
                self._close_call(call)
                call.pending.cancel()
                self.tracker.record_not_run(call.attempt)

    def _leave_queues(self) -> None:
        for part in list(self._waiters):
            self._leave_queue(part)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
