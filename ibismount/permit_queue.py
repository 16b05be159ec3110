"""Queue work for the permits of one backend server and track running work."""

import contextlib
import math
from collections.abc import Callable, Iterator
from typing import Any

import anyio

from ibismount.admission import FairQueue, Waiter
from ibismount.capacity import CapacityTable, Permit
from ibismount.cause import Cause, system_cause
from ibismount.errors import ErrorCode

__all__ = ('PermitQueue', 'PermitRequest')

# Refusals that end when running work releases its permit.
_TEMPORARY_REFUSALS = frozenset(
    (ErrorCode.GATEWAY_BUSY, ErrorCode.BACKEND_COLD)
)
# Longest waits, in multiples of the estimated service time. While permits are
# mostly free, another gateway or replica probably has one, and trying it costs
# about a millisecond. While they are mostly in use, those of other gateways
# are too, and a fair place in this queue is worth more than trying others.
_SHORT_WAIT_FACTOR = 0.25
_LONG_WAIT_FACTOR = 4
# Waits are long from this share of arrivals that find all permits in use.
_BUSY_SHARE = 0.6
# Work that has run for this many estimated service times is probably a
# straggler, and work queued behind it would wait too long.
_STRAGGLER_FACTOR = 2
_MIN_WAIT_S = 0.005
# Weight of a new observation in the moving averages.
_EWMA_WEIGHT = 0.1


class PermitRequest:
    """A request for a permit that ends as granted or refused."""

    def __init__(self) -> None:
        """Start without a decision."""
        self.decided = anyio.Event()
        self.permit: Permit | None = None
        self.refusal: Cause | None = None

    def grant(self, permit: Permit) -> None:
        """End the wait with a permit."""
        self.permit = permit
        self.decided.set()

    def refuse(self, cause: Cause) -> None:
        """End the wait without a permit."""
        self.refusal = cause
        self.decided.set()


class PermitQueue:
    """Admit work to one backend server under this gateway's share.

    Args:
        server_id: The backend server.
        capacity: The table of permits.
        now: Returns the time in seconds.
        refusal: Returns why the node may not dispatch work, or None.
    """

    def __init__(
        self,
        server_id: str,
        capacity: CapacityTable,
        now: Callable[[], float],
        refusal: Callable[[], Cause | None],
    ) -> None:
        """Start with nothing waiting."""
        self.server_id = server_id
        self._capacity = capacity
        self._now = now
        self._refusal = refusal
        self._queue: FairQueue[PermitRequest] = FairQueue()
        self.service_s: float = 0
        self._busy_share: float = 0
        self._running: dict[str, list[float]] = {}

    @property
    def idle(self) -> bool:
        """Tell whether nothing waits and no permit is in use."""
        return not self._queue and not self._queue.in_service

    async def acquire(
        self,
        *,
        team: str,
        weight: int,
        priority: int,
        deadline: float,
        always_wait_long: bool = False,
    ) -> Any:
        """Wait for a permit.

        Args:
            team: The team that the permit counts for.
            weight: The team's weight.
            priority: Higher values go first among teams with equal shares.
            deadline: Time in seconds by which the work must have ended.
            always_wait_long: Wait up to the long limit even while permits are
                mostly free or in use by unusually long calls.

        Returns:
            A permit, or the Cause of the refusal. Call `release` once the
            permit is back in the table.
        """
        permit_request = PermitRequest()
        waiter = Waiter(team, weight, priority, deadline, permit_request)
        if not always_wait_long and self._blocked_by_stragglers():
            return _busy_cause(
                'all permits are in use by unusually long requests'
            )
        evicted = self._queue.push(waiter, bound=self._max_waiting)
        if evicted is not None:
            evicted.work.refuse(_busy_cause('the permit queue is full'))
        self.grant_waiting()
        must_wait = not permit_request.decided.is_set()
        self._busy_share += _EWMA_WEIGHT * (must_wait - self._busy_share)
        if must_wait:
            wait_long = always_wait_long or self._busy_share > _BUSY_SHARE
            max_wait_factor = (
                _LONG_WAIT_FACTOR if wait_long else _SHORT_WAIT_FACTOR
            )
            # Without an estimate only the deadline bounds the wait.
            await self._wait_for_decision(
                waiter, max_wait_factor * self.service_s or math.inf
            )
        return permit_request.refusal or permit_request.permit

    def release(self, team: str) -> None:
        """Grant the next item a permit after one was released."""
        self._queue.record_release(team)
        self.grant_waiting()

    def observe(self, latency_s: float) -> None:
        """Update the estimated service time."""
        if self.service_s:
            # Capped at four times the estimate, so that one straggler cannot
            # distort it.
            latency_s = min(latency_s, 4 * self.service_s)
            self.service_s += _EWMA_WEIGHT * (latency_s - self.service_s)
        else:
            self.service_s = latency_s

    @contextlib.contextmanager
    def track_running(self, fingerprint: str) -> Iterator[None]:
        """Record that a fingerprint is running on the backend server."""
        started = self._now()
        self._running.setdefault(fingerprint, []).append(started)
        try:
            yield
        finally:
            self._stop_running(fingerprint, started)

    def running_fingerprints(self) -> dict[str, float]:
        """Return the latest start time of each running fingerprint."""
        return {key: max(times) for key, times in self._running.items()}

    def _blocked_by_stragglers(self) -> bool:
        """Tell whether all permits are in use by unusually long calls."""
        if not self._running or not self.service_s:
            return False
        if self._queue.in_service < sum(map(len, self._running.values())):
            return False
        latest_start = max(map(max, self._running.values()))
        straggler_s = max(_MIN_WAIT_S, self.service_s * _STRAGGLER_FACTOR)
        if self._now() - latest_start <= straggler_s:
            return False
        granted = self._capacity.acquire(self._now(), self.server_id)
        if isinstance(granted, Cause):
            return True
        self._capacity.record_failure(self._now(), granted)
        return False

    @property
    def _max_waiting(self) -> int:
        # While anything waits, all permits of the share are in use, so this
        # is twice the share.
        return 2 * max(1, self._queue.in_service)

    def grant_waiting(self) -> None:
        """Grant permits until none is free or nothing waits."""
        while self._queue:
            refusal = self._refusal()
            if refusal is not None:
                self._refuse_all(refusal)
                return
            now = self._now()
            granted = self._capacity.acquire(now, self.server_id)
            if isinstance(granted, Cause):
                in_service = self._queue.in_service
                if not in_service or granted.code not in _TEMPORARY_REFUSALS:
                    self._refuse_all(granted)
                return
            self._grant_next(now, granted)

    def _grant_next(self, now: float, permit: Permit) -> None:
        # With nothing in service the estimate may be outdated and must not
        # reject all work for ever.
        service_s = self.service_s if self._queue.in_service else 0
        waiter, hopeless = self._queue.pop(now, service_s)
        for rejected in hopeless:
            rejected.work.refuse(_hopeless_cause())
        if waiter is None:
            self._capacity.record_failure(now, permit)
            return
        self._queue.record_grant(waiter.team, waiter.weight)
        waiter.work.grant(permit)

    async def _wait_for_decision(
        self, waiter: Waiter[PermitRequest], max_wait_s: float
    ) -> None:
        permit_request = waiter.work
        time_left_s = waiter.deadline - self._now() - self.service_s
        max_wait_s = max(_MIN_WAIT_S, max_wait_s)
        completed = False
        try:
            with anyio.move_on_after(max(0, min(time_left_s, max_wait_s))):
                await permit_request.decided.wait()
            completed = True
        finally:
            if not completed:
                self._abandon(waiter)
        if not permit_request.decided.is_set():
            self._queue.remove(waiter)
            hopeless = time_left_s <= max_wait_s
            permit_request.refuse(
                _hopeless_cause()
                if hopeless
                else _busy_cause('no permit became free in time')
            )

    def _abandon(self, waiter: Waiter[PermitRequest]) -> None:
        """Stop waiting; release a permit that was granted meanwhile."""
        if self._queue.remove(waiter) or waiter.work.permit is None:
            return
        self._capacity.record_failure(self._now(), waiter.work.permit)
        self.release(waiter.team)

    def _stop_running(self, fingerprint: str, started: float) -> None:
        times = self._running[fingerprint]
        times.remove(started)
        if not times:
            self._running.pop(fingerprint)

    def _refuse_all(self, cause: Cause) -> None:
        for waiter in self._queue.clear():
            waiter.work.refuse(cause)


def _busy_cause(detail: str) -> Cause:
    return system_cause(ErrorCode.GATEWAY_BUSY, detail)


def _hopeless_cause() -> Cause:
    return system_cause(
        ErrorCode.DEADLINE_HOPELESS,
        'less time is left than the backend server is expected to need',
    )
