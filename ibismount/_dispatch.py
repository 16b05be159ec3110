"""Send sub-requests of one request to gateways and collect the replies."""

import contextlib
import dataclasses
import math
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

import anyio
import anyio.abc

from ibismount._requests import GatewayPort
from ibismount.cause import Cause, system_cause
from ibismount.errors import ErrorCode, IbismountError
from ibismount.load_tracker import LoadTracker, Target
from ibismount.messages import (
    BatchReply,
    BatchRequest,
    Cancel,
    Item,
    ItemReply,
    ItemStatus,
)
from ibismount.planning import group_by_gateway

__all__ = ('Arrival', 'Attempt', 'Dispatcher')


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One sub-request that was sent."""

    index: int
    target: Target
    batch_id: str
    sent_at: float
    hedge: bool = False


class Arrival(NamedTuple):
    """The end of an attempt; lost links are turned into replies."""

    attempt: Attempt
    reply: ItemReply


class Dispatcher:
    """Track the sub-requests of one request until they end.

    Each batch gets an attempt id of its own, so that replies cannot be
    mistaken for those of another batch of the same request.

    Args:
        ports: Reaches the gateways.
        load: Counts outstanding sub-requests.
        group: Task group of the request.
        now: Returns seconds.
        template: A batch without items; its attempt id is the prefix.
    """

    def __init__(
        self,
        ports: GatewayPort,
        load: LoadTracker,
        group: anyio.abc.TaskGroup,
        now: Callable[[], float],
        template: BatchRequest,
    ) -> None:
        """Start with nothing sent."""
        self._ports = ports
        self._load = load
        self._group = group
        self._now = now
        self._template = template
        self._batches = 0
        self._open: dict[str, dict[int, Attempt]] = {}
        # Indexes of sub-requests that a backend server may have run.
        self.may_have_run: set[int] = set()
        self.sent = 0
        self._sender, self._receiver = anyio.create_memory_object_stream[
            Arrival
        ](math.inf)

    def send(
        self, targets: Sequence[Target], *, deadline: float, hedge: bool = False
    ) -> list[Attempt]:
        """Send one batch to each gateway of the targets."""
        sent = []
        for gateway, some in group_by_gateway(targets).items():
            sent.extend(self._send_batch(gateway, some, deadline, hedge))
        return sent

    async def arrivals(self, timeout_s: float) -> list[Arrival]:
        """Return what arrived; empty when nothing did in time."""
        arrived = []
        with anyio.move_on_after(timeout_s):
            arrived.append(await self._receiver.receive())
        with contextlib.suppress(anyio.WouldBlock):
            while True:
                arrived.append(self._receiver.receive_nowait())
        return arrived

    def cancel(self, attempts: Iterable[Attempt]) -> None:
        """Cancel attempts; their replies are ignored from now on."""
        batches: dict[tuple[str, str], list[int]] = {}
        for attempt in attempts:
            if self._end(attempt.batch_id, attempt.index) is None:
                continue
            key = (attempt.target.gateway, attempt.batch_id)
            batches.setdefault(key, []).append(attempt.index)
        for (gateway, batch_id), indexes in batches.items():
            self._ports.cancel(gateway, Cancel(batch_id, tuple(indexes)))

    def cancel_all(self) -> None:
        """Cancel everything that is still open."""
        self.cancel(
            [one for items in self._open.values() for one in items.values()]
        )

    def close(self) -> None:
        """Release the channel; nothing is received any more."""
        self._sender.close()
        self._receiver.close()

    def _send_batch(
        self,
        gateway: str,
        targets: Sequence[Target],
        deadline: float,
        hedge: bool,
    ) -> list[Attempt]:
        now = self._now()
        batch_id = f'{self._template.attempt_id}.{self._batches}'
        self._batches += 1
        first = self.sent
        self.sent += len(targets)
        attempts = [
            Attempt(first + offset, target, batch_id, now, hedge)
            for offset, target in enumerate(targets)
        ]
        self._open[batch_id] = {one.index: one for one in attempts}
        for attempt in attempts:
            self._load.record_start(attempt.target)
            self.may_have_run.add(attempt.index)
        batch = dataclasses.replace(
            self._template,
            attempt_id=batch_id,
            remaining_ms=max(1, int((deadline - now) * 1000)),
            items=tuple(
                Item(one.index, one.target.shard, one.target.server.id)
                for one in attempts
            ),
        )
        self._group.start_soon(self._run_batch, gateway, batch)
        return attempts

    async def _run_batch(self, gateway: str, batch: BatchRequest) -> None:
        try:
            await self._receive(gateway, batch)
        except IbismountError as exc:
            cause = system_cause(exc.code, f'{gateway}: {exc.message}')
            not_sent = exc.code is ErrorCode.PEER_REFUSED
        else:
            cause = system_cause(
                ErrorCode.LINK_LOST, f'{gateway} ended the batch early'
            )
            not_sent = False
        status = ItemStatus.NOT_RUN if not_sent else ItemStatus.UNKNOWN
        self._end_batch(batch.attempt_id, status, cause)

    async def _receive(self, gateway: str, batch: BatchRequest) -> None:
        replies = self._ports.run(gateway, batch)
        async with contextlib.aclosing(replies):
            async for message in replies:
                if message.attempt_id != batch.attempt_id:
                    continue
                self._load.record_message(self._now(), gateway)
                self._take(message)
                if message.final:
                    return

    def _take(self, message: BatchReply) -> None:
        """Hand on replies to sub-requests that are still open."""
        for reply in message.replies:
            attempt = self._end(message.attempt_id, reply.index)
            if attempt is None:
                continue
            if reply.status is ItemStatus.NOT_RUN:
                self.may_have_run.discard(attempt.index)
            self._sender.send_nowait(Arrival(attempt, reply))

    def _end_batch(
        self, batch_id: str, status: ItemStatus, cause: Cause
    ) -> None:
        replies = tuple(
            ItemReply(index, status, cause=cause)
            for index in self._open.get(batch_id, ())
        )
        self._take(BatchReply(batch_id, replies, final=True))

    def _end(self, batch_id: str, index: int) -> Attempt | None:
        items = self._open.get(batch_id, {})
        attempt = items.pop(index, None)
        if attempt is not None:
            self._load.record_end(attempt.target)
            if not items:
                self._open.pop(batch_id)
        return attempt
