"""State that nodes find out from requests and share over the links.

The store knows nothing of it. A node sends what it finds out, or hears and did
not know, to the nodes that take changes from it and to those that it takes
changes from. It passes on only what is new to it, so forwarding ends. When a
link begins, both sides send all that they know: what was lost with an earlier
link arrives then.
"""

import abc
from collections.abc import Iterable
from typing import Any, ClassVar

__all__ = ('SharedState', 'SharedStates')


class SharedState(abc.ABC):
    """One kind of state; messages bear ages instead of times.

    The clocks of two nodes have nothing in common but their speed.
    """

    # Type of the messages of this kind.
    message_type: ClassVar[type]

    @abc.abstractmethod
    def make_snapshot(self, now: float) -> Any:
        """Return a message with all that is known, or None if it is nothing."""

    @abc.abstractmethod
    def merge(self, now: float, message: Any) -> None:
        """Apply the message of another node, and keep what is new to pass on."""

    @abc.abstractmethod
    def take_outgoing(self, now: float) -> Any:
        """Return a message with what is new since the last call, or None."""


class SharedStates:
    """All kinds of shared state of one node.

    Args:
        states: One state of each kind.
    """

    def __init__(self, states: Iterable[SharedState] = ()) -> None:
        """Start with the given states."""
        self._states = {state.message_type: state for state in states}

    def make_snapshots(self, now: float) -> list[Any]:
        """Return the messages that a node at a new link needs."""
        snapshots = [
            state.make_snapshot(now) for state in self._states.values()
        ]
        return [snapshot for snapshot in snapshots if snapshot is not None]

    def merge(self, now: float, message: Any) -> bool:
        """Apply a message; return False if it is of no shared kind."""
        state = self._states.get(type(message))
        if state is None:
            return False
        state.merge(now, message)
        return True

    def take_outgoing(self, now: float) -> list[Any]:
        """Return the messages to send now."""
        messages = [state.take_outgoing(now) for state in self._states.values()]
        return [message for message in messages if message is not None]
