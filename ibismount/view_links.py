"""Links between nodes on which one of them receives the other's view."""

import abc
import asyncio
import enum
from collections.abc import Callable

from ibismount.fleet_state import FleetChange, ViewRevisions
from ibismount.http_client import configure_tcp_socket
from ibismount.logs import part_logger
from ibismount.peer_frames import FeedHeartbeat, FrameError, FrameReader
from ibismount.probe_messages import MembersChanged

__all__ = ('Subscriber', 'Subscription', 'UpstreamLink', 'ViewPublisher')

log = part_logger('peers')


class Subscription(enum.Enum):
    """What a node wants on a link, as the byte that it sends."""

    # A snapshot of the view, and then every change.
    CHANGES = b'c'
    # Only heartbeats, and the revisions of the view when they change.
    HEARTBEATS = b'h'


class ViewPublisher(abc.ABC):
    """Sends this node's view to its subscribers."""

    def __init__(self, subscription_wait_s: float) -> None:
        """Start without subscribers.

        Args:
            subscription_wait_s: Time that a subscriber has to say what it
                wants, in seconds.
        """
        self.subscription_wait_s = subscription_wait_s
        self.subscribers: set[Subscriber] = set()

    @abc.abstractmethod
    def start_subscription(self, subscriber: 'Subscriber') -> None:
        """Send what a subscriber needs first."""

    @abc.abstractmethod
    def count_sent(self, host: str, size: int) -> None:
        """Count bytes that were sent to a subscriber."""


class Subscriber(asyncio.Protocol):
    """Link to a peer that receives this node's view, or only heartbeats."""

    def __init__(self, publisher: ViewPublisher) -> None:
        """Subscribe to the view of ``publisher`` once connected."""
        self._publisher = publisher
        self.subscription: Subscription | None = None
        # The subscriber said what it wants. A node of an older build does not,
        # and would close the link on a kind of frame that it does not know.
        self.states_subscription = False
        # Revisions that were last sent while it wants heartbeats.
        self.sent_revisions: ViewRevisions | None = None
        self._transport: asyncio.Transport | None = None
        # IP address of the subscriber, which is also the id of its node.
        self._host = ''

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Wait for what the subscriber wants."""
        self._transport = transport
        self._host = transport.get_extra_info('peername')[0]
        configure_tcp_socket(transport.get_extra_info('socket'))
        self._publisher.subscribers.add(self)
        self._timer = asyncio.get_running_loop().call_later(
            self._publisher.subscription_wait_s, self._set_default
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the subscriber."""
        self._timer.cancel()
        self._publisher.subscribers.discard(self)

    def data_received(self, data: bytes) -> None:
        """Change the subscription; close the link on any other data."""
        try:
            subscription = Subscription(data[-1:])
        except ValueError:
            self._transport.abort()
            return
        self.states_subscription = True
        self._set_subscription(subscription)

    def _set_default(self) -> None:
        if self.subscription is None:
            self._set_subscription(Subscription.CHANGES)

    def _set_subscription(self, subscription: Subscription) -> None:
        if subscription is self.subscription:
            return
        self.subscription = subscription
        self.sent_revisions = None
        self._publisher.start_subscription(self)

    def send(self, raw: bytes, max_unread_bytes: int) -> None:
        """Send encoded frames, or close the link if its backlog is too long."""
        if self._transport.get_write_buffer_size() > max_unread_bytes:
            self._transport.abort()
        else:
            self._transport.write(raw)
            self._publisher.count_sent(self._host, len(raw))


class UpstreamLink(asyncio.Protocol):
    """Link to a peer whose view this node receives."""

    def __init__(
        self,
        apply: Callable[[FleetChange], object],
        apply_members: Callable[[MembersChanged], object],
        on_received: Callable[[], None],
    ) -> None:
        """Start without a transport.

        Args:
            apply: Gets changes of the view.
            apply_members: Gets changes of the nodes.
            on_received: Called after what was received has been applied.
        """
        self._apply = apply
        self._apply_members = apply_members
        self._on_received = on_received
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self.closed = False
        self.heartbeat: FeedHeartbeat | None = None
        # When the newest heartbeat came; until the first, when the link began.
        self.heartbeat_at: float = 0
        self.revisions = ViewRevisions()
        self._subscription: Subscription | None = None
        # Since when this node's view has been behind that of the peer.
        self.lagging_since: float | None = None
        # Until when changes are wanted because of such a lag.
        self.changes_wanted_until: float = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self._transport = transport
        self.heartbeat_at = asyncio.get_running_loop().time()
        configure_tcp_socket(transport.get_extra_info('socket'))

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the link as closed."""
        self.closed = True

    def data_received(self, data: bytes) -> None:
        """Apply changes and keep the newest heartbeat."""
        try:
            frames = self._reader.feed(data)
        except FrameError as exc:
            log.warning(
                'upstream link closed: invalid frame',
                extra={'reason': str(exc)},
            )
            self.close()
            return
        for frame in frames:
            if isinstance(frame, FeedHeartbeat):
                self.heartbeat = frame
                self.heartbeat_at = asyncio.get_running_loop().time()
            elif isinstance(frame, ViewRevisions):
                self.revisions = frame
            elif isinstance(frame, MembersChanged):
                self._apply_members(frame)
            else:
                self._apply(frame)
        self._on_received()

    def subscribe(self, subscription: Subscription) -> None:
        """Tell the peer what this node wants, if that changed."""
        if subscription is not self._subscription:
            self._subscription = subscription
            self._transport.write(subscription.value)

    def close(self) -> None:
        """Close the link."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()
