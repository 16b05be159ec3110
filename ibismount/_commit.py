"""Commit one change to the log; lost answers and races are settled here."""

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
    """Name what became of a proposal."""

    COMMITTED = 'committed'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'
    INVALID = 'invalid'


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """Ask for a change of one entry.

    ``expected_version`` is the entry version that the proposer saw, or None
    to overwrite whatever is there. After the result ``unknown``, the
    proposer tries again with the same change id and the result's version as
    ``unsettled_version``; a change that did commit is then found.
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
    """Report the outcome of a commit.

    ``change`` is the own change when committed, the other's change in a
    conflict. ``version`` is the version tried when the outcome is unknown.
    ``error`` says why the proposal is invalid or the outcome unknown.
    """

    status: CommitStatus
    change: Change | None = None
    version: int = 0
    error: IbismountError | None = None


class CommitLog(abc.ABC):
    """What a commit needs of the log."""

    @abc.abstractmethod
    async def changes_after(self, version: int) -> list[Change]:
        """Return all changes above ``version`` without a gap."""

    @abc.abstractmethod
    async def read_version(self, version: int) -> Change | None:
        """Return one change, or None when it does not exist."""

    @abc.abstractmethod
    async def create_change(self, change: Change) -> None:
        """Create the change's object; this is the commit."""


class Commit:
    """Carry one proposal through its tries."""

    def __init__(
        self, log: CommitLog, state: ConfigState, proposal: Proposal
    ) -> None:
        """Take a copy of the node's state; it is modified."""
        self._log = log
        self._state = state
        self._proposal = proposal
        # A write at this version may have taken or still take effect; 0 for
        # none. It is settled as soon as that version is seen in the log,
        # because an object that exists cannot be created any more.
        self._unsettled = proposal.unsettled_version

    async def run(self, tries: int, at: float) -> CommitResult:
        """Try until the outcome is known or the tries are used up.

        Raises:
            PlatformError: nothing was and nothing will be committed.
        """
        try:
            result = await self._find_earlier()
            for _ in range(tries):
                result = result or await self._refusal(at)
                result = result or await self._try(at)
                if result is not None:
                    return self._settled(result)
            raise PlatformError('the log is too busy', place='changes/')
        except PlatformError as exc:
            if not self._unsettled:
                raise
            return self._unknown(exc)

    def _settled(self, result: CommitResult) -> CommitResult:
        """Withhold a refusal while an earlier write may still land.

        This happens when a caller altered the proposal before its retry.
        """
        if self._unsettled and result.status is not CommitStatus.COMMITTED:
            return self._unknown(PlatformError('an earlier write may land'))
        return result

    def _unknown(self, exc: IbismountError) -> CommitResult:
        return CommitResult(
            CommitStatus.UNKNOWN, version=self._unsettled, error=exc
        )

    async def _find_earlier(self) -> CommitResult | None:
        """Look for the change as committed by an earlier call."""
        proposal = self._proposal
        earlier = self._state.latest.get((proposal.kind, proposal.key))
        if _has_id(earlier, proposal):
            return CommitResult(
                CommitStatus.COMMITTED, earlier, earlier.version
            )
        if self._unsettled > self._state.version:
            return await self._catch_up()
        if self._unsettled:
            earlier = await self._log.read_version(self._unsettled)
            if _has_id(earlier, proposal):
                return CommitResult(
                    CommitStatus.COMMITTED, earlier, earlier.version
                )
            self._unsettled = 0
        return None

    def _change(self, at: float) -> Change:
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

    async def _refusal(self, at: float) -> CommitResult | None:
        """Refuse only on the state at the log's end.

        A state that is behind may lack the template that parameters refer
        to, or the entry version that the proposer saw on another node.
        """
        if self._decide(at) is None:
            return None
        return await self._catch_up() or self._decide(at)

    def _decide(self, at: float) -> CommitResult | None:
        """Return a conflict or a finding, or None when it may be written."""
        proposal = self._proposal
        expected = proposal.expected_version
        actual = self._state.entry_version(proposal.kind, proposal.key)
        if expected is not None and expected != actual:
            other = self._state.latest.get((proposal.kind, proposal.key))
            return CommitResult(CommitStatus.CONFLICT, other, actual)
        try:
            self._state.check(self._change(at))
        except IbismountError as exc:
            return CommitResult(CommitStatus.INVALID, error=exc)
        return None

    async def _try(self, at: float) -> CommitResult | None:
        change = self._change(at)
        try:
            await self._log.create_change(change)
        except PlatformError as exc:
            if exc.ambiguous:
                self._unsettled = change.version
            if exc.code is not ErrorCode.ALREADY_EXISTS and not exc.ambiguous:
                raise
        except IbismountError as exc:
            return CommitResult(CommitStatus.INVALID, error=exc)
        else:
            return CommitResult(CommitStatus.COMMITTED, change, change.version)
        return await self._catch_up()

    async def _catch_up(self) -> CommitResult | None:
        """Apply the changes that others committed; find the own one."""
        for change in await self._log.changes_after(self._state.version):
            if _has_id(change, self._proposal):
                return CommitResult(
                    CommitStatus.COMMITTED, change, change.version
                )
            apply_or_skip(self._state, change)
            if change.version >= self._unsettled:
                self._unsettled = 0
        return None


def apply_or_skip(state: ConfigState, change: Change) -> bool:
    """Apply the next change; step over an invalid one and log its place.

    Returns:
        Whether it was applied.

    Raises:
        IbismountError: ``version_conflict`` when it is not the next.
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
    """Return the key of a version's object."""
    return f'changes/{version:012d}'


def _has_id(change: Change | None, proposal: Proposal) -> bool:
    return change is not None and change.change_id == proposal.change_id
