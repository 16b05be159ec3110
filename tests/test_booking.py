"""A booking runs at most once, whatever happens to its senders."""

import random

import anyio
import pytest
from trio.testing import MockClock

from ibismount.booking import (
    CLOCK_SKEW_S,
    MAX_AGE_S,
    BookingDesk,
    ClaimResult,
    ClaimStatus,
    Outcome,
)
from ibismount.errors import ErrorCode
from ibismount.object_store import PlatformError
from tests.fakes import InterleavingExplorer, MemoryPlatform, SteppedPlatform

NOW = 1_800_000_000.0
ID = '1800000000000-abcdefgh'


def run(body):
    anyio.run(
        body,
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )


def test_later_attempt_gets_the_recorded_answer():
    """Guards against a second run when the caller tries again."""

    async def body():
        desk = BookingDesk(MemoryPlatform(), now_unix=lambda: NOW)
        first = await desk.claim('t', ID, 'a1')
        assert first.status is ClaimStatus.CLAIMED
        again = await desk.claim('t', ID, 'a2')
        assert again.status is ClaimStatus.UNKNOWN
        assert await desk.record(first, Outcome.DONE, {'ref': 7})
        again = await desk.claim('t', ID, 'a3')
        assert again.status is ClaimStatus.EARLIER
        assert again.answer == {'ref': 7}

    run(body)


def test_slow_claim_is_refused_and_given_back():
    """Guards against a caller that waits for a slow platform."""

    async def body():
        platform = MemoryPlatform()
        desk = BookingDesk(platform, now_unix=lambda: NOW)
        platform.faults.delay_s = 1
        result = await desk.claim('t', ID, 'a1', timeout_s=1.5)
        assert result.status is ClaimStatus.CLAIMED
        platform.faults.delay_s = 60
        start = anyio.current_time()
        late = await desk.claim('t', ID, 'a2', timeout_s=1.5)
        assert late.status is ClaimStatus.NOT_RUN
        assert late.unsettled
        assert anyio.current_time() - start < 1.6
        platform.faults.delay_s = 0
        # The claim of the other attempt is not given back with it.
        assert not await desk.release(late)
        assert await desk.release(result)
        again = await desk.claim('t', ID, 'a3')
        assert again.status is ClaimStatus.CLAIMED

    run(body)


@pytest.mark.parametrize(
    ('request_id', 'code'),
    (
        ('1799913599999-abcdefgh', ErrorCode.REQUEST_ID_EXPIRED),
        ('1800000300001-abcdefgh', ErrorCode.BAD_REQUEST),
        ('1800000000000-../../x', ErrorCode.BAD_REQUEST),
        ('1800000000000-abc', ErrorCode.BAD_REQUEST),
    ),
)
def test_bad_request_ids_write_nothing(request_id, code):
    """Guards against a claim that outlives or escapes its key space."""

    async def body():
        platform = MemoryPlatform()
        desk = BookingDesk(platform, now_unix=lambda: NOW)
        result = await desk.claim('t', request_id, 'a1')
        assert result.status is ClaimStatus.NOT_RUN
        assert result.cause.code is code
        assert not platform.meter.writes

    run(body)


def test_refused_write_still_finds_the_earlier_answer():
    """Guards against "not run" for a booking that can be seen to have run."""

    async def body():
        platform = MemoryPlatform()
        desk = BookingDesk(platform, now_unix=lambda: NOW)
        first = await desk.claim('t', ID, 'a1')
        await desk.record(first, Outcome.DONE, {'ref': 7})
        # The last write for a long time.
        platform.faults.max_writes_per_s = 1e-9
        await platform.create('other', b'')
        assert (await desk.claim('t', ID, 'a2')).answer == {'ref': 7}

    run(body)


class World:
    """Several nodes' senders of one request id, with faults from a seed."""

    def __init__(self, seed, *, desk_class=BookingDesk, fault_rate=None):
        self.rng = random.Random(seed)
        if fault_rate is None:
            fault_rate = self.rng.choice((0.1, 0.3, 0.6))
        self.faulty = fault_rate > 0
        self.refusal_rate = self.rng.choice((0.1, 0.7)) if fault_rate else 0
        self.explorer = InterleavingExplorer(
            self.rng, fault_rate=fault_rate, kill_rate=fault_rate / 10
        )
        self.desk_class = desk_class
        self.now = NOW
        self.dispatched = []
        self.answers = {}
        self.unreleased = 0

    def desk(self, platform):
        skew = self.rng.uniform(-CLOCK_SKEW_S, CLOCK_SKEW_S) / 2
        return self.desk_class(
            platform, now_unix=lambda: self.now + skew, rng=random.Random(1)
        )

    async def explore(self):
        tasks = {
            f'a{index}': lambda name=f'a{index}': self.send(name)
            for index in range(4)
        }
        tasks['cleaner'] = self.clean
        between = (self.pass_minute, self.pass_day) if self.faulty else ()
        await self.explorer.run(tasks, between)

    def pass_minute(self):
        self.now += 60

    def pass_day(self):
        self.now += MAX_AGE_S + 2 * CLOCK_SKEW_S

    async def send(self, name):
        desk = self.desk(SteppedPlatform(self.explorer, name))
        result = await desk.claim('t', ID, name)
        if result.status is ClaimStatus.CLAIMED:
            self.answers[name] = await self.run_claimed(desk, name, result)
            return
        self.answers[name] = result.status
        if result.status is ClaimStatus.EARLIER:
            assert result.answer['by'] in self.dispatched
        if result.unsettled:
            await self.release(desk, result)

    async def run_claimed(self, desk, name, result):
        await self.explorer.step(name)
        if self.rng.random() < self.refusal_rate:
            # Every gateway refused before a byte of the request left.
            await self.release(desk, result)
            return ClaimStatus.NOT_RUN
        self.dispatched.append(name)
        await self.explorer.step(name)
        await desk.record(result, Outcome.DONE, {'by': name})
        return ClaimStatus.CLAIMED

    async def release(self, desk, result):
        # Stays counted when the sender is killed meanwhile.
        self.unreleased += 1
        self.unreleased -= await desk.release(result)

    async def clean(self):
        desk = self.desk(SteppedPlatform(self.explorer, 'cleaner'))
        for _ in range(8):
            try:
                await desk.clean_some()
            except PlatformError:
                continue

    async def check(self):
        assert len(self.dispatched) <= 1, 'ran more than once'
        for name, answer in self.answers.items():
            if answer is ClaimStatus.NOT_RUN:
                assert name not in self.dispatched
        desk = self.desk(MemoryPlatform(self.explorer.store))
        await self.check_next_attempt(desk)
        # Nothing is kept longer than its id is taken.
        self.pass_day()
        while await desk.clean_some():
            continue
        assert not self.explorer.store.list('claims/')

    async def check_next_attempt(self, desk):
        settled = len(self.answers) == 4 and not (
            self.unreleased or self.explorer.late_writes_applied
        )
        if self.now - NOW > MAX_AGE_S / 2 or not settled:
            return
        fresh = await desk.claim('t', ID, 'fresh')
        # A booking that was only ever refused runs at the next attempt.
        assert bool(self.dispatched) == (
            fresh.status is not ClaimStatus.CLAIMED
        )


def explore(seeds, **options):
    """Return the first seed whose check fails, with the number of runs."""
    runs = 0
    for seed in range(seeds):
        world = World(seed, **options)

        async def body(world=world):
            await world.explore()
            await world.check()

        try:
            run(body)
        except* AssertionError as exc:
            reason = exc.exceptions[0]
            raise AssertionError(f'seed {seed}: {reason}') from exc
        runs += len(world.dispatched)
    return runs


def test_booking_runs_at_most_once():
    """Guards against a second run after lost answers, kills and pauses."""
    # Most seeds still book; refusing everything would be no proof.
    assert explore(400) > 150


def test_booking_runs_when_nothing_is_wrong():
    """Guards against a claim that blocks its own booking."""
    assert explore(50, fault_rate=0) == 50


class Unclaimed(BookingDesk):
    async def _take(self, key, attempt_id, value):
        return ClaimResult(ClaimStatus.CLAIMED, key, attempt_id)


class TrustsLostAnswers(BookingDesk):
    """Dispatches when it cannot tell who holds the claim."""

    async def _take(self, key, attempt_id, value):
        result = await super()._take(key, attempt_id, value)
        if result.unsettled:
            return ClaimResult(ClaimStatus.CLAIMED, key, attempt_id)
        return result


class ChecksAgeOnce(BookingDesk):
    def _check_age(self, key, request_id, attempt_id):
        if getattr(self, 'checked', False):
            return None
        self.checked = True
        return super()._check_age(key, request_id, attempt_id)


@pytest.mark.parametrize(
    'desk_class', (Unclaimed, TrustsLostAnswers, ChecksAgeOnce)
)
def test_check_fails_without_each_safeguard(desk_class):
    """Guards against a check that would not see a second run."""
    with pytest.raises(AssertionError, match='ran more than once'):
        explore(400, desk_class=desk_class)
