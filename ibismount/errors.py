"""Exceptions with codes, and findings that carry their place."""

import enum
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ('ErrorCode', 'Finding', 'FindingsError', 'IbismountError')


class ErrorCode(enum.StrEnum):
    """Name every error and refusal that a caller or operator can see."""

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
    # Refusals of requests and causes of missing shards.
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
    """Carry a code, a message and, where known, the place of the fault.

    Args:
        code: What went wrong, for programs.
        message: What went wrong and what would be right, for people.
        place: File, line or field path; empty when there is none.

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
    """Describe one fault in an input and where it stands."""

    code: ErrorCode
    place: str
    message: str

    def __str__(self) -> str:
        """Render as one line, place first."""
        return f'{self.place}: {self.message} [{self.code}]'


class FindingsError(IbismountError):
    """Report several findings of one input together.

    Args:
        findings: At least one finding, in the order of the input.
    """

    def __init__(self, findings: Iterable[Finding]) -> None:
        """Take the code and place of the first finding."""
        self.findings = tuple(findings)
        first = self.findings[0]
        text = '; '.join(str(finding) for finding in self.findings)
        super().__init__(first.code, text)
