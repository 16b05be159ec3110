"""Permits, waiting work and running work of one backend server."""

import contextlib
import math
from collections.abc import Callable, Iterator
from typing import Any

import anyio

from ibismount.admission import FairQueue, Waiter
from ibismount.capacity import CapacityTable, Permit
from ibismount.cause import Cause, system_cause
from ibismount.errors import ErrorCode

__all__ = ('Lane', 'Ticket')

# Refusals that end by themselves when running work gives its permit back.
_WAIT_FOR = frozenset((ErrorCode.GATEWAY_BUSY, ErrorCode.BACKEND_COLD))
# Longest waits in estimated service times. While permits are mostly free,
# another gateway or replica probably has one, and asking it costs about a
# millisecond. While they are mostly in use, everybody's are, and a fair place
# in the queue is worth more than asking around.
_SHORT_WAIT = 0.25
_LONG_WAIT = 4
# Share of arrivals that find all permits in use, from which waits are long.
_BUSY = 0.6
# Work that has run this long, in estimated service times, is probably a
# straggler, and waiting behind it is hopeless.
_LATE = 2
_LEAST_WAIT_S = 0.005
# Share of a new observation in the estimated service time.
_SMOOTHING = 0.1


class Ticket:
    """One item that waits for a permit; it ends as granted or refused."""

    def __init__(self) -> None:
        """Start undecided."""
        self.decided = anyio.Event()
        self.permit: Permit | None = None
        self.refusal: Cause | None = None

    def grant(self, permit: Permit) -> None:
        """Hand over a permit."""
        self.permit = permit
        self.decided.set()

    def refuse(self, cause: Cause) -> None:
        """End the wait without a permit."""
        self.refusal = cause
        self.decided.set()


class Lane:
    """Admit work to one backend server under this gateway's share.

    Args:
        server_id: The backend server.
        capacity: The table of permits.
        now: Returns seconds.
        refusal: Returns why the node may not work, or None.
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
        self._queue: FairQueue[Ticket] = FairQueue()
        self.service_s: float = 0
        self._busy_share: float = 0
        self._running: dict[str, list[float]] = {}

    @property
    def idle(self) -> bool:
        """Tell whether nothing waits and no permit is in use."""
        return not self._queue and not self._queue.in_service

    async def permit(
        self,
        *,
        team: str,
        weight: int,
        priority: int,
        deadline: float,
        patient: bool = False,
    ) -> Any:
        """Return a permit, or the Cause why there is none.

        A permit that was returned is given back with `release`. A patient
        item waits for long in any case.
        """
        ticket = Ticket()
        waiter = Waiter(team, weight, priority, deadline, ticket)
        if not patient and self._blocked():
            return _busy('all running work is late')
        evicted = self._queue.push(waiter, bound=self._bound)
        if evicted is not None:
            evicted.work.refuse(_busy('the queue is full'))
        self.pump()
        waits = not ticket.decided.is_set()
        self._busy_share += _SMOOTHING * (waits - self._busy_share)
        if waits:
            long = patient or self._busy_share > _BUSY
            wait = _LONG_WAIT if long else _SHORT_WAIT
            # Without an estimate only the deadline bounds the wait.
            await self._wait(waiter, wait * self.service_s or math.inf)
        return ticket.refusal or ticket.permit

    def release(self, team: str) -> None:
        """Let the next item in after a permit was given back."""
        self._queue.ended(team)
        self.pump()

    def observe(self, latency_s: float) -> None:
        """Update the estimated service time."""
        if self.service_s:
            # Four times the estimate bounds what one straggler can add.
            latency_s = min(latency_s, 4 * self.service_s)
            self.service_s += _SMOOTHING * (latency_s - self.service_s)
        else:
            self.service_s = latency_s

    @contextlib.contextmanager
    def runs(self, fingerprint: str) -> Iterator[None]:
        """Note that a fingerprint is running on the backend server."""
        started = self._now()
        self._running.setdefault(fingerprint, []).append(started)
        try:
            yield
        finally:
            self._stop_running(fingerprint, started)

    def running(self) -> dict[str, float]:
        """Return the latest start of each fingerprint that is running."""
        return {key: max(times) for key, times in self._running.items()}

    def _blocked(self) -> bool:
        """Tell whether all permits are held by unusually long calls."""
        if not self._running or not self.service_s:
            return False
        if self._queue.in_service < sum(map(len, self._running.values())):
            return False
        youngest = max(map(max, self._running.values()))
        late_s = max(_LEAST_WAIT_S, self.service_s * _LATE)
        if self._now() - youngest <= late_s:
            return False
        granted = self._capacity.acquire(self._now(), self.server_id)
        if isinstance(granted, Cause):
            return True
        self._capacity.record_failure(self._now(), granted)
        return False

    @property
    def _bound(self) -> int:
        # While anything waits, the permits in use are the whole share.
        return 2 * max(1, self._queue.in_service)

    def pump(self) -> None:
        """Give out permits until there is none left or nothing waits."""
        while self._queue:
            refusal = self._refusal()
            if refusal is not None:
                self._refuse_all(refusal)
                return
            now = self._now()
            granted = self._capacity.acquire(now, self.server_id)
            if isinstance(granted, Cause):
                in_service = self._queue.in_service
                if not in_service or granted.code not in _WAIT_FOR:
                    self._refuse_all(granted)
                return
            self._serve(now, granted)

    def _serve(self, now: float, permit: Permit) -> None:
        # With nothing in service the estimate may be old, so it must not
        # keep work away for ever.
        service_s = self.service_s if self._queue.in_service else 0
        waiter, hopeless = self._queue.pop(now, service_s)
        for dropped in hopeless:
            dropped.work.refuse(_hopeless())
        if waiter is None:
            self._capacity.record_failure(now, permit)
            return
        self._queue.started(waiter.team, waiter.weight)
        waiter.work.grant(permit)

    async def _wait(self, waiter: Waiter[Ticket], longest_s: float) -> None:
        ticket = waiter.work
        left = waiter.deadline - self._now() - self.service_s
        longest_s = max(_LEAST_WAIT_S, longest_s)
        ended = False
        try:
            with anyio.move_on_after(max(0, min(left, longest_s))):
                await ticket.decided.wait()
            ended = True
        finally:
            if not ended:
                self._abandon(waiter)
        if not ticket.decided.is_set():
            self._queue.remove(waiter)
            hopeless = left <= longest_s
            ticket.refuse(
                _hopeless() if hopeless else _busy('the wait is too long')
            )

    def _abandon(self, waiter: Waiter[Ticket]) -> None:
        """Give up a wait; a permit granted meanwhile goes back."""
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


def _busy(detail: str) -> Cause:
    return system_cause(ErrorCode.GATEWAY_BUSY, detail)


def _hopeless() -> Cause:
    return system_cause(
        ErrorCode.DEADLINE_HOPELESS, 'less time left than the server needs'
    )
