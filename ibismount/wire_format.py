"""What a face of the product translates, as typed values.

A face decodes requests of callers and answers of backend servers into these
values and encodes outcomes. Dispatch and decisions know nothing else of it.
"""

import abc
import dataclasses
import enum

from ibismount.errors import ErrorCode
from ibismount.http_client import RawResponse
from ibismount.server_table import Server

__all__ = (
    'CallerRequest',
    'Outcome',
    'OutcomeKind',
    'RequestError',
    'ServerAnswer',
    'Verdict',
    'WireFormat',
)

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """One request of a caller; ``deadline_s`` counts from its receipt."""

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    deadline_s: float
    # What a face keeps of the encoded request for further servers.
    encoded_head: bytes = b''


class RequestError(Exception):
    """Refuse a request that is no proper one.

    Args:
        code: Why it is refused.
        message: What would be right.
    """

    def __init__(self, code: ErrorCode, message: str) -> None:
        """Keep the code for the answer."""
        super().__init__(message)
        self.code = code


class Verdict(enum.Enum):
    """What a backend server's answer says."""

    ANSWER = 'answer'
    # The server ran the request and it failed there.
    FAILURE = 'failure'
    # A success that can't be used, since it proves nothing.
    GARBLED = 'garbled'
    # The server states that it did not run the request.
    NOT_RUN = 'not_run'
    # Not run, since another server has the address now.
    OTHER_SERVER = 'other_server'
    # The answer belongs to another request.
    FOREIGN = 'foreign'


@dataclasses.dataclass(slots=True)
class ServerAnswer:
    """One answer of a backend server.

    ``signature`` proves which server gave it; ``cold_s`` is how long the
    server says that it stays cold.
    """

    verdict: Verdict
    raw: RawResponse
    signature: str = ''
    cold_s: float = 0


class OutcomeKind(enum.Enum):
    """How a request ends for its caller."""

    # Merged records of several parts.
    MERGED = 'merged'
    # One backend server's own answer, whatever it says.
    RELAYED = 'relayed'
    # Certainly not run, now or later.
    NOT_RUN = 'not_run'
    # It may have run.
    UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True)
class Outcome:
    """The end of one request."""

    kind: OutcomeKind
    code: ErrorCode | None = None
    retry_after_s: float = 0
    relayed: ServerAnswer | None = None
    records: bytes = b''
    signatures: tuple[str, ...] = ()
    missing: int = 0


class WireFormat(abc.ABC):
    """Translate between one protocol and the product's values."""

    @abc.abstractmethod
    def read_request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> CallerRequest:
        """Decode a caller's request.

        Raises:
            RequestError: It is no proper request.
        """

    @abc.abstractmethod
    def encode_request(
        self, req: CallerRequest, server: Server, remaining_s: float
    ) -> bytes:
        """Encode a request for a backend server."""

    @abc.abstractmethod
    def read_answer(self, req: CallerRequest, raw: RawResponse) -> ServerAnswer:
        """Decode a backend server's answer to a request."""

    @abc.abstractmethod
    def encode_outcome(self, outcome: Outcome, *, last: bool) -> bytes:
        """Encode the answer to a caller.

        Args:
            outcome: The end of the request.
            last: The connection is closed after this answer.
        """

    @abc.abstractmethod
    def encode_error(self, code: ErrorCode) -> bytes:
        """Encode the refusal of an improper request; it closes."""
