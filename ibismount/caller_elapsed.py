"""Estimate how long a caller has waited before its request arrived.

The target of a route counts from the caller's first attempt. Before a request
is sent, its caller may have looked up addresses, opened a connection or been
rejected once. The deadline that comes with the request is what is left, so the
difference to the usual deadline of the route is the time that has passed.
"""

import collections
import dataclasses
from collections.abc import Collection

from ibismount.routes import Route

__all__ = ('CallerElapsed', 'CallerElapsedOptions')


@dataclasses.dataclass(frozen=True, slots=True)
class CallerElapsedOptions:
    """Size of the sample, and the quantile that stands for a full deadline."""

    # Requests of each route whose deadlines are kept.
    samples: int = 64
    # Least number of them for an estimate.
    min_samples: int = 8
    # Requests on kept connections carry the full deadline and are more than a
    # tenth of all; a few callers may wait longer than the others.
    full_deadline_quantile: float = 0.85
    # Requests after which the full deadline is computed again.
    refresh_after: int = 16


_DEFAULTS = CallerElapsedOptions()


class _Deadlines:
    """Recent deadlines of one route."""

    __slots__ = ('_options', '_recent', '_until_refresh', 'full_s')

    def __init__(self, options: CallerElapsedOptions) -> None:
        self._options = options
        self._recent: collections.deque[float] = collections.deque(
            maxlen=options.samples
        )
        self._until_refresh = options.min_samples
        # Deadline of a caller that has not waited yet; 0 while unknown.
        self.full_s: float = 0

    def add(self, deadline_s: float) -> None:
        self._recent.append(deadline_s)
        self._until_refresh -= 1
        if self._until_refresh <= 0:
            self._until_refresh = self._options.refresh_after
            ordered = sorted(self._recent)
            rank = int(len(ordered) * self._options.full_deadline_quantile)
            self.full_s = ordered[rank]


class CallerElapsed:
    """Estimate the time that callers of each route have already waited.

    Args:
        options: Size of the sample.
    """

    def __init__(self, options: CallerElapsedOptions = _DEFAULTS) -> None:
        """Start without requests."""
        self._options = options
        self._deadlines: dict[str, _Deadlines] = {}

    def keep_only(self, routes: Collection[str]) -> None:
        """Drop the samples of routes that are no longer configured."""
        for name in self._deadlines.keys() - routes:
            self._deadlines.pop(name)

    def record(self, route: Route, deadline_s: float) -> float:
        """Add a request; return how long its caller has waited, in seconds."""
        deadlines = self._deadlines.get(route.name)
        if deadlines is None:
            deadlines = _Deadlines(self._options)
            self._deadlines[route.name] = deadlines
        deadlines.add(deadline_s)
        return max(0, deadlines.full_s - deadline_s)
