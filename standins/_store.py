"""Objects, call counters and faults of the platform stand-in, without I/O."""

import bisect
import dataclasses
from collections.abc import Callable

from ibismount.errors import ErrorCode
from ibismount.object_store import Objects, PlatformError, StoredObject

__all__ = ('CallMeter', 'Faults', 'ObjectStore', 'RateLimiter')

MAX_VALUE_BYTES = 1_000_000
MAX_KEY_BYTES = 512


class ObjectStore:
    """Store versioned objects ordered by key.

    One counter numbers the versions of all objects, so an object that is
    deleted and created again never reuses a version.
    """

    def __init__(self) -> None:
        """Create an empty store."""
        self._objects: dict[str, StoredObject] = {}
        self._keys: list[str] = []
        self._version = 0
        self._listeners: set[Callable[[], None]] = set()

    def __len__(self) -> int:
        """Return the number of objects."""
        return len(self._keys)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each write."""
        self._listeners.add(listener)

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Stop calling ``listener``."""
        self._listeners.discard(listener)

    def get(self, key: str) -> StoredObject | None:
        """Return an object, or None when it does not exist."""
        return self._objects.get(key)

    def create(self, key: str, value: bytes) -> StoredObject:
        """Create an object; raise ``already_exists`` when the key is in use."""
        if key in self._objects:
            raise PlatformError(
                'an object with this key already exists',
                code=ErrorCode.ALREADY_EXISTS,
                place=key,
            )
        return self._write(key, value)

    def update(
        self, key: str, value: bytes, *, expected_version: int
    ) -> StoredObject:
        """Replace an object; raise ``version_conflict`` when it has changed."""
        stored = self._objects.get(key)
        actual = stored.version if stored else 0
        if actual != expected_version:
            raise PlatformError(
                f'the current version is {actual}, not {expected_version}',
                code=ErrorCode.VERSION_CONFLICT,
                place=key,
            )
        return self._write(key, value)

    def delete(self, key: str) -> None:
        """Remove an object if it exists."""
        if self._objects.pop(key, None) is None:
            return
        self._version += 1
        self._keys.pop(bisect.bisect_left(self._keys, key))

    def list(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> Objects:
        """Return objects whose key starts with a prefix, ordered by key."""
        start = max(
            bisect.bisect_left(self._keys, prefix),
            bisect.bisect_right(self._keys, after),
        )
        matches = []
        for key in self._keys[start : start + limit]:
            if not key.startswith(prefix):
                break
            matches.append(self._objects[key])
        return matches

    def _write(self, key: str, value: bytes) -> StoredObject:
        _check_size(key, value)
        self._version += 1
        stored = StoredObject(key, value, self._version)
        if key not in self._objects:
            bisect.insort(self._keys, key)
        self._objects[key] = stored
        for listener in tuple(self._listeners):
            listener()
        return stored


def _check_size(key: str, value: bytes) -> None:
    if len(value) > MAX_VALUE_BYTES:
        raise PlatformError(
            f'value has {len(value)} bytes, the limit is {MAX_VALUE_BYTES}',
            code=ErrorCode.BODY_TOO_LARGE,
            place=key,
        )
    if not key or len(key.encode()) > MAX_KEY_BYTES:
        raise PlatformError(
            f'a key must have 1 to {MAX_KEY_BYTES} bytes',
            code=ErrorCode.BAD_REQUEST,
            place=key[:MAX_KEY_BYTES],
        )


@dataclasses.dataclass(slots=True)
class CallMeter:
    """Counters of the platform's calls since its start.

    ``watching`` is the number of watches that wait now. ``watch_s`` sums the
    time that watches have waited, so its increase per second is the mean
    number of waiting watches.
    """

    reads: int = 0
    writes: int = 0
    watches: int = 0
    watching: int = 0
    most_watching: int = 0
    watch_s: float = 0
    refused: int = 0
    lost_answers: int = 0


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that the platform injects.

    During an outage every call is refused and has no effect. Each call takes
    effect after ``delay_s``, so a write may be applied after its caller has
    given up. The next ``lose_write_answers`` writes take effect but are never
    answered. A rate limit of 0 disables the limit.
    """

    outage: bool = False
    delay_s: float = 0
    lose_write_answers: int = 0
    max_reads_per_s: float = 0
    max_writes_per_s: float = 0

    def consume_lost_answer(self) -> bool:
        """Return whether to lose this write's answer, and count it down."""
        if not self.lose_write_answers:
            return False
        self.lose_write_answers -= 1
        return True


class RateLimiter:
    """Count calls and refuse those over the rate limits.

    Each limit is a token bucket with the capacity of one second's calls.
    """

    def __init__(self, faults: Faults) -> None:
        """Read the limits from ``faults`` at each call."""
        self.meter = CallMeter()
        self._faults = faults
        self._buckets: dict[str, tuple[float, float]] = {}
        self._watch_changed_at: float = 0

    def admit(self, now: float, *, kind: str) -> None:
        """Count one call; raise ``platform_unavailable`` when refused.

        Args:
            now: Monotonic time in seconds.
            kind: ``reads`` or ``writes``.
        """
        setattr(self.meter, kind, getattr(self.meter, kind) + 1)
        if self._faults.outage:
            self._refuse('the platform is unavailable: outage fault is set')
        limit = getattr(self._faults, f'max_{kind}_per_s')
        if limit and not self._take_token(now, kind, limit):
            self._refuse(f'rate limit exceeded: {limit:g} {kind} per second')

    def _refuse(self, message: str) -> None:
        self.meter.refused += 1
        raise PlatformError(message)

    def _take_token(self, now: float, kind: str, limit: float) -> bool:
        used, updated_at = self._buckets.get(kind, (0, 0))
        used = max(0, used - (now - updated_at) * limit)
        allowed = used + 1 <= max(limit, 1)
        self._buckets[kind] = (used + allowed, now)
        return allowed

    def read_meter(self, now: float) -> CallMeter:
        """Return the counters, with ``watch_s`` updated to ``now``."""
        elapsed_s = now - self._watch_changed_at
        self.meter.watch_s += self.meter.watching * elapsed_s
        self._watch_changed_at = now
        return self.meter

    def watch_started(self, now: float) -> None:
        """Count a watch that starts to wait."""
        meter = self.read_meter(now)
        meter.watches += 1
        meter.watching += 1
        meter.most_watching = max(meter.most_watching, meter.watching)

    def watch_ended(self, now: float) -> None:
        """Count a watch that has ended."""
        self.read_meter(now).watching -= 1
