"""Every node learns soon of a node that starts or dies, in a large fleet too.

The fleets run on virtual time, with the product's membership, its election of
relays and sources, and its probe period.
"""

import heapq
import itertools
import random

import pytest

from ibismount.member import Member
from ibismount.member_dissemination import RESEND_AFTER_S, MemberDissemination
from ibismount.membership import Membership
from ibismount.peers import PeerOptions
from ibismount.probe_messages import (
    Ack,
    MembersChanged,
    MemberStatus,
    Ping,
)
from ibismount.probe_socket import PROBE_OPTIONS, probe_period_s
from ibismount.source_election import SourceElection, rank_nodes

TICK_S = 0.1
NOW = 10
ZONES = 5
# Subscribers notice after this time that an upstream sends no heartbeats.
HEARTBEAT_AGE_S = PeerOptions().max_heartbeat_age_s
# Traffic starts this long after the VMs on the users' large site.
TRAFFIC_STARTS_S = 16
# A node that died must not be named to callers longer than this there: the
# contact time of 6 s, and 3 s more.
MAX_NAMED_S = 9


class Node:
    """One process: its membership, and its place among the links."""

    def __init__(self, member, seeds, rng):
        self.id = member.id
        self.zone = member.availability_zone
        self.membership = Membership(member, rng=rng, options=PROBE_OPTIONS)
        self.membership.add_seeds(seeds)
        self.dissemination = MemberDissemination(self.membership)
        self.election = SourceElection(member.id, 0)
        self.upstream_id = None

    def choose_upstream(self, silent_ids):
        members = {
            node_id: member
            for node_id, member in self.membership.live_members().items()
            if node_id not in silent_ids
        }
        ranked_ids = rank_nodes(
            {node_id: member.capacity for node_id, member in members.items()}
        )
        relay = self.election.select_relay(
            [
                node_id
                for node_id in ranked_ids
                if members[node_id].availability_zone == self.zone
            ]
        )
        sources = self.election.select_upstreams(ranked_ids)
        return relay or next(iter(sources), None)


class Fleet:
    """Nodes in zones; a probe in 500 is lost."""

    def __init__(self, count, *, links=True, seed=1):
        self.links = links
        self.rng = random.Random(seed)
        self.now = 0.0
        self.probes, self.order = [], itertools.count()
        self.probe_updates = []
        self.members = [self._make_member(number) for number in range(count)]
        self.starts_at = {
            member.id: self.rng.uniform(0.1, 1.5) for member in self.members
        }
        self.nodes = {}
        self.killed_at = {}

    def _make_member(self, number):
        node_id = f'10.{number % ZONES}.0.{number // ZONES}'
        # Each zone has one strong node.
        capacity = 2 if number < ZONES else self.rng.choice((0.5, 0.7))
        return Member(
            node_id,
            self.rng.getrandbits(60),
            f'zone-{number % ZONES}',
            'region',
            f'{node_id}:7740',
            f'{node_id}:80',
            capacity=capacity,
        )

    def run_until(self, end_at):
        while self.now < end_at:
            self.now = round(self.now + TICK_S, 1)
            self._start_nodes()
            self._deliver_probes()
            for node in list(self.nodes.values()):
                self._tick(node)

    def kill(self, node_id):
        self.starts_at[node_id] = float('inf')
        self.killed_at[node_id] = self.now
        del self.nodes[node_id]

    def nodes_that_name(self, node_id):
        """Return the nodes that would give callers the address of a node."""
        return [
            node.id
            for node in self.nodes.values()
            if node_id in node.membership.unsuspected_members()
        ]

    def mean_updates(self, since):
        counts = [count for at, count in self.probe_updates if at >= since]
        return sum(counts) / len(counts)

    def _start_nodes(self):
        for member in self.members:
            if member.id not in self.nodes and (
                self.now >= self.starts_at[member.id]
            ):
                rng = random.Random(member.id)
                node = Node(member, self.members[:3], rng)
                self.nodes[member.id] = node

    def _tick(self, node):
        membership = node.membership
        self._send(node.id, membership.tick(self.now))
        live = membership.live_ids(self.now)
        membership.set_period(probe_period_s(len(live)))
        if not self.links:
            return
        upstream_id = node.choose_upstream(
            {
                node_id
                for node_id, at in self.killed_at.items()
                if self.now - at > HEARTBEAT_AGE_S
            }
        )
        if upstream_id != node.upstream_id and upstream_id in self.nodes:
            node.upstream_id = upstream_id
            upstream = self.nodes[upstream_id]
            snapshot = upstream.dissemination.make_snapshot()
            node.dissemination.receive(self.now, snapshot)
            self._send(node.id, membership.make_pings(upstream_id))
        change, probes = node.dissemination.take_outgoing(
            self.now, node.upstream_id
        )
        self._send(node.id, probes)
        if change is not None:
            for subscriber in self.nodes.values():
                if subscriber.upstream_id == node.id:
                    subscriber.dissemination.receive(self.now, change)

    def _send(self, sender, envelopes):
        for to, message in envelopes:
            updates = getattr(message, 'updates', ())
            self.probe_updates.append((self.now, len(updates)))
            if self.rng.random() > 0.002:
                at = self.now + self.rng.uniform(0.001, 0.01)
                item = (at, next(self.order), sender, to, message)
                heapq.heappush(self.probes, item)

    def _deliver_probes(self):
        while self.probes and self.probes[0][0] <= self.now:
            at, _, sender, to, message = heapq.heappop(self.probes)
            if to in self.nodes:
                membership = self.nodes[to].membership
                self._send(to, membership.receive(at, sender, message))


def run_fleet(*, links):
    fleet = Fleet(195, links=links)
    fleet.run_until(TRAFFIC_STARTS_S)
    unknown = sum(
        len(fleet.nodes) - len(node.membership.live_members())
        for node in fleet.nodes.values()
    )
    killed = [fleet.members[number].id for number in (1, 60, 117)]
    for node_id in killed:
        fleet.kill(node_id)
    fleet.run_until(TRAFFIC_STARTS_S + MAX_NAMED_S)
    named_by = sum(len(fleet.nodes_that_name(node_id)) for node_id in killed)
    return fleet, unknown, named_by


def test_large_fleet_learns_of_starts_and_deaths_in_time():
    """Updates do not queue for half a minute behind those of the start."""
    fleet, unknown, named_by = run_fleet(links=True)
    assert unknown == 0
    assert named_by == 0
    # What the links have delivered is not repeated by every probe.
    assert fleet.mean_updates(since=fleet.now - 4) < 3


def test_large_fleet_learns_too_late_without_the_links():
    """The load of the test above is one that probes alone can't carry."""
    fleet, unknown, named_by = run_fleet(links=False)
    assert unknown > 0
    assert named_by > 0
    assert fleet.mean_updates(since=fleet.now - 4) > 7


def test_update_spreads_by_probes_while_no_link_returns_it():
    """A node whose upstream was lost with its update still spreads it."""
    rng = random.Random(1)
    members = [Member(f'n{number}', 1, 'z', 'r', '', '') for number in range(3)]
    node = Node(members[0], members, rng)
    found = MemberStatus(members[1], 'dead', 0)
    node.membership.receive(1, 'n2', Ack(0, 'n2', (found,)))
    change, probes = node.dissemination.take_outgoing(NOW, 'n2')
    assert change == MembersChanged((found,))
    assert found in probes[0].message.updates

    def probe_updates(now):
        answers = node.membership.receive(now, 'n2', Ping(0, ()))
        return answers[0].message.updates

    assert found in probe_updates(2)
    node.dissemination.receive(3, MembersChanged((found,)))
    assert found not in probe_updates(4)


def test_upstream_is_told_again_until_an_update_comes_back():
    """A lost refutation would let a node that lives be taken for dead."""
    rng = random.Random(1)
    members = [Member(f'n{number}', 1, 'z', 'r', '', '') for number in range(3)]
    node = Node(members[0], members, rng)
    found = MemberStatus(members[1], 'suspect', 0)
    node.membership.receive(NOW, 'n2', Ack(0, 'n2', (found,)))
    node.dissemination.take_outgoing(NOW, 'n2')
    assert node.dissemination.take_outgoing(NOW + 0.1, 'n2') == (None, [])
    later = NOW + RESEND_AFTER_S
    change, probes = node.dissemination.take_outgoing(later, 'n2')
    assert change is None
    assert found in probes[0].message.updates
    node.dissemination.receive(later, MembersChanged((found,)))
    later += RESEND_AFTER_S
    assert node.dissemination.take_outgoing(later, 'n2') == (None, [])


def test_update_from_a_link_is_passed_on_once():
    """Two sources that learn from each other do not echo an update forever."""
    rng = random.Random(1)
    members = [Member(f'n{number}', 1, 'z', 'r', '', '') for number in range(3)]
    node = Node(members[0], members, rng)
    change = MembersChanged((MemberStatus(members[1], 'dead', 0),))
    node.dissemination.receive(1, change)
    assert node.dissemination.take_outgoing(NOW, 'n2') == (change, [])
    node.dissemination.receive(2, change)
    assert node.dissemination.take_outgoing(NOW, 'n2') == (None, [])


@pytest.mark.parametrize('status', ['dead', 'left'])
def test_restarted_node_refutes_what_a_link_says_of_its_last_life(status):
    """A node that came back is not withheld from callers as dead."""
    rng = random.Random(1)
    members = [Member(f'n{number}', 2, 'z', 'r', '', '') for number in range(3)]
    node = Node(members[0], members, rng)
    former = Member('n0', 1, 'z', 'r', '', '')
    node.dissemination.receive(
        1, MembersChanged((MemberStatus(former, status, 4),))
    )
    change, probes = node.dissemination.take_outgoing(NOW, 'n2')
    (refutation,) = change.updates
    assert (refutation.member, refutation.status) == (members[0], 'alive')
    assert refutation.sequence > 4
    assert refutation in probes[0].message.updates
