"""Description of a node for the other nodes."""

import dataclasses

__all__ = ('Member',)


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Identity, location and addresses of a node.

    ``since`` is the version of the roster change that added this incarnation.
    Other nodes connect to ``link_address``, callers to ``api_address``.
    """

    id: str
    incarnation: int
    availability_zone: str
    region: str
    link_address: str
    api_address: str
    since: int = 0
    # Number of processor cores that the node may use.
    capacity: float = 1
