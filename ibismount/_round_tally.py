"""Records of confirmation rounds: what is collected and what it proves."""

import collections
import dataclasses
from collections.abc import Callable, Iterable

from ibismount.config import ConfigState
from ibismount.messages import LossReport, RoundUp
from ibismount.roster import accept_quorum, confirm_quorum

__all__ = ('Collection', 'ConfirmOptions', 'Following', 'Outcome', 'judge')

# Bounds the answer's size while many versions are about. Lower versions are
# rounded down together, which can only delay acceptance.
MAX_VERSIONS = 16
MAX_LOSSES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmOptions:
    """Times of the confirmation rounds, in seconds.

    ``settle_s`` keeps a restarted node out of the count until every round
    that its former incarnation can have answered is over; it must exceed
    ``round_timeout_s``. ``confirm_quorum`` maps the number of members to the
    confirm quorum; tests replace it to show what the quorum is for.
    """

    round_period_s: float = 0.5
    round_timeout_s: float = 0.4
    confirm_ttl_s: float = 3.0
    fallback_after_s: float = 1.5
    fan_out: int = 16
    region_period_s: float = 1.0
    settle_s: float = 1.0
    pull_again_s: float = 0.3
    backoff_s: float = 0.5
    max_backoff_s: float = 8.0
    confirm_quorum: Callable[[int], int] = confirm_quorum


@dataclasses.dataclass(slots=True)
class Collection:
    """Answers of one round at one node; ``parent`` is empty at the root."""

    coordinator: str
    round: int
    accepted: int
    started: float
    due: float
    parent: str = ''
    waiting: set[str] = dataclasses.field(default_factory=set)
    answered: set[str] = dataclasses.field(default_factory=set)
    versions: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    replaced: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    highest: int = 0
    losses: list[LossReport] = dataclasses.field(default_factory=list)
    done: bool = False

    def add(self, sender: str, answer: RoundUp) -> bool:
        """Take a child's answer; tell whether it still counts."""
        if self.done or sender not in self.waiting:
            return False
        self.waiting.discard(sender)
        self.answered.add(sender)
        self.versions.update(dict(answer.versions))
        self.replaced.update(dict(answer.replaced))
        self.highest = max(self.highest, answer.highest)
        self.losses.extend(answer.losses)
        return True

    def answer(self) -> RoundUp:
        """Build the answer for the parent."""
        return RoundUp(
            coordinator=self.coordinator,
            round=self.round,
            versions=_bounded(self.versions),
            highest=self.highest,
            replaced=_bounded(self.replaced),
            losses=tuple(self.losses[:MAX_LOSSES]),
        )


@dataclasses.dataclass(slots=True)
class Following:
    """What a node remembers of one coordinator's rounds.

    ``base_round`` is a round that started after ``base_at``, because the
    node's answer to the round before it, sent then, had reached the root.
    """

    incarnation: int
    current: Collection
    sent_at: float | None = None
    base_round: int = 0
    base_at: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a round proves: 0 confirms nothing."""

    confirmed: int
    accepted: int
    accepted_roster: bool


def judge(
    found: Collection,
    state: ConfigState,
    region: str,
    *,
    confirm_size: Callable[[int], int] = confirm_quorum,
) -> Outcome:
    """Draw the conclusions of a finished round at its root.

    Args:
        found: All answers; ``found.accepted`` fixes the counted roster.
        state: The coordinator's state. Only up to its version does the
            coordinator know where roster changes lie.
        region: The region whose members count.
        confirm_size: Confirm quorum for a number of members.
    """
    start = found.accepted
    nothing = Outcome(0, start, accepted_roster=False)
    roster = state.roster_at(start)
    if roster is None or state.version < start:
        return nothing
    size = sum(one.region == region for one in roster.members.values())
    step = state.next_roster_version(start)
    limit = state.version if step is None else step
    accepted = _accepted(found, accept_quorum(size), start, limit)
    if size == 0:
        confirmed = 0
    else:
        confirmed = _confirmed(found, confirm_size(size), limit, step)
    return Outcome(confirmed, accepted, accepted_roster=accepted == step)


def _accepted(found: Collection, quorum: int, start: int, limit: int) -> int:
    if quorum == 0:
        return limit
    both = found.versions + found.replaced
    holders = 0
    for version in sorted(both, reverse=True):
        holders += both[version]
        if holders >= quorum:
            return max(start, min(version, limit))
    return start


def _confirmed(
    found: Collection, quorum: int, limit: int, step: int | None
) -> int:
    if found.versions.total() < quorum:
        return 0
    highest = max(found.versions)
    if highest > limit or highest == step:
        return 0
    return highest


def _bounded(counts: collections.Counter[int]) -> tuple[tuple[int, int], ...]:
    ordered = sorted(counts.items(), reverse=True)
    kept, rest = ordered[:MAX_VERSIONS], ordered[MAX_VERSIONS:]
    if rest:
        kept.append((rest[-1][0], _total(rest)))
    return tuple(kept)


def _total(pairs: Iterable[tuple[int, int]]) -> int:
    return sum(count for _, count in pairs)
