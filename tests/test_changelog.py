"""The change log keeps one total order when writes fail or conflict."""

import collections
import dataclasses
import random

import anyio
import pytest
from trio.testing import MockClock

from ibismount import _commit, changelog
from ibismount.cause import Origin
from ibismount.changelog import (
    ChangeLog,
    CommitStatus,
    Proposal,
    apply_or_skip,
)
from ibismount.config import ChangeKind, ConfigState
from ibismount.errors import ErrorCode
from ibismount.object_store import PlatformError
from tests.fakes import InterleavingExplorer, MemoryPlatform, SteppedPlatform


def run(body):
    anyio.run(
        body,
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )


def make_proposal(change_id, key='north', in_service=False, expected=None):
    return Proposal(
        change_id,
        ChangeKind.ZONE,
        key,
        {'in_service': in_service},
        Origin.OPERATOR,
        'ann',
        expected,
    )


def test_lost_commit_answer_is_read_back():
    """Guards against a committed change that is reported as failed."""

    async def body():
        platform = MemoryPlatform()
        log = ChangeLog(platform)
        platform.faults.lose_write_answers = 1
        result = await log.commit(ConfigState, make_proposal('c1'))
        assert result.status is CommitStatus.COMMITTED
        assert [change.change_id for change in await log.changes_after(0)] == [
            'c1'
        ]

    run(body)


def test_race_conflicts_on_the_entry_and_retries_on_others():
    """Guards against lost updates and unnecessary conflicts."""

    async def body():
        log = ChangeLog(MemoryPlatform())
        await log.commit(ConfigState, make_proposal('c1', expected=0))
        other = await log.commit(
            ConfigState, make_proposal('c2', 'south', expected=0)
        )
        assert other.status is CommitStatus.COMMITTED
        assert other.version == 2
        lost = await log.commit(ConfigState, make_proposal('c3', expected=0))
        assert lost.status is CommitStatus.CONFLICT
        assert lost.change.change_id == 'c1'

    run(body)


class ConcurrentWriters:
    """Several nodes that commit concurrently, with seeded faults."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        rate = self.rng.choice((0, 0.1, 0.3, 0.6))
        self.explorer = InterleavingExplorer(
            self.rng, fault_rate=rate, kill_rate=rate / 20
        )
        self.results = {}
        self.proposals = {}

    async def explore(self):
        writer_names = [f'c{index}' for index in range(5)]
        await self.explorer.run(
            {name: lambda name=name: self.write(name) for name in writer_names}
        )

    async def write(self, name):
        log = ChangeLog(SteppedPlatform(self.explorer, name), max_attempts=6)
        try:
            state = await log.load()
        except PlatformError:
            return
        key = self.rng.choice(('north', 'south'))
        seen = state.entry_version(ChangeKind.ZONE, key)
        proposal = make_proposal(name, key, True, self.rng.choice((None, seen)))
        self.proposals[name] = proposal
        for _ in range(3):
            try:
                result = await log.commit(lambda: state, proposal)
            except PlatformError:
                self.results[name] = 'not committed'
                return
            self.results[name] = result.status
            if result.status is not CommitStatus.UNKNOWN:
                return
            proposal = dataclasses.replace(
                proposal, unsettled_version=result.version
            )

    async def check(self):
        log = ChangeLog(MemoryPlatform(self.explorer.store))
        changes = await log.changes_after(0)
        assert len(changes) == len(self.explorer.store.list('changes/'))
        counts = collections.Counter(entry.change_id for entry in changes)
        assert set(counts.values()) <= {1}, 'committed twice'
        for name, result in self.results.items():
            if result is CommitStatus.COMMITTED:
                assert counts[name] == 1, 'a committed change is missing'
            elif result is not CommitStatus.UNKNOWN:
                assert not counts[name], 'a refused change is in the log'
        state = ConfigState()
        for change in changes:
            expected = self.proposals[change.change_id].expected_version
            seen = state.entry_version(change.kind, change.key)
            assert expected in {None, seen}, 'an update was lost'
            assert apply_or_skip(state, change)


def test_commit_leaves_the_nodes_state_alone():
    """Guards against a commit that modifies the node's state.

    The node would then skip the changes that the commit had applied.
    """

    async def body():
        platform = MemoryPlatform()
        log = ChangeLog(platform)
        member = next(target_size_entries())[2]['joined'][0]
        roster = {'joined': [member], 'removed': []}
        await log.commit(
            ConfigState,
            Proposal(
                'r', ChangeKind.ROSTER, 'roster', roster, Origin.SYSTEM, ''
            ),
        )
        state = ConfigState()
        result = await log.commit(lambda: state, make_proposal('c2'))
        assert result.version == 2
        assert state == ConfigState()

    run(body)


def explore_seeds(seeds):
    """Check each seed; return how often each result occurred."""
    result_counts = collections.Counter()
    for seed in range(seeds):
        writers = ConcurrentWriters(seed)

        async def body(writers=writers):
            await writers.explore()
            await writers.check()

        run(body)
        result_counts.update(writers.results.values())
    return result_counts


def test_results_of_commits_are_true():
    """Guards against wrong outcomes, double commits and lost updates."""
    result_counts = explore_seeds(300)
    assert result_counts[CommitStatus.COMMITTED] > 300
    assert (
        min(result_counts[result] for result in ('not committed', 'conflict'))
        > 20
    )
    assert result_counts[CommitStatus.UNKNOWN] > 20


def test_check_fails_without_the_read_back(monkeypatch):
    """Guards against a check that would not detect a wrong outcome."""

    async def try_once(self, at):
        change = self._build_change(at)
        try:
            await self._log.create_change(change)
        except PlatformError as exc:
            if exc.code is not ErrorCode.ALREADY_EXISTS:
                raise
            return await self._catch_up()
        return _commit.CommitResult(CommitStatus.COMMITTED, change)

    monkeypatch.setattr(_commit.Commit, '_attempt_write', try_once)
    with pytest.raises(AssertionError, match='a refused change is in the log'):
        explore_seeds(300)


def test_check_fails_without_the_entry_version(monkeypatch):
    """Guards against a check that would not detect a lost update."""
    commit = ChangeLog.commit

    async def overwrite(self, provider, proposal):
        proposal = dataclasses.replace(proposal, expected_version=None)
        return await commit(self, provider, proposal)

    monkeypatch.setattr(ChangeLog, 'commit', overwrite)
    with pytest.raises(AssertionError, match='an update was lost'):
        explore_seeds(300)


def test_foreign_objects_do_not_stop_the_log(caplog):
    """Guards against an invalid object that blocks all later changes."""

    async def body():
        platform = MemoryPlatform()
        log = ChangeLog(platform)
        platform.store.create('changes/000000000001', b'[' * 100_000)
        platform.store.create('changes/000000000002', b'{"version": 2}')
        platform.store.create('changes/note', b'')
        result = await log.commit(ConfigState, make_proposal('c3'))
        assert result.version == 3
        state = await log.load()
        assert (state.version, state.zone_in_service('north')) == (3, False)
        with anyio.move_on_after(60):
            async for change in log.watch(2):
                assert change.change_id == 'c3'
        # The unrelated key ends each watch at once; this must not spin.
        assert platform.meter.watches < 70

    run(body)
    assert 'skipped changes/000000000001' in caplog.text


def test_watch_outlives_an_outage_without_a_gap():
    """Guards against a watcher that misses the changes of an outage."""

    async def body():
        platform = MemoryPlatform()
        log = ChangeLog(platform)
        writer = ChangeLog(MemoryPlatform(platform.store))
        seen = []

        async def watch():
            async for change in log.watch(0):
                seen.append(change.version)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            for version in range(1, 7):
                platform.faults.outage = version in {3, 4, 5}
                await writer.commit(ConfigState, make_proposal(f'c{version}'))
                await anyio.sleep(100)
            tasks.cancel_scope.cancel()
        assert seen == [1, 2, 3, 4, 5, 6]

    run(body)


def test_state_of_the_target_size_loads_whole():
    """Guards against a state that is too large or loses a table."""

    async def body():
        platform = MemoryPlatform()
        log = ChangeLog(platform)
        for kind, key, fields in target_size_entries():
            result = await log.commit(
                ConfigState,
                Proposal(key, kind, key, fields, Origin.SYSTEM, 'test'),
            )
            assert result.status is CommitStatus.COMMITTED
        state = await log.load()
        await log.write_state(state)
        # With an empty log, everything must come from the stored state.
        for stored in platform.store.list('changes/'):
            platform.store.delete(stored.key)
        assert await log.load() == state
        # Loading skips a newer state that is unreadable.
        platform.store.create('states/999999999999', b'no state')
        assert await log.load() == state

    run(body)


def test_stored_states_and_accepted_versions_stay_in_bounds():
    """Guards against states that accumulate and versions that decrease."""

    async def body():
        platform = MemoryPlatform()
        log = ChangeLog(platform)
        for version in range(64, 64 * 20, 64):
            await log.write_state(ConfigState(version=version))
            await log.write_state(ConfigState(version=version))
        kept = platform.store.list('states/')
        assert len(kept) <= changelog.MAX_STORED_STATES + 1
        assert kept[-1].key.endswith('1216')
        assert await log.read_accepted_version('midlands') == 0
        for stored, expected in ((7, 7), (9, 9), (8, 9)):
            platform.faults.lose_write_answers = 1
            await log.store_accepted_version('midlands', stored)
            assert await log.read_accepted_version('midlands') == expected

    run(body)


def target_size_entries():
    """Yield the entries of a configuration of the target size.

    It has 1,800 nodes and 11,000 replicas.
    """
    members = [
        {
            'id': f'node-{index}',
            'incarnation': random.Random(index).getrandbits(63),
            'availability_zone': f'zone-{index % 10}',
            'region': f'region-{index % 2}',
            'link_address': f'10.0.{index // 250}.{index % 250}:7000',
            'api_address': f'10.0.{index // 250}.{index % 250}:8000',
        }
        for index in range(1800)
    ]
    yield ChangeKind.ROSTER, 'roster', {'joined': members, 'removed': []}
    template = {'name': 'search', 'collection': 'jobs-0'}
    yield ChangeKind.TEMPLATE, 'search', template
    yield (
        ChangeKind.PARAMETERS,
        'wrekin/search',
        {'team': 'wrekin', 'template': 'search', 'weight': 2},
    )
    yield ChangeKind.ZONE, 'north', {'in_service': False}
    yield ChangeKind.VM, 'node-7', {'in_service': False}
    for number in range(14):
        servers = [
            {
                'id': f'jobs-{number}-{index}',
                'address': f'10.1.{number}.{index % 250}:{9000 + index}',
                'availability_zone': f'zone-{index % 10}',
                'shard': f'shard-{index // 3}',
                'snapshots': ['2026-12-04T09', '2026-12-04T10'],
            }
            for index in range(786)
        ]
        shards = sorted({server['shard'] for server in servers})
        yield (
            ChangeKind.CATALOG,
            f'jobs-{number}',
            {
                'collection': f'jobs-{number}',
                'snapshots': [{'id': '2026-12-04T10', 'shards': shards}],
                'servers': servers,
            },
        )
