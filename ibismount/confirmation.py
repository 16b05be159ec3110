"""Confirmation rounds: may this node act, and which changes are accepted."""

from collections.abc import Callable

from ibismount._confirmation_context import ConfirmationContext
from ibismount._followed_rounds import FollowedRounds
from ibismount._hooks import HookCarrier, QuarantineHook
from ibismount._own_rounds import OwnRounds
from ibismount._rounds import ConfirmOptions
from ibismount.config import ConfigState
from ibismount.messages import (
    Envelope,
    Message,
    Pull,
    RegionAccepted,
    RoundDown,
    RoundUp,
)
from ibismount.roster import Member
from ibismount.standing import NEVER

__all__ = ('ConfirmOptions', 'Confirmer', 'QuarantineHook')

_DEFAULTS = ConfirmOptions()


class Confirmer:
    """Run confirmation rounds for one node.

    Args:
        member: This node and its incarnation.
        state: The node's live copy of the configuration.
        options: Periods and timeouts.
        quarantine: Its reports travel up and its entries down.
        lookup: Finds a live node that is not in the roster; without it, such
            nodes get no rounds.

    ``tick`` must run at least every 50 ms: the levels of the tree answer
    100 ms apart.
    """

    def __init__(
        self,
        member: Member,
        state: ConfigState,
        *,
        options: ConfirmOptions = _DEFAULTS,
        quarantine: QuarantineHook | None = None,
        lookup: Callable[[str], Member | None] | None = None,
    ) -> None:
        """Start unconfirmed, with nothing accepted."""
        self._ctx = ConfirmationContext(
            member, state, options, HookCarrier(quarantine)
        )
        self._own = OwnRounds(self._ctx, lookup)
        self._followed = FollowedRounds(self._ctx)
        self._pulled_at = NEVER

    @property
    def accepted_here(self) -> int:
        """Return the version accepted in this node's region."""
        return self._ctx.accepted.here

    @property
    def accepted_version(self) -> int:
        """Return the version accepted in every region that has members."""
        return self._ctx.accepted.everywhere()

    @property
    def confirmed_at(self) -> float:
        """Return the time as of which all accepted versions are held."""
        return self._ctx.standing.confirmed_at

    @property
    def fenced(self) -> bool:
        """Tell whether a later incarnation has taken this node's place."""
        return self._ctx.standing.fenced

    def is_confirmed(self, now: float) -> bool:
        """Tell whether the node may do entry work."""
        age = now - self.confirmed_at
        return not self.fenced and age < self._ctx.options.confirm_ttl_s

    def may_use_shares(self, now: float) -> bool:
        """Tell whether the node may act as a gateway."""
        listed = self._ctx.state.roster.has_incarnation(
            self._ctx.member.id, self._ctx.member.incarnation
        )
        return listed and self.is_confirmed(now)

    def seed_accepted(self, version: int) -> None:
        """Take a version known to be accepted in this region."""
        self._ctx.accepted.learn(self._ctx.member.region, version)

    def take_accepted_to_store(self) -> int | None:
        """Return, once, the version to write to ``accepted/<region>``."""
        return self._own.take_accepted_to_store()

    def push_targets(self, live: frozenset[str]) -> list[str]:
        """Return the nodes of the same zone that get new changes at once.

        Every coordinator watches the platform, so each zone's tree is fed by
        its own coordinator and pushes stay within the zone. Rounds repair
        what a push misses.
        """
        zone = self._ctx.member.availability_zone
        return self._ctx.tree.zone_children(self._ctx.member.id, zone, live)

    def platform_read(self, sent_at: float, version: int, listed: bool) -> None:
        """Record a direct read of the platform.

        Args:
            sent_at: When the read was sent, on this node's clock.
            version: Newest version in the change log.
            listed: Whether the roster read holds this incarnation.
        """
        self._ctx.standing.read_answered()
        if listed:
            self._ctx.standing.confirm(version, sent_at, sent_at)

    def needs_platform_read(self, now: float) -> bool:
        """Tell whether to start a direct read now; true once per attempt."""
        return self._ctx.standing.wants_read(now)

    def is_coordinator(self, live: frozenset[str]) -> bool:
        """Tell whether this node is the first live one of its zone."""
        zone = self._ctx.member.availability_zone
        members = self._ctx.tree.zones.get(zone, ())
        first = next((one for one in members if one in live), None)
        return first == self._ctx.member.id

    def tick(self, now: float, live: frozenset[str]) -> list[Envelope]:
        """End rounds that are due and start the next one."""
        self._ctx.record_call(now)
        self._ctx.live = live
        out = self._followed.end_due(now)
        self._own.end_due(now)
        if self.is_coordinator(live) and not self.fenced:
            out.extend(self._own.coordinate(now))
        return out

    def receive(
        self, now: float, sender: str, message: Message
    ) -> list[Envelope]:
        """Take a message of the rounds and return the messages to send."""
        self._ctx.record_call(now)
        if isinstance(message, RoundDown):
            out = self._pull(now, sender, message.version)
            return [*out, *self._followed.on_down(now, sender, message)]
        if isinstance(message, RoundUp):
            return self._on_up(now, sender, message)
        if isinstance(message, RegionAccepted):
            self._ctx.accepted.learn(message.region, message.version)
            self._ctx.hook.adopt(message.quarantined)
            return self._pull(now, sender, message.version)
        return []

    def _pull(self, now: float, sender: str, version: int) -> list[Envelope]:
        recently = now - self._pulled_at < self._ctx.options.pull_again_s
        if version <= self._ctx.state.version or recently:
            return []
        self._pulled_at = now
        return [Envelope(sender, Pull(self._ctx.state.version))]

    def _on_up(self, now: float, sender: str, up: RoundUp) -> list[Envelope]:
        out = self._pull(now, sender, up.highest)
        if up.coordinator == self._ctx.member.id:
            self._own.take_answer(now, sender, up)
            return out
        return [*out, *self._followed.take_answer(now, sender, up)]
