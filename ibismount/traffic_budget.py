"""This node's part of the fleet's budget for extra requests.

All nodes together may send a service extra requests up to a ratio of its
first ones and a fixed slack in each window. Every node takes the ratio of its
own first requests and an equal part of the slack, so the sum holds without
any message between nodes.
"""

import dataclasses
from collections.abc import Callable

from ibismount.hedging import ExtraLoadBudget

__all__ = ('BudgetOptions', 'TrafficBudget')


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetOptions:
    """Bounds of the fleet, and the parts of them that are used."""

    ratio: float = 0.2
    slack: float = 100
    # What stays unused covers nodes that are not known yet and restarts.
    ratio_used: float = 0.85
    slack_used: float = 0.7
    # Part of a node's slack that a fresh process may use: what it used
    # before its restart is not known.
    start_share: float = 0.3


class TrafficBudget:
    """Bound the extra requests for each service.

    Args:
        options: Bounds.
        share: Returns this node's part of the slack, between 0 and 1.
    """

    def __init__(
        self, options: BudgetOptions, share: Callable[[], float]
    ) -> None:
        """Start with a part of the slack for each service."""
        self._options = options
        self._share = share
        self._buckets: dict[str, ExtraLoadBudget] = {}
        self.spent = 0
        self.denied = 0

    def earn(self, service: str) -> None:
        """Count a first request."""
        self._bucket(service).earn(1)

    def spend(self, service: str) -> bool:
        """Take one extra request; return False when none is left."""
        allowed = self._bucket(service).spend()
        if allowed:
            self.spent += 1
        else:
            self.denied += 1
        return allowed

    def refund(self, service: str) -> None:
        """Give back an extra request that was not sent."""
        self.spent -= 1
        self._bucket(service).refund()

    def _bucket(self, service: str) -> ExtraLoadBudget:
        options = self._options
        burst = options.slack * options.slack_used * self._share()
        known = self._buckets.get(service)
        if known is None:
            known = ExtraLoadBudget(
                fraction=options.ratio * options.ratio_used,
                burst=burst,
                start=burst * options.start_share,
            )
            self._buckets[service] = known
        else:
            known.resize(burst)
        return known
