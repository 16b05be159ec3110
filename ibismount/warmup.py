"""Track whether a backend server is warm, from its answers and notices."""

from typing import NamedTuple

from ibismount.catalog import BackendServer
from ibismount.handover import Limits

__all__ = ('WarmUpNotices', 'WarmUpState')

# Requests sent before a generation change are answered within one deadline,
# so a few earlier generations are enough to recognize late answers.
PAST_GENERATIONS = 4


class WarmUpNotices(NamedTuple):
    """Notices that a gateway has to send after an answer.

    Attributes:
        broadcast_cold: Whether to tell all other gateways that the server
            may be cold.
        warm_replies: Gateways to tell that the server is warm, each with
            the sequence number of its query.
    """

    broadcast_cold: bool = False
    warm_replies: tuple[tuple[str, int], ...] = ()


NO_NOTICES = WarmUpNotices()


class WarmUpState:
    """Warm-up state of one backend server, as seen by one gateway.

    Requests are numbered in the order of their start.
    ``invalidated_at_number`` is the last number at the latest invalidation:
    only answers to later requests verify that the generation is unchanged.
    """

    __slots__ = (
        'answer_count',
        'generation',
        'invalidated_at_number',
        'past_generations',
        'pending_queries',
        'query_sequence',
        'verified',
        'warm',
    )

    def __init__(self) -> None:
        """Start cold, without a generation."""
        self.generation = ''
        self.past_generations: tuple[str, ...] = ()
        self.warm = False
        self.verified = False
        self.answer_count = 0
        self.invalidated_at_number = 0
        # Sequence number of this gateway's latest query. A notice with the
        # same number was sent after the invalidation that led to the query.
        self.query_sequence = 0
        # Unanswered queries of the other gateways, if this is the primary.
        self.pending_queries: dict[str, int] = {}

    def request_limit(
        self, limits: Limits, server: BackendServer, rank: int
    ) -> int:
        """Return the maximum number of concurrent requests."""
        if self.warm and self.verified:
            return limits.slots
        if rank:
            # After a notice, send one request first: the server may have
            # turned cold since the notice was sent.
            return min(1, limits.slots) if self.warm else 0
        if not self.verified:
            # The warm state and the ramp are unverified, so use neither.
            return min(limits.slots, limits.cold_slots)
        ramp_steps = min(self.answer_count // server.warm_after, 30)
        return min(limits.slots, limits.cold_slots << ramp_steps)

    def invalidate(self, number: int, sequence: int, *, cold: bool) -> None:
        """Require new verification; ``cold`` also resets the warm state."""
        self.invalidated_at_number = number
        self.verified = False
        self.query_sequence = sequence
        if cold:
            self.warm = False
            self.answer_count = 0

    def record_answer(
        self,
        number: int,
        generation: str,
        *,
        latest_number: int,
        sequence: int,
        share_slots: int,
        server: BackendServer,
        rank: int,
    ) -> WarmUpNotices:
        """Update the state from the generation of an answer.

        Args:
            number: Number of the answered request.
            generation: Generation in the answer.
            latest_number: Number of the latest request.
            sequence: Sequence number for a new query.
            share_slots: Slots of this gateway in the current assignment.
            server: The backend server.
            rank: Rank of this gateway; 0 is the primary.

        Returns:
            The notices to send to other gateways.
        """
        if generation != self.generation:
            if (
                number <= self.invalidated_at_number
                and generation in self.past_generations
            ):
                return NO_NOTICES
            had_generation = bool(self.generation)
            self._set_generation(generation)
            self.invalidate(latest_number, sequence, cold=True)
            self.answer_count = 1
            return WarmUpNotices(broadcast_cold=had_generation)
        if number <= self.invalidated_at_number:
            return NO_NOTICES
        self.verified = True
        # A secondary, or a gateway without a share, has no ramp to finish.
        if rank or not share_slots:
            return NO_NOTICES
        if not self.warm:
            self.answer_count += 1
            ramp_steps = self.answer_count // server.warm_after
            self.warm = (
                bool(ramp_steps)
                and server.cold_slots << ramp_steps >= share_slots
            )
        if not self.warm:
            return NO_NOTICES
        warm_replies = tuple(self.pending_queries.items())
        self.pending_queries.clear()
        return WarmUpNotices(warm_replies=warm_replies)

    def apply_notice(self, generation: str, sequence: int, number: int) -> None:
        """Apply the primary's notice that the server is warm."""
        if not sequence or sequence != self.query_sequence:
            return
        if generation != self.generation:
            self._set_generation(generation)
        self.invalidated_at_number = number
        self.warm = True
        self.verified = False
        # Ignore a duplicate of this notice, which verifies nothing new.
        self.query_sequence = 0

    def _set_generation(self, generation: str) -> None:
        if self.generation:
            self.past_generations = (self.generation, *self.past_generations)[
                :PAST_GENERATIONS
            ]
        self.generation = generation
