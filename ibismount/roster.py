"""Roster of the nodes that count for quorums and own shares."""

import dataclasses
from collections.abc import Mapping
from typing import Any

import pydantic

from ibismount.catalog import findings_of
from ibismount.errors import FindingsError
from ibismount.member import Member

__all__ = (
    'Member',
    'Roster',
    'accept_quorum',
    'confirm_quorum',
    'parse_roster_change',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Roster:
    """All members by id, as of the version of the last roster change."""

    version: int = 0
    members: Mapping[str, Member] = dataclasses.field(default_factory=dict)

    def region_members(self, name: str) -> list[Member]:
        """Return the members of one region, ordered by id."""
        return [
            self.members[node_id]
            for node_id in sorted(self.members)
            if self.members[node_id].region == name
        ]

    def region_names(self) -> list[str]:
        """Return the names of all regions that have members."""
        return sorted({member.region for member in self.members.values()})

    def has_incarnation(self, node_id: str, incarnation: int) -> bool:
        """Return whether this incarnation of a node is a member."""
        member = self.members.get(node_id)
        return member is not None and member.incarnation == incarnation


class _MemberModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', strict=True)

    id: str = pydantic.Field(min_length=1)
    incarnation: int = pydantic.Field(ge=1)
    availability_zone: str = pydantic.Field(min_length=1)
    region: str = pydantic.Field(min_length=1)
    link_address: str
    api_address: str
    # Present in the body, but replaced by the version of the change.
    since: int = 0
    capacity: float = 1


class _RosterChangeModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid')

    joined: list[_MemberModel]
    removed: list[str]


def parse_roster_change(
    body: Mapping[str, Any], *, since: int, place: str
) -> tuple[list[Member], list[str]]:
    """Validate the body of a roster change.

    Args:
        body: Decoded JSON.
        since: Version of the change, stored in each added member.
        place: Prefix of the ``place`` of each finding.

    Returns:
        The members to add, and the ids of the members to remove.

    Raises:
        FindingsError: ``change_invalid``.
    """
    try:
        model = _RosterChangeModel.model_validate(dict(body))
    except pydantic.ValidationError as exc:
        raise FindingsError(findings_of(exc, place=place)) from exc
    joined = [
        Member(**{**member.model_dump(), 'since': since})
        for member in model.joined
    ]
    return joined, model.removed


def accept_quorum(size: int) -> int:
    """Return how many members must store a change for it to be accepted."""
    return (size + 1) // 2


def confirm_quorum(size: int) -> int:
    """Return how many members must answer a round.

    The accept quorum and this quorum always overlap, so every round includes
    at least one member that stores the latest accepted change.
    """
    return size // 2 + 1
