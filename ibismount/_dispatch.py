"""Send the sub-requests of a request to gateways and collect replies."""

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

__all__ = ('Attempt', 'AttemptResult', 'Dispatcher')


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """A sub-request that was sent."""

    index: int
    target: Target
    batch_id: str
    sent_at: float
    hedge: bool = False


class AttemptResult(NamedTuple):
    """The end of an attempt; a lost link is reported as a reply."""

    attempt: Attempt
    reply: ItemReply


class Dispatcher:
    """Track the sub-requests of one request until they end.

    Each batch has its own attempt id, so replies cannot be confused with
    those of another batch of the same request.

    Args:
        ports: Sends batches to gateways.
        load: Counts outstanding sub-requests.
        group: Task group of the request.
        now: Returns monotonic time in seconds.
        batch_template: A batch without items. Its attempt id is the prefix
            of the attempt ids of all batches.
    """

    def __init__(
        self,
        ports: GatewayPort,
        load: LoadTracker,
        group: anyio.abc.TaskGroup,
        now: Callable[[], float],
        batch_template: BatchRequest,
    ) -> None:
        """Start without attempts."""
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
        """Return all available results, or none after a timeout."""
        results = []
        with anyio.move_on_after(timeout_s):
            results.append(await self._receiver.receive())
        with contextlib.suppress(anyio.WouldBlock):
            while True:
                results.append(self._receiver.receive_nowait())
        return results

    def cancel(self, attempts: Iterable[Attempt]) -> None:
        """Cancel attempts and ignore their later replies."""
        indexes_by_batch: dict[tuple[str, str], list[int]] = {}
        for attempt in attempts:
            if self._close_attempt(attempt.batch_id, attempt.index) is None:
                continue
            key = (attempt.target.gateway, attempt.batch_id)
            indexes_by_batch.setdefault(key, []).append(attempt.index)
        for (gateway, batch_id), indexes in indexes_by_batch.items():
            self._ports.cancel(gateway, Cancel(batch_id, tuple(indexes)))

    def cancel_all(self) -> None:
        """Cancel all open attempts."""
        self.cancel(
            [
                attempt
                for attempts in self._open_attempts.values()
                for attempt in attempts.values()
            ]
        )

    def close(self) -> None:
        """Close the result channel."""
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
            new_attempt.index: new_attempt for new_attempt in attempts
        }
        for attempt in attempts:
            self._load.record_start(attempt.target)
            self.may_have_run.add(attempt.index)
        batch = dataclasses.replace(
            self._batch_template,
            attempt_id=batch_id,
            remaining_ms=max(1, int((deadline - now) * 1000)),
            items=tuple(
                Item(
                    new_attempt.index,
                    new_attempt.target.shard,
                    new_attempt.target.server.id,
                )
                for new_attempt in attempts
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
                self._load.record_message(self._now(), gateway)
                self._deliver_replies(message)
                if message.final:
                    return

    def _deliver_replies(self, message: BatchReply) -> None:
        """Queue the results of attempts that are still open."""
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
        attempts = self._open_attempts.get(batch_id, {})
        attempt = attempts.pop(index, None)
        if attempt is not None:
            self._load.record_end(attempt.target)
            if not attempts:
                self._open_attempts.pop(batch_id)
        return attempt
