"""Exchange membership and the store's changes with the other edge nodes."""

import asyncio
import dataclasses
import random

from ibismount.change_feed import ChangeFeed
from ibismount.fleet_state import FleetChange, FleetState, ViewRevisions
from ibismount.logs import part_logger
from ibismount.member import Member
from ibismount.member_dissemination import MemberDissemination
from ibismount.membership import Membership
from ibismount.node_ranking import NodeRanking
from ibismount.peer_frames import (
    FeedHeartbeat,
    encode_frame,
    encode_probe,
)
from ibismount.probe_messages import (
    Envelope,
    MembersChanged,
    ProbeMessage,
)
from ibismount.probe_socket import PROBE_OPTIONS, ProbeSocket, probe_period_s
from ibismount.shared_state import SharedStates
from ibismount.source_election import SourceElection
from ibismount.view_links import (
    Subscriber,
    Subscription,
    UpstreamLink,
    ViewPublisher,
)
from ibismount.zone_traffic import TrafficKind, ZoneTraffic

__all__ = ('PeerOptions', 'Peers')

log = part_logger('peers')

# Connections not yet accepted: after a loss of power all nodes link to the same
# two sources at once, and a link that does not fit is tried again much later.
SUBSCRIBER_BACKLOG = 2048


@dataclasses.dataclass(frozen=True, slots=True)
class PeerOptions:
    """Times in seconds, and limits."""

    tick_interval_s: float = 0.1
    # The same for a node that can't serve yet, so that it loses no time.
    startup_tick_interval_s: float = 0.02
    heartbeat_interval_s: float = 0.4
    # A link is stale when its newest heartbeat is older than this.
    max_heartbeat_age_s: float = 1.0
    # A link is stale when the store last answered its peer longer ago.
    max_contact_age_s: float = 2.0
    connect_timeout_s: float = 0.5
    reconnect_delay_s: float = 0.15
    # The same for a node that can't serve yet. After a loss of power, nodes
    # start before their seeds have power, and these packets are lost.
    startup_connect_timeout_s: float = 0.12
    startup_reconnect_delay_s: float = 0.03
    # A new process serves with a view that neither the store nor a peer has
    # confirmed for this time: the store may be down for long.
    max_unconfirmed_s: float = 2.0
    # A subscriber that has not said what it wants by then gets all changes.
    subscription_wait_s: float = 0.25
    # Time for which a view may be behind a peer before it asks that peer for
    # its changes: the usual way through a relay takes milliseconds.
    max_lag_s: float = 0.5
    # The same for a node that can't serve yet.
    max_startup_lag_s: float = 0.1
    # A peer that was asked for this reason keeps sending for this time, so that
    # a slow relay does not cause a snapshot for each change.
    lag_subscription_s: float = 10.0
    # A link to a slow subscriber is closed above this backlog of unsent data.
    max_unread_bytes: int = 4 * 1024 * 1024


_DEFAULT_OPTIONS = PeerOptions()


class Peers(ViewPublisher):
    """Run membership, links and source election for one node.

    Args:
        own_member: This node.
        seeds: Nodes to contact first.
        fleet: View that is shared with the peers.
        feed: Watches the store while this node is a source.
        rng: Source of randomness.
        traffic: Counts the bytes sent to other nodes.
        shared: State that the nodes find out and share.
        is_seed: Whether the settings of other nodes name this node as a seed.
        first_start: Whether the whole fleet starts for the first time.
        options: Times and limits.
    """

    def __init__(
        self,
        own_member: Member,
        seeds: list[Member],
        *,
        fleet: FleetState,
        feed: ChangeFeed,
        rng: random.Random,
        traffic: ZoneTraffic,
        shared: SharedStates | None = None,
        is_seed: bool = False,
        first_start: bool = False,
        options: PeerOptions = _DEFAULT_OPTIONS,
    ) -> None:
        """Start with only the seeds as known nodes."""
        loop = asyncio.get_running_loop()
        super().__init__(
            shared=shared or SharedStates(),
            now=loop.time,
            subscription_wait_s=options.subscription_wait_s,
            max_unread_bytes=options.max_unread_bytes,
        )
        self._own_member = own_member
        self._fleet = fleet
        self._feed = feed
        self._traffic = traffic
        self._options = options
        self._started_at = loop.time()
        self._membership = Membership(
            own_member, rng=rng, options=PROBE_OPTIONS
        )
        self._membership.add_seeds(seeds)
        self._dissemination = MemberDissemination(self._membership)
        self._ranking = NodeRanking(
            self._membership, own_member.availability_zone
        )
        self._election = SourceElection(
            own_member.id,
            self._started_at,
            is_seed=is_seed,
            restart_capacity=0 if first_start else own_member.capacity,
        )
        self._links: dict[str, UpstreamLink] = {}
        self._connecting: dict[str, asyncio.Task] = {}
        self._socket = ProbeSocket(self._receive_probe)
        self._next_heartbeat_at: float = 0
        self._last_informed_at = self._started_at
        # Since when the fleet's view could serve but for its confirmation.
        self._has_view_since: float | None = None
        # Nodes to link to, the nearest first.
        self._upstream_ids: list[str] = []
        # The encoded view, and the ``fleet.change_count`` it was built at.
        self._snapshot = b''
        self._snapshot_change_count = -1

    def add_seeds(self, seeds: list[Member]) -> None:
        """Add nodes to contact."""
        self._membership.add_seeds(seeds)

    def unsuspected_members(self) -> list[Member]:
        """Return the live nodes that are not suspected, this one included."""
        return list(self._membership.unsuspected_members().values())

    @property
    def change_count(self) -> int:
        """Return the number of changes to any node's status."""
        return self._membership.change_count

    def peak_live_count(self) -> int:
        """Return the highest number of live nodes seen at one time."""
        return self._ranking.peak_count

    async def start(self) -> None:
        """Listen for probes and subscribers, and start the periodic work."""
        host, _, port = self._own_member.link_address.rpartition(':')
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self._socket, local_addr=(host, int(port))
        )
        self._server = await loop.create_server(
            lambda: Subscriber(self),
            host,
            int(port),
            backlog=SUBSCRIBER_BACKLOG,
        )
        self._run_tick()

    def set_api_address(self, api_address: str) -> None:
        """Announce the address for callers; empty when this node takes none."""
        if self._own_member.api_address != api_address:
            self._own_member = dataclasses.replace(
                self._own_member, api_address=api_address
            )
            self._membership.update_own(self._own_member)

    def leave(self) -> None:
        """Announce to other nodes that this node is shutting down."""
        self._send_probes(self._membership.leave(self._now()))
        self._send_member_updates()

    def broadcast_change(self, change: FleetChange) -> None:
        """Send a change to the subscribers that want changes."""
        receivers = [
            subscriber
            for subscriber in self.subscribers
            if subscriber.subscription is Subscription.CHANGES
        ]
        if receivers:
            raw = encode_frame(change)
            for subscriber in receivers:
                subscriber.send(raw)

    def start_subscription(self, subscriber: Subscriber) -> None:
        """Send what a subscriber needs first."""
        if subscriber.subscription is Subscription.CHANGES:
            self._send_snapshot(subscriber)
            if subscriber.states_subscription:
                raw = encode_frame(self._dissemination.make_snapshot())
                raw += self.encode_shared_snapshot()
                subscriber.send(raw)
        self._send_heartbeat(
            subscriber,
            encode_frame(self._make_heartbeat()),
            self._fleet.changed_revisions,
        )

    def send_shared(self, now: float) -> None:
        """Pass on the shared state that is new since the last call."""
        messages = self._shared.take_outgoing(now)
        if not messages:
            return
        raw = b''.join(map(encode_frame, messages))
        self.send_to_changes_subscribers(raw)
        for node_id, link in self._links.items():
            if link.wants_changes and not link.closed:
                self._send_upstream(node_id, link, raw)

    def _send_upstream(
        self, node_id: str, link: UpstreamLink, raw: bytes
    ) -> None:
        link.send(raw)
        self.count_sent(node_id, len(raw))

    def _send_snapshot(self, subscriber: Subscriber) -> None:
        if self._snapshot_change_count != self._fleet.change_count:
            # Encode once for all: every node connects to a new source at
            # about the same time.
            self._snapshot_change_count = self._fleet.change_count
            self._snapshot = b''.join(map(encode_frame, self._fleet.snapshot()))
        subscriber.send(self._snapshot)

    def _send_heartbeat(
        self, subscriber: Subscriber, raw: bytes, revisions: ViewRevisions
    ) -> None:
        if (
            subscriber.subscription is Subscription.HEARTBEATS
            and subscriber.sent_revisions != revisions
        ):
            subscriber.sent_revisions = revisions
            raw = encode_frame(revisions) + raw
        subscriber.send(raw)

    def count_sent(self, host: str, size: int) -> None:
        """Count bytes that were sent to a subscriber."""
        member = self._membership.lookup(host)
        zone = member.availability_zone if member else ''
        self._traffic.add(TrafficKind.VIEW, zone, size)

    def announce_current(self) -> None:
        """Tell the subscribers that this node is up to date with the store.

        Nodes that start wait for this, and the next heartbeat may be late.
        """
        self._confirm_view()
        self._send_heartbeats()

    def _confirm_view(self) -> None:
        """Confirm the view of a new process as soon as it can be relied on."""
        if self._fleet.confirmed or not self._fleet.has_view:
            return
        now = self._now()
        if self._has_view_since is None:
            self._has_view_since = now
        if self._feed.current or any(
            self._is_current(now, link)
            and not link.revisions.is_ahead_of(self._fleet.revisions)
            for link in self._links.values()
        ):
            log.info('view confirmed', extra=self._describe_view(now))
            self._fleet.confirm()
        elif now - self._has_view_since >= self._options.max_unconfirmed_s:
            log.warning(
                'view not confirmed, used as it is',
                extra=self._describe_view(now),
            )
            self._fleet.confirm()

    def _describe_view(self, now: float) -> dict[str, float | bool]:
        revisions = self._fleet.revisions
        return {
            'version': revisions.version,
            'servers_revision': revisions.servers,
            'zones_revision': revisions.zones,
            'by_store': self._feed.current,
            'after_s': round(now - self._started_at, 3),
        }

    def _receive_probe(self, sender: str, message: ProbeMessage) -> None:
        """Handle a probe message and send the answers."""
        self._send_probes(
            self._membership.receive(self._now(), sender, message)
        )

    def _run_tick(self) -> None:
        """Do the periodic work, and schedule it again."""
        options = self._options
        interval_s = (
            options.tick_interval_s
            if self._fleet.ready
            else options.startup_tick_interval_s
        )
        self._tick_timer = asyncio.get_running_loop().call_later(
            interval_s, self._run_tick
        )
        self._tick(self._now())

    def _tick(self, now: float) -> None:
        self._send_probes(self._membership.tick(now))
        self._membership.live_ids(now)
        if self._ranking.update():
            self._membership.set_period(probe_period_s(len(self._ranking.ids)))
        self._update_links(now)
        self._update_subscriptions(now)
        self._send_member_updates()
        self.send_shared(now)
        self._confirm_view()
        current_links = sum(
            self._is_current(now, link) for link in self._links.values()
        )
        should_watch = self._election.should_watch_store(
            now,
            self._ranking.ids,
            current_links=current_links,
            alone=self._is_alone(),
        )
        if should_watch and not self._feed.running:
            log.info(
                'following the store',
                extra={
                    'live': len(self._ranking.ids),
                    'current': current_links,
                },
            )
            self._feed.start()
        elif (
            self._feed.running
            and not should_watch
            and self._election.may_stop_watching(now)
        ):
            log.info('store left to peers', extra={'current': current_links})
            self._feed.stop()
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + self._options.heartbeat_interval_s
            self._send_heartbeats()

    def _is_alone(self) -> bool:
        """Return whether this node has no view and nobody to get it from."""
        return not self._fleet.ready and all(
            link.closed for link in self._links.values()
        )

    def _is_current(self, now: float, link: UpstreamLink) -> bool:
        if link.closed or link.heartbeat is None or not link.heartbeat.current:
            return False
        return (
            not self._is_silent(now, link)
            and link.heartbeat.contact_age_s <= self._options.max_contact_age_s
        )

    def _update_links(self, now: float) -> None:
        source_ids = self._election.select_upstreams(self._ranking.ids)
        relay_id = self._election.select_relay(self._ranking.zone_ids)
        further_ids: list[str] = []
        if self._is_informed(now, source_ids):
            self._last_informed_at = now
        elif relay_id is None:
            # Other nodes of the zone learn from this one.
            further_ids = self._election.select_further_upstreams(
                self._ranking.ids, stale_s=now - self._last_informed_at
            )
        # Changes are wanted from the first of them that is linked.
        upstream_ids = dict.fromkeys((relay_id, *source_ids, *further_ids))
        upstream_ids.pop(None, None)
        self._upstream_ids = list(upstream_ids)
        for node_id in list(self._links):
            link = self._links[node_id]
            if link.closed or node_id not in upstream_ids:
                self._links.pop(node_id)
                link.close()
        loop = asyncio.get_running_loop()
        for node_id in upstream_ids:
            if node_id in self._links or node_id in self._connecting:
                continue
            self._connecting[node_id] = loop.create_task(self._connect(node_id))

    def _is_informed(self, now: float, source_ids: list[str]) -> bool:
        """Return whether this node or a source is up to date with the store."""
        return self._feed.current or any(
            self._is_current(now, self._links[node_id])
            for node_id in source_ids
            if node_id in self._links
        )

    def _update_subscriptions(self, now: float) -> None:
        """Take changes from the nearest upstream, and from others on a lag."""
        own_revisions = self._fleet.revisions
        max_lag_s = (
            self._options.max_lag_s
            if self._fleet.ready
            else self._options.max_startup_lag_s
        )
        linked_ids = self._linked_upstreams(now)
        for node_id in linked_ids:
            link = self._links[node_id]
            if not link.revisions.is_ahead_of(own_revisions):
                link.lagging_since = None
            elif link.lagging_since is None:
                link.lagging_since = now
            elif now - link.lagging_since > max_lag_s:
                link.changes_wanted_until = (
                    now + self._options.lag_subscription_s
                )
            wants_changes = (
                node_id == linked_ids[0] or now < link.changes_wanted_until
            )
            changed = link.subscribe(
                Subscription.CHANGES
                if wants_changes
                else Subscription.HEARTBEATS
            )
            if changed and wants_changes:
                raw = self.encode_shared_snapshot()
                if raw:
                    self._send_upstream(node_id, link, raw)

    def _linked_upstreams(self, now: float) -> list[str]:
        """Return the ids of the linked upstreams, the one to prefer first.

        That is the nearest one whose heartbeats arrive: a link to a node that
        lost power or is frozen breaks only seconds later.
        """
        linked_ids = [
            node_id
            for node_id in self._upstream_ids
            if node_id in self._links and not self._links[node_id].closed
        ]
        linked_ids.sort(
            key=lambda node_id: self._is_silent(now, self._links[node_id])
        )
        return linked_ids

    def _is_silent(self, now: float, link: UpstreamLink) -> bool:
        return now - link.heartbeat_at > self._options.max_heartbeat_age_s

    def _upstream_id(self) -> str | None:
        """Return the id of the node that this one takes changes from."""
        return next(iter(self._linked_upstreams(self._now())), None)

    def _receive_members(self, change: MembersChanged) -> None:
        self._dissemination.receive(self._now(), change)

    def _send_member_updates(self) -> None:
        """Pass on what this node knows of other nodes since the last call."""
        change, envelopes = self._dissemination.take_outgoing(
            self._now(), self._upstream_id()
        )
        self._send_probes(envelopes)
        if change is None:
            return
        self.send_to_changes_subscribers(encode_frame(change))

    async def _connect(self, node_id: str) -> None:
        member = self._membership.lookup(node_id)
        host, _, port = member.link_address.rpartition(':')
        loop = asyncio.get_running_loop()
        options = self._options
        timeout_s, delay_s = (
            (options.connect_timeout_s, options.reconnect_delay_s)
            if self._fleet.ready
            else (
                options.startup_connect_timeout_s,
                options.startup_reconnect_delay_s,
            )
        )
        try:
            async with asyncio.timeout(timeout_s):
                _, link = await loop.create_connection(
                    lambda: UpstreamLink(
                        self._fleet.apply,
                        self._receive_members,
                        self.merge_shared,
                        self._confirm_view,
                    ),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError) as exc:
            log.debug(
                'cannot connect to the upstream peer',
                extra={'peer': node_id, 'reason': repr(exc)},
            )
            await asyncio.sleep(delay_s)
        else:
            self._links[node_id] = link
            self._update_subscriptions(self._now())
            if node_id == self._upstream_id():
                # It may not know this node, or another incarnation of it.
                self._send_probes(self._membership.make_pings(node_id))
        finally:
            self._connecting.pop(node_id, None)

    def _make_heartbeat(self) -> FeedHeartbeat:
        age_s = self._now() - self._feed.last_contact_at
        return FeedHeartbeat(self._feed.current, round(min(age_s, 1e6), 3))

    def _send_heartbeats(self) -> None:
        raw = encode_frame(self._make_heartbeat())
        revisions = self._fleet.changed_revisions
        for subscriber in list(self.subscribers):
            self._send_heartbeat(subscriber, raw, revisions)

    def _send_probes(self, envelopes: list[Envelope]) -> None:
        for to, message in envelopes:
            member = self._membership.lookup(to)
            if member is None:
                continue
            host, _, port = member.link_address.rpartition(':')
            raw = encode_probe(self._own_member.id, message)
            self._traffic.add(
                TrafficKind.PROBE, member.availability_zone, len(raw)
            )
            self._socket.send(host, int(port), raw)
