"""Confirmation rounds on a seeded network of queues with faults."""

import bisect
import collections
import dataclasses
import heapq
import itertools
import random

import pytest

from ibismount._round_tally import RoundOutcome, RoundTally, evaluate_round
from ibismount._state_encoding import copy_state
from ibismount.cause import Origin
from ibismount.config import Change, ChangeKind, ConfigState
from ibismount.confirmation import ConfirmOptions, Confirmer
from ibismount.dissemination_tree import DisseminationTree
from ibismount.messages import Pull, Push, RoundDown, RoundResult
from ibismount.roster import Member, Roster, accept_quorum

TICK_S = 0.05
# Clock rates differ by up to 0.2 %, which is 6 ms over the lifetime of a
# confirmation (3 s). A node acts up to one tick after it read the clock.
CLOCK_MARGIN_S = 0.02 + TICK_S


class FakeNode:
    """One process with its state and confirmer, which a restart loses."""

    def __init__(self, net, member, clock_rate, state):
        self.net, self.member, self.clock_rate = net, member, clock_rate
        self.state = state
        self.paused_until = 0
        self.last_contact_at = {}
        self.confirmer = Confirmer(member, self.state, options=net.options)

    def clock(self, now):
        return 1000 + now * self.clock_rate

    def live(self, now):
        oldest_contact_at = now - self.net.suspect_after_s
        ids = [
            i
            for i, at in self.last_contact_at.items()
            if at > oldest_contact_at
        ]
        return frozenset((*ids, self.member.id))

    def tick(self, now):
        local_now, live = self.clock(now), self.live(now)
        for envelope in self.confirmer.tick(local_now, live):
            self.net.send(now, self.member.id, *envelope)
        read_due = self.confirmer.needs_platform_read(local_now)
        watches_platform = (
            self.confirmer.is_coordinator(live) and self.net.watch
        )
        if read_due or watches_platform:
            self.net.read(now, self, local_now)
        version = self.confirmer.take_accepted_to_store()
        if self.net.reaches_platform(self):
            if watches_platform:
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
        local_now = self.clock(now)
        for envelope in self.confirmer.receive(local_now, sender, message):
            self.net.send(now, self.member.id, *envelope)


class FakeNetwork:
    """Message queues between nodes, the platform's log and the history."""

    def __init__(self, seed, zones, *, options=ConfirmOptions(), watch=True):
        self.rng = random.Random(seed)
        self.options, self.watch = options, watch
        self.log, self.stored = [], {}
        self.platform_up, self.loss, self.now = True, 0, 0.0
        self.queue, self.order = [], itertools.count()
        self.groups, self.incarnations = {}, itertools.count(1)
        # Starved nodes receive rounds but no changes.
        self.starved = set()
        self.snapshot = ConfigState()
        self.suspect_after_s = 2.0
        self.held_log, self.acting_log, self.accepted_log = [], [], []
        self.nodes = {}
        for node_id, (zone, region) in zones.items():
            self.start(node_id, zone, region)
        self.change_roster([node.member for node in self.nodes.values()], [])

    def start(self, node_id, zone, region):
        member = Member(node_id, next(self.incarnations), zone, region, '', '')
        clock_rate = 1 + self.rng.uniform(-0.001, 0.001)
        loads = self.platform_up and self.log
        state = copy_state(self.snapshot) if loads else ConfigState()
        node = self.nodes[node_id] = FakeNode(self, member, clock_rate, state)
        if loads:
            node.apply(self.now, self.log)
            node.confirmer.seed_accepted_version(self.stored.get(region, 0))
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
        fields = [dataclasses.asdict(member) for member in joined]
        body = {'joined': fields, 'removed': removed}
        self.change(ChangeKind.ROSTER, 'roster', body)

    def partitioned(self, sender, receiver):
        return self.groups.get(sender, 0) != self.groups.get(receiver, 0)

    def send(self, now, sender, to, message):
        starved = to in self.starved and isinstance(message, Push)
        if not starved and self.rng.random() >= self.loss:
            at = now + self.rng.uniform(0.0005, 0.02)
            item = (at, next(self.order), sender, to, message)
            heapq.heappush(self.queue, item)

    def read(self, now, node, local_now):
        if self.reaches_platform(node):
            entry = self.roster().get(node.member.id)
            listed = entry and entry.incarnation == node.member.incarnation
            version = len(self.log)
            changes = tuple(self.log[node.state.version :])
            answer = (local_now, version, bool(listed), changes)
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
        held_version = (*key, node.state.version)
        self.held_log.append((now, *held_version))
        if node.confirmer.is_confirmed(node.clock(now)):
            self.acting_log.append((now, member.region, *held_version))
        self.accepted_log.append((*key, node.confirmer.accepted_version))

    def deliver(self, until):
        while self.queue and self.queue[0][0] <= until:
            at, _, sender, to, message = heapq.heappop(self.queue)
            node = self.nodes[to]
            if node.paused_until > at:
                item = (node.paused_until, next(self.order))
                heapq.heappush(self.queue, (*item, sender, to, message))
            elif isinstance(sender, FakeNode):
                if sender is node:
                    local_now, version, listed, changes = message
                    node.apply(at, changes)
                    node.confirmer.record_platform_read(
                        local_now, version, listed
                    )
            elif not self.partitioned(sender, to):
                node.receive(at, sender, message)

    def run(self, seconds, tick_s=TICK_S):
        end = self.now + seconds
        while self.now < end:
            self.now += tick_s
            self.deliver(self.now)
            running = [
                candidate
                for candidate in self.nodes.values()
                if candidate.paused_until <= self.now
            ]
            for receiver, sender in itertools.product(running, running):
                if not self.partitioned(receiver.member.id, sender.member.id):
                    receiver.last_contact_at[sender.member.id] = self.now
            for node in running:
                node.tick(self.now)

    def confirmed(self):
        return {
            node_id
            for node_id, node in self.nodes.items()
            if node.confirmer.is_confirmed(node.clock(self.now))
        }


def replay(log):
    """Return (version, roster) for all versions, starting at 0."""
    state = ConfigState()
    rosters = [(0, state.roster)]
    for change in log:
        state.apply(change)
        rosters.append((change.version, state.roster))
    return rosters


def accepted_times(log, held_log, region):
    """Return the times at which versions 1, 2, ... were accepted."""
    rosters, times, last_accepted_at = replay(log), [], 0.0
    for version in range(1, len(log) + 1):
        members = rosters[version - 1][1].region_members(region)
        since = {member.id: member.incarnation for member in members}
        first_held_at = {}
        for at, node_id, incarnation, held_version in held_log:
            counts = node_id in since and incarnation >= since[node_id]
            if (
                counts
                and held_version >= version
                and node_id not in first_held_at
            ):
                first_held_at[node_id] = at
        quorum = accept_quorum(len(members))
        if len(first_held_at) < quorum:
            break
        if quorum:
            last_accepted_at = max(
                last_accepted_at, sorted(first_held_at.values())[quorum - 1]
            )
        times.append(last_accepted_at)
    return times


def find_violations(log, held_log, acting_log, accepted_log):
    """Check the recorded history and return descriptions of violations.

    A confirmed node must have every version that was accepted longer ago than
    the lifetime of a confirmation, and accepted versions must not decrease.
    """
    problems = []
    increases, latest_held = [], {}
    for at, node_id, incarnation, held_version in held_log:
        key = (node_id, incarnation)
        if latest_held.get(key, -1) < held_version:
            latest_held[key] = held_version
            increases.append((at, node_id, incarnation, held_version))
    accepted_times_by_region = {}
    for at, region, node_id, incarnation, held_version in acting_log:
        if region not in accepted_times_by_region:
            accepted_times_by_region[region] = accepted_times(
                log, increases, region
            )
        required_version = bisect.bisect_left(
            accepted_times_by_region[region], at - 3 - CLOCK_MARGIN_S
        )
        if held_version < required_version:
            problems.append(
                f'{node_id}/{incarnation} acts at {at} with {held_version}'
            )
    highest = {}
    for node_id, incarnation, version in accepted_log:
        key = (node_id, incarnation)
        if version < highest.get(key, 0):
            problems.append(f'{key} goes back to {version}')
        highest[key] = version
    return problems


def make_zones(count, regions=1):
    """Return ``count`` nodes over three zones in each region."""
    return {
        f'r{region}n{number}': (f'z{region}{number % 3}', f'r{region}')
        for region in range(regions)
        for number in range(count)
    }


def inject_random_faults(net, seconds):
    """Inject random faults, repairs and changes one after another."""
    rng = net.rng
    end = net.now + seconds
    while net.now < end:
        ids = sorted(net.nodes)
        chosen_id = rng.choice(ids)
        action = rng.choice(
            ('part', 'part', 'heal', 'pause', 'pause', 'restart', 'restart')
            + ('remove', 'platform', 'loss', 'join', 'join', 'starve')
        )
        if action == 'part':
            net.groups = {i: rng.randrange(3) for i in ids}
        elif action == 'heal':
            net.groups, net.loss, net.starved = {}, 0, set()
        elif action == 'pause':
            net.nodes[chosen_id].paused_until = net.now + rng.uniform(0.5, 8)
        elif action == 'restart':
            net.restart(chosen_id)
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


def recorded_history(net):
    return net.log, net.held_log, net.acting_log, net.accepted_log


@pytest.mark.parametrize('seed', range(6))
def test_no_confirmed_node_lacks_an_accepted_version(seed):
    """Guard against a node that serves with a superseded configuration."""
    # A small fan-out creates trees of several levels.
    options = ConfirmOptions(fan_out=2 if seed < 3 else 16)
    zones = make_zones(5, 2) if seed % 2 else make_zones(7 + seed)
    net = FakeNetwork(seed, zones, options=options)
    net.run(3)
    inject_random_faults(net, 40)
    assert find_violations(*recorded_history(net)) == []
    assert len(net.acting_log) > 100


def test_check_finds_a_confirm_quorum_of_one():
    """Show that the check fails when one answer confirms a round."""
    options = ConfirmOptions(confirm_quorum=lambda size: 1)
    assert any(_find_violations_with(seed, options) for seed in range(6))


def test_check_finds_a_confirmation_that_never_expires():
    """Show that the check fails when a confirmation never expires."""
    options = ConfirmOptions(confirm_ttl_s=1e9)
    assert any(_find_violations_with(seed, options) for seed in range(6))


def _find_violations_with(seed, options):
    net = FakeNetwork(seed, make_zones(5 + seed % 3), options=options)
    net.run(3)
    inject_random_faults(net, 40)
    return find_violations(*recorded_history(net))


def test_platform_outage_of_an_hour_leaves_all_confirmed():
    """Guard against a service that stops when the platform is down."""
    zones = {f'n{number}': ('z', 'r') for number in range(5)}
    net = FakeNetwork(1, zones)
    net.run(5)
    net.platform_up = False
    for _ in range(120):
        net.run(30, tick_s=0.25)
        assert net.confirmed() == set(zones)
        net.held_log.clear(), net.acting_log.clear(), net.accepted_log.clear()


def test_partitioned_regions_stay_confirmed_and_converge():
    """Guard against partitioned regions that stop or diverge."""
    zones = {f'{region}{n}': (region, region) for region in 'ab' for n in '123'}
    net = FakeNetwork(2, zones)
    net.run(5)
    net.groups = {node_id: 2 if node_id[0] == 'b' else 0 for node_id in zones}
    net.change()
    for _ in range(120):
        net.run(30, tick_s=0.25)
        assert net.confirmed() == set(zones)
        net.held_log.clear(), net.acting_log.clear(), net.accepted_log.clear()
    assert net.nodes['b1'].state.version < len(net.log)
    pending = {node.confirmer.accepted_version for node in net.nodes.values()}
    assert max(pending) < len(net.log)
    net.groups = {}
    net.run(12)
    for node in net.nodes.values():
        assert node.confirmer.accepted_version == len(net.log)
        assert node.state.version == len(net.log)


def test_old_incarnation_is_fenced_and_a_restarted_one_is_not():
    """Guard against a resumed process that uses shares it has lost."""
    net = FakeNetwork(1, make_zones(5))
    net.run(3)
    old = net.nodes['r0n1']
    old.paused_until = 9
    net.restart('r0n1')
    net.run(3)
    restarted = net.nodes['r0n1']
    assert restarted.confirmer.is_confirmed(restarted.clock(net.now))
    assert not restarted.confirmer.may_use_shares(restarted.clock(net.now))
    net.change_roster([restarted.member], [])
    # After this removal, the roster no longer names the incarnation that
    # replaced the old process.
    net.change_roster([], ['r0n1'])
    net.change_roster([restarted.member], [])
    net.run(3)
    assert restarted.confirmer.may_use_shares(restarted.clock(net.now))
    old.apply(net.now, net.log)
    old.confirmer.record_platform_read(
        old.clock(net.now), len(net.log), listed=True
    )
    assert not old.confirmer.is_confirmed(old.clock(net.now))


def restart_and_partition(incarnations):
    """Restart one of two nodes with a change; partition it from the other."""
    net = FakeNetwork(3, {f'n{number}': ('z', 'r') for number in (1, 2, 3)})
    net.run(5)
    net.groups = {'n3': 2}
    net.change()
    net.run(3)
    net.platform_up = False
    net.incarnations = incarnations
    net.restart('n2')
    net.groups = {'n1': 1}
    net.run(10)
    return find_violations(*recorded_history(net))


def test_restarted_member_does_not_confirm():
    """Guard against a quorum that counts a node that lost its state."""
    assert restart_and_partition(itertools.count(9)) == []


def test_check_finds_a_restart_that_keeps_its_incarnation():
    """Show that the check fails when state is lost within an incarnation."""
    assert restart_and_partition(itertools.count(2))


def test_round_stops_at_a_roster_change_and_at_the_coordinators_version():
    """Guard against counting members of an outdated roster."""
    net = FakeNetwork(1, make_zones(5))
    net.change_roster([], ['r0n0', 'r0n1', 'r0n2'])
    net.change()
    state = ConfigState()
    for change in net.log:
        state.apply(change)
    for held_version, expected in (
        (1, (1, 1)),
        (2, (0, 2)),
        (3, (0, 2)),
        (9, (0, 2)),
    ):
        tally = RoundTally(
            'c', 1, 1, 0, 0, versions=collections.Counter({held_version: 3})
        )
        outcome = evaluate_round(tally, state, 'r0')
        assert (outcome.confirmed_version, outcome.accepted_version) == expected
    tally = RoundTally(
        'c', 1, 2, 0, 0, versions=collections.Counter({3: 1, 9: 1})
    )
    assert evaluate_round(tally, state, 'r0') == RoundOutcome(
        0, 3, accepted_roster=False
    )


def test_only_the_parent_with_the_full_answer_dates_the_confirmation():
    """Guard against a confirmation dated by the arrival of an empty answer."""
    # With this fan-out the node waits for a child, which never answers.
    net = FakeNetwork(1, make_zones(6), options=ConfirmOptions(fan_out=1))
    node = net.nodes['r0n4']
    node.apply(0, net.log)
    node.confirmer.tick(0, frozenset(net.nodes))

    def send_round(now, sender, number, confirmed=0):
        result = RoundResult(number - 1, confirmed, 1)
        down = RoundDown('r0n0', 7, 'r0', number, 1, 1, result, True)
        return node.confirmer.receive(now, sender, down)

    # The answer to round 5 is late; round 6 starts before it is sent.
    send_round(10, 'r0n3', 5)
    send_round(10.1, 'r0n2', 5)
    sent = node.confirmer.tick(10.35, frozenset(net.nodes))
    assert [envelope.to for envelope in sent] == ['r0n3']
    send_round(10.5, 'r0n2', 6)
    node.confirmer.tick(10.85, frozenset(net.nodes))
    send_round(11, 'r0n2', 7, confirmed=1)
    assert not node.confirmer.is_confirmed(11)
    node.confirmer.tick(11.35, frozenset(net.nodes))
    send_round(11.5, 'r0n2', 8, confirmed=1)
    assert node.confirmer.confirmed_at == 10.85


@pytest.mark.parametrize('fan_out', [2, 3, 16])
def test_tree_reaches_each_live_node_once(fan_out):
    """Guard against subtrees that are lost below a dead node."""
    rng = random.Random(fan_out)
    for size in (1, 2, 5, 40, 300):
        roster_members = {
            f'n{number}': Member(f'n{number}', 1, f'z{number % 3}', 'r', '', '')
            for number in range(size)
        }
        tree = DisseminationTree(Roster(1, roster_members), 'r', fan_out)
        live = {'n0'} | {
            member for member in roster_members if rng.random() < 0.7
        }
        reached, pending = [], [('n0', 0, '')]
        while pending:
            node_id, level, sender = pending.pop()
            reached.append(node_id)
            children = tree.children(node_id, level, live, sender, 'n0')
            pending.extend((child, level + 1, node_id) for child in children)
        assert sorted(reached) == sorted(live)
        for zone, members in tree.zones.items():
            pending = [member for member in members if member in live][:1]
            for node_id in pending:
                pending.extend(tree.zone_children(node_id, zone, live))
            assert sorted(pending) == sorted(live & set(members))


def count_lapses_per_lost_node():
    """Pause each node in turn; count lost confirmations of other nodes."""
    lapse_count = 0
    for lost_id in make_zones(15):
        # With this fan-out, each zone's segment is split twice.
        net = FakeNetwork(4, make_zones(15), options=ConfirmOptions(fan_out=2))
        net.suspect_after_s = 10
        net.run(4)
        net.platform_up = False
        net.nodes[lost_id].paused_until = 99
        for _ in range(8):
            net.run(1)
            lapse_count += len(net.nodes.keys() - net.confirmed() - {lost_id})
    return lapse_count


def test_undetected_loss_of_a_node_leaves_the_others_confirmed():
    """Guard against a lost VM that separates the nodes below it in the tree."""
    assert count_lapses_per_lost_node() == 0


def test_one_tree_for_all_coordinators_separates_nodes(monkeypatch):
    """Show that the previous test needs different trees per coordinator."""
    monkeypatch.setattr(DisseminationTree, '_zone_index', lambda self, root: 0)
    assert count_lapses_per_lost_node()
