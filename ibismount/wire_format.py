"""Interface between dispatch and a protocol adapter.

An adapter decodes requests of callers and answers of backend servers into the
types of this module and encodes outcomes. Dispatch does not depend on the
protocol in any other way.
"""

import abc
import dataclasses
import enum
import hashlib
import http

from ibismount.errors import ErrorCode
from ibismount.http_client import RawResponse
from ibismount.server_table import Server

__all__ = (
    'AnswerKind',
    'CallerRequest',
    'Outcome',
    'OutcomeKind',
    'RequestError',
    'ServerAnswer',
    'WireFormat',
)

Headers = list[tuple[bytes, bytes]]
_FINGERPRINT_BYTES = 10


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """One request of a caller; ``deadline_s`` starts at its receipt."""

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    deadline_s: float
    # Encoded head, kept by the adapter for attempts at further servers.
    encoded_head: bytes = b''

    @property
    def fingerprint(self) -> str:
        """Return a hash that is the same each time the request is repeated.

        Callers give each attempt its own request id, so the hash covers what
        a backend server runs: method, host, target and body.
        """
        digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
        for piece in (
            self.method,
            self.host.encode(),
            self.target,
            self.body,
        ):
            digest.update(b'%d:' % len(piece))
            digest.update(piece)
        return digest.hexdigest()


class RequestError(Exception):
    """A request is malformed.

    Args:
        code: The reason, for the answer.
        message: What a valid request has.
    """

    def __init__(self, code: ErrorCode, message: str) -> None:
        """Keep the code for the answer."""
        super().__init__(message)
        self.code = code


class AnswerKind(enum.Enum):
    """Meaning of a backend server's answer."""

    ANSWER = 'answer'
    # The server ran the request and it failed there.
    FAILURE = 'failure'
    # A success without proof of its server, or in an encoding that can't be
    # read; it is not used.
    GARBLED = 'garbled'
    # The server did not run the request and says so.
    NOT_RUN = 'not_run'
    # Not run, because another server has the address now.
    OTHER_SERVER = 'other_server'
    # The answer belongs to another request.
    OTHER_REQUEST = 'foreign'


@dataclasses.dataclass(slots=True)
class ServerAnswer:
    """One answer of a backend server.

    ``signature`` proves which server sent it; ``cold_s`` is the time for which
    the server reports that it stays cold. ``names_request`` tells whether the
    answer states the id of its request. ``rate_limit`` is the number of requests
    per second that the server takes from all nodes together, or None.
    ``pause_s`` is how long the server wants no request of this node, in seconds;
    ``leaving`` tells that it is about to end.
    """

    kind: AnswerKind
    raw: RawResponse
    signature: str = ''
    cold_s: float = 0
    names_request: bool = False
    rate_limit: float | None = None
    pause_s: float = 0
    leaving: bool = False

    @property
    def is_conclusive(self) -> bool:
        """Return whether the server certainly ran the request to its end.

        A server in trouble may fail a request that it has not begun to run.
        """
        if self.kind is AnswerKind.FAILURE:
            return self.raw.status < http.HTTPStatus.INTERNAL_SERVER_ERROR
        return self.kind is AnswerKind.ANSWER


class OutcomeKind(enum.Enum):
    """How a request ends for its caller."""

    # The merged records of several parts.
    MERGED = 'merged'
    # The answer of one backend server, unchanged, also if it is an error.
    RELAYED = 'relayed'
    # Certainly not run, neither now nor later.
    NOT_RUN = 'not_run'
    # It may have run.
    UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True)
class Outcome:
    """The result of one request."""

    kind: OutcomeKind
    code: ErrorCode | None = None
    retry_after_s: float = 0
    relayed: ServerAnswer | None = None
    records: bytes = b''
    signatures: tuple[str, ...] = ()
    missing: int = 0


class WireFormat(abc.ABC):
    """Translate between one protocol and the types of this module."""

    @abc.abstractmethod
    def read_request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> CallerRequest:
        """Decode a caller's request.

        Raises:
            RequestError: The request is malformed.
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
            outcome: The result of the request.
            last: Whether the connection is closed after this answer.
        """

    @abc.abstractmethod
    def encode_error(self, code: ErrorCode) -> bytes:
        """Encode the error answer to a malformed request; the connection closes."""
