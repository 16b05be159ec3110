"""This node's part of what all nodes may use together.

Limits of backend servers and budgets for extra requests hold for the whole
fleet. Each node takes a part of them without asking the others, so the parts
have to stay within the whole also while nodes can't see each other.
"""

import collections
import dataclasses

__all__ = ('NodeShare', 'NodeShareCalculator', 'ShareOptions')


@dataclasses.dataclass(frozen=True, slots=True)
class ShareOptions:
    """Numbers, and times in seconds."""

    # Nodes that are assumed to share everything while peers are not known:
    # the size of the largest fleet of today.
    assumed_nodes: int = 128
    # Time after the start until the number of live peers is relied on.
    settle_s: float = 1.2
    # Part of the whole that belongs to the nodes which callers are sent to;
    # the others get requests of callers with old lists only.
    advertised_fraction: float = 0.8
    # Time for which nodes that are no longer named still count: they may be
    # on the other side of a partition. Longer than the window of the budgets.
    peak_window_s: float = 25.0


_DEFAULTS = ShareOptions()


@dataclasses.dataclass(frozen=True, slots=True)
class NodeShare:
    """What one node may use.

    ``nodes`` is the number of nodes that share each backend server,
    ``zone_nodes`` the number of those that prefer the servers of this node's
    availability zone, and ``budget`` is this node's part of a budget of the
    fleet.
    """

    nodes: int
    zone_nodes: int
    budget_fraction: float


class NodeShareCalculator:
    """Find one node's share from the nodes that it sees.

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
        # NodeShare(nodes=6, zone_nodes=2, budget=0.133...)
    """

    def __init__(
        self, started_at: float, options: ShareOptions = _DEFAULTS
    ) -> None:
        """Start without any peer."""
        self._options = options
        self._settled_at = started_at + options.settle_s
        # Numbers of named nodes with the time at which each was last seen,
        # falling: only a number that is the greatest since its time counts.
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
            named: Nodes that callers are sent to.
            in_zone: Those of them in this node's availability zone.
            is_named: This node is one of them.
            most_live: Greatest number of nodes that were alive together.
        """
        options = self._options
        peak_advertised = self._peak_advertised(now, advertised)
        if now < self._settled_at:
            nodes = zone_nodes = options.assumed_nodes
            part = 1.0
        elif not peak_advertised or peak_advertised >= peak_live:
            nodes, zone_nodes, part = peak_live, advertised_in_zone, 1.0
        elif is_advertised:
            nodes, zone_nodes = peak_advertised, advertised_in_zone
            part = options.advertised_fraction
        else:
            nodes = zone_nodes = peak_live
            part = 1 - options.advertised_fraction
        return NodeShare(nodes, max(1, zone_nodes), part / nodes)

    def _peak_advertised(self, now: float, advertised: int) -> int:
        """Return the greatest number of named nodes in the last while."""
        while self._peaks and self._peaks[-1][0] <= advertised:
            self._peaks.pop()
        self._peaks.append((advertised, now))
        while self._peaks[0][1] < now - self._options.peak_window_s:
            self._peaks.popleft()
        return self._peaks[0][0]
