"""The change log in the platform: load, commit and watch changes."""

import json
import time
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Any

import anyio

from ibismount._commit import (
    Commit,
    CommitLog,
    CommitResult,
    CommitStatus,
    Proposal,
    apply_or_skip,
    change_key,
)
from ibismount._state_encoding import copy_state, decode_state, encode_state
from ibismount.cause import Origin
from ibismount.config import Change, ChangeKind, ConfigState
from ibismount.errors import ErrorCode, IbismountError
from ibismount.logs import part_logger
from ibismount.object_store import Platform, PlatformError, StoredObject

__all__ = (
    'ChangeLog',
    'CommitResult',
    'CommitStatus',
    'Proposal',
    'apply_or_skip',
)

STATE_EVERY = 64
# Loading falls back to an older state when the newest cannot be read.
STATES_KEPT = 4
# The platform's limit for one value.
MAX_CHANGE_BYTES = 1_000_000
PAGE = 1000

_log = part_logger('changelog')


class ChangeLog(CommitLog):
    """Read and extend the change log.

    Args:
        platform: Holds the log.
        now_unix: Returns Unix time in seconds for ``Change.at``.
        commit_tries: Bounds the writes of one commit.
        watch_timeout_s: How long one watch waits, in seconds.
        retry_s: Pause after a failed watch, in seconds.
    """

    def __init__(
        self,
        platform: Platform,
        *,
        now_unix: Callable[[], float] = time.time,
        commit_tries: int = 16,
        watch_timeout_s: float = 30,
        retry_s: float = 1,
    ) -> None:
        """Keep the options; nothing is read yet."""
        self._platform = platform
        self._now_unix = now_unix
        self._commit_tries = commit_tries
        self._watch_timeout_s = watch_timeout_s
        self._retry_s = retry_s

    async def load(self) -> ConfigState:
        """Load the newest readable state and apply the later changes.

        Raises:
            PlatformError: ``platform_unavailable``.
        """
        state = ConfigState()
        for stored in reversed(await self._list_all('states/')):
            try:
                state = decode_state(stored.value, place=stored.key)
            except IbismountError as exc:
                _log.warning('%s; trying an older state', exc)
                continue
            break
        for change in await self.changes_after(state.version):
            apply_or_skip(state, change)
        return state

    async def changes_after(self, version: int) -> list[Change]:
        """Return all changes above ``version`` without a gap."""
        found = await self._list_all('changes/', after=change_key(version))
        return _dense(found, version)

    async def watch(self, after: int) -> AsyncIterator[Change]:
        """Yield the changes above ``after`` as they are committed.

        Platform failures are logged and retried; the iterator never ends.
        """
        while True:
            changes: list[Change] = []
            try:
                found = await self._platform.watch(
                    'changes/',
                    after=change_key(after),
                    timeout_s=self._watch_timeout_s,
                )
            except PlatformError as exc:
                _log.warning('the watch failed: %s', exc)
                await anyio.sleep(self._retry_s)
                continue
            changes = _dense(found, after)
            for change in changes:
                after = change.version
                yield change
            if found and not changes:
                # A foreign object keeps the watch from waiting.
                await anyio.sleep(self._retry_s)

    async def commit(
        self, state_provider: Callable[[], ConfigState], proposal: Proposal
    ) -> CommitResult:
        """Append a change to the log.

        Args:
            state_provider: Returns the node's state. It is not modified; if
                it is behind the log, the missing changes are fetched.
            proposal: The change to make.

        Returns:
            The outcome. ``unknown`` means that the change may have been or
            may still be committed.

        Raises:
            PlatformError: ``platform_unavailable``; nothing was and nothing
                will be committed.
        """
        commit = Commit(self, copy_state(state_provider()), proposal)
        return await commit.run(self._commit_tries, self._now_unix())

    async def write_state(self, state: ConfigState) -> None:
        """Write ``states/<version>`` and delete states that are too old.

        Raises:
            PlatformError: when the state was not or perhaps not written;
                another node or the next call makes up for it.
        """
        raw = encode_state(state)
        try:
            await self._platform.create(_state_key(state.version), raw)
        except PlatformError as exc:
            if exc.code is not ErrorCode.ALREADY_EXISTS:
                raise
        oldest = _state_key(max(state.version - STATES_KEPT * STATE_EVERY, 0))
        for stored in await self._platform.list('states/', limit=STATES_KEPT):
            if stored.key < oldest:
                await self._platform.delete(stored.key)

    async def store_accepted(self, region: str, version: int) -> None:
        """Store a region's accepted version; it never moves back."""
        key = f'accepted/{region}'
        value = str(version).encode()
        for _ in range(self._commit_tries):
            stored = await self._platform.get(key)
            try:
                if stored is None:
                    await self._platform.create(key, value)
                elif _accepted_of(stored) < version:
                    await self._platform.update(
                        key, value, expected_version=stored.version
                    )
            except PlatformError as exc:
                if _is_lost_race(exc) or exc.ambiguous:
                    continue
                raise
            return
        raise PlatformError('accepted version not stored', place=key)

    async def read_accepted(self, region: str) -> int:
        """Return a region's accepted version, 0 when none is stored."""
        stored = await self._platform.get(f'accepted/{region}')
        return 0 if stored is None else _accepted_of(stored)

    async def read_catalogs(self) -> list[tuple[str, Mapping[str, Any]]]:
        """Return the platform's catalog objects as (collection, body).

        An object that is no JSON mapping is logged and left out.
        """
        found = []
        for stored in await self._list_all('catalogs/'):
            try:
                body = dict(json.loads(stored.value))
            except (ValueError, TypeError) as exc:
                _log.warning('%s is no catalog: %s', stored.key, exc)
                continue
            found.append((stored.key.removeprefix('catalogs/'), body))
        return found

    async def read_version(self, version: int) -> Change | None:
        """Return one change, or None when it does not exist."""
        stored = await self._platform.get(change_key(version))
        return None if stored is None else _decode(stored, version)

    async def create_change(self, change: Change) -> None:
        """Create the change's object; this is the commit."""
        key = change_key(change.version)
        raw = change.to_json()
        if len(raw) > MAX_CHANGE_BYTES:
            raise IbismountError(
                ErrorCode.BODY_TOO_LARGE,
                f'{len(raw)} bytes are over the limit of {MAX_CHANGE_BYTES}',
                place=key,
            )
        await self._platform.create(key, raw)

    async def _list_all(
        self, prefix: str, *, after: str = ''
    ) -> list[StoredObject]:
        found: list[StoredObject] = []
        while True:
            page = await self._platform.list(prefix, after=after, limit=PAGE)
            found.extend(page)
            if len(page) < PAGE:
                return found
            after = page[-1].key


def _state_key(version: int) -> str:
    return f'states/{version:012d}'


def _is_lost_race(exc: PlatformError) -> bool:
    return exc.code in {ErrorCode.ALREADY_EXISTS, ErrorCode.VERSION_CONFLICT}


def _accepted_of(stored: StoredObject) -> int:
    try:
        return int(stored.value)
    except ValueError:
        _log.warning('%s is no version, using 0', stored.key)
        return 0


def _dense(found: list[StoredObject], version: int) -> list[Change]:
    """Decode the changes that follow ``version`` one by one."""
    changes = []
    for stored in found:
        if stored.key != change_key(version + 1):
            _log.warning('%s does not follow', stored.key)
            break
        version += 1
        changes.append(_decode(stored, version))
    return changes


def _decode(stored: StoredObject, version: int) -> Change:
    try:
        change = Change.from_json(stored.value, place=stored.key)
    except (IbismountError, OverflowError, RecursionError) as exc:
        _log.warning('%s', exc)
        return _unreadable(version)
    if change.version != version:
        _log.warning('%s holds version %d', stored.key, change.version)
        return _unreadable(version)
    return change


def _unreadable(version: int) -> Change:
    """Stand for an object that is no change.

    An empty template is invalid on every node, so all of them skip it and
    can pass it on like any other change.
    """
    return Change(
        version=version,
        change_id=f'unreadable-{version}',
        kind=ChangeKind.TEMPLATE,
        key='',
        body={},
        origin=Origin.SYSTEM,
        who='',
        at=0,
    )
