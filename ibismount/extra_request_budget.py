"""This node's part of the fleet's budget for extra requests.

Extra requests are retries and hedges. All nodes together may send a service
extra requests up to a ratio of its first requests, plus a fixed slack, in
each window. Every node uses the ratio of its own first requests and its part
of the slack, so the sum stays in bounds without messages between nodes.
"""

import collections
import dataclasses
from collections.abc import Callable, Collection

__all__ = ('BudgetOptions', 'ExtraRequestBudget')


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetOptions:
    """Bounds of the fleet, and the fractions of them that are used."""

    ratio: float = 0.2
    slack: float = 100
    # The bounds hold in every window of this length, in seconds.
    window_s: float = 10
    # The unused rest covers restarts, and nodes that are not known yet.
    ratio_utilization: float = 0.85
    slack_utilization: float = 0.75
    # Fraction of the slack in the first window of a process: its requests
    # before a restart are not known.
    startup_slack_utilization: float = 0.16
    # Least slack of a node in a window: below one, a node in a large fleet
    # could never send an extra request.
    min_extra: float = 1.5
    # Fraction of the slack that is kept for requests that lost their only
    # attempt; hedges of requests that are merely late may not use it.
    urgent_reserve: float = 0.2


# Requests are counted in slices of this length, in seconds.
SLICE_S = 0.5


@dataclasses.dataclass(slots=True)
class _Slice:
    number: int
    first: int = 0
    extra: int = 0


class _Usage:
    """First and extra requests for one service in the last window."""

    __slots__ = ('_max_slices', '_slices', 'extra', 'first')

    def __init__(self, window_s: float) -> None:
        """Start with zero counts."""
        # The oldest slice is only partly in the window, but counts in full.
        self._max_slices = round(window_s / SLICE_S) + 1
        self._slices: collections.deque[_Slice] = collections.deque()
        self.first = 0
        self.extra = 0

    def add(self, now: float, *, first: int = 0, extra: int = 0) -> None:
        """Count requests; a negative number subtracts."""
        number = int(now / SLICE_S)
        if not self._slices or self._slices[-1].number != number:
            self._slices.append(_Slice(number))
        current = self._slices[-1]
        current.first += first
        current.extra += extra
        self.first += first
        self.extra += extra

    def expire(self, now: float) -> None:
        """Drop the slices before the window."""
        oldest = int(now / SLICE_S) - self._max_slices + 1
        while self._slices and self._slices[0].number < oldest:
            expired = self._slices.popleft()
            self.first -= expired.first
            self.extra -= expired.extra


class ExtraRequestBudget:
    """Bound the extra requests for each service in every window.

    Args:
        options: Bounds.
        share: Returns this node's part of the slack, between 0 and 1.
        now: Clock in seconds.
    """

    def __init__(
        self,
        options: BudgetOptions,
        share: Callable[[], float],
        *,
        now: Callable[[], float],
    ) -> None:
        """Start with the reduced slack of a new process."""
        self._options = options
        self._share = share
        self._now = now
        self._startup_until = now() + options.window_s
        self._usages: dict[str, _Usage] = {}
        # Extra requests that were allowed and refused, over all services.
        self.spent = 0
        self.denied = 0

    def __len__(self) -> int:
        """Return the number of services with a budget."""
        return len(self._usages)

    def set_options(self, options: BudgetOptions) -> None:
        """Replace the bounds; earlier extra requests still count."""
        self._options = options

    def keep_only(self, services: Collection[str]) -> None:
        """Drop the budgets of services that are no longer configured."""
        for name in self._usages.keys() - services:
            self._usages.pop(name)

    def deposit(self, service: str) -> None:
        """Count a first request, which raises the budget."""
        self._usage(service).add(self._now(), first=1)

    def try_withdraw(self, service: str, *, urgent: bool = True) -> bool:
        """Take one extra request; return False when none is left.

        Args:
            service: Where the request goes.
            urgent: No attempt is under way.
        """
        options = self._options
        usage = self._usage(service)
        slack = self._slack()
        allowed = (
            slack + usage.first * options.ratio * options.ratio_utilization
        )
        reserved = 0 if urgent else slack * options.urgent_reserve
        if usage.extra + 1 > allowed - reserved:
            self.denied += 1
            return False
        usage.add(self._now(), extra=1)
        self.spent += 1
        return True

    def refund(self, service: str) -> None:
        """Return an extra request that was not sent."""
        self.spent -= 1
        self._usage(service).add(self._now(), extra=-1)

    def _slack(self) -> float:
        options = self._options
        starting = self._now() < self._startup_until
        utilization = (
            options.startup_slack_utilization
            if starting
            else options.slack_utilization
        )
        min_extra = min(options.min_extra, options.slack)
        return max(min_extra, options.slack * utilization * self._share())

    def _usage(self, service: str) -> _Usage:
        usage = self._usages.get(service)
        if usage is None:
            usage = _Usage(self._options.window_s)
            self._usages[service] = usage
        usage.expire(self._now())
        return usage
