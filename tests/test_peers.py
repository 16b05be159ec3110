"""Changes reach every node, but cross each availability zone's border once."""

import asyncio
import itertools
import os
import random
import socket

import pytest

from ibismount import node_ranking, source_election
from ibismount.crash_guard import make_quarantine
from ibismount.fleet_state import FleetState, ServersListed
from ibismount.member import Member
from ibismount.peer_frames import FrameReader, encode_frame
from ibismount.peers import Peers
from ibismount.quarantine import RunMode
from ibismount.quarantine_sharing import QuarantineSharing
from ibismount.routes import Route, RouteTable, WeightedService
from ibismount.server_table import Server
from ibismount.shared_state import SharedStates
from ibismount.source_election import rank_nodes
from ibismount.zone_traffic import ZoneTraffic

# Test processes run side by side, each on loopback addresses of its own.
NETWORK = f'127.{180 + os.getpid() % 60}.{os.getpid() // 60 % 250}'
HOSTS = itertools.count(1)
# Time in which a version is in force at all nodes.
CONFIG_APPLY_S = 3.0
# Capacity of each node; the strongest two are the sources.
NODES = {
    'a0': 4.0,
    'a1': 1.0,
    'a2': 1.0,
    'b0': 3.5,
    'b1': 1.0,
    'b2': 1.0,
    'c0': 2.0,
    'c1': 1.0,
    'c2': 1.0,
}


class FakeFeed:
    """Follows a store that has nothing new."""

    def __init__(self):
        self.running = False
        self.reachable = True
        self.last_contact_at = 0

    @property
    def current(self):
        if self.reachable:
            self.last_contact_at = asyncio.get_running_loop().time()
        return self.running and self.reachable

    def start(self):
        self.running = True

    def stop(self):
        self.running = False


def make_member(name, host, capacity):
    return Member(
        host,
        1,
        f'zone-{name[0]}',
        'r',
        f'{host}:7740',
        f'{host}:80',
        capacity=capacity,
    )


class Fleet:
    """Nodes in three zones, each on a loopback address of its own."""

    def __init__(self, nodes=NODES):
        self.members = {
            name: make_member(name, f'{NETWORK}.{next(HOSTS)}', capacity)
            for name, capacity in nodes.items()
        }
        self.views = {}
        self.peers = {}
        self.traffic = {}
        self.quarantines = {}

    async def start(self, *names):
        """Start nodes, and wait until they know each other."""
        for name in names or self.members:
            await self._start_node(name)
        await asyncio.sleep(3)

    async def _start_node(self, name, *, confirmed=True, first_start=True):
        loop = asyncio.get_running_loop()
        member = self.members[name]
        traffic = ZoneTraffic(member.availability_zone)
        view = FleetState(
            loop.time,
            lambda change: self.peers[name].broadcast_change(change),
            confirmed=confirmed,
        )
        quarantine = make_quarantine()
        seeds = [seed for seed in self.members.values() if seed.id != member.id]
        peers = Peers(
            member,
            seeds,
            fleet=view,
            feed=FakeFeed(),
            rng=random.Random(name),
            traffic=traffic,
            shared=SharedStates([QuarantineSharing(quarantine)]),
            first_start=first_start,
        )
        self.views[name] = view
        self.peers[name] = peers
        self.traffic[name] = traffic
        self.quarantines[name] = quarantine
        await peers.start()

    def bytes_between_zones(self):
        return sum(
            traffic.bytes_by_cause().get(('view', 'other'), 0)
            for traffic in self.traffic.values()
        )

    def freeze(self, name):
        """Let a node send nothing more; its links stay open."""
        peers = self.peers[name]
        peers._tick_timer.cancel()
        peers._socket.datagram_received = lambda data, address: None
        for subscriber in peers.subscribers:
            subscriber.send = lambda raw: None
        peers.send_to_changes_subscribers = lambda raw: None
        peers.broadcast_change = lambda change: None

    async def stop(self):
        for peers in self.peers.values():
            peers._tick_timer.cancel()
            peers._server.close()
            peers._socket._transport.close()
            for link in peers._links.values():
                link.close()
        await asyncio.sleep(0.05)


def make_route_table(version):
    """Return a version that hardly shrinks when compressed."""
    rng = random.Random(version)
    routes = tuple(
        Route(
            f'r{rng.getrandbits(64):x}',
            f'{rng.getrandbits(64):x}.example',
            f'/{rng.getrandbits(64):x}/',
            True,
            1,
            0.1,
            max_runs=2,
            services=(WeightedService('desk'),),
        )
        for _ in range(300)
    )
    return RouteTable(version, routes)


def run_test(main):
    async def run():
        fleet = Fleet()
        try:
            await main(fleet)
        finally:
            await fleet.stop()

    asyncio.run(asyncio.wait_for(run(), 30))


def versions(fleet):
    return {
        name: view.route_table.version for name, view in fleet.views.items()
    }


def test_change_crosses_zones_once_for_each_zone():
    """Two sources sent each change to all nodes: 312 copies for 195 nodes."""

    async def main(fleet):
        await fleet.start()
        before = fleet.bytes_between_zones()
        change = make_route_table(7)
        fleet.views['a0'].apply(change)
        await asyncio.sleep(1)
        assert set(versions(fleet).values()) == {7}
        crossed = fleet.bytes_between_zones() - before
        # One copy for each other zone, and one between the two sources.
        assert crossed < 3.5 * len(encode_frame(change))

    run_test(main)


@pytest.mark.parametrize('silent', ['c0', 'a0'])
def test_change_passes_a_node_that_does_not_forward_it(silent):
    """A frozen or cut-off relay, or source, must not hold a change back."""

    async def main(fleet):
        await fleet.start()
        fleet.peers[silent].broadcast_change = lambda change: None
        origin = 'a0' if silent == 'c0' else 'b0'
        fleet.views[origin].apply(make_route_table(7))
        await asyncio.sleep(2)
        others = {
            name: version
            for name, version in versions(fleet).items()
            if name != silent
        }
        assert set(others.values()) == {7}

    run_test(main)


def test_zones_learn_from_others_while_their_relay_is_a_frozen_source():
    """Nodes waited until each of them followed the store itself."""

    async def main(fleet):
        await fleet.start()
        for name in ('a0', 'b0'):
            fleet.freeze(name)
        await asyncio.sleep(0.1)
        fleet.views['a1'].apply(make_route_table(7))
        fleet.peers['a1']._feed.start()
        await asyncio.sleep(CONFIG_APPLY_S)
        others = {
            name: version
            for name, version in versions(fleet).items()
            if name not in {'a0', 'b0'}
        }
        assert set(others.values()) == {7}

    run_test(main)


def test_node_that_starts_late_gets_the_whole_view():
    """A restarted node served nothing until the next change."""

    async def main(fleet):
        await fleet.start(*(name for name in NODES if name != 'c2'))
        server = Server('i-1', 'desk', 'h', 1, 'zone-a', 4, revision=3)
        fleet.views['a0'].apply(ServersListed((server,), 5))
        fleet.views['a0'].apply(make_route_table(7))
        await asyncio.sleep(1)
        await fleet._start_node('c2')
        await asyncio.sleep(1.5)
        assert fleet.views['c2'].ready

    run_test(main)


def test_subscriber_that_says_nothing_gets_all_changes():
    """Nodes of the build before this one do not say what they want."""

    async def main(fleet):
        await fleet.start('a0', 'a1')
        fleet.views['a0'].apply(make_route_table(7))
        host = fleet.members['a0'].id
        reader, writer = await asyncio.open_connection(host, 7740)
        await asyncio.sleep(0.5)
        fleet.views['a0'].apply(make_route_table(8))
        await asyncio.sleep(0.2)
        frames = FrameReader().feed(await reader.read(1_000_000))
        received = [
            frame.version for frame in frames if isinstance(frame, RouteTable)
        ]
        assert received == [7, 8]
        writer.close()

    run_test(main)


@pytest.mark.parametrize('noise', [b'x', b'GET / HTTP/1.1\r\n\r\n'])
def test_other_bytes_from_a_subscriber_close_the_link(noise):
    """A stray client must not stay subscribed."""

    async def main(fleet):
        await fleet.start('a0')
        host = fleet.members['a0'].id
        reader, writer = await asyncio.open_connection(host, 7740)
        writer.write(noise)
        with pytest.raises(ConnectionError):
            while await reader.read(1000):
                continue
            raise ConnectionResetError
        assert not fleet.peers['a0'].subscribers

    run_test(main)


def test_sources_cut_from_the_store_learn_from_other_nodes():
    """The store turned away both sources and served the other nodes.

    These followed the store themselves, and the sources and all nodes that
    were turned away kept an old version for ten seconds.
    """

    async def main(fleet):
        cut = {'a0', 'b0', 'c0', 'a1'}
        await fleet.start()
        for name in cut:
            fleet.peers[name]._feed.reachable = False
        await asyncio.sleep(3)
        reached = [
            name
            for name, peers in fleet.peers.items()
            if name not in cut and peers._feed.running
        ]
        assert reached, 'some node has taken over'
        fleet.views[reached[0]].apply(make_route_table(7))
        await asyncio.sleep(2.5)
        assert set(versions(fleet).values()) == {7}

    run_test(main)


def test_links_to_further_nodes_end_when_the_sources_are_back():
    """Links that are kept would grow with each outage."""

    async def main(fleet):
        await fleet.start()
        for peers in fleet.peers.values():
            peers._feed.reachable = False
        await asyncio.sleep(2.5)
        assert len(fleet.peers['a0']._links) > 3
        # Zones without a relay's work need no further links.
        assert len(fleet.peers['c1']._links) <= 3
        for peers in fleet.peers.values():
            peers._feed.reachable = True
        await asyncio.sleep(1.5)
        assert all(len(peers._links) <= 3 for peers in fleet.peers.values())

    run_test(main)


def make_old_view(fleet):
    server = Server('i-1', 'desk', 'h', 1, 'zone-a', 4, revision=3)
    fleet.views['a0'].apply(ServersListed((server,), 5))
    fleet.views['a0'].apply(make_route_table(7))


def test_restarted_node_waits_for_a_view_that_is_up_to_date():
    """A server that had left was in use again after a restart.

    All peers are cut off from the store, so their view may be old.
    """

    async def main(fleet):
        await fleet.start(*(name for name in NODES if name != 'c2'))
        make_old_view(fleet)
        await asyncio.sleep(0.5)
        for peers in fleet.peers.values():
            peers._feed.reachable = False
        await asyncio.sleep(2.5)
        await fleet._start_node('c2', confirmed=False)
        fleet.peers['c2']._feed.reachable = False
        view = fleet.views['c2']
        await asyncio.sleep(1)
        assert view.has_view
        assert not view.ready
        fleet.peers['a0']._feed.reachable = True
        fleet.views['a0'].apply(ServersListed((), 9))
        fleet.peers['a0'].announce_current()
        await asyncio.sleep(0.5)
        assert view.ready
        assert not view.servers.all_servers()

    run_test(main)


def test_restarted_node_serves_while_the_store_is_down():
    """No peer can confirm a view then; the service must go on."""

    async def main(fleet):
        await fleet.start('a0', 'b0', 'c0')
        make_old_view(fleet)
        for peers in fleet.peers.values():
            peers._feed.reachable = False
        await asyncio.sleep(2.5)
        await fleet._start_node('c2', confirmed=False)
        fleet.peers['c2']._feed.reachable = False
        await asyncio.sleep(3)
        assert fleet.views['c2'].ready

    run_test(main)


@pytest.mark.parametrize('first_start', [True, False])
def test_restarted_node_reads_the_store_without_its_seeds(first_start):
    """Strong nodes waited 0.45 s for seeds that had no power yet.

    When the whole fleet starts for the first time, no caller waits.
    """

    async def main(fleet):
        await fleet._start_node('c2', confirmed=False, first_start=first_start)
        await asyncio.sleep(0.3)
        assert fleet.peers['c2']._feed.running is not first_start

    run_test(main)


def test_restarted_node_leaves_the_store_to_its_peers():
    """Every node that watches the store costs money."""

    async def main(fleet):
        await fleet.start('a0', 'b0')
        make_old_view(fleet)
        await fleet._start_node('c2', confirmed=False, first_start=False)
        await asyncio.sleep(1)
        assert fleet.views['c2'].ready
        assert not fleet.peers['c2']._feed.running

    run_test(main)


def test_node_that_starts_before_its_seeds_tries_again_soon():
    """Nodes waited 0.65 s for seeds that got power back after 0.1 s.

    The seed's listener has a full queue, so it answers no handshake.
    """

    async def main(fleet):
        host = fleet.members['a0'].id
        queue = socket.create_server((host, 7740), backlog=0)
        blockers = [socket.socket() for _ in range(8)]
        for blocker in blockers:
            blocker.setblocking(False)
            blocker.connect_ex((host, 7740))
        attempts = []
        await fleet._start_node('c2', confirmed=False)
        connect = fleet.peers['c2']._connect

        def count_attempt(node_id):
            attempts.append(node_id)
            return connect(node_id)

        fleet.peers['c2']._connect = count_attempt
        await asyncio.sleep(0.65)
        assert attempts.count(host) >= 2
        for sock in (queue, *blockers):
            sock.close()

    run_test(main)


def test_nodes_are_not_ranked_again_while_none_changes(monkeypatch):
    """In a fleet of 300 nodes, ranking them in each tick took most of the CPU."""

    async def scenario():
        fleet = Fleet()
        await fleet.start()
        rankings = []

        def record_ranking(capacities):
            rankings.append(capacities)
            return rank_nodes(capacities)

        for module in (source_election, node_ranking):
            monkeypatch.setattr(module, 'rank_nodes', record_ranking)
        await asyncio.sleep(1)
        unchanged = len(rankings)
        fleet.peers['c2'].leave()
        await asyncio.sleep(1)
        await fleet.stop()
        return unchanged, len(rankings)

    unchanged, changed = asyncio.run(scenario())
    assert unchanged == 0
    assert changed > 0


def test_nodes_of_a_zone_withhold_their_relay_as_soon_as_it_leaves():
    """Callers that are sent to a leaving node find it closed seconds later.

    Its own probes reach eight nodes at once.
    """
    weak_nodes = {f'c{number}': 1.0 for number in range(3, 13)}

    async def scenario():
        fleet = Fleet(NODES | weak_nodes)
        await fleet.start()
        relay = fleet.members['c0'].id
        fleet.peers['c0'].leave()
        # Far less than the 3.2 s after which it closes idle connections.
        await asyncio.sleep(0.3)
        naming = [
            name
            for name, peers in fleet.peers.items()
            if any(member.id == relay for member in peers.unsuspected_members())
        ]
        await fleet.stop()
        return naming

    assert asyncio.run(scenario()) == []


def run_modes(fleet, fingerprint='f'):
    now = asyncio.get_running_loop().time()
    return {
        name: quarantine.run_mode(now, fingerprint)
        for name, quarantine in fleet.quarantines.items()
    }


def test_crashes_seen_by_single_nodes_quarantine_at_every_node():
    """Each node saw one server end and sent the request again."""

    async def main(fleet):
        loop = asyncio.get_running_loop()
        await fleet.start()
        fleet.quarantines['b2'].record_loss(
            loop.time(), 's0/a', {'f': loop.time()}
        )
        await asyncio.sleep(1.3)
        assert set(run_modes(fleet).values()) == {RunMode.CANARY}
        fleet.quarantines['c1'].record_loss(
            loop.time(), 's0/b', {'f': loop.time()}
        )
        await asyncio.sleep(1)
        assert set(run_modes(fleet).values()) == {RunMode.REFUSED}
        assert set(run_modes(fleet, 'g').values()) == {RunMode.NORMAL}

    run_test(main)


def test_answer_at_one_node_clears_a_suspect_request_at_every_node():
    """A good request stayed suspect at nodes that did not see its answer."""

    async def main(fleet):
        loop = asyncio.get_running_loop()
        await fleet.start()
        fleet.quarantines['b2'].record_loss(
            loop.time(), 's0/a', {'f': loop.time()}
        )
        await asyncio.sleep(1)
        assert set(run_modes(fleet).values()) == {RunMode.CANARY}
        fleet.quarantines['a1'].record_answer(loop.time(), 'f')
        await asyncio.sleep(1)
        assert set(run_modes(fleet).values()) == {RunMode.NORMAL}

    run_test(main)


def test_node_that_starts_late_knows_the_quarantined_requests():
    """A restarted node let a request through that all others refused."""

    async def main(fleet):
        loop = asyncio.get_running_loop()
        await fleet.start(*(name for name in NODES if name != 'c2'))
        for server in ('s0/a', 's0/b'):
            fleet.quarantines['b2'].record_loss(
                loop.time(), server, {'f': loop.time()}
            )
            await asyncio.sleep(1.3)
        await fleet._start_node('c2')
        await asyncio.sleep(1)
        assert run_modes(fleet)['c2'] is RunMode.REFUSED

    run_test(main)


def test_losses_found_without_a_link_are_told_when_it_begins():
    """What a node finds out while it is cut off must not be lost."""

    async def main(fleet):
        loop = asyncio.get_running_loop()
        await fleet.start('a0', 'b0')
        await fleet._start_node('c2')
        fleet.quarantines['c2'].record_loss(
            loop.time(), 's0/a', {'f': loop.time()}
        )
        fleet.peers['c2']._tick(loop.time())
        await asyncio.sleep(2)
        assert set(run_modes(fleet).values()) == {RunMode.CANARY}

    run_test(main)
