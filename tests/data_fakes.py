"""Fakes of the data path: control tables, permits, links and servers."""

import collections
import dataclasses
import json
import random

import anyio

from ibismount._requests import GatewayPort
from ibismount.assignment import Assignment, Share
from ibismount.backend import BackendClient, BackendError, BackendReply
from ibismount.catalog import BackendServer, Catalog, Snapshot
from ibismount.cause import system_cause
from ibismount.config import ConfigState
from ibismount.entry import Entry
from ibismount.errors import ErrorCode, IbismountError
from ibismount.gateway import Gateway
from ibismount.messages import BatchReply
from ibismount.quarantine import Quarantine
from ibismount.template import Kind, Parameters, Template
from ibismount.view import NodeView

COLLECTION = 'jobs'


class FakeCapacity:
    """Give ``slots`` permits for each server; count what is out."""

    def __init__(self, slots=2):
        self.slots = slots
        self.out = collections.Counter()
        self.most = collections.Counter()
        self.ejected = {}
        self.refusals = {}

    def acquire(self, now, server_id):
        if server_id in self.refusals:
            return system_cause(self.refusals[server_id], server_id)
        if self.ejected.get(server_id, 0) > now:
            return system_cause(ErrorCode.BACKEND_EJECTED, server_id)
        if self.out[server_id] >= self.slots:
            return system_cause(ErrorCode.GATEWAY_BUSY, server_id)
        self.out[server_id] += 1
        self.most[server_id] = max(self.most[server_id], self.out[server_id])
        return [server_id]

    def _back(self, permit):
        # The list is emptied, so giving a permit back twice raises.
        self.out[permit.pop()] -= 1

    def record_answer(self, now, permit, *, generation, latency_s):
        self._back(permit)

    def record_failure(
        self, now, permit, *, generation='', lost=False, refused=False
    ):
        self._back(permit)

    def eject(self, now, server_id):
        self.ejected[server_id] = now + 1

    def connection_limit(self, server_id):
        return self.slots


class FakeView(NodeView):
    def __init__(self, node_id, zone, cluster):
        self.node_id = node_id
        self.availability_zone = zone
        self.cluster = cluster
        self.refused = None

    @property
    def state(self):
        return self.cluster.state

    @property
    def assignment(self):
        return self.cluster.assignment

    def now(self):
        return anyio.current_time()

    def refusal(self):
        return self.refused

    def is_live(self, node_id):
        return node_id not in self.cluster.dead


@dataclasses.dataclass
class Run:
    """One sub-request that a backend server started."""

    server: str
    shard: str
    snapshot: str
    request_id: str
    path: str
    ended: str = 'running'


class BackendFleet(BackendClient):
    """All backend servers; ``behaviour`` maps a server id to its fault."""

    def __init__(self, *, service_s=0.005, seed=1):
        self.service_s = service_s
        self.rng = random.Random(seed)
        self.runs = []
        self.behaviour = {}
        self.lacks = set()
        self.silent = set()  # (server) whose pooled connections are silent
        self.running = collections.Counter()
        self.probes = []

    async def call(self, server, call, *, connections):
        try:
            with anyio.fail_after(call.deadline_s):
                return await self._call(server, call)
        except TimeoutError as exc:
            raise BackendError(ErrorCode.DEADLINE_EXCEEDED, 'late') from exc

    async def _call(self, server, call):
        if (server.id, call.snapshot) in self.lacks:
            raise BackendError(
                ErrorCode.SNAPSHOT_NOT_HELD, 'not held', not_run=True
            )
        behaviour = self.behaviour.get(server.id, '')
        if behaviour == 'shed':
            raise BackendError(ErrorCode.BACKEND_SHED, 'busy', not_run=True)
        run = Run(
            server.id, call.shard, call.snapshot, call.request_id, call.path
        )
        self.runs.append(run)
        self.running[server.id] += 1
        try:
            await self._work(server, behaviour)
            run.ended = 'answered'
        finally:
            self.running[server.id] -= 1
        return BackendReply('g1', call.snapshot, self.body(call, behaviour))

    async def _work(self, server, behaviour):
        if server.id in self.silent or behaviour == 'dead':
            await anyio.sleep_forever()
        if behaviour == 'lost':
            await anyio.sleep(self.service_s / 2)
            raise BackendError(ErrorCode.BACKEND_LOST, 'reset', lost=True)
        slow = float(behaviour[4:]) if behaviour.startswith('slow') else 1
        await anyio.sleep(self.service_s * slow)

    def body(self, call, behaviour):
        text = json.dumps(
            {
                'results': [
                    {
                        'id': f'{call.shard}/{number}',
                        'score': number,
                        'snapshot': call.snapshot,
                    }
                    for number in range(3)
                ]
            }
        ).encode()
        return text[:20] if behaviour == 'truncated' else text

    async def probe(self, server, *, timeout_s):
        self.probes.append(server.id)
        if self.behaviour.get(server.id) == 'dead':
            await anyio.sleep(timeout_s)
            return False
        await anyio.sleep(0.001)
        return True

    async def close_idle(self, server):
        self.silent.discard(server.id)

    def answered_shards(self, request_id, snapshot):
        return {
            run.shard
            for run in self.runs
            if (run.request_id, run.snapshot, run.ended)
            == (request_id, snapshot, 'answered')
        }


class Links(GatewayPort):
    """Carry batches to gateways in the same process, with a delay.

    ``tamper`` may replace the list of messages that one message becomes.
    """

    def __init__(self, cluster, *, delay_s=0.0005):
        self.cluster = cluster
        self.delay_s = delay_s
        self.cut = set()  # gateways whose links die when a reply is due
        self.tamper = None
        self.duplicate = False  # deliver every batch twice
        self.batches = []
        self.scopes = []  # of gateways that run a batch

    async def run(self, node_id, batch):
        self.batches.append((node_id, batch))
        if node_id in self.cluster.dead:
            raise IbismountError(ErrorCode.PEER_REFUSED, 'no connection')
        sender, receiver = anyio.create_memory_object_stream(1000)
        await anyio.sleep(self.delay_s)
        gateway = self.cluster.gateways[node_id]
        for _ in range(1 + self.duplicate):
            self.cluster.group.start_soon(
                self._deliver, gateway, batch, _safe(sender)
            )
        with sender, receiver:
            async for message in receiver:
                await anyio.sleep(self.delay_s)
                if node_id in self.cut:
                    raise IbismountError(ErrorCode.LINK_LOST, 'cut')
                for one in self.tamper(message) if self.tamper else [message]:
                    yield one

    async def _deliver(self, gateway, batch, send):
        with anyio.CancelScope() as scope:
            self.scopes.append(scope)
            await gateway.run(batch, send)

    def cancel(self, node_id, message):
        self.cluster.gateways[node_id].cancel(message)


class Cluster:
    """Shards x zones servers, one gateway node for each zone and more."""

    def __init__(
        self,
        *,
        shards=4,
        zones=('a', 'b', 'c'),
        slots=2,
        service_s=0.005,
        snapshots=('s1',),
        gateway_options=None,
        entry_options=None,
        desk=None,
        template=None,
        seed=7,
    ):
        self.zones = zones
        self.dead = set()
        self.state = ConfigState()
        self.assignment = Assignment()
        self.fleet = BackendFleet(service_s=service_s)
        self.quarantine = Quarantine()
        self.capacities = {}
        self.gateways = {}
        self.views = {}
        self.journal = []
        self.group = None
        self.set_catalog([Snapshot(one, names(shards)) for one in snapshots])
        self.add_template(**(template or {}))
        for zone in zones:
            node = f'gw-{zone}'
            self.views[node] = FakeView(node, zone, self)
            self.capacities[node] = FakeCapacity(slots)
            self.gateways[node] = Gateway(
                self.views[node],
                self.capacities[node],
                self.fleet,
                self.quarantine,
                self.note,
                options=gateway_options,
            )
        self.links = Links(self)
        self.view = FakeView('entry-1', zones[0], self)
        self.entries = []
        self.entry = self.new_entry(desk=desk, seed=seed, options=entry_options)

    def new_entry(self, *, desk=None, seed=7, options=None):
        entry = Entry(
            self.view,
            self.links,
            quarantine=self.quarantine,
            desk=desk,
            journal=self.note,
            rng=random.Random(seed),
            spawn=lambda task: self.group.start_soon(task),
            options=options,
        )
        self.entries.append(entry)
        return entry

    def note(self, part, text, **fields):
        self.journal.append((part, text, fields))

    def set_catalog(self, snapshots):
        """Every server holds every snapshot that has its shard."""
        servers = {}
        for snapshot in snapshots:
            for shard in snapshot.shards:
                for zone in self.zones:
                    one = servers.setdefault(
                        f'{shard}@{zone}',
                        BackendServer(
                            f'{shard}@{zone}', '127.0.0.1:1', zone, shard
                        ),
                    )
                    servers[one.id] = dataclasses.replace(
                        one, snapshots=(*one.snapshots, snapshot.id)
                    )
        self.state.catalogs[COLLECTION] = Catalog(
            COLLECTION, tuple(snapshots), servers
        )
        self.assignment = Assignment(
            self.assignment.version + 1,
            {
                one.id: (
                    Share(one.id, f'gw-{one.availability_zone}', 0, 4, 80, 1),
                )
                for one in servers.values()
            },
        )

    def add_template(self, teams=('ann',), weight=1, **fields):
        for name, kind in (('find', Kind.SEARCH), ('book', Kind.BOOKING)):
            self.state.templates[name] = Template(
                name=name, kind=kind, collection=COLLECTION, **fields
            )
            for team in teams:
                self.state.parameters[team, name] = Parameters(
                    team=team, template=name, weight=weight
                )

    def permits_out(self):
        return sum(sum(one.out.values()) for one in self.capacities.values())


def _safe(sender):
    """Turn a closed stream into the error of a lost link."""

    async def send(message):
        try:
            await sender.send(message)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
            raise IbismountError(ErrorCode.LINK_LOST, 'closed') from exc

    return send


def names(count, prefix='sh'):
    return tuple(f'{prefix}{number}' for number in range(count))


def run_virtual(scenario, *args):
    """Run an async function on trio with a clock that jumps."""
    import trio.testing

    async def bounded():
        with anyio.fail_after(600):
            return await scenario(*args)

    return anyio.run(
        bounded,
        backend='trio',
        backend_options={'clock': trio.testing.MockClock(autojump_threshold=0)},
    )


def in_cluster(cluster, scenario):
    """Run ``scenario(cluster)`` with a task group for the gateways."""

    async def run():
        async with anyio.create_task_group() as group:
            cluster.group = group
            found = await scenario(cluster)
            for entry in cluster.entries:
                await entry.wait_idle()
        return found

    return run_virtual(run)


def message_with(message, replies):
    """Return the message with other replies."""
    return BatchReply(message.attempt_id, tuple(replies), message.final)
