"""Claims in the object store that make a booking run at most once."""

import dataclasses
import enum
import json
import math
import random
import re
from collections.abc import Callable, Mapping
from typing import Any

import anyio

from ibismount.cause import Cause, system_cause
from ibismount.errors import ErrorCode, IbismountError
from ibismount.logs import part_logger
from ibismount.object_store import Platform, PlatformError, StoredObject

__all__ = (
    'ClaimResult',
    'ClaimStatus',
    'ClaimStore',
    'Outcome',
    'parse_request_id',
)

MAX_REQUEST_AGE_S = 86_400.0
# How far a caller's clock may be ahead.
MAX_CLOCK_AHEAD_S = 300.0
# Maximum difference between clocks of nodes. Claims are kept this much longer
# than their ids are accepted. Otherwise a node whose clock is behind could
# accept an id whose claim has been deleted, and run the booking again.
MAX_CLOCK_SKEW_S = 600.0
MAX_DELETES_PER_S = 10
RECORD_RETRY_EXTRA_S = 60.0
MIN_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 5.0
# Later attempts read the recorded answer; a longer one is not recorded.
MAX_OUTCOME_BYTES = 65_536

# 13 digits suffice until the year 2286 and keep keys in order of time.
_REQUEST_ID = re.compile(r'(\d{13})-[A-Za-z0-9_-]{8,64}', re.ASCII)
_CLAIM_KEY = re.compile(r'claims/([^/]+)/(\d{13})-[^/]+', re.ASCII)

_log = part_logger('booking')


class ClaimStatus(enum.StrEnum):
    """Result of a claim for one attempt."""

    # Only this attempt may dispatch, and only once.
    CLAIMED = 'claimed'
    # Another attempt ran; its answer is in the result.
    EARLIER = 'earlier'
    # Another attempt may have run or may be running.
    UNKNOWN = 'unknown'
    # This attempt must not dispatch.
    NOT_RUN = 'not_run'


class Outcome(enum.StrEnum):
    """State of a claim in the object store."""

    CLAIMED = 'claimed'
    DONE = 'done'
    UNKNOWN = 'unknown'
    # The attempt never dispatches, so another may take over the claim.
    RELEASED = 'released'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimResult:
    """Result of claiming a booking for one attempt.

    ``answer`` is the recorded answer of an earlier attempt. ``cause`` is the
    reason for ``not_run`` or ``unknown``. ``not_run`` refers to this attempt
    only: while claims cannot be read, earlier attempts of the caller may have
    run, so a retry must keep the request id. ``unsettled`` means that the
    claim may have been written, so the caller must call ``release`` in the
    background.
    """

    status: ClaimStatus
    key: str
    attempt_id: str
    version: int = 0
    answer: Mapping[str, Any] | None = None
    cause: Cause | None = None
    unsettled: bool = False


def parse_request_id(request_id: str, now: float) -> float:
    """Validate a request id and return its timestamp.

    Args:
        request_id: ``<unix milliseconds>-<random>``, chosen by the caller.
        now: Unix time in seconds.

    Returns:
        The id's Unix time in seconds.

    Raises:
        IbismountError: ``bad_request`` or ``request_id_expired``.
    """
    match = _REQUEST_ID.fullmatch(request_id)
    if match is None:
        raise IbismountError(
            ErrorCode.BAD_REQUEST,
            'a request id must be 13 digits of Unix milliseconds, "-" and 8 to'
            ' 64 letters, digits, "-" or "_"',
            place='request_id',
        )
    issued_at = int(match.group(1)) / 1000
    if issued_at - now > MAX_CLOCK_AHEAD_S:
        raise IbismountError(
            ErrorCode.BAD_REQUEST,
            f'the request id is over {MAX_CLOCK_AHEAD_S:g} s in the future',
            place='request_id',
        )
    if now - issued_at > MAX_REQUEST_AGE_S:
        raise IbismountError(
            ErrorCode.REQUEST_ID_EXPIRED,
            f'the request id is older than {MAX_REQUEST_AGE_S:g} s',
            place='request_id',
        )
    return issued_at


class ClaimStore:
    """Claim bookings before dispatch and record their outcomes.

    Args:
        platform: Object store that holds the claims.
        now_unix: Returns Unix time in seconds.
        rng: Randomizes the pauses between retries.
        max_claim_writes: Maximum writes per claim.
    """

    def __init__(
        self,
        platform: Platform,
        *,
        now_unix: Callable[[], float],
        rng: random.Random | None = None,
        max_claim_writes: int = 3,
    ) -> None:
        """Store the options; the store is not read yet."""
        self._platform = platform
        self._now_unix = now_unix
        self._rng = rng or random.Random()
        self._max_claim_writes = max_claim_writes
        self._cleanup_after = ''

    async def claim(
        self,
        team: str,
        request_id: str,
        attempt_id: str,
        *,
        entry: str = '',
        server: str = '',
        timeout_s: float = math.inf,
    ) -> ClaimResult:
        """Claim a booking for one attempt.

        Args:
            team: The caller's team.
            request_id: Chosen by the caller; the same for every attempt.
            attempt_id: Unique; must not be passed to this method twice.
            entry: Node id of the entry.
            server: Id of the backend server that will run the booking.
            timeout_s: Time in seconds after which the result is ``not_run``.
                Otherwise a slow object store could delay the result past the
                booking's deadline.

        Returns:
            ``claimed`` only if the object store confirmed this attempt's own
            write; only then may the attempt dispatch.
        """
        key = f'claims/{team}/{request_id}'
        age_refusal = self._refuse_by_age(key, request_id, attempt_id)
        if age_refusal is not None:
            return age_refusal
        value = _encode(
            Outcome.CLAIMED,
            attempt_id=attempt_id,
            entry=entry,
            server=server,
            at=self._now_unix(),
        )
        timed_out = PlatformError('no answer in time', place=key)
        result = _not_run(key, attempt_id, timed_out, unsettled=True)
        with anyio.move_on_after(timeout_s):
            result = await self._acquire_claim(key, attempt_id, value)
        if result.status is not ClaimStatus.CLAIMED:
            return result
        # Check the age again: if this process paused before the write, an
        # earlier claim of the id may have been deleted meanwhile. If the age
        # is still valid now, an earlier claim still existed at the write.
        return self._refuse_by_age(key, request_id, attempt_id) or result

    async def record(
        self,
        claim: ClaimResult,
        outcome: Outcome,
        answer: Mapping[str, Any] | None = None,
        *,
        deadline_s: float = 0,
    ) -> bool:
        """Record the outcome of a claimed booking, with retries.

        Args:
            claim: The result that permitted the dispatch.
            outcome: ``done`` with an answer, ``unknown``, or ``released``
                if no byte of the request was sent.
            answer: JSON-like; returned to later attempts.
            deadline_s: Retries continue for this time plus 60 s.

        Returns:
            Whether the write is confirmed. Without a record, later attempts
            get ``unknown``.
        """
        value = _encode(outcome, attempt_id=claim.attempt_id, answer=answer)
        if len(value) > MAX_OUTCOME_BYTES:
            value = _encode(outcome, attempt_id=claim.attempt_id)
        pause_s = MIN_RETRY_PAUSE_S
        last_error: PlatformError | None = None
        with anyio.move_on_after(deadline_s + RECORD_RETRY_EXTRA_S):
            while True:
                try:
                    return await self._write_record(claim, value)
                except PlatformError as exc:
                    last_error = exc
                await anyio.sleep(pause_s * self._rng.uniform(0.5, 1))
                pause_s = min(pause_s * 2, MAX_RETRY_PAUSE_S)
        _log.warning('outcome of %s not recorded: %s', claim.key, last_error)
        return False

    async def release(self, claim: ClaimResult) -> bool:
        """Let later attempts take over a claim that is never dispatched.

        Required for ``unsettled`` results, whose write may have taken effect.
        """
        return await self.record(claim, Outcome.RELEASED)

    async def delete_expired(self) -> int:
        """Delete a batch of claims whose request ids have expired.

        The coordinator calls this once per second. Each call takes one read
        and at most ten deletes.

        Returns:
            The number of deleted claims.

        Raises:
            PlatformError: ``platform_unavailable``; the next call continues.
        """
        claims = await self._platform.list(
            'claims/', after=self._cleanup_after, limit=MAX_DELETES_PER_S
        )
        expired_before = self._now_unix() - MAX_REQUEST_AGE_S - MAX_CLOCK_SKEW_S
        deleted = 0
        for stored in claims:
            match = _CLAIM_KEY.fullmatch(stored.key)
            if match and int(match.group(2)) / 1000 >= expired_before:
                # Later keys of this team are newer, so skip to the next team.
                self._cleanup_after = f'claims/{match.group(1)}/~'
                return deleted
            if match:
                await self._platform.delete(stored.key)
                deleted += 1
            self._cleanup_after = stored.key
        if len(claims) < MAX_DELETES_PER_S:
            self._cleanup_after = ''
        return deleted

    def _refuse_by_age(
        self, key: str, request_id: str, attempt_id: str
    ) -> ClaimResult | None:
        try:
            parse_request_id(request_id, self._now_unix())
        except IbismountError as exc:
            return _not_run(key, attempt_id, exc)
        return None

    async def _acquire_claim(
        self, key: str, attempt_id: str, value: bytes
    ) -> ClaimResult:
        """Write the claim, with retries, until its owner is known."""
        unsettled = False
        existing: StoredObject | None = None
        for _ in range(self._max_claim_writes):
            try:
                stored = await self._put_claim(key, value, existing)
                return ClaimResult(
                    ClaimStatus.CLAIMED, key, attempt_id, stored.version
                )
            except PlatformError as exc:
                write_error = exc
            unsettled = unsettled or write_error.ambiguous
            # Read after a refused write as well: another attempt may have run.
            try:
                existing = await self._platform.get(key)
            except PlatformError as exc:
                return _not_run(key, attempt_id, exc, unsettled=unsettled)
            result = _result_of_existing(existing, key, attempt_id)
            if result is not None:
                return result
            if not _is_retryable(write_error):
                return _not_run(
                    key, attempt_id, write_error, unsettled=unsettled
                )
        exhausted = PlatformError('the claim could not be written', place=key)
        return _not_run(key, attempt_id, exhausted, unsettled=unsettled)

    async def _put_claim(
        self, key: str, value: bytes, released: StoredObject | None
    ) -> StoredObject:
        if released is None:
            return await self._platform.create(key, value)
        return await self._platform.update(
            key, value, expected_version=released.version
        )

    async def _write_record(self, claim: ClaimResult, value: bytes) -> bool:
        """Write the outcome over this attempt's own claim.

        The current version is read first, because the reply to the claim or
        to an earlier record may have been lost.
        """
        stored = await self._platform.get(claim.key)
        if stored is None or _decode(stored).get('attempt') != claim.attempt_id:
            return False
        if stored.value != value:
            await self._platform.update(
                claim.key, value, expected_version=stored.version
            )
        return True


def _is_retryable(exc: PlatformError) -> bool:
    return exc.ambiguous or exc.code in {
        ErrorCode.ALREADY_EXISTS,
        ErrorCode.VERSION_CONFLICT,
    }


def _result_of_existing(
    existing: StoredObject | None, key: str, attempt_id: str
) -> ClaimResult | None:
    """Return the result for an existing claim, or None if it is free."""
    if existing is None:
        return None
    fields = _decode(existing)
    outcome = fields.get('outcome')
    if fields.get('attempt') == attempt_id:
        return ClaimResult(
            ClaimStatus.CLAIMED, key, attempt_id, existing.version
        )
    if outcome == Outcome.RELEASED:
        return None
    if outcome == Outcome.DONE:
        return ClaimResult(
            ClaimStatus.EARLIER,
            key,
            attempt_id,
            existing.version,
            answer=fields.get('answer'),
        )
    return ClaimResult(
        ClaimStatus.UNKNOWN,
        key,
        attempt_id,
        existing.version,
        cause=system_cause(
            ErrorCode.OUTCOME_UNKNOWN,
            f'attempt {fields.get("attempt")} claimed the booking and recorded'
            ' no answer',
        ),
    )


def _not_run(
    key: str, attempt_id: str, exc: IbismountError, *, unsettled: bool = False
) -> ClaimResult:
    return ClaimResult(
        ClaimStatus.NOT_RUN,
        key,
        attempt_id,
        cause=system_cause(exc.code, str(exc)),
        unsettled=unsettled,
    )


def _encode(outcome: Outcome, *, attempt_id: str, **fields: Any) -> bytes:
    return json.dumps(
        {'outcome': outcome, 'attempt': attempt_id, **fields},
        separators=(',', ':'),
        sort_keys=True,
    ).encode()


def _decode(stored: StoredObject) -> Mapping[str, Any]:
    """Decode a claim; an unreadable one has no known owner."""
    try:
        fields = json.loads(stored.value)
    except (ValueError, RecursionError):
        _log.warning('claim %s cannot be decoded', stored.key)
        return {}
    return fields if isinstance(fields, dict) else {}
