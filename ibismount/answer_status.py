"""Decide the answer status of a finished search."""

from ibismount._requests import AnswerStatus
from ibismount.cause import Cause, system_cause
from ibismount.errors import ErrorCode
from ibismount.merging import Coverage
from ibismount.search_run import SearchRun
from ibismount.template import Policy

__all__ = ('decide_status', 'first_missing_cause')


def decide_status(
    run: SearchRun, policy: Policy, coverage: Coverage
) -> tuple[AnswerStatus, Cause | None]:
    """Return the status of a finished search and, unless answered, a cause.

    ``not_run`` is returned only when no backend server can have run any part
    of the search.
    """
    sufficient = coverage.fraction >= policy.least_coverage
    if sufficient and coverage.answered:
        return AnswerStatus.ANSWERED, None
    if not run.may_have_run:
        return AnswerStatus.NOT_RUN, first_missing_cause(coverage)
    return AnswerStatus.UNKNOWN, system_cause(
        ErrorCode.COVERAGE_TOO_LOW,
        f'{coverage.answered} of {coverage.asked} shards answered',
    )


def first_missing_cause(coverage: Coverage) -> Cause:
    """Return the cause of the first missing shard."""
    return next(iter(coverage.missing.values()))
