"""Fakes shared by several test modules."""

import random
from collections.abc import Awaitable, Callable, Mapping, Sequence

import anyio

from ibismount.object_store import (
    Objects,
    Platform,
    PlatformError,
    StoredObject,
)
from standins.platform import CallMeter, Faults, ObjectStore
from standins._store import RateLimiter


class MemoryPlatform(Platform):
    """Implement the platform's interface on an ``ObjectStore`` in memory.

    Several instances over one store represent the clients of several nodes.
    Each has its own faults and meter unless faults are passed in.
    """

    def __init__(
        self,
        store: ObjectStore | None = None,
        *,
        faults: Faults | None = None,
        timeout_s: float = 2,
    ) -> None:
        self.store = ObjectStore() if store is None else store
        self.faults = faults or Faults()
        self.rate_limiter = RateLimiter(self.faults)
        self.timeout_s = timeout_s

    @property
    def meter(self) -> CallMeter:
        return self.rate_limiter.meter

    async def get(self, key: str) -> StoredObject | None:
        await self._admit('reads')
        return self.store.get(key)

    async def create(self, key: str, value: bytes) -> StoredObject:
        await self._admit('writes', lambda: self.store.create(key, value))
        return self._respond(self.store.create(key, value))

    async def update(
        self, key: str, value: bytes, *, expected_version: int
    ) -> StoredObject:
        def write() -> StoredObject:
            return self.store.update(
                key, value, expected_version=expected_version
            )

        await self._admit('writes', write)
        return self._respond(write())

    async def delete(self, key: str) -> None:
        await self._admit('writes', lambda: self.store.delete(key))
        self._respond(self.store.delete(key))

    async def list(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> Objects:
        await self._admit('reads')
        return self.store.list(prefix, after=after, limit=limit)

    async def watch(
        self, prefix: str, *, after: str, timeout_s: float
    ) -> Objects:
        await self._admit('reads')
        changed = anyio.Event()

        def on_write() -> None:
            if self.store.list(prefix, after=after, limit=1):
                changed.set()

        on_write()
        self.store.add_listener(on_write)
        self.rate_limiter.watch_started(anyio.current_time())
        try:
            with anyio.move_on_after(timeout_s):
                await changed.wait()
        finally:
            self.rate_limiter.watch_ended(anyio.current_time())
            self.store.remove_listener(on_write)
        # An outage also ends waiting watches.
        if self.faults.outage:
            raise PlatformError('the platform is down', place=prefix)
        return self.store.list(prefix, after=after)

    async def _admit(self, kind: str, write=None) -> None:
        """Apply outage, limits and delay.

        A delayed write that times out takes effect after its caller has given
        up, which is the worst case.
        """
        await anyio.lowlevel.checkpoint()
        self.rate_limiter.admit(anyio.current_time(), kind=kind)
        if self.faults.delay_s > self.timeout_s:
            await anyio.sleep(self.timeout_s)
            if write is not None:
                self._apply_late_write(write)
            raise PlatformError('no response', ambiguous=write is not None)
        if self.faults.delay_s:
            await anyio.sleep(self.faults.delay_s)

    def _apply_late_write(self, write) -> None:
        try:
            write()
        except PlatformError:
            return

    def _respond(self, stored):
        if self.faults.consume_lost_answer():
            self.meter.lost_answers += 1
            raise PlatformError('the response was lost', ambiguous=True)
        return stored


class InterleavingExplorer:
    """Run tasks one platform call at a time, in an order drawn from a seed.

    Each call of a ``SteppedPlatform`` waits until the explorer selects it.
    The explorer then executes it or draws a fault, which may start an outage.
    It may also kill or pause the task, or apply a late write.

    Args:
        rng: Makes every random decision.
        fault_rate: Fraction of calls that fail.
        kill_rate: Fraction of steps that kill their task.
    """

    WRITE_FAULTS = ('refuse', 'lose', 'drop', 'late')

    def __init__(
        self, rng: random.Random, *, fault_rate: float, kill_rate: float = 0
    ) -> None:
        self.rng = rng
        self.fault_rate = fault_rate
        self.kill_rate = kill_rate
        self.store = ObjectStore()
        self.late_writes_applied = 0
        self._outage_calls_left = 0
        self._late_writes: list[Callable[[], object]] = []
        self._waiting_tasks: dict[str, anyio.Event] = {}
        self._cancel_scopes: dict[str, anyio.CancelScope] = {}
        self._paused_steps: dict[str, int] = {}

    async def step(self, name: str) -> None:
        """Wait until the explorer resumes the task."""
        self._waiting_tasks[name] = anyio.Event()
        await self._waiting_tasks[name].wait()

    async def run(
        self,
        tasks: Mapping[str, Callable[[], Awaitable[None]]],
        between_steps: Sequence[Callable[[], None]] = (),
    ) -> None:
        """Run the tasks until all have ended.

        Args:
            tasks: Coroutine functions by name.
            between_steps: Functions that may be called between two steps.
        """
        async with anyio.create_task_group() as group:
            for name, task in tasks.items():
                self._cancel_scopes[name] = anyio.CancelScope()
                group.start_soon(self._run_task, name, task)
            while self._cancel_scopes:
                await anyio.wait_all_tasks_blocked()
                if self._waiting_tasks:
                    self._advance_one_task(between_steps)
                elif self._cancel_scopes:
                    # All tasks are pausing between retries.
                    await anyio.sleep(0.1)
        self.apply_late_writes()

    def apply_late_writes(self) -> None:
        while self._late_writes:
            self._apply_random_late_write()

    def write(self, operation: Callable[[], StoredObject | None]):
        """Execute a write, possibly with a fault."""
        fault = self._draw_fault(self.WRITE_FAULTS)
        if fault == 'refuse':
            raise PlatformError('refused')
        if fault == 'late':
            self._late_writes.append(operation)
        if fault in {'late', 'drop'}:
            raise PlatformError('no response', ambiguous=True)
        stored = operation()
        if fault == 'lose':
            raise PlatformError('response lost', ambiguous=True)
        return stored

    def read(self, operation):
        """Execute a read, possibly with a fault."""
        if self._draw_fault(('fail',)):
            raise PlatformError('no response')
        return operation()

    def _draw_fault(self, faults: Sequence[str]) -> str:
        if self._outage_calls_left:
            self._outage_calls_left -= 1
            return faults[0]
        if self.rng.random() >= self.fault_rate:
            return ''
        if self.rng.random() < 0.1:
            self._outage_calls_left = self.rng.randrange(1, 12)
        return self.rng.choice(faults)

    async def _run_task(self, name, task) -> None:
        try:
            with self._cancel_scopes[name]:
                await task()
        finally:
            self._waiting_tasks.pop(name, None)
            self._cancel_scopes.pop(name)

    def _advance_one_task(
        self, between_steps: Sequence[Callable[[], None]]
    ) -> None:
        if between_steps and self.rng.random() < 0.1:
            self.rng.choice(between_steps)()
        if self._late_writes and self.rng.random() < 0.2:
            self._apply_random_late_write()
        names = sorted(self._waiting_tasks)
        ready = [name for name in names if not self._paused_steps.get(name)]
        self._paused_steps = {
            name: steps - 1
            for name, steps in self._paused_steps.items()
            if steps
        }
        if not ready:
            return
        name = self.rng.choice(ready)
        if self.rng.random() < 0.1:
            self._paused_steps[name] = self.rng.randrange(1, 40)
        elif self.rng.random() < self.kill_rate:
            self._cancel_scopes[name].cancel()
            self._waiting_tasks.pop(name)
        else:
            self._waiting_tasks.pop(name).set()

    def _apply_random_late_write(self) -> None:
        operation = self._late_writes.pop(
            self.rng.randrange(len(self._late_writes))
        )
        try:
            operation()
        except PlatformError:
            return
        self.late_writes_applied += 1


class SteppedPlatform(Platform):
    """Platform of one task of an explorer, backed by the explorer's store."""

    def __init__(self, explorer: InterleavingExplorer, name: str) -> None:
        self._explorer = explorer
        self._store = explorer.store
        self._name = name

    async def get(self, key):
        return await self._read(self._store.get, key)

    async def create(self, key, value):
        return await self._write(self._store.create, key, value)

    async def update(self, key, value, *, expected_version):
        return await self._write(
            self._store.update, key, value, expected_version=expected_version
        )

    async def delete(self, key):
        await self._write(self._store.delete, key)

    async def list(self, prefix, *, after='', limit=1000):
        return await self._read(
            self._store.list, prefix, after=after, limit=limit
        )

    async def watch(self, prefix, *, after, timeout_s):
        return await self.list(prefix, after=after)

    async def _read(self, operation, *args, **options):
        await self._explorer.step(self._name)
        return self._explorer.read(lambda: operation(*args, **options))

    async def _write(self, operation, *args, **options):
        await self._explorer.step(self._name)
        return self._explorer.write(lambda: operation(*args, **options))
