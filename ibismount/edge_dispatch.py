"""Dispatch the requests on one node and keep what they share."""

import asyncio
import collections
import random
from collections.abc import Callable, Iterable

from ibismount.caller_elapsed import CallerElapsed
from ibismount.crash_guard import CrashGuard
from ibismount.edge_metrics import EdgeMetrics
from ibismount.errors import ErrorCode
from ibismount.extra_request_budget import ExtraRequestBudget
from ibismount.fleet_state import FleetState
from ibismount.http_client import ExchangeFailure
from ibismount.logs import part_logger
from ibismount.node_share import NodeShare
from ibismount.part_tracker import (
    Part,
    PartTracker,
    RequestPlan,
    compute_min_parts,
)
from ibismount.placement import Placement
from ibismount.quarantine import Quarantine, RunMode
from ibismount.request_job import DispatchOptions, RequestJob, ServerCall
from ibismount.route_latency import RouteLatency
from ibismount.routes import Route, TrafficSplit
from ibismount.server_connection_pool import ServerConnectionPool
from ibismount.server_health import ServerHealth
from ibismount.server_permits import ServerPermits
from ibismount.server_table import Server
from ibismount.wait_queues import WaitQueues, estimate_wait_s
from ibismount.wire_format import (
    AnswerKind,
    CallerRequest,
    Outcome,
    OutcomeKind,
    ServerAnswer,
    WireFormat,
)
from ibismount.zone_traffic import TrafficKind, ZoneTraffic

__all__ = ('DispatchOptions', 'EdgeDispatch', 'RequestJob')

log = part_logger('dispatch')

_DEFAULTS = DispatchOptions()
# Share of a server's connections that all nodes use together. The rest is for
# nodes that the others have not yet discovered.
_CONNECTION_SHARE = 0.85
# Requests that nodes keep at a server, as a multiple of its slots. The nodes of
# its availability zone prefer it and divide the whole among themselves; each
# other node may use the part that it would have if all nodes shared equally.
_MAX_REQUESTS_PER_SLOT = 1.5
# Bounds of the time after which a rejected caller retries, in seconds and as a
# share of its deadline. Callers honour up to a third of their remaining time; a
# node that just started needs most of that third.
_MAX_RETRY_AFTER_S = 0.6
_RETRY_AFTER_SHARE = 0.12
_STARTING_RETRY_AFTER_SHARE = 0.3
_SERVED_KINDS = frozenset((OutcomeKind.MERGED, OutcomeKind.RELAYED))


class EdgeDispatch:
    """Dispatch requests; holds the state that they share on one node.

    Args:
        fleet: View of routes and backend servers.
        placement: Ranking of backend servers.
        pool: Connections to backend servers.
        budget: Budget of extra requests.
        wire: The protocol of callers and backend servers.
        rng: Source of randomness.
        node_share: Returns this node's share of the limits of servers.
        permits: Permits for servers that limit the requests to them.
        quarantine: Requests that ended servers, shared with other nodes.
        traffic: Counts the bytes exchanged with servers.
        options: Times and limits.
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
        node_share: Callable[[], NodeShare],
        permits: ServerPermits,
        quarantine: Quarantine,
        traffic: ZoneTraffic,
        options: DispatchOptions = _DEFAULTS,
    ) -> None:
        """Start without requests."""
        self.fleet = fleet
        self.placement = placement
        self.pool = pool
        self.budget = budget
        self.permits = permits
        self.wire = wire
        self.options = options
        self.jobs: set[RequestJob] = set()
        self.traffic = traffic
        self.metrics = EdgeMetrics(self._gauges, traffic)
        self._rng = rng
        self.node_share = node_share
        self._traffic_split = TrafficSplit(rng)
        self.latency = RouteLatency()
        self._caller_elapsed = CallerElapsed()
        self.wait_queues = WaitQueues()
        self._refuses_new = False
        self.crash_guard = CrashGuard(
            quarantine,
            pool,
            is_replaced=fleet.servers.is_replaced,
            now=self.now,
        )
        # Requests under way at the servers of each service.
        self._in_flight: collections.Counter[str] = collections.Counter()

    def now(self) -> float:
        """Return the time in seconds."""
        return asyncio.get_running_loop().time()

    def submit(
        self, req: CallerRequest, on_outcome: Callable[[Outcome], None]
    ) -> RequestJob | None:
        """Start a request.

        Args:
            req: The request.
            on_outcome: Called once with the outcome, now or later, unless the
                caller leaves.

        Returns:
            The job, or None if the outcome was given at once.
        """
        if (
            self._refuses_new
            or not self.fleet.ready
            or len(self.jobs) >= self.options.max_jobs
        ):
            refusal = self._make_refusal(req)
            self._record_refusal(req, refusal)
            on_outcome(refusal)
            return None
        route = self.fleet.route_table.match(req.host, req.path)
        if route is None:
            refusal = Outcome(OutcomeKind.NOT_RUN, code=ErrorCode.UNKNOWN_ROUTE)
            self._record_refusal(req, refusal)
            on_outcome(refusal)
            return None
        run_mode = self._run_mode(req)
        if run_mode is RunMode.REFUSED:
            refusal = self.refuse_quarantined(req)
            self._record_refusal(req, refusal)
            on_outcome(refusal)
            return None
        job = RequestJob(
            self,
            req,
            route,
            PartTracker(self._make_plan(req, route)),
            on_outcome,
            suspect_services=self.crash_guard.suspect_services(req.fingerprint)
            if run_mode is RunMode.CANARY
            else None,
        )
        self.jobs.add(job)
        job.start()
        return None if job.ended else job

    def refuse_new(self) -> None:
        """Refuse all requests from now on: the node is about to stop."""
        self._refuses_new = True

    def end_all(self) -> None:
        """End the requests under way with what they have."""
        for job in list(self.jobs):
            job.end_now()

    def has_server(self, part: Part) -> bool:
        """Return whether any server may get a part."""
        return any(self._usable_servers(part))

    def _usable_servers(self, part: Part) -> Iterable[Server]:
        return (
            server
            for server in self.fleet.servers.of_service(part.service)
            if server.id not in part.tried
            and server.zone not in self.fleet.zones_out
        )

    def prune_removed(self) -> None:
        """Drop the state of removed servers, services and routes."""
        servers = {server.id for server in self.fleet.servers.all_servers()}
        self.placement.keep_only(servers)
        self.permits.keep_only(servers)
        self.budget.keep_only(self.fleet.route_table.services.keys())
        routes = {route.name for route in self.fleet.route_table.routes}
        self.latency.keep_only(routes)
        self._caller_elapsed.keep_only(routes)
        self._traffic_split.keep_only(routes)
        self.crash_guard.expire()

    def p90_s(self, route: Route) -> float:
        """Return the latency that 90 % of a route's parts stay below, in seconds."""
        return self.latency.p90_s(self.now(), route)

    def can_meet_deadline(self, job: RequestJob, part: Part) -> bool:
        """Return whether a part can probably be served in time.

        A request that can't is rejected at once, which leaves its caller time
        to retry and keeps the queue short.
        """
        if not self.permits.is_unrestricted and (
            self.permits.earliest_at(self._usable_servers(part))
            > job.latest_send_at()
        ):
            return False
        ahead = self.wait_queues.count_ahead(part.service, job.route.priority)
        if not ahead:
            return True
        now = self.now()
        queue_wait_s = estimate_wait_s(
            ahead,
            self._in_flight[part.service],
            self.latency.median_s(now, job.route),
        )
        return now + queue_wait_s < job.latest_send_at()

    def rank_servers(self, part: Part) -> list[Server]:
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
        """Check for a free slot, and take a permit if the server needs one.

        Returns:
            Whether the request may be sent.
        """
        return not self._is_full(server) and self.permits.try_acquire(server)

    def has_slot_for_hedge(self, server: Server) -> bool:
        """Return whether a hedge leaves a slot for a first send.

        Hedges of requests at servers that hang would otherwise fill the one
        that is well, and new requests would queue there. A server that states a
        limit gets no hedges: they would take permits of first sends.
        """
        if self.permits.states_limit(server):
            return False
        max_in_flight = max(1, server.slots - 1)
        return self.placement.health(server).in_flight < max_in_flight

    def release(self, server: Server) -> None:
        """Return the permits of a request that was not sent after all."""
        self.permits.refund(server)

    def begin_attempt(self, server: Server) -> ServerHealth:
        """Count an attempt in flight; return the health that counts it."""
        health = self.placement.health(server)
        health.in_flight += 1
        self._in_flight[server.service] += 1
        return health

    def end_attempt(self, call: ServerCall, received_bytes: int) -> None:
        """Count the end of an attempt; let the first waiter take its place.

        Args:
            call: The attempt.
            received_bytes: Size of its answer; 0 if there was none.
        """
        self.traffic.add(
            TrafficKind.EXTRA_ATTEMPT
            if call.extra
            else TrafficKind.FIRST_ATTEMPT,
            call.server.zone,
            call.sent_bytes + received_bytes,
        )
        call.health.in_flight -= 1
        service = call.server.service
        self._in_flight[service] -= 1
        if not self._in_flight[service]:
            self._in_flight.pop(service)
        waiter = self.wait_queues.peek(service)
        if waiter is not None:
            asyncio.get_running_loop().call_soon(waiter.resume)

    def _is_full(self, server: Server) -> bool:
        """Return whether this node's share of a server is in use.

        Requests beyond the slots would queue at the server, mostly until they
        are too late. The limit also keeps requests away from a paused server.
        """
        node_share = self.node_share()
        same_zone = server.zone == self.placement.zone
        nodes = node_share.zone_nodes if same_zone else node_share.nodes
        max_in_flight = max(
            1, round(server.slots * _MAX_REQUESTS_PER_SLOT / nodes)
        )
        return self.placement.health(server).in_flight >= max_in_flight

    def connection_limit(self, server: Server) -> int:
        """Return this node's share of a server's connections."""
        service = self.fleet.route_table.services.get(server.service)
        connections = service.max_connections if service else 1
        return max(
            1, int(connections * _CONNECTION_SHARE / self.node_share().nodes)
        )

    def belongs_to_request(
        self, job: RequestJob, call: ServerCall, answer: ServerAnswer
    ) -> bool:
        """Return whether an answer is for the request that waits for one.

        A server may send a second copy of an earlier answer. Without an id,
        the copy is recognized only if the server usually states the id. The
        connection tells that too: it can outlive the health of its server,
        and the answer that is copied came on it.
        """
        conn = call.pending.conn
        if answer.names_request:
            call.health.names_requests = conn.names_requests = True
            belongs = answer.kind is not AnswerKind.OTHER_REQUEST
        else:
            belongs = not (call.health.names_requests or conn.names_requests)
        if not belongs:
            self.metrics.record_attempt(AnswerKind.OTHER_REQUEST.value)
            self._log_attempt(job, call, AnswerKind.OTHER_REQUEST.value)
        return belongs

    def record_answer(
        self, job: RequestJob, call: ServerCall, answer: ServerAnswer
    ) -> None:
        """Update health, latency and metrics with an answer."""
        now = self.now()
        health = self.placement.health(call.server)
        self.metrics.record_attempt(answer.kind.value)
        if answer.kind is AnswerKind.ANSWER:
            latency_s = now - call.attempt.sent_at
            median_s = self.latency.median_s(now, job.route)
            health.record_answer(now, latency_s / median_s)
            self.latency.record(now, job.route, latency_s)
        elif answer.kind is AnswerKind.OTHER_SERVER:
            health.record_connection_loss(now)
        else:
            health.record_failure(now)
        if answer.kind is not AnswerKind.OTHER_SERVER:
            self._record_statements(now, call.server, answer)
        if answer.is_conclusive and self.crash_guard.expects_answers:
            self.crash_guard.record_answer(call.server, job.req.fingerprint)
        if answer.kind is not AnswerKind.ANSWER:
            self._log_attempt(job, call, answer.kind.value)

    def _record_statements(
        self, now: float, server: Server, answer: ServerAnswer
    ) -> None:
        """Note what a server says of itself."""
        self.permits.limits.record_answer(now, server, answer.rate_limit)
        if answer.pause_s:
            self.permits.pauses.record(now, server, answer.pause_s)
        if answer.leaving and self.fleet.mark_leaving(server):
            log.info(
                'backend server says that it leaves',
                extra={'server': server.id, 'service': server.service},
            )

    def record_connection_loss(
        self, job: RequestJob, call: ServerCall, failure: ExchangeFailure
    ) -> None:
        """Update health and metrics with a lost connection."""
        self.placement.health(call.server).record_connection_loss(self.now())
        # A restarted server is cold before its entry in the store says so.
        self.fleet.assume_cold(call.server)
        self.metrics.record_attempt(failure.value)
        self._log_attempt(job, call, failure.value)
        # Silence has many causes; a server that ends closes its connections.
        if failure is ExchangeFailure.BROKEN:
            self.crash_guard.record_loss(
                call.server, job.req.fingerprint, call.attempt.sent_at
            )

    def record_overdue(
        self,
        job: RequestJob,
        call: ServerCall,
        now: float,
        *,
        suspect: bool = True,
    ) -> None:
        """Update the health of a server whose answer is overdue.

        Args:
            job: The request.
            call: The overdue attempt.
            now: Time in seconds.
            suspect: Prefer other servers for a while.
        """
        latency_ratio = (now - call.attempt.sent_at) / self.latency.median_s(
            now, job.route
        )
        suspect_s = self.options.suspect_s if suspect else 0
        self.placement.health(call.server).record_overdue(
            now, latency_ratio, suspect_s
        )

    def finish_job(
        self, job: RequestJob, outcome: Outcome | None = None
    ) -> None:
        """Remove a job; record its outcome, or None if the caller left."""
        self.jobs.discard(job)
        self.crash_guard.release_canary(job.req.fingerprint, job)
        outcome_name = outcome.kind.value if outcome else 'caller_left'
        code = outcome.code.value if outcome and outcome.code else ''
        elapsed_s = self.now() - job.started_at
        self.metrics.record_request(outcome_name, code, elapsed_s)
        missing = outcome.missing if outcome else 0
        if outcome and outcome.kind in _SERVED_KINDS and not missing:
            self.crash_guard.record_served(job.req.fingerprint)
        self.metrics.missing_parts += missing
        if not code and not missing:
            return
        log.info(
            'request failed' if code else 'request answered without some parts',
            extra={
                'request_id': job.req.request_id,
                'route': job.route.name,
                'outcome': outcome_name,
                'code': code,
                'in': job.tracker.answered_count,
                'of': len(job.tracker.parts),
                'missing': job.tracker.unanswered_parts(),
                'elapsed_ms': round(elapsed_s * 1000, 1),
                'deadline_ms': round(job.req.deadline_s * 1000),
                'under_way': len(self.jobs),
                'parts_waiting': len(self.wait_queues),
                'version': self.fleet.route_table.version,
            },
        )

    def retry_after_s(
        self, req: CallerRequest, *, deadline_share: float = _RETRY_AFTER_SHARE
    ) -> float:
        """Return the time after which a caller may retry, spread at random.

        Args:
            req: The rejected request.
            deadline_share: Longest time, as a share of the deadline.
        """
        pause_s = min(_MAX_RETRY_AFTER_S, req.deadline_s * deadline_share)
        return round(pause_s * (0.6 + 0.4 * self._rng.random()), 3)

    def is_quarantined(self, req: CallerRequest) -> bool:
        """Return whether a request must not reach any further server."""
        return self._run_mode(req) is RunMode.REFUSED

    def is_suspect(self, req: CallerRequest) -> bool:
        """Return whether servers ended under a request and none ran it since."""
        return self._run_mode(req) is not RunMode.NORMAL

    def _run_mode(self, req: CallerRequest) -> RunMode:
        if self.crash_guard.is_idle:
            return RunMode.NORMAL
        return self.crash_guard.run_mode(req.fingerprint)

    def refuse_quarantined(self, req: CallerRequest) -> Outcome:
        """Return the outcome of a quarantined request."""
        return Outcome(
            OutcomeKind.NOT_RUN,
            code=ErrorCode.QUARANTINED,
            retry_after_s=self.crash_guard.time_left_s(req.fingerprint),
        )

    def _record_refusal(self, req: CallerRequest, outcome: Outcome) -> None:
        self.metrics.record_request(outcome.kind.value, outcome.code.value, 0)
        log.info(
            'request rejected',
            extra={
                'request_id': req.request_id,
                'fingerprint': req.fingerprint,
                'host': req.host,
                'path': req.path,
                'code': outcome.code.value,
                'retry_after_s': outcome.retry_after_s,
                'under_way': len(self.jobs),
                'version': self.fleet.route_table.version,
            },
        )

    def _log_attempt(self, job: RequestJob, call: ServerCall, end: str) -> None:
        now = self.now()
        sent_at = call.attempt.sent_at
        log.info(
            'attempt failed at backend server',
            extra={
                'request_id': job.req.request_id,
                'fingerprint': job.req.fingerprint,
                'server': call.server.id,
                'service': call.server.service,
                'revision': call.server.revision,
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
            'parts_waiting': len(self.wait_queues),
            'connections_opened': self.pool.opened_total,
            'extra_requests': self.budget.spent,
            'extra_requests_denied': self.budget.denied,
            'servers_ended': self.crash_guard.ended_servers,
            'servers_limited': self.permits.limits.count(self.now()),
            'requests_quarantined': self.crash_guard.quarantined_count,
        }

    def _target_left_s(
        self, now: float, req: CallerRequest, route: Route
    ) -> float:
        """Return the time until an answer would be late, in seconds.

        A caller that has waited too long for any answer in time gets the time
        of the whole target, so that its late answer is complete.
        """
        elapsed_s = self._caller_elapsed.record(route, req.deadline_s)
        left_s = route.target_s - elapsed_s
        return (
            left_s
            if left_s > self.latency.median_s(now, route)
            else route.target_s
        )

    def _make_refusal(self, req: CallerRequest) -> Outcome:
        if self._refuses_new:
            # Other nodes can serve the request at once.
            code, deadline_share = ErrorCode.SHUTTING_DOWN, 0
        elif self.fleet.ready:
            code, deadline_share = ErrorCode.ENTRY_BUSY, _RETRY_AFTER_SHARE
        else:
            code = ErrorCode.NOT_READY
            deadline_share = _STARTING_RETRY_AFTER_SHARE
        return Outcome(
            OutcomeKind.NOT_RUN,
            code=code,
            retry_after_s=self.retry_after_s(
                req, deadline_share=deadline_share
            ),
        )

    def _make_plan(self, req: CallerRequest, route: Route) -> RequestPlan:
        now = self.now()
        options = self.options
        services = route.shards or (self._traffic_split.choose_service(route),)
        max_s = min(req.deadline_s, route.timeout_s)
        return RequestPlan(
            services=services,
            min_parts=compute_min_parts(
                len(services), route.least_share if route.shards else 1
            ),
            max_runs=route.max_runs,
            idempotent=route.idempotent,
            answer_at=now
            + self._target_left_s(now, req, route)
            - options.answer_margin_s,
            end_at=now + max(max_s - options.end_margin_s, max_s / 2),
            hedge_delay_s=self.latency.hedge_delay_s(now, route)
            if route.idempotent
            else None,
        )
