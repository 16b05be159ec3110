"""Merge the results of shards and record why shards are missing."""

import dataclasses
import enum
import heapq
import json
import math
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from ibismount.cause import Cause, system_cause
from ibismount.errors import ErrorCode
from ibismount.messages import ItemReply, ItemStatus

__all__ = ('Coverage', 'MergeOutcome', 'Result', 'ResultMerger')


class Result(NamedTuple):
    """A document with its score and the fields that the shard sent."""

    id: str
    score: float
    fields: Mapping[str, Any]


class MergeOutcome(enum.Enum):
    """How a reply was handled."""

    ACCEPTED = 'taken'
    # The shard is already answered, or the sub-request is not expected here.
    IGNORED = 'ignored'
    # The sub-request ended without a usable answer.
    NOT_ANSWERED = 'not_answered'


@dataclasses.dataclass(frozen=True, slots=True)
class Coverage:
    """Number of shards asked and answered; ``missing`` has their causes."""

    asked: int
    answered: int
    missing: Mapping[str, Cause]

    @property
    def fraction(self) -> float:
        """Return answered shards per asked shard."""
        return self.answered / self.asked if self.asked else 0


class ResultMerger:
    """Collect the replies of one search plan on one snapshot.

    Args:
        snapshot: Only answers from this snapshot are accepted.
        shards: The shards to be answered.
    """

    def __init__(self, snapshot: str, shards: Sequence[str]) -> None:
        """Start with no shard answered."""
        self.snapshot = snapshot
        self._shards = tuple(shards)
        self._expected: dict[tuple[str, int], str] = {}
        self._answers: dict[str, list[Result]] = {}
        self._causes: dict[str, Cause] = {}

    def expect(self, attempt_id: str, index: int, shard: str) -> None:
        """Register a sub-request; replies to any other are ignored."""
        self._expected[attempt_id, index] = shard

    def add(self, attempt_id: str, reply: ItemReply) -> MergeOutcome:
        """Accept a reply if it is the first answer of its shard.

        A reply from another snapshot, from another attempt or with a
        truncated body is not an answer.
        """
        shard = self._expected.pop((attempt_id, reply.index), None)
        if shard is None or shard in self._answers:
            return MergeOutcome.IGNORED
        if reply.status is not ItemStatus.ANSWERED:
            self._causes[shard] = reply.cause or system_cause(
                ErrorCode.OUTCOME_UNKNOWN, 'the gateway sent no cause'
            )
            return MergeOutcome.NOT_ANSWERED
        if reply.snapshot != self.snapshot:
            self._causes[shard] = system_cause(
                ErrorCode.SNAPSHOT_NOT_HELD,
                f'answered from {reply.snapshot!r}, not {self.snapshot!r}',
            )
            return MergeOutcome.NOT_ANSWERED
        results = parse_results(reply.body)
        if results is None:
            self._causes[shard] = system_cause(
                ErrorCode.BACKEND_LOST, 'the answer is truncated or malformed'
            )
            return MergeOutcome.NOT_ANSWERED
        self._answers[shard] = results
        return MergeOutcome.ACCEPTED

    def record_missing(self, shard: str, cause: Cause) -> None:
        """Record why a shard has no answer so far."""
        self._causes[shard] = cause

    def is_answered(self, shard: str) -> bool:
        """Tell whether a shard has been answered."""
        return shard in self._answers

    @property
    def complete(self) -> bool:
        """Tell whether every shard has been answered."""
        return len(self._answers) == len(self._shards)

    @property
    def fraction(self) -> float:
        """Return answered shards per asked shard."""
        return len(self._answers) / len(self._shards)

    def coverage(self) -> Coverage:
        """Return the shards asked, answered and missing, with causes."""
        return Coverage(
            len(self._shards),
            len(self._answers),
            {
                shard: self._causes.get(shard) or _NO_ANSWER
                for shard in self._shards
                if shard not in self._answers
            },
        )

    def page(self, position: int, size: int) -> tuple[list[Result], bool]:
        """Return one page of results and whether more follow.

        Results are ordered by score, highest first, then by id, so that the
        order does not depend on which replica answered first.
        """
        ordered = heapq.nsmallest(
            position + size + 1,
            (
                result
                for results in self._answers.values()
                for result in results
            ),
            key=_sort_key,
        )
        return ordered[position : position + size], (
            len(ordered) > position + size
        )


# Errors raised for a body that is not JSON of the expected form.
_PARSE_ERRORS = (ValueError, KeyError, TypeError, RecursionError)
_NO_ANSWER = system_cause(ErrorCode.DEADLINE_EXCEEDED, 'no answer in time')


def parse_results(body: bytes) -> list[Result] | None:
    """Parse ``{"results": [{"id", "score", ...}]}``; return None on errors."""
    try:
        return [
            Result(str(fields['id']), _parse_score(fields['score']), fields)
            for fields in json.loads(body)['results']
        ]
    except _PARSE_ERRORS:
        return None


def _parse_score(number: Any) -> float:
    score = float(number)
    if math.isnan(score):
        # NaN has no order and would make the merged order arbitrary.
        raise ValueError('score is not a number')
    return score


def _sort_key(result: Result) -> tuple[float, str]:
    return (-result.score, result.id)
