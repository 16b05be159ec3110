"""The change log in the platform: load, commit and watch changes.

Changes are the objects ``changes/<version>``; a complete state is stored as
``states/<version>`` from time to time, so that loading stays short.
"""

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

STATE_INTERVAL_VERSIONS = 64
# More than one, so that loading can fall back to an older state when the
# newest one is unreadable.
MAX_STORED_STATES = 4
# Limit of the platform for the value of one object.
MAX_CHANGE_BYTES = 1_000_000
LIST_PAGE_KEYS = 1000

_log = part_logger('changelog')


class ChangeLog(CommitLog):
    """Read and extend the change log.

    Args:
        platform: Object store that contains the log.
        now_unix: Returns Unix time in seconds for ``Change.at``.
        max_attempts: Maximum number of writes per commit.
        watch_timeout_s: Timeout of one watch request in seconds.
        retry_s: Delay after a failed watch in seconds.
    """

    def __init__(
        self,
        platform: Platform,
        *,
        now_unix: Callable[[], float] = time.time,
        max_attempts: int = 16,
        watch_timeout_s: float = 30,
        retry_s: float = 1,
    ) -> None:
        """Store the options; nothing is read yet."""
        self._platform = platform
        self._now_unix = now_unix
        self._max_attempts = max_attempts
        self._watch_timeout_s = watch_timeout_s
        self._retry_s = retry_s

    async def load(self) -> ConfigState:
        """Load the newest readable state and apply all later changes.

        Raises:
            PlatformError: ``platform_unavailable``.
        """
        state = ConfigState()
        for stored in reversed(await self._list_all('states/')):
            try:
                state = decode_state(stored.value, place=stored.key)
            except IbismountError as exc:
                _log.warning(
                    'cannot read a stored state, loading an older one: %s', exc
                )
                continue
            break
        for change in await self.changes_after(state.version):
            apply_or_skip(state, change)
        return state

    async def changes_after(self, version: int) -> list[Change]:
        """Return the consecutive changes after ``version``."""
        objects = await self._list_all('changes/', after=change_key(version))
        return _decode_consecutive(objects, version)

    async def watch(self, after: int) -> AsyncIterator[Change]:
        """Yield the changes after a version as they are committed.

        Platform failures are logged and retried; the iterator never ends.
        """
        while True:
            changes: list[Change] = []
            try:
                objects = await self._platform.watch(
                    'changes/',
                    after=change_key(after),
                    timeout_s=self._watch_timeout_s,
                )
            except PlatformError as exc:
                _log.warning('the watch of changes/ failed, retrying: %s', exc)
                await anyio.sleep(self._retry_s)
                continue
            changes = _decode_consecutive(objects, after)
            for change in changes:
                after = change.version
                yield change
            if objects and not changes:
                # The watch returns at once while an object that is not the
                # next change follows; without a delay, this would spin.
                await anyio.sleep(self._retry_s)

    async def commit(
        self, state_provider: Callable[[], ConfigState], proposal: Proposal
    ) -> CommitResult:
        """Append a change to the log.

        Args:
            state_provider: Returns the node's state, which is not modified.
                Changes that are missing in it are fetched from the log.
            proposal: The change to commit.

        Returns:
            The outcome. With ``unknown``, the change may have been committed
            or may still be.

        Raises:
            PlatformError: ``platform_unavailable``; the change was not and
                will not be committed.
        """
        commit = Commit(self, copy_state(state_provider()), proposal)
        return await commit.run(self._max_attempts, self._now_unix())

    async def write_state(self, state: ConfigState) -> None:
        """Write ``states/<version>`` and delete outdated states.

        Raises:
            PlatformError: The state may not have been written. The next call
                on any node writes a newer one.
        """
        raw = encode_state(state)
        try:
            await self._platform.create(_state_key(state.version), raw)
        except PlatformError as exc:
            if exc.code is not ErrorCode.ALREADY_EXISTS:
                raise
        oldest_key = _state_key(
            max(state.version - MAX_STORED_STATES * STATE_INTERVAL_VERSIONS, 0)
        )
        for stored in await self._platform.list(
            'states/', limit=MAX_STORED_STATES
        ):
            if stored.key < oldest_key:
                await self._platform.delete(stored.key)

    async def store_accepted_version(self, region: str, version: int) -> None:
        """Store a region's accepted version unless a newer one is stored."""
        key = f'accepted/{region}'
        value = str(version).encode()
        for _ in range(self._max_attempts):
            stored = await self._platform.get(key)
            try:
                if stored is None:
                    await self._platform.create(key, value)
                elif _parse_accepted_version(stored) < version:
                    await self._platform.update(
                        key, value, expected_version=stored.version
                    )
            except PlatformError as exc:
                if _is_write_conflict(exc) or exc.ambiguous:
                    continue
                raise
            return
        raise PlatformError(
            'accepted version not stored: every write conflicted or its '
            'answer was lost',
            place=key,
        )

    async def read_accepted_version(self, region: str) -> int:
        """Return a region's accepted version, 0 when none is stored."""
        stored = await self._platform.get(f'accepted/{region}')
        return 0 if stored is None else _parse_accepted_version(stored)

    async def read_catalogs(self) -> list[tuple[str, Mapping[str, Any]]]:
        """Return the platform's catalog objects as (collection, body).

        An object that is not a JSON mapping is logged and skipped.
        """
        objects = []
        for stored in await self._list_all('catalogs/'):
            try:
                body = dict(json.loads(stored.value))
            except (ValueError, TypeError) as exc:
                _log.warning(
                    'skipped %s: the object is not a JSON mapping (%s)',
                    stored.key,
                    exc,
                )
                continue
            objects.append((stored.key.removeprefix('catalogs/'), body))
        return objects

    async def read_change(self, version: int) -> Change | None:
        """Return the change of a version, or None when there is none."""
        stored = await self._platform.get(change_key(version))
        return None if stored is None else _decode_change(stored, version)

    async def create_change(self, change: Change) -> None:
        """Create the object of the change, which commits it."""
        key = change_key(change.version)
        raw = change.to_json()
        if len(raw) > MAX_CHANGE_BYTES:
            raise IbismountError(
                ErrorCode.BODY_TOO_LARGE,
                f'the change has {len(raw)} bytes; '
                f'the limit is {MAX_CHANGE_BYTES}',
                place=key,
            )
        await self._platform.create(key, raw)

    async def _list_all(
        self, prefix: str, *, after: str = ''
    ) -> list[StoredObject]:
        objects: list[StoredObject] = []
        while True:
            page = await self._platform.list(
                prefix, after=after, limit=LIST_PAGE_KEYS
            )
            objects.extend(page)
            if len(page) < LIST_PAGE_KEYS:
                return objects
            after = page[-1].key


def _state_key(version: int) -> str:
    return f'states/{version:012d}'


def _is_write_conflict(exc: PlatformError) -> bool:
    return exc.code in {ErrorCode.ALREADY_EXISTS, ErrorCode.VERSION_CONFLICT}


def _parse_accepted_version(stored: StoredObject) -> int:
    try:
        return int(stored.value)
    except ValueError:
        _log.warning(
            'the value of %s is not a version number, using 0', stored.key
        )
        return 0


def _decode_consecutive(
    objects: list[StoredObject], version: int
) -> list[Change]:
    """Decode the changes after ``version``, up to the first gap."""
    changes = []
    for stored in objects:
        if stored.key != change_key(version + 1):
            _log.warning(
                'stopped reading changes at %s: it is not the next version',
                stored.key,
            )
            break
        version += 1
        changes.append(_decode_change(stored, version))
    return changes


def _decode_change(stored: StoredObject, version: int) -> Change:
    try:
        change = Change.from_json(stored.value, place=stored.key)
    except (IbismountError, OverflowError, RecursionError) as exc:
        _log.warning('%s', exc)
        return _make_placeholder(version)
    if change.version != version:
        _log.warning(
            'unreadable change: %s contains version %d',
            stored.key,
            change.version,
        )
        return _make_placeholder(version)
    return change


def _make_placeholder(version: int) -> Change:
    """Return a placeholder for an object that is not a readable change.

    An empty template is invalid, so every node skips the placeholder and can
    still forward it like any other change.
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
