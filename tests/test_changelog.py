"""The change log stays one order, whatever happens to single writes."""

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


def propose(change_id, key='north', in_service=False, expected=None):
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
        result = await log.commit(ConfigState, propose('c1'))
        assert result.status is CommitStatus.COMMITTED
        assert [one.change_id for one in await log.changes_after(0)] == ['c1']

    run(body)


def test_race_conflicts_on_the_entry_and_retries_on_others():
    """Guards against a lost update and against needless conflicts."""

    async def body():
        log = ChangeLog(MemoryPlatform())
        await log.commit(ConfigState, propose('c1', expected=0))
        other = await log.commit(
            ConfigState, propose('c2', 'south', expected=0)
        )
        assert other.status is CommitStatus.COMMITTED
        assert other.version == 2
        lost = await log.commit(ConfigState, propose('c3', expected=0))
        assert lost.status is CommitStatus.CONFLICT
        assert lost.change.change_id == 'c1'

    run(body)


class Writers:
    """Several nodes that commit at once, with faults from a seed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        rate = self.rng.choice((0, 0.1, 0.3, 0.6))
        self.explorer = InterleavingExplorer(
            self.rng, fault_rate=rate, kill_rate=rate / 20
        )
        self.results = {}
        self.proposals = {}

    async def explore(self):
        names = [f'c{index}' for index in range(5)]
        await self.explorer.run(
            {name: lambda name=name: self.write(name) for name in names}
        )

    async def write(self, name):
        log = ChangeLog(SteppedPlatform(self.explorer, name), commit_tries=6)
        try:
            state = await log.load()
        except PlatformError:
            return
        key = self.rng.choice(('north', 'south'))
        seen = state.entry_version(ChangeKind.ZONE, key)
        proposal = propose(name, key, True, self.rng.choice((None, seen)))
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
        counts = collections.Counter(one.change_id for one in changes)
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
    """Guards against a node that skips changes its own commit has applied."""

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
        result = await log.commit(lambda: state, propose('c2'))
        assert result.version == 2
        assert state == ConfigState()

    run(body)


def explore(seeds):
    """Check each seed; return how often each result came."""
    seen = collections.Counter()
    for seed in range(seeds):
        writers = Writers(seed)

        async def body(writers=writers):
            await writers.explore()
            await writers.check()

        run(body)
        seen.update(writers.results.values())
    return seen


def test_results_of_commits_are_true():
    """Guards against false outcomes, double commits and lost updates."""
    seen = explore(300)
    assert seen[CommitStatus.COMMITTED] > 300
    assert min(seen[one] for one in ('not committed', 'conflict')) > 20
    assert seen[CommitStatus.UNKNOWN] > 20


def test_check_fails_without_the_read_back(monkeypatch):
    """Guards against a check that would not see a false outcome."""

    async def try_once(self, at):
        change = self._change(at)
        try:
            await self._log.create_change(change)
        except PlatformError as exc:
            if exc.code is not ErrorCode.ALREADY_EXISTS:
                raise
            return await self._catch_up()
        return _commit.CommitResult(CommitStatus.COMMITTED, change)

    monkeypatch.setattr(_commit.Commit, '_try', try_once)
    with pytest.raises(AssertionError, match='a refused change is in the log'):
        explore(300)


def test_check_fails_without_the_entry_version(monkeypatch):
    """Guards against a check that would not see a lost update."""
    commit = ChangeLog.commit

    async def overwrite(self, provider, proposal):
        proposal = dataclasses.replace(proposal, expected_version=None)
        return await commit(self, provider, proposal)

    monkeypatch.setattr(ChangeLog, 'commit', overwrite)
    with pytest.raises(AssertionError, match='an update was lost'):
        explore(300)


def test_foreign_objects_do_not_stop_the_log(caplog):
    """Guards against one bad object that blocks every later change."""

    async def body():
        platform = MemoryPlatform()
        log = ChangeLog(platform)
        platform.store.create('changes/000000000001', b'[' * 100_000)
        platform.store.create('changes/000000000002', b'{"version": 2}')
        platform.store.create('changes/note', b'')
        result = await log.commit(ConfigState, propose('c3'))
        assert result.version == 3
        state = await log.load()
        assert (state.version, state.zone_in_service('north')) == (3, False)
        with anyio.move_on_after(60):
            async for change in log.watch(2):
                assert change.change_id == 'c3'
        # A watch that the foreign key wakes at once must not spin.
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
                await writer.commit(ConfigState, propose(f'c{version}'))
                await anyio.sleep(100)
            tasks.cancel_scope.cancel()
        assert seen == [1, 2, 3, 4, 5, 6]

    run(body)


def test_state_of_the_target_size_loads_whole():
    """Guards against a state that outgrows one object or loses a table."""

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
        # Only the state object can bring back what the log no longer holds.
        for stored in platform.store.list('changes/'):
            platform.store.delete(stored.key)
        assert await log.load() == state
        # An unreadable newer state falls back to this one.
        platform.store.create('states/999999999999', b'no state')
        assert await log.load() == state

    run(body)


def test_stored_states_and_accepted_versions_stay_in_bounds():
    """Guards against states that pile up and versions that move back."""

    async def body():
        platform = MemoryPlatform()
        log = ChangeLog(platform)
        for version in range(64, 64 * 20, 64):
            await log.write_state(ConfigState(version=version))
            await log.write_state(ConfigState(version=version))
        kept = platform.store.list('states/')
        assert len(kept) <= changelog.STATES_KEPT + 1
        assert kept[-1].key.endswith('1216')
        assert await log.read_accepted('midlands') == 0
        for stored, expected in ((7, 7), (9, 9), (8, 9)):
            platform.faults.lose_write_answers = 1
            await log.store_accepted('midlands', stored)
            assert await log.read_accepted('midlands') == expected

    run(body)


def target_size_entries():
    """Yield entries of 1,800 nodes and 11,000 replicas."""
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
        shards = sorted({one['shard'] for one in servers})
        yield (
            ChangeKind.CATALOG,
            f'jobs-{number}',
            {
                'collection': f'jobs-{number}',
                'snapshots': [{'id': '2026-12-04T10', 'shards': shards}],
                'servers': servers,
            },
        )
