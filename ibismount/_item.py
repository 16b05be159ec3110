"""One sub-request at a gateway, from admission to its outcome."""

import collections
from typing import Any

import anyio

from ibismount._tracing import hop_span
from ibismount.backend import BackendCall, BackendError, BackendReply
from ibismount.capacity import Permit
from ibismount.catalog import BackendServer
from ibismount.cause import Cause, system_cause
from ibismount.errors import ErrorCode
from ibismount.messages import BatchRequest, Item, ItemReply, ItemStatus

__all__ = ('ItemRun', 'SentRequests')

# A call is taken for silent after this many usual service times: more than
# the 20 that a straggler takes, and never less than 0.1 s.
_SILENT_SERVICE_TIMES = 32
_MIN_SILENT_S = 0.1
# Lets the client report its own deadline, because it knows what was sent.
_CLIENT_GRACE_S = 0.05


class SentRequests:
    """Remember what must not be sent twice.

    A batch that arrives twice is refused by its attempt id. A request is
    also refused under another attempt id, unless the earlier attempt is
    known not to have run.

    Args:
        remember_s: Seconds, several times the longest deadline.
    """

    def __init__(self, *, retention_s: float) -> None:
        """Start empty."""
        self._retention_s = retention_s
        self._expires_at: collections.OrderedDict[tuple[str, ...], float] = (
            collections.OrderedDict()
        )

    def record_if_new(self, now: float, batch: BatchRequest) -> bool:
        """Note a request before it is sent; False if it was noted."""
        while self._expires_at:
            oldest = next(iter(self._expires_at))
            if self._expires_at[oldest] > now:
                break
            self._expires_at.pop(oldest)
        keys = (_attempt_key(batch), _request_key(batch))
        if any(key in self._expires_at for key in keys):
            return False
        self._expires_at.update(dict.fromkeys(keys, now + self._retention_s))
        return True

    def forget(self, batch: BatchRequest) -> None:
        """Let another attempt at the request be sent."""
        self._expires_at.pop(_request_key(batch), None)


def _attempt_key(batch: BatchRequest) -> tuple[str, ...]:
    return ('attempt', batch.attempt_id)


def _request_key(batch: BatchRequest) -> tuple[str, ...]:
    return ('request', batch.team, batch.request_id)


class ItemRun:
    """One sub-request from admission to its outcome."""

    def __init__(self, running_batch: Any, item: Item) -> None:
        self._running_batch = running_batch
        self._gateway = running_batch.gateway
        self._batch = running_batch.batch
        self._item = item
        self._lane = running_batch.gateway.lane(item.server)
        self._permit: Permit | None = None
        self._server: BackendServer | None = None
        self._dispatched_at: float | None = None
        self._reply: ItemReply | None = None
        self._probe_needed = False
        self._canary = False

    async def run(self) -> None:
        """Admit and dispatch; stop at the first refusal."""
        self._server = self._find_server()
        refusal = self._server_refusal()
        if refusal is None:
            refusal = await self._admit()
        if refusal is not None:
            self._reply = self._not_run(refusal)
            return
        await self._call_server()

    def final_reply(self) -> ItemReply:
        """Return the reply; a cancelled item has none of its own.

        A cancelled call that ran for long may stand on a silent connection,
        so `settle` then probes its server.
        """
        if self._reply is not None:
            return self._reply
        cause = system_cause(ErrorCode.CANCELLED, 'the entry cancelled it')
        if self._dispatched_at is None:
            return self._not_run(cause)
        ran_s = self._gateway.view.now() - self._dispatched_at
        normal_s = max(
            self._lane.service_s, self._gateway.options.flush_interval_s
        )
        self._probe_needed = (
            ran_s > normal_s * self._gateway.options.silent_after_service_times
        )
        return self._unknown(cause)

    async def return_permit(self) -> None:
        """Give the permit back, after a probe where work may go on."""
        self.final_reply()
        if self._permit is None:
            return
        permit, self._permit = self._permit, None
        with anyio.CancelScope(shield=True):
            await self._gateway.return_permit(
                self._server, permit, probe=self._probe_needed
            )
        self._lane.release(self._batch.team)

    def _find_server(self) -> BackendServer | None:
        catalog = self._gateway.view.state.catalogs.get(self._batch.collection)
        return catalog.servers.get(self._item.server) if catalog else None

    def _server_refusal(self) -> Cause | None:
        refusal = self._gateway.view.refusal()
        if refusal is not None:
            return refusal
        if self._server is None:
            return system_cause(
                ErrorCode.NO_REPLICA, f'{self._item.server} is not known'
            )
        zone = self._gateway.view.state.zones.get(
            self._server.availability_zone
        )
        if zone is not None and not zone.in_service:
            return zone.cause(ErrorCode.ZONE_OUT)
        if self._server.leaving:
            return system_cause(
                ErrorCode.BACKEND_LEAVING, f'{self._server.id} is leaving'
            )
        return self._quarantine_refusal()

    def _quarantine_refusal(self) -> Cause | None:
        mode = self._gateway.quarantine.run_mode(
            self._gateway.view.now(), self._batch.fingerprint
        )
        self._canary = mode.name == 'CANARY'
        if mode.name != 'REFUSED':
            return None
        return system_cause(
            ErrorCode.QUARANTINED, f'fingerprint {self._batch.fingerprint}'
        )

    async def _admit(self) -> Cause | None:
        permit_or_cause = await self._lane.permit(
            team=self._batch.team,
            weight=self._batch.weight,
            priority=self._batch.priority,
            deadline=self._running_batch.deadline,
            # A booking may ask only a few gateways.
            patient=not self._batch.idempotent,
        )
        if isinstance(permit_or_cause, Cause):
            return permit_or_cause
        self._permit = permit_or_cause
        # The process may have been paused, and the configuration may have
        # changed, while the item waited.
        if not self._gateway.options.check_before_dispatch:
            return None
        self._server = self._find_server()
        return self._server_refusal()

    async def _call_server(self) -> None:
        if self._running_batch.remaining_s <= 0:
            self._reply = self._not_run(
                system_cause(ErrorCode.DEADLINE_HOPELESS, 'no time left')
            )
            return
        if not self._gateway.check_warmth_is_current(self._server):
            self._reply = self._not_run(
                system_cause(
                    ErrorCode.BACKEND_COLD,
                    f'{self._item.server}: no connection is open, so it may '
                    'have restarted',
                )
            )
            return
        if not self._record_send():
            self._reply = self._unknown(
                system_cause(
                    ErrorCode.OUTCOME_UNKNOWN, 'the request was sent before'
                )
            )
            return
        self._dispatched_at = self._gateway.view.now()
        with (
            hop_span('backend', self._running_batch.trace_parent) as hop,
            self._lane.runs(self._batch.fingerprint),
        ):
            try:
                with anyio.fail_after(self._call_timeout_s()):
                    answer = await self._gateway.client.call(
                        self._server,
                        self._backend_call(hop.trace_parent),
                        connections=self._gateway.capacity.connection_limit(
                            self._item.server
                        ),
                    )
            except BackendError as exc:
                self._handle_failure(exc)
            except TimeoutError:
                self._handle_failure(
                    BackendError(
                        ErrorCode.DEADLINE_EXCEEDED, 'the call did not end'
                    )
                )
            else:
                self._handle_answer(answer)

    def _call_timeout_s(self) -> float:
        """Return how long a call may last, in seconds.

        The client keeps the deadline and knows whether the request was sent;
        a little more time lets it say so. A search whose call lasts far
        longer than a straggler probably waits on a silent connection, so it
        ends early enough for the entry to try another backend server.
        """
        timeout_s = self._running_batch.remaining_s + _CLIENT_GRACE_S
        if not self._batch.idempotent or not self._lane.service_s:
            return timeout_s
        silent_s = max(
            _MIN_SILENT_S, _SILENT_SERVICE_TIMES * self._lane.service_s
        )
        return min(timeout_s, silent_s)

    def _record_send(self) -> bool:
        return (
            self._batch.idempotent
            or not self._gateway.options.reject_duplicates
            or self._gateway.sent_requests.record_if_new(
                self._gateway.view.now(), self._batch
            )
        )

    def _backend_call(self, trace_parent: str) -> BackendCall:
        return BackendCall(
            path='/search' if self._batch.idempotent else '/booking',
            request_id=self._batch.request_id,
            attempt_id=self._batch.attempt_id,
            shard=self._item.shard,
            snapshot=self._batch.snapshot,
            deadline_s=self._running_batch.remaining_s,
            trace_parent=trace_parent,
            body=self._batch.body,
        )

    def _handle_answer(self, answer: BackendReply) -> None:
        now = self._gateway.view.now()
        latency_s = now - self._dispatched_at
        permit, self._permit = self._permit, None
        self._gateway.connected_servers.add(self._item.server)
        self._gateway.capacity.record_answer(
            now, permit, generation=answer.generation, latency_s=latency_s
        )
        self._lane.observe(latency_s)
        if self._canary:
            # Only an attempt that began after the loss clears the request;
            # answers of the same wave prove nothing.
            self._gateway.quarantine.answered(now, self._batch.fingerprint)
        self._reply = ItemReply(
            self._item.index,
            ItemStatus.ANSWERED,
            answer.snapshot,
            answer.body,
        )
        self._lane.release(self._batch.team)

    def _handle_failure(self, exc: BackendError) -> None:
        cause = system_cause(exc.code, exc.message)
        if exc.not_run:
            self._gateway.sent_requests.forget(self._batch)
            self._reply = self._not_run(cause)
        elif exc.lost:
            self._gateway.quarantine.server_lost(
                self._gateway.view.now(),
                self._item.server,
                self._lane.running(),
            )
            self._reply = self._unknown(cause, server_lost=True)
        else:
            self._reply = self._unknown(cause)
        if exc.code is ErrorCode.DEADLINE_EXCEEDED:
            # Only a probe tells a slow server from a silent connection.
            self._probe_needed = True
            return
        if exc.code is ErrorCode.BACKEND_LOST and exc.not_run and not exc.lost:
            # No connection could be opened, as after a failed probe.
            self._gateway.capacity.eject(
                self._gateway.view.now(), self._item.server
            )
        permit, self._permit = self._permit, None
        self._gateway.capacity.record_failure(
            self._gateway.view.now(),
            permit,
            generation=exc.generation,
            lost=exc.lost,
            refused=exc.code is ErrorCode.BACKEND_SHED,
        )
        self._lane.release(self._batch.team)

    def _not_run(self, cause: Cause) -> ItemReply:
        return ItemReply(self._item.index, ItemStatus.NOT_RUN, cause=cause)

    def _unknown(self, cause: Cause, *, server_lost: bool = False) -> ItemReply:
        return ItemReply(
            self._item.index,
            ItemStatus.UNKNOWN,
            cause=cause,
            server_lost=server_lost,
        )
