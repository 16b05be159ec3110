"""Wires the parts of one node together; the daemon and the tests use it."""

import random
import time
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from ibismount import _background
from ibismount.backend import BackendClient
from ibismount.booking import BookingDesk
from ibismount.changelog import ChangeLog
from ibismount.entry import Entry, EntryOptions
from ibismount.gateway import Gateway
from ibismount.logs import part_logger
from ibismount.messages import Envelope, Join
from ibismount.node import GatewayView, Node, boot_time
from ibismount.object_store import Platform, PlatformError
from ibismount.ports import LinkPorts
from ibismount.roster import Member
from ibismount.template import MAX_DEADLINE_S

__all__ = ('Parts', 'make_parts')

log = part_logger('control')
LEAVE_WAIT_S = 5.0
LEAVE_REPEAT_S = 0.5
TRIM_PERIOD_S = 0.5
CLEAN_PERIOD_S = 1.0


class _Spawner:
    """Start tasks that outlive a request, such as recording an outcome."""

    def __init__(self) -> None:
        self.tasks: TaskGroup | None = None

    def __call__(self, task: Callable[[], Awaitable[object]]) -> None:
        self.tasks.start_soon(task)


class Parts:
    """The parts of one node, without sockets of its own.

    ``node.peers`` has to be set before `start`.
    """

    def __init__(
        self,
        node: Node,
        gateway: Gateway,
        ports: LinkPorts,
        entry: Entry,
        desk: BookingDesk,
        spawner: '_Spawner',
    ) -> None:
        """Store the parts."""
        self._desk = desk
        self._spawner = spawner
        self.node = node
        self.gateway = gateway
        self.ports = ports
        self.entry = entry

    async def start(self, tasks: TaskGroup) -> None:
        """Start every background task of the node."""
        await tasks.start(self.ports.serve)
        self._spawner.tasks = tasks
        for task in _background.TASKS:
            tasks.start_soon(task, self.node)
        tasks.start_soon(self._trim_connections)
        tasks.start_soon(self._clean_claims)

    async def _trim_connections(self) -> None:
        """Close idle connections beyond a share that has shrunk."""
        capacity = self.node.capacity
        while True:
            for server_id in capacity.surplus():
                server = self.node.servers.get(server_id)
                if server is not None:
                    await self.gateway.client.discard(server)
                capacity.discarded(self.node.now(), server_id)
            await anyio.sleep(TRIM_PERIOD_S)

    async def _clean_claims(self) -> None:
        """Delete claims of expired request ids while this node coordinates."""
        while True:
            await anyio.sleep(CLEAN_PERIOD_S)
            if not self.node.confirmer.is_coordinator(self.node.live()):
                continue
            try:
                await self._desk.clean_some()
            except PlatformError as exc:
                log.debug('claims not cleaned up: %s', exc)

    async def leave(self) -> None:
        """Refuse new work, finish what is in flight, leave the roster.

        The wait is bounded by the longest deadline.
        """
        node = self.node
        log.info('shutting down; finishing requests in flight')
        node.shutting_down = True
        await node.send(node.membership.leave(node.now()))
        with anyio.move_on_after(MAX_DEADLINE_S):
            await self.entry.wait_idle()
            await self.ports.wait_idle()
        with anyio.move_on_after(LEAVE_WAIT_S):
            await self._leave_roster()

    async def _leave_roster(self) -> None:
        node = self.node
        member = node.member
        notice = Join(member, leaving=True)
        while node.state.roster.has_incarnation(member.id, member.incarnation):
            others = node.live() - {node.node_id}
            if not others:
                return
            await node.send([Envelope(one, notice) for one in others])
            await anyio.sleep(LEAVE_REPEAT_S)


def make_parts(
    member: Member,
    *,
    platform: Platform,
    client: BackendClient,
    rng: random.Random,
    clock: Callable[[], float] = boot_time,
    unix: Callable[[], float] = time.time,
    in_flight: int = 256,
) -> Parts:
    """Build the parts of a node.

    Args:
        member: The node, with the incarnation of this start.
        platform: The platform's object API.
        client: Calls backend servers.
        rng: Source of randomness.
        clock: Monotonic seconds, counting suspended time.
        unix: Unix seconds.
        in_flight: Requests that the entry runs at once.

    Returns:
        The parts; nothing runs yet.
    """
    node = Node(
        member,
        changelog=ChangeLog(platform, now_unix=unix),
        rng=rng,
        clock=clock,
        unix=unix,
    )
    gateway = Gateway(
        GatewayView(node),
        node.capacity,
        client,
        node.quarantine,
        node.record_act,
    )
    ports = LinkPorts(node, gateway)
    spawner = _Spawner()
    desk = BookingDesk(platform, now_unix=unix, rng=rng)
    entry = Entry(
        node,
        ports,
        desk=desk,
        quarantine=node.quarantine,
        journal=node.record_act,
        rng=rng,
        spawn=spawner,
        options=EntryOptions(in_flight=in_flight),
    )
    return Parts(node, gateway, ports, entry, desk, spawner)
