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
from ibismount.messages import (
    BatchReply,
    BatchRequest,
    Cancel,
    Item,
    ItemReply,
    ItemStatus,
)
from ibismount.planning import group_by_gateway
from ibismount.route_load import RouteLoad, Target

__all__ = ('Attempt', 'AttemptResult', 'Dispatcher')


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One sub-request that was sent."""

    index: int
    target: Target
    batch_id: str
    sent_at: float
    hedge: bool = False


class AttemptResult(NamedTuple):
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
        load: RouteLoad,
        group: anyio.abc.TaskGroup,
        now: Callable[[], float],
        batch_template: BatchRequest,
    ) -> None:
        """Start with nothing sent."""
        self._ports = ports
        self._load = load
        self._group = group
        self._now = now
        self._batch_template = batch_template
        self._batch_count = 0
        self._open_attempts: dict[str, dict[int, Attempt]] = {}
        # Indexes of sub-requests that a backend server may have run.
        self.may_have_run: set[int] = set()
        self.sent_count = 0
        self._sender, self._receiver = anyio.create_memory_object_stream[
            AttemptResult
        ](math.inf)

    def send(
        self, targets: Sequence[Target], *, deadline: float, hedge: bool = False
    ) -> list[Attempt]:
        """Send one batch to each gateway of the targets."""
        sent_attempts = []
        for gateway, gateway_targets in group_by_gateway(targets).items():
            sent_attempts.extend(
                self._send_batch(gateway, gateway_targets, deadline, hedge)
            )
        return sent_attempts

    async def receive_results(self, timeout_s: float) -> list[AttemptResult]:
        """Return what arrived; empty when nothing did in time."""
        results = []
        with anyio.move_on_after(timeout_s):
            results.append(await self._receiver.receive())
        with contextlib.suppress(anyio.WouldBlock):
            while True:
                results.append(self._receiver.receive_nowait())
        return results

    def cancel(self, attempts: Iterable[Attempt]) -> None:
        """Cancel attempts; their replies are ignored from now on."""
        indexes_by_batch: dict[tuple[str, str], list[int]] = {}
        for attempt in attempts:
            if self._close_attempt(attempt.batch_id, attempt.index) is None:
                continue
            key = (attempt.target.gateway, attempt.batch_id)
            indexes_by_batch.setdefault(key, []).append(attempt.index)
        for (gateway, batch_id), indexes in indexes_by_batch.items():
            self._ports.cancel(gateway, Cancel(batch_id, tuple(indexes)))

    def cancel_all(self) -> None:
        """Cancel everything that is still open."""
        self.cancel(
            [
                attempt
                for items in self._open_attempts.values()
                for attempt in items.values()
            ]
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
        batch_id = f'{self._batch_template.attempt_id}.{self._batch_count}'
        self._batch_count += 1
        first_index = self.sent_count
        self.sent_count += len(targets)
        attempts = [
            Attempt(first_index + offset, target, batch_id, now, hedge)
            for offset, target in enumerate(targets)
        ]
        self._open_attempts[batch_id] = {
            attempt.index: attempt for attempt in attempts
        }
        for attempt in attempts:
            self._load.started(attempt.target)
            self.may_have_run.add(attempt.index)
        batch = dataclasses.replace(
            self._batch_template,
            attempt_id=batch_id,
            remaining_ms=max(1, int((deadline - now) * 1000)),
            items=tuple(
                Item(
                    attempt.index,
                    attempt.target.shard,
                    attempt.target.server.id,
                )
                for attempt in attempts
            ),
        )
        self._group.start_soon(self._run_batch, gateway, batch)
        return attempts

    async def _run_batch(self, gateway: str, batch: BatchRequest) -> None:
        try:
            await self._receive_replies(gateway, batch)
        except IbismountError as exc:
            cause = system_cause(exc.code, f'{gateway}: {exc.message}')
            not_sent = exc.code is ErrorCode.PEER_REFUSED
        else:
            cause = system_cause(
                ErrorCode.LINK_LOST, f'{gateway} ended the batch early'
            )
            not_sent = False
        status = ItemStatus.NOT_RUN if not_sent else ItemStatus.UNKNOWN
        self._close_batch(batch.attempt_id, status, cause)

    async def _receive_replies(self, gateway: str, batch: BatchRequest) -> None:
        replies = self._ports.run(gateway, batch)
        async with contextlib.aclosing(replies):
            async for message in replies:
                if message.attempt_id != batch.attempt_id:
                    continue
                self._load.heard(self._now(), gateway)
                self._deliver_replies(message)
                if message.final:
                    return

    def _deliver_replies(self, message: BatchReply) -> None:
        """Hand on replies to sub-requests that are still open."""
        for reply in message.replies:
            attempt = self._close_attempt(message.attempt_id, reply.index)
            if attempt is None:
                continue
            if reply.status is ItemStatus.NOT_RUN:
                self.may_have_run.discard(attempt.index)
            self._sender.send_nowait(AttemptResult(attempt, reply))

    def _close_batch(
        self, batch_id: str, status: ItemStatus, cause: Cause
    ) -> None:
        replies = tuple(
            ItemReply(index, status, cause=cause)
            for index in self._open_attempts.get(batch_id, ())
        )
        self._deliver_replies(BatchReply(batch_id, replies, final=True))

    def _close_attempt(self, batch_id: str, index: int) -> Attempt | None:
        items = self._open_attempts.get(batch_id, {})
        attempt = items.pop(index, None)
        if attempt is not None:
            self._load.ended(attempt.target)
            if not items:
                self._open_attempts.pop(batch_id)
        return attempt
