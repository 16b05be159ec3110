"""The accepted configuration version of each region, as known to a node."""

from collections.abc import Iterable

from ibismount.config import ConfigState
from ibismount.roster import Roster

__all__ = ('AcceptedVersions',)


class AcceptedVersions:
    """Track the accepted version of each region; none ever decreases.

    Args:
        region: This node's region.
        state: The node's live copy of the configuration.
    """

    def __init__(self, region: str, state: ConfigState) -> None:
        """Start without accepted versions."""
        self._region = region
        self._state = state
        self._versions: dict[str, int] = {}
        self._in_all_regions = 0
        self._cached_regions: tuple[Roster | None, list[str]] = (None, [])

    @property
    def in_own_region(self) -> int:
        """Return the version accepted in this node's region."""
        return self._versions.get(self._region, 0)

    def to_pairs(self) -> tuple[tuple[str, int], ...]:
        """Return (region, version) for all known regions."""
        return tuple(sorted(self._versions.items()))

    def record(self, region: str, version: int) -> None:
        """Record a version accepted in a region."""
        self._versions[region] = max(self._versions.get(region, 0), version)

    def record_all(self, pairs: Iterable[tuple[str, int]]) -> None:
        """Record the accepted versions of several regions."""
        for region, version in pairs:
            self.record(region, version)

    def in_all_regions(self) -> int:
        """Return the version accepted in all regions.

        It is at most the version of this node's state. A roster change must
        be accepted in the regions of the roster before it, because a change
        that removes the last members of a region must still reach them.
        """
        while self._in_all_regions < self._state.version:
            before = self._in_all_regions
            self._in_all_regions = max(
                before, self._next_accepted_version(before)
            )
            if self._in_all_regions == before:
                break
        return self._in_all_regions

    def _next_accepted_version(self, accepted_version: int) -> int:
        roster = self._state.roster_at(accepted_version)
        if roster is None:
            # The state was loaded from the platform without older rosters.
            lowest = self._lowest_version(
                self._state.roster, self._state.version
            )
            return (
                lowest
                if lowest >= self._state.roster.version
                else accepted_version
            )
        next_roster_version = self._state.next_roster_version(accepted_version)
        limit = (
            self._state.version
            if next_roster_version is None
            else next_roster_version
        )
        return self._lowest_version(roster, limit)

    def _lowest_version(self, roster: Roster, limit: int) -> int:
        if self._cached_regions[0] is not roster:
            self._cached_regions = (roster, roster.region_names())
        region_versions = (
            self._versions.get(region, 0) for region in self._cached_regions[1]
        )
        return min((limit, *region_versions))
