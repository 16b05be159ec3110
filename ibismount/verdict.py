"""Decide what a finished search may truthfully be called."""

from ibismount._requests import AnswerStatus
from ibismount.cause import Cause, system_cause
from ibismount.errors import ErrorCode
from ibismount.merging import Coverage
from ibismount.search_run import SearchRun
from ibismount.template import Policy

__all__ = ('first_cause', 'judge')


def judge(
    run: SearchRun, policy: Policy, coverage: Coverage
) -> tuple[AnswerStatus, Cause | None]:
    """Decide at the end of a search what it may truthfully be called."""
    enough = coverage.fraction >= policy.least_coverage
    if enough and coverage.answered:
        return AnswerStatus.ANSWERED, None
    if not run.may_have_run:
        return AnswerStatus.NOT_RUN, first_cause(coverage)
    return AnswerStatus.UNKNOWN, system_cause(
        ErrorCode.COVERAGE_TOO_LOW,
        f'{coverage.answered} of {coverage.asked} shards answered',
    )


def first_cause(coverage: Coverage) -> Cause:
    """Return the cause of the first missing shard."""
    return next(iter(coverage.missing.values()))
