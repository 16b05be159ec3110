"""An entry answers with correct results, coverage and causes.

Tests described by "Shows that" disable a check and expect the failure.
"""

import collections
import dataclasses
import random

import anyio
import pytest

from ibismount.admission import FairQueue
from ibismount.booking import ClaimResult, ClaimStatus, ClaimStore
from ibismount.catalog import Snapshot
from ibismount.cause import system_cause
from ibismount.entry import (
    AnswerStatus,
    BookingRequest,
    EntryOptions,
    SearchRequest,
    fingerprint_of,
)
from ibismount.errors import ErrorCode, IbismountError
from ibismount.load_tracker import LoadTracker
from ibismount.merging import ResultMerger
from ibismount.messages import BatchReply, ItemStatus
from ibismount.permit_return import PermitReturner
from ibismount.quarantine import RunMode
from ibismount.search_run import SearchOptions
from tests.data_fakes import (
    COLLECTION,
    Cluster,
    in_cluster,
    message_with,
    shard_names,
)
from tests.fakes import MemoryPlatform

SLOW_TEMPLATE = {'deadline_ms': 500, 'hard_deadline_ms': 1000}
PARTIAL_TEMPLATE = {**SLOW_TEMPLATE, 'least_coverage': 0.3}


def make_search_request(request_id='r1', team='ann', **fields):
    return SearchRequest(team, 'find', {'text': 'x'}, request_id, **fields)


def run_search(cluster, **fields):
    """Run one search; return its answer."""

    async def scenario(cluster):
        return await cluster.entry.search(make_search_request(**fields))

    return in_cluster(cluster, scenario)


async def run_searches(cluster, count, *, every_s, prefix='r', team='ann'):
    """Start searches at fixed times; return the answers in order."""
    answers = [None] * count

    async def run_numbered_search(number):
        answers[number] = await cluster.entry.search(
            make_search_request(f'{prefix}{number}', team)
        )

    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(run_numbered_search, number)
            await anyio.sleep(every_s)
    return answers


def test_pages_come_from_one_snapshot():
    """Guards against a second page from another snapshot."""
    cluster = Cluster(shards=10, template={'page_size': 20})

    async def scenario(cluster):
        first = await cluster.entry.search(make_search_request())
        cluster.set_catalog(
            [Snapshot('s2', shard_names(10)), Snapshot('s1', shard_names(10))]
        )
        second = await cluster.entry.search(
            make_search_request(cursor=first.cursor)
        )
        cluster.set_catalog([Snapshot('s2', shard_names(10))])
        third = await cluster.entry.search(
            make_search_request(cursor=first.cursor)
        )
        return first, second, third

    first, second, third = in_cluster(cluster, scenario)
    assert [len(first.results), len(second.results)] == [20, 10]
    assert first.snapshot == second.snapshot == 's1'
    assert (
        len({result.id for result in (*first.results, *second.results)}) == 30
    )
    assert not second.cursor
    assert third.status is AnswerStatus.NOT_RUN
    assert third.cause.code is ErrorCode.SNAPSHOT_GONE
    assert cluster.permits_in_use() == 0


# One snapshot for each answer, correct coverage.


def search_during_snapshot_change():
    """Move servers from s1 to s2, which has other shards, under load."""
    cluster = Cluster(
        shards=6, snapshots=('s1',), template=PARTIAL_TEMPLATE, slots=50
    )
    rng = random.Random(5)

    def swap_snapshot(message):
        """Replace some replies as if a server had switched to s2."""
        return [
            message_with(
                message,
                (
                    dataclasses.replace(
                        reply,
                        snapshot='s2',
                        body=reply.body.replace(b's1', b's2'),
                    )
                    if rng.random() < 0.2
                    else reply
                    for reply in message.replies
                ),
            )
        ]

    async def scenario(cluster):
        cluster.links.tamper = swap_snapshot
        async with anyio.create_task_group() as group:
            answers = []

            async def load():
                answers.extend(await run_searches(cluster, 60, every_s=0.003))

            group.start_soon(load)
            await anyio.sleep(0.06)
            cluster.set_catalog(
                [
                    Snapshot('s2', shard_names(9, 'new')),
                    Snapshot('s1', shard_names(6)),
                ]
            )
            await anyio.sleep(0.06)
            for zone in cluster.zones:
                cluster.fleet.missing_snapshots.update(
                    (f'sh{number}@{zone}', 's1') for number in range(6)
                )
            cluster.set_catalog([Snapshot('s2', shard_names(9, 'new'))])
        return answers

    return cluster, in_cluster(cluster, scenario)


def request_ids_with_mixed_snapshots(answers):
    """Return the request ids of answers with results of other snapshots."""
    return [
        answer.request_id
        for answer in answers
        if {result.fields['snapshot'] for result in answer.results}
        - {answer.snapshot}
    ]


def check_answers(cluster, answers):
    """Compare the coverage of answers with the runs of the servers."""
    assert request_ids_with_mixed_snapshots(answers) == []
    for answer in answers:
        assert answer.status is AnswerStatus.ANSWERED
        ran = cluster.fleet.answered_shards(answer.request_id, answer.snapshot)
        stated = answer.coverage.asked - len(answer.coverage.missing)
        assert stated == answer.coverage.answered <= len(ran)
        assert not set(answer.coverage.missing) & {
            result.id.split('/')[0] for result in answer.results
        }


def test_one_snapshot_per_answer_while_versions_change():
    """Guards against answers that mix snapshots or partitionings."""
    cluster, answers = search_during_snapshot_change()
    check_answers(cluster, answers)
    assert {answer.snapshot for answer in answers} == {'s1', 's2'}


def test_answers_mix_snapshots_without_the_check(monkeypatch):
    """Shows that the merger's snapshot check prevents mixed answers."""
    original_add = ResultMerger.add

    def add(merger, attempt_id, reply):
        return original_add(
            merger,
            attempt_id,
            dataclasses.replace(reply, snapshot=merger.snapshot),
        )

    monkeypatch.setattr(ResultMerger, 'add', add)

    cluster, answers = search_during_snapshot_change()
    assert request_ids_with_mixed_snapshots(answers)


class ReplyTamperer:
    """Truncate and duplicate replies; add replies of another batch."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.earlier_replies = []

    def __call__(self, message):
        replies = []
        for reply in message.replies:
            if self.rng.random() < 0.15:
                reply = dataclasses.replace(reply, body=reply.body[:-3])
            replies.extend([reply] * self.rng.choice((1, 1, 2)))
        foreign = [
            dataclasses.replace(reply, index=self.rng.randrange(8))
            for reply in self.earlier_replies[-2:]
        ]
        self.earlier_replies.extend(message.replies)
        crossed = BatchReply('other.0.0', tuple(foreign), final=True)
        own = message_with(message, replies)
        return [crossed, own, own]


def tampered_answers(seed):
    cluster = Cluster(shards=8, template=PARTIAL_TEMPLATE, slots=50)

    async def scenario(cluster):
        cluster.links.tamper = ReplyTamperer(seed)
        # With eight in flight, half of the entry's limit, a late answer halves
        # the limit and the next search is rightly refused.
        return await run_searches(cluster, 30, every_s=0.004)

    return cluster, in_cluster(cluster, scenario)


@pytest.mark.parametrize('seed', range(3))
def test_coverage_is_true_for_duplicated_crossed_and_cut_replies(seed):
    """Guards against replies counted for a shard that they do not answer."""
    cluster, answers = tampered_answers(seed)
    check_answers(cluster, answers)
    for answer in answers:
        assert len(answer.results) == min(20, 3 * answer.coverage.answered)


def test_cut_replies_count_without_the_check(monkeypatch):
    """Shows that parsing each body completely excludes truncated replies."""
    from ibismount import merging

    parse = merging.parse_results
    monkeypatch.setattr(merging, 'parse_results', lambda raw: parse(raw) or [])
    _, answers = tampered_answers(0)
    assert any(
        len(answer.results) < min(20, 3 * answer.coverage.answered)
        for answer in answers
    )


# No shard is missing while a replica can answer.


def answers_under_faults(**options):
    """Search while servers fail or lack the snapshot and a link is cut."""
    cluster = Cluster(
        shards=12,
        slots=50,
        template=SLOW_TEMPLATE,
        entry_options=EntryOptions(search=SearchOptions(**options)),
    )

    async def scenario(cluster):
        behaviour = cluster.fleet.behaviour
        for number, fault in enumerate(('shed', 'lost', 'truncated') * 2):
            behaviour[f'sh{number}@a'] = fault
        for number in range(6, 9):
            cluster.fleet.missing_snapshots.add((f'sh{number}@a', 's1'))
        cluster.links.cut.add('gw-b')
        return await run_searches(cluster, 40, every_s=0.02)

    return cluster, in_cluster(cluster, scenario)


def test_no_shard_is_missing_while_a_replica_can_answer():
    """Guards against a missing shard despite a healthy, idle replica."""
    cluster, answers = answers_under_faults()
    check_answers(cluster, answers)
    assert [answer.coverage.fraction for answer in answers] == [1] * 40
    assert cluster.permits_in_use() == 0


def test_shards_are_missing_without_retries():
    """Shows that retries after definite failures prevent missing shards."""
    _, answers = answers_under_faults(retry=False)
    assert any(answer.coverage.missing for answer in answers)


def test_busy_targets_are_asked_again_within_the_deadline():
    """Guards against a shard missing because its replicas were briefly busy."""
    cluster = Cluster(shards=2, zones=('a',), template=SLOW_TEMPLATE)
    capacity = cluster.capacities['gw-a']

    async def scenario(cluster):
        capacity.refusals['sh0@a'] = ErrorCode.GATEWAY_BUSY
        cluster.group.start_soon(free)
        return await cluster.entry.search(make_search_request())

    async def free():
        await anyio.sleep(0.2)
        capacity.refusals.clear()

    assert in_cluster(cluster, scenario).coverage.fraction == 1


# Refusals are correct.


REFUSALS = {
    'unconfirmed': lambda cluster: setattr(
        cluster.view, 'refusal_cause', system_cause(ErrorCode.UNCONFIRMED)
    ),
    'no gateway': lambda cluster: cluster.dead.update(cluster.gateways),
    'gateways refuse': lambda cluster: [
        setattr(view, 'refusal_cause', system_cause(ErrorCode.UNCONFIRMED))
        for view in cluster.views.values()
    ],
    'servers shed': lambda cluster: cluster.fleet.behaviour.update(
        dict.fromkeys(cluster.state.catalogs[COLLECTION].servers, 'shed')
    ),
    'servers lost': lambda cluster: cluster.fleet.behaviour.update(
        dict.fromkeys(cluster.state.catalogs[COLLECTION].servers, 'lost')
    ),
    'links cut': lambda cluster: cluster.links.cut.update(cluster.gateways),
    'one shard lost': lambda cluster: cluster.fleet.behaviour.update(
        {f'sh0@{zone}': 'dead' for zone in cluster.zones}
    ),
}


def refuse(fault):
    cluster = Cluster(template={'deadline_ms': 100, 'hard_deadline_ms': 200})
    REFUSALS[fault](cluster)
    return cluster, run_search(cluster)


@pytest.mark.parametrize('fault', REFUSALS)
def test_not_run_is_said_only_when_nothing_ran(fault):
    """Guards against "not run" after a server ran a part of the request."""
    cluster, answer = refuse(fault)
    assert answer.status is not AnswerStatus.ANSWERED
    assert answer.cause is not None
    if answer.status is AnswerStatus.NOT_RUN:
        assert not cluster.fleet.runs
    else:
        assert answer.cause.code is ErrorCode.COVERAGE_TOO_LOW
    if fault in {'unconfirmed', 'no gateway', 'gateways refuse'}:
        assert answer.status is AnswerStatus.NOT_RUN


def test_not_run_is_false_when_ambiguous_ends_count_as_refusals(monkeypatch):
    """Shows that refusals and lost work must be kept apart."""
    from ibismount._dispatch import Dispatcher

    original_take = Dispatcher._deliver_replies

    def as_refusals(dispatcher, message):
        replies = (
            reply
            if reply.status is ItemStatus.ANSWERED
            else dataclasses.replace(reply, status=ItemStatus.NOT_RUN)
            for reply in message.replies
        )
        original_take(dispatcher, message_with(message, replies))

    monkeypatch.setattr(Dispatcher, '_deliver_replies', as_refusals)
    cluster, answer = refuse('servers lost')
    assert answer.status is AnswerStatus.NOT_RUN
    assert cluster.fleet.runs


# Bookings.


class NoClaims:
    """A claim store that grants every claim."""

    async def claim(self, team, request_id, attempt_id, **fields):
        return ClaimResult(ClaimStatus.CLAIMED, 'key', attempt_id)

    async def record(self, *args, **fields):
        return True


def book_under_faults(seed, *, claims=True):
    """Book each id three times at two entries, under faults.

    Links are cut, batches and replies are duplicated, servers shed load or
    are lost, and a gateway is unconfirmed at times.
    """
    platform = MemoryPlatform()
    cluster = Cluster(template=SLOW_TEMPLATE, slots=20)
    rng = random.Random(seed)

    def make_claims():
        if not claims:
            return NoClaims()
        return ClaimStore(
            MemoryPlatform(platform.store, faults=platform.faults),
            now_unix=lambda: 1_800_000_000 + anyio.current_time(),
            rng=random.Random(seed),
        )

    entries = [
        cluster.new_entry(claims=make_claims(), seed=seed + number)
        for number in range(2)
    ]
    answers = collections.defaultdict(list)

    async def book(number, entry, pause_s):
        await anyio.sleep(pause_s)
        req = BookingRequest(
            'ann', 'book', f'1800000000000-book{number:05}', 'sh0', {'n': 1}
        )
        answers[req.request_id].append(await entry.book(req))

    async def disturb():
        for _ in range(20):
            cluster.links.cut = {rng.choice([*cluster.gateways])}
            cluster.views['gw-b'].refusal_cause = (
                system_cause(ErrorCode.UNCONFIRMED)
                if rng.random() < 0.5
                else None
            )
            cluster.fleet.behaviour['sh0@c'] = rng.choice(('', 'lost', 'shed'))
            await anyio.sleep(0.01)

    async def scenario(cluster):
        cluster.links.tamper = lambda message: [message, message]
        cluster.links.duplicate = True
        async with anyio.create_task_group() as group:
            group.start_soon(disturb)
            for number in range(30):
                for entry in (*entries, entries[0]):
                    group.start_soon(book, number, entry, rng.random() / 5)

    in_cluster(cluster, scenario)
    runs = collections.Counter(run.request_id for run in cluster.fleet.runs)
    return runs, answers


def booking_faults(runs, answers):
    """Return a description of each wrong booking outcome."""
    faults = []
    for request_id, request_answers in answers.items():
        statuses = {answer.status for answer in request_answers}
        run_count = runs[request_id]
        if run_count > 1:
            faults.append(f'{request_id} ran {run_count} times')
        if run_count and statuses == {AnswerStatus.NOT_RUN}:
            faults.append(f'{request_id} ran but was refused')
        if not run_count and AnswerStatus.ANSWERED in statuses:
            faults.append(f'{request_id} was answered but did not run')
    return faults


@pytest.mark.parametrize('seed', range(3))
def test_booking_runs_at_most_once(seed):
    """Guards against double bookings by lost links, repeats and pauses."""
    runs, answers = book_under_faults(seed)
    assert len(answers) == 30
    assert booking_faults(runs, answers) == []
    assert sum(runs.values()) >= 15


def test_booking_runs_twice_without_claims():
    """Shows that claims prevent double bookings."""
    faults = booking_faults(*book_under_faults(0, claims=False))
    assert any('times' in fault for fault in faults)


# Overload, hedging, silent connections, suspect queries.


def quiet_latencies(**options):
    """Flood with one team; return the other's latencies and refusals."""
    cluster = Cluster(
        shards=2,
        zones=('a',),
        slots=2,
        template={**SLOW_TEMPLATE, 'teams': ('flood', 'quiet')},
        entry_options=EntryOptions(in_flight=20, **options),
    )

    async def scenario(cluster):
        async with anyio.create_task_group() as group:
            group.start_soon(flood, cluster)
            await anyio.sleep(0.1)
            answers = await run_searches(
                cluster, 20, every_s=0.02, prefix='q', team='quiet'
            )
        return answers

    async def flood(cluster):
        await run_searches(cluster, 500, every_s=0.00125, team='flood')

    answers = in_cluster(cluster, scenario)
    refused = [
        answer
        for answer in answers
        if answer.status is not AnswerStatus.ANSWERED
    ]
    return sorted(answer.latency_s for answer in answers), len(refused)


def test_quiet_team_is_served_beside_a_flood():
    """Guards against a flooding team that starves other teams."""
    latencies, refused = quiet_latencies()
    assert refused == 0
    # The latency without load is 6 ms, and each item waits for at most one
    # other.
    assert latencies[-1] < 0.02


def test_quiet_team_suffers_without_fairness(monkeypatch):
    """Shows that the fair queue and the entry's shares prevent starvation."""
    push = FairQueue.push

    def push_if_free(queue, waiter, *, bound):
        return (
            waiter if len(queue) >= bound else push(queue, waiter, bound=bound)
        )

    monkeypatch.setattr(FairQueue, 'push', push_if_free)
    monkeypatch.setattr(
        FairQueue, '_rank', lambda queue, waiter: (waiter.order,)
    )
    latencies, refused = quiet_latencies(admission=False)
    assert refused or latencies[-1] > 0.02


def straggler_latency(**options):
    cluster = Cluster(
        shards=10,
        slots=50,
        template=SLOW_TEMPLATE,
        entry_options=EntryOptions(
            search=SearchOptions(**options), extra_load_fraction=0.2
        ),
    )

    async def scenario(cluster):
        await run_searches(cluster, 20, every_s=0.01)
        cluster.fleet.behaviour['sh0@a'] = 'slow20'
        return await cluster.entry.search(make_search_request())

    return in_cluster(cluster, scenario).latency_s


def test_straggler_is_hedged():
    """Guards against an answer that waits for one slow server."""
    assert straggler_latency() < 0.03
    assert straggler_latency(hedge=False) > 0.1


def test_third_hedge_is_sent_while_three_attempts_run():
    """A search waited for three dead servers while a fourth one was well.

    The number of attempts under way was compared with a flag instead of the
    number of hedges.
    """
    cluster = Cluster(
        shards=6,
        zones=('a', 'b', 'c', 'd'),
        slots=50,
        template=SLOW_TEMPLATE,
        entry_options=EntryOptions(
            search=SearchOptions(), extra_load_fraction=1
        ),
    )
    asked = {}

    async def scenario(cluster):
        await run_searches(cluster, 20, every_s=0.01)
        work = cluster.fleet._work
        started_at = anyio.current_time()

        async def fail_to_answer(server, behaviour):
            if server.shard == 'sh0':
                asked[server.id] = anyio.current_time() - started_at
                await anyio.sleep(10)
            await work(server, behaviour)

        cluster.fleet._work = fail_to_answer
        await cluster.entry.search(make_search_request())

    in_cluster(cluster, scenario)
    _, first_hedge, second_hedge, third_hedge = sorted(asked.values())
    # The second and the third wait for the same time.
    assert third_hedge - second_hedge < 1.5 * (second_hedge - first_hedge)


def silent_latencies():
    """Search while the pooled connections of a zone are silent."""
    cluster = Cluster(
        shards=4,
        zones=('a',),
        slots=50,
        template={
            'deadline_ms': 100,
            'hard_deadline_ms': 100,
            'least_coverage': 0,
        },
    )

    async def scenario(cluster):
        await run_searches(cluster, 5, every_s=0.01)
        cluster.fleet.silent.update(
            f'sh{shard_number}@a' for shard_number in range(4)
        )
        return [
            await cluster.entry.search(make_search_request(f's{number}'))
            for number in range(10)
        ]

    answers = in_cluster(cluster, scenario)
    return [round(answer.latency_s, 3) for answer in answers]


def test_silent_connections_cost_one_bounded_delay():
    """Guards against a delay in every request that uses such a connection."""
    latencies = silent_latencies()
    assert latencies[0] <= 0.1
    assert max(latencies[2:]) < 0.02


def test_silent_connections_cost_every_request_without_the_probe(monkeypatch):
    """Shows that probing and discarding connections bounds the delay."""

    async def return_permit(permit_returner, server, permit, *, probe):
        permit_returner._capacity.record_failure(0, permit)

    monkeypatch.setattr(PermitReturner, 'return_permit', return_permit)
    assert min(silent_latencies()) > 0.09


def paused_gateway_latencies():
    """Search while one gateway accepts batches but sends no replies."""
    cluster = Cluster(shards=12, slots=50, template=SLOW_TEMPLATE)

    async def sleep(batch, send):
        await anyio.sleep_forever()

    async def scenario(cluster):
        await run_searches(cluster, 10, every_s=0.01)
        cluster.gateways['gw-a'].run = sleep
        answers = await run_searches(cluster, 10, every_s=0.08, prefix='p')
        for task in cluster.links.gateway_scopes:
            task.cancel()
        return answers

    answers = in_cluster(cluster, scenario)
    return [
        answer.latency_s for answer in answers if not answer.coverage.missing
    ]


def test_silent_gateway_is_avoided_after_the_first_delay():
    """Guards against delays until the link or membership detects a pause."""
    latencies = paused_gateway_latencies()
    assert len(latencies) >= 9
    assert max(latencies[1:]) < 0.02


def test_silent_gateway_delays_every_search_without_the_block(monkeypatch):
    """Shows that blocking late gateways prevents further delays."""
    monkeypatch.setattr(LoadTracker, 'record_late', lambda *args: None)
    latencies = paused_gateway_latencies()
    assert len(latencies) < 9 or max(latencies[1:]) > 0.02


def run_crashing_query(max_lost_canaries):
    """Run a query that crashes every server; return runs and answers."""
    options = SearchOptions(max_lost_canaries=max_lost_canaries)
    cluster = Cluster(
        shards=10,
        template=SLOW_TEMPLATE,
        entry_options=EntryOptions(search=options),
    )
    servers = cluster.state.catalogs[COLLECTION].servers
    cluster.fleet.behaviour.update(dict.fromkeys(servers, 'lost'))
    runs = []

    async def scenario(cluster):
        answers = []
        for _ in range(3):
            answers.append(await cluster.entry.search(make_search_request()))
            runs.append(len(cluster.fleet.runs))
            await anyio.sleep(2)
        return answers

    return runs, in_cluster(cluster, scenario)


def test_crashing_query_is_tried_on_few_servers():
    """Guards against a query that crashes all backend servers."""
    runs, answers = run_crashing_query(3)
    # Ten runs at first, three canaries, one canary of the second attempt.
    assert runs == [13, 14, 14]
    assert [answer.status for answer in answers] == [
        AnswerStatus.UNKNOWN,
        AnswerStatus.UNKNOWN,
        AnswerStatus.NOT_RUN,
    ]
    assert answers[-1].cause.code is ErrorCode.QUARANTINED


def test_crashing_query_runs_on_without_the_bound():
    """Shows that the bound on lost canaries limits the crashes."""
    runs, _ = run_crashing_query(1000)
    assert runs[0] > 20


def test_query_is_cleared_by_its_canary():
    """Guards against a search stuck in canary mode after a lost server."""
    cluster = Cluster(shards=10, template=SLOW_TEMPLATE)
    cluster.fleet.behaviour['sh0@a'] = 'lost'
    answer = run_search(cluster)
    assert answer.coverage.fraction == 1
    mode = cluster.quarantine.run_mode(
        1, fingerprint_of('ann', 'find', {'text': 'x'})
    )
    assert mode is RunMode.NORMAL


def test_unknown_template_and_team_are_errors():
    """Guards against a refusal that hides a caller's mistake."""
    for team, template, code in (
        ('ann', 'x', ErrorCode.UNKNOWN_TEMPLATE),
        ('x', 'find', ErrorCode.UNKNOWN_TEAM),
        ('ann', 'book', ErrorCode.BAD_REQUEST),
    ):

        async def scenario(cluster, team=team, template=template):
            with pytest.raises(IbismountError) as caught:
                await cluster.entry.search(SearchRequest(team, template, {}))
            return caught.value.code

        assert in_cluster(Cluster(), scenario) is code


def test_unconfirmed_node_refuses_before_it_looks_for_the_template():
    """Guards against "unknown template" from a node that has just started.

    A restarted node without its configuration told callers that their
    template does not exist (scenario bookings_under_faults).
    """
    cluster = Cluster(shards=2)

    async def scenario(cluster):
        view = cluster.entry._view
        view.refusal_cause = system_cause(ErrorCode.UNCONFIRMED)
        view.state.templates.clear()
        return await cluster.entry.search(make_search_request())

    answer = in_cluster(cluster, scenario)
    assert answer.status is AnswerStatus.NOT_RUN
    assert answer.cause.code is ErrorCode.UNCONFIRMED
