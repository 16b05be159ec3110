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
from ibismount.node_view import NodeView
from ibismount.quarantine import Quarantine
from ibismount.template import Kind, Parameters, Template

COLLECTION = 'jobs'


class FakeCapacity:
    """Grant ``slots`` permits for each server and count those in use."""

    def __init__(self, slots=2):
        self.slots = slots
        self.in_use = collections.Counter()
        self.peak_in_use = collections.Counter()
        self.ejected = {}
        self.refusals = {}

    def acquire(self, now, server_id):
        if server_id in self.refusals:
            return system_cause(self.refusals[server_id], server_id)
        if self.ejected.get(server_id, 0) > now:
            return system_cause(ErrorCode.BACKEND_EJECTED, server_id)
        if self.in_use[server_id] >= self.slots:
            return system_cause(ErrorCode.GATEWAY_BUSY, server_id)
        self.in_use[server_id] += 1
        self.peak_in_use[server_id] = max(
            self.peak_in_use[server_id], self.in_use[server_id]
        )
        return [server_id]

    def _return_permit(self, permit):
        # The list is emptied, so returning a permit twice raises IndexError.
        self.in_use[permit.pop()] -= 1

    def record_answer(self, now, permit, *, generation, latency_s):
        self._return_permit(permit)

    def record_failure(
        self, now, permit, *, generation='', lost=False, refused=False
    ):
        self._return_permit(permit)

    def eject(self, now, server_id):
        self.ejected[server_id] = now + 1

    def connection_limit(self, server_id):
        return self.slots


class FakeView(NodeView):
    """A node's view of the cluster; ``refusal_cause`` refuses new work."""

    def __init__(self, node_id, zone, cluster):
        self.node_id = node_id
        self.availability_zone = zone
        self.cluster = cluster
        self.refusal_cause = None

    @property
    def state(self):
        return self.cluster.state

    @property
    def assignment(self):
        return self.cluster.assignment

    def now(self):
        return anyio.current_time()

    def refusal(self):
        return self.refusal_cause

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


class FakeBackendFleet(BackendClient):
    """All backend servers; ``behaviour`` maps a server id to its fault.

    The faults are ``shed``, ``lost``, ``dead``, ``truncated`` and ``slowN``
    for a service time N times as long.
    """

    def __init__(self, *, service_s=0.005, seed=1):
        self.service_s = service_s
        self.rng = random.Random(seed)
        self.runs = []
        self.behaviour = {}
        self.missing_snapshots = set()
        self.silent = set()  # servers whose pooled connections are silent
        self.running = collections.Counter()
        self.probes = []

    async def call(self, server, call, *, connections):
        try:
            with anyio.fail_after(call.deadline_s):
                return await self._call(server, call)
        except TimeoutError as exc:
            raise BackendError(ErrorCode.DEADLINE_EXCEEDED, 'late') from exc

    async def _call(self, server, call):
        if (server.id, call.snapshot) in self.missing_snapshots:
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
        slowdown = float(behaviour[4:]) if behaviour.startswith('slow') else 1
        await anyio.sleep(self.service_s * slowdown)

    def body(self, call, behaviour):
        encoded = json.dumps(
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
        return encoded[:20] if behaviour == 'truncated' else encoded

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


class FakeLinks(GatewayPort):
    """Send batches to gateways in the same process, with a delay.

    ``tamper`` maps a message to the list of messages delivered instead.
    """

    def __init__(self, cluster, *, delay_s=0.0005):
        self.cluster = cluster
        self.delay_s = delay_s
        self.cut = set()  # gateways whose links fail when a reply is due
        self.tamper = None
        self.duplicate = False  # deliver every batch twice
        self.batches = []
        self.gateway_scopes = []  # cancel scopes of gateways running a batch

    async def run(self, node_id, batch):
        self.batches.append((node_id, batch))
        if node_id in self.cluster.dead:
            raise IbismountError(ErrorCode.PEER_REFUSED, 'no connection')
        sender, receiver = anyio.create_memory_object_stream(1000)
        await anyio.sleep(self.delay_s)
        gateway = self.cluster.gateways[node_id]
        for _ in range(1 + self.duplicate):
            self.cluster.group.start_soon(
                self._deliver, gateway, batch, _link_sender(sender)
            )
        with sender, receiver:
            async for message in receiver:
                await anyio.sleep(self.delay_s)
                if node_id in self.cut:
                    raise IbismountError(ErrorCode.LINK_LOST, 'cut')
                for tampered in (
                    self.tamper(message) if self.tamper else [message]
                ):
                    yield tampered

    async def _deliver(self, gateway, batch, send):
        with anyio.CancelScope() as scope:
            self.gateway_scopes.append(scope)
            await gateway.run(batch, send)

    def cancel(self, node_id, message):
        self.cluster.gateways[node_id].cancel(message)


class Cluster:
    """A server for each shard and zone, a gateway for each zone, an entry."""

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
        claims=None,
        template=None,
        seed=7,
    ):
        self.zones = zones
        self.dead = set()
        self.state = ConfigState()
        self.assignment = Assignment()
        self.fleet = FakeBackendFleet(service_s=service_s)
        self.quarantine = Quarantine()
        self.capacities = {}
        self.gateways = {}
        self.views = {}
        self.journal = []
        self.group = None
        self.set_catalog(
            [
                Snapshot(snapshot_id, shard_names(shards))
                for snapshot_id in snapshots
            ]
        )
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
                self.record_event,
                options=gateway_options,
            )
        self.links = FakeLinks(self)
        self.view = FakeView('entry-1', zones[0], self)
        self.entries = []
        self.entry = self.new_entry(
            claims=claims, seed=seed, options=entry_options
        )

    def new_entry(self, *, claims=None, seed=7, options=None):
        entry = Entry(
            self.view,
            self.links,
            quarantine=self.quarantine,
            claims=claims,
            journal=self.record_event,
            rng=random.Random(seed),
            spawn=lambda task: self.group.start_soon(task),
            options=options,
        )
        self.entries.append(entry)
        return entry

    def record_event(self, part, text, **fields):
        self.journal.append((part, text, fields))

    def set_catalog(self, snapshots):
        """Set a catalog in which servers hold all snapshots of their shard."""
        servers = {}
        for snapshot in snapshots:
            for shard in snapshot.shards:
                for zone in self.zones:
                    server = servers.setdefault(
                        f'{shard}@{zone}',
                        BackendServer(
                            f'{shard}@{zone}', '127.0.0.1:1', zone, shard
                        ),
                    )
                    servers[server.id] = dataclasses.replace(
                        server, snapshots=(*server.snapshots, snapshot.id)
                    )
        self.state.catalogs[COLLECTION] = Catalog(
            COLLECTION, tuple(snapshots), servers
        )
        self.assignment = Assignment(
            self.assignment.version + 1,
            {
                server.id: (
                    Share(
                        server.id, f'gw-{server.availability_zone}', 0, 4, 80, 1
                    ),
                )
                for server in servers.values()
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

    def permits_in_use(self):
        return sum(
            sum(capacity.in_use.values())
            for capacity in self.capacities.values()
        )


def _link_sender(sender):
    """Return a send function that reports a closed stream as a lost link."""

    async def send(message):
        try:
            await sender.send(message)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
            raise IbismountError(ErrorCode.LINK_LOST, 'closed') from exc

    return send


def shard_names(count, prefix='sh'):
    return tuple(f'{prefix}{number}' for number in range(count))


def run_virtual(scenario, *args):
    """Run an async function on trio with a virtual clock that never waits."""
    import trio.testing

    async def run_with_timeout():
        with anyio.fail_after(600):
            return await scenario(*args)

    return anyio.run(
        run_with_timeout,
        backend='trio',
        backend_options={'clock': trio.testing.MockClock(autojump_threshold=0)},
    )


def in_cluster(cluster, scenario):
    """Run ``scenario(cluster)`` with a task group for the gateways."""

    async def run():
        async with anyio.create_task_group() as group:
            cluster.group = group
            outcome = await scenario(cluster)
            for entry in cluster.entries:
                await entry.wait_idle()
        return outcome

    return run_virtual(run)


def message_with(message, replies):
    """Return a copy of the message with other replies."""
    return BatchReply(message.attempt_id, tuple(replies), message.final)
