"""Links between nodes: bounded queues, dialling, and authentication.

`LinkManager` keeps at most a few authenticated TCP connections to each peer.
Both sides may write on any of them; each writes on the newest one.
"""

import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, Final

import anyio
import anyio.abc

from ibismount._authentication import Authenticator, refusal_error
from ibismount._link import BATCH_TYPES, Link, LinkTimings
from ibismount._peer import Peer
from ibismount._tcp import StreamOpener, open_tcp, split_address
from ibismount.errors import ErrorCode, IbismountError
from ibismount.frame import decode_body, encode_body
from ibismount.logs import part_logger
from ibismount.messages import Hello, Message
from ibismount.roster import Member

__all__ = ('PROTOCOL_VERSION', 'LinkManager', 'LinkTimings')

PROTOCOL_VERSION: Final = 1
MAX_QUEUE_BYTES: Final = 16 * 1024 * 1024
_FLUSH_POLL_S: Final = 0.01
# Dialling pauses after this many consecutive failures until the next message.
_MAX_DIAL_FAILURES: Final = 8

log = part_logger('link')

MessageHandler = Callable[[str, Message], Any]
UndeliveredHandler = Callable[[str, Sequence[Message]], None]


class LinkManager:
    """Send messages to other nodes and dispatch received ones.

    Args:
        member: This node. Its incarnation must increase with each start,
            because peers refuse an older one. The node listens on its link
            address; with an empty address it only dials.
        cluster: Name of the cluster; a peer with another name is refused.
        secret: Shared secret of the cluster.
        handler: Called with the sender's node id and each message. It may
            return an awaitable, which is awaited before the next message of
            that link is read; it must finish well within
            ``times.dead_after_s``.
        link_lost: Called with the node id each time a link could not be
            opened, or ended for another reason than being idle.
        undelivered: Called before ``link_lost`` with the node id and the
            messages that were still queued; no byte of them was sent.
        rng: Adds jitter to reconnects.
        queue_messages: Limit of each peer's queue in messages.
        queue_bytes: Limit of each peer's queue in bytes.
        open_stream: Opens a byte stream to an address; TCP by default.
        times: Periods and timeouts of the links.
        protocol: Protocol version; peers with another one are refused.
    """

    def __init__(
        self,
        member: Member,
        *,
        cluster: str,
        secret: bytes,
        handler: MessageHandler,
        link_lost: Callable[[str], None] | None = None,
        undelivered: UndeliveredHandler | None = None,
        rng: random.Random | None = None,
        queue_messages: int = 1024,
        queue_bytes: int = MAX_QUEUE_BYTES,
        open_stream: StreamOpener | None = None,
        times: LinkTimings | None = None,
        protocol: int = PROTOCOL_VERSION,
    ) -> None:
        """Store the options; `serve` starts the work."""
        self._node_id = member.id
        self._address = member.link_address
        self._handler = handler
        self._link_lost = link_lost
        self._undelivered = undelivered
        self._rng = rng or random.Random(member.id)
        self._queue_messages = queue_messages
        self._queue_bytes = queue_bytes
        self._open_stream = open_stream or open_tcp
        self._times = times or LinkTimings()
        self._authenticator = Authenticator(
            Hello(protocol, cluster, member.id, member.incarnation, b''),
            secret,
            timeout_s=self._times.handshake_s,
        )
        self._peers: dict[str, Peer] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    @property
    def refusals(self) -> Mapping[ErrorCode, int]:
        """Return the number of refused peers and frames by error code."""
        return self._authenticator.refusals

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run all links until cancelled.

        Args:
            task_status: Receives the bound address.
        """
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                if self._address:
                    await self._listen(task_status)
                task_status.started('')
                await anyio.sleep_forever()
        finally:
            self._tasks = None

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Replace the addresses to dial, by node id.

        Open links stay open. A node without an address is not dialled.
        """
        for node_id in tuple(self._peers):
            peer = self._peers[node_id]
            if node_id not in addresses:
                peer.address = ''
            if not (peer.address or peer.links or peer.dialling):
                del self._peers[node_id]
        for node_id, address in addresses.items():
            if node_id != self._node_id:
                self._get_or_add_peer(node_id).set_address(address)

    def require_incarnation(self, node_id: str, incarnation: int) -> None:
        """Refuse older incarnations of a node and end their links."""
        if not self._authenticator.record_incarnation(node_id, incarnation):
            return
        peer = self._peers.get(node_id)
        links = tuple(peer.links) if peer else ()
        for link in links:
            if link.peer_hello.incarnation < incarnation:
                link.end(
                    refusal_error(
                        node_id, 'a newer incarnation of the node was seen'
                    )
                )

    def connected(self) -> tuple[str, ...]:
        """Return the ids of the nodes with an open link."""
        return tuple(
            node_id for node_id, peer in self._peers.items() if peer.links
        )

    async def send(self, node_id: str, message: Message) -> None:
        """Queue a message without waiting for the peer.

        A control message that cannot be queued is dropped, because control
        messages are repeated, or their loss is repaired later.

        Raises:
            IbismountError: ``link_lost`` when a batch cannot be queued; it
                was not sent. ``frame_too_large`` or ``frame_invalid`` when
                the message cannot be encoded.
        """
        if self._tasks is None:
            return self._drop_or_raise(
                node_id, message, 'the link manager is not running'
            )
        if node_id == self._node_id:
            self._tasks.start_soon(self._deliver, node_id, message)
            return None
        peer = self._peers.get(node_id)
        if peer is None or not (peer.address or peer.links):
            return self._drop_or_raise(
                node_id, message, 'the address of the node is unknown'
            )
        if not peer.links and anyio.current_time() < peer.retry_at:
            return self._drop_or_raise(
                node_id, message, 'the reconnect back-off has not expired'
            )
        body = encode_body(message)
        if (
            len(peer.queue) >= self._queue_messages
            or peer.queued_bytes + len(body) > self._queue_bytes
        ):
            return self._drop_or_raise(
                node_id, message, 'the queue of the node is full'
            )
        peer.enqueue(message, body)
        self._schedule_dial(peer)
        return None

    async def flush(self) -> None:
        """Wait until all queued messages have been written to links.

        On shutdown, call this with a timeout before cancelling `serve`.
        Otherwise the last replies of running batches are lost.
        """
        while any(peer.busy for peer in self._peers.values()):
            await anyio.sleep(_FLUSH_POLL_S)

    async def accept(self, stream: anyio.abc.ByteStream) -> None:
        """Run an incoming connection until it ends."""
        await self._run_stream(stream, '')

    async def _listen(self, task_status: anyio.abc.TaskStatus[str]) -> None:
        host, port = split_address(self._address)
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port
        )
        bound = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener:
            task_status.started(f'{host}:{bound}')
            await listener.serve(self.accept, self._tasks)

    def _get_or_add_peer(self, node_id: str) -> Peer:
        if node_id not in self._peers:
            self._peers[node_id] = Peer(node_id)
        return self._peers[node_id]

    def _drop_or_raise(
        self, node_id: str, message: Message, reason: str
    ) -> None:
        if isinstance(message, BATCH_TYPES):
            raise IbismountError(
                ErrorCode.LINK_LOST,
                f'the batch was not sent to {node_id}: {reason}',
                place=node_id,
            )
        log.debug(
            'dropped message %s to node %s: %s',
            type(message).__name__,
            node_id,
            reason,
        )

    def _schedule_dial(self, peer: Peer) -> None:
        if peer.links or peer.dialling or self._tasks is None:
            return
        peer.dialling = True
        self._tasks.start_soon(self._maintain_link, peer)

    async def _maintain_link(self, peer: Peer) -> None:
        """Dial, and redial when a link ends.

        Stop when a link closes as idle or dialling has failed too often.
        """
        try:
            while peer.address and not peer.links:
                await anyio.sleep_until(peer.retry_at)
                if peer.links or not peer.address:
                    break
                closed_as_idle = await self._dial(peer)
                idle = closed_as_idle and not peer.queue
                if idle or peer.failures >= _MAX_DIAL_FAILURES:
                    break
        finally:
            peer.dialling = False

    async def _dial(self, peer: Peer) -> bool:
        """Dial and run one link; return whether it was closed as idle."""
        try:
            with anyio.fail_after(self._times.handshake_s):
                stream = await self._open_stream(peer.address)
        except (OSError, anyio.BrokenResourceError) as exc:
            log.info('cannot connect to node %s: %r', peer.node_id, exc)
            self._handle_dial_failure(peer)
            return False
        return await self._run_stream(stream, peer.node_id)

    def _handle_dial_failure(self, peer: Peer) -> None:
        """Schedule the next attempt and report the unsent messages."""
        peer.back_off(anyio.current_time(), self._rng)
        if not peer.links:
            self._report_loss(peer.node_id, peer.drain_queue())

    async def _run_stream(
        self, stream: anyio.abc.ByteStream, expected_node_id: str
    ) -> bool:
        """Run a connection; return whether it was closed as idle."""
        link = await self._authenticator.authenticate(stream, expected_node_id)
        if link is None:
            if expected_node_id:
                self._handle_dial_failure(
                    self._get_or_add_peer(expected_node_id)
                )
            return False
        peer = self._get_or_add_peer(link.peer_hello.node_id)
        self._activate_link(peer, link)
        try:
            await self._run_link(peer, link)
        finally:
            peer.links.remove(link)
            await link.aclose()
        self._handle_link_end(peer, link)
        return link.closed_as_idle

    def _activate_link(self, peer: Peer, link: Link) -> None:
        """Make this the link to write on and end the links it replaces.

        A peer dials only when it has no link, so it has already lost any
        older one. A link opened within the duration of a handshake may come
        from both sides dialling at once; both links then stay open.
        """
        self.require_incarnation(peer.node_id, link.peer_hello.incarnation)
        replaced_error = refusal_error(
            peer.node_id, 'the link was replaced by a newer one'
        )
        for older_link in peer.links:
            if link.opened_at - older_link.opened_at >= self._times.handshake_s:
                older_link.end(replaced_error)
        peer.links.append(link)
        peer.reset_backoff()

    async def _run_link(self, peer: Peer, link: Link) -> None:
        with link.cancel_scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(link.monitor, self._times)
                tasks.start_soon(
                    self._run_until_error, link, self._write, peer, link
                )
                await self._run_until_error(link, self._read, peer, link)

    async def _run_until_error(
        self, link: Link, loop: Callable[..., Awaitable[None]], *args: Any
    ) -> None:
        """Run a read or write loop; record its error as the end reason."""
        try:
            await loop(*args)
        except IbismountError as exc:
            self._authenticator.count_refusal(exc)
            link.end(exc)
        except (
            OSError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as exc:
            link.end(IbismountError(ErrorCode.LINK_LOST, repr(exc)))

    async def _write(self, peer: Peer, link: Link) -> None:
        await link.write_messages(lambda: peer.next_message(link))

    async def _read(self, peer: Peer, link: Link) -> None:
        while True:
            body = await link.receive()
            try:
                message = decode_body(body)
            except IbismountError as exc:
                # A newer node may send a message type that this version does
                # not support. The frame is authentic, so the link stays.
                self._authenticator.count_refusal(exc)
                log.warning(
                    'skipped an undecodable message from node %s: %s',
                    peer.node_id,
                    exc,
                )
                continue
            link.record_message(message)
            await self._deliver(peer.node_id, message)

    async def _deliver(self, sender: str, message: Message) -> None:
        try:
            pending = self._handler(sender, message)
            if pending is not None:
                await pending
        except Exception:
            log.exception(
                'the message handler failed for %s from node %s',
                type(message).__name__,
                sender,
            )

    def _handle_link_end(self, peer: Peer, link: Link) -> None:
        """Report a lost link and dial again when necessary."""
        idle_s = link.idle_for_s(anyio.current_time())
        # The dialling side measures idleness by its own clock and may close
        # the link up to a heartbeat earlier.
        idle = (
            idle_s >= link.idle_limit_s(self._times) - self._times.heartbeat_s
        )
        if peer.links:
            # The queued messages are written on the newest remaining link.
            peer.links[-1].wake_writer()
        elif not idle:
            # Starts the back-off; `_activate_link` resets it.
            peer.back_off(anyio.current_time(), self._rng)
        if idle and not peer.queue:
            return
        log.info('link to node %s ended: %s', peer.node_id, link.end_reason)
        self._report_loss(
            peer.node_id, [] if peer.links else peer.drain_queue()
        )
        if link.dialled and peer.address:
            self._schedule_dial(peer)

    def _report_loss(self, node_id: str, unsent: list[Message]) -> None:
        if unsent and self._undelivered is not None:
            self._undelivered(node_id, unsent)
        if self._link_lost is not None:
            self._link_lost(node_id)
