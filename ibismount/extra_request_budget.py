"""This node's part of the fleet's budget for extra requests.

All nodes together may send a service extra requests up to a ratio of its
first ones and a fixed slack in each window. Every node takes the ratio of its
own first requests and its part of the slack, so the sum holds without any
message between nodes.
"""

import collections
import dataclasses
from collections.abc import Callable, Collection

__all__ = ('BudgetOptions', 'ExtraRequestBudget')


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetOptions:
    """Bounds of the fleet, and the parts of them that are used."""

    ratio: float = 0.2
    slack: float = 100
    # The bounds hold in every window of this length, in seconds.
    window_s: float = 10
    # What stays unused covers nodes that are not known yet and restarts.
    ratio_utilization: float = 0.85
    slack_utilization: float = 0.75
    # Part of the slack that a process uses in its first window: what it used
    # before its restart is not known.
    startup_slack_utilization: float = 0.16
    # Fewest extra requests in a window: below one, a node in a large fleet
    # could never send any.
    min_extra: float = 1.5
    # Part of the slack that is kept for requests that lost their only
    # attempt; a request that is merely late may not use it.
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

    __slots__ = ('_keep', '_slices', 'extra', 'first')

    def __init__(self, window_s: float) -> None:
        """Start with nothing counted."""
        # The oldest slice is only partly in the window; it counts as a whole.
        self._keep = round(window_s / SLICE_S) + 1
        self._slices: collections.deque[_Slice] = collections.deque()
        self.first = 0
        self.extra = 0

    def add(self, now: float, *, first: int = 0, extra: int = 0) -> None:
        """Count requests; a negative number takes them back."""
        number = int(now / SLICE_S)
        if not self._slices or self._slices[-1].number != number:
            self._slices.append(_Slice(number))
        current = self._slices[-1]
        current.first += first
        current.extra += extra
        self.first += first
        self.extra += extra

    def expire(self, now: float) -> None:
        """Drop what lies before the window."""
        oldest = int(now / SLICE_S) - self._keep + 1
        while self._slices and self._slices[0].number < oldest:
            gone = self._slices.popleft()
            self.first -= gone.first
            self.extra -= gone.extra


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
        """Start with a part of the slack for each service."""
        self._options = options
        self._share = share
        self._now = now
        self._fresh_until = now() + options.window_s
        self._usages: dict[str, _Usage] = {}
        self.spent = 0
        self.denied = 0

    def __len__(self) -> int:
        """Return the number of services with a budget."""
        return len(self._usages)

    def set_options(self, options: BudgetOptions) -> None:
        """Take new bounds; what was used still counts."""
        self._options = options

    def keep_only(self, services: Collection[str]) -> None:
        """Drop the budgets of services that are no longer configured."""
        for name in self._usages.keys() - services:
            self._usages.pop(name)

    def deposit(self, service: str) -> None:
        """Count a first request."""
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
        most = slack + usage.first * options.ratio * options.ratio_utilization
        kept = 0 if urgent else slack * options.urgent_reserve
        if usage.extra + 1 > most - kept:
            self.denied += 1
            return False
        usage.add(self._now(), extra=1)
        self.spent += 1
        return True

    def refund(self, service: str) -> None:
        """Give back an extra request that was not sent."""
        self.spent -= 1
        self._usage(service).add(self._now(), extra=-1)

    def _slack(self) -> float:
        options = self._options
        fresh = self._now() < self._fresh_until
        part = (
            options.startup_slack_utilization
            if fresh
            else options.slack_utilization
        )
        min_extra = min(options.min_extra, options.slack)
        return max(min_extra, options.slack * part * self._share())

    def _usage(self, service: str) -> _Usage:
        known = self._usages.get(service)
        if known is None:
            known = _Usage(self._options.window_s)
            self._usages[service] = known
        known.expire(self._now())
        return known
