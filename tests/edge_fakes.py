"""Backend servers in memory, for the edge's dispatch on virtual time."""

import asyncio
import collections
import dataclasses
import random

from ibismount.cold_limit import ColdLimit
from ibismount.edge_dispatch import DispatchOptions, EdgeDispatch
from ibismount.fleet import Fleet, ServersListed
from ibismount.http_exchange import ExchangeEnd, RawAnswer
from ibismount.node_share import NodeShare
from ibismount.placement import Placement
from ibismount.platform.wire import PlatformWireFormat
from ibismount.routes import Route, RouteTable, Service, WeightedService
from ibismount.servers import Server
from ibismount.traffic_budget import BudgetOptions, TrafficBudget

NETWORK_S = 0.001
SHARDS = tuple(f's{number}' for number in range(10))


@dataclasses.dataclass
class FakeServer:
    """One backend server; ``behave`` decides what a request gets."""

    server: Server
    work_s: float = 0.01
    slots: int = 4
    queue: int = 24
    paused_until: float = 0
    behave: object = None
    running: int = 0
    waiting: list = dataclasses.field(default_factory=list)
    ran: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    arrivals: int = 0


class FakePool:
    """Starts exchanges with servers in memory."""

    def __init__(self, servers):
        self.servers = {
            (one.server.host, one.server.port): one for one in servers
        }
        self.open = collections.Counter()
        self.refuse = set()

    def start(self, address, owner, request, *, max_open):
        if self.open[address] >= max_open:
            return None
        self.open[address] += 1
        exchange = FakeExchange(self, self.servers[address], owner, request)
        asyncio.get_running_loop().call_later(NETWORK_S, exchange.arrive)
        return exchange


class FakeExchange:
    """One request at one server."""

    def __init__(self, pool, server, owner, request):
        self.pool = pool
        self.server = server
        self.owner = owner
        self.raw = request()
        self.loop = asyncio.get_running_loop()
        self.over = False

    def arrive(self):
        if self.over:
            return
        one = self.server
        if one.server.id in self.pool.refuse:
            self.end(lambda: self.owner.exchange_ended(ExchangeEnd.NOT_SENT))
            return
        one.arrivals += 1
        if one.running >= one.slots:
            if len(one.waiting) >= one.queue:
                self.reply(503, [(b'ibismount-not-executed', b'1')])
            else:
                one.waiting.append(self)
            return
        self.run()

    def run(self):
        one = self.server
        one.running += 1
        one.ran[request_id(self.raw)] += 1
        pause_s = max(0, one.paused_until - self.loop.time())
        self.loop.call_later(pause_s + one.work_s, self.done)

    def done(self):
        one = self.server
        one.running -= 1
        if one.waiting:
            one.waiting.pop(0).run()
        if self.over:
            return
        kind = one.behave(self) if one.behave else 'answer'
        if kind == 'answer':
            body = one.server.id.encode().ljust(16, b'.')
            stamp = f'{one.server.id}/{request_id(self.raw)}'.encode()
            self.reply(200, [(b'ibismount-server-stamp', stamp)], body)
        elif kind == 'fail':
            self.reply(500, [(b'ibismount-server-stamp', b'failed')])
        elif kind == 'reset':
            self.end(lambda: self.owner.exchange_ended(ExchangeEnd.BROKEN))

    def reply(self, status, headers, body=b''):
        answer = RawAnswer(status, headers, body)
        self.loop.call_later(
            NETWORK_S,
            lambda: self.end(lambda: self.owner.exchange_answered(answer)),
        )

    def end(self, tell):
        if not self.over:
            self.over = True
            self.pool.open[
                self.server.server.host, self.server.server.port
            ] -= 1
            tell()

    def cancel(self):
        if not self.over:
            self.over = True
            self.pool.open[
                self.server.server.host, self.server.server.port
            ] -= 1
            if self in self.server.waiting:
                self.server.waiting.remove(self)


def request_id(raw):
    for line in raw.split(b'\r\n'):
        name, _, text = line.partition(b': ')
        if name == b'ibismount-request-id':
            return text.decode()
    return ''


SEARCH = Route(
    'search',
    'a.example',
    '/search/',
    True,
    0.8,
    0.18,
    max_runs=2,
    shards=SHARDS,
    top_k=5,
    least_share=0.89,
)
LOOKUP = Route(
    'lookup',
    'a.example',
    '/lookup/',
    True,
    4,
    0.6,
    max_runs=2,
    services=(WeightedService('lookup'),),
)
BOOKING = dataclasses.replace(
    LOOKUP, name='booking', prefix='/booking/', idempotent=False
)


class World:
    """One node's dispatch in front of servers in memory."""

    def __init__(self, *, options=DispatchOptions(), slack=1000, nodes=1):
        loop = asyncio.get_running_loop()
        self.servers = {}
        number = 0
        for service in (*SHARDS, 'lookup'):
            for zone in ('z0', 'z1', 'z2'):
                number += 1
                server = Server(
                    f'{service}-{zone}',
                    service,
                    '10.0.0.1',
                    number,
                    zone,
                    4,
                    revision=number,
                )
                self.servers[server.id] = FakeServer(server)
        self.pool = FakePool(self.servers.values())
        self.fleet = Fleet(loop.time)
        listed = tuple(one.server for one in self.servers.values())
        self.fleet.apply(ServersListed(listed, 1000))
        services = {
            name: Service(name, max_connections=70)
            for name in (*SHARDS, 'lookup')
        }
        self.fleet.apply(RouteTable(1, (SEARCH, LOOKUP, BOOKING), services))
        self.budget = TrafficBudget(
            BudgetOptions(ratio=0.2, slack=slack),
            lambda: 1 / nodes,
            now=loop.time,
        )
        rng = random.Random(5)
        self.wire = PlatformWireFormat()
        self.dispatch = EdgeDispatch(
            fleet=self.fleet,
            placement=Placement('z0', rng),
            pool=self.pool,
            budget=self.budget,
            wire=self.wire,
            rng=rng,
            share=lambda: NodeShare(nodes, nodes, 1 / nodes),
            cold=ColdLimit('n0'),
            options=options,
        )
        self.dispatch.cold.set_nodes([f'n{one}' for one in range(nodes)])
        self.count = 0

    def submit(self, path=b'/search/x', *, deadline_ms=800, method=b'GET'):
        """Start a request; return its id, its job and its outcome to come."""
        self.count += 1
        name = f'q{self.count}'
        req = self.wire.read_request(
            method,
            path,
            [
                (b'host', b'a.example'),
                (b'ibismount-request-id', name.encode()),
                (b'ibismount-deadline-ms', b'%d' % deadline_ms),
            ],
            b'',
        )
        fut = asyncio.get_running_loop().create_future()
        job = self.dispatch.submit(req, fut.set_result)
        return name, job, fut

    async def ask(self, path=b'/search/x', **options):
        """Return the outcome and how long it took."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        _, _, fut = self.submit(path, **options)
        outcome = await fut
        return outcome, loop.time() - started_at

    def runs(self, name):
        """Return how often each server ran a request."""
        return {
            server_id: one.ran[name]
            for server_id, one in self.servers.items()
            if one.ran[name]
        }

    def of(self, service):
        """Return the servers of a service."""
        return [
            one
            for one in self.servers.values()
            if one.server.service == service
        ]
