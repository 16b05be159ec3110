"""Tests of membership on a simulated network with losses and pauses."""

import dataclasses
import heapq
import itertools
import random

from ibismount.membership import Membership, MembershipOptions
from ibismount.messages import MemberStatus, Ping
from ibismount.roster import Member, Roster

TICK_S = 0.1


class SimulatedNetwork:
    """Deliver messages after a delay, except those that ``is_lost`` selects."""

    def __init__(self, count, *, seed=1, options=MembershipOptions()):
        self.seed, self.options = seed, options
        self.rng = random.Random(seed)
        self.now, self.queue, self.message_ids = 0.0, [], itertools.count()
        self.paused, self.is_lost, self.sent = (
            set(),
            lambda source, target: False,
            [],
        )
        self.members = {
            f'n{number:03}': Member(
                f'n{number:03}', number + 1, f'z{number % 3}', 'r', '', ''
            )
            for number in range(count)
        }
        self.nodes = {}
        for member in self.members.values():
            self.start(member)

    def start(self, member):
        rng = random.Random(f'{self.seed}{member.id}')
        node = Membership(member, rng=rng, options=self.options)
        node.add_seeds(self.members.values())
        self.nodes[member.id] = node

    def send(self, sender, envelopes):
        for to, message in envelopes:
            self.sent.append((sender, message))
            if not self.is_lost(sender, to):
                delivered_at = self.now + self.rng.uniform(0.0005, 0.02)
                item = (
                    delivered_at,
                    next(self.message_ids),
                    sender,
                    to,
                    message,
                )
                heapq.heappush(self.queue, item)

    def run(self, duration_s):
        end_at = self.now + duration_s
        while self.now < end_at:
            self.now += TICK_S
            deferred = []
            while self.queue and self.queue[0][0] <= self.now:
                item = heapq.heappop(self.queue)
                delivered_at, _, sender, to, message = item
                if to in self.paused:
                    deferred.append(item)
                else:
                    envelopes = self.nodes[to].receive(
                        delivered_at, sender, message
                    )
                    self.send(to, envelopes)
            for item in deferred:
                heapq.heappush(self.queue, item)
            for node_id, node in self.nodes.items():
                if node_id not in self.paused:
                    self.send(node_id, node.tick(self.now))

    def dead_views(self):
        """Return (observer, node) for each node that an observer finds dead."""
        return {
            (observer, node_id)
            for observer, node in self.nodes.items()
            if observer not in self.paused
            for node_id in self.members.keys() - node.live_ids(self.now)
        }

    def roster(self):
        return Roster(1, self.members)


def test_dead_node_is_detected_by_all_and_becomes_a_removal_candidate():
    """A lost VM must not keep its shares for ever."""
    net = SimulatedNetwork(24)
    net.run(5)
    net.paused.add('n005')
    net.run(14)
    observers = net.nodes.keys() - {'n005'}
    assert net.dead_views() == {(observer, 'n005') for observer in observers}
    node = net.nodes['n000']
    dead_since = node.dead_since('n005')
    too_early, due = dead_since + 9.9, dead_since + 10.1
    assert node.removal_candidates(too_early, net.roster()) == []
    assert node.removal_candidates(due, net.roster()) == ['n005']


def isolate_until_suspected(net):
    """Isolate one node until it is suspected, then reconnect it."""
    net.run(5)
    net.is_lost = lambda source, target: 'n003' in {source, target}
    net.run(4)
    net.is_lost = lambda source, target: False
    net.run(20)


def test_false_suspicion_is_refuted():
    """A short loss of packets must not get a live node declared dead."""
    net = SimulatedNetwork(12)
    isolate_until_suspected(net)
    statuses = {
        update.status
        for _, message in net.sent
        for update in getattr(message, 'updates', ())
        if update.member.id == 'n003'
    }
    assert 'suspect' in statuses
    assert 'dead' not in statuses
    assert net.dead_views() == set()


def test_false_suspicion_becomes_a_death_without_refutation(monkeypatch):
    """Check that the loss in the test above is long enough to matter."""
    monkeypatch.setattr(Membership, '_refute', lambda self, update: None)
    net = SimulatedNetwork(12)
    isolate_until_suspected(net)
    assert net.dead_views()


def pause_and_resume_while_suspecting(options):
    """Pause a node that suspects others; return whom it declares dead later."""
    net = SimulatedNetwork(12, options=options)
    net.run(5)
    net.is_lost = lambda source, target: 'n002' in {source, target}
    net.run(4)
    net.paused.add('n002')
    net.is_lost = lambda source, target: False
    net.run(30)
    net.paused.clear()
    declared_dead = set()
    for _ in range(300):
        net.run(TICK_S)
        declared_dead.update(
            node_id
            for observer, node_id in net.dead_views()
            if observer == 'n002'
        )
    return net, declared_dead


def test_paused_node_declares_no_node_dead_on_resume():
    """A paused VM must not blame others for answers that it did not read."""
    net, declared_dead = pause_and_resume_while_suspecting(MembershipOptions())
    assert declared_dead == set()
    assert net.dead_views() == set()


def test_undetected_pause_makes_a_node_declare_others_dead():
    """Check that the test above fails without the extended timeouts."""
    options = MembershipOptions(
        pause_threshold_s=float('inf'), max_health_score=0
    )
    assert pause_and_resume_while_suspecting(options)[1]


def test_views_agree_after_a_restart_and_a_partition():
    """Both sides must find each other again and drop old incarnations."""
    net = SimulatedNetwork(12)
    net.run(5)
    net.is_lost = lambda source, target: (source < 'n006') != (target < 'n006')
    net.run(60)
    assert len(net.dead_views()) == 72
    member = dataclasses.replace(net.members['n001'], incarnation=99)
    net.members['n001'] = member
    net.start(member)
    net.is_lost = lambda source, target: False
    net.run(60)
    assert net.dead_views() == set()
    views = [node.live_members()['n001'] for node in net.nodes.values()]
    assert set(views) == {member}


def test_load_per_node_does_not_grow_with_the_fleet():
    """Probes and updates per node must not grow with the fleet."""
    rates = []
    for count in (12, 96):
        net = SimulatedNetwork(count)
        net.run(20)
        net.nodes['n001'].leave(net.now)
        net.run(20)
        rates.append(len(net.sent) / count / 40)
        messages = [message for _, message in net.sent]
        assert max(len(probe.updates) for probe in messages) <= 8
        assert sum(isinstance(probe, Ping) for probe in messages) > count * 30
    assert rates[1] < rates[0] * 1.1


def test_removal_keeps_three_quarters_of_a_zone_and_unreachable_regions():
    """A wrong view must not remove most of a zone, or a whole region."""
    members = {
        f'{region}{zone}{number}': Member(
            f'{region}{zone}{number}', 1, region + zone, region, '', ''
        )
        for region, zone, number in itertools.product('ab', 'xy', range(8))
    }
    node = Membership(members['ax0'], rng=random.Random(1))
    node.add_seeds(members.values())

    def candidates(*prefixes):
        for member in members.values():
            if member.id.startswith(prefixes):
                update = MemberStatus(member, 'dead', 9)
                node.receive(0, 'other', Ping(1, (update,)))
        return node.removal_candidates(20, Roster(1, members))

    assert candidates('ax1', 'ax2', 'ax3') == ['ax1', 'ax2']
    assert len(candidates('ay')) == 2 + 8
    assert len(candidates('b')) == 2 + 8
