"""Versions accepted in each region, as far as a node has heard."""

from collections.abc import Iterable

from ibismount.config import ConfigState
from ibismount.roster import Roster

__all__ = ('Acceptance',)


class Acceptance:
    """Keep accepted versions; none ever goes back.

    Args:
        region: This node's region.
        state: The node's live copy of the configuration.
    """

    def __init__(self, region: str, state: ConfigState) -> None:
        """Start with nothing accepted."""
        self._region = region
        self._state = state
        self._versions: dict[str, int] = {}
        self._everywhere = 0
        self._cached: tuple[Roster | None, list[str]] = (None, [])

    @property
    def here(self) -> int:
        """Return the version accepted in this node's region."""
        return self._versions.get(self._region, 0)

    def pairs(self) -> tuple[tuple[str, int], ...]:
        """Return what is known of all regions."""
        return tuple(sorted(self._versions.items()))

    def learn(self, region: str, version: int) -> None:
        """Take a version accepted in a region."""
        self._versions[region] = max(self._versions.get(region, 0), version)

    def learn_all(self, pairs: Iterable[tuple[str, int]]) -> None:
        """Take the accepted versions of several regions."""
        for region, version in pairs:
            self.learn(region, version)

    def everywhere(self) -> int:
        """Return the version accepted in all regions, of those held here.

        A roster change needs the regions of the roster before it: one that
        takes out a region's last members still has to reach that region.
        """
        while self._everywhere < self._state.version:
            before = self._everywhere
            self._everywhere = max(before, self._next(before))
            if self._everywhere == before:
                break
        return self._everywhere

    def _next(self, start: int) -> int:
        roster = self._state.roster_at(start)
        if roster is None:
            # Loaded from a stored state, without the rosters before it.
            lowest = self._lowest(self._state.roster, self._state.version)
            return lowest if lowest >= self._state.roster.version else start
        step = self._state.next_roster_version(start)
        limit = self._state.version if step is None else step
        return self._lowest(roster, limit)

    def _lowest(self, roster: Roster, limit: int) -> int:
        if self._cached[0] is not roster:
            self._cached = (roster, roster.region_names())
        known = (self._versions.get(one, 0) for one in self._cached[1])
        return min((limit, *known))
