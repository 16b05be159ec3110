"""Confirmation rounds on a seeded network of queues with faults."""

import bisect
import collections
import dataclasses
import heapq
import itertools
import random

import pytest

from ibismount._rounds import Collection, Outcome, judge
from ibismount._state_encoding import copy_state
from ibismount.cause import Origin
from ibismount.config import Change, ChangeKind, ConfigState
from ibismount.confirmation import Confirmer, ConfirmOptions
from ibismount.messages import Pull, Push, RoundDown, RoundResult
from ibismount.roster import Member, Roster, accept_quorum
from ibismount.round_tree import Tree

TICK_S = 0.05
# Clocks run up to 0.2 % apart, which is 6 ms over the lapse of 3 s; a tick
# passes between the last look at the clock and the act.
MARGIN_S = 0.02 + TICK_S


class Node:
    """One process: its state and confirmer, lost at a restart."""

    def __init__(self, net, member, drift, state):
        self.net, self.member, self.drift = net, member, drift
        self.state = state
        self.paused_until = 0
        self.heard = {}
        self.confirmer = Confirmer(member, self.state, options=net.options)

    def clock(self, now):
        return 1000 + now * self.drift

    def live(self, now):
        limit = now - self.net.suspect_after_s
        ids = [i for i, at in self.heard.items() if at > limit]
        return frozenset((*ids, self.member.id))

    def tick(self, now):
        local, live = self.clock(now), self.live(now)
        for envelope in self.confirmer.tick(local, live):
            self.net.send(now, self.member.id, *envelope)
        wants = self.confirmer.needs_platform_read(local)
        watches = self.confirmer.is_coordinator(live) and self.net.watch
        if wants or watches:
            self.net.read(now, self, local)
        version = self.confirmer.take_accepted_to_store()
        if self.net.reaches_platform(self):
            if watches:
                self.net.snapshot = copy_state(self.state)
            # Half of the writes fail.
            if version is not None and self.net.rng.random() < 0.5:
                stored, region = self.net.stored, self.member.region
                stored[region] = max(stored.get(region, 0), version)
        self.net.record(now, self)

    def apply(self, now, changes):
        for change in changes:
            if change.version == self.state.version + 1:
                self.state.apply(change)
        self.net.record(now, self)

    def receive(self, now, sender, message):
        if isinstance(message, Push):
            before = self.state.version
            self.apply(now, message.changes)
            if self.state.version > before:
                for child in self.confirmer.push_targets(self.live(now)):
                    self.net.send(now, self.member.id, child, message)
            return
        if isinstance(message, Pull):
            push = Push(tuple(self.net.log[message.after : self.state.version]))
            self.net.send(now, self.member.id, sender, push)
            return
        local = self.clock(now)
        for envelope in self.confirmer.receive(local, sender, message):
            self.net.send(now, self.member.id, *envelope)


class Net:
    """Queues between nodes, the platform's log, and the history."""

    def __init__(self, seed, zones, *, options=ConfirmOptions(), watch=True):
        self.rng = random.Random(seed)
        self.options, self.watch = options, watch
        self.log, self.stored = [], {}
        self.platform_up, self.loss, self.now = True, 0, 0.0
        self.queue, self.order = [], itertools.count()
        self.groups, self.incarnations = {}, itertools.count(1)
        # Starved nodes get rounds but no changes.
        self.starved = set()
        self.snapshot = ConfigState()
        self.suspect_after_s = 2.0
        self.holds, self.acts, self.accepts = [], [], []
        self.nodes = {}
        for node_id, (zone, region) in zones.items():
            self.start(node_id, zone, region)
        self.change_roster([one.member for one in self.nodes.values()], [])

    def start(self, node_id, zone, region):
        member = Member(node_id, next(self.incarnations), zone, region, '', '')
        drift = 1 + self.rng.uniform(-0.001, 0.001)
        loads = self.platform_up and self.log
        state = copy_state(self.snapshot) if loads else ConfigState()
        node = self.nodes[node_id] = Node(self, member, drift, state)
        if loads:
            node.apply(self.now, self.log)
            node.confirmer.seed_accepted(self.stored.get(region, 0))
        return member

    def restart(self, node_id):
        old = self.nodes[node_id].member
        return self.start(node_id, old.availability_zone, old.region)

    def change(self, kind=ChangeKind.ZONE, key='z', body=None):
        if self.platform_up:
            body = body or {'in_service': True}
            version = len(self.log) + 1
            self.log.append(
                Change(version, 'c', kind, key, body, Origin.SYSTEM, '', 0)
            )

    def change_roster(self, joined, removed):
        fields = [dataclasses.asdict(one) for one in joined]
        body = {'joined': fields, 'removed': removed}
        self.change(ChangeKind.ROSTER, 'roster', body)

    def parted(self, one, other):
        return self.groups.get(one, 0) != self.groups.get(other, 0)

    def send(self, now, sender, to, message):
        starved = to in self.starved and isinstance(message, Push)
        if not starved and self.rng.random() >= self.loss:
            at = now + self.rng.uniform(0.0005, 0.02)
            item = (at, next(self.order), sender, to, message)
            heapq.heappush(self.queue, item)

    def read(self, now, node, local):
        if self.reaches_platform(node):
            entry = self.roster().get(node.member.id)
            listed = entry and entry.incarnation == node.member.incarnation
            version = len(self.log)
            changes = tuple(self.log[node.state.version :])
            answer = (local, version, bool(listed), changes)
            at = now + self.rng.uniform(0.001, 0.1)
            item = (at, next(self.order), node, node.member.id, answer)
            heapq.heappush(self.queue, item)

    def reaches_platform(self, node):
        node_id = node.member.id
        reached = self.groups.get(node_id, 0) < 2
        return self.platform_up and reached and node_id not in self.starved

    def roster(self):
        return replay(self.log)[-1][1].members

    def record(self, now, node):
        member = node.member
        key = (member.id, member.incarnation)
        held = (*key, node.state.version)
        self.holds.append((now, *held))
        if node.confirmer.is_confirmed(node.clock(now)):
            self.acts.append((now, member.region, *held))
        self.accepts.append((*key, node.confirmer.accepted_version))

    def deliver(self, until):
        while self.queue and self.queue[0][0] <= until:
            at, _, sender, to, message = heapq.heappop(self.queue)
            node = self.nodes[to]
            if node.paused_until > at:
                item = (node.paused_until, next(self.order))
                heapq.heappush(self.queue, (*item, sender, to, message))
            elif isinstance(sender, Node):
                if sender is node:
                    local, version, listed, changes = message
                    node.apply(at, changes)
                    node.confirmer.platform_read(local, version, listed)
            elif not self.parted(sender, to):
                node.receive(at, sender, message)

    def run(self, seconds, tick_s=TICK_S):
        end = self.now + seconds
        while self.now < end:
            self.now += tick_s
            self.deliver(self.now)
            running = [
                one
                for one in self.nodes.values()
                if one.paused_until <= self.now
            ]
            for one, other in itertools.product(running, running):
                if not self.parted(one.member.id, other.member.id):
                    one.heard[other.member.id] = self.now
            for node in running:
                node.tick(self.now)

    def confirmed(self):
        return {
            node_id
            for node_id, node in self.nodes.items()
            if node.confirmer.is_confirmed(node.clock(self.now))
        }


def replay(log):
    """Return (version, roster) from version 0 on."""
    state = ConfigState()
    rosters = [(0, state.roster)]
    for change in log:
        state.apply(change)
        rosters.append((change.version, state.roster))
    return rosters


def accepted_times(log, holds, region):
    """Return when each version was accepted in a region, in order."""
    rosters, times, last = replay(log), [], 0.0
    for version in range(1, len(log) + 1):
        members = rosters[version - 1][1].region_members(region)
        since = {one.id: one.incarnation for one in members}
        first = {}
        for at, node_id, incarnation, held in holds:
            counts = node_id in since and incarnation >= since[node_id]
            if counts and held >= version and node_id not in first:
                first[node_id] = at
        quorum = accept_quorum(len(members))
        if len(first) < quorum:
            break
        if quorum:
            last = max(last, sorted(first.values())[quorum - 1])
        times.append(last)
    return times


def violations(log, holds, acts, accepts):
    """Return acts without a version accepted too long ago, and reversals."""
    found = []
    firsts, known = [], {}
    for at, node_id, incarnation, held in holds:
        key = (node_id, incarnation)
        if known.get(key, -1) < held:
            known[key] = held
            firsts.append((at, node_id, incarnation, held))
    times = {}
    for at, region, node_id, incarnation, held in acts:
        if region not in times:
            times[region] = accepted_times(log, firsts, region)
        due = bisect.bisect_left(times[region], at - 3 - MARGIN_S)
        if held < due:
            found.append(f'{node_id}/{incarnation} acts at {at} with {held}')
    highest = {}
    for node_id, incarnation, version in accepts:
        key = (node_id, incarnation)
        if version < highest.get(key, 0):
            found.append(f'{key} goes back to {version}')
        highest[key] = version
    return found


def zones_for(count, regions=1):
    """Return ``count`` nodes over three zones in each region."""
    return {
        f'r{region}n{number}': (f'z{region}{number % 3}', f'r{region}')
        for region in range(regions)
        for number in range(count)
    }


def shake(net, seconds):
    """Inject one random fault, repair or change after another."""
    rng = net.rng
    end = net.now + seconds
    while net.now < end:
        ids = sorted(net.nodes)
        one = rng.choice(ids)
        action = rng.choice(
            ('part', 'part', 'heal', 'pause', 'pause', 'restart', 'restart')
            + ('remove', 'platform', 'loss', 'join', 'join', 'starve')
        )
        if action == 'part':
            net.groups = {i: rng.randrange(3) for i in ids}
        elif action == 'heal':
            net.groups, net.loss, net.starved = {}, 0, set()
        elif action == 'pause':
            net.nodes[one].paused_until = net.now + rng.uniform(0.5, 8)
        elif action == 'restart':
            net.restart(one)
        elif action == 'remove':
            net.change_roster([], rng.sample(ids, rng.randrange(len(ids))))
        elif action == 'platform':
            net.platform_up = not net.platform_up
        elif action == 'loss':
            net.loss = rng.choice((0, 0.05, 0.3))
        elif action == 'starve':
            net.starved = set(rng.sample(ids, rng.randrange(len(ids))))
        elif action == 'join':
            net.change_roster([net.nodes[i].member for i in ids], [])
        net.change()
        net.run(rng.uniform(0.1, 3))


def history(net):
    return net.log, net.holds, net.acts, net.accepts


@pytest.mark.parametrize('seed', range(6))
def test_no_confirmed_node_lacks_an_accepted_version(seed):
    """Guard against a node that serves with a superseded configuration."""
    # The small fan-out makes trees of several levels.
    options = ConfirmOptions(fan_out=2 if seed < 3 else 16)
    zones = zones_for(5, 2) if seed % 2 else zones_for(7 + seed)
    net = Net(seed, zones, options=options)
    net.run(3)
    shake(net, 40)
    assert violations(*history(net)) == []
    assert len(net.acts) > 100


def test_check_finds_a_confirm_quorum_of_one():
    """Show that the check fails when one answer confirms a round."""
    options = ConfirmOptions(confirm_quorum=lambda size: 1)
    assert any(_violated(seed, options) for seed in range(6))


def test_check_finds_a_confirmation_that_does_not_lapse():
    """Show that the check fails when a confirmation holds for ever."""
    options = ConfirmOptions(confirm_ttl_s=1e9)
    assert any(_violated(seed, options) for seed in range(6))


def _violated(seed, options):
    net = Net(seed, zones_for(5 + seed % 3), options=options)
    net.run(3)
    shake(net, 40)
    return violations(*history(net))


def test_platform_outage_of_an_hour_leaves_all_confirmed():
    """Guard against a service that stops with the platform."""
    zones = {f'n{number}': ('z', 'r') for number in range(5)}
    net = Net(1, zones)
    net.run(5)
    net.platform_up = False
    for _ in range(120):
        net.run(30, tick_s=0.25)
        assert net.confirmed() == set(zones)
        net.holds.clear(), net.acts.clear(), net.accepts.clear()


def test_parted_regions_stay_confirmed_and_converge():
    """Guard against regions that stop, or diverge, while they are parted."""
    zones = {f'{region}{n}': (region, region) for region in 'ab' for n in '123'}
    net = Net(2, zones)
    net.run(5)
    net.groups = {node_id: 2 if node_id[0] == 'b' else 0 for node_id in zones}
    net.change()
    for _ in range(120):
        net.run(30, tick_s=0.25)
        assert net.confirmed() == set(zones)
        net.holds.clear(), net.acts.clear(), net.accepts.clear()
    assert net.nodes['b1'].state.version < len(net.log)
    pending = {node.confirmer.accepted_version for node in net.nodes.values()}
    assert max(pending) < len(net.log)
    net.groups = {}
    net.run(12)
    for node in net.nodes.values():
        assert node.confirmer.accepted_version == len(net.log)
        assert node.state.version == len(net.log)


def test_old_incarnation_is_fenced_and_a_restarted_one_is_not():
    """Guard against a resumed process that uses shares it lost."""
    net = Net(1, zones_for(5))
    net.run(3)
    old = net.nodes['r0n1']
    old.paused_until = 9
    net.restart('r0n1')
    net.run(3)
    fresh = net.nodes['r0n1']
    assert fresh.confirmer.is_confirmed(fresh.clock(net.now))
    assert not fresh.confirmer.may_use_shares(fresh.clock(net.now))
    net.change_roster([fresh.member], [])
    # The next roster no longer shows the old process what replaced it.
    net.change_roster([], ['r0n1'])
    net.change_roster([fresh.member], [])
    net.run(3)
    assert fresh.confirmer.may_use_shares(fresh.clock(net.now))
    old.apply(net.now, net.log)
    old.confirmer.platform_read(old.clock(net.now), len(net.log), listed=True)
    assert not old.confirmer.is_confirmed(old.clock(net.now))


def lose_memory(incarnations):
    """Restart a holder of a change and part it from the other holder."""
    net = Net(3, {f'n{number}': ('z', 'r') for number in (1, 2, 3)})
    net.run(5)
    net.groups = {'n3': 2}
    net.change()
    net.run(3)
    net.platform_up = False
    net.incarnations = incarnations
    net.restart('n2')
    net.groups = {'n1': 1}
    net.run(10)
    return violations(*history(net))


def test_restarted_member_does_not_confirm():
    """Guard against a quorum that counts a node which lost its memory."""
    assert lose_memory(itertools.count(9)) == []


def test_check_finds_a_restart_that_keeps_its_incarnation():
    """Show that the check fails when memory is lost within an incarnation."""
    assert lose_memory(itertools.count(2))


def test_round_stops_at_a_roster_change_and_at_the_own_version():
    """Guard against counting by a roster that is no longer in force."""
    net = Net(1, zones_for(5))
    net.change_roster([], ['r0n0', 'r0n1', 'r0n2'])
    net.change()
    state = ConfigState()
    for change in net.log:
        state.apply(change)
    for held, expected in ((1, (1, 1)), (2, (0, 2)), (3, (0, 2)), (9, (0, 2))):
        found = Collection(
            'c', 1, 1, 0, 0, versions=collections.Counter({held: 3})
        )
        outcome = judge(found, state, 'r0')
        assert (outcome.confirmed, outcome.accepted) == expected
    found = Collection(
        'c', 1, 2, 0, 0, versions=collections.Counter({3: 1, 9: 1})
    )
    assert judge(found, state, 'r0') == Outcome(0, 3, accepted_roster=False)


def test_only_the_parent_that_got_the_answer_dates_the_confirmation():
    """Guard against a confirmation dated by an empty answer's arrival."""
    # With this fan-out the node waits for a child, which never answers.
    net = Net(1, zones_for(6), options=ConfirmOptions(fan_out=1))
    node = net.nodes['r0n4']
    node.apply(0, net.log)
    node.confirmer.tick(0, frozenset(net.nodes))

    def ask(now, sender, number, confirmed=0):
        result = RoundResult(number - 1, confirmed, 1)
        down = RoundDown('r0n0', 7, 'r0', number, 1, 1, result, True)
        return node.confirmer.receive(now, sender, down)

    # The answer to round 5 is late; round 6 starts before it is sent.
    ask(10, 'r0n3', 5)
    ask(10.1, 'r0n2', 5)
    sent = node.confirmer.tick(10.35, frozenset(net.nodes))
    assert [envelope.to for envelope in sent] == ['r0n3']
    ask(10.5, 'r0n2', 6)
    node.confirmer.tick(10.85, frozenset(net.nodes))
    ask(11, 'r0n2', 7, confirmed=1)
    assert not node.confirmer.is_confirmed(11)
    node.confirmer.tick(11.35, frozenset(net.nodes))
    ask(11.5, 'r0n2', 8, confirmed=1)
    assert node.confirmer.confirmed_at == 10.85


@pytest.mark.parametrize('fan_out', [2, 3, 16])
def test_tree_reaches_each_live_node_once(fan_out):
    """Guard against subtrees that are lost below a dead node."""
    rng = random.Random(fan_out)
    for size in (1, 2, 5, 40, 300):
        people = {
            f'n{number}': Member(f'n{number}', 1, f'z{number % 3}', 'r', '', '')
            for number in range(size)
        }
        tree = Tree(Roster(1, people), 'r', fan_out)
        live = {'n0'} | {one for one in people if rng.random() < 0.7}
        reached, todo = [], [('n0', 0, '')]
        while todo:
            node_id, level, sender = todo.pop()
            reached.append(node_id)
            below = tree.children(node_id, level, live, sender, 'n0')
            todo.extend((child, level + 1, node_id) for child in below)
        assert sorted(reached) == sorted(live)
        for zone, members in tree.zones.items():
            todo = [one for one in members if one in live][:1]
            for node_id in todo:
                todo.extend(tree.zone_children(node_id, zone, live))
            assert sorted(todo) == sorted(live & set(members))


def lose_one_after_another():
    """Lose each node for a while; return how often others lapse."""
    lapses = 0
    for lost in zones_for(15):
        # Each zone's run is cut twice on its way down.
        net = Net(4, zones_for(15), options=ConfirmOptions(fan_out=2))
        net.suspect_after_s = 10
        net.run(4)
        net.platform_up = False
        net.nodes[lost].paused_until = 99
        for _ in range(8):
            net.run(1)
            lapses += len(net.nodes.keys() - net.confirmed() - {lost})
    return lapses


def test_undetected_loss_of_a_node_leaves_the_others_confirmed():
    """Guard against one lost VM that stops the nodes below it in the tree."""
    assert lose_one_after_another() == 0


def test_one_tree_for_all_coordinators_cuts_nodes_off(monkeypatch):
    """Show that the loss above needs trees that differ."""
    monkeypatch.setattr(Tree, '_turn', lambda self, root: 0)
    assert lose_one_after_another()
