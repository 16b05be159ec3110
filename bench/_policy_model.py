"""Model of a deployment's nodes and backend servers in simulated time."""

import collections
import dataclasses
import json
import random
from collections.abc import AsyncIterator

import anyio

from ibismount.assignment import Assignment, assign
from ibismount.backend import (
    BackendCall,
    BackendClient,
    BackendError,
    BackendReply,
)
from ibismount.capacity import CapacityTable
from ibismount.catalog import BackendServer, Catalog, Snapshot
from ibismount.cause import Cause, system_cause
from ibismount.config import ConfigState
from ibismount.entry import Entry, EntryOptions, GatewayPort
from ibismount.errors import ErrorCode, IbismountError
from ibismount.gateway import Gateway
from ibismount.messages import BatchReply, BatchRequest, Cancel, ShareRelease
from ibismount.node_view import NodeView
from ibismount.quarantine import Quarantine
from ibismount.roster import Member, Roster
from ibismount.template import Parameters, Template

COLLECTION = 'all'
ZONES = ('z1', 'z2', 'z3')
SAME_ZONE_DELAY_S = 0.0001
CROSS_ZONE_DELAY_S = 0.0005
STRAGGLER_SLOWDOWN = 20


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Size of a deployment; the figures come from docs/design.md section 2.2.

    Each of ``shard_groups`` is (shards, replicas, slots, connections, seconds
    to open a connection).
    """

    name: str
    nodes: int
    shard_groups: tuple[tuple[int, int, int, int, float], ...]
    mean_service_s: float = 0.02


DEPLOYMENTS = (
    Deployment(
        'wrekin',
        12,
        (
            (25, 3, 4, 80, 0.006),
            (1, 10, 4, 200, 0.001),
            (1, 5, 4, 200, 0.001),
        ),
    ),
    Deployment(
        'diszhuzat',
        15,
        (
            (25, 3, 4, 70, 0.006),
            (1, 7, 6, 100, 0.001),
            (1, 3, 6, 100, 0.001),
        ),
    ),
)


def make_catalog(deployment: Deployment) -> tuple[Catalog, dict[str, float]]:
    """Return the catalog and the connect time in seconds by server."""
    servers, connect_s, shards = {}, {}, []
    for count, replicas, slots, connections, cost in deployment.shard_groups:
        for _ in range(count):
            shard = f's{len(shards)}'
            shards.append(shard)
            for number in range(replicas):
                zone = ZONES[(number + len(shards)) % len(ZONES)]
                server = BackendServer(
                    f'{shard}-{number}',
                    '127.0.0.1:1',
                    zone,
                    shard,
                    slots=slots,
                    connections=connections,
                    snapshots=('v1',),
                )
                servers[server.id] = server
                connect_s[server.id] = cost
    snapshot = Snapshot('v1', tuple(shards))
    return Catalog(COLLECTION, (snapshot,), servers), connect_s


class BackendFleet:
    """Backend servers with slots, cold starts, stragglers and outages."""

    def __init__(
        self, deployment: Deployment, seed: int, *, stragglers: float
    ) -> None:
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.stragglers = stragglers
        self.catalog, self.connect_s = make_catalog(deployment)
        self.stopped_servers: set[str] = set()
        self.generation = collections.Counter()
        self.answers_since_start: dict[
            str, int
        ] = {}  # since the last cold start
        self.running = collections.Counter()
        self.most_over_slots = 0
        self.cold_crashes = 0
        self.started_requests = 0
        self.slots = {
            server.id: anyio.Semaphore(server.slots)
            for server in self.catalog.servers.values()
        }
        self.reset_events: dict[str, anyio.Event] = {
            server_id: anyio.Event() for server_id in self.catalog.servers
        }

    def stop(self, server_id: str) -> None:
        """Reset all connections; the server comes back cold."""
        self.stopped_servers.add(server_id)
        self.reset(server_id)

    def reset(self, server_id: str) -> None:
        self.generation[server_id] += 1
        self.answers_since_start[server_id] = 0
        self.reset_events[server_id].set()
        self.reset_events[server_id] = anyio.Event()

    def draw_service_s(self, server_id: str) -> float:
        mean_s = self.deployment.mean_service_s
        time_s = mean_s / 2 + self.rng.expovariate(2 / mean_s)
        if self.rng.random() < self.stragglers:
            time_s = mean_s * STRAGGLER_SLOWDOWN
        if self._is_cold(server_id):
            time_s *= 3
        return time_s

    def _is_cold(self, server_id: str) -> bool:
        return self.answers_since_start.get(server_id, 99) < 16

    async def serve(self, server: BackendServer) -> str:
        """Run one request; crash if a cold server is over its limit."""
        self.started_requests += 1
        self.running[server.id] += 1
        try:
            over_slots = self.running[server.id] - server.slots
            self.most_over_slots = max(self.most_over_slots, over_slots)
            if self._is_cold(server.id) and self.running[server.id] > max(
                1, self.answers_since_start[server.id] // 4
            ):
                self.cold_crashes += 1
                self.reset(server.id)
                raise BackendError(
                    ErrorCode.BACKEND_LOST,
                    'cold server crashed under load',
                    lost=True,
                )
            await self._occupy_slot(server)
        finally:
            self.running[server.id] -= 1
        if server.id in self.answers_since_start:
            self.answers_since_start[server.id] += 1
        return f'g{self.generation[server.id]}'

    async def _occupy_slot(self, server: BackendServer) -> None:
        reset_event = self.reset_events[server.id]
        async with self.slots[server.id]:
            with anyio.move_on_after(self.draw_service_s(server.id)):
                await reset_event.wait()
                raise BackendError(ErrorCode.BACKEND_LOST, 'reset', lost=True)


class ModelBackendClient(BackendClient):
    """One node's backend connections; idle ones are reused."""

    def __init__(self, fleet: BackendFleet) -> None:
        self.fleet = fleet
        self.idle_connections = collections.Counter()

    async def call(
        self, server: BackendServer, call: BackendCall, *, connections: int
    ) -> BackendReply:
        try:
            with anyio.fail_after(call.deadline_s):
                return await self._call(server, call)
        except TimeoutError as exc:
            raise BackendError(ErrorCode.DEADLINE_EXCEEDED, 'late') from exc

    async def _call(
        self, server: BackendServer, call: BackendCall
    ) -> BackendReply:
        if server.id in self.fleet.stopped_servers:
            self.idle_connections.pop(server.id, None)
            raise BackendError(
                ErrorCode.BACKEND_LOST, 'no connection', not_run=True
            )
        if self.idle_connections[server.id]:
            self.idle_connections[server.id] -= 1
        else:
            await anyio.sleep(self.fleet.connect_s[server.id])
        generation = await self.fleet.serve(server)
        self.idle_connections[server.id] += 1
        hit = {'id': call.shard, 'score': 1}
        body = json.dumps({'results': [hit]}).encode()
        return BackendReply(generation, call.snapshot, body)

    async def probe(self, server: BackendServer, *, timeout_s: float) -> bool:
        await anyio.sleep(self.fleet.connect_s[server.id])
        return server.id not in self.fleet.stopped_servers

    async def close_idle(self, server: BackendServer) -> None:
        self.idle_connections.pop(server.id, None)


class ModelNodeView(NodeView):
    """One node's view of the cluster; all nodes share one state."""

    def __init__(
        self, cluster: 'ModelCluster', node_id: str, zone: str
    ) -> None:
        self.cluster = cluster
        self.node_id = node_id
        self.availability_zone = zone

    @property
    def state(self) -> ConfigState:
        return self.cluster.state

    @property
    def assignment(self) -> Assignment:
        return self.cluster.assignment

    def now(self) -> float:
        return anyio.current_time()

    def refusal(self) -> Cause | None:
        if self.node_id in self.cluster.crashed_nodes:
            return system_cause(ErrorCode.SHUTTING_DOWN)
        return None

    def is_live(self, node_id: str) -> bool:
        return node_id not in self.cluster.declared_dead


class ModelGatewayPort(GatewayPort):
    """One node's links to the gateways of the cluster."""

    def __init__(self, cluster: 'ModelCluster', zone: str) -> None:
        self.cluster = cluster
        self.zone = zone

    async def run(
        self, node_id: str, batch: BatchRequest
    ) -> AsyncIterator[BatchReply]:
        cluster = self.cluster
        if node_id in cluster.crashed_nodes:
            raise IbismountError(ErrorCode.LINK_LOST, node_id)
        is_cross_zone = cluster.zone_of[node_id] != self.zone
        delay_s = CROSS_ZONE_DELAY_S if is_cross_zone else SAME_ZONE_DELAY_S
        await anyio.sleep(delay_s)
        sender, receiver = anyio.create_memory_object_stream(100)
        gateway = cluster.gateways[node_id]

        async def send(message: BatchReply) -> None:
            try:
                await sender.send(message)
            except (
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ) as exc:
                raise IbismountError(ErrorCode.LINK_LOST, 'closed') from exc

        cluster.task_group.start_soon(gateway.run, batch, send)
        with sender, receiver:
            async for message in receiver:
                await anyio.sleep(delay_s)
                if node_id in cluster.crashed_nodes:
                    raise IbismountError(ErrorCode.LINK_LOST, node_id)
                yield message

    def cancel(self, node_id: str, message: Cancel) -> None:
        if node_id not in self.cluster.crashed_nodes:
            self.cluster.gateways[node_id].cancel(message)


class ModelCluster:
    """All nodes and backend servers of a deployment."""

    def __init__(
        self,
        deployment: Deployment,
        *,
        template: dict,
        teams: dict[str, int],
        entry_options: EntryOptions,
        stragglers: float = 0,
        seed: int = 1,
    ) -> None:
        self.deployment = deployment
        self.seed = seed
        self.fleet = BackendFleet(deployment, seed, stragglers=stragglers)
        self.crashed_nodes: set[str] = set()
        self.declared_dead: set[str] = set()
        self.zone_of = {
            f'n{number}': ZONES[number % len(ZONES)]
            for number in range(deployment.nodes)
        }
        self.state = ConfigState(version=1)
        self.state.catalogs[COLLECTION] = self.fleet.catalog
        self.state.templates['t'] = Template(
            name='t', collection=COLLECTION, **template
        )
        for team, weight in teams.items():
            self.state.parameters[team, 't'] = Parameters(
                team=team, template='t', weight=weight
            )
        members = {
            node_id: Member(node_id, 1, zone, 'r1', '', '', 1)
            for node_id, zone in self.zone_of.items()
        }
        self.state.roster = Roster(1, members)
        self.assignment = assign(
            self.state.roster, self.state.catalogs, version=1
        )
        self.entry_options = entry_options
        self.tables: dict[str, CapacityTable] = {}
        self.gateways: dict[str, Gateway] = {}
        self.entries: dict[str, Entry] = {}
        self.task_group: anyio.abc.TaskGroup | None = None

    def start_node(self, node_id: str) -> None:
        """Start a node; its shares come into force after the handover time."""
        view = ModelNodeView(self, node_id, self.zone_of[node_id])
        table = CapacityTable(node_id)
        now = anyio.current_time()
        table.apply_assignment(now, self.assignment, self.fleet.catalog.servers)
        table.record_accepted_version(now, 1)
        self.tables[node_id] = table
        quarantine = Quarantine()
        self.gateways[node_id] = Gateway(
            view,
            table,
            ModelBackendClient(self.fleet),
            quarantine,
            _ignore_event,
        )
        self.entries[node_id] = Entry(
            view,
            ModelGatewayPort(self, view.availability_zone),
            quarantine=quarantine,
            rng=random.Random(f'{self.seed}{node_id}'),
            options=self.entry_options,
        )

    async def run_capacity_ticks(self) -> None:
        """Tick the capacity tables and deliver their messages."""
        while True:
            await anyio.sleep(0.1)
            now = anyio.current_time()
            for sender, table in self.tables.items():
                for envelope in table.tick(now):
                    self._deliver(now, sender, envelope)

    def _deliver(self, now, sender, envelope) -> None:
        if {sender, envelope.to} & self.crashed_nodes:
            return
        table = self.tables[envelope.to]
        if isinstance(envelope.message, ShareRelease):
            table.receive_release(now, sender, envelope.message)
        else:
            table.receive_warm_notice(now, sender, envelope.message)


def _ignore_event(*args, **kwargs) -> None:
    """Drop a journal event."""
