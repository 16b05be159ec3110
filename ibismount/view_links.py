"""Links between nodes on which one of them receives the other's view."""

import abc
import asyncio
import enum
from collections.abc import Callable

from ibismount.fleet_state import FleetChange, ViewRevisions
from ibismount.http_client import configure_tcp_socket
from ibismount.logs import part_logger
from ibismount.peer_frames import (
    FeedHeartbeat,
    Frame,
    FrameError,
    FrameReader,
    encode_frame,
    pop_frame,
)
from ibismount.probe_messages import MembersChanged
from ibismount.shared_state import SharedStates

__all__ = ('Subscriber', 'Subscription', 'UpstreamLink', 'ViewPublisher')

log = part_logger('peers')


class Subscription(enum.Enum):
    """What a node wants on a link, as the byte that it sends."""

    # A snapshot of the view, and then every change.
    CHANGES = b'c'
    # Only heartbeats, and the revisions of the view when they change.
    HEARTBEATS = b'h'


# Shared state that can't wait for the next tick is sent after this time, in
# seconds, so that one message tells what was found out together.
SHARE_DELAY_S = 0.005
_SUBSCRIPTION_BYTES = frozenset(item.value for item in Subscription)


class ViewPublisher(abc.ABC):
    """Sends this node's view, and the state that nodes share, to subscribers."""

    def __init__(
        self,
        *,
        shared: SharedStates,
        now: Callable[[], float],
        subscription_wait_s: float,
        max_unread_bytes: int,
    ) -> None:
        """Start without subscribers.

        Args:
            shared: State that the nodes find out and share.
            now: Clock in seconds.
            subscription_wait_s: Time that a subscriber has to say what it
                wants, in seconds.
            max_unread_bytes: Backlog of unsent data above which the link to a
                subscriber is closed.
        """
        self.subscription_wait_s = subscription_wait_s
        self.max_unread_bytes = max_unread_bytes
        self.subscribers: set[Subscriber] = set()
        self._shared = shared
        self._now = now
        self._share_timer: asyncio.TimerHandle | None = None

    def share_soon(self) -> None:
        """Send new shared state without waiting for the next tick."""
        if self._share_timer is None:
            self._share_timer = asyncio.get_running_loop().call_later(
                SHARE_DELAY_S, self._share_now
            )

    def _share_now(self) -> None:
        self._share_timer = None
        self.send_shared(self._now())

    def merge_shared(self, frame: Frame) -> bool:
        """Apply shared state; return False if the frame is of another kind."""
        return self._shared.merge(self._now(), frame)

    def encode_shared_snapshot(self) -> bytes:
        """Encode all shared state that this node knows."""
        snapshots = self._shared.make_snapshots(self._now())
        return b''.join(map(encode_frame, snapshots))

    def send_to_changes_subscribers(self, raw: bytes) -> None:
        """Send to the subscribers that know all kinds of frames."""
        for subscriber in list(self.subscribers):
            if (
                subscriber.states_subscription
                and subscriber.subscription is Subscription.CHANGES
            ):
                subscriber.send(raw)

    @abc.abstractmethod
    def start_subscription(self, subscriber: 'Subscriber') -> None:
        """Send what a subscriber needs first."""

    @abc.abstractmethod
    def send_shared(self, now: float) -> None:
        """Pass on the shared state that is new since the last call."""

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
        self._buffer = bytearray()

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
        """Read subscriptions and shared state; close the link on other data.

        A frame's length prefix never begins with a byte of a subscription.
        """
        self._buffer += data
        try:
            self._read_buffer()
        except FrameError as exc:
            log.warning(
                'subscriber link closed: invalid data',
                extra={'peer': self._host, 'reason': str(exc)},
            )
            self._transport.abort()

    def _read_buffer(self) -> None:
        while self._buffer:
            head = bytes(self._buffer[:1])
            if head in _SUBSCRIPTION_BYTES:
                del self._buffer[:1]
                self.states_subscription = True
                self._set_subscription(Subscription(head))
                continue
            frame = pop_frame(self._buffer)
            if frame is None:
                return
            if not self._publisher.merge_shared(frame):
                raise FrameError('a subscriber sends shared state only')

    def _set_default(self) -> None:
        if self.subscription is None:
            self._set_subscription(Subscription.CHANGES)

    def _set_subscription(self, subscription: Subscription) -> None:
        if subscription is self.subscription:
            return
        self.subscription = subscription
        self.sent_revisions = None
        self._publisher.start_subscription(self)

    def send(self, raw: bytes) -> None:
        """Send encoded frames, or close the link if its backlog is too long."""
        unread_bytes = self._transport.get_write_buffer_size()
        if unread_bytes > self._publisher.max_unread_bytes:
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
        merge_shared: Callable[[Frame], bool],
        on_received: Callable[[], None],
    ) -> None:
        """Start without a transport.

        Args:
            apply: Gets changes of the view.
            apply_members: Gets changes of the nodes.
            merge_shared: Gets all other frames; returns False if they are not
                shared state.
            on_received: Called after what was received has been applied.
        """
        self._apply = apply
        self._apply_members = apply_members
        self._merge_shared = merge_shared
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
            elif not self._merge_shared(frame):
                self._apply(frame)
        self._on_received()

    @property
    def wants_changes(self) -> bool:
        """Return whether this node takes changes from the peer."""
        return self._subscription is Subscription.CHANGES

    def subscribe(self, subscription: Subscription) -> bool:
        """Tell the peer what this node wants; return whether that changed."""
        if subscription is self._subscription:
            return False
        self._subscription = subscription
        self._transport.write(subscription.value)
        return True

    def send(self, raw: bytes) -> None:
        """Send encoded frames of shared state."""
        self._transport.write(raw)

    def close(self) -> None:
        """Close the link."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()
