"""Tests that a booking runs at most once despite faults of its senders."""

import random

import anyio
import pytest
from trio.testing import MockClock

from ibismount.booking import (
    MAX_CLOCK_SKEW_S,
    MAX_REQUEST_AGE_S,
    ClaimResult,
    ClaimStatus,
    ClaimStore,
    Outcome,
)
from ibismount.errors import ErrorCode
from ibismount.object_store import PlatformError
from tests.fakes import InterleavingExplorer, MemoryPlatform, SteppedPlatform

NOW = 1_800_000_000.0
REQUEST_ID = '1800000000000-abcdefgh'


def run(scenario):
    anyio.run(
        scenario,
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )


def test_later_attempt_gets_the_recorded_answer():
    """Guards against a second run when the caller tries again."""

    async def scenario():
        claims = ClaimStore(MemoryPlatform(), now_unix=lambda: NOW)
        first = await claims.claim('t', REQUEST_ID, 'a1')
        assert first.status is ClaimStatus.CLAIMED
        retry = await claims.claim('t', REQUEST_ID, 'a2')
        assert retry.status is ClaimStatus.UNKNOWN
        assert await claims.record(first, Outcome.DONE, {'ref': 7})
        retry = await claims.claim('t', REQUEST_ID, 'a3')
        assert retry.status is ClaimStatus.EARLIER
        assert retry.answer == {'ref': 7}

    run(scenario)


def test_slow_claim_is_refused_and_released():
    """Guards against a caller that waits for a slow object store."""

    async def scenario():
        platform = MemoryPlatform()
        claims = ClaimStore(platform, now_unix=lambda: NOW)
        platform.faults.delay_s = 1
        result = await claims.claim('t', REQUEST_ID, 'a1', timeout_s=1.5)
        assert result.status is ClaimStatus.CLAIMED
        platform.faults.delay_s = 60
        start = anyio.current_time()
        timed_out = await claims.claim('t', REQUEST_ID, 'a2', timeout_s=1.5)
        assert timed_out.status is ClaimStatus.NOT_RUN
        assert timed_out.unsettled
        assert anyio.current_time() - start < 1.6
        platform.faults.delay_s = 0
        # This does not release the claim of the other attempt.
        assert not await claims.release(timed_out)
        assert await claims.release(result)
        retry = await claims.claim('t', REQUEST_ID, 'a3')
        assert retry.status is ClaimStatus.CLAIMED

    run(scenario)


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
    """Guards against a claim that never expires or has a malformed key."""

    async def scenario():
        platform = MemoryPlatform()
        claims = ClaimStore(platform, now_unix=lambda: NOW)
        result = await claims.claim('t', request_id, 'a1')
        assert result.status is ClaimStatus.NOT_RUN
        assert result.cause.code is code
        assert not platform.meter.writes

    run(scenario)


def test_refused_write_still_finds_the_earlier_answer():
    """Guards against "not run" for a booking with a recorded answer."""

    async def scenario():
        platform = MemoryPlatform()
        claims = ClaimStore(platform, now_unix=lambda: NOW)
        first = await claims.claim('t', REQUEST_ID, 'a1')
        await claims.record(first, Outcome.DONE, {'ref': 7})
        # The store refuses all writes after this one.
        platform.faults.max_writes_per_s = 1e-9
        await platform.create('other', b'')
        assert (await claims.claim('t', REQUEST_ID, 'a2')).answer == {'ref': 7}

    run(scenario)


class Simulation:
    """Senders of one request id on several nodes, with seeded faults."""

    def __init__(self, seed, *, store_class=ClaimStore, fault_rate=None):
        self.rng = random.Random(seed)
        if fault_rate is None:
            fault_rate = self.rng.choice((0.1, 0.3, 0.6))
        self.faulty = fault_rate > 0
        self.refusal_rate = self.rng.choice((0.1, 0.7)) if fault_rate else 0
        self.explorer = InterleavingExplorer(
            self.rng, fault_rate=fault_rate, kill_rate=fault_rate / 10
        )
        self.store_class = store_class
        self.now = NOW
        self.dispatched = []
        self.answers = {}
        self.unreleased = 0

    def claims(self, platform):
        skew = self.rng.uniform(-MAX_CLOCK_SKEW_S, MAX_CLOCK_SKEW_S) / 2
        return self.store_class(
            platform, now_unix=lambda: self.now + skew, rng=random.Random(1)
        )

    async def explore(self):
        tasks = {
            f'a{index}': lambda name=f'a{index}': self.send(name)
            for index in range(4)
        }
        tasks['cleaner'] = self.clean
        between = (
            (self.advance_minute, self.advance_past_expiry)
            if self.faulty
            else ()
        )
        await self.explorer.run(tasks, between)

    def advance_minute(self):
        self.now += 60

    def advance_past_expiry(self):
        self.now += MAX_REQUEST_AGE_S + 2 * MAX_CLOCK_SKEW_S

    async def send(self, name):
        claims = self.claims(SteppedPlatform(self.explorer, name))
        result = await claims.claim('t', REQUEST_ID, name)
        if result.status is ClaimStatus.CLAIMED:
            self.answers[name] = await self.run_claimed(claims, name, result)
            return
        self.answers[name] = result.status
        if result.status is ClaimStatus.EARLIER:
            assert result.answer['by'] in self.dispatched
        if result.unsettled:
            await self.release(claims, result)

    async def run_claimed(self, claims, name, result):
        await self.explorer.step(name)
        if self.rng.random() < self.refusal_rate:
            # Every gateway refused before a byte of the request was sent.
            await self.release(claims, result)
            return ClaimStatus.NOT_RUN
        self.dispatched.append(name)
        await self.explorer.step(name)
        await claims.record(result, Outcome.DONE, {'by': name})
        return ClaimStatus.CLAIMED

    async def release(self, claims, result):
        # Remains counted if the sender is killed before the release.
        self.unreleased += 1
        self.unreleased -= await claims.release(result)

    async def clean(self):
        claims = self.claims(SteppedPlatform(self.explorer, 'cleaner'))
        for _ in range(8):
            try:
                await claims.delete_expired()
            except PlatformError:
                continue

    async def check(self):
        assert len(self.dispatched) <= 1, 'ran more than once'
        for name, answer in self.answers.items():
            if answer is ClaimStatus.NOT_RUN:
                assert name not in self.dispatched
        claims = self.claims(MemoryPlatform(self.explorer.store))
        await self.check_next_attempt(claims)
        # Claims are deleted once their ids have expired.
        self.advance_past_expiry()
        while await claims.delete_expired():
            continue
        assert not self.explorer.store.list('claims/')

    async def check_next_attempt(self, claims):
        is_settled = len(self.answers) == 4 and not (
            self.unreleased or self.explorer.late_writes_applied
        )
        if self.now - NOW > MAX_REQUEST_AGE_S / 2 or not is_settled:
            return
        next_attempt = await claims.claim('t', REQUEST_ID, 'fresh')
        # A booking that was only refused so far runs at the next attempt.
        assert bool(self.dispatched) == (
            next_attempt.status is not ClaimStatus.CLAIMED
        )


def explore(seeds, **options):
    """Run all seeds and return the number of dispatched bookings.

    Raises:
        AssertionError: Names the first seed whose check fails.
    """
    runs = 0
    for seed in range(seeds):
        simulation = Simulation(seed, **options)

        async def scenario(simulation=simulation):
            await simulation.explore()
            await simulation.check()

        try:
            run(scenario)
        except* AssertionError as exc:
            reason = exc.exceptions[0]
            raise AssertionError(f'seed {seed}: {reason}') from exc
        runs += len(simulation.dispatched)
    return runs


def test_booking_runs_at_most_once():
    """Guards against a second run after lost answers, kills and pauses."""
    # Most seeds must still dispatch, or the test would show nothing.
    assert explore(400) > 150


def test_booking_runs_when_nothing_is_wrong():
    """Guards against a claim that blocks its own booking."""
    assert explore(50, fault_rate=0) == 50


class SkipsClaimWrite(ClaimStore):
    async def _acquire_claim(self, key, attempt_id, value):
        return ClaimResult(ClaimStatus.CLAIMED, key, attempt_id)


class TrustsLostAnswers(ClaimStore):
    """Dispatch although the owner of the claim is unknown."""

    async def _acquire_claim(self, key, attempt_id, value):
        result = await super()._acquire_claim(key, attempt_id, value)
        if result.unsettled:
            return ClaimResult(ClaimStatus.CLAIMED, key, attempt_id)
        return result


class ChecksAgeOnce(ClaimStore):
    def _refuse_by_age(self, key, request_id, attempt_id):
        if getattr(self, 'checked', False):
            return None
        self.checked = True
        return super()._refuse_by_age(key, request_id, attempt_id)


@pytest.mark.parametrize(
    'store_class', (SkipsClaimWrite, TrustsLostAnswers, ChecksAgeOnce)
)
def test_check_fails_without_each_safeguard(store_class):
    """Shows that the simulation detects a second run."""
    with pytest.raises(AssertionError, match='ran more than once'):
        explore(400, store_class=store_class)
