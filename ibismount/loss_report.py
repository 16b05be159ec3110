"""Reports of backend servers lost while running a request."""

import dataclasses

__all__ = ('LossReport', 'QuarantineEntry')


@dataclasses.dataclass(frozen=True, slots=True)
class LossReport:
    """Report backend servers lost while running a request fingerprint.

    With an empty fingerprint, the servers were lost while idle. Without
    servers, the report says that a server answered the request after it had
    become suspect. Times are in seconds on the clock of the `Quarantine`.
    """

    fingerprint: str
    servers: tuple[str, ...]
    at: float
    # When the latest sub-request was sent to the servers; 0 when unknown.
    started: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineEntry:
    """A quarantined fingerprint; it expires at a time in seconds."""

    fingerprint: str
    expires_at: float
    evidence: str
