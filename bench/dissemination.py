"""Compare ways to disseminate a change and measure the control plane's CPU.

Run as ``python -m bench.dissemination``. The production dissemination tree
selects the recipients and the production codec gives the message sizes; the
network is simulated. Results go to ``bench/results/dissemination.json``.
"""

import argparse
import heapq
import itertools
import json
import pathlib
import random
import statistics
import time
import tracemalloc

from ibismount.cause import Origin
from ibismount.config import Change, ChangeKind, ConfigState
from ibismount.confirmation import Confirmer
from ibismount.dissemination_tree import DisseminationTree, zone_coordinators
from ibismount.frame import decode, encode
from ibismount.membership import Membership
from ibismount.messages import (
    Ack,
    MemberStatus,
    Ping,
    Pull,
    Push,
    RoundDown,
    RoundResult,
)
from ibismount.roster import Member, Roster

SEED = 7
SIZES = (60, 450, 1800)
FAN_OUT = 16
ZONES = (('r0', 'a'), ('r0', 'b'), ('r0', 'c'), ('r1', 'd'), ('r1', 'e'))
# One-way delays; jitter of up to 10 % keeps events from coinciding.
IN_REGION_DELAY_S, CROSS_REGION_DELAY_S = 0.0005, 0.015
# Time to encode and send one message; a sender handles them one by one. A
# constant keeps the simulated times independent of the machine.
SEND_TIME_S = 0.00005
ROUND_INTERVAL_S = 0.5
GOSSIP_INTERVAL_S = 0.1
TIME_LIMIT_S = 30.0
HAS_CHANGE = 1
# Each case runs with this many seeds, the same ones for all strategies.
RUNS_PER_CASE = 20
RESULTS = pathlib.Path(__file__).parent / 'results' / 'dissemination.json'


def make_roster(size):
    """Build a roster over five zones in two regions."""
    members = {}
    for number in range(size):
        region, zone = ZONES[number % len(ZONES)]
        node_id = f'vm-{number:04}'
        members[node_id] = Member(
            node_id,
            number + 1,
            zone,
            region,
            f'10.0.{number // 250}.{number % 250 + 1}:7000',
            f'10.0.{number // 250}.{number % 250 + 1}:8080',
            1,
        )
    return Roster(1, members)


def make_change(version=2):
    """Build a change of typical size."""
    body = {
        'team': 'dunmore-joinery',
        'template': 'hazard-notes',
        'values': {'site': 'north yard', 'limit': 50, 'wait': True},
    }
    return Change(
        version,
        'c-0123456789abcdef',
        ChangeKind.PARAMETERS,
        'dunmore-joinery/hazard-notes',
        body,
        Origin.OPERATOR,
        'ann',
        1.8e9,
    )


AVERAGED_FIGURES = (
    'messages',
    'repairs',
    'package_b',
    'b_per_node',
    'b_top_node',
    'b_cross_zone',
    'half_ms',
    'all_ms',
)


class DisseminationStrategy:
    """Select the nodes to which a node forwards a change it received."""

    exchanges_digests = False

    def __init__(self, roster, root, rng):
        self.roster, self.root = roster, root
        self.node_ids = frozenset(roster.members)
        self.trees = {
            region: DisseminationTree(roster, region, FAN_OUT)
            for region in ('r0', 'r1')
        }

    def member(self, node_id):
        return self.roster.members[node_id]


class DirectSends(DisseminationStrategy):
    """The root sends the change to every other node."""

    def targets(self, node_id, _level, _sender):
        if node_id != self.root:
            return []
        return [(target, 1) for target in sorted(self.node_ids - {node_id})]


class RandomTree(DisseminationStrategy):
    """A tree with the same fan-out over the nodes in random order."""

    def __init__(self, roster, root, rng):
        super().__init__(roster, root, rng)
        order = sorted(self.node_ids - {root})
        rng.shuffle(order)
        self.order = [root, *order]
        self.index = {
            node_id: number for number, node_id in enumerate(self.order)
        }

    def targets(self, node_id, _level, _sender):
        first = self.index[node_id] * FAN_OUT + 1
        return [(target, 1) for target in self.order[first : first + FAN_OUT]]


class RoundTree(DisseminationStrategy):
    """The production tree for confirmation rounds, one per region."""

    def targets(self, node_id, level, sender):
        region = self.member(node_id).region
        tree = self.trees[region]
        coordinators = zone_coordinators(self.roster, self.node_ids, region)
        root = (
            self.root
            if self.root in coordinators.values()
            else min(coordinators.values())
        )
        children = tree.children(node_id, level, self.node_ids, sender, root)
        targets = [(child, level + 1) for child in children]
        if node_id == self.root:
            other_region = 'r1' if region == 'r0' else 'r0'
            coordinators = zone_coordinators(
                self.roster, self.node_ids, other_region
            )
            targets.insert(0, (min(coordinators.values()), 0))
        return targets


class ZoneTrees(DisseminationStrategy):
    """The production push trees, one per zone below its coordinator.

    In production each coordinator receives the change from its own watch.
    Here the root sends it to them, so that all strategies start at one node.
    """

    def targets(self, node_id, _level, _sender):
        member = self.member(node_id)
        tree = self.trees[member.region]
        zone = member.availability_zone
        children = tree.zone_children(node_id, zone, self.node_ids)
        targets = [(child, 1) for child in children]
        if node_id == self.root:
            for region in ('r0', 'r1'):
                coordinators = zone_coordinators(
                    self.roster, self.node_ids, region
                )
                targets = [
                    (coordinator, 1)
                    for coordinator in coordinators.values()
                    if coordinator != node_id
                ] + targets
        return targets


class Gossip(DisseminationStrategy):
    """Each node exchanges versions with a random peer every period."""

    exchanges_digests = True

    def targets(self, _node_id, _level, _sender):
        return []


STRATEGIES = {
    'direct': DirectSends,
    'random tree': RandomTree,
    'zone-ordered round tree': RoundTree,
    'zone trees (pushes)': ZoneTrees,
    'gossip with digests': Gossip,
}


class Simulation:
    """Disseminate one change with one strategy and count the cost.

    As in production, nodes that missed the change catch up: every half second
    a round announces the version down the round tree, and nodes without that
    version pull it.
    """

    def __init__(self, strategy, roster, seed, *, loss=0.0, dead_zone=''):
        self.rng = random.Random(seed)
        self.loss, self.roster = loss, roster
        self.root = min(roster.members)
        self.strategy = STRATEGIES[strategy](roster, self.root, self.rng)
        self.rounds = RoundTree(roster, self.root, self.rng)
        self.dead_nodes = {
            member.id
            for member in roster.members.values()
            if member.availability_zone == dead_zone
        }
        self.live_nodes = roster.members.keys() - self.dead_nodes
        self.push = Push((make_change(),))
        self.encoded_size = {
            Push: len(encode(self.push)),
            Pull: len(encode(Pull(1))),
        }
        self.queue, self.sequence = [], itertools.count()
        self.received_at, self.sender_free_at = {}, {}
        self.node_ids = sorted(roster.members)
        self.sent = dict.fromkeys(roster.members, 0)
        self.messages = self.total_bytes = self.cross_zone_bytes = (
            self.repair_messages
        ) = 0
        self.largest_message_b = 0

    def send(self, now, sender, to, kind, level=1, is_repair=False):
        start = max(now, self.sender_free_at.get(sender, 0)) + SEND_TIME_S
        self.sender_free_at[sender] = start
        size = self.encoded_size[kind]
        self.messages += 1
        self.repair_messages += is_repair
        self.total_bytes += size
        self.largest_message_b = max(self.largest_message_b, size)
        self.sent[sender] += size
        sender_member, receiver_member = (
            self.roster.members[sender],
            self.roster.members[to],
        )
        if sender_member.availability_zone != receiver_member.availability_zone:
            self.cross_zone_bytes += size
        base_delay_s = (
            IN_REGION_DELAY_S
            if sender_member.region == receiver_member.region
            else CROSS_REGION_DELAY_S
        )
        arrival = start + base_delay_s * self.rng.uniform(1, 1.1)
        if to not in self.dead_nodes and self.rng.random() >= self.loss:
            event = (arrival, next(self.sequence), kind.__name__)
            heapq.heappush(self.queue, (*event, sender, to, level))

    def receive_change(self, now, node_id, level, sender):
        if node_id in self.received_at:
            return
        self.received_at[node_id] = now
        for target, target_level in self.strategy.targets(
            node_id, level, sender
        ):
            self.send(now, node_id, target, Push, target_level)

    def run_repair_round(self, now):
        """Let nodes pull the change from a round-tree parent that has it."""
        stack = [(self.root, 0, '')]
        while stack:
            node_id, level, sender = stack.pop()
            for child, child_level in self.rounds.targets(
                node_id, level, sender
            ):
                lost = self.rng.random() < self.loss
                if child in self.dead_nodes or lost:
                    continue
                stack.append((child, child_level, node_id))
                if (
                    child not in self.received_at
                    and node_id in self.received_at
                ):
                    self.send(now, child, node_id, Pull, 0, is_repair=True)

    def run_gossip_period(self, now):
        for node_id in sorted(self.live_nodes):
            peer_id = self.rng.choice(self.node_ids)
            if peer_id != node_id:
                level = HAS_CHANGE if node_id in self.received_at else 0
                self.send(now, node_id, peer_id, Pull, level)

    def run(self):
        self.receive_change(0.0, self.root, 0, '')
        period_s = (
            GOSSIP_INTERVAL_S
            if self.strategy.exchanges_digests
            else ROUND_INTERVAL_S
        )
        next_period_at = period_s
        while (
            len(self.received_at) < len(self.live_nodes)
            and next_period_at < TIME_LIMIT_S
        ):
            while self.queue and self.queue[0][0] <= next_period_at:
                now, _, kind, sender, to, level = heapq.heappop(self.queue)
                # A digest states whether its sender has the change.
                sender_has_change = kind == 'Pull' and level == HAS_CHANGE
                if kind == 'Push':
                    self.receive_change(now, to, level, sender)
                elif to in self.received_at and not sender_has_change:
                    self.send(now, to, sender, Push, 99)
                elif (
                    self.strategy.exchanges_digests
                    and sender_has_change
                    and to not in self.received_at
                ):
                    self.send(now, to, sender, Pull, 0)
            if len(self.received_at) < len(self.live_nodes):
                if self.strategy.exchanges_digests:
                    self.run_gossip_period(next_period_at)
                else:
                    self.run_repair_round(next_period_at)
            next_period_at += period_s
        return self.result()

    def result(self):
        nodes = len(self.live_nodes)
        times = sorted(self.received_at.values())
        return {
            'reached': len(times),
            'of': nodes,
            'messages': self.messages,
            'repairs': self.repair_messages,
            'package_b': self.largest_message_b,
            'b_per_node': self.total_bytes / nodes,
            'b_top_node': max(self.sent.values()),
            'b_cross_zone': self.cross_zone_bytes,
            'half_ms': times[len(times) // 2] * 1000,
            'all_ms': round(times[-1] * 1000, 1),
        }


def compare_strategies(sizes):
    """Run all strategies at all sizes, without a fault and with each one."""
    faults = {
        'none': {},
        '1 % of messages lost': {'loss': 0.01},
        'zone b dead': {'dead_zone': 'b'},
    }
    rows = []
    for size, (fault, options), strategy in itertools.product(
        sizes, faults.items(), STRATEGIES
    ):
        roster = make_roster(size)
        runs = [
            Simulation(strategy, roster, SEED + number, **options).run()
            for number in range(RUNS_PER_CASE)
        ]
        rows.append(
            {
                'nodes': size,
                'fault': fault,
                'way': strategy,
                'unreached': sum(run['of'] - run['reached'] for run in runs),
                **{name: mean(runs, name) for name in AVERAGED_FIGURES},
                'worst_all_ms': max(run['all_ms'] for run in runs),
            }
        )
    return rows


def mean(runs, name):
    """Return the mean of one figure over runs."""
    return round(statistics.fmean(run[name] for run in runs), 1)


class CpuTimer:
    """Accumulate the CPU time spent inside ``with`` blocks, in seconds."""

    def __init__(self):
        self.total_s = 0.0

    def __enter__(self):
        self.started_s = time.process_time()

    def __exit__(self, *_):
        self.total_s += time.process_time() - self.started_s


def measure_rounds(roster, rounds=20):
    """Return the cost per node of a round by all region coordinators."""
    state = ConfigState(version=1, roster=roster)
    live = frozenset(roster.members)
    confirmers = {
        member.id: Confirmer(member, state)
        for member in roster.members.values()
    }
    for confirmer in confirmers.values():
        confirmer.seed_accepted_version(1)
    timer, messages = CpuTimer(), 0
    sent_per_node = dict.fromkeys(confirmers, 0)
    last_round = []
    for number in range(rounds + 2):
        if number == 2:  # The first rounds fill the caches of the trees.
            timer, messages = CpuTimer(), 0
            sent_per_node = dict.fromkeys(confirmers, 0)
        now = 10 + number * 0.5
        with timer:
            queue = [
                (node_id, envelope)
                for node_id, confirmer in confirmers.items()
                for envelope in confirmer.tick(now, live)
            ]
            for sender, (to, message) in queue:
                replies = confirmers[to].receive(now, sender, message)
                queue.extend((to, reply) for reply in replies)
        messages += len(queue)
        for sender, (_, message) in queue:
            sent_per_node[sender] += 1
        last_round = [message for _, (_, message) in queue]
    confirmed = sum(
        confirmer.is_confirmed(now) for confirmer in confirmers.values()
    )
    sizes = [len(encode(message)) for message in last_round]
    most_messages = max(sent_per_node.values()) / rounds
    count = len(confirmers) * rounds
    return {
        'confirmed': confirmed,
        'cpu_us_per_node': round(timer.total_s / count * 1e6, 2),
        'messages_per_node': round(messages / count, 2),
        'most_messages_of_a_node': round(most_messages, 1),
        'bytes_sent_per_node': round(sum(sizes) / len(confirmers), 1),
        'largest_frame_bytes': max(sizes),
        'tick_without_work_us': measure_idle_tick(confirmers, now + 0.01, live),
    }


def measure_idle_tick(confirmers, now, live):
    """Return the CPU microseconds of a tick when nothing is due."""
    timer = CpuTimer()
    with timer:
        for _ in range(20):
            for confirmer in confirmers.values():
                confirmer.tick(now, live)
    return round(timer.total_s / 20 / len(confirmers) * 1e6, 2)


def measure_codec(repeats=5000):
    """Return the CPU microseconds to encode and decode a round message."""
    round_down = RoundDown(
        'vm-0000', 1, 'r0', 9, 8, 8, RoundResult(8, 8, 8, (('r0', 8),)), True
    )
    frame = encode(round_down)
    encode_timer, decode_timer = CpuTimer(), CpuTimer()
    with encode_timer:
        for _ in range(repeats):
            encode(round_down)
    with decode_timer:
        for _ in range(repeats):
            decode(frame)
    return {
        'encode_us': round(encode_timer.total_s / repeats * 1e6, 2),
        'decode_us': round(decode_timer.total_s / repeats * 1e6, 2),
    }


def measure_membership(
    roster, churn_per_s, nodes=12, duration_s=300, tick_s=0.05
):
    """Return the cost of membership while the states of other nodes change.

    ``nodes`` real members have the whole roster. The other members are
    simulated: they answer each probe and piggyback the newest change.
    ``churn_per_s`` is the number of state changes per second.
    """
    members = list(roster.members.values())
    rng = random.Random(SEED)
    memberships = {}
    for member in members[:nodes]:
        memberships[member.id] = Membership(
            member, rng=random.Random(member.id)
        )
        memberships[member.id].add_seeds(members)
    tick_timer, probe_timer = CpuTimer(), CpuTimer()
    frames = []
    updates = [
        MemberStatus(rng.choice(members[nodes:]), 'alive', number)
        for number in range(round(duration_s * churn_per_s) + 2)
    ]
    steps = round(duration_s / tick_s)
    for step in range(steps):
        now = step * tick_s
        newest_update = (updates[round(now * churn_per_s)],)
        for node_id, membership in memberships.items():
            with tick_timer:
                sent = membership.tick(now)
            for to, message in sent:
                frames.append(message)
                ack, ping = (
                    Ack(message.probe, to, newest_update),
                    Ping(step, newest_update),
                )
                with probe_timer:
                    membership.receive(now, to, ack)
                    answers = membership.receive(now, to, ping)
                frames.extend(answer.message for answer in answers)
    sizes = [len(encode(message)) for message in frames]
    cpu_s = tick_timer.total_s + probe_timer.total_s
    return {
        'tick_us': round(tick_timer.total_s / steps / nodes * 1e6, 2),
        'probe_us': round(probe_timer.total_s / len(frames) * 2e6, 2),
        'cpu_us_per_node_and_s': round(cpu_s / nodes / duration_s * 1e6, 1),
        'mean_message_b': round(sum(sizes) / len(sizes), 1),
        'largest_message_b': max(sizes),
        'b_sent_per_node_and_s': round(sum(sizes) / nodes / duration_s, 1),
        'messages_per_node_and_s': round(len(frames) / nodes / duration_s, 2),
    }


def measure_memory(roster):
    """Return the memory of one node's membership and tree in KB."""
    members = list(roster.members.values())
    tracemalloc.start()
    membership = Membership(members[0], rng=random.Random(SEED))
    membership.add_seeds(members)
    state = ConfigState(version=1, roster=roster)
    confirmer = Confirmer(members[0], state)
    confirmer.tick(1, frozenset(roster.members))
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return round(used_bytes / 1024)


def calibrate():
    """Return the CPU milliseconds of a fixed loop, to compare machines."""
    timer, checksum = CpuTimer(), 0
    with timer:
        for number in range(1_000_000):
            checksum += number
    return round(timer.total_s * 1000, 1)


def print_table(rows):
    """Print rows of equal keys as a table."""
    names = list(rows[0])
    table = [names, *([str(row[name]) for name in names] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*table)]
    for line in table:
        cells = (cell.ljust(width) for cell, width in zip(line, widths))
        print('  '.join(cells).rstrip())
    print()


def main():
    """Run all measurements, print the tables and write the JSON file."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument('--sizes', type=int, nargs='+', default=SIZES)
    sizes = parser.parse_args().sizes
    comparison = compare_strategies(sizes)
    cpu = []
    for size in sizes:
        roster = make_roster(size)
        rounds = measure_rounds(roster)
        # 3,100 restarts a day at 1,800 nodes, with three state changes each:
        # left or dead, alive, and a refutation.
        normal_churn = measure_membership(
            roster, 3 * 3100 / 86400 * size / 1800
        )
        heavy_churn = measure_membership(roster, 10)
        cpu.append(
            {
                'nodes': size,
                **{f'round.{name}': value for name, value in rounds.items()},
                **{
                    f'probe.{name}': value
                    for name, value in normal_churn.items()
                },
                **{
                    f'storm.{name}': value
                    for name, value in heavy_churn.items()
                },
                'rounds_and_probes_b_per_node_and_s': round(
                    rounds['bytes_sent_per_node'] / ROUND_INTERVAL_S
                    + normal_churn['b_sent_per_node_and_s'],
                    1,
                ),
                'memory_kb': measure_memory(roster),
            }
        )
    codec = measure_codec()
    results = {
        'seed': SEED,
        'assumptions': {
            'latency_in_region_ms': IN_REGION_DELAY_S * 1000,
            'latency_between_regions_ms': CROSS_REGION_DELAY_S * 1000,
            'send_ms': SEND_TIME_S * 1000,
            'round_s': ROUND_INTERVAL_S,
            'gossip_s': GOSSIP_INTERVAL_S,
        },
        'calibration_loop_ms': calibrate(),
        'codec': codec,
        'spread': comparison,
        'cpu': cpu,
    }
    print_table(comparison)
    print_table(
        [
            {'figure': name, **{str(row['nodes']): row[name] for row in cpu}}
            for name in cpu[0]
            if name != 'nodes'
        ]
    )
    print_table([{**codec, 'calibration_ms': results['calibration_loop_ms']}])
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(results, indent=1) + '\n')


if __name__ == '__main__':
    main()
