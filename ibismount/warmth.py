"""Decide from evidence whether a backend server is warm."""

from typing import NamedTuple

from ibismount.catalog import BackendServer
from ibismount.handover import Limits

__all__ = ('Evidence', 'Warmth')

# Answers of requests sent before a generation change arrive for at most one
# deadline, so a few earlier generations are enough to recognize them.
PAST_GENERATIONS = 4


class Evidence(NamedTuple):
    """What a gateway has to tell the others after an observation.

    ``stop`` is for all other gateways; ``warm_for`` holds the gateways that
    asked, with the sequence numbers of their questions.
    """

    stop: bool = False
    warm_for: tuple[tuple[str, int], ...] = ()


NO_EVIDENCE = Evidence()


class Warmth:
    """What one gateway knows about the warmth of one backend server.

    Requests are numbered in the order of their start. ``mark`` is the last
    number at the time of the latest doubt: only answers to later requests
    prove that the generation is still the same.
    """

    __slots__ = (
        'answers',
        'asked',
        'asks',
        'generation',
        'mark',
        'past',
        'proven',
        'warm',
    )

    def __init__(self) -> None:
        """Start cold, without a generation."""
        self.generation = ''
        self.past: tuple[str, ...] = ()
        self.warm = False
        self.proven = False
        self.answers = 0
        self.mark = 0
        # The latest question of this gateway; only a notice that carries
        # its number was sent after the doubt that led to it.
        self.asked = 0
        # Unanswered questions of the other gateways, when primary.
        self.asks: dict[str, int] = {}

    def cap(self, limits: Limits, server: BackendServer, rank: int) -> int:
        """Return how many requests may run at once."""
        if self.warm and self.proven:
            return limits.slots
        if rank:
            # The first request after a notice goes alone: the server may
            # have turned cold since the notice was sent.
            return min(1, limits.slots) if self.warm else 0
        if not self.proven:
            # Neither the warm state nor the steps of the ramp count.
            return min(limits.slots, limits.cold_slots)
        steps = min(self.answers // server.warm_after, 30)
        return min(limits.slots, limits.cold_slots << steps)

    def doubt(self, number: int, sequence: int, *, cold: bool) -> None:
        """Ask for new proof; ``cold`` also ends the warm state."""
        self.mark = number
        self.proven = False
        self.asked = sequence
        if cold:
            self.warm = False
            self.answers = 0

    def answered(
        self,
        number: int,
        generation: str,
        *,
        latest: int,
        sequence: int,
        share: int,
        server: BackendServer,
        rank: int,
    ) -> Evidence:
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
            if number <= self.mark and generation in self.past:
                return NO_EVIDENCE
            known = bool(self.generation)
            self._change(generation)
            self.doubt(latest, sequence, cold=True)
            self.answers = 1
            return Evidence(stop=known)
        if number <= self.mark:
            return NO_EVIDENCE
        self.proven = True
        # A gateway that lost its share has no ramp to finish.
        if rank or not share:
            return NO_EVIDENCE
        if not self.warm:
            self.answers += 1
            steps = self.answers // server.warm_after
            self.warm = bool(steps) and server.cold_slots << steps >= share
        if not self.warm:
            return NO_EVIDENCE
        warm_for = tuple(self.asks.items())
        self.asks.clear()
        return Evidence(warm_for=warm_for)

    def notice(self, generation: str, sequence: int, number: int) -> None:
        """Take a primary's notice that the server is warm."""
        if not sequence or sequence != self.asked:
            return
        if generation != self.generation:
            self._change(generation)
        self.mark = number
        self.warm = True
        self.proven = False
        # A second notice with this number proves nothing new.
        self.asked = 0

    def _change(self, generation: str) -> None:
        if self.generation:
            self.past = (self.generation, *self.past)[:PAST_GENERATIONS]
        self.generation = generation
