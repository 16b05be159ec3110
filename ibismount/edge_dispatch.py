"""What the requests under way on one node share."""

import asyncio
import collections
import random
from collections.abc import Callable

from ibismount.cold_rate_limiter import ColdRateLimiter
from ibismount.edge_job import DispatchOptions, Job, Sending
from ibismount.edge_metrics import EdgeMetrics
from ibismount.errors import ErrorCode
from ibismount.extra_request_budget import ExtraRequestBudget
from ibismount.fleet_state import FleetState
from ibismount.gathering import Gathering, GatheringPlan, Part, least_parts
from ibismount.http_client import ExchangeFailure
from ibismount.logs import part_logger
from ibismount.node_share import NodeShare
from ibismount.placement import Placement
from ibismount.route_latency import RouteLatency
from ibismount.routes import Route, TrafficSplit
from ibismount.server_connection_pool import ServerConnectionPool
from ibismount.server_health import ServerHealth
from ibismount.server_table import Server
from ibismount.waiting import WaitingLines, expected_wait_s
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

_DEFAULTS = DispatchOptions()
# Share of a server's connections that the nodes use together; the rest is
# for nodes that join before all others know of them.
_CONNECTION_SHARE = 0.85
# Requests that nodes keep at a server, as a multiple of its slots: nodes of its
# availability zone share it among themselves, since they prefer it, and the
# others get an equal part beside.
_QUEUED_SHARE = 1.5
# Bounds of the time after which a rejected caller comes back, in seconds and
# as a share of its deadline. Callers honour up to a third of what is left; a
# node that just started needs most of it.
_RETRY_MOST_S = 0.6
_RETRY_SHARE = 0.12
_RETRY_SHARE_FRESH = 0.3


class EdgeDispatch:
    """Everything that requests under way on one node share.

    Args:
        fleet: View of routes and backend servers.
        placement: Choice of servers.
        pool: Connections to them.
        budget: Bounds on extra requests.
        wire: The protocol of callers and servers.
        rng: Source of randomness.
        share: Returns this node's part of the limits of servers.
        cold: Bound on requests to cold servers.
        options: Times and weights.
    """

    def __init__(
        self,
        *,
        fleet: FleetState,
        placement: Placement,
        pool: ServerConnectionPool,
        budget: ExtraRequestBudget,
        wire: WireFormat,
        rng: random.Random,
        share: Callable[[], NodeShare],
        cold: ColdRateLimiter,
        options: DispatchOptions = _DEFAULTS,
    ) -> None:
        """Start without requests."""
        self.fleet = fleet
        self.placement = placement
        self.pool = pool
        self.budget = budget
        self.cold = cold
        self.wire = wire
        self.options = options
        self.jobs: set[Job] = set()
        self.metrics = EdgeMetrics(self._gauges)
        self._rng = rng
        self.share = share
        self._split = TrafficSplit(rng)
        self.latency = RouteLatency()
        self.lines = WaitingLines()
        # Requests under way at the servers of each service.
        self._under_way: collections.Counter[str] = collections.Counter()

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
        route = self.fleet.route_table.match(req.host, req.path)
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

    def forget_gone(self) -> None:
        """Drop what is known of servers, services and routes that are gone."""
        servers = {one.id for one in self.fleet.servers.all_servers()}
        self.placement.keep_only(servers)
        self.cold.keep_only(servers)
        self.budget.keep_only(self.fleet.route_table.services.keys())
        routes = {one.name for one in self.fleet.route_table.routes}
        self.latency.keep_only(routes)
        self._split.keep_only(routes)

    def long_s(self, route: Route) -> float:
        """Return the time in which nearly all parts of a route are served."""
        return self.latency.long_s(self.now(), route)

    def is_hopeful(self, job: Job, part: Part) -> bool:
        """Tell whether a part can probably be served in time.

        What is known to be hopeless is refused at once, so that the caller
        can do better with its time, and the line stays short.
        """
        ahead = self.lines.ahead(part.service, job.route.priority)
        if not ahead:
            return True
        now = self.now()
        wait_s = expected_wait_s(
            ahead,
            self._under_way[part.service],
            self.latency.usual_s(now, job.route),
        )
        return now + wait_s < job.last_send_at()

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

    def reserve(self, server: Server) -> bool:
        """Take what one more request needs at a server, if it is free."""
        if self._is_full(server):
            return False
        rate = self.fleet.cold_rate_limit(server)
        return not rate or self.cold.try_acquire(
            self.now(), server.id, rate=rate
        )

    def give_back(self, server: Server) -> None:
        """Return what a request took that was not sent after all."""
        if self.fleet.cold_rate_limit(server):
            self.cold.refund(server.id)

    def send_began(self, server: Server) -> ServerHealth:
        """Count an attempt that is under way; return where it is counted."""
        health = self.placement.health(server)
        health.in_flight += 1
        self._under_way[server.service] += 1
        return health

    def send_ended(self, sending: Sending) -> None:
        """Count the end of an attempt; who waits longest takes its place."""
        sending.health.in_flight -= 1
        service = sending.server.service
        self._under_way[service] -= 1
        if not self._under_way[service]:
            self._under_way.pop(service)
        waiter = self.lines.first(service)
        if waiter is not None:
            asyncio.get_running_loop().call_soon(waiter.resume)

    def _is_full(self, server: Server) -> bool:
        """Tell whether this node's share of a server is in use.

        What is sent beyond the slots only waits there, mostly until nobody
        needs it any more, and a server that pauses gets nothing further.
        """
        share = self.share()
        near = server.zone == self.placement.zone
        nodes = share.zone_nodes if near else share.nodes
        most = max(1, round(server.slots * _QUEUED_SHARE / nodes))
        return self.placement.health(server).in_flight >= most

    def max_open(self, server: Server) -> int:
        """Return this node's share of a server's connections."""
        service = self.fleet.route_table.services.get(server.service)
        most = service.max_connections if service else 1
        return max(1, int(most * _CONNECTION_SHARE / self.share().nodes))

    def observe(self, job: Job, sending: Sending, answer: ServerAnswer) -> None:
        """Learn from an answer."""
        now = self.now()
        health = self.placement.health(sending.server)
        self.metrics.record_attempt(answer.verdict.value)
        if answer.verdict is Verdict.ANSWER:
            latency_s = now - sending.attempt.sent_at
            usual_s = self.latency.usual_s(now, job.route)
            health.answered(now, latency_s / usual_s)
            self.latency.record(now, job.route, latency_s)
        elif answer.verdict is Verdict.OTHER_SERVER:
            health.lost(now)
        else:
            health.failed(now)
        if answer.verdict is not Verdict.ANSWER:
            self._log_attempt(job, sending, answer.verdict.value)

    def observe_loss(
        self, job: Job, sending: Sending, end: ExchangeFailure
    ) -> None:
        """Learn from a lost connection."""
        self.placement.health(sending.server).lost(self.now())
        # A server that restarted is cold before its entry says so.
        self.fleet.assume_cold(sending.server)
        self.metrics.record_attempt(end.value)
        self._log_attempt(job, sending, end.value)

    def observe_overdue(
        self, job: Job, sending: Sending, now: float, *, hold: bool = True
    ) -> None:
        """Learn from an attempt that takes longer than usual."""
        ratio = (now - sending.attempt.sent_at) / self.latency.usual_s(
            now, job.route
        )
        hold_s = self.options.overdue_hold_s if hold else 0
        self.placement.health(sending.server).overdue(now, ratio, hold_s)

    def job_ended(self, job: Job, outcome: Outcome | None = None) -> None:
        """Forget a job and record how it ended."""
        self.jobs.discard(job)
        name = outcome.kind.value if outcome else 'caller_left'
        code = outcome.code.value if outcome and outcome.code else ''
        elapsed_s = self.now() - job.started_at
        self.metrics.record_request(name, code, elapsed_s)
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
                'under_way': len(self.jobs),
                'parts_waiting': len(self.lines),
                'version': self.fleet.route_table.version,
            },
        )

    def retry_after_s(
        self, req: CallerRequest, *, share: float = _RETRY_SHARE
    ) -> float:
        """Return when a rejected caller may come back, spread at random."""
        pause_s = min(_RETRY_MOST_S, req.deadline_s * share)
        return round(pause_s * (0.6 + 0.4 * self._rng.random()), 3)

    def _note_refusal(self, req: CallerRequest, outcome: Outcome) -> None:
        self.metrics.record_request(outcome.kind.value, outcome.code.value, 0)
        log.info(
            'request refused',
            extra={
                'request_id': req.request_id,
                'host': req.host,
                'path': req.path,
                'code': outcome.code.value,
                'retry_after_s': outcome.retry_after_s,
                'under_way': len(self.jobs),
                'version': self.fleet.route_table.version,
            },
        )

    def _log_attempt(self, job: Job, sending: Sending, end: str) -> None:
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
            'version': self.fleet.route_table.version,
            'servers': len(self.fleet.servers),
            'servers_doubted': self.fleet.servers.missing_count(),
            'servers_revision': self.fleet.servers_revision,
            'requests_under_way': len(self.jobs),
            'parts_waiting': len(self.lines),
            'connections_opened': self.pool.opened_total,
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
        services = route.shards or (self._split.choose_service(route),)
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
            hedge_s=self.latency.hedge_s(now, route)
            if route.idempotent
            else None,
        )
