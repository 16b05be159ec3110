"""Confirmation rounds: which changes are accepted, which nodes may act.

The first live node of each availability zone is a coordinator. It sends
rounds (`RoundDown`) down a tree over the region's members and collects their
versions (`RoundUp`). A version is accepted in a region once an accept quorum
of its members has it. A round that a confirm quorum answers confirms, for a
limited time, every node that has at least the round's version.
"""

from collections.abc import Callable

from ibismount._confirmation_context import ConfirmationContext
from ibismount._quarantine_relay import QuarantineRelay, RelayedQuarantine
from ibismount._round_coordinator import RoundCoordinator
from ibismount._round_participant import RoundParticipant
from ibismount._round_tally import ConfirmOptions
from ibismount.config import ConfigState
from ibismount.confirmation_status import NEVER
from ibismount.messages import (
    Envelope,
    Message,
    Pull,
    RegionAccepted,
    RoundDown,
    RoundUp,
)
from ibismount.roster import Member

__all__ = ('ConfirmOptions', 'Confirmer', 'RelayedQuarantine')

_DEFAULTS = ConfirmOptions()


class Confirmer:
    """Run confirmation rounds for one node.

    Args:
        member: This node and its incarnation.
        state: The node's live copy of the configuration.
        options: Periods and timeouts.
        quarantine: Its loss reports are sent up the tree, its entries down.
        lookup: Returns a live node that is not in the roster, or None;
            without it, such nodes receive no rounds.

    ``tick`` must run at least every 50 ms, because the timeouts of adjacent
    levels of the tree are 100 ms apart.
    """

    def __init__(
        self,
        member: Member,
        state: ConfigState,
        *,
        options: ConfirmOptions = _DEFAULTS,
        quarantine: RelayedQuarantine | None = None,
        lookup: Callable[[str], Member | None] | None = None,
    ) -> None:
        """Start unconfirmed, without accepted versions."""
        self._ctx = ConfirmationContext(
            member, state, options, QuarantineRelay(quarantine)
        )
        self._coordinator = RoundCoordinator(self._ctx, lookup)
        self._participant = RoundParticipant(self._ctx)
        self._last_pull_at = NEVER

    @property
    def region_accepted_version(self) -> int:
        """Return the version accepted in this node's region."""
        return self._ctx.accepted.in_own_region

    @property
    def accepted_version(self) -> int:
        """Return the version accepted in every region that has members."""
        return self._ctx.accepted.in_all_regions()

    @property
    def confirmed_at(self) -> float:
        """Return the time up to which the node has all accepted versions."""
        return self._ctx.status.confirmed_at

    @property
    def fenced(self) -> bool:
        """Return whether a later incarnation has replaced this one."""
        return self._ctx.status.fenced

    def is_confirmed(self, now: float) -> bool:
        """Return whether the node may act as an entry."""
        age = now - self.confirmed_at
        return not self.fenced and age < self._ctx.options.confirm_ttl_s

    def may_use_shares(self, now: float) -> bool:
        """Return whether the node may act as a gateway."""
        listed = self._ctx.state.roster.has_incarnation(
            self._ctx.member.id, self._ctx.member.incarnation
        )
        return listed and self.is_confirmed(now)

    def seed_accepted_version(self, version: int) -> None:
        """Record a version that is known to be accepted in this region."""
        self._ctx.accepted.record(self._ctx.member.region, version)

    def take_accepted_to_store(self) -> int | None:
        """Return the version to write to ``accepted/<region>``, only once."""
        return self._coordinator.take_accepted_to_store()

    def push_targets(self, live: frozenset[str]) -> list[str]:
        """Return the nodes to push new changes to.

        Every coordinator watches the platform, so pushes start at the
        coordinator of each zone and stay within the zone. Nodes that miss a
        push fetch the changes after the next round.
        """
        zone = self._ctx.member.availability_zone
        return self._ctx.tree.zone_children(self._ctx.member.id, zone, live)

    def record_platform_read(
        self, sent_at: float, version: int, listed: bool
    ) -> None:
        """Record a direct read of the platform.

        Args:
            sent_at: When the read was sent, by this node's clock.
            version: Newest version in the change log.
            listed: Whether the roster that was read has this incarnation.
        """
        self._ctx.status.reset_read_backoff()
        if listed:
            self._ctx.status.confirm(version, sent_at, sent_at)

    def needs_platform_read(self, now: float) -> bool:
        """Return whether to read the platform now; True once per attempt."""
        return self._ctx.status.platform_read_due(now)

    def is_coordinator(self, live: frozenset[str]) -> bool:
        """Return whether this node is the first live one of its zone."""
        zone = self._ctx.member.availability_zone
        members = self._ctx.tree.zones.get(zone, ())
        first = next((node_id for node_id in members if node_id in live), None)
        return first == self._ctx.member.id

    def tick(self, now: float, live: frozenset[str]) -> list[Envelope]:
        """Finish rounds that are due and start the next one.

        Returns:
            The messages to send.
        """
        self._ctx.record_call(now)
        self._ctx.live = live
        out = self._participant.finish_due_rounds(now)
        self._coordinator.finish_due_rounds(now)
        if self.is_coordinator(live) and not self.fenced:
            out.extend(self._coordinator.start_due_work(now))
        return out

    def receive(
        self, now: float, sender: str, message: Message
    ) -> list[Envelope]:
        """Handle a message of a round and return the messages to send."""
        self._ctx.record_call(now)
        if isinstance(message, RoundDown):
            out = self._request_missing(now, sender, message.version)
            return [
                *out,
                *self._participant.handle_round_down(now, sender, message),
            ]
        if isinstance(message, RoundUp):
            return self._handle_round_up(now, sender, message)
        if isinstance(message, RegionAccepted):
            self._ctx.accepted.record(message.region, message.version)
            self._ctx.quarantine_relay.adopt(message.quarantined)
            return self._request_missing(now, sender, message.version)
        return []

    def _request_missing(
        self, now: float, sender: str, version: int
    ) -> list[Envelope]:
        pulled_recently = (
            now - self._last_pull_at < self._ctx.options.pull_again_s
        )
        if version <= self._ctx.state.version or pulled_recently:
            return []
        self._last_pull_at = now
        return [Envelope(sender, Pull(self._ctx.state.version))]

    def _handle_round_up(
        self, now: float, sender: str, up: RoundUp
    ) -> list[Envelope]:
        out = self._request_missing(now, sender, up.highest)
        if up.coordinator == self._ctx.member.id:
            self._coordinator.handle_round_up(now, sender, up)
            return out
        return [*out, *self._participant.handle_round_up(now, sender, up)]
