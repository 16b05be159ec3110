"""Commit one change to the log, despite lost answers and write conflicts."""

import abc
import dataclasses
import enum
from collections.abc import Mapping
from typing import Any

from ibismount.cause import Origin
from ibismount.config import Change, ChangeKind, ConfigState
from ibismount.errors import ErrorCode, IbismountError
from ibismount.logs import part_logger
from ibismount.object_store import PlatformError

__all__ = (
    'Commit',
    'CommitLog',
    'CommitResult',
    'CommitStatus',
    'Proposal',
    'apply_or_skip',
    'change_key',
)

_log = part_logger('changelog')


class CommitStatus(enum.StrEnum):
    """Outcome of a proposal."""

    COMMITTED = 'committed'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'
    INVALID = 'invalid'


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """Proposal to change one entry.

    ``expected_version`` is the entry version that the proposer has seen, or
    None to overwrite any version. After the outcome ``unknown``, the proposer
    retries with the same change id and passes the result's version as
    ``unsettled_version``; a change that was committed is then found.
    """

    change_id: str
    kind: ChangeKind
    key: str
    body: Mapping[str, Any]
    origin: Origin
    who: str
    expected_version: int | None = None
    unsettled_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CommitResult:
    """Result of a commit.

    ``change`` is the committed change or, in a conflict, the latest change of
    the entry. ``version`` is the version of the committed change, of the
    conflicting entry, or of the write whose outcome is unknown. ``error`` is
    the reason why the proposal is invalid or the outcome unknown.
    """

    status: CommitStatus
    change: Change | None = None
    version: int = 0
    error: IbismountError | None = None


class CommitLog(abc.ABC):
    """Access to the change log that a commit needs."""

    @abc.abstractmethod
    async def changes_after(self, version: int) -> list[Change]:
        """Return the consecutive changes after ``version``."""

    @abc.abstractmethod
    async def read_change(self, version: int) -> Change | None:
        """Return the change of a version, or None when there is none."""

    @abc.abstractmethod
    async def create_change(self, change: Change) -> None:
        """Create the object of the change, which commits it."""


class Commit:
    """Commit one proposal with retries."""

    def __init__(
        self, log: CommitLog, state: ConfigState, proposal: Proposal
    ) -> None:
        """Store the arguments; ``state`` is a copy, which is modified."""
        self._log = log
        self._state = state
        self._proposal = proposal
        # Version of a write whose answer was lost, so that it may have been
        # applied or may still be; 0 for none. It is settled once the log has
        # a change of that version, because an existing object cannot be
        # created again.
        self._unsettled_version = proposal.unsettled_version

    async def run(self, max_attempts: int, at: float) -> CommitResult:
        """Write until the outcome is known or no attempt is left.

        Raises:
            PlatformError: The change was not and will not be committed.
        """
        try:
            result = await self._find_earlier_commit()
            for _ in range(max_attempts):
                result = result or await self._refuse_at_log_end(at)
                result = result or await self._attempt_write(at)
                if result is not None:
                    return self._withhold_uncertain_refusal(result)
            raise PlatformError(
                'no attempt to commit succeeded: each one conflicted with '
                'another commit, or its answer was lost',
                place='changes/',
            )
        except PlatformError as exc:
            if not self._unsettled_version:
                raise
            return self._unknown_result(exc)

    def _withhold_uncertain_refusal(self, result: CommitResult) -> CommitResult:
        """Replace a refusal by ``unknown`` while an earlier write is unsettled.

        This happens when a caller alters the proposal before it retries.
        """
        if (
            self._unsettled_version
            and result.status is not CommitStatus.COMMITTED
        ):
            return self._unknown_result(
                PlatformError(
                    'an earlier write of the change may still be committed'
                )
            )
        return result

    def _unknown_result(self, exc: IbismountError) -> CommitResult:
        return CommitResult(
            CommitStatus.UNKNOWN, version=self._unsettled_version, error=exc
        )

    async def _find_earlier_commit(self) -> CommitResult | None:
        """Check whether an earlier call has committed the change."""
        proposal = self._proposal
        earlier_change = self._state.latest.get((proposal.kind, proposal.key))
        if _is_change_of(earlier_change, proposal):
            return CommitResult(
                CommitStatus.COMMITTED, earlier_change, earlier_change.version
            )
        if self._unsettled_version > self._state.version:
            return await self._catch_up()
        if self._unsettled_version:
            earlier_change = await self._log.read_change(
                self._unsettled_version
            )
            if _is_change_of(earlier_change, proposal):
                return CommitResult(
                    CommitStatus.COMMITTED,
                    earlier_change,
                    earlier_change.version,
                )
            self._unsettled_version = 0
        return None

    def _build_change(self, at: float) -> Change:
        proposal = self._proposal
        return Change(
            version=self._state.version + 1,
            change_id=proposal.change_id,
            kind=proposal.kind,
            key=proposal.key,
            body=proposal.body,
            origin=proposal.origin,
            who=proposal.who,
            at=at,
        )

    async def _refuse_at_log_end(self, at: float) -> CommitResult | None:
        """Return a refusal that still holds at the end of the log, if any.

        An outdated state may lack the template that parameters refer to, or
        the entry version that the proposer has seen on another node.
        """
        if self._find_refusal(at) is None:
            return None
        return await self._catch_up() or self._find_refusal(at)

    def _find_refusal(self, at: float) -> CommitResult | None:
        """Return a conflict or an invalid result, or None to go on."""
        proposal = self._proposal
        expected_version = proposal.expected_version
        current_version = self._state.entry_version(proposal.kind, proposal.key)
        if expected_version is not None and expected_version != current_version:
            latest_change = self._state.latest.get(
                (proposal.kind, proposal.key)
            )
            return CommitResult(
                CommitStatus.CONFLICT, latest_change, current_version
            )
        try:
            self._state.check(self._build_change(at))
        except IbismountError as exc:
            return CommitResult(CommitStatus.INVALID, error=exc)
        return None

    async def _attempt_write(self, at: float) -> CommitResult | None:
        change = self._build_change(at)
        try:
            await self._log.create_change(change)
        except PlatformError as exc:
            if exc.ambiguous:
                self._unsettled_version = change.version
            if exc.code is not ErrorCode.ALREADY_EXISTS and not exc.ambiguous:
                raise
        except IbismountError as exc:
            return CommitResult(CommitStatus.INVALID, error=exc)
        else:
            return CommitResult(CommitStatus.COMMITTED, change, change.version)
        return await self._catch_up()

    async def _catch_up(self) -> CommitResult | None:
        """Apply newly committed changes; return a result for the own one."""
        for change in await self._log.changes_after(self._state.version):
            if _is_change_of(change, self._proposal):
                return CommitResult(
                    CommitStatus.COMMITTED, change, change.version
                )
            apply_or_skip(self._state, change)
            if change.version >= self._unsettled_version:
                self._unsettled_version = 0
        return None


def apply_or_skip(state: ConfigState, change: Change) -> bool:
    """Apply the next change, or log and skip it when it is invalid.

    Returns:
        Whether it was applied.

    Raises:
        IbismountError: ``version_conflict`` when it is not the next change.
    """
    try:
        state.apply(change)
    except IbismountError as exc:
        if exc.code is ErrorCode.VERSION_CONFLICT:
            raise
        _log.warning('skipped %s: %s', change_key(change.version), exc)
        state.skip(change)
        return False
    return True


def change_key(version: int) -> str:
    """Return the key of the object that contains a version's change."""
    return f'changes/{version:012d}'


def _is_change_of(change: Change | None, proposal: Proposal) -> bool:
    return change is not None and change.change_id == proposal.change_id
