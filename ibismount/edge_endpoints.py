"""What a node of the edge program answers at its listening addresses."""

from typing import TYPE_CHECKING

from ibismount.caller_connection import (
    CallerConnection,
    CallerEndpoint,
    RawRequest,
)
from ibismount.edge_dispatch import RequestJob
from ibismount.errors import ErrorCode
from ibismount.platform.wire import (
    READINESS_PATH,
    RESOLVE_PATH,
    encode_addresses,
    encode_status,
    encode_text,
)
from ibismount.routes import CallerLimits
from ibismount.wire_format import Outcome, RequestError, WireFormat

if TYPE_CHECKING:
    from ibismount.edge import Edge

__all__ = ('ServingEndpoint', 'StatusEndpoint')

# Time to live of an address list at callers, in seconds: short, so that they soon
# stop using a node that ended.
ADDRESS_TTL_S = 1.0
METRICS_PATH = b'/metrics'


class ServingEndpoint(CallerEndpoint):
    """Serves requests of callers."""

    def __init__(self, edge: 'Edge') -> None:
        """Start without connections."""
        super().__init__()
        self._edge = edge
        self._wire: WireFormat = edge.wire

    @property
    def limits(self) -> CallerLimits:
        """Return the limits of the configuration in force."""
        return self._edge.fleet.route_table.limits

    @property
    def leaving(self) -> bool:
        """Return whether the node is shutting down."""
        return self._edge.leaving

    def handle(
        self, raw: RawRequest, conn: CallerConnection
    ) -> RequestJob | None:
        """Dispatch a request."""
        try:
            req = self._wire.read_request(
                raw.method, raw.target, raw.headers, raw.body
            )
        except RequestError as exc:
            conn.answer(self._wire.encode_error(exc.code), last=True)
            return None

        def send_outcome(outcome: Outcome) -> None:
            last = conn.closes_after_answer
            conn.answer(self._wire.encode_outcome(outcome, last=last))

        return self._edge.dispatch.submit(req, send_outcome)

    def encode_error(self, code: ErrorCode) -> bytes:
        """Encode the error answer to a malformed request."""
        return self._wire.encode_error(code)


class StatusEndpoint(CallerEndpoint):
    """Answers readiness checks, address look-ups and metrics scrapes."""

    def __init__(self, edge: 'Edge') -> None:
        """Start without connections."""
        super().__init__()
        self._edge = edge

    @property
    def limits(self) -> CallerLimits:
        """Return fixed limits."""
        return CallerLimits()

    def handle(self, raw: RawRequest, conn: CallerConnection) -> None:
        """Answer at once."""
        path = raw.target.partition(b'?')[0]
        if path == RESOLVE_PATH:
            addresses = self._edge.addresses()
            answer = encode_addresses(addresses, ADDRESS_TTL_S)
            conn.answer(answer if addresses else encode_status(503))
        elif path == READINESS_PATH:
            conn.answer(encode_status(200 if self._edge.serving else 503))
        elif path == METRICS_PATH:
            conn.answer(encode_text(self._edge.dispatch.metrics.render()))
        else:
            conn.answer(encode_status(404))

    def encode_error(self, code: ErrorCode) -> bytes:
        """Encode the error answer to a malformed request."""
        return self._edge.wire.encode_error(code)
