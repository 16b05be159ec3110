"""Talk to the other nodes: who lives, and what the store says."""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from ibismount.change_feed import ChangeFeed
from ibismount.fleet_state import FleetChange, FleetState
from ibismount.http_client import configure_tcp_socket
from ibismount.logs import part_logger
from ibismount.member import Member
from ibismount.membership import Membership, MembershipOptions
from ibismount.peer_frames import (
    Beat,
    FrameError,
    FrameReader,
    decode_probe,
    encode_frame,
    encode_probe,
)
from ibismount.probing import Envelope
from ibismount.store_duty import StoreDuty

__all__ = ('PeerOptions', 'Peers')

log = part_logger('peers')

# Quick judgement: a node that is only suspected is not handed out to callers,
# so a false suspicion costs little.
PROBING = MembershipOptions(
    period_s=0.4,
    probe_timeout_s=0.12,
    suspicion_s=1.2,
    pause_after_s=0.6,
    dead_probe_every=3,
    forget_after_s=600,
)


# Up to this number of nodes the period above holds. It grows with the fleet up
# to the bound: a node is then probed by more others in each period, and the
# bytes of all probes together are paid for.
PERIOD_NODES = 30
PERIOD_MOST_S = 1.2


def probe_period_s(nodes: int) -> float:
    """Return the time between two probes of a node, in seconds."""
    period_s = PROBING.period_s * max(1, nodes / PERIOD_NODES)
    return round(min(PERIOD_MOST_S, period_s), 1)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerOptions:
    """Times in seconds."""

    tick_s: float = 0.1
    beat_s: float = 0.4
    # A link without a beat for this time is not current.
    beat_most_s: float = 1.0
    # Nor is one whose peer has not heard from the store for this time.
    contact_most_s: float = 2.0
    connect_s: float = 0.5
    reconnect_s: float = 0.15
    # Bytes that a slow reader may leave unread before its link is closed.
    unread_most: int = 4 * 1024 * 1024


_DEFAULTS = PeerOptions()


class _ProbeSocket(asyncio.DatagramProtocol):
    """Sends and receives probes."""

    def __init__(self, peers: 'Peers') -> None:
        """Belong to one node."""
        self._peers = peers
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a probe; others may send anything to the port."""
        try:
            sender, message = decode_probe(data)
        except FrameError as exc:
            log.warning(
                'datagram ignored', extra={'peer': addr[0], 'reason': str(exc)}
            )
            return
        self._peers.probe_received(sender, message)

    def error_received(self, exc: OSError) -> None:
        """Leave a refused datagram to the probe's time-out."""
        log.debug('datagram refused', extra={'reason': str(exc)})

    def send(self, host: str, port: int, raw: bytes) -> None:
        """Send one datagram."""
        self._transport.sendto(raw, (host, port))


class _Follower(asyncio.Protocol):
    """A peer that reads this node's view."""

    def __init__(self, peers: 'Peers') -> None:
        """Belong to one node."""
        self._peers = peers
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Send the whole view."""
        self._transport = transport
        configure_tcp_socket(transport.get_extra_info('socket'))
        self._peers.followers.add(self)
        self._peers.greet(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the peer."""
        self._peers.followers.discard(self)

    def data_received(self, data: bytes) -> None:
        """Close: a follower sends nothing."""
        self._transport.abort()

    def send(self, raw: bytes, unread_most: int) -> None:
        """Send a frame, or close a link that is not read."""
        if self._transport.get_write_buffer_size() > unread_most:
            self._transport.abort()
        else:
            self._transport.write(raw)


class _Upstream(asyncio.Protocol):
    """This node's link to a peer whose view it reads."""

    def __init__(self, apply: Callable[[FleetChange], object]) -> None:
        """Apply what the peer sends."""
        self._apply = apply
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self.closed = False
        self.beat: Beat | None = None
        self.beat_at: float = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self._transport = transport
        configure_tcp_socket(transport.get_extra_info('socket'))

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the link."""
        self.closed = True

    def data_received(self, data: bytes) -> None:
        """Apply changes and keep the newest beat."""
        try:
            frames = self._reader.feed(data)
        except FrameError as exc:
            log.warning('link closed', extra={'reason': str(exc)})
            self.close()
            return
        for frame in frames:
            if isinstance(frame, Beat):
                self.beat = frame
                self.beat_at = asyncio.get_running_loop().time()
            else:
                self._apply(frame)

    def close(self) -> None:
        """End the link."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()


class Peers:
    """Membership, links and the duty to follow the store of one node.

    Args:
        own: This node.
        seeds: Nodes that are probably there.
        fleet: The view that is shared.
        feed: Follows the store when this node has to.
        rng: Source of randomness.
        is_seed: The others know this node from their settings.
        options: Times.
    """

    def __init__(
        self,
        own: Member,
        seeds: list[Member],
        *,
        fleet: FleetState,
        feed: ChangeFeed,
        rng: random.Random,
        is_seed: bool = False,
        options: PeerOptions = _DEFAULTS,
    ) -> None:
        """Know only the seeds."""
        loop = asyncio.get_running_loop()
        self._own = own
        self._fleet = fleet
        self._feed = feed
        self._options = options
        self._now = loop.time
        self._started_at = loop.time()
        self._membership = Membership(own, rng=rng, options=PROBING)
        self._membership.seed(seeds)
        self._duty = StoreDuty(own.id, self._started_at, is_seed=is_seed)
        self._links: dict[str, _Upstream] = {}
        self._connecting: dict[str, asyncio.Task] = {}
        self._socket = _ProbeSocket(self)
        self._next_beat: float = 0
        self._most_live = 1
        # The encoded view, and the count of changes that it holds.
        self._view = b''
        self._view_of = -1
        self.followers: set[_Follower] = set()

    def add_seeds(self, seeds: list[Member]) -> None:
        """Take further nodes that are probably there."""
        self._membership.seed(seeds)

    def members(self) -> list[Member]:
        """Return the nodes that may be handed out, this one included."""
        return list(self._membership.undoubted().values())

    def most_live(self) -> int:
        """Return the greatest number of nodes that were alive together."""
        return self._most_live

    async def start(self) -> None:
        """Listen for probes and followers."""
        host, _, port = self._own.link_address.rpartition(':')
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self._socket, local_addr=(host, int(port))
        )
        self._server = await loop.create_server(
            lambda: _Follower(self), host, int(port)
        )
        self._tick(self._now())
        self._task = loop.create_task(self._run())

    def announce(self, api_address: str) -> None:
        """Tell the others where callers may go; empty: nowhere."""
        if self._own.api_address != api_address:
            self._own = dataclasses.replace(self._own, api_address=api_address)
            self._membership.update_own(self._own)

    def leave(self) -> None:
        """Tell the others that this node ends."""
        self._send(self._membership.leave(self._now()))

    def spread(self, change: FleetChange) -> None:
        """Hand a change on to all followers."""
        if self.followers:
            raw = encode_frame(change)
            for follower in list(self.followers):
                follower.send(raw, self._options.unread_most)

    def greet(self, follower: _Follower) -> None:
        """Send the whole view to a new follower."""
        if self._view_of != self._fleet.change_count:
            # All nodes turn to a new source within a moment.
            self._view_of = self._fleet.change_count
            self._view = b''.join(map(encode_frame, self._fleet.snapshot()))
        follower.send(self._view, self._options.unread_most)
        follower.send(encode_frame(self._beat()), self._options.unread_most)

    def probe_received(self, sender: str, message: object) -> None:
        """Take a probe and answer it."""
        self._send(self._membership.receive(self._now(), sender, message))

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._options.tick_s)
            self._tick(self._now())

    def _tick(self, now: float) -> None:
        self._send(self._membership.tick(now))
        self._membership.live(now)
        live = {
            node_id: member.capacity
            for node_id, member in self._membership.members().items()
        }
        self._most_live = max(self._most_live, len(live))
        self._membership.set_period(probe_period_s(len(live)))
        self._tend_links(live)
        current = sum(
            self._is_current(now, one) for one in self._links.values()
        )
        wanted = self._duty.follows_store(now, live, current_links=current)
        if wanted and not self._feed.running:
            log.info(
                'following the store',
                extra={'live': len(live), 'current': current},
            )
            self._feed.start()
        elif self._feed.running and not wanted and self._duty.may_stop(now):
            log.info('store left to peers', extra={'current': current})
            self._feed.stop()
        if now >= self._next_beat:
            self._next_beat = now + self._options.beat_s
            self._send_beats()

    def _is_current(self, now: float, link: _Upstream) -> bool:
        if link.closed or link.beat is None or not link.beat.current:
            return False
        options = self._options
        fresh = now - link.beat_at <= options.beat_most_s
        return fresh and link.beat.contact_age_s <= options.contact_most_s

    def _tend_links(self, live: dict[str, float]) -> None:
        wanted = self._duty.upstream(live)
        for node_id in list(self._links):
            link = self._links[node_id]
            if link.closed or node_id not in wanted:
                self._links.pop(node_id)
                link.close()
        loop = asyncio.get_running_loop()
        for node_id in wanted:
            if node_id in self._links or node_id in self._connecting:
                continue
            self._connecting[node_id] = loop.create_task(self._connect(node_id))

    async def _connect(self, node_id: str) -> None:
        member = self._membership.lookup(node_id)
        host, _, port = member.link_address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._options.connect_s):
                _, link = await loop.create_connection(
                    lambda: _Upstream(self._fleet.apply), host, int(port)
                )
        except (OSError, TimeoutError) as exc:
            log.debug('no link', extra={'peer': node_id, 'reason': repr(exc)})
            await asyncio.sleep(self._options.reconnect_s)
        else:
            self._links[node_id] = link
        finally:
            self._connecting.pop(node_id, None)

    def _beat(self) -> Beat:
        age_s = self._now() - self._feed.contact_at
        return Beat(self._feed.current, round(min(age_s, 1e6), 3))

    def _send_beats(self) -> None:
        raw = encode_frame(self._beat())
        for follower in list(self.followers):
            follower.send(raw, self._options.unread_most)

    def _send(self, envelopes: list[Envelope]) -> None:
        for to, message in envelopes:
            member = self._membership.lookup(to)
            if member is None:
                continue
            host, _, port = member.link_address.rpartition(':')
            self._socket.send(
                host, int(port), encode_probe(self._own.id, message)
            )
