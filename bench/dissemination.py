"""Compare ways to spread one change, and measure the control plane's CPU.

Run as ``python -m bench.dissemination``. The product's tree decides who sends
to whom and the product's codec gives the sizes; the network is simulated.
Results go to ``bench/results/dissemination.json``.
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
from ibismount.round_tree import Tree, coordinators

SEED = 7
SIZES = (60, 450, 1800)
FAN_OUT = 16
ZONES = (('r0', 'a'), ('r0', 'b'), ('r0', 'c'), ('r1', 'd'), ('r1', 'e'))
# One way. Jitter of up to a tenth keeps events apart.
REGION_S, FAR_S = 0.0005, 0.015
# A sender encodes and hands over one message after another; the constant
# keeps the simulated times independent of the machine.
SEND_S = 0.00005
ROUND_S = 0.5
GOSSIP_S = 0.1
LIMIT_S = 30.0
INFORMED = 1
# Each case runs with this many seeds, the same ones for all ways.
SEEDS = 20
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
    """Build a change of the size that operators usually make."""
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


AVERAGED = (
    'messages',
    'repairs',
    'package_b',
    'b_per_node',
    'b_top_node',
    'b_cross_zone',
    'half_ms',
    'all_ms',
)


class Spread:
    """Tell to whom a node sends a change that is new to it."""

    digests = False

    def __init__(self, roster, root, rng):
        self.roster, self.root = roster, root
        self.ids = frozenset(roster.members)
        self.trees = {
            region: Tree(roster, region, FAN_OUT) for region in ('r0', 'r1')
        }

    def place(self, node_id):
        return self.roster.members[node_id]


class Direct(Spread):
    """One node sends to all."""

    def targets(self, node_id, _level, _sender):
        if node_id != self.root:
            return []
        return [(one, 1) for one in sorted(self.ids - {node_id})]


class RandomTree(Spread):
    """A tree of the same fan-out over a random order of the nodes."""

    def __init__(self, roster, root, rng):
        super().__init__(roster, root, rng)
        order = sorted(self.ids - {root})
        rng.shuffle(order)
        self.order = [root, *order]
        self.index = {one: number for number, one in enumerate(self.order)}

    def targets(self, node_id, _level, _sender):
        first = self.index[node_id] * FAN_OUT + 1
        return [(one, 1) for one in self.order[first : first + FAN_OUT]]


class RoundTree(Spread):
    """The product's tree of the rounds, one per region."""

    def targets(self, node_id, level, sender):
        region = self.place(node_id).region
        tree = self.trees[region]
        heads = coordinators(self.roster, self.ids, region)
        root = self.root if self.root in heads.values() else min(heads.values())
        below = tree.children(node_id, level, self.ids, sender, root)
        found = [(one, level + 1) for one in below]
        if node_id == self.root:
            other = 'r1' if region == 'r0' else 'r0'
            heads = coordinators(self.roster, self.ids, other)
            found.insert(0, (min(heads.values()), 0))
        return found


class ZoneTrees(Spread):
    """The product's pushes: each zone's tree below its coordinator.

    In the product each coordinator has the change from its own watch; here
    the root sends it to them, so that all ways start from one node.
    """

    def targets(self, node_id, _level, _sender):
        place = self.place(node_id)
        tree = self.trees[place.region]
        zone = place.availability_zone
        below = tree.zone_children(node_id, zone, self.ids)
        found = [(one, 1) for one in below]
        if node_id == self.root:
            for region in ('r0', 'r1'):
                heads = coordinators(self.roster, self.ids, region)
                found = [
                    (one, 1) for one in heads.values() if one != node_id
                ] + found
        return found


class Gossip(Spread):
    """Each node compares versions with a random one each period."""

    digests = True

    def targets(self, _node_id, _level, _sender):
        return []


WAYS = {
    'direct': Direct,
    'random tree': RandomTree,
    'zone-ordered round tree': RoundTree,
    'zone trees (pushes)': ZoneTrees,
    'gossip with digests': Gossip,
}


class Simulation:
    """Spread one change by one way and count what that costs.

    Nodes that missed it are repaired as in the product: each half second a
    round tells its version down the round tree, and who lacks it pulls.
    """

    def __init__(self, way, roster, seed, *, loss=0.0, dead_zone=''):
        self.rng = random.Random(seed)
        self.loss, self.roster = loss, roster
        self.root = min(roster.members)
        self.way = WAYS[way](roster, self.root, self.rng)
        self.rounds = RoundTree(roster, self.root, self.rng)
        self.dead = {
            one.id
            for one in roster.members.values()
            if one.availability_zone == dead_zone
        }
        self.alive = roster.members.keys() - self.dead
        self.push = Push((make_change(),))
        self.size = {Push: len(encode(self.push)), Pull: len(encode(Pull(1)))}
        self.queue, self.order = [], itertools.count()
        self.reached, self.free_at = {}, {}
        self.everyone = sorted(roster.members)
        self.sent = dict.fromkeys(roster.members, 0)
        self.messages = self.bytes = self.cross = self.repairs = 0
        self.largest = 0

    def send(self, now, sender, to, kind, level=1, repair=False):
        start = max(now, self.free_at.get(sender, 0)) + SEND_S
        self.free_at[sender] = start
        size = self.size[kind]
        self.messages += 1
        self.repairs += repair
        self.bytes += size
        self.largest = max(self.largest, size)
        self.sent[sender] += size
        one, other = self.roster.members[sender], self.roster.members[to]
        if one.availability_zone != other.availability_zone:
            self.cross += size
        base = REGION_S if one.region == other.region else FAR_S
        arrival = start + base * self.rng.uniform(1, 1.1)
        if to not in self.dead and self.rng.random() >= self.loss:
            item = (arrival, next(self.order), kind.__name__)
            heapq.heappush(self.queue, (*item, sender, to, level))

    def take(self, now, node_id, level, sender):
        if node_id in self.reached:
            return
        self.reached[node_id] = now
        for target, below in self.way.targets(node_id, level, sender):
            self.send(now, node_id, target, Push, below)

    def repair(self, now):
        """Let those pull whose parent in the round tree has the change."""
        stack = [(self.root, 0, '')]
        while stack:
            node_id, level, sender = stack.pop()
            for child, below in self.rounds.targets(node_id, level, sender):
                lost = self.rng.random() < self.loss
                if child in self.dead or lost:
                    continue
                stack.append((child, below, node_id))
                if child not in self.reached and node_id in self.reached:
                    self.send(now, child, node_id, Pull, 0, repair=True)

    def gossip(self, now):
        for node_id in sorted(self.alive):
            peer = self.rng.choice(self.everyone)
            if peer != node_id:
                level = INFORMED if node_id in self.reached else 0
                self.send(now, node_id, peer, Pull, level)

    def run(self):
        self.take(0.0, self.root, 0, '')
        step = GOSSIP_S if self.way.digests else ROUND_S
        due = step
        while len(self.reached) < len(self.alive) and due < LIMIT_S:
            while self.queue and self.queue[0][0] <= due:
                now, _, kind, sender, to, level = heapq.heappop(self.queue)
                # A digest says whether its sender has the change.
                informed = kind == 'Pull' and level == INFORMED
                if kind == 'Push':
                    self.take(now, to, level, sender)
                elif to in self.reached and not informed:
                    self.send(now, to, sender, Push, 99)
                elif self.way.digests and informed and to not in self.reached:
                    self.send(now, to, sender, Pull, 0)
            if len(self.reached) < len(self.alive):
                if self.way.digests:
                    self.gossip(due)
                else:
                    self.repair(due)
            due += step
        return self.result()

    def result(self):
        nodes = len(self.alive)
        times = sorted(self.reached.values())
        return {
            'reached': len(times),
            'of': nodes,
            'messages': self.messages,
            'repairs': self.repairs,
            'package_b': self.largest,
            'b_per_node': self.bytes / nodes,
            'b_top_node': max(self.sent.values()),
            'b_cross_zone': self.cross,
            'half_ms': times[len(times) // 2] * 1000,
            'all_ms': round(times[-1] * 1000, 1),
        }


def compare(sizes):
    """Run all ways at all sizes, without a fault and with each fault."""
    faults = {
        'none': {},
        '1 % of messages lost': {'loss': 0.01},
        'zone b dead': {'dead_zone': 'b'},
    }
    rows = []
    for size, (fault, options), way in itertools.product(
        sizes, faults.items(), WAYS
    ):
        roster = make_roster(size)
        runs = [
            Simulation(way, roster, SEED + number, **options).run()
            for number in range(SEEDS)
        ]
        rows.append(
            {
                'nodes': size,
                'fault': fault,
                'way': way,
                'unreached': sum(run['of'] - run['reached'] for run in runs),
                **{name: mean(runs, name) for name in AVERAGED},
                'worst_all_ms': max(run['all_ms'] for run in runs),
            }
        )
    return rows


def mean(runs, name):
    """Return the mean of one figure over runs."""
    return round(statistics.fmean(run[name] for run in runs), 1)


class CpuClock:
    """Add up the CPU time spent inside ``with`` blocks."""

    def __init__(self):
        self.total = 0.0

    def __enter__(self):
        self.began = time.process_time()

    def __exit__(self, *_):
        self.total += time.process_time() - self.began


def measure_rounds(roster, rounds=20):
    """Return CPU per node for one round of every coordinator of its region."""
    state = ConfigState(version=1, roster=roster)
    live = frozenset(roster.members)
    nodes = {one.id: Confirmer(one, state) for one in roster.members.values()}
    for node in nodes.values():
        node.seed_accepted(1)
    clock, messages = CpuClock(), 0
    per_node = dict.fromkeys(nodes, 0)
    frames = []
    for number in range(rounds + 2):
        if number == 2:  # The first rounds fill the caches of the trees.
            clock, messages = CpuClock(), 0
            per_node = dict.fromkeys(nodes, 0)
        now = 10 + number * 0.5
        with clock:
            queue = [
                (node_id, envelope)
                for node_id, node in nodes.items()
                for envelope in node.tick(now, live)
            ]
            for sender, (to, message) in queue:
                out = nodes[to].receive(now, sender, message)
                queue.extend((to, one) for one in out)
        messages += len(queue)
        for sender, (_, message) in queue:
            per_node[sender] += 1
        frames = [message for _, (_, message) in queue]
    confirmed = sum(node.is_confirmed(now) for node in nodes.values())
    sizes = [len(encode(message)) for message in frames]
    most = max(per_node.values()) / rounds
    count = len(nodes) * rounds
    return {
        'confirmed': confirmed,
        'cpu_us_per_node': round(clock.total / count * 1e6, 2),
        'messages_per_node': round(messages / count, 2),
        'most_messages_of_a_node': round(most, 1),
        'bytes_sent_per_node': round(sum(sizes) / len(nodes), 1),
        'largest_frame_bytes': max(sizes),
        'tick_without_work_us': idle_tick(nodes, now + 0.01, live),
    }


def idle_tick(nodes, now, live):
    """Return the CPU of a tick at which nothing is due."""
    clock = CpuClock()
    with clock:
        for _ in range(20):
            for node in nodes.values():
                node.tick(now, live)
    return round(clock.total / 20 / len(nodes) * 1e6, 2)


def measure_codec(repeats=5000):
    """Return the CPU of encoding and decoding a round's message."""
    down = RoundDown(
        'vm-0000', 1, 'r0', 9, 8, 8, RoundResult(8, 8, 8, (('r0', 8),)), True
    )
    frame = encode(down)
    writing, reading = CpuClock(), CpuClock()
    with writing:
        for _ in range(repeats):
            encode(down)
    with reading:
        for _ in range(repeats):
            decode(frame)
    return {
        'encode_us': round(writing.total / repeats * 1e6, 2),
        'decode_us': round(reading.total / repeats * 1e6, 2),
    }


def measure_membership(roster, churn, nodes=12, seconds=300, tick_s=0.05):
    """Return the cost of membership while others' states change.

    A dozen nodes know the whole roster; nodes that do not exist answer, and
    bring the newest change each time. ``churn`` is changes per second.
    """
    members = list(roster.members.values())
    rng = random.Random(SEED)
    real = {}
    for member in members[:nodes]:
        real[member.id] = Membership(member, rng=random.Random(member.id))
        real[member.id].add_seeds(members)
    ticks, probes = CpuClock(), CpuClock()
    frames = []
    updates = [
        MemberStatus(rng.choice(members[nodes:]), 'alive', number)
        for number in range(round(seconds * churn) + 2)
    ]
    steps = round(seconds / tick_s)
    for step in range(steps):
        now = step * tick_s
        news = (updates[round(now * churn)],)
        for node_id, node in real.items():
            with ticks:
                sent = node.tick(now)
            for to, message in sent:
                frames.append(message)
                ack, ping = Ack(message.probe, to, news), Ping(step, news)
                with probes:
                    node.receive(now, to, ack)
                    answers = node.receive(now, to, ping)
                frames.extend(answer.message for answer in answers)
    sizes = [len(encode(message)) for message in frames]
    cpu = ticks.total + probes.total
    return {
        'tick_us': round(ticks.total / steps / nodes * 1e6, 2),
        'probe_us': round(probes.total / len(frames) * 2e6, 2),
        'cpu_us_per_node_and_s': round(cpu / nodes / seconds * 1e6, 1),
        'mean_message_b': round(sum(sizes) / len(sizes), 1),
        'largest_message_b': max(sizes),
        'b_sent_per_node_and_s': round(sum(sizes) / nodes / seconds, 1),
        'messages_per_node_and_s': round(len(frames) / nodes / seconds, 2),
    }


def measure_memory(roster):
    """Return the memory that one node's membership and tree take, in KB."""
    members = list(roster.members.values())
    tracemalloc.start()
    node = Membership(members[0], rng=random.Random(SEED))
    node.add_seeds(members)
    state = ConfigState(version=1, roster=roster)
    confirmer = Confirmer(members[0], state)
    confirmer.tick(1, frozenset(roster.members))
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return round(used / 1024)


def calibrate():
    """Return the CPU of a fixed loop, to compare machines and runs."""
    clock, total = CpuClock(), 0
    with clock:
        for number in range(1_000_000):
            total += number
    return round(clock.total * 1000, 1)


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
    """Run everything, print the tables and write the JSON file."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument('--sizes', type=int, nargs='+', default=SIZES)
    sizes = parser.parse_args().sizes
    spread = compare(sizes)
    cpu = []
    for size in sizes:
        roster = make_roster(size)
        rounds = measure_rounds(roster)
        # Each of 3,100 restarts a day at 1,800 nodes changes a state three
        # times: left or dead, alive, and a refutation.
        usual = measure_membership(roster, 3 * 3100 / 86400 * size / 1800)
        storm = measure_membership(roster, 10)
        cpu.append(
            {
                'nodes': size,
                **{f'round.{name}': value for name, value in rounds.items()},
                **{f'probe.{name}': value for name, value in usual.items()},
                **{f'storm.{name}': value for name, value in storm.items()},
                'rounds_and_probes_b_per_node_and_s': round(
                    rounds['bytes_sent_per_node'] / ROUND_S
                    + usual['b_sent_per_node_and_s'],
                    1,
                ),
                'memory_kb': measure_memory(roster),
            }
        )
    codec = measure_codec()
    found = {
        'seed': SEED,
        'assumptions': {
            'latency_in_region_ms': REGION_S * 1000,
            'latency_between_regions_ms': FAR_S * 1000,
            'send_ms': SEND_S * 1000,
            'round_s': ROUND_S,
            'gossip_s': GOSSIP_S,
        },
        'calibration_loop_ms': calibrate(),
        'codec': codec,
        'spread': spread,
        'cpu': cpu,
    }
    print_table(spread)
    print_table(
        [
            {'figure': name, **{str(row['nodes']): row[name] for row in cpu}}
            for name in cpu[0]
            if name != 'nodes'
        ]
    )
    print_table([{**codec, 'calibration_ms': found['calibration_loop_ms']}])
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(found, indent=1) + '\n')


if __name__ == '__main__':
    main()
