"""Membership on a seeded network with losses and pauses."""

import dataclasses
import heapq
import itertools
import random

from ibismount.membership import Membership, MembershipOptions
from ibismount.messages import MemberStatus, Ping
from ibismount.roster import Member, Roster

TICK_S = 0.1


class Net:
    """Deliver messages after a delay; ``lost`` decides which never arrive."""

    def __init__(self, count, *, seed=1, options=MembershipOptions()):
        self.seed, self.options = seed, options
        self.rng = random.Random(seed)
        self.now, self.queue, self.order = 0.0, [], itertools.count()
        self.paused, self.lost, self.sent = set(), lambda one, other: False, []
        self.people = {
            f'n{number:03}': Member(
                f'n{number:03}', number + 1, f'z{number % 3}', 'r', '', ''
            )
            for number in range(count)
        }
        self.nodes = {}
        for member in self.people.values():
            self.start(member)

    def start(self, member):
        rng = random.Random(f'{self.seed}{member.id}')
        node = Membership(member, rng=rng, options=self.options)
        node.add_seeds(self.people.values())
        self.nodes[member.id] = node

    def send(self, sender, envelopes):
        for to, message in envelopes:
            self.sent.append((sender, message))
            if not self.lost(sender, to):
                at = self.now + self.rng.uniform(0.0005, 0.02)
                item = (at, next(self.order), sender, to, message)
                heapq.heappush(self.queue, item)

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            held = []
            while self.queue and self.queue[0][0] <= self.now:
                item = heapq.heappop(self.queue)
                at, _, sender, to, message = item
                if to in self.paused:
                    held.append(item)
                else:
                    out = self.nodes[to].receive(at, sender, message)
                    self.send(to, out)
            for item in held:
                heapq.heappush(self.queue, item)
            for node_id, node in self.nodes.items():
                if node_id not in self.paused:
                    self.send(node_id, node.tick(self.now))

    def dead(self):
        """Return (believer, node) for all that are believed dead."""
        return {
            (believer, node_id)
            for believer, node in self.nodes.items()
            if believer not in self.paused
            for node_id in self.people.keys() - node.live_ids(self.now)
        }

    def roster(self):
        return Roster(1, self.people)


def test_dead_node_is_found_by_all_and_proposed_for_removal():
    """Guard against a lost VM that keeps its shares for ever."""
    net = Net(24)
    net.run(5)
    net.paused.add('n005')
    net.run(14)
    believers = net.nodes.keys() - {'n005'}
    assert net.dead() == {(one, 'n005') for one in believers}
    first = net.nodes['n000']
    died = first.dead_since('n005')
    early, due = died + 9.9, died + 10.1
    assert first.removal_candidates(early, net.roster()) == []
    assert first.removal_candidates(due, net.roster()) == ['n005']


def cut_off_for_a_while(net):
    """Cut one node off until it is suspected, then run on."""
    net.run(5)
    net.lost = lambda one, other: 'n003' in {one, other}
    net.run(4)
    net.lost = lambda one, other: False
    net.run(20)


def test_false_suspicion_is_refuted():
    """Guard against a node declared dead after a short loss of packets."""
    net = Net(12)
    cut_off_for_a_while(net)
    said = {
        update.status
        for _, message in net.sent
        for update in getattr(message, 'updates', ())
        if update.member.id == 'n003'
    }
    assert 'suspect' in said
    assert 'dead' not in said
    assert net.dead() == set()


def test_false_suspicion_kills_without_refutation(monkeypatch):
    """Show that the loss above suffices for a wrong death."""
    monkeypatch.setattr(Membership, '_refute', lambda self, update: None)
    net = Net(12)
    cut_off_for_a_while(net)
    assert net.dead()


def resume_while_suspecting(options):
    """Pause a node that suspects others, and tell what it says on resume."""
    net = Net(12, options=options)
    net.run(5)
    net.lost = lambda one, other: 'n002' in {one, other}
    net.run(4)
    net.paused.add('n002')
    net.lost = lambda one, other: False
    net.run(30)
    net.paused.clear()
    declared = set()
    for _ in range(300):
        net.run(TICK_S)
        declared.update(other for one, other in net.dead() if one == 'n002')
    return net, declared


def test_paused_node_declares_nobody_dead_on_resume():
    """Guard against a paused VM that takes its own silence for others'."""
    net, declared = resume_while_suspecting(MembershipOptions())
    assert declared == set()
    assert net.dead() == set()


def test_pause_kills_others_when_it_is_not_noticed():
    """Show that a resumed node is wrong without its raised timeouts."""
    options = MembershipOptions(
        pause_threshold_s=float('inf'), max_health_score=0
    )
    assert resume_while_suspecting(options)[1]


def test_restart_and_partition_are_forgotten_after_they_end():
    """Guard against sides that never meet again, and old incarnations."""
    net = Net(12)
    net.run(5)
    net.lost = lambda one, other: (one < 'n006') != (other < 'n006')
    net.run(60)
    assert len(net.dead()) == 72
    member = dataclasses.replace(net.people['n001'], incarnation=99)
    net.people['n001'] = member
    net.start(member)
    net.lost = lambda one, other: False
    net.run(60)
    assert net.dead() == set()
    views = [node.live_members()['n001'] for node in net.nodes.values()]
    assert set(views) == {member}


def test_load_per_node_does_not_grow_with_the_fleet():
    """Guard against probes or updates that grow with the fleet."""
    rates = []
    for count in (12, 96):
        net = Net(count)
        net.run(20)
        net.nodes['n001'].leave(net.now)
        net.run(20)
        rates.append(len(net.sent) / count / 40)
        messages = [message for _, message in net.sent]
        assert max(len(one.updates) for one in messages) <= 8
        assert sum(isinstance(one, Ping) for one in messages) > count * 30
    assert rates[1] < rates[0] * 1.1


def test_removal_keeps_three_quarters_of_a_zone_and_parted_regions():
    """Guard against a false view that empties a zone or a region."""
    people = {
        f'{region}{zone}{number}': Member(
            f'{region}{zone}{number}', 1, region + zone, region, '', ''
        )
        for region, zone, number in itertools.product('ab', 'xy', range(8))
    }
    node = Membership(people['ax0'], rng=random.Random(1))
    node.add_seeds(people.values())

    def candidates(*dead):
        for member in people.values():
            if member.id.startswith(dead):
                update = MemberStatus(member, 'dead', 9)
                node.receive(0, 'other', Ping(1, (update,)))
        return node.removal_candidates(20, Roster(1, people))

    assert candidates('ax1', 'ax2', 'ax3') == ['ax1', 'ax2']
    assert len(candidates('ay')) == 2 + 8
    assert len(candidates('b')) == 2 + 8
