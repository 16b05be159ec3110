"""This node's part of the fleet's budget for extra requests.

All nodes together may send a service extra requests up to a ratio of its
first ones and a fixed slack in each window. Every node takes the ratio of its
own first requests and an equal part of the slack, so the sum holds without
any message between nodes.
"""

import dataclasses
from collections.abc import Callable, Collection

from ibismount.hedging import ExtraLoadBudget

__all__ = ('BudgetOptions', 'TrafficBudget')


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetOptions:
    """Bounds of the fleet, and the parts of them that are used."""

    ratio: float = 0.2
    slack: float = 100
    window_s: float = 10
    # What stays unused covers nodes that are not known yet and restarts.
    ratio_used: float = 0.85
    # Part of the slack that is saved up, and part that comes back in each
    # window: both can be spent in one window.
    slack_saved: float = 0.55
    slack_refilled: float = 0.2
    # Fewest extra requests that are saved up: below one, a node in a large
    # fleet could never send any.
    saved_least: float = 1.5
    # Part of the saved slack that a fresh process may use: what it used
    # before its restart is not known.
    start_share: float = 0.3
    # Part of the saved slack that is kept for requests that lost their only
    # attempt; a request that is merely late may not use it.
    urgent_share: float = 0.2


class TrafficBudget:
    """Bound the extra requests for each service.

    Args:
        options: Bounds.
        now: Clock in seconds.
        share: Returns this node's part of the slack, between 0 and 1.
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
        self._buckets: dict[str, ExtraLoadBudget] = {}
        self._filled_at: dict[str, float] = {}
        self.spent = 0
        self.denied = 0

    def set_options(self, options: BudgetOptions) -> None:
        """Take new bounds; each service starts as in a fresh process."""
        if options != self._options:
            self._options = options
            self._buckets.clear()
            self._filled_at.clear()

    def keep_only(self, services: Collection[str]) -> None:
        """Drop the budgets of services that are no longer configured."""
        for name in self._buckets.keys() - services:
            self._buckets.pop(name)
            self._filled_at.pop(name)

    def earn(self, service: str) -> None:
        """Count a first request."""
        self._bucket(service).earn(1)

    def spend(self, service: str, *, urgent: bool = True) -> bool:
        """Take one extra request; return False when none is left.

        Args:
            service: Where the request goes.
            urgent: No attempt is under way.
        """
        bucket = self._bucket(service)
        keep = 0 if urgent else self._saved() * self._options.urgent_share
        allowed = bucket.spend(keep=keep)
        if allowed:
            self.spent += 1
        else:
            self.denied += 1
        return allowed

    def refund(self, service: str) -> None:
        """Give back an extra request that was not sent."""
        self.spent -= 1
        self._bucket(service).refund()

    def _saved(self) -> float:
        options = self._options
        return options.slack * options.slack_saved * self._share()

    def _bucket(self, service: str) -> ExtraLoadBudget:
        options = self._options
        saved = self._saved()
        now = self._now()
        known = self._buckets.get(service)
        if known is None:
            known = ExtraLoadBudget(
                fraction=options.ratio * options.ratio_used,
                burst=max(saved, options.saved_least),
                start=saved * options.start_share,
            )
            self._buckets[service] = known
        else:
            known.resize(max(saved, options.saved_least))
            elapsed_s = now - self._filled_at[service]
            per_s = options.slack * options.slack_refilled / options.window_s
            known.add(elapsed_s * per_s * self._share())
        self._filled_at[service] = now
        return known
