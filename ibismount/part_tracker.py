"""Decide when a scatter-gather request is complete, retried, or failed.

A request is sent to one backend server for each of its parts: a search has a
part for each shard, any other request has a single part. This module does no
I/O; times are seconds on a monotonic clock that the caller passes in.
"""

import dataclasses
import enum
import math

__all__ = (
    'Attempt',
    'Decision',
    'Part',
    'PartTracker',
    'RequestPlan',
    'compute_min_parts',
)


class Decision(enum.Enum):
    """What to do with a request now."""

    WAIT = 'wait'
    # All parts are answered, or enough of them by the time to answer.
    ANSWER = 'answer'
    # Too few parts can still be answered.
    FAIL = 'fail'


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPlan:
    """Bounds of one request.

    ``answer_at`` is the latest time at which an answer still reaches the
    caller within the route's target; at ``end_at`` the request ends in any
    case.
    """

    services: tuple[str, ...]
    min_parts: int
    max_runs: int
    idempotent: bool
    answer_at: float
    end_at: float
    # Delay in seconds after which a part is hedged; None disables hedging.
    hedge_delay_s: float | None = None


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to have a backend server run a part."""

    part: 'Part'
    server_id: str
    sent_at: float
    open: bool = True


@dataclasses.dataclass(slots=True, eq=False)
class Part:
    """One part of a request and its attempts."""

    service: str
    # Ids of servers that a further attempt must not use.
    tried: set[str] = dataclasses.field(default_factory=set)
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    # Attempts that ran or may have run.
    runs: int = 0
    answered: bool = False
    # No further attempt is possible; set by `PartTracker.exhaust`.
    exhausted: bool = False
    next_hedge_at: float = math.inf

    @property
    def open(self) -> bool:
        """Return whether an attempt may still be answered."""
        return any(attempt.open for attempt in self.attempts)

    @property
    def unanswerable(self) -> bool:
        """Return whether no attempt can answer the part any more."""
        return not self.answered and self.exhausted and not self.open


class PartTracker:
    """Track the parts of one request.

    Args:
        plan: Bounds of the request.
    """

    def __init__(self, plan: RequestPlan) -> None:
        """Start with nothing sent."""
        self.plan = plan
        self.parts = [Part(service) for service in plan.services]
        self.answered_count = 0
        # Parts without a further attempt. Decisions are made at each answer, so
        # they look at these alone instead of at all parts.
        self._exhausted: list[Part] = []

    @property
    def may_have_run(self) -> bool:
        """Return whether a backend server ran or may have run any part."""
        return any(part.runs for part in self.parts)

    def record_send(self, part: Part, server_id: str, now: float) -> Attempt:
        """Record an attempt; it counts as run until a rejection is recorded."""
        attempt = Attempt(part, server_id, now)
        part.attempts.append(attempt)
        part.tried.add(server_id)
        part.runs += 1
        hedge_delay_s = self.plan.hedge_delay_s
        may_hedge = hedge_delay_s is not None and part.runs < self.plan.max_runs
        part.next_hedge_at = now + hedge_delay_s if may_hedge else math.inf
        return attempt

    def record_answer(self, attempt: Attempt) -> bool:
        """Record an answer; return False if the part was already answered."""
        attempt.open = False
        part = attempt.part
        if part.answered:
            return False
        part.answered = True
        part.next_hedge_at = math.inf
        self.answered_count += 1
        return True

    def exhaust(self, part: Part) -> None:
        """Note that no further attempt of a part is possible."""
        if not part.exhausted:
            part.exhausted = True
            self._exhausted.append(part)

    def record_not_run(self, attempt: Attempt) -> None:
        """Record an attempt that the server certainly did not run."""
        attempt.open = False
        attempt.part.runs -= 1

    def record_failure(self, attempt: Attempt) -> None:
        """Record an attempt that ran or may have run, without an answer."""
        attempt.open = False

    def may_send(self, part: Part) -> bool:
        """Return whether a further attempt of a part is allowed."""
        if part.answered or part.exhausted:
            return False
        if not part.runs:
            return True
        return self.plan.idempotent and part.runs < self.plan.max_runs

    def unanswered_parts(self) -> dict[str, str]:
        """Return the unanswered parts, each with the servers that were tried."""
        return {
            part.service: ' '.join(sorted(part.tried)) or 'no server'
            for part in self.parts
            if not part.answered
        }

    def due_hedges(self, now: float) -> list[Part]:
        """Return the parts whose answer is overdue and may be hedged."""
        return [part for part in self.parts if part.next_hedge_at <= now]

    def decide(self, now: float) -> Decision:
        """Decide whether to wait, answer or fail."""
        part_count = len(self.parts)
        if self.answered_count == part_count:
            return Decision.ANSWER
        enough = self.answered_count >= self.plan.min_parts
        unanswerable_count = sum(part.unanswerable for part in self._exhausted)
        if enough and (
            now >= self.plan.answer_at
            or self.answered_count + unanswerable_count == part_count
        ):
            return Decision.ANSWER
        if (
            part_count - unanswerable_count < self.plan.min_parts
            or now >= self.plan.end_at
        ):
            return Decision.FAIL
        return Decision.WAIT

    def next_decision_at(self, now: float) -> float:
        """Return when the decision may next change without an event."""
        check_at = min(part.next_hedge_at for part in self.parts)
        if self.plan.answer_at > now:
            check_at = min(check_at, self.plan.answer_at)
        return min(check_at, self.plan.end_at)


def compute_min_parts(part_count: int, least_share: float) -> int:
    """Return the smallest number of parts that reaches a share of all."""
    # Without the small term, 0.89 * 100 would be rounded up to 90.
    return max(1, math.ceil(part_count * least_share - 1e-9))
