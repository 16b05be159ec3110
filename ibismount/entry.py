"""Accept requests, run them on the gateways and report their coverage."""

import dataclasses
import random
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TypeVar

from opentelemetry import metrics

from ibismount._booking import BookingOutcome, BookingRun
from ibismount._request_checks import RequestChecks
from ibismount._cursor import Cursor, decode_cursor, encode_cursor
from ibismount._in_flight import InFlightCounter
from ibismount._query_encoding import (
    canonical_query,
    fingerprint_of,
    query_hash,
    search_body,
)
from ibismount._requests import (
    AnswerStatus,
    BookingAnswer,
    BookingRequest,
    GatewayPort,
    SearchAnswer,
    SearchRequest,
)
from ibismount._tracing import Hop, hop_span
from ibismount.admission import EntryAdmission
from ibismount.answer_status import decide_status, first_missing_cause
from ibismount.booking import ClaimStore
from ibismount.cause import Cause, system_cause
from ibismount.errors import ErrorCode, IbismountError
from ibismount.hedging import ExtraLoadBudget, LatencyEstimator
from ibismount.load_tracker import LoadTracker, ReplicaIndex
from ibismount.messages import BatchRequest
from ibismount.node_view import NodeView
from ibismount.quarantine import Quarantine
from ibismount.search_run import SearchContext, SearchOptions, SearchRun
from ibismount.template import Kind, Policy

__all__ = (
    'AnswerStatus',
    'BookingAnswer',
    'BookingRequest',
    'Entry',
    'EntryOptions',
    'GatewayPort',
    'SearchAnswer',
    'SearchRequest',
    'fingerprint_of',
)

_METER = metrics.get_meter('ibismount.entry')


@dataclasses.dataclass(frozen=True, slots=True)
class EntryOptions:
    """Bounds of an entry.

    ``admission`` can be switched off for baselines.
    """

    search: SearchOptions = SearchOptions()
    # Maximum of requests in flight; the current limit adapts to the load.
    in_flight: int = 256
    extra_load_fraction: float = 0.05
    # Enough for the hedges of about five queries to 270 shards at once.
    extra_load_burst_tokens: float = 50
    # Enough for a just started entry to hedge around a few silent connections.
    extra_load_initial_tokens: float = 10
    admission: bool = True


_Request = TypeVar('_Request', SearchRequest, BookingRequest)
_Answer = TypeVar('_Answer', SearchAnswer, BookingAnswer)


class _AnswerIds(NamedTuple):
    """The ids of an answer."""

    request_id: str
    attempt_id: str
    config_version: int


def _ids_of(batch: BatchRequest) -> _AnswerIds:
    return _AnswerIds(batch.request_id, batch.attempt_id, batch.config_version)


class Entry:
    """Run searches and bookings for callers.

    Args:
        view: The node's control tables.
        ports: Connects to the gateways.
        quarantine: Decides which requests may run after crashes of backend
            servers.
        claims: Store of the booking claims. With None, bookings are refused.
        journal: Called with the part, a text, ``cause=``, ``request_id=`` and
            ``trace_id=``.
        rng: Source of random choices and ids.
        spawn: Starts a task that outlives the request; without it, the
            request waits for the task.
        options: Bounds; see `EntryOptions`.
    """

    def __init__(
        self,
        view: NodeView,
        ports: GatewayPort,
        *,
        quarantine: Quarantine,
        claims: ClaimStore | None = None,
        journal: Callable[..., None] | None = None,
        rng: random.Random | None = None,
        spawn: Callable[[Callable[[], Awaitable[object]]], None] | None = None,
        options: EntryOptions | None = None,
    ) -> None:
        """Start with nothing in flight."""
        self._view = view
        self._ports = ports
        self._quarantine = quarantine
        self._claims = claims
        self._journal = journal or _drop_event
        self._rng = rng or random.SystemRandom()
        self._options = options or EntryOptions()
        self._load = LoadTracker()
        self._budget = ExtraLoadBudget(
            fraction=self._options.extra_load_fraction,
            burst=self._options.extra_load_burst_tokens,
            initial_tokens=self._options.extra_load_initial_tokens,
        )
        self._latencies: dict[str, LatencyEstimator] = {}
        self._replica_indexes: dict[str, ReplicaIndex] = {}
        self._checks = RequestChecks(
            view,
            quarantine,
            EntryAdmission(max_limit=self._options.in_flight)
            if self._options.admission
            else None,
        )
        self._in_flight = InFlightCounter(spawn)
        self._requests = _METER.create_counter(
            'ibismount.entry.requests', description='Requests by outcome'
        )
        self._durations = _METER.create_histogram(
            'ibismount.entry.duration', unit='s'
        )
        self._hedges = _METER.create_counter('ibismount.entry.hedges')
        self._retries = _METER.create_counter('ibismount.entry.retries')
        self._missing_shards = _METER.create_counter(
            'ibismount.entry.missing_shards'
        )

    @property
    def in_flight(self) -> int:
        """Return the number of requests and background tasks in flight."""
        return self._in_flight.count

    async def wait_idle(self) -> None:
        """Wait until nothing is in flight."""
        await self._in_flight.wait_idle()

    async def search(self, req: SearchRequest) -> SearchAnswer:
        """Answer a search.

        Returns:
            An answer whose status is ``not_run`` only when no backend server
            ran any part of it.

        Raises:
            IbismountError: ``bad_request``, ``unknown_template`` or
                ``unknown_team``.
        """
        answer = await self._serve('search', req, self._search)
        self._hedges.add(answer.hedges)
        self._retries.add(answer.retries)
        if answer.coverage:
            self._missing_shards.add(len(answer.coverage.missing))
        return answer

    async def book(self, req: BookingRequest) -> BookingAnswer:
        """Run a booking at most once.

        Raises:
            IbismountError: ``bad_request``, ``unknown_template`` or
                ``unknown_team``.
        """
        return await self._serve('booking', req, self._book)

    async def _serve(
        self,
        kind: str,
        req: _Request,
        run: Callable[[_Request, Hop, float], Awaitable[_Answer]],
    ) -> _Answer:
        """Run a request in a span and count it while it is in flight."""
        started = self._view.now()
        self._in_flight.enter()
        try:
            with hop_span('entry', req.trace_parent, team=req.team) as hop:
                answer = await run(req, hop, started)
        finally:
            self._in_flight.leave()
        self._record_metrics(kind, answer)
        return answer

    async def _search(
        self, req: SearchRequest, hop: Hop, started: float
    ) -> SearchAnswer:
        refusal = self._view.refusal()
        if refusal is not None:
            # An unconfirmed node may not have received the template yet, and
            # must not answer "unknown template".
            ids = self._new_answer_ids(req.request_id or self._new_id())
            return self._refused_search(ids, hop, started, refusal)
        policy = self._checks.get_policy(req.team, req.template, Kind.SEARCH)
        cursor = _decode_cursor(req, policy)
        position = cursor.position if cursor else 0
        fingerprint = fingerprint_of(req.team, req.template, req.query)
        batch = self._make_batch(
            policy,
            request_id=req.request_id or self._new_id(),
            fingerprint=fingerprint,
            hop=hop,
            body=search_body(req.query, position + policy.page_size + 1),
            idempotent=True,
        )
        refusal = self._checks.try_admit(policy, fingerprint)
        if refusal is not None:
            return self._refused_search(_ids_of(batch), hop, started, refusal)
        try:
            run = SearchRun(
                self._search_context(policy.collection),
                policy,
                self._replica_index(policy.collection),
                batch,
                started=started,
                fixed_snapshot=cursor.snapshot if cursor else '',
                shards=req.shards,
            )
            await run.run()
        except IbismountError as exc:
            if exc.code is not ErrorCode.SNAPSHOT_GONE:
                raise
            cause = system_cause(exc.code, exc.message)
            return self._refused_search(_ids_of(batch), hop, started, cause)
        finally:
            self._checks.release(policy.team)
        page_hash = _page_hash(req)
        return self._search_answer(
            run, policy, batch, hop, started, position, page_hash
        )

    def _search_answer(
        self,
        run: SearchRun,
        policy: Policy,
        batch: BatchRequest,
        hop: Hop,
        started: float,
        position: int,
        page_hash: str,
    ) -> SearchAnswer:
        coverage = run.merger.coverage()
        # At moderate load only a few shards are refused by a busy gateway.
        # About one retry for each shard means that the queues of the gateways
        # are full.
        smooth = not coverage.missing and run.retries < coverage.asked
        self._checks.record_completion(policy, started, smooth=smooth)
        status, cause = decide_status(run, policy, coverage)
        answer = SearchAnswer(
            status=status,
            **self._common_fields(_ids_of(batch), hop, started),
            snapshot=run.snapshot,
            coverage=coverage,
            cause=cause,
            hedges=run.hedges,
            retries=run.retries,
        )
        if cause is not None or coverage.missing:
            self._record_event(
                answer, f'search covered {coverage.fraction:.1%}'
            )
        if status is not AnswerStatus.ANSWERED:
            return answer
        results, has_more = run.merger.page(position, policy.page_size)
        next_cursor = Cursor(
            policy.collection,
            run.snapshot,
            position + policy.page_size,
            page_hash,
        )
        return dataclasses.replace(
            answer,
            results=results,
            cursor=encode_cursor(next_cursor) if has_more else '',
        )

    def _refused_search(
        self, ids: _AnswerIds, hop: Hop, started: float, cause: Cause
    ) -> SearchAnswer:
        answer = SearchAnswer(
            status=AnswerStatus.NOT_RUN,
            **self._common_fields(ids, hop, started),
            cause=cause,
        )
        self._record_event(answer, 'search refused')
        return answer

    async def _book(
        self, req: BookingRequest, hop: Hop, started: float
    ) -> BookingAnswer:
        refusal = self._view.refusal()
        if refusal is not None:
            outcome = BookingOutcome(AnswerStatus.NOT_RUN, cause=refusal)
            ids = self._new_answer_ids(req.request_id)
            return self._booking_answer(ids, hop, started, outcome)
        policy = self._checks.get_policy(req.team, req.template, Kind.BOOKING)
        fingerprint = fingerprint_of(req.team, req.template, req.body)
        batch = self._make_batch(
            policy,
            request_id=req.request_id,
            fingerprint=fingerprint,
            hop=hop,
            body=canonical_query(req.body),
            idempotent=False,
        )
        refusal = self._checks.try_admit(policy, fingerprint)
        if refusal is None:
            try:
                outcome = await self._run_booking(req, policy, batch, started)
            finally:
                self._checks.release(policy.team)
        else:
            outcome = BookingOutcome(AnswerStatus.NOT_RUN, cause=refusal)
        return self._booking_answer(_ids_of(batch), hop, started, outcome)

    def _booking_answer(
        self, ids: _AnswerIds, hop: Hop, started: float, outcome: BookingOutcome
    ) -> BookingAnswer:
        answer = BookingAnswer(
            status=outcome.status,
            **self._common_fields(ids, hop, started),
            answer=outcome.answer,
            earlier=outcome.earlier,
            cause=outcome.cause,
        )
        if outcome.cause is not None:
            self._record_event(answer, f'booking {outcome.status}')
        return answer

    async def _run_booking(
        self,
        req: BookingRequest,
        policy: Policy,
        batch: BatchRequest,
        started: float,
    ) -> BookingOutcome:
        if self._claims is None:
            return BookingOutcome(
                AnswerStatus.NOT_RUN,
                cause=system_cause(ErrorCode.PLATFORM_UNAVAILABLE),
            )
        run = BookingRun(
            self._search_context(policy.collection),
            self._claims,
            policy,
            self._replica_index(policy.collection),
            batch,
            deadline=started + policy.hard_deadline_s,
            spawn=self._in_flight.run_in_background,
        )
        return await run.run(req.shard)

    # Parts of a request.

    def _make_batch(
        self,
        policy: Policy,
        *,
        request_id: str,
        fingerprint: str,
        hop: Hop,
        body: bytes,
        idempotent: bool,
    ) -> BatchRequest:
        return BatchRequest(
            attempt_id=self._new_id(),
            request_id=request_id,
            trace_parent=hop.trace_parent,
            team=policy.team,
            weight=policy.weight,
            priority=policy.priority,
            collection=policy.collection,
            snapshot='',
            fingerprint=fingerprint,
            remaining_ms=0,
            config_version=self._view.state.version,
            idempotent=idempotent,
            body=body,
            items=(),
        )

    def _search_context(self, collection: str) -> SearchContext:
        latency = self._latencies.get(collection)
        if latency is None:
            latency = LatencyEstimator()
            self._latencies[collection] = latency
        return SearchContext(
            view=self._view,
            ports=self._ports,
            load=self._load,
            budget=self._budget,
            latency=latency,
            quarantine=self._quarantine,
            rng=self._rng,
            options=self._options.search,
        )

    def _replica_index(self, collection: str) -> ReplicaIndex:
        catalog = self._view.state.catalogs[collection]
        replica_index = self._replica_indexes.get(collection)
        if replica_index is None or replica_index.catalog is not catalog:
            replica_index = ReplicaIndex(catalog)
            self._replica_indexes[collection] = replica_index
        return replica_index

    def _common_fields(
        self, ids: _AnswerIds, hop: Hop, started: float
    ) -> dict[str, Any]:
        """Return the fields common to all answers."""
        return {
            'request_id': ids.request_id,
            'attempt_id': ids.attempt_id,
            'trace_id': hop.trace_id,
            'latency_s': self._view.now() - started,
            'config_version': ids.config_version,
        }

    def _new_answer_ids(self, request_id: str) -> _AnswerIds:
        version = self._view.state.version
        return _AnswerIds(request_id, self._new_id(), version)

    def _new_id(self) -> str:
        return f'{self._rng.getrandbits(96):024x}'

    # Records.

    def _record_event(
        self, answer: SearchAnswer | BookingAnswer, text: str
    ) -> None:
        cause = answer.cause
        if cause is None and isinstance(answer, SearchAnswer):
            cause = first_missing_cause(answer.coverage)
        self._journal(
            'entry',
            text,
            cause=cause,
            request_id=answer.request_id,
            trace_id=answer.trace_id,
        )

    def _record_metrics(
        self, kind: str, answer: SearchAnswer | BookingAnswer
    ) -> None:
        code = answer.cause.code if answer.cause else ''
        labels = {'kind': kind, 'status': answer.status, 'code': code}
        self._requests.add(1, labels)
        self._durations.record(answer.latency_s, {'kind': kind})


def _decode_cursor(req: SearchRequest, policy: Policy) -> Cursor | None:
    if not req.cursor:
        return None
    return decode_cursor(
        req.cursor,
        collection=policy.collection,
        expected_hash=_page_hash(req),
    )


def _page_hash(req: SearchRequest) -> str:
    return query_hash(req.template, {'q': req.query, 'shards': req.shards})


def _drop_event(*args: object, **kwargs: object) -> None:
    """Discard a journal event."""
