"""Links between nodes: bounded queues, dialling, and refusal of strangers.

`Peers` keeps at most a few authenticated TCP connections to each peer. Both
sides may write on any of them, and the one that was opened last is used.
"""

import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, Final

import anyio
import anyio.abc

from ibismount._authentication import Authenticator, refused
from ibismount._link import BATCHES, Link, LinkTimes
from ibismount._peer import Peer
from ibismount._tcp import StreamOpener, open_tcp, split_address
from ibismount.errors import ErrorCode, IbismountError
from ibismount.frame import decode_body, encode_body
from ibismount.logs import part_logger
from ibismount.messages import Hello, Message
from ibismount.roster import Member

__all__ = ('PROTOCOL', 'LinkTimes', 'Peers')

PROTOCOL: Final = 1
QUEUE_BYTES: Final = 16 * 1024 * 1024
_FLUSH_POLL_S: Final = 0.01
# After this many failures in a row the next message dials again.
_REDIALS: Final = 8

log = part_logger('link')

Handler = Callable[[str, Message], Any]
Undelivered = Callable[[str, Sequence[Message]], None]


class Peers:
    """Send messages to nodes and hand on those that come in.

    Args:
        member: This node. Its incarnation increases with each start, since
            peers refuse an older one; it listens on its link address, or
            only dials when that is empty.
        cluster: Name that both sides must share.
        secret: Shared secret of the cluster.
        handler: Called with the sender's node id and each message. It may
            return an awaitable, which is awaited before the next message of
            that link is read and has to end well within the time after
            which a link without progress is dead.
        link_lost: Called with the node id each time a link ends other than
            by being idle, or could not be opened.
        undelivered: Called before ``link_lost`` with the node id and the
            messages that were queued for it; no byte of them left.
        rng: Spreads reconnects.
        queue_messages: Bound of each peer's queue.
        queue_bytes: Bound of each peer's queue in bytes.
        open_stream: Opens a byte stream to an address; TCP by default.
        times: Intervals of the links.
        protocol: Protocol version; another one is refused.
    """

    def __init__(
        self,
        member: Member,
        *,
        cluster: str,
        secret: bytes,
        handler: Handler,
        link_lost: Callable[[str], None] | None = None,
        undelivered: Undelivered | None = None,
        rng: random.Random | None = None,
        queue_messages: int = 1024,
        queue_bytes: int = QUEUE_BYTES,
        open_stream: StreamOpener | None = None,
        times: LinkTimes | None = None,
        protocol: int = PROTOCOL,
    ) -> None:
        """Keep the settings; `serve` starts the work."""
        self._node_id = member.id
        self._address = member.link_address
        self._handler = handler
        self._link_lost = link_lost
        self._undelivered = undelivered
        self._rng = rng or random.Random(member.id)
        self._queue_messages = queue_messages
        self._queue_bytes = queue_bytes
        self._open_stream = open_stream or open_tcp
        self._times = times or LinkTimes()
        self._authenticator = Authenticator(
            Hello(protocol, cluster, member.id, member.incarnation, b''),
            secret,
            timeout_s=self._times.handshake_s,
        )
        self._peers: dict[str, Peer] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    @property
    def refusals(self) -> Mapping[ErrorCode, int]:
        """Return how often peers and frames were refused, by code."""
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

        Open links stay; a node that is no longer named is not dialled.
        """
        for node_id in tuple(self._peers):
            peer = self._peers[node_id]
            if node_id not in addresses:
                peer.address = ''
            if not (peer.address or peer.links or peer.dialling):
                del self._peers[node_id]
        for node_id, address in addresses.items():
            if node_id != self._node_id:
                self._peer(node_id).move_to(address)

    def require_incarnation(self, node_id: str, incarnation: int) -> None:
        """Refuse incarnations of a node that are older than this one."""
        if not self._authenticator.raise_incarnation(node_id, incarnation):
            return
        peer = self._peers.get(node_id)
        links = tuple(peer.links) if peer else ()
        for link in links:
            if link.peer.incarnation < incarnation:
                link.end(refused(node_id, 'a newer incarnation was seen'))

    def connected(self) -> tuple[str, ...]:
        """Return the node ids to which a link is open."""
        return tuple(
            node_id for node_id, peer in self._peers.items() if peer.links
        )

    async def send(self, node_id: str, message: Message) -> None:
        """Queue a message; return without waiting for the peer.

        A message that cannot be queued is dropped when it is a control
        message, since those are repeated or repaired.

        Raises:
            IbismountError: ``link_lost`` when a batch cannot be queued; it
                was not sent. ``frame_too_large`` or ``frame_invalid``.
        """
        if self._tasks is None:
            return self._drop(node_id, message, 'links are not served')
        if node_id == self._node_id:
            self._tasks.start_soon(self._deliver, node_id, message)
            return None
        peer = self._peers.get(node_id)
        if peer is None or not (peer.address or peer.links):
            return self._drop(node_id, message, 'its address is not known')
        if not peer.links and anyio.current_time() < peer.retry_at:
            return self._drop(node_id, message, 'it waits to reconnect')
        body = encode_body(message)
        if (
            len(peer.queue) >= self._queue_messages
            or peer.queued_bytes + len(body) > self._queue_bytes
        ):
            return self._drop(node_id, message, 'its queue is full')
        peer.put(message, body)
        self._dial_soon(peer)
        return None

    async def flush(self) -> None:
        """Wait until all queued messages were handed to open links.

        A node that shuts down calls this before it cancels `serve`, within
        a timeout; else the last replies of its batches are lost.
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

    def _peer(self, node_id: str) -> Peer:
        if node_id not in self._peers:
            self._peers[node_id] = Peer(node_id)
        return self._peers[node_id]

    def _drop(self, node_id: str, message: Message, reason: str) -> None:
        if isinstance(message, BATCHES):
            raise IbismountError(
                ErrorCode.LINK_LOST,
                f'the batch was not sent to {node_id}: {reason}',
                place=node_id,
            )
        log.debug(
            'dropped %s to %s: %s',
            type(message).__name__,
            node_id,
            reason,
        )

    def _dial_soon(self, peer: Peer) -> None:
        if peer.links or peer.dialling or self._tasks is None:
            return
        peer.dialling = True
        self._tasks.start_soon(self._keep_dialling, peer)

    async def _keep_dialling(self, peer: Peer) -> None:
        """Dial until a link is open, or until too many tries have failed."""
        try:
            while peer.address and not peer.links:
                await anyio.sleep_until(peer.retry_at)
                if peer.links or not peer.address:
                    break
                ended = await self._dial(peer)
                idle = ended and not peer.queue
                if idle or peer.failures >= _REDIALS:
                    break
        finally:
            peer.dialling = False

    async def _dial(self, peer: Peer) -> bool:
        """Run one outgoing link; return True when it closed as idle."""
        try:
            with anyio.fail_after(self._times.handshake_s):
                stream = await self._open_stream(peer.address)
        except (OSError, anyio.BrokenResourceError) as exc:
            log.info('no connection to %s: %r', peer.node_id, exc)
            self._failed(peer)
            return False
        return await self._run_stream(stream, peer.node_id)

    def _failed(self, peer: Peer) -> None:
        """Set the time of the next try and report what was not sent."""
        peer.back_off(anyio.current_time(), self._rng)
        if not peer.links:
            self._report(peer.node_id, peer.drain())

    async def _run_stream(
        self, stream: anyio.abc.ByteStream, expected: str
    ) -> bool:
        """Run a connection; return True when it closed as idle."""
        link = await self._authenticator.run(stream, expected)
        if link is None:
            if expected:
                self._failed(self._peer(expected))
            return False
        peer = self._peer(link.peer.node_id)
        self._attach(peer, link)
        try:
            await self._run_link(peer, link)
        finally:
            peer.links.remove(link)
            await link.aclose()
        self._detached(peer, link)
        return link.idle_closed

    def _attach(self, peer: Peer, link: Link) -> None:
        """Make the link the one to write on.

        A peer dials only without a link of its own, so an older link is
        dead to it. One that is younger than a handshake may have crossed
        this one, and both stay.
        """
        self.require_incarnation(peer.node_id, link.peer.incarnation)
        replaced = refused(peer.node_id, 'a newer link replaced it')
        for older in peer.links:
            if link.opened_at - older.opened_at >= self._times.handshake_s:
                older.end(replaced)
        peer.links.append(link)
        peer.reset_back_off()

    async def _run_link(self, peer: Peer, link: Link) -> None:
        with link.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(link.watch, self._times)
                tasks.start_soon(self._guard, link, self._write, peer, link)
                await self._guard(link, self._read, peer, link)

    async def _guard(
        self, link: Link, body: Callable[..., Awaitable[None]], *args: Any
    ) -> None:
        """Turn what ends a loop into the reason why the link ended."""
        try:
            await body(*args)
        except IbismountError as exc:
            self._authenticator.count(exc)
            link.end(exc)
        except (
            OSError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as exc:
            link.end(IbismountError(ErrorCode.LINK_LOST, repr(exc)))

    async def _write(self, peer: Peer, link: Link) -> None:
        await link.write_from(lambda: peer.take(link))

    async def _read(self, peer: Peer, link: Link) -> None:
        while True:
            body = await link.receive()
            try:
                message = decode_body(body)
            except IbismountError as exc:
                # An authentic message of a newer version ends nothing.
                self._authenticator.count(exc)
                log.warning('skipped from %s: %s', peer.node_id, exc)
                continue
            link.note(message)
            await self._deliver(peer.node_id, message)

    async def _deliver(self, sender: str, message: Message) -> None:
        try:
            pending = self._handler(sender, message)
            if pending is not None:
                await pending
        except Exception:
            log.exception(
                'the handler failed for %s from %s',
                type(message).__name__,
                sender,
            )

    def _detached(self, peer: Peer, link: Link) -> None:
        """Report the end of a link and see to a new one."""
        quiet = link.quiet_for(anyio.current_time())
        # The dialling side may close first, by its own clock.
        idle = quiet >= link.idle_limit(self._times) - self._times.heartbeat_s
        if peer.links:
            # What is queued waits for the writer of another link.
            peer.links[-1].wake()
        elif not idle:
            # The first step of the back-off; `_attach` takes it back.
            peer.back_off(anyio.current_time(), self._rng)
        if idle and not peer.queue:
            return
        log.info('lost %s: %s', peer.node_id, link.reason)
        self._report(peer.node_id, [] if peer.links else peer.drain())
        if link.dialled and peer.address:
            self._dial_soon(peer)

    def _report(self, node_id: str, unsent: list[Message]) -> None:
        if unsent and self._undelivered is not None:
            self._undelivered(node_id, unsent)
        if self._link_lost is not None:
            self._link_lost(node_id)
