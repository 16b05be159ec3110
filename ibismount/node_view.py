"""Read-only view of a node's control tables for the data path."""

import abc

from ibismount.assignment import Assignment
from ibismount.cause import Cause
from ibismount.config import ConfigState

__all__ = ('NodeView',)


class NodeView(abc.ABC):
    """Give entry and gateway a read-only view of the control tables.

    Times are seconds on the node's own monotonic clock.
    """

    node_id: str
    availability_zone: str

    @property
    @abc.abstractmethod
    def state(self) -> ConfigState:
        """Return the node's current configuration."""

    @property
    @abc.abstractmethod
    def assignment(self) -> Assignment:
        """Return the assignment computed from the configuration."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return the time in seconds."""

    @abc.abstractmethod
    def refusal(self) -> Cause | None:
        """Return why the node may accept no new work, or None.

        The cause is ``unconfirmed``, ``shutting_down``, ``zone_out`` or
        ``vm_out``. It is evaluated at each call and never cached, so that a
        process that resumes after a pause sees its expired confirmation.
        """

    @abc.abstractmethod
    def is_live(self, node_id: str) -> bool:
        """Tell whether the membership lists the node as alive."""
