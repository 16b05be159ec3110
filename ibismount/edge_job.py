"""One request of a caller, from its receipt to its outcome."""

import asyncio
import dataclasses
import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from ibismount.errors import ErrorCode
from ibismount.gathering import Attempt, Decision, Gathering, Part
from ibismount.http_client import ExchangeFailure, RawResponse
from ibismount.routes import Route
from ibismount.server_connection_pool import PendingExchange
from ibismount.server_health import ServerHealth
from ibismount.server_table import Server
from ibismount.top_k import merge_top_k
from ibismount.waiting import Waiter
from ibismount.wire_format import (
    CallerRequest,
    Outcome,
    OutcomeKind,
    ServerAnswer,
    Verdict,
)

if TYPE_CHECKING:
    from ibismount.edge_dispatch import EdgeDispatch

__all__ = ('DispatchOptions', 'Job', 'Sending')


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchOptions:
    """Times in seconds, and weights, of one node's dispatch."""

    # Time for an answer's way to the caller and for its late timers.
    answer_margin_s: float = 0.011
    # The same before the caller's deadline or the route's timeout.
    end_margin_s: float = 0.01
    # Answers of slower attempts are awaited this long after the outcome, so
    # that their connections can be used again.
    linger_s: float = 0.3
    # Share of the target for which a lost part waits for the budget. A search
    # that fails soon can still be asked again in time.
    budget_wait_share: float = 0.2
    # Pause before a part in a line is tried again, besides the moments at
    # which a server becomes free: permits come with time.
    line_pause_s: float = 0.03
    # Pause before a further attempt that found no free server, or no budget.
    retry_pause_s: float = 0.005
    # Time for which an overdue server gets no new request: a usual pause.
    overdue_hold_s: float = 0.2
    # Most rejections of one part before it counts as failed.
    rejections_most: int = 3
    # Requests under way at which new ones are rejected: bounds memory.
    jobs_most: int = 2000


class Sending:
    """One attempt on its way; gets the outcome of its exchange."""

    __slots__ = ('_job', 'attempt', 'health', 'pending', 'server')

    def __init__(self, job: 'Job', server: Server) -> None:
        """Start without an attempt; it is recorded once it is under way."""
        self._job = job
        self.server = server
        self.attempt: Attempt | None = None
        self.pending: PendingExchange | None = None
        # Of the lifetime of the server that gets the attempt.
        self.health: ServerHealth | None = None

    def on_response(self, answer: RawResponse) -> bool:
        """Take an answer unless it belongs to another request."""
        return self._job.answered(self, answer)

    def on_exchange_failed(self, end: ExchangeFailure) -> None:
        """Take the loss of the connection."""
        self._job.lost(self, end)


class Job:
    """One request of a caller, from its receipt to its outcome."""

    def __init__(
        self,
        dispatch: 'EdgeDispatch',
        req: CallerRequest,
        route: Route,
        gathering: Gathering,
        on_outcome: Callable[[Outcome], None],
    ) -> None:
        """Start with nothing sent."""
        self.req = req
        self.route = route
        self.gathering = gathering
        self.started_at = dispatch.now()
        self._dispatch = dispatch
        self._on_outcome: Callable[[Outcome], None] | None = on_outcome
        self._open: set[Sending] = set()
        self._answers: dict[Part, ServerAnswer] = {}
        self._failure: ServerAnswer | None = None
        self._rejections = 0
        self._timer: asyncio.TimerHandle | None = None
        # Parts that wait for their first attempt, with their place in line.
        self._waiting: dict[Part, Waiter] = {}
        # Parts whose further attempt is tried again soon, and whether it
        # counts as extra. They may not use every server, so in a line they
        # would keep back others that can.
        self._repeating: dict[Part, bool] = {}
        # A part found too long a line, or no free server in time.
        self._hopeless = False

    @property
    def ended(self) -> bool:
        """Tell whether the caller has its outcome or has left."""
        return self._on_outcome is None

    def last_send_at(self) -> float:
        """Return until when a first send is probably in time."""
        plan = self.gathering.plan
        long_s = self._dispatch.long_s(self.route)
        # A route whose target is close to its latency may wait a bit.
        least_at = min(self.started_at + long_s, plan.end_at)
        return max(plan.answer_at - long_s, least_at)

    def start(self) -> None:
        """Send every part once, unless too few can be had in time."""
        parts = self.gathering.parts
        for part in parts:
            if not self._dispatch.has_server(part):
                part.exhausted = True
            elif not self._dispatch.is_hopeful(self, part):
                part.exhausted = self._hopeless = True
        if self.gathering.decide(self.started_at) is Decision.WAIT:
            for part in parts:
                if not part.exhausted:
                    self._send(part)
        self._decide()

    def missing(self) -> dict[str, str]:
        """Return the parts that are not in, each with what was tried."""
        return {
            part.service: ' '.join(sorted(part.tried)) or 'no server'
            for part in self.gathering.parts
            if not part.done
        }

    def caller_left(self) -> None:
        """Stop at once: nobody waits for the outcome."""
        if self.ended:
            return
        self._on_outcome = None
        self._stop_timer()
        self._leave_lines()
        self._cancel_open()
        self._dispatch.job_ended(self)

    def answered(self, sending: Sending, raw: RawResponse) -> bool:
        """Take an answer; return False when it belongs to another request."""
        dispatch = self._dispatch
        answer = dispatch.wire.read_answer(self.req, raw)
        if answer.verdict is Verdict.FOREIGN:
            return False
        self._close(sending)
        dispatch.observe(self, sending, answer)
        attempt, gathering = sending.attempt, self.gathering
        if answer.verdict is Verdict.ANSWER:
            if gathering.answered(attempt) and not self.ended:
                self._answers[attempt.part] = answer
        elif answer.verdict in {Verdict.FAILURE, Verdict.GARBLED}:
            gathering.failed(attempt)
            if answer.verdict is Verdict.FAILURE:
                self._failure = answer
            self._retry(attempt.part)
        else:
            gathering.not_run(attempt)
            self._rejections += 1
            if self._rejections > dispatch.options.rejections_most * len(
                gathering.parts
            ):
                attempt.part.exhausted = True
            self._retry(attempt.part)
        self._decide()
        return True

    def lost(self, sending: Sending, end: ExchangeFailure) -> None:
        """Take the loss of an attempt."""
        self._close(sending)
        self._dispatch.observe_loss(self, sending, end)
        attempt = sending.attempt
        if end is ExchangeFailure.NOT_SENT:
            self.gathering.not_run(attempt)
        else:
            self.gathering.failed(attempt)
        self._retry(attempt.part, arrived=end is not ExchangeFailure.NOT_SENT)
        self._decide()

    def _retry(self, part: Part, *, arrived: bool = True) -> None:
        if self.ended or part.done:
            return
        if part.open and part.runs >= self.gathering.plan.max_runs:
            return
        if not self.gathering.may_send(part):
            part.exhausted = True
            return
        self._send(part, extra=arrived)

    def _send(self, part: Part, *, extra: bool = False) -> bool:
        """Send a part to the best server that is free, or let it wait."""
        dispatch = self._dispatch
        ranked = dispatch.ranked(part)
        if not ranked:
            self._give_up(part)
            return False
        if extra and not dispatch.budget.try_withdraw(
            part.service, urgent=not part.open
        ):
            if not part.open:
                self._await_budget(part)
            return False
        if not self._overtakes(part):
            for server in ranked:
                if self._send_to(part, server):
                    self._leave_line(part)
                    if not extra:
                        dispatch.budget.deposit(part.service)
                    return True
        if extra:
            dispatch.budget.refund(part.service)
        if not part.open:
            self._await_server(part, extra=extra)
        return False

    def _give_up(self, part: Part) -> None:
        self._leave_line(part)
        part.exhausted = True

    def _overtakes(self, part: Part) -> bool:
        """Tell whether others have waited for the same servers before."""
        if part.tried or part in self._waiting:
            return False
        lines = self._dispatch.lines
        return bool(lines.ahead(part.service, self.route.priority))

    def _await_server(self, part: Part, *, extra: bool) -> None:
        """Wait for a server while an answer can still be in time."""
        if part.tried:
            self._repeating[part] = extra
        elif self._dispatch.now() >= self.last_send_at():
            self._hopeless = True
            self._give_up(part)
        elif part not in self._waiting:
            self._waiting[part] = self._dispatch.lines.enter(
                part.service,
                self.route.priority,
                lambda: self._resume(part),
            )

    def _resume(self, part: Part) -> None:
        if part in self._waiting and not self.ended:
            self._send(part)
            self._decide()

    def _leave_line(self, part: Part) -> None:
        waiter = self._waiting.pop(part, None)
        if waiter is not None:
            self._dispatch.lines.leave(waiter)

    def _await_budget(self, part: Part) -> None:
        """Try a part again when the budget has filled up, for a while."""
        wait_s = self.route.target_s * self._dispatch.options.budget_wait_share
        if self._dispatch.now() < self.started_at + wait_s:
            self._repeating[part] = True
        else:
            part.exhausted = True

    def _send_to(self, part: Part, server: Server) -> bool:
        dispatch = self._dispatch
        if not dispatch.reserve(server):
            return False
        sending = Sending(self, server)
        sending.pending = dispatch.pool.start_exchange(
            (server.host, server.port),
            sending,
            lambda: dispatch.wire.encode_request(
                self.req, server, self._remaining()
            ),
            max_open=dispatch.max_open(server),
        )
        if sending.pending is None:
            dispatch.give_back(server)
            return False
        sending.attempt = self.gathering.sent(part, server.id, dispatch.now())
        self._open.add(sending)
        sending.health = dispatch.send_began(server)
        return True

    def _remaining(self) -> float:
        spent = self._dispatch.now() - self.started_at
        return max(
            0.001, min(self.req.deadline_s, self.route.timeout_s) - spent
        )

    def _close(self, sending: Sending) -> None:
        if sending in self._open:
            self._open.discard(sending)
            self._dispatch.send_ended(sending)

    def _decide(self) -> None:
        if self.ended:
            return
        now = self._dispatch.now()
        decision = self.gathering.decide(now)
        if decision is Decision.ANSWER:
            self._end(self._answer())
        elif decision is Decision.FAIL:
            self._end(self._failed_outcome())
        else:
            self._arm(now)

    def _arm(self, now: float) -> None:
        moment = self.gathering.next_check(now)
        options = self._dispatch.options
        if self._waiting:
            moment = min(moment, now + options.line_pause_s)
        if self._repeating:
            moment = min(moment, now + options.retry_pause_s)
        if self._timer is not None:
            # A timer that fires early only decides once more.
            if self._timer.when() <= moment:
                return
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(moment, self._tick)

    def _tick(self) -> None:
        self._timer = None
        now = self._dispatch.now()
        repeating, self._repeating = self._repeating, {}
        for part, extra in repeating.items():
            self._send(part, extra=extra)
        for part in list(self._waiting):
            self._send(part)
        for part in self.gathering.due_hedges(now):
            part.next_hedge_at = math.inf
            self._note_overdue(part, now)
            self._send(part, extra=True)
        self._decide()

    def _note_overdue(self, part: Part, now: float) -> None:
        for sending in self._open:
            if sending.attempt.part is part:
                self._dispatch.observe_overdue(self, sending, now)

    def _answer(self) -> Outcome:
        if not self.route.shards:
            answer = next(iter(self._answers.values()))
            return Outcome(OutcomeKind.RELAYED, relayed=answer)
        answers = self._answers.values()
        return Outcome(
            OutcomeKind.MERGED,
            records=merge_top_k(
                (one.raw.body for one in answers), self.route.top_k
            ),
            signatures=tuple(one.signature for one in answers),
            missing=len(self.gathering.parts) - len(self._answers),
        )

    def _failed_outcome(self) -> Outcome:
        if not self.route.shards and self._failure is not None:
            return Outcome(OutcomeKind.RELAYED, relayed=self._failure)
        if not self.gathering.ran:
            return Outcome(
                OutcomeKind.NOT_RUN,
                code=ErrorCode.DEADLINE_HOPELESS
                if self._hopeless
                else ErrorCode.NO_REPLICA,
                retry_after_s=self._dispatch.retry_after_s(self.req),
            )
        late = self._dispatch.now() >= self.gathering.plan.end_at
        code = ErrorCode.DEADLINE_EXCEEDED if late else ErrorCode.BACKEND_LOST
        return Outcome(OutcomeKind.UNKNOWN, code=code)

    def _end(self, outcome: Outcome) -> None:
        on_outcome, self._on_outcome = self._on_outcome, None
        self._stop_timer()
        self._leave_lines()
        self._dispatch.job_ended(self, outcome)
        if outcome.kind is OutcomeKind.NOT_RUN:
            # The promise holds only if nothing can still arrive.
            self._cancel_open()
        elif self._open:
            self._timer = asyncio.get_running_loop().call_later(
                self._dispatch.options.linger_s, self._stop_lingering
            )
        on_outcome(outcome)

    def _stop_lingering(self) -> None:
        """End attempts that are still open; they count as slow."""
        self._timer = None
        now = self._dispatch.now()
        for sending in self._open:
            self._dispatch.observe_overdue(self, sending, now, hold=False)
        self._cancel_open()

    def _cancel_open(self) -> None:
        for sending in list(self._open):
            self._close(sending)
            sending.pending.cancel()

    def _leave_lines(self) -> None:
        for part in list(self._waiting):
            self._leave_line(part)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
