"""Share a gateway's permits and an entry's capacity fairly between teams."""

import collections
import dataclasses
import itertools
import math
from typing import Generic, TypeVar

__all__ = ('EntryAdmission', 'FairQueue', 'Waiter')

Work = TypeVar('Work')


@dataclasses.dataclass(slots=True, eq=False)
class Waiter(Generic[Work]):
    """A queued item.

    ``deadline`` is in seconds on the caller's clock. ``order`` is the arrival
    number that the queue assigns.
    """

    team: str
    weight: int
    priority: int
    deadline: float
    work: Work
    order: int = 0


class FairQueue(Generic[Work]):
    """Queue the work of one backend server fairly between teams.

    The next permit goes to the waiting team with the smallest in-service
    count per weight. Ties are broken by priority (higher first), then by the
    virtual time of start-time fair queuing. Without the virtual time, a
    gateway with a single permit, where all teams tie, would always serve the
    team that came first.
    """

    def __init__(self) -> None:
        """Start with an empty queue."""
        self._waiting: dict[str, list[Waiter[Work]]] = {}
        self._in_service: dict[str, int] = collections.defaultdict(int)
        self._finish_tags: dict[str, float] = {}
        self._virtual_time: float = 0
        self._order = itertools.count()
        self._size = 0

    def __len__(self) -> int:
        """Return the number of waiting items."""
        return self._size

    def push(self, waiter: Waiter[Work], *, bound: int) -> Waiter[Work] | None:
        """Add an item; return the item evicted from a full queue, if any.

        The evicted item is the newest of the lowest priority of the team
        with the most waiting items per weight, so a flooding team evicts its
        own items.
        """
        waiter.order = next(self._order)
        self._waiting.setdefault(waiter.team, []).append(waiter)
        self._size += 1
        if self._size <= bound:
            return None
        longest = max(
            self._waiting.values(),
            key=lambda items: (len(items) / items[0].weight, items[-1].order),
        )
        evicted = min(longest, key=lambda item: (item.priority, -item.order))
        self.remove(evicted)
        return evicted

    def remove(self, waiter: Waiter[Work]) -> bool:
        """Remove an item; return False when it is no longer waiting."""
        items = self._waiting.get(waiter.team, [])
        if waiter not in items:
            return False
        items.remove(waiter)
        self._size -= 1
        if not items:
            self._waiting.pop(waiter.team)
        return True

    def clear(self) -> list[Waiter[Work]]:
        """Remove and return all waiting items."""
        waiting = list(itertools.chain.from_iterable(self._waiting.values()))
        self._waiting.clear()
        self._size = 0
        return waiting

    def pop(
        self, now: float, service_s: float
    ) -> tuple[Waiter[Work] | None, list[Waiter[Work]]]:
        """Remove and return the next item.

        Args:
            now: Seconds on the clock of the deadlines.
            service_s: Estimated service time in seconds.

        Returns:
            The item, or None when nothing waits, and the items dropped
            because their deadline leaves less than the service time.
        """
        hopeless = [
            item
            for items in self._waiting.values()
            for item in items
            if item.deadline - now < service_s
        ]
        for item in hopeless:
            self.remove(item)
        if not self._size:
            return None, hopeless
        chosen = min(map(self._first_of_team, self._waiting), key=self._rank)
        self.remove(chosen)
        return chosen, hopeless

    def record_grant(self, team: str, weight: int) -> None:
        """Count a permit granted to a team."""
        self._in_service[team] += 1
        start = max(self._virtual_time, self._finish_tags.get(team, 0))
        self._virtual_time = start
        self._finish_tags[team] = start + 1 / weight

    def record_release(self, team: str) -> None:
        """Count a permit released by a team."""
        self._in_service[team] -= 1
        if not self._in_service[team]:
            self._in_service.pop(team)
        if not self._in_service and not self._size:
            # Nothing competes for permits, so past service is irrelevant.
            self._finish_tags.clear()
            self._virtual_time = 0

    @property
    def in_service(self) -> int:
        """Return the number of permits in use."""
        return sum(self._in_service.values())

    def _first_of_team(self, team: str) -> Waiter[Work]:
        return min(
            self._waiting[team], key=lambda item: (-item.priority, item.order)
        )

    def _rank(self, waiter: Waiter[Work]) -> tuple[float, int, float, int]:
        return (
            self._in_service.get(waiter.team, 0) / waiter.weight,
            -waiter.priority,
            max(self._virtual_time, self._finish_tags.get(waiter.team, 0)),
            waiter.order,
        )


class EntryAdmission:
    """Bound the requests in flight at an entry.

    Below the limit every request is admitted. At the limit, a team is
    admitted only while it has fewer requests in flight than its weighted
    share, so the total stays below twice the limit and a flooding team is
    the one refused.

    The limit adapts by additive increase and multiplicative decrease, like a
    congestion window: answers that are late, or that needed retries after
    refusals by most gateways, show that too much is in flight. No fixed
    limit suits both a few backend servers and thousands.

    Args:
        max_limit: Upper bound of the limit.
        min_limit: Lower bound of the limit.
    """

    def __init__(self, *, max_limit: int = 256, min_limit: int = 2) -> None:
        """Start with nothing in flight and a limit well below the maximum."""
        self._max_limit = max_limit
        self._min_limit = min(min_limit, max_limit)
        self._limit: float = min(_INITIAL_LIMIT, max_limit)
        # Slow start: until the first late answer, the limit doubles with each
        # round of answers.
        self._slow_start = True
        self._decreased_at = -math.inf
        self._in_flight_by_team: dict[str, int] = {}
        self._weights: dict[str, int] = {}
        self.in_flight = 0

    @property
    def limit(self) -> float:
        """Return the current limit of requests in flight."""
        return self._limit

    def admit(self, team: str, weight: int) -> bool:
        """Admit a request; return False when the team's share is used up."""
        if self.in_flight >= self._limit and not self._below_share(
            team, weight
        ):
            return False
        self._in_flight_by_team[team] = self._in_flight_by_team.get(team, 0) + 1
        self._weights[team] = weight
        self.in_flight += 1
        return True

    def release(self, team: str) -> None:
        """Count the end of an admitted request."""
        self.in_flight -= 1
        self._in_flight_by_team[team] -= 1
        if not self._in_flight_by_team[team]:
            self._in_flight_by_team.pop(team)
            self._weights.pop(team)

    def adapt_limit(
        self, now: float, *, on_time: bool, target_s: float
    ) -> None:
        """Adapt the limit after a request that ended.

        Args:
            now: Time in seconds.
            on_time: Whether the request was answered within its target time,
                without signs of overload.
            target_s: The target time. The limit falls at most once in this
                period, because requests that started together are late
                together.
        """
        if self.in_flight < self._limit / 2:
            # With the limit mostly unused, answers on time do not show that
            # the system could handle more, and late answers have other
            # causes than overload.
            return
        if on_time:
            step = 1 if self._slow_start else 1 / self._limit
            self._limit = min(self._max_limit, self._limit + step)
        elif now - self._decreased_at >= target_s:
            factor = (
                _SLOW_START_DECREASE_FACTOR
                if self._slow_start
                else _DECREASE_FACTOR
            )
            self._slow_start = False
            self._decreased_at = now
            self._limit = max(self._min_limit, self._limit * factor)

    def _below_share(self, team: str, weight: int) -> bool:
        other_weights = sum(
            other_weight
            for other_team, other_weight in self._weights.items()
            if other_team != team
        )
        share = self._limit * weight / (other_weights + weight)
        return self._in_flight_by_team.get(team, 0) < share


# With a smaller limit, a just started entry would refuse a few clients before
# any sign of overload.
_INITIAL_LIMIT = 16
_SLOW_START_DECREASE_FACTOR = 0.5
_DECREASE_FACTOR = 0.8
