"""Build and run the components of one node, for the daemon and the tests."""

import random
import time
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from ibismount import _background_tasks
from ibismount.backend import BackendClient
from ibismount.booking import ClaimStore
from ibismount.changelog import ChangeLog
from ibismount.entry import Entry, EntryOptions
from ibismount.gateway import Gateway
from ibismount.logs import part_logger
from ibismount.messages import Envelope, Join
from ibismount.node import GatewayView, Node, boot_time
from ibismount.object_store import Platform, PlatformError
from ibismount.batch_transport import BatchTransport
from ibismount.roster import Member
from ibismount.template import MAX_DEADLINE_S

__all__ = ('NodeComponents', 'make_node_components')

log = part_logger('control')
LEAVE_TIMEOUT_S = 5.0
LEAVE_RETRY_S = 0.5
TRIM_PERIOD_S = 0.5
CLAIM_CLEANUP_PERIOD_S = 1.0


class _TaskSpawner:
    """Start tasks that outlive a request, such as storing its outcome."""

    def __init__(self) -> None:
        self.tasks: TaskGroup | None = None

    def __call__(self, task: Callable[[], Awaitable[object]]) -> None:
        self.tasks.start_soon(task)


class NodeComponents:
    """The components of one node, without its sockets.

    ``node.link_manager`` must be set before `start`.
    """

    def __init__(
        self,
        node: Node,
        gateway: Gateway,
        batch_transport: BatchTransport,
        entry: Entry,
        claims: ClaimStore,
        spawner: '_TaskSpawner',
    ) -> None:
        """Store the components."""
        self._claims = claims
        self._spawner = spawner
        self.node = node
        self.gateway = gateway
        self.batch_transport = batch_transport
        self.entry = entry

    async def start(self, tasks: TaskGroup) -> None:
        """Start every background task of the node."""
        await tasks.start(self.batch_transport.serve)
        self._spawner.tasks = tasks
        for task in _background_tasks.TASKS:
            tasks.start_soon(task, self.node)
        tasks.start_soon(self._trim_connections)
        tasks.start_soon(self._delete_expired_claims)

    async def _trim_connections(self) -> None:
        """Close idle connections in excess of a reduced share."""
        capacity = self.node.capacity
        while True:
            for server_id in capacity.servers_with_surplus():
                server = self.node.servers.get(server_id)
                if server is not None:
                    await self.gateway.client.close_idle(server)
                capacity.record_idle_closed(self.node.now(), server_id)
            await anyio.sleep(TRIM_PERIOD_S)

    async def _delete_expired_claims(self) -> None:
        """Delete claims of expired request ids while this node is coordinator."""
        while True:
            await anyio.sleep(CLAIM_CLEANUP_PERIOD_S)
            if not self.node.confirmer.is_coordinator(self.node.live_ids()):
                continue
            try:
                await self._claims.delete_expired()
            except PlatformError as exc:
                log.debug('expired claims were not deleted: %s', exc)

    async def leave(self) -> None:
        """Refuse new work, finish requests in flight and leave the roster.

        The wait for requests is bounded by the longest possible deadline.
        """
        node = self.node
        log.info('shutting down; finishing requests in flight')
        node.shutting_down = True
        await node.send(node.membership.leave(node.now()))
        with anyio.move_on_after(MAX_DEADLINE_S):
            await self.entry.wait_idle()
            await self.batch_transport.wait_idle()
        with anyio.move_on_after(LEAVE_TIMEOUT_S):
            await self._leave_roster()

    async def _leave_roster(self) -> None:
        node = self.node
        member = node.member
        notice = Join(member, leaving=True)
        while node.state.roster.has_incarnation(member.id, member.incarnation):
            peer_ids = node.live_ids() - {node.node_id}
            if not peer_ids:
                return
            await node.send([Envelope(peer_id, notice) for peer_id in peer_ids])
            await anyio.sleep(LEAVE_RETRY_S)


def make_node_components(
    member: Member,
    *,
    platform: Platform,
    client: BackendClient,
    rng: random.Random,
    clock: Callable[[], float] = boot_time,
    now_unix: Callable[[], float] = time.time,
    in_flight: int = 256,
) -> NodeComponents:
    """Build the components of a node.

    Args:
        member: The node with its current incarnation.
        platform: The platform's object API.
        client: Calls backend servers.
        rng: Source of randomness.
        clock: Returns monotonic seconds, including time in suspension.
        now_unix: Returns Unix seconds.
        in_flight: Requests that the entry runs concurrently.

    Returns:
        The components; no task is started yet.
    """
    node = Node(
        member,
        changelog=ChangeLog(platform, now_unix=now_unix),
        rng=rng,
        clock=clock,
        now_unix=now_unix,
    )
    gateway = Gateway(
        GatewayView(node),
        node.capacity,
        client,
        node.quarantine,
        node.record_event,
    )
    batch_transport = BatchTransport(node, gateway)
    spawner = _TaskSpawner()
    claims = ClaimStore(platform, now_unix=now_unix, rng=rng)
    entry = Entry(
        node,
        batch_transport,
        claims=claims,
        quarantine=node.quarantine,
        journal=node.record_event,
        rng=rng,
        spawn=spawner,
        options=EntryOptions(in_flight=in_flight),
    )
    return NodeComponents(
        node, gateway, batch_transport, entry, claims, spawner
    )
