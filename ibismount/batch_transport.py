"""Transport of batches between entries and gateways over the links."""

import dataclasses
import math
from collections.abc import AsyncIterator, Sequence

import anyio
import anyio.abc
from anyio.streams.memory import (
    MemoryObjectReceiveStream,
    MemoryObjectSendStream,
)

from ibismount import messages
from ibismount.entry import GatewayPort
from ibismount.errors import ErrorCode, IbismountError
from ibismount.gateway import Gateway
from ibismount.logs import part_logger
from ibismount.node import Node

__all__ = ('BatchTransport',)

log = part_logger('link')


@dataclasses.dataclass(slots=True)
class _Pending:
    """A batch that waits for replies.

    ``possibly_sent`` is False once none of it can have left this node.
    """

    replies: MemoryObjectSendStream[messages.BatchReply]
    possibly_sent: bool = True


class BatchTransport(GatewayPort):
    """Send batches to gateways and run incoming ones on the local gateway.

    Args:
        node: Receives all control messages.
        gateway: The local gateway.
    """

    def __init__(self, node: Node, gateway: Gateway) -> None:
        """Create the table of batches that wait for replies."""
        self._node = node
        self._gateway = gateway
        self._pending: dict[tuple[str, str], _Pending] = {}
        self._running_batches = 0
        self._idle = anyio.Event()
        self._batch_sender, self._batch_receiver = (
            anyio.create_memory_object_stream[
                tuple[str, messages.BatchRequest]
            ](math.inf)
        )
        self._cancel_sender, self._cancel_receiver = (
            anyio.create_memory_object_stream[messages.Envelope](math.inf)
        )

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run incoming batches and send cancels until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_cancels)
            task_status.started()
            async for sender, batch in self._batch_receiver:
                tasks.start_soon(self._serve_batch, sender, batch)

    async def wait_idle(self) -> None:
        """Wait until the local gateway runs no batch."""
        while self._running_batches:
            await self._idle.wait()

    async def run(
        self, node_id: str, batch: messages.BatchRequest
    ) -> AsyncIterator[messages.BatchReply]:
        """Yield the replies to a batch up to the final one.

        Raises:
            IbismountError: ``peer_refused`` when no part of the batch was
                sent; ``link_lost`` when it may have been sent.
        """
        key = (node_id, batch.attempt_id)
        send, receive = anyio.create_memory_object_stream[messages.BatchReply](
            math.inf
        )
        pending = _Pending(send)
        self._pending[key] = pending
        try:
            await self._send_batch(node_id, batch)
            async for reply in receive:
                yield reply
                if reply.final:
                    return
        finally:
            self._remove_pending(key, receive)
        code = (
            ErrorCode.LINK_LOST
            if pending.possibly_sent
            else ErrorCode.PEER_REFUSED
        )
        raise IbismountError(
            code, f'the link to {node_id} was lost before the final reply'
        )

    def cancel(self, node_id: str, message: messages.Cancel) -> None:
        """Queue a cancel; if it is lost, the batch only runs to its end."""
        if node_id == self._node.node_id:
            self._gateway.cancel(message)
        else:
            self._cancel_sender.send_nowait(messages.Envelope(node_id, message))

    async def receive(self, sender: str, message: messages.Message) -> None:
        """Handle one message from a link."""
        if isinstance(message, messages.BatchReply):
            self._deliver(sender, message)
        elif isinstance(message, messages.BatchRequest):
            self._batch_sender.send_nowait((sender, message))
        elif isinstance(message, messages.Cancel):
            self._gateway.cancel(message)
        else:
            await self._node.send(self._node.receive(sender, message))

    def mark_undelivered(
        self, node_id: str, unsent: Sequence[messages.Message]
    ) -> None:
        """Mark the batches of which no part was sent."""
        for message in unsent:
            if isinstance(message, messages.BatchRequest):
                pending = self._pending.get((node_id, message.attempt_id))
                if pending is not None:
                    pending.possibly_sent = False

    def handle_link_lost(self, node_id: str) -> None:
        """End all batches that wait for replies from a node."""
        for key, pending in list(self._pending.items()):
            if key[0] == node_id:
                pending.replies.close()

    async def _send_batch(
        self, node_id: str, batch: messages.BatchRequest
    ) -> None:
        if node_id == self._node.node_id:
            self._batch_sender.send_nowait((node_id, batch))
            return
        try:
            await self._node.link_manager.send(node_id, batch)
        except IbismountError as exc:
            raise IbismountError(
                ErrorCode.PEER_REFUSED,
                f'the batch was not sent: {exc}',
            ) from exc

    async def _send_cancels(self) -> None:
        async for envelope in self._cancel_receiver:
            await self._node.send([envelope])

    async def _serve_batch(
        self, sender: str, batch: messages.BatchRequest
    ) -> None:
        async def reply_to_sender(reply: messages.BatchReply) -> None:
            if sender == self._node.node_id:
                self._deliver(sender, reply)
            else:
                await self._node.link_manager.send(sender, reply)

        self._running_batches += 1
        try:
            await self._gateway.run(batch, reply_to_sender)
        except IbismountError as exc:
            log.info('batch reply to %s was dropped: %s', sender, exc)
        finally:
            self._record_batch_end()

    def _record_batch_end(self) -> None:
        self._running_batches -= 1
        self._idle.set()
        self._idle = anyio.Event()

    def _remove_pending(
        self,
        key: tuple[str, str],
        receive: MemoryObjectReceiveStream[messages.BatchReply],
    ) -> None:
        pending = self._pending.pop(key, None)
        if pending is not None:
            pending.replies.close()
        receive.close()

    def _deliver(self, sender: str, reply: messages.BatchReply) -> None:
        pending = self._pending.get((sender, reply.attempt_id))
        if pending is not None:
            pending.replies.send_nowait(reply)
