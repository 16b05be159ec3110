"""The edge program of each entry VM: ``python -m ibismount.edge``."""

import signal

if __name__ == '__main__':
    # The imports take longest at the start. SIGHUP would end the process by its
    # default action until the event loop handles it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio
import os
import random
import sys
import time

from ibismount.advertised_nodes import (
    find_server_zones,
    select_advertised_nodes,
)
from ibismount.change_feed import ChangeFeed
from ibismount.crash_guard import make_quarantine
from ibismount.edge_dispatch import EdgeDispatch
from ibismount.edge_endpoints import ServingEndpoint, StatusEndpoint
from ibismount.edge_logs import configure_edge_logs
from ibismount.edge_settings import (
    EdgeSettings,
    changed_fields,
    load_settings,
)
from ibismount.errors import FindingsError
from ibismount.extra_request_budget import BudgetOptions, ExtraRequestBudget
from ibismount.fleet_state import FleetChange, FleetState
from ibismount.listener import Listener, open_listener
from ibismount.logs import part_logger
from ibismount.member import Member
from ibismount.node_share import NodeShare, NodeShareCalculator
from ibismount.peers import Peers
from ibismount.placement import Placement
from ibismount.platform.quarantine_entries import PlatformQuarantineStore
from ibismount.platform.store import StoreClient
from ibismount.platform.store_reader import PlatformStoreReader
from ibismount.platform.wire import PlatformWireFormat
from ibismount.quarantine_backup import QuarantineBackup
from ibismount.quarantine_sharing import QuarantineSharing
from ibismount.routes import RouteTable
from ibismount.server_connection_pool import ServerConnectionPool
from ibismount.server_limit_sharing import ServerLimitSharing
from ibismount.server_limits import ServerLimits
from ibismount.server_permits import make_server_permits
from ibismount.shared_state import SharedStates
from ibismount.zone_traffic import ZoneTraffic

__all__ = ('Edge', 'main', 'make_edge')

log = part_logger('edge')

MAX_ADDRESSES = 64  # addresses in one answer
# Share of the grace period after which a leaving node exits by itself.
GRACE_SHARE = 0.85
# Time after which a leaving node closes idle connections, in seconds: by then,
# callers have fetched an address list without it.
IDLE_CLOSE_DELAY_S = 3.2
# Time that requests under way get after the node has stopped listening, in
# seconds. It must fit into the rest of the grace period.
LAST_ANSWERS_S = 0.25
# Time to send the last answers, in seconds.
FLUSH_S = 0.1


class Edge:
    """One node: its state, its dispatch and its listeners."""

    def __init__(
        self, cfg: EdgeSettings, rng: random.Random, *, path: str
    ) -> None:
        """Build the components; ``run`` starts them."""
        self.cfg = cfg
        self._settings_path = path
        self._settings_mtime_ns = os.stat(path).st_mtime_ns
        self._rng = rng
        self.leaving = False
        self.wire = PlatformWireFormat()
        loop = asyncio.get_running_loop()
        self.fleet = FleetState(
            loop.time,
            self._on_change,
            confirmed=False,
            on_confirmed=self._announce,
        )
        host, _, port = cfg.store.address.rpartition(':')
        self.store = StoreClient(host, int(port))
        self.feed = ChangeFeed(
            PlatformStoreReader(self.store),
            self.fleet.apply,
            now=loop.time,
            rng=rng,
            on_current=lambda: self.peers.announce_current(),
            on_start=lambda: self.quarantine_backup.wake(),
        )
        traffic = ZoneTraffic(cfg.node.zone)
        own = _own_member(cfg)
        quarantine = make_quarantine(self._on_quarantine_news)
        self.quarantine_backup = QuarantineBackup(
            quarantine,
            PlatformQuarantineStore(self.store),
            follows_store=lambda: self.feed.running,
            now=loop.time,
            rng=rng,
        )
        limits = ServerLimits()
        self.peers = Peers(
            own,
            _seed_members(cfg, own),
            fleet=self.fleet,
            feed=self.feed,
            rng=rng,
            traffic=traffic,
            shared=SharedStates(
                [QuarantineSharing(quarantine), ServerLimitSharing(limits)]
            ),
            is_seed=any(
                seed.startswith(f'{own.id}:') for seed in cfg.node.seeds
            ),
            first_start=cfg.node.first_start,
        )
        self._advertised: list[Member] = []
        # Change counts of nodes and view that the choice was made for.
        self._advertised_basis: tuple[int, int, bool] | None = None
        self._share_calculator = NodeShareCalculator(loop.time())
        self._node_share = self._share_calculator.compute(
            loop.time(),
            advertised=0,
            advertised_in_zone=0,
            is_advertised=False,
            peak_live=1,
        )
        self.pool = ServerConnectionPool()
        self.dispatch = EdgeDispatch(
            fleet=self.fleet,
            placement=Placement(cfg.node.zone, rng),
            pool=self.pool,
            budget=ExtraRequestBudget(
                _budget_options(cfg),
                self.budget_fraction,
                now=loop.time,
            ),
            wire=self.wire,
            rng=rng,
            node_share=self.node_share,
            permits=make_server_permits(
                cfg.node.ip, fleet=self.fleet, limits=limits, now=loop.time
            ),
            quarantine=quarantine,
            traffic=traffic,
        )
        self.dispatch.metrics.add_gauges(self.feed.gauges)
        self._serving_endpoint = ServingEndpoint(self)
        self._status_endpoint = StatusEndpoint(self)
        self._listeners: list[Listener] = []
        self._stopped = asyncio.Event()

    @property
    def serving(self) -> bool:
        """Return whether the node takes requests."""
        return self.fleet.ready and not self.leaving

    def node_share(self) -> NodeShare:
        """Return this node's share of the limits of the fleet."""
        return self._node_share

    def budget_fraction(self) -> float:
        """Return this node's share of a budget of the fleet."""
        return self._node_share.budget_fraction

    def _update_advertised(self) -> None:
        """Update the advertised nodes and this node's share of the limits.

        Both are read at each request, so they are computed only here and not
        on demand.
        """
        self._select_advertised()
        own_id = self.cfg.node.ip
        self._node_share = self._share_calculator.compute(
            asyncio.get_running_loop().time(),
            advertised=len(self._advertised),
            advertised_in_zone=sum(
                member.availability_zone == self.cfg.node.zone
                for member in self._advertised
            ),
            is_advertised=any(
                member.id == own_id for member in self._advertised
            ),
            peak_live=self.peers.peak_live_count(),
        )
        self.dispatch.permits.set_nodes(
            [member.id for member in self._advertised]
        )

    def _select_advertised(self) -> None:
        """Choose the advertised nodes again if what decides it has changed."""
        basis = (
            self.peers.change_count,
            self.fleet.change_count,
            self.serving,
        )
        if basis == self._advertised_basis:
            return
        self._advertised_basis = basis
        members = self.peers.unsuspected_members()
        if not self.serving:
            # Peers may still report this node as serving.
            own_id = self.cfg.node.ip
            members = [member for member in members if member.id != own_id]
        self._advertised = select_advertised_nodes(
            members, find_server_zones(self.fleet.count_servers_by_zone())
        )

    def addresses(self) -> list[str]:
        """Return addresses of advertised nodes, at most ``MAX_ADDRESSES``."""
        addresses = [member.api_address for member in self._advertised]
        if len(addresses) > MAX_ADDRESSES:
            addresses = self._rng.sample(addresses, MAX_ADDRESSES)
        return addresses

    async def run(self) -> None:
        """Serve until the node has left after a signal."""
        listen = self.cfg.listen
        self._listeners.append(
            await open_listener(listen.callers, self._serving_endpoint)
        )
        status_addresses = (listen.directory, listen.readiness, listen.metrics)
        for address in filter(None, status_addresses):
            self._listeners.append(
                await open_listener(address, self._status_endpoint)
            )
        await self.peers.start()
        tasks = [
            asyncio.create_task(self._run_housekeeping()),
            asyncio.create_task(self.quarantine_backup.run()),
        ]
        log.info('started', extra={'node': self.cfg.node.name})
        await self._stopped.wait()
        for task in tasks:
            task.cancel()
        self.feed.stop()
        log.info('stopped', extra={'store_calls': self.store.call_count})

    def reload(self) -> None:
        """Read the settings file again; keep the settings if it is invalid."""
        try:
            cfg = load_settings(self._settings_path)
        except FindingsError as exc:
            log.warning(
                'settings file rejected, the settings in force stay',
                extra={'reason': str(exc)},
            )
            return
        changed = changed_fields(self.cfg, cfg)
        log.info('settings read again', extra={'changed': changed})
        if not changed:
            return
        fixed_fields = [
            name for name in changed if name.startswith(_FIXED_SETTINGS)
        ]
        if fixed_fields:
            # Addresses and identity are fixed for the life of a process.
            log.warning(
                'changed settings need a restart',
                extra={'fields': fixed_fields},
            )
        self.cfg.bounds = cfg.bounds
        self.cfg.node.seeds = cfg.node.seeds
        self.dispatch.budget.set_options(_budget_options(cfg))
        self.peers.add_seeds(_seed_members(cfg, _own_member(cfg)))

    def _reload_if_changed(self) -> None:
        """Reload the settings file if its modification time changed."""
        try:
            mtime_ns = os.stat(self._settings_path).st_mtime_ns
        except OSError as exc:
            log.warning(
                'settings file is unreadable', extra={'reason': str(exc)}
            )
            return
        if mtime_ns != self._settings_mtime_ns:
            self._settings_mtime_ns = mtime_ns
            self.reload()

    def begin_leaving(self) -> None:
        """Stop being advertised, finish requests under way, then exit."""
        if self.leaving:
            return
        self.leaving = True
        self.peers.leave()
        self._update_advertised()
        log.info('leaving', extra={'under_way': len(self.dispatch.jobs)})
        self._drain_task = asyncio.create_task(self._drain())

    def _on_change(self, change: FleetChange) -> None:
        self.peers.broadcast_change(change)
        self._announce()
        if isinstance(change, RouteTable):
            log.info('routes in force', extra={'version': change.version})

    def _on_quarantine_news(self) -> None:
        self.peers.share_soon()
        self.quarantine_backup.wake()

    def _announce(self) -> None:
        if self.serving:
            self.peers.set_api_address(self.cfg.listen.callers)
        self._update_advertised()

    async def _drain(self) -> None:
        loop = asyncio.get_running_loop()
        end_at = loop.time() + self.cfg.bounds.grace_s * GRACE_SHARE
        await asyncio.sleep(min(IDLE_CLOSE_DELAY_S, end_at - loop.time()))
        while loop.time() < end_at and self._close_idle_connections():
            await asyncio.sleep(_DRAIN_POLL_S)
        for listener in self._listeners:
            await listener.close()
        # Requests that have just arrived are refused, and those under way get
        # a last moment: every caller is answered before the process ends.
        self.dispatch.refuse_new()
        close_at = loop.time() + LAST_ANSWERS_S
        while loop.time() < close_at and self._close_idle_connections():
            await asyncio.sleep(_LAST_ANSWERS_POLL_S)
        self.dispatch.end_all()
        await asyncio.sleep(FLUSH_S)
        self._stopped.set()

    def _close_idle_connections(self) -> int:
        """Close idle connections; return the number of those in use."""
        connections = self._serving_endpoint.connections
        for conn in list(connections):
            if conn.idle:
                conn.close()
        return sum(not conn.closed for conn in connections)

    async def _run_housekeeping(self) -> None:
        loop = asyncio.get_running_loop()
        settings_check_at = loop.time()
        while True:
            await asyncio.sleep(_HOUSEKEEPING_S)
            if loop.time() >= settings_check_at:
                settings_check_at = loop.time() + _SETTINGS_CHECK_S
                self._reload_if_changed()
                self.dispatch.prune_removed()
                # Entries that have expired are removed.
                self.quarantine_backup.wake()
            self._announce()
            for server in self.fleet.expire():
                log.info('server gone', extra={'server': server.id})


# How often a leaving node looks for idle connections, in seconds, before and
# after it has stopped listening.
_DRAIN_POLL_S = 0.1
_LAST_ANSWERS_POLL_S = 0.02
# How often the settings file is checked for a change, in seconds: it may change
# without a signal.
_SETTINGS_CHECK_S = 2.0
# Settings that change only with a restart.
_FIXED_SETTINGS = ('listen.', 'store.', 'node.name', 'node.ip', 'node.zone')
# How often advertised nodes are updated and delayed removals are carried out, in
# seconds.
_HOUSEKEEPING_S = 0.25


def _own_member(cfg: EdgeSettings) -> Member:
    # The id is the IP address: a restarted VM keeps it, and the settings list
    # seeds by it.
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
        path: The settings file; it is read again when it changes.
    """
    rng = random.Random(f'{cfg.node.name}{os.getpid()}')
    return Edge(cfg, rng, path=path)


async def _serve(cfg: EdgeSettings, path: str) -> None:
    edge = make_edge(cfg, path=path)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, edge.begin_leaving)
    loop.add_signal_handler(signal.SIGHUP, lambda: log.info('SIGHUP received'))
    await edge.run()


USAGE = """\
usage: python -m ibismount.edge [--check] SETTINGS

Run one node until SIGTERM. SETTINGS is the file with its settings; it is read
again when it changes.

options:
  -h, --help  show this help and exit
  --check     check the settings, print what is wrong with them, and exit
"""


def main() -> int:
    """Run one node, or check its settings; see ``USAGE``."""
    options, paths = _split_arguments(sys.argv[1:])
    if options & {'-h', '--help'}:
        sys.stdout.write(USAGE)
        return 0
    if len(paths) != 1 or options - {'--check'}:
        sys.stderr.write(USAGE)
        return 2
    path = paths[0]
    try:
        cfg = load_settings(path)
    except FindingsError as exc:
        for finding in exc.findings:
            sys.stderr.write(f'{finding}\n')
        return 2
    if options:
        sys.stdout.write(f'{path}: no findings\n')
        return 0
    configure_edge_logs('info', node=cfg.node.name)
    asyncio.run(_serve(cfg, path))
    return 0


def _split_arguments(arguments: list[str]) -> tuple[set[str], list[str]]:
    """Return the options and the paths among the arguments."""
    options = {argument for argument in arguments if argument.startswith('-')}
    return options, [path for path in arguments if path not in options]


if __name__ == '__main__':
    sys.exit(main())
