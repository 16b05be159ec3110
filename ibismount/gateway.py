"""Run batches of sub-requests on the backend servers of this gateway."""

import dataclasses
from collections.abc import Awaitable, Callable

import anyio
from opentelemetry import metrics

from ibismount._item import ItemRun, SentRequests
from ibismount._tracing import hop_span
from ibismount.backend import BackendClient
from ibismount.capacity import CapacityTable, Permit
from ibismount.catalog import BackendServer
from ibismount.cause import Cause
from ibismount.errors import IbismountError
from ibismount.messages import BatchReply, BatchRequest, Cancel, Item, ItemReply
from ibismount.node_view import NodeView
from ibismount.permit_queue import PermitQueue
from ibismount.permit_return import PermitReturner
from ibismount.quarantine import Quarantine

__all__ = ('Gateway', 'GatewayOptions')

SendReply = Callable[[BatchReply], Awaitable[None]]
_METER = metrics.get_meter('ibismount.gateway')


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayOptions:
    """Options of a gateway; times are in seconds.

    ``check_before_dispatch`` and ``reject_duplicates`` must stay on in
    production. Tests turn them off to show which failures they prevent.
    """

    # Replies that become ready within this time share one message.
    flush_interval_s: float = 0.002
    probe_timeout_s: float = 0.5
    # A call cancelled after this many estimated service times may have a
    # silent connection, so its server is probed.
    silent_after_service_times: float = 3
    # How long the ids of sent bookings are kept to reject duplicates: several
    # times the longest deadline.
    retention_s: float = 60
    check_before_dispatch: bool = True
    reject_duplicates: bool = True


class Gateway:
    """Admit, dispatch and cancel sub-requests.

    Args:
        view: The control state of the node.
        capacity: Table of permits and warm-up state.
        client: Calls backend servers.
        quarantine: Records which requests ran when a server was lost.
        journal: Called with the part, a text and ``cause=``.
        options: See `GatewayOptions`.
    """

    def __init__(
        self,
        view: NodeView,
        capacity: CapacityTable,
        client: BackendClient,
        quarantine: Quarantine,
        journal: Callable[..., None],
        *,
        options: GatewayOptions | None = None,
    ) -> None:
        """Start without batches."""
        self.view = view
        self.capacity = capacity
        self.client = client
        self.quarantine = quarantine
        self.options = options or GatewayOptions()
        self._permit_returner = PermitReturner(
            view,
            capacity,
            client,
            journal,
            probe_timeout_s=self.options.probe_timeout_s,
        )
        # Servers that have answered on a connection of this gateway.
        self.connected_servers: set[str] = set()
        self._permit_queues: dict[str, PermitQueue] = {}
        self._batches: dict[str, _RunningBatch] = {}
        self.sent_requests = SentRequests(retention_s=self.options.retention_s)
        self._outcomes = _METER.create_counter(
            'ibismount.gateway.items', description='Sub-requests by outcome'
        )

    async def run(self, batch: BatchRequest, send: SendReply) -> None:
        """Run all items of a batch and send their replies.

        The last message has ``final`` set. The method returns once the
        permits of all items are returned, which can be later.

        Args:
            batch: The sub-requests.
            send: Sends one message to the entry; may raise IbismountError
                if the link is lost.
        """
        running_batch = _RunningBatch(self, batch, send)
        # A duplicate batch id would make replies and cancellations ambiguous.
        if batch.attempt_id in self._batches:
            return
        self._batches[batch.attempt_id] = running_batch
        try:
            await running_batch.run()
        finally:
            self._batches.pop(batch.attempt_id)

    def cancel(self, message: Cancel) -> None:
        """Cancel sub-requests; running ones get the reply ``unknown``."""
        running_batch = self._batches.get(message.attempt_id)
        if running_batch is not None:
            running_batch.cancel(message.indexes)

    def refusal(self) -> Cause | None:
        """Return why the node may not dispatch now, or None if it may."""
        if self.options.check_before_dispatch:
            return self.view.refusal()
        return None

    def permit_queue(self, server_id: str) -> PermitQueue:
        """Return the permit queue of a backend server, creating it if needed."""
        permit_queue = self._permit_queues.get(server_id)
        if permit_queue is None:
            permit_queue = PermitQueue(
                server_id, self.capacity, self.view.now, self.refusal
            )
            self._permit_queues[server_id] = permit_queue
        return permit_queue

    async def return_permit(
        self, server: BackendServer, permit: Permit, *, probe: bool
    ) -> None:
        """Return a permit once the server has stopped the work."""
        await self._permit_returner.return_permit(server, permit, probe=probe)

    def check_warmth_is_current(self, server: BackendServer) -> bool:
        """Return whether the recorded warm state of a server is current.

        Once the last connection is closed, for example by a cancelled call,
        a restart goes undetected. The capacity table is then told to verify
        the warm state again.
        """
        if server.id not in self.connected_servers:
            return True
        if self.client.is_connected(server):
            return True
        self.connected_servers.discard(server.id)
        self.capacity.record_disconnect(self.view.now(), server.id)
        return False

    def record_outcome(self, reply: ItemReply) -> None:
        """Count the outcome of an item."""
        code = reply.cause.code if reply.cause else ''
        self._outcomes.add(1, {'outcome': reply.status, 'code': code})


class _RunningBatch:
    """State of one batch while it runs."""

    def __init__(
        self, gateway: Gateway, batch: BatchRequest, send: SendReply
    ) -> None:
        self.gateway = gateway
        self.batch = batch
        self._send = send
        self._deadline = gateway.view.now() + batch.remaining_ms / 1000
        self._scopes: dict[int, anyio.CancelScope] = {}
        self._cancelled: set[int] = set()
        self._pending_replies: list[ItemReply] = []
        self._unfinished_count = len(batch.items)
        self._reply_ready = anyio.Event()
        self._all_finished = anyio.Event()
        self._trace_parent = batch.trace_parent

    async def run(self) -> None:
        with hop_span('gateway', self.batch.trace_parent) as hop:
            self._trace_parent = hop.trace_parent
            async with anyio.create_task_group() as group:
                for item in self.batch.items:
                    group.start_soon(self._run_item, item)
                await self._flush()

    def cancel(self, indexes: tuple[int, ...]) -> None:
        for index in indexes:
            self._cancelled.add(index)
            scope = self._scopes.get(index)
            if scope is not None:
                scope.cancel()

    async def _flush(self) -> None:
        if not self._unfinished_count:
            self._reply_ready.set()
            self._all_finished.set()
        final = False
        while not final:
            await self._reply_ready.wait()
            with anyio.move_on_after(self.gateway.options.flush_interval_s):
                await self._all_finished.wait()
            self._reply_ready = anyio.Event()
            replies, self._pending_replies = tuple(self._pending_replies), []
            final = not self._unfinished_count
            message = BatchReply(self.batch.attempt_id, replies, final=final)
            try:
                await self._send(message)
            except IbismountError:
                self._cancel_searches()
                return

    def _cancel_searches(self) -> None:
        # A search has no receiver any more. A booking continues, because its
        # effect may be wanted and stopping it would leave it half done.
        if self.batch.idempotent:
            self.cancel(tuple(item.index for item in self.batch.items))

    async def _run_item(self, item: Item) -> None:
        item_run = ItemRun(self, item)
        try:
            await self._run_cancellable(item, item_run)
        finally:
            await item_run.return_permit()

    async def _run_cancellable(self, item: Item, item_run: ItemRun) -> None:
        scope = anyio.CancelScope()
        self._scopes[item.index] = scope
        if item.index in self._cancelled:
            scope.cancel()
        with scope:
            await item_run.run()
        self._scopes.pop(item.index)
        reply = item_run.final_reply()
        self.gateway.record_outcome(reply)
        self._pending_replies.append(reply)
        self._unfinished_count -= 1
        self._reply_ready.set()
        if not self._unfinished_count:
            self._all_finished.set()

    @property
    def remaining_s(self) -> float:
        return self._deadline - self.gateway.view.now()

    @property
    def deadline(self) -> float:
        return self._deadline

    @property
    def trace_parent(self) -> str:
        return self._trace_parent
