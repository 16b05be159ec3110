"""Decide from evidence whether a backend server is warm."""

from typing import NamedTuple

from ibismount.catalog import BackendServer
from ibismount.handover import Limits

__all__ = ('WarmUpNotices', 'WarmUpState')

# Answers of requests sent before a generation change arrive for at most one
# deadline, so a few earlier generations are enough to recognize them.
PAST_GENERATIONS = 4


class WarmUpNotices(NamedTuple):
    """What a gateway has to tell the others after an observation.

    ``stop`` is for all other gateways; ``warm_for`` holds the gateways that
    asked, with the sequence numbers of their questions.
    """

    broadcast_cold: bool = False
    warm_replies: tuple[tuple[str, int], ...] = ()


NO_NOTICES = WarmUpNotices()


class WarmUpState:
    """What one gateway knows about the warmth of one backend server.

    Requests are numbered in the order of their start. ``mark`` is the last
    number at the time of the latest doubt: only answers to later requests
    prove that the generation is still the same.
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
        # The latest question of this gateway; only a notice that carries
        # its number was sent after the doubt that led to it.
        self.query_sequence = 0
        # Unanswered questions of the other gateways, when primary.
        self.pending_queries: dict[str, int] = {}

    def request_limit(
        self, limits: Limits, server: BackendServer, rank: int
    ) -> int:
        """Return how many requests may run at once."""
        if self.warm and self.verified:
            return limits.slots
        if rank:
            # The first request after a notice goes alone: the server may
            # have turned cold since the notice was sent.
            return min(1, limits.slots) if self.warm else 0
        if not self.verified:
            # Neither the warm state nor the steps of the ramp count.
            return min(limits.slots, limits.cold_slots)
        ramp_steps = min(self.answer_count // server.warm_after, 30)
        return min(limits.slots, limits.cold_slots << ramp_steps)

    def invalidate(self, number: int, sequence: int, *, cold: bool) -> None:
        """Ask for new proof; ``cold`` also ends the warm state."""
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
        """Take the generation of an answer into account.

        Args:
            number: The number of the request that was answered.
            generation: The generation that the answer carries.
            latest: The number of the latest request.
            sequence: The number for a new question.
            share: The slots that this gateway has in the current map.
            server: The backend server.
            rank: The rank of this gateway; 0 is the primary.
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
        # A gateway that lost its share has no ramp to finish.
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
        """Take a primary's notice that the server is warm."""
        if not sequence or sequence != self.query_sequence:
            return
        if generation != self.generation:
            self._set_generation(generation)
        self.invalidated_at_number = number
        self.warm = True
        self.verified = False
        # A second notice with this number proves nothing new.
        self.query_sequence = 0

    def _set_generation(self, generation: str) -> None:
        if self.generation:
            self.past_generations = (self.generation, *self.past_generations)[
                :PAST_GENERATIONS
            ]
        self.generation = generation
