"""Decide when a request has enough parts, is repeated, or has failed.

One request goes to one backend server of each of its parts: a search has a
part for each shard, any other request has a single part. Nothing here does
I/O; times are seconds on a monotonic clock that the caller passes in.
"""

import dataclasses
import enum
import math

__all__ = (
    'Attempt',
    'Decision',
    'Gathering',
    'GatheringPlan',
    'Part',
    'least_parts',
)


class Decision(enum.Enum):
    """What to do with a request now."""

    WAIT = 'wait'
    # All parts are in, or enough of them at the time to answer.
    ANSWER = 'answer'
    # Too few parts can still come.
    FAIL = 'fail'


@dataclasses.dataclass(frozen=True, slots=True)
class GatheringPlan:
    """Bounds of one request.

    ``answer_at`` is the last moment at which an answer still reaches the
    caller within the route's target; ``end_at`` ends the request whatever is
    in.
    """

    services: tuple[str, ...]
    least_parts: int
    max_runs: int
    idempotent: bool
    answer_at: float
    end_at: float
    # Delay after which a part is sent a second time; None: never.
    hedge_s: float | None = None


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One send of a part to one backend server."""

    part: 'Part'
    server_id: str
    sent_at: float
    open: bool = True
    overdue: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Part:
    """What happened to one part so far."""

    service: str
    # Servers that a further attempt must not use.
    tried: set[str] = dataclasses.field(default_factory=set)
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    # Attempts that ran or may have run.
    runs: int = 0
    done: bool = False
    # No further attempt is possible.
    exhausted: bool = False
    next_hedge_at: float = math.inf

    @property
    def open(self) -> bool:
        """Tell whether an attempt may still be answered."""
        return any(attempt.open for attempt in self.attempts)

    @property
    def dead(self) -> bool:
        """Tell whether the part can no longer come."""
        return not self.done and self.exhausted and not self.open


class Gathering:
    """Track the parts of one request.

    Args:
        plan: Bounds of the request.
    """

    def __init__(self, plan: GatheringPlan) -> None:
        """Start with nothing sent."""
        self.plan = plan
        self.parts = [Part(service) for service in plan.services]
        self.in_count = 0

    @property
    def ran(self) -> bool:
        """Tell whether a backend server ran or may have run any part."""
        return any(part.runs for part in self.parts)

    def sent(self, part: Part, server_id: str, now: float) -> Attempt:
        """Record an attempt; it counts as run until the contrary is known."""
        attempt = Attempt(part, server_id, now)
        part.attempts.append(attempt)
        part.tried.add(server_id)
        part.runs += 1
        hedge_s = self.plan.hedge_s
        may_hedge = hedge_s is not None and part.runs < self.plan.max_runs
        part.next_hedge_at = now + hedge_s if may_hedge else math.inf
        return attempt

    def answered(self, attempt: Attempt) -> bool:
        """Record an answer; return False when the part was already in."""
        attempt.open = False
        part = attempt.part
        if part.done:
            return False
        part.done = True
        part.next_hedge_at = math.inf
        self.in_count += 1
        return True

    def not_run(self, attempt: Attempt) -> None:
        """Record that the server certainly did not run the attempt."""
        attempt.open = False
        attempt.part.runs -= 1

    def failed(self, attempt: Attempt) -> None:
        """Record an attempt that ran or may have run, without an answer."""
        attempt.open = False

    def may_send(self, part: Part) -> bool:
        """Tell whether a further attempt of a part is allowed."""
        if part.done or part.exhausted:
            return False
        if not part.runs:
            return True
        return self.plan.idempotent and part.runs < self.plan.max_runs

    def due_hedges(self, now: float) -> list[Part]:
        """Return the parts whose answer is overdue and may be hedged."""
        return [part for part in self.parts if part.next_hedge_at <= now]

    def decide(self, now: float) -> Decision:
        """Tell whether to wait, answer or give up."""
        total = len(self.parts)
        if self.in_count == total:
            return Decision.ANSWER
        enough = self.in_count >= self.plan.least_parts
        dead = sum(part.dead for part in self.parts)
        if enough and (
            now >= self.plan.answer_at or self.in_count + dead == total
        ):
            return Decision.ANSWER
        if total - dead < self.plan.least_parts or now >= self.plan.end_at:
            return Decision.FAIL
        return Decision.WAIT

    def next_check(self, now: float) -> float:
        """Return the time at which a decision may change by itself."""
        moment = min(part.next_hedge_at for part in self.parts)
        if self.plan.answer_at > now:
            moment = min(moment, self.plan.answer_at)
        return min(moment, self.plan.end_at)


def least_parts(total: int, least_share: float) -> int:
    """Return the number of parts that makes up at least a share of all."""
    # The small term keeps 0.89 * 100 from being rounded up to 90.
    return max(1, math.ceil(total * least_share - 1e-9))
