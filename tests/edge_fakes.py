"""In-memory backend servers for tests of the edge dispatch on virtual time."""

import asyncio
import collections
import dataclasses
import random

from ibismount.crash_guard import make_quarantine
from ibismount.edge_dispatch import DispatchOptions, EdgeDispatch
from ibismount.extra_request_budget import BudgetOptions, ExtraRequestBudget
from ibismount.fleet_state import FleetState, ServersListed
from ibismount.http_client import Connection, ExchangeFailure, RawResponse
from ibismount.node_share import NodeShare
from ibismount.placement import Placement
from ibismount.platform.wire import PlatformWireFormat
from ibismount.routes import Route, RouteTable, Service, WeightedService
from ibismount.server_limits import ServerLimits
from ibismount.server_permits import make_server_permits
from ibismount.server_table import Server
from ibismount.zone_traffic import ZoneTraffic

NETWORK_S = 0.001
SHARDS = tuple(f's{number}' for number in range(10))
FAILURES = {
    'reset': ExchangeFailure.BROKEN,
    'timeout': ExchangeFailure.TIMED_OUT,
}


@dataclasses.dataclass
class FakeServer:
    """One backend server; ``choose_reply`` returns how it replies."""

    server: Server
    work_s: float = 0.01
    slots: int = 4
    max_queued: int = 24
    paused_until: float = 0
    choose_reply: object = None
    running: int = 0
    waiting: list = dataclasses.field(default_factory=list)
    ran: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    arrivals: int = 0
    arrival_times: list = dataclasses.field(default_factory=list)
    # Requests per second that it states in its answers.
    rate_limit: float | None = None


class FakePool:
    """Pool that starts exchanges with fake servers."""

    def __init__(self, servers):
        self.servers = {
            (server.server.host, server.server.port): server
            for server in servers
        }
        self.open = collections.Counter()
        self.refusing_connections = set()
        # Servers to which connections are neither refused nor established.
        self.silent_hosts = set()
        # One connection to each server is used for all its exchanges if set.
        self.keeps_connections = False
        self.kept_connections = collections.defaultdict(Connection)
        self.exchanges = set()

    def start_exchange(self, address, owner, request, *, max_open):
        if self.open[address] >= max_open:
            return None
        self.open[address] += 1
        exchange = FakeExchange(self, self.servers[address], owner, request)
        self.exchanges.add(exchange)
        asyncio.get_running_loop().call_later(NETWORK_S, exchange.receive)
        return exchange

    def crash(self, server_id, down_s):
        """Break what a server has, and let it refuse connections for a time."""
        self.refusing_connections.add(server_id)
        asyncio.get_running_loop().call_later(
            down_s, self.refusing_connections.discard, server_id
        )
        for exchange in list(self.exchanges):
            server = exchange.server
            if server.server.id == server_id and exchange.sent:
                server.waiting.clear()
                exchange.end(
                    lambda exchange=exchange: exchange.owner.on_exchange_failed(
                        ExchangeFailure.BROKEN
                    )
                )

    async def is_reachable(self, address):
        server_id = self.servers[address].server.id
        return server_id not in self.refusing_connections


class FakeExchange:
    """One request at one fake server."""

    def __init__(self, pool, server, owner, request):
        self.pool = pool
        self.server = server
        self.owner = owner
        self.raw = request()
        self.loop = asyncio.get_running_loop()
        self.ended = False
        self.sent = False
        self.conn = (
            pool.kept_connections[server.server.id]
            if pool.keeps_connections
            else Connection()
        )

    def receive(self):
        if self.ended:
            return
        if self.server.server.id in self.pool.silent_hosts:
            return
        self.sent = True
        server = self.server
        if server.server.id in self.pool.refusing_connections:
            self.end(
                lambda: self.owner.on_exchange_failed(ExchangeFailure.NOT_SENT)
            )
            return
        server.arrivals += 1
        server.arrival_times.append(self.loop.time())
        if server.running >= server.slots:
            if len(server.waiting) >= server.max_queued:
                self.reply(503, [(b'ibismount-not-executed', b'1')])
            else:
                server.waiting.append(self)
            return
        self.run()

    def run(self):
        server = self.server
        server.running += 1
        server.ran[request_id(self.raw)] += 1
        pause_s = max(0, server.paused_until - self.loop.time())
        self.loop.call_later(pause_s + server.work_s, self.finish)

    def finish(self):
        server = self.server
        server.running -= 1
        if server.waiting:
            server.waiting.pop(0).run()
        if self.ended:
            return
        kind = server.choose_reply(self) if server.choose_reply else 'answer'
        if kind == 'answer':
            body = server.server.id.encode().ljust(16, b'.')
            signature = f'{server.server.id}/{request_id(self.raw)}'.encode()
            self.reply(200, [(b'ibismount-server-stamp', signature)], body)
        elif kind == 'fail':
            self.reply(500, [(b'ibismount-server-stamp', b'failed')])
        elif kind in FAILURES:
            self.end(lambda: self.owner.on_exchange_failed(FAILURES[kind]))

    def reply(self, status, headers, body=b''):
        if self.server.rate_limit is not None:
            limit = str(self.server.rate_limit).encode()
            headers = [*headers, (b'server-limit', limit)]
        response = RawResponse(status, headers, body)
        self.loop.call_later(
            NETWORK_S,
            lambda: self.end(lambda: self.owner.on_response(response)),
        )

    def end(self, notify_owner):
        if not self.ended:
            self.ended = True
            self.pool.exchanges.discard(self)
            self.pool.open[
                self.server.server.host, self.server.server.port
            ] -= 1
            notify_owner()

    def cancel(self):
        if not self.ended:
            self.ended = True
            self.pool.exchanges.discard(self)
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


def make_servers():
    """Return three servers of each service, one in each zone, by id."""
    servers = {}
    for service in (*SHARDS, 'lookup'):
        for zone in ('z0', 'z1', 'z2'):
            number = len(servers) + 1
            server = Server(
                f'{service}-{zone}',
                service,
                '10.0.0.1',
                number,
                zone,
                4,
                revision=number,
            )
            servers[server.id] = FakeServer(server)
    return servers


class DispatchHarness:
    """Dispatch of one node in front of fake servers.

    ``number`` is that of the node among ``nodes``; ``servers`` are the fake
    servers of another node's harness.
    """

    def __init__(
        self,
        *,
        options=DispatchOptions(),
        slack=1000,
        nodes=1,
        number=0,
        servers=None,
    ):
        loop = asyncio.get_running_loop()
        self.servers = servers or make_servers()
        self.pool = FakePool(self.servers.values())
        self.fleet = FleetState(loop.time)
        servers = tuple(fake.server for fake in self.servers.values())
        self.fleet.apply(ServersListed(servers, 1000))
        services = {
            name: Service(name, max_connections=70)
            for name in (*SHARDS, 'lookup')
        }
        self.fleet.apply(RouteTable(1, (SEARCH, LOOKUP, BOOKING), services))
        self.budget = ExtraRequestBudget(
            BudgetOptions(ratio=0.2, slack=slack),
            lambda: 1 / nodes,
            now=loop.time,
        )
        rng = random.Random(5 + number)
        self.wire = PlatformWireFormat()
        self.dispatch = EdgeDispatch(
            fleet=self.fleet,
            placement=Placement(f'z{number % 3}', rng),
            pool=self.pool,
            budget=self.budget,
            wire=self.wire,
            rng=rng,
            node_share=lambda: NodeShare(nodes, nodes, 1 / nodes),
            permits=make_server_permits(
                f'n{number}',
                fleet=self.fleet,
                limits=ServerLimits(),
                now=loop.time,
            ),
            quarantine=make_quarantine(),
            traffic=ZoneTraffic('z0'),
            options=options,
        )
        self.dispatch.permits.set_nodes([f'n{index}' for index in range(nodes)])
        self.count = 0

    def submit(self, path=b'/search/x', *, deadline_ms=800, method=b'GET'):
        """Start a request; return its id, its job and a future of its outcome."""
        self.count += 1
        req_id = f'q{self.count}'
        req = self.wire.read_request(
            method,
            path,
            [
                (b'host', b'a.example'),
                (b'ibismount-request-id', req_id.encode()),
                (b'ibismount-deadline-ms', b'%d' % deadline_ms),
            ],
            b'',
        )
        fut = asyncio.get_running_loop().create_future()
        job = self.dispatch.submit(req, fut.set_result)
        return req_id, job, fut

    async def submit_and_wait(self, path=b'/search/x', **options):
        """Submit a request; return the outcome and the time it took, in seconds."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        _, _, fut = self.submit(path, **options)
        outcome = await fut
        return outcome, loop.time() - started_at

    def runs_by_server(self, req_id):
        """Return how often each server ran a request, zeros left out."""
        return {
            server_id: server.ran[req_id]
            for server_id, server in self.servers.items()
            if server.ran[req_id]
        }

    def servers_of(self, service):
        """Return the servers of a service."""
        return [
            server
            for server in self.servers.values()
            if server.server.service == service
        ]
