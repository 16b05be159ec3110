"""One node, as the others know it."""

import dataclasses

__all__ = ('Member',)


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One node.

    ``since`` is the version of the change that brought this incarnation in.
    ``link_address`` serves other nodes, ``api_address`` serves callers.
    """

    id: str
    incarnation: int
    availability_zone: str
    region: str
    link_address: str
    api_address: str
    since: int = 0
    # Processor cores that the node may use.
    capacity: float = 1
