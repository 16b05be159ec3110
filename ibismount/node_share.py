"""This node's share of the limits of the whole fleet.

Limits of backend servers and budgets for extra requests apply to all nodes
together. Each node computes its share without messages, so the shares must
not add up to more than the limit, even while nodes can't reach each other.
"""

import collections
import dataclasses

__all__ = ('NodeShare', 'NodeShareCalculator', 'ShareOptions')


@dataclasses.dataclass(frozen=True, slots=True)
class ShareOptions:
    """Numbers, and times in seconds."""

    # Number of nodes that is assumed until peers are known: the size of the
    # largest fleet of today.
    assumed_nodes: int = 128
    # Time after the start until the number of live peers is reliable.
    settle_s: float = 1.2
    # Fraction of a budget for the advertised nodes together; other nodes get
    # requests only from callers with old address lists.
    advertised_fraction: float = 0.8
    # Nodes that are no longer advertised count for this time, since they may
    # be on the other side of a partition. Longer than the window of the
    # budgets.
    peak_window_s: float = 25.0


_DEFAULTS = ShareOptions()


@dataclasses.dataclass(frozen=True, slots=True)
class NodeShare:
    """One node's share of the limits.

    ``nodes`` is the number of nodes that share each backend server,
    ``zone_nodes`` the number of those that prefer the servers of this node's
    availability zone, and ``budget_fraction`` is this node's part of a budget
    of the fleet.
    """

    nodes: int
    zone_nodes: int
    budget_fraction: float


class NodeShareCalculator:
    """Compute one node's share from the numbers of nodes.

    Args:
        started_at: When the process started, in seconds.
        options: Numbers and times.

    Example::

        calculator = NodeShareCalculator(0)
        calculator.compute(
            9,
            advertised=6,
            advertised_in_zone=2,
            is_advertised=True,
            peak_live=117,
        )
        # NodeShare(nodes=6, zone_nodes=2, budget_fraction=0.133...)
    """

    def __init__(
        self, started_at: float, options: ShareOptions = _DEFAULTS
    ) -> None:
        """Start without any peer."""
        self._options = options
        self._settled_at = started_at + options.settle_s
        # Sliding-window maximum: numbers of advertised nodes, each with the
        # time at which it was last seen. The numbers fall from left to right.
        self._peaks: collections.deque[tuple[int, float]] = collections.deque()

    def compute(
        self,
        now: float,
        *,
        advertised: int,
        advertised_in_zone: int,
        is_advertised: bool,
        peak_live: int,
    ) -> NodeShare:
        """Return the share of this node now.

        Args:
            now: Time in seconds.
            advertised: Nodes whose addresses are given to callers.
            advertised_in_zone: Those of them in this node's availability zone.
            is_advertised: This node is one of them.
            peak_live: Greatest number of nodes that were alive at once.
        """
        options = self._options
        peak_advertised = self._peak_advertised(now, advertised)
        if now < self._settled_at:
            nodes = zone_nodes = options.assumed_nodes
            budget_part = 1.0
        elif not peak_advertised or peak_advertised >= peak_live:
            nodes, zone_nodes, budget_part = peak_live, advertised_in_zone, 1.0
        elif is_advertised:
            nodes, zone_nodes = peak_advertised, advertised_in_zone
            budget_part = options.advertised_fraction
        else:
            nodes = zone_nodes = peak_live
            budget_part = 1 - options.advertised_fraction
        return NodeShare(nodes, max(1, zone_nodes), budget_part / nodes)

    def _peak_advertised(self, now: float, advertised: int) -> int:
        """Return the greatest number of advertised nodes in the window."""
        while self._peaks and self._peaks[-1][0] <= advertised:
            self._peaks.pop()
        self._peaks.append((advertised, now))
        while self._peaks[0][1] < now - self._options.peak_window_s:
            self._peaks.popleft()
        return self._peaks[0][0]
