"""Error codes, exceptions, and findings with their place in the input."""

import enum
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ('ErrorCode', 'Finding', 'FindingsError', 'IbismountError')


class ErrorCode(enum.StrEnum):
    """Codes of all errors and refusals that a caller or operator can see."""

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    UNKNOWN_TEMPLATE = 'unknown_template'
    UNKNOWN_TEAM = 'unknown_team'
    SETTINGS_INVALID = 'settings_invalid'
    CHANGE_INVALID = 'change_invalid'
    CHANGE_CONFLICT = 'change_conflict'
    CHANGE_UNKNOWN = 'change_unknown'
    CHANGE_PENDING = 'change_pending'
    PLATFORM_UNAVAILABLE = 'platform_unavailable'
    ALREADY_EXISTS = 'already_exists'
    VERSION_CONFLICT = 'version_conflict'
    UNAUTHORIZED = 'unauthorized'
    FRAME_INVALID = 'frame_invalid'
    FRAME_TOO_LARGE = 'frame_too_large'
    FRAME_TRUNCATED = 'frame_truncated'
    PROTOCOL_VERSION = 'protocol_version'
    WRONG_CLUSTER = 'wrong_cluster'
    PEER_REFUSED = 'peer_refused'
    FRAME_REPLAYED = 'frame_replayed'
    LINK_LOST = 'link_lost'
    # Reasons why requests are refused or shards are missing.
    UNCONFIRMED = 'unconfirmed'
    SHUTTING_DOWN = 'shutting_down'
    ZONE_OUT = 'zone_out'
    VM_OUT = 'vm_out'
    BACKEND_LEAVING = 'backend_leaving'
    BACKEND_COLD = 'backend_cold'
    BACKEND_SHED = 'backend_shed'
    BACKEND_LOST = 'backend_lost'
    BACKEND_EJECTED = 'backend_ejected'
    NO_REPLICA = 'no_replica'
    NO_SHARE = 'no_share'
    GATEWAY_BUSY = 'gateway_busy'
    ENTRY_BUSY = 'entry_busy'
    DEADLINE_HOPELESS = 'deadline_hopeless'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    QUARANTINED = 'quarantined'
    COVERAGE_TOO_LOW = 'coverage_too_low'
    SNAPSHOT_GONE = 'snapshot_gone'
    SNAPSHOT_NOT_HELD = 'snapshot_not_held'
    REQUEST_ID_EXPIRED = 'request_id_expired'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    CANCELLED = 'cancelled'
    HEADERS_TOO_LARGE = 'headers_too_large'
    REQUEST_TOO_SLOW = 'request_too_slow'
    UNKNOWN_ROUTE = 'unknown_route'
    NOT_READY = 'not_ready'
    SERVICE_FAILED = 'service_failed'


class IbismountError(Exception):
    """An error with a code, a message and, if known, the place of the fault.

    Args:
        code: Machine-readable kind of the error.
        message: What is wrong and what would be right.
        place: File, line or field path; empty if unknown.

    Example::

        raise IbismountError(ErrorCode.UNKNOWN_TEMPLATE, 'no such template')
    """

    def __init__(
        self, code: ErrorCode, message: str, *, place: str = ''
    ) -> None:
        """Store the code, the message and the place."""
        super().__init__(f'{place}: {message}' if place else message)
        self.code = code
        self.message = message
        self.place = place


class Finding(NamedTuple):
    """One fault in an input and its place."""

    code: ErrorCode
    place: str
    message: str

    def __str__(self) -> str:
        """Render as one line that starts with the place."""
        return f'{self.place}: {self.message} [{self.code}]'


class FindingsError(IbismountError):
    """An error with one or more findings in one input.

    Args:
        findings: At least one finding, in the order of the input.
    """

    def __init__(self, findings: Iterable[Finding]) -> None:
        """Use the code of the first finding and the text of all."""
        self.findings = tuple(findings)
        first = self.findings[0]
        text = '; '.join(str(finding) for finding in self.findings)
        super().__init__(first.code, text)
