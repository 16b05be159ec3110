"""A firm's nodes and backend servers in one process, on virtual time."""

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
LOCAL_S = 0.0001
BETWEEN_ZONES_S = 0.0005
STRAGGLER_SLOWER = 20


@dataclasses.dataclass(frozen=True)
class Firm:
    """Figures of design section 2.2; groups of (shards, replicas, slots,
    connections, cost of a new connection)."""

    name: str
    nodes: int
    groups: tuple[tuple[int, int, int, int, float], ...]
    mean_service_s: float = 0.02


FIRMS = (
    Firm(
        'wrekin',
        12,
        (
            (25, 3, 4, 80, 0.006),
            (1, 10, 4, 200, 0.001),
            (1, 5, 4, 200, 0.001),
        ),
    ),
    Firm(
        'diszhuzat',
        15,
        (
            (25, 3, 4, 70, 0.006),
            (1, 7, 6, 100, 0.001),
            (1, 3, 6, 100, 0.001),
        ),
    ),
)


def make_catalog(firm: Firm) -> tuple[Catalog, dict[str, float]]:
    """Return the catalog and the cost of a connection by server."""
    servers, connect_s, shards = {}, {}, []
    for count, replicas, slots, connections, cost in firm.groups:
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


class Fleet:
    """All backend servers: slots, warmth, stragglers, outages."""

    def __init__(self, firm: Firm, seed: int, *, stragglers: float) -> None:
        self.firm = firm
        self.rng = random.Random(seed)
        self.stragglers = stragglers
        self.catalog, self.connect_s = make_catalog(firm)
        self.down: set[str] = set()
        self.generation = collections.Counter()
        self.answers: dict[str, int] = {}  # since a cold start
        self.running = collections.Counter()
        self.most_over = 0
        self.falls = 0
        self.started = 0
        self.slots = {
            one.id: anyio.Semaphore(one.slots)
            for one in self.catalog.servers.values()
        }
        self.resets: dict[str, anyio.Event] = {
            key: anyio.Event() for key in self.catalog.servers
        }

    def stop(self, server_id: str) -> None:
        """Reset all connections; the server comes back cold."""
        self.down.add(server_id)
        self.reset(server_id)

    def reset(self, server_id: str) -> None:
        self.generation[server_id] += 1
        self.answers[server_id] = 0
        self.resets[server_id].set()
        self.resets[server_id] = anyio.Event()

    def service_s(self, server_id: str) -> float:
        mean_s = self.firm.mean_service_s
        time_s = mean_s / 2 + self.rng.expovariate(2 / mean_s)
        if self.rng.random() < self.stragglers:
            time_s = mean_s * STRAGGLER_SLOWER
        if self._cold(server_id):
            time_s *= 3
        return time_s

    def _cold(self, server_id: str) -> bool:
        return self.answers.get(server_id, 99) < 16

    async def serve(self, server: BackendServer) -> str:
        """Run one request; more than the cold limit makes it fall over."""
        self.started += 1
        self.running[server.id] += 1
        try:
            over = self.running[server.id] - server.slots
            self.most_over = max(self.most_over, over)
            if self._cold(server.id) and self.running[server.id] > max(
                1, self.answers[server.id] // 4
            ):
                self.falls += 1
                self.reset(server.id)
                raise BackendError(
                    ErrorCode.BACKEND_LOST, 'fell over', lost=True
                )
            await self._work(server)
        finally:
            self.running[server.id] -= 1
        if server.id in self.answers:
            self.answers[server.id] += 1
        return f'g{self.generation[server.id]}'

    async def _work(self, server: BackendServer) -> None:
        reset = self.resets[server.id]
        async with self.slots[server.id]:
            with anyio.move_on_after(self.service_s(server.id)):
                await reset.wait()
                raise BackendError(ErrorCode.BACKEND_LOST, 'reset', lost=True)


class Client(BackendClient):
    """One node's connections; each idle one serves a later request."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.idle = collections.Counter()

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
        if server.id in self.fleet.down:
            self.idle.pop(server.id, None)
            raise BackendError(
                ErrorCode.BACKEND_LOST, 'no connection', not_run=True
            )
        if self.idle[server.id]:
            self.idle[server.id] -= 1
        else:
            await anyio.sleep(self.fleet.connect_s[server.id])
        generation = await self.fleet.serve(server)
        self.idle[server.id] += 1
        found = {'id': call.shard, 'score': 1}
        body = json.dumps({'results': [found]}).encode()
        return BackendReply(generation, call.snapshot, body)

    async def probe(self, server: BackendServer, *, timeout_s: float) -> bool:
        await anyio.sleep(self.fleet.connect_s[server.id])
        return server.id not in self.fleet.down

    async def close_idle(self, server: BackendServer) -> None:
        self.idle.pop(server.id, None)


class View(NodeView):
    """A node's tables; all nodes share the state."""

    def __init__(self, site: 'Site', node_id: str, zone: str) -> None:
        self.site = site
        self.node_id = node_id
        self.availability_zone = zone

    @property
    def state(self) -> ConfigState:
        return self.site.state

    @property
    def assignment(self) -> Assignment:
        return self.site.assignment

    def now(self) -> float:
        return anyio.current_time()

    def refusal(self) -> Cause | None:
        if self.node_id in self.site.dead:
            return system_cause(ErrorCode.SHUTTING_DOWN)
        return None

    def is_live(self, node_id: str) -> bool:
        return node_id not in self.site.believed_dead


class Ports(GatewayPort):
    """Links between the nodes of a site, as seen by one node."""

    def __init__(self, site: 'Site', zone: str) -> None:
        self.site = site
        self.zone = zone

    async def run(
        self, node_id: str, batch: BatchRequest
    ) -> AsyncIterator[BatchReply]:
        site = self.site
        if node_id in site.dead:
            raise IbismountError(ErrorCode.LINK_LOST, node_id)
        far = site.zone_of[node_id] != self.zone
        delay_s = BETWEEN_ZONES_S if far else LOCAL_S
        await anyio.sleep(delay_s)
        sender, receiver = anyio.create_memory_object_stream(100)
        gateway = site.gateways[node_id]

        async def send(message: BatchReply) -> None:
            try:
                await sender.send(message)
            except (
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ) as exc:
                raise IbismountError(ErrorCode.LINK_LOST, 'closed') from exc

        site.group.start_soon(gateway.run, batch, send)
        with sender, receiver:
            async for message in receiver:
                await anyio.sleep(delay_s)
                if node_id in site.dead:
                    raise IbismountError(ErrorCode.LINK_LOST, node_id)
                yield message

    def cancel(self, node_id: str, message: Cancel) -> None:
        if node_id not in self.site.dead:
            self.site.gateways[node_id].cancel(message)


class Site:
    """All nodes and backend servers of a firm."""

    def __init__(
        self,
        firm: Firm,
        *,
        template: dict,
        teams: dict[str, int],
        entry_options: EntryOptions,
        stragglers: float = 0,
        seed: int = 1,
    ) -> None:
        self.firm = firm
        self.seed = seed
        self.fleet = Fleet(firm, seed, stragglers=stragglers)
        self.dead: set[str] = set()
        self.believed_dead: set[str] = set()
        self.zone_of = {
            f'n{number}': ZONES[number % len(ZONES)]
            for number in range(firm.nodes)
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
            key: Member(key, 1, zone, 'r1', '', '', 1)
            for key, zone in self.zone_of.items()
        }
        self.state.roster = Roster(1, members)
        self.assignment = assign(
            self.state.roster, self.state.catalogs, version=1
        )
        self.entry_options = entry_options
        self.tables: dict[str, CapacityTable] = {}
        self.gateways: dict[str, Gateway] = {}
        self.entries: dict[str, Entry] = {}
        self.group: anyio.abc.TaskGroup | None = None

    def start_node(self, node_id: str) -> None:
        """Start a node; its shares come after the handover time."""
        view = View(self, node_id, self.zone_of[node_id])
        table = CapacityTable(node_id)
        now = anyio.current_time()
        table.apply_assignment(now, self.assignment, self.fleet.catalog.servers)
        table.record_accepted_version(now, 1)
        self.tables[node_id] = table
        quarantine = Quarantine()
        self.gateways[node_id] = Gateway(
            view, table, Client(self.fleet), quarantine, _ignore
        )
        self.entries[node_id] = Entry(
            view,
            Ports(self, view.availability_zone),
            quarantine=quarantine,
            rng=random.Random(f'{self.seed}{node_id}'),
            options=self.entry_options,
        )

    async def tick(self) -> None:
        """Carry the messages of the capacity tables."""
        while True:
            await anyio.sleep(0.1)
            now = anyio.current_time()
            for sender, table in self.tables.items():
                for envelope in table.tick(now):
                    self._deliver(now, sender, envelope)

    def _deliver(self, now, sender, envelope) -> None:
        if {sender, envelope.to} & self.dead:
            return
        table = self.tables[envelope.to]
        if isinstance(envelope.message, ShareRelease):
            table.receive_release(now, sender, envelope.message)
        else:
            table.receive_warm_notice(now, sender, envelope.message)


def _ignore(*args, **kwargs) -> None:
    """Drop a journal event."""
