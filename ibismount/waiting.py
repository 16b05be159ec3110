"""Order the requests that wait for a free backend server.

Each service has a line: urgent routes come first, then who waited longest.
The expected wait tells at once which requests can't be served in time.
"""

import bisect
import dataclasses
from collections.abc import Callable

__all__ = ('Waiter', 'WaitingLines', 'expected_wait_s')


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Waiter:
    """One request, or one part of a search, in a line."""

    # Rank of its route; 0 is the most urgent.
    priority: int
    number: int
    service: str = dataclasses.field(compare=False)
    # Tries to send it; called when a server of the service became free.
    resume: Callable[[], None] = dataclasses.field(compare=False)


class WaitingLines:
    """Keep one line for each service.

    Example::

        lines = WaitingLines()
        waiter = lines.enter('desk', 1, print)
        lines.first('desk') is waiter  # True
    """

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._lines: dict[str, list[Waiter]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return how many wait in all lines."""
        return sum(map(len, self._lines.values()))

    def enter(
        self, service: str, priority: int, resume: Callable[[], None]
    ) -> Waiter:
        """Take a place behind all that are as urgent."""
        self._count += 1
        waiter = Waiter(priority, self._count, service, resume)
        bisect.insort(self._lines.setdefault(service, []), waiter)
        return waiter

    def leave(self, waiter: Waiter) -> None:
        """Give up a place."""
        line = self._lines[waiter.service]
        line.remove(waiter)
        if not line:
            self._lines.pop(waiter.service)

    def first(self, service: str) -> Waiter | None:
        """Return who is served next."""
        line = self._lines.get(service)
        return line[0] if line else None

    def ahead(self, service: str, priority: int) -> int:
        """Return how many would be served before a new waiter."""
        line = self._lines.get(service)
        if not line:
            return 0
        return sum(one.priority <= priority for one in line)


def expected_wait_s(ahead: int, under_way: int, usual_s: float) -> float:
    """Return how long a new waiter waits for a free server, in seconds.

    Servers become free as requests end there: ``under_way`` of them in the
    time that a request usually takes.

    Args:
        ahead: Who is served before.
        under_way: Requests of this node at servers of the service.
        usual_s: Time that a request usually takes there, in seconds.
    """
    return (ahead + 1) * usual_s / max(1, under_way)
