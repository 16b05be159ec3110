"""Send requests of callers to backend servers and end each exactly once."""

import asyncio
import dataclasses
import math
import random
from collections.abc import Callable

from ibismount.edge_metrics import EdgeMetrics
from ibismount.errors import ErrorCode
from ibismount.fleet import Fleet
from ibismount.gathering import (
    Attempt,
    Decision,
    Gathering,
    GatheringPlan,
    Part,
    least_parts,
)
from ibismount.hedging import LatencyEstimate
from ibismount.http_exchange import ExchangeEnd, RawAnswer
from ibismount.logs import part_logger
from ibismount.placement import Placement
from ibismount.routes import Route, TrafficSplit
from ibismount.server_pool import PendingExchange, ServerPool
from ibismount.servers import Server
from ibismount.top_k import merge_top_k
from ibismount.traffic_budget import TrafficBudget
from ibismount.wire_format import (
    CallerRequest,
    Outcome,
    OutcomeKind,
    ServerAnswer,
    Verdict,
    WireFormat,
)

__all__ = ('DispatchOptions', 'EdgeDispatch', 'Job')

log = part_logger('dispatch')

# Answers of servers that say nothing about whether another server would do.
_HEDGE_QUANTILE = 0.95
_USUAL_QUANTILE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchOptions:
    """Times in seconds, and weights, of one node's dispatch."""

    # Time for an answer's way to the caller and for its late timers.
    answer_margin_s: float = 0.011
    # The same before the caller's deadline or the route's timeout.
    end_margin_s: float = 0.01
    # Share of the target taken as the usual latency and as the hedge delay
    # while there are too few observations.
    first_usual_share: float = 0.2
    first_hedge_share: float = 0.4
    # Bounds of the hedge delay: multiples of the usual latency, and the share
    # of the target after which a hedge would come too late. The upper multiple
    # holds when many servers are slow and shift the quantile.
    hedge_least: float = 1.4
    hedge_most: float = 2.3
    hedge_most_share: float = 0.6
    # Answers of slower attempts are awaited this long after the outcome, so
    # that their connections can be used again.
    linger_s: float = 0.3
    # Share of the target for which a lost part waits for the budget. A search
    # that fails soon can still be asked again in time.
    budget_wait_share: float = 0.2
    # Pause before a part that found no free connection is tried again.
    connection_pause_s: float = 0.005
    # Time for which an overdue server gets no new request: a usual pause.
    overdue_hold_s: float = 0.2
    # Most rejections of one part before it counts as failed.
    rejections_most: int = 3
    # Requests under way at which new ones are rejected: bounds memory.
    jobs_most: int = 2000


_DEFAULTS = DispatchOptions()


# Share of a server's connections that the nodes use together; the rest is
# for nodes that join before all others know of them.
_CONNECTION_SHARE = 0.85
# Requests that all nodes together keep at a server, as a multiple of its slots.
_QUEUED_SHARE = 1.5
# Bounds of the time after which a rejected caller comes back, in seconds and
# as a share of its deadline. Callers honour up to a third of what is left; a
# node that just started needs most of it.
_RETRY_MOST_S = 0.6
_RETRY_SHARE = 0.12
_RETRY_SHARE_FRESH = 0.3


class _Sending:
    """One attempt on its way; gets the outcome of its exchange."""

    __slots__ = ('_job', 'attempt', 'pending', 'server')

    def __init__(self, job: 'Job', server: Server) -> None:
        """Start without an attempt; it is recorded once it is under way."""
        self._job = job
        self.server = server
        self.attempt: Attempt | None = None
        self.pending: PendingExchange | None = None

    def exchange_answered(self, answer: RawAnswer) -> bool:
        """Take an answer unless it belongs to another request."""
        return self._job.answered(self, answer)

    def exchange_ended(self, end: ExchangeEnd) -> None:
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
        self._open: set[_Sending] = set()
        self._answers: dict[Part, ServerAnswer] = {}
        self._failure: ServerAnswer | None = None
        self._rejections = 0
        self._timer: asyncio.TimerHandle | None = None
        # Parts that found no free connection, and whether they count as extra.
        self._starved: dict[Part, bool] = {}

    @property
    def ended(self) -> bool:
        """Tell whether the caller has its outcome or has left."""
        return self._on_outcome is None

    def start(self) -> None:
        """Send every part once, unless too few can be had at all."""
        parts = self.gathering.parts
        for part in parts:
            part.exhausted = not self._dispatch.has_server(part)
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
        self._cancel_open()
        self._dispatch.job_ended(self)

    def answered(self, sending: _Sending, raw: RawAnswer) -> bool:
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

    def lost(self, sending: _Sending, end: ExchangeEnd) -> None:
        """Take the loss of an attempt."""
        self._close(sending)
        self._dispatch.observe_loss(self, sending, end)
        attempt = sending.attempt
        if end is ExchangeEnd.NOT_SENT:
            self.gathering.not_run(attempt)
        else:
            self.gathering.failed(attempt)
        self._retry(attempt.part, arrived=end is not ExchangeEnd.NOT_SENT)
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
        """Send a part to the best server that has a free connection."""
        dispatch = self._dispatch
        ranked = dispatch.ranked(part)
        if not ranked:
            part.exhausted = True
            return False
        if extra and not dispatch.budget.spend(
            part.service, urgent=not part.open
        ):
            if not part.open:
                self._await_budget(part)
            return False
        for server in ranked:
            if self._send_to(part, server):
                self._starved.pop(part, None)
                if not extra:
                    dispatch.budget.earn(part.service)
                return True
        if extra:
            dispatch.budget.refund(part.service)
        if not part.open:
            self._starved[part] = extra
        return False

    def _await_budget(self, part: Part) -> None:
        """Try a part again when the budget has filled up, for a while."""
        wait_s = self.route.target_s * self._dispatch.options.budget_wait_share
        if self._dispatch.now() < self.started_at + wait_s:
            self._starved[part] = True
        else:
            part.exhausted = True

    def _send_to(self, part: Part, server: Server) -> bool:
        dispatch = self._dispatch
        if dispatch.is_full(server):
            return False
        sending = _Sending(self, server)
        sending.pending = dispatch.pool.start(
            (server.host, server.port),
            sending,
            lambda: dispatch.wire.encode_request(
                self.req, server, self._remaining()
            ),
            max_open=dispatch.max_open(server),
        )
        if sending.pending is None:
            return False
        sending.attempt = self.gathering.sent(part, server.id, dispatch.now())
        self._open.add(sending)
        dispatch.placement.health(server).in_flight += 1
        return True

    def _remaining(self) -> float:
        spent = self._dispatch.now() - self.started_at
        return max(
            0.001, min(self.req.deadline_s, self.route.timeout_s) - spent
        )

    def _close(self, sending: _Sending) -> None:
        if sending in self._open:
            self._open.discard(sending)
            self._dispatch.placement.health(sending.server).in_flight -= 1

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
        if self._starved:
            moment = min(
                moment, now + self._dispatch.options.connection_pause_s
            )
        if self._timer is not None:
            # A timer that fires early only decides once more.
            if self._timer.when() <= moment:
                return
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(moment, self._tick)

    def _tick(self) -> None:
        self._timer = None
        now = self._dispatch.now()
        starved, self._starved = self._starved, {}
        for part, extra in starved.items():
            self._send(part, extra=extra)
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
                code=ErrorCode.NO_REPLICA,
                retry_after_s=self._dispatch.retry_after_s(self.req),
            )
        late = self._dispatch.now() >= self.gathering.plan.end_at
        code = ErrorCode.DEADLINE_EXCEEDED if late else ErrorCode.BACKEND_LOST
        return Outcome(OutcomeKind.UNKNOWN, code=code)

    def _end(self, outcome: Outcome) -> None:
        on_outcome, self._on_outcome = self._on_outcome, None
        self._stop_timer()
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

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class EdgeDispatch:
    """Everything that requests under way on one node share.

    Args:
        fleet: View of routes and backend servers.
        placement: Choice of servers.
        pool: Connections to them.
        budget: Bounds on extra requests.
        wire: The protocol of callers and servers.
        rng: Source of randomness.
        node_count: Returns the number of nodes that share each server.
        options: Times and weights.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        placement: Placement,
        pool: ServerPool,
        budget: TrafficBudget,
        wire: WireFormat,
        rng: random.Random,
        node_count: Callable[[], int],
        options: DispatchOptions = _DEFAULTS,
    ) -> None:
        """Start without requests."""
        self.fleet = fleet
        self.placement = placement
        self.pool = pool
        self.budget = budget
        self.wire = wire
        self.options = options
        self.jobs: set[Job] = set()
        self.metrics = EdgeMetrics(self._gauges)
        self._rng = rng
        self._node_count = node_count
        self._split = TrafficSplit(rng)
        self._latency: dict[str, LatencyEstimate] = {}

    def now(self) -> float:
        """Return the time in seconds."""
        return asyncio.get_running_loop().time()

    def submit(
        self, req: CallerRequest, on_outcome: Callable[[Outcome], None]
    ) -> Job | None:
        """Start a request.

        Returns:
            The job, or None when it ended at once.
        """
        if not self.fleet.ready or len(self.jobs) >= self.options.jobs_most:
            refusal = self._refusal(req)
            self._note_refusal(req, refusal)
            on_outcome(refusal)
            return None
        route = self.fleet.table.match(req.host, req.path)
        if route is None:
            refusal = Outcome(OutcomeKind.NOT_RUN, code=ErrorCode.UNKNOWN_ROUTE)
            self._note_refusal(req, refusal)
            on_outcome(refusal)
            return None
        gathering = Gathering(self._plan(req, route))
        job = Job(self, req, route, gathering, on_outcome)
        self.jobs.add(job)
        job.start()
        return None if job.ended else job

    def has_server(self, part: Part) -> bool:
        """Tell whether any server may get a part."""
        return any(
            one.id not in part.tried and one.zone not in self.fleet.zones_out
            for one in self.fleet.servers.of_service(part.service)
        )

    def ranked(self, part: Part) -> list[Server]:
        """Return the servers that may get a part, best first."""
        servers = list(self.fleet.servers.of_service(part.service))
        return self.placement.rank(
            self.now(),
            servers,
            exclude=part.tried,
            zones_out=self.fleet.zones_out,
            cold=self.fleet.cold_ids(servers),
        )

    def is_full(self, server: Server) -> bool:
        """Tell whether this node's share of a server is in use.

        What is sent beyond the slots only waits there, mostly until nobody
        needs it any more, and a server that pauses gets nothing further.
        """
        share = server.slots * _QUEUED_SHARE / self._node_count()
        in_flight = self.placement.health(server).in_flight
        return in_flight >= max(1, round(share))

    def max_open(self, server: Server) -> int:
        """Return this node's share of a server's connections."""
        service = self.fleet.table.services.get(server.service)
        most = service.max_connections if service else 1
        return max(1, int(most * _CONNECTION_SHARE / self._node_count()))

    def observe(
        self, job: Job, sending: _Sending, answer: ServerAnswer
    ) -> None:
        """Learn from an answer."""
        now = self.now()
        health = self.placement.health(sending.server)
        self.metrics.attempt_ended(answer.verdict.value)
        if answer.verdict is Verdict.ANSWER:
            latency_s = now - sending.attempt.sent_at
            usual_s = self._usual_s(job.route)
            health.answered(now, latency_s / usual_s)
            self._estimate(job.route).record(now, latency_s)
        elif answer.verdict is Verdict.OTHER_SERVER:
            health.lost(now)
        else:
            health.failed(now)
        if answer.verdict is not Verdict.ANSWER:
            self._log_attempt(job, sending, answer.verdict.value)

    def observe_loss(
        self, job: Job, sending: _Sending, end: ExchangeEnd
    ) -> None:
        """Learn from a lost connection."""
        self.placement.health(sending.server).lost(self.now())
        self.metrics.attempt_ended(end.value)
        self._log_attempt(job, sending, end.value)

    def observe_overdue(
        self, job: Job, sending: _Sending, now: float, *, hold: bool = True
    ) -> None:
        """Learn from an attempt that takes longer than usual."""
        ratio = (now - sending.attempt.sent_at) / self._usual_s(job.route)
        hold_s = self.options.overdue_hold_s if hold else 0
        self.placement.health(sending.server).overdue(now, ratio, hold_s)

    def job_ended(self, job: Job, outcome: Outcome | None = None) -> None:
        """Forget a job and record how it ended."""
        self.jobs.discard(job)
        name = outcome.kind.value if outcome else 'caller_left'
        code = outcome.code.value if outcome and outcome.code else ''
        elapsed_s = self.now() - job.started_at
        self.metrics.request_ended(name, code, elapsed_s)
        missing = outcome.missing if outcome else 0
        self.metrics.missing_parts += missing
        if not code and not missing:
            return
        log.info(
            'request failed' if code else 'answered in part',
            extra={
                'request_id': job.req.request_id,
                'route': job.route.name,
                'outcome': name,
                'code': code,
                'in': job.gathering.in_count,
                'of': len(job.gathering.parts),
                'missing': job.missing(),
                'elapsed_ms': round(elapsed_s * 1000, 1),
                'deadline_ms': round(job.req.deadline_s * 1000),
                'version': self.fleet.table.version,
            },
        )

    def retry_after_s(
        self, req: CallerRequest, *, share: float = _RETRY_SHARE
    ) -> float:
        """Return when a rejected caller may come back, spread at random."""
        pause_s = min(_RETRY_MOST_S, req.deadline_s * share)
        return round(pause_s * (0.6 + 0.4 * self._rng.random()), 3)

    def _note_refusal(self, req: CallerRequest, outcome: Outcome) -> None:
        self.metrics.request_ended(outcome.kind.value, outcome.code.value, 0)
        log.info(
            'request refused',
            extra={
                'request_id': req.request_id,
                'host': req.host,
                'path': req.path,
                'code': outcome.code.value,
                'retry_after_s': outcome.retry_after_s,
                'under_way': len(self.jobs),
                'version': self.fleet.table.version,
            },
        )

    def _log_attempt(self, job: Job, sending: _Sending, end: str) -> None:
        now = self.now()
        sent_at = sending.attempt.sent_at
        log.info(
            'server gave no answer',
            extra={
                'request_id': job.req.request_id,
                'server': sending.server.id,
                'service': sending.server.service,
                'revision': sending.server.revision,
                'end': end,
                'elapsed_ms': round((now - sent_at) * 1000, 1),
            },
        )

    def _gauges(self) -> dict[str, float]:
        return {
            'version': self.fleet.table.version,
            'servers': len(self.fleet.servers),
            'servers_doubted': self.fleet.servers.doubted(),
            'servers_revision': self.fleet.servers_revision,
            'requests_under_way': len(self.jobs),
            'connections_opened': self.pool.opened,
            'extra_requests': self.budget.spent,
            'extra_requests_denied': self.budget.denied,
        }

    def _refusal(self, req: CallerRequest) -> Outcome:
        code, share = ErrorCode.NOT_READY, _RETRY_SHARE_FRESH
        if self.fleet.ready:
            code, share = ErrorCode.ENTRY_BUSY, _RETRY_SHARE
        return Outcome(
            OutcomeKind.NOT_RUN,
            code=code,
            retry_after_s=self.retry_after_s(req, share=share),
        )

    def _plan(self, req: CallerRequest, route: Route) -> GatheringPlan:
        now = self.now()
        options = self.options
        services = route.shards or (self._split.choose(route),)
        longest = min(req.deadline_s, route.timeout_s)
        return GatheringPlan(
            services=services,
            least_parts=least_parts(
                len(services), route.least_share if route.shards else 1
            ),
            max_runs=route.max_runs,
            idempotent=route.idempotent,
            answer_at=now + route.target_s - options.answer_margin_s,
            end_at=now + max(longest - options.end_margin_s, longest / 2),
            hedge_s=self._hedge_s(route) if route.idempotent else None,
        )

    def _hedge_s(self, route: Route) -> float:
        options = self.options
        late_s = self._estimate(route).quantile(self.now(), _HEDGE_QUANTILE)
        if late_s is None:
            return route.target_s * options.first_hedge_share
        usual_s = self._usual_s(route)
        most_s = min(
            route.target_s * options.hedge_most_share,
            usual_s * options.hedge_most,
        )
        return min(max(late_s, usual_s * options.hedge_least), most_s)

    def _usual_s(self, route: Route) -> float:
        usual_s = self._estimate(route).quantile(self.now(), _USUAL_QUANTILE)
        return usual_s or route.target_s * self.options.first_usual_share

    def _estimate(self, route: Route) -> LatencyEstimate:
        known = self._latency.get(route.name)
        if known is None:
            known = LatencyEstimate()
            self._latency[route.name] = known
        return known
