"""Queues of requests that wait for a free backend server.

Each service has a priority queue, first in, first out within a priority. The
estimated wait lets dispatch reject at once a request that would be served too
late.
"""

import bisect
import dataclasses
from collections.abc import Callable

__all__ = ('WaitQueues', 'Waiter', 'estimate_wait_s')


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Waiter:
    """One queued request, or one queued part of a search."""

    # Priority of its route; 0 is the most urgent.
    priority: int
    sequence: int
    service: str = dataclasses.field(compare=False)
    # Called when a server of the service becomes free; tries to send.
    resume: Callable[[], None] = dataclasses.field(compare=False)


class WaitQueues:
    """A priority queue for each service.

    Example::

        wait_queues = WaitQueues()
        waiter = wait_queues.enqueue('desk', 1, print)
        wait_queues.peek('desk') is waiter  # True
    """

    def __init__(self) -> None:
        """Start with empty queues."""
        self._queues: dict[str, list[Waiter]] = {}
        self._last_sequence = 0

    def __len__(self) -> int:
        """Return the number of waiters in all queues."""
        return sum(map(len, self._queues.values()))

    def enqueue(
        self, service: str, priority: int, resume: Callable[[], None]
    ) -> Waiter:
        """Add a waiter behind those of the same or a more urgent priority."""
        self._last_sequence += 1
        waiter = Waiter(priority, self._last_sequence, service, resume)
        bisect.insort(self._queues.setdefault(service, []), waiter)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter from its queue."""
        queue = self._queues[waiter.service]
        queue.remove(waiter)
        if not queue:
            self._queues.pop(waiter.service)

    def peek(self, service: str) -> Waiter | None:
        """Return the waiter that is served next."""
        queue = self._queues.get(service)
        return queue[0] if queue else None

    def count_ahead(self, service: str, priority: int) -> int:
        """Return how many waiters would be served before a new one."""
        queue = self._queues.get(service)
        if not queue:
            return 0
        return sum(waiter.priority <= priority for waiter in queue)


def estimate_wait_s(ahead: int, in_flight: int, median_s: float) -> float:
    """Estimate how long a new waiter waits for a free server, in seconds.

    About ``in_flight`` requests end, and free a server, in each median
    latency.

    Args:
        ahead: Waiters that are served before.
        in_flight: Requests of this node at the servers of the service.
        median_s: Median latency of a request there, in seconds.
    """
    return (ahead + 1) * median_s / max(1, in_flight)
