"""Tally of a confirmation round's answers, and its evaluation."""

import collections
import dataclasses
from collections.abc import Callable, Iterable

from ibismount.config import ConfigState
from ibismount.messages import LossReport, RoundUp
from ibismount.roster import accept_quorum, confirm_quorum

__all__ = (
    'ConfirmOptions',
    'FollowedCoordinator',
    'RoundOutcome',
    'RoundTally',
    'evaluate_round',
)

# Limits the size of an answer when nodes have many different versions. The
# lowest versions are merged into the lowest one, which only delays acceptance.
MAX_VERSIONS = 16
MAX_LOSSES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmOptions:
    """Periods and timeouts of the confirmation rounds, in seconds.

    A restarted node is not counted for ``settle_s``, until all rounds that
    its former incarnation may have answered are over; it must exceed
    ``round_timeout_s``. ``confirm_quorum`` maps the number of members to the
    confirm quorum; tests replace it to show that the quorum is needed.
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
class RoundTally:
    """Answers of one round collected at one node.

    ``parent`` is empty at the root. Times are in seconds of the node's clock.
    ``accepted`` is the version whose roster is counted.
    """

    coordinator: str
    round: int
    accepted: int
    started_at: float
    due_at: float
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

    def add_answer(self, sender: str, answer: RoundUp) -> bool:
        """Add a child's answer; return whether it was counted."""
        if self.done or sender not in self.waiting:
            return False
        self.waiting.discard(sender)
        self.answered.add(sender)
        self.versions.update(dict(answer.versions))
        self.replaced.update(dict(answer.replaced))
        self.highest = max(self.highest, answer.highest)
        self.losses.extend(answer.losses)
        return True

    def build_answer(self) -> RoundUp:
        """Build the answer for the parent."""
        return RoundUp(
            coordinator=self.coordinator,
            round=self.round,
            versions=_limit_versions(self.versions),
            highest=self.highest,
            replaced=_limit_versions(self.replaced),
            losses=tuple(self.losses[:MAX_LOSSES]),
        )


@dataclasses.dataclass(slots=True)
class FollowedCoordinator:
    """State that a node keeps about the rounds of one coordinator.

    ``base_round`` started after ``base_at``: the node sent its answer to the
    previous round at ``base_at``, and the coordinator received that answer
    before it started ``base_round``.
    """

    incarnation: int
    current: RoundTally
    sent_at: float | None = None
    base_round: int = 0
    base_at: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RoundOutcome:
    """Result of a round; a ``confirmed_version`` of 0 confirms no node."""

    confirmed_version: int
    accepted_version: int
    accepted_roster: bool


def evaluate_round(
    tally: RoundTally,
    state: ConfigState,
    region: str,
    *,
    confirm_size: Callable[[int], int] = confirm_quorum,
) -> RoundOutcome:
    """Evaluate a finished round at its coordinator.

    Args:
        tally: All answers. The roster at ``tally.accepted`` is counted.
        state: The coordinator's state. Versions above its own are not
            evaluated, because they may contain roster changes.
        region: The region whose members are counted.
        confirm_size: Returns the confirm quorum for a number of members.
    """
    accepted_version = tally.accepted
    no_result = RoundOutcome(0, accepted_version, accepted_roster=False)
    roster = state.roster_at(accepted_version)
    if roster is None or state.version < accepted_version:
        return no_result
    member_count = sum(
        member.region == region for member in roster.members.values()
    )
    next_roster_version = state.next_roster_version(accepted_version)
    limit = (
        state.version if next_roster_version is None else next_roster_version
    )
    accepted = _find_accepted_version(
        tally, accept_quorum(member_count), accepted_version, limit
    )
    if member_count == 0:
        confirmed = 0
    else:
        confirmed = _find_confirmed_version(
            tally, confirm_size(member_count), limit, next_roster_version
        )
    return RoundOutcome(
        confirmed, accepted, accepted_roster=accepted == next_roster_version
    )


def _find_accepted_version(
    tally: RoundTally, quorum: int, accepted_version: int, limit: int
) -> int:
    if quorum == 0:
        return limit
    holder_counts = tally.versions + tally.replaced
    holders = 0
    for version in sorted(holder_counts, reverse=True):
        holders += holder_counts[version]
        if holders >= quorum:
            return max(accepted_version, min(version, limit))
    return accepted_version


def _find_confirmed_version(
    tally: RoundTally, quorum: int, limit: int, next_roster_version: int | None
) -> int:
    if tally.versions.total() < quorum:
        return 0
    highest = max(tally.versions)
    if highest > limit or highest == next_roster_version:
        return 0
    return highest


def _limit_versions(
    counts: collections.Counter[int],
) -> tuple[tuple[int, int], ...]:
    ordered = sorted(counts.items(), reverse=True)
    kept, rest = ordered[:MAX_VERSIONS], ordered[MAX_VERSIONS:]
    if rest:
        kept.append((rest[-1][0], _sum_counts(rest)))
    return tuple(kept)


def _sum_counts(pairs: Iterable[tuple[int, int]]) -> int:
    return sum(count for _, count in pairs)
