"""Choose the nodes that callers are told to connect to."""

import dataclasses
from collections.abc import Iterable

from ibismount.member import Member

__all__ = ('HandoutOptions', 'nodes_to_name')


@dataclasses.dataclass(frozen=True, slots=True)
class HandoutOptions:
    """Bounds of the choice."""

    # Nodes with less than this share of the strongest one's capacity are
    # left out: a few strong nodes need far fewer connections to servers.
    strong_share: float = 0.5
    # Fewest nodes to name, so that a few losses are no outage.
    least: int = 4


_DEFAULTS = HandoutOptions()


def nodes_to_name(
    members: Iterable[Member], options: HandoutOptions = _DEFAULTS
) -> list[Member]:
    """Return the strong nodes among those that can serve, strongest first.

    Args:
        members: The nodes that live; only those with an address for callers
            count.
        options: Bounds.

    Example::

        nodes_to_name([])  # []
    """
    able = sorted(
        (one for one in members if one.api_address), key=_strongest_first
    )
    if not able:
        return []
    bound = able[0].capacity * options.strong_share
    return [
        one
        for place, one in enumerate(able)
        if one.capacity >= bound or place < options.least
    ]


def _strongest_first(member: Member) -> tuple[float, str]:
    return (-member.capacity, member.id)
