"""State of one peer: its outgoing queue, links and reconnect back-off."""

import random
from collections import deque
from typing import Final

from ibismount._link import Link
from ibismount.messages import Message

__all__ = ('Peer',)

_MIN_BACKOFF_S: Final = 0.1
# Caps the exponent: the failure count is unbounded, and a float overflows
# at 2**1024.
_MAX_DOUBLINGS: Final = 10
_MAX_BACKOFF_S: Final = 5


class Peer:
    """Outgoing queue, open links and reconnect back-off of one peer.

    ``links`` are ordered from oldest to newest; messages are written to the
    newest one. The peer is not dialled before ``retry_at``, a time of the
    event loop's clock.
    """

    def __init__(self, node_id: str) -> None:
        """Start without an address or links."""
        self.node_id = node_id
        self.address = ''
        self.links: list[Link] = []
        self.queue: deque[tuple[Message, bytes]] = deque()
        self.queued_bytes = 0
        self.dialling = False
        self.failures = 0
        self.retry_at: float = 0

    @property
    def active_link(self) -> Link | None:
        """Return the link to write to."""
        return self.links[-1] if self.links else None

    @property
    def busy(self) -> bool:
        """Return whether messages are queued or being written."""
        return bool(self.queue) or any(link.writing for link in self.links)

    def enqueue(self, message: Message, body: bytes) -> None:
        """Queue an encoded message and wake the writer."""
        self.queue.append((message, body))
        self.queued_bytes += len(body)
        if self.links:
            self.links[-1].wake_writer()

    def next_message(self, link: Link) -> tuple[Message, bytes] | None:
        """Remove and return the next queued message.

        Returns None when the queue is empty or another link is the one to
        write to.
        """
        if not self.queue or link is not self.active_link:
            return None
        message, body = self.queue.popleft()
        self.queued_bytes -= len(body)
        return message, body

    def drain_queue(self) -> list[Message]:
        """Empty the queue and return its messages."""
        unsent = [message for message, _ in self.queue]
        self.queue.clear()
        self.queued_bytes = 0
        return unsent

    def set_address(self, address: str) -> None:
        """Set the address; a changed address resets the back-off."""
        if address != self.address:
            self.address = address
            self.reset_backoff()

    def back_off(self, now: float, rng: random.Random) -> None:
        """Record a failure and double the delay before the next dial.

        The delay is jittered between 50 % and 100 % of its value.
        """
        doublings = min(self.failures, _MAX_DOUBLINGS)
        self.failures += 1
        delay_s = min(_MAX_BACKOFF_S, _MIN_BACKOFF_S * 2**doublings)
        self.retry_at = now + delay_s * rng.uniform(0.5, 1)

    def reset_backoff(self) -> None:
        """Clear the failure count and allow an immediate dial."""
        self.failures = 0
        self.retry_at = 0
