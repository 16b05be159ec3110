"""The program that runs on each entry VM: ``python -m ibismount.edge``."""

import asyncio
import os
import random
import signal
import sys
import time

from ibismount.caller_server import CallerConnection, CallerSite, RawRequest
from ibismount.change_feed import ChangeFeed
from ibismount.cold_limit import ColdLimit
from ibismount.edge_dispatch import EdgeDispatch, Job
from ibismount.edge_logs import configure_edge_logs
from ibismount.edge_settings import (
    EdgeSettings,
    changed_fields,
    load_settings,
)
from ibismount.errors import ErrorCode, FindingsError
from ibismount.fleet import Change, Fleet
from ibismount.handout import nodes_to_name
from ibismount.logs import part_logger
from ibismount.member import Member
from ibismount.node_share import NodeShare, NodeShares
from ibismount.peers import Peers
from ibismount.placement import Placement
from ibismount.platform.store import StoreClient
from ibismount.platform.store_reader import PlatformStoreReader
from ibismount.platform.wire import (
    READINESS_PATH,
    RESOLVE_PATH,
    PlatformWireFormat,
    encode_addresses,
    encode_status,
    encode_text,
)
from ibismount.routes import CallerLimits, RouteTable
from ibismount.server_pool import ServerPool
from ibismount.traffic_budget import BudgetOptions, TrafficBudget
from ibismount.wire_format import Outcome, RequestError, WireFormat

__all__ = ('Edge', 'main', 'make_edge')

log = part_logger('edge')

ADDRESSES_MOST = 64  # addresses that one answer may hold
# Time for which callers keep an address list, in seconds: short, so that they
# soon leave a node that ended.
ADDRESS_KEEP_S = 1.0
# Part of the grace period after which the process ends by itself.
GRACE_USED = 0.85
# A leaving node closes idle connections after this time, in seconds: callers
# have by then fetched an address list without it.
IDLE_CLOSE_S = 3.2
METRICS_PATH = b'/metrics'
BACKLOG = 512  # connections that wait to be accepted


class _ServingSite(CallerSite):
    """Serves requests of callers."""

    def __init__(self, edge: 'Edge') -> None:
        """Serve for one node."""
        super().__init__()
        self._edge = edge
        self._wire: WireFormat = edge.wire

    @property
    def limits(self) -> CallerLimits:
        """Return the limits of the configuration in force."""
        return self._edge.fleet.table.limits

    @property
    def leaving(self) -> bool:
        """Tell whether the node is shutting down."""
        return self._edge.leaving

    def handle(self, raw: RawRequest, conn: CallerConnection) -> Job | None:
        """Dispatch a request."""
        try:
            req = self._wire.read_request(
                raw.method, raw.target, raw.headers, raw.body
            )
        except RequestError as exc:
            conn.answer(self._wire.encode_error(exc.code), last=True)
            return None

        def end(outcome: Outcome) -> None:
            last = conn.last_answer
            conn.answer(self._wire.encode_outcome(outcome, last=last))

        return self._edge.dispatch.submit(req, end)

    def encode_error(self, code: ErrorCode) -> bytes:
        """Encode the refusal of a request that can't be read."""
        return self._wire.encode_error(code)


class _StatusSite(CallerSite):
    """Answers readiness checks and callers that ask for addresses."""

    def __init__(self, edge: 'Edge') -> None:
        """Answer for one node."""
        super().__init__()
        self._edge = edge

    @property
    def limits(self) -> CallerLimits:
        """Return fixed limits."""
        return CallerLimits()

    def handle(self, raw: RawRequest, conn: CallerConnection) -> None:
        """Answer at once."""
        path = raw.target.partition(b'?')[0]
        if path == RESOLVE_PATH:
            addresses = self._edge.addresses()
            answer = encode_addresses(addresses, ADDRESS_KEEP_S)
            conn.answer(answer if addresses else encode_status(503))
        elif path == READINESS_PATH:
            conn.answer(encode_status(200 if self._edge.serving else 503))
        elif path == METRICS_PATH:
            conn.answer(encode_text(self._edge.dispatch.metrics.render()))
        else:
            conn.answer(encode_status(404))

    def encode_error(self, code: ErrorCode) -> bytes:
        """Encode the refusal of a request that can't be read."""
        return self._edge.wire.encode_error(code)


class Edge:
    """One node: its view, its dispatch and its listeners."""

    def __init__(
        self, cfg: EdgeSettings, rng: random.Random, *, path: str
    ) -> None:
        """Build the parts; nothing runs yet."""
        self.cfg = cfg
        self._path = path
        self._settings_at = os.stat(path).st_mtime_ns
        self._rng = rng
        self.leaving = False
        self.wire = PlatformWireFormat()
        loop = asyncio.get_running_loop()
        self.fleet = Fleet(loop.time, self._on_change)
        host, _, port = cfg.store.address.rpartition(':')
        self.store = StoreClient(host, int(port))
        self.feed = ChangeFeed(
            PlatformStoreReader(self.store),
            self.fleet.apply,
            now=loop.time,
            rng=rng,
        )
        own = _own_member(cfg)
        self.peers = Peers(
            own,
            _seed_members(cfg, own),
            fleet=self.fleet,
            feed=self.feed,
            rng=rng,
            is_seed=any(
                seed.startswith(f'{own.id}:') for seed in cfg.node.seeds
            ),
        )
        self._named: list[Member] = []
        self._shares = NodeShares(loop.time())
        self._share = self._shares.find(
            loop.time(), named=0, in_zone=0, is_named=False, most_live=1
        )
        self.pool = ServerPool()
        self.dispatch = EdgeDispatch(
            fleet=self.fleet,
            placement=Placement(cfg.node.zone, rng),
            pool=self.pool,
            budget=TrafficBudget(
                _budget_options(cfg),
                self.budget_share,
                now=loop.time,
            ),
            wire=self.wire,
            rng=rng,
            share=self.share,
            cold=ColdLimit(cfg.node.ip),
        )
        self._serving_site = _ServingSite(self)
        self._status_site = _StatusSite(self)
        self._listeners: list[asyncio.Server] = []
        self._ended = asyncio.Event()

    @property
    def serving(self) -> bool:
        """Tell whether callers may be sent here."""
        return self.fleet.ready and not self.leaving

    def share(self) -> NodeShare:
        """Return this node's part of what all nodes may use together."""
        return self._share

    def budget_share(self) -> float:
        """Return this node's part of a budget of the whole fleet."""
        return self._share.budget

    def _find_named(self) -> None:
        """Find the nodes to name, and what this node shares with them.

        Requests ask for both many times, so they are kept between the ticks
        of the housekeeping.
        """
        members = self.peers.unsuspected_members()
        own_id = self.cfg.node.ip
        if not self.serving:
            # What others said of this node may be late.
            members = [one for one in members if one.id != own_id]
        self._named = nodes_to_name(members)
        self._share = self._shares.find(
            asyncio.get_running_loop().time(),
            named=len(self._named),
            in_zone=sum(
                one.availability_zone == self.cfg.node.zone
                for one in self._named
            ),
            is_named=any(one.id == own_id for one in self._named),
            most_live=self.peers.peak_live_count(),
        )
        self.dispatch.cold.set_nodes([one.id for one in self._named])

    def addresses(self) -> list[str]:
        """Return the addresses that a caller may use."""
        found = [one.api_address for one in self._named]
        if len(found) > ADDRESSES_MOST:
            found = self._rng.sample(found, ADDRESSES_MOST)
        return found

    async def run(self) -> None:
        """Serve until a signal ends the process."""
        await self._listen(self.cfg.listen.callers, self._serving_site)
        await self._listen(self.cfg.listen.directory, self._status_site)
        await self._listen(self.cfg.listen.readiness, self._status_site)
        if self.cfg.listen.metrics:
            await self._listen(self.cfg.listen.metrics, self._status_site)
        await self.peers.start()
        housekeeping = asyncio.create_task(self._housekeep())
        log.info('started', extra={'node': self.cfg.node.name})
        await self._ended.wait()
        housekeeping.cancel()
        self.feed.stop()
        log.info('stopped', extra={'store_calls': self.store.call_count})

    def reload(self) -> None:
        """Read the settings file again; a bad file changes nothing."""
        try:
            cfg = load_settings(self._path)
        except FindingsError as exc:
            log.warning('settings refused', extra={'reason': str(exc)})
            return
        changed = changed_fields(self.cfg, cfg)
        log.info('settings read again', extra={'changed': changed})
        if not changed:
            return
        fixed = [name for name in changed if name.startswith(_FIXED_SECTIONS)]
        if fixed:
            # Addresses and identity hold for the life of a process.
            log.warning('settings need a restart', extra={'fields': fixed})
        self.cfg.bounds = cfg.bounds
        self.cfg.node.seeds = cfg.node.seeds
        self.dispatch.budget.set_options(_budget_options(cfg))
        self.peers.add_seeds(_seed_members(cfg, _own_member(cfg)))

    def _reload_if_changed(self) -> None:
        """Notice a settings file that changed without a signal."""
        try:
            changed_at = os.stat(self._path).st_mtime_ns
        except OSError as exc:
            log.warning('settings unreadable', extra={'reason': str(exc)})
            return
        if changed_at != self._settings_at:
            self._settings_at = changed_at
            self.reload()

    def begin_leaving(self) -> None:
        """Stop being handed out; finish what is under way, then end."""
        if self.leaving:
            return
        self.leaving = True
        self.peers.leave()
        self._find_named()
        log.info('leaving', extra={'under_way': len(self.dispatch.jobs)})
        self._leaving_task = asyncio.create_task(self._leave())

    def _on_change(self, change: Change) -> None:
        self.peers.broadcast_change(change)
        self._announce()
        if isinstance(change, RouteTable):
            log.info('routes in force', extra={'version': change.version})

    def _announce(self) -> None:
        if self.serving:
            self.peers.set_api_address(self.cfg.listen.callers)
        self._find_named()

    async def _leave(self) -> None:
        loop = asyncio.get_running_loop()
        end_at = loop.time() + self.cfg.bounds.grace_s * GRACE_USED
        idle_at = min(loop.time() + IDLE_CLOSE_S, end_at)
        while loop.time() < end_at:
            if loop.time() >= idle_at:
                for conn in list(self._serving_site.connections):
                    if not conn.busy and not conn.reading:
                        conn.close()
                if not self._serving_site.connections:
                    break
            await asyncio.sleep(_LEAVE_POLL_S)
        self._ended.set()

    async def _listen(self, address: str, site: CallerSite) -> None:
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: CallerConnection(site), host, int(port), backlog=BACKLOG
        )
        self._listeners.append(server)

    async def _housekeep(self) -> None:
        loop = asyncio.get_running_loop()
        check_at = loop.time()
        while True:
            await asyncio.sleep(_HOUSEKEEPING_S)
            if loop.time() >= check_at:
                check_at = loop.time() + _SETTINGS_CHECK_S
                self._reload_if_changed()
                self.dispatch.forget_gone()
            self._announce()
            for server in self.fleet.expire():
                log.info('server gone', extra={'server': server.id})


# How often a leaving node looks for idle connections, in seconds.
_LEAVE_POLL_S = 0.1
# How often the settings file is checked for a change, in seconds: a change may
# come without a signal.
_SETTINGS_CHECK_S = 2.0
# Settings that a running process does not take over.
_FIXED_SECTIONS = ('listen.', 'store.', 'node.name', 'node.ip', 'node.zone')
# How often removals that were delayed are carried out, in seconds.
_HOUSEKEEPING_S = 0.25


def _own_member(cfg: EdgeSettings) -> Member:
    # Ids are IP numbers: a machine that returns keeps its own, and seeds are
    # named by them.
    return Member(
        id=cfg.node.ip,
        incarnation=time.time_ns() // 1_000_000,
        availability_zone=cfg.node.zone,
        region=cfg.node.area,
        link_address=f'{cfg.node.ip}:{cfg.node.peer_ports[0]}',
        api_address='',
        capacity=cfg.node.capacity,
    )


def _seed_members(cfg: EdgeSettings, own: Member) -> list[Member]:
    hosts = {seed.rpartition(':')[0] for seed in cfg.node.seeds}
    hosts.discard(own.id)
    return [
        Member(
            id=host,
            incarnation=0,
            availability_zone='',
            region='',
            link_address=f'{host}:{cfg.node.peer_ports[0]}',
            api_address='',
        )
        for host in sorted(hosts)
    ]


def _budget_options(cfg: EdgeSettings) -> BudgetOptions:
    return BudgetOptions(
        ratio=cfg.bounds.retry_ratio, slack=cfg.bounds.retry_slack
    )


def make_edge(cfg: EdgeSettings, *, path: str) -> Edge:
    """Build a node from its settings, inside a running event loop.

    Args:
        cfg: The settings.
        path: The file that they came from; it is read again when it changes.
    """
    rng = random.Random(f'{cfg.node.name}{os.getpid()}')
    return Edge(cfg, rng, path=path)


async def _serve(cfg: EdgeSettings, path: str) -> None:
    edge = make_edge(cfg, path=path)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, edge.begin_leaving)
    loop.add_signal_handler(signal.SIGHUP, lambda: log.info('settings changed'))
    await edge.run()


def main() -> int:
    """Run one node; the first argument is the settings file."""
    path = sys.argv[1] if len(sys.argv) > 1 else ''
    try:
        cfg = load_settings(path)
    except FindingsError as exc:
        for finding in exc.findings:
            sys.stderr.write(f'{finding}\n')
        return 2
    configure_edge_logs('info', node=cfg.node.name)
    asyncio.run(_serve(cfg, path))
    return 0


if __name__ == '__main__':
    sys.exit(main())
