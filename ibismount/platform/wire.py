"""Decode and encode the platform's HTTP requests and answers."""

import http
import math

import msgspec

from ibismount.errors import ErrorCode
from ibismount.http_client import RawResponse
from ibismount.server_table import Server
from ibismount.wire_format import (
    AnswerKind,
    CallerRequest,
    Headers,
    Outcome,
    OutcomeKind,
    RequestError,
    ServerAnswer,
    WireFormat,
)

__all__ = (
    'READINESS_PATH',
    'RESOLVE_PATH',
    'PlatformWireFormat',
    'encode_addresses',
    'encode_status',
    'encode_text',
)

READINESS_PATH = b'/readiness'
RESOLVE_PATH = b'/resolve'

_REQUEST_ID_HEADER = b'ibismount-request-id'
_DEADLINE_HEADER = b'ibismount-deadline-ms'
_SIGNATURE_HEADER = b'ibismount-server-stamp'
_EXPECTED_SERVER_HEADER = b'ibismount-expected-instance'
_NOT_EXECUTED_HEADER = b'ibismount-not-executed'
_COLD_HEADER = b'ibismount-cold-ms'
_LIMIT_HEADER = b'server-limit'
_RETRY_AFTER_HEADER = b'retry-after'
_LEAVING_HEADER = b'server-leaving'

# Headers that belong to one connection (RFC 9110), and the length, which this
# module writes itself.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'content-length',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
_REPLACED_REQUEST_HEADERS = _HOP_BY_HOP_HEADERS | {
    _DEADLINE_HEADER,
    _EXPECTED_SERVER_HEADER,
    b'expect',
}

# Applies to requests without a deadline header.
_DEFAULT_DEADLINE_S = 30.0
_MAX_DEADLINE_MS = 3_600_000

_STATUS_BY_CODE = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.UNKNOWN_ROUTE: 404,
    ErrorCode.REQUEST_TOO_SLOW: 408,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.HEADERS_TOO_LARGE: 431,
    ErrorCode.DEADLINE_EXCEEDED: 504,
}


class PlatformWireFormat(WireFormat):
    """Decode and encode requests and answers in the platform's format."""

    def read_request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> CallerRequest:
        """Decode a caller's request."""
        headers_by_name = dict(headers)
        request_id = headers_by_name.get(_REQUEST_ID_HEADER, b'').decode(
            'latin-1'
        )
        host = headers_by_name.get(b'host', b'').decode('latin-1')
        if not request_id or not host or not target.startswith(b'/'):
            raise RequestError(
                ErrorCode.BAD_REQUEST,
                'the request needs a host, a path and a request id',
            )
        path = target.partition(b'?')[0].decode('latin-1')
        return CallerRequest(
            request_id=request_id,
            method=method,
            target=target,
            host=host.partition(':')[0],
            path=path,
            headers=headers,
            body=body,
            deadline_s=_parse_deadline_s(headers_by_name.get(_DEADLINE_HEADER)),
        )

    def encode_request(
        self, req: CallerRequest, server: Server, remaining_s: float
    ) -> bytes:
        """Encode a request for a backend server."""
        head = req.encoded_head or _encode_shared_head(req)
        per_server_headers = b'%b: %d\r\n%b: %b\r\n\r\n' % (
            _DEADLINE_HEADER,
            max(1, int(remaining_s * 1000)),
            _EXPECTED_SERVER_HEADER,
            server.id.encode(),
        )
        return head + per_server_headers + req.body

    def read_answer(self, req: CallerRequest, raw: RawResponse) -> ServerAnswer:
        """Decode a backend server's answer to a request."""
        headers_by_name = dict(raw.headers)
        echoed_request_id = headers_by_name.get(_REQUEST_ID_HEADER)
        signature = headers_by_name.get(_SIGNATURE_HEADER, b'').decode(
            'latin-1'
        )
        if (
            echoed_request_id is not None
            and echoed_request_id.decode('latin-1') != req.request_id
        ):
            kind = AnswerKind.OTHER_REQUEST
        elif raw.status == http.HTTPStatus.MISDIRECTED_REQUEST:
            kind = AnswerKind.OTHER_SERVER
        elif _NOT_EXECUTED_HEADER in headers_by_name:
            kind = AnswerKind.NOT_RUN
        elif not 200 <= raw.status < 300:
            kind = AnswerKind.FAILURE
        elif signature and b'content-encoding' not in headers_by_name:
            kind = AnswerKind.ANSWER
        else:
            kind = AnswerKind.GARBLED
        return ServerAnswer(
            kind,
            raw,
            signature=signature,
            cold_s=(_parse_number(headers_by_name.get(_COLD_HEADER)) or 0)
            / 1000,
            names_request=echoed_request_id is not None,
            rate_limit=_parse_number(headers_by_name.get(_LIMIT_HEADER)),
            pause_s=_read_pause_s(raw.status, headers_by_name),
            leaving=headers_by_name.get(_LEAVING_HEADER, b'').strip() == b'1',
        )

    def encode_outcome(self, outcome: Outcome, *, last: bool) -> bytes:
        """Encode the answer to a caller."""
        if outcome.kind is OutcomeKind.RELAYED:
            raw = outcome.relayed.raw
            headers = [
                header
                for header in raw.headers
                if header[0] not in _HOP_BY_HOP_HEADERS
            ]
            return _encode_response(raw.status, headers, raw.body, last=last)
        if outcome.kind is OutcomeKind.MERGED:
            headers = [
                (
                    b'Ibismount-Part-Stamps',
                    ', '.join(outcome.signatures).encode('latin-1'),
                ),
                (b'Ibismount-Missing-Parts', b'%d' % outcome.missing),
            ]
            return _encode_response(200, headers, outcome.records, last=last)
        return self._encode_failure(outcome, last=last)

    def encode_error(self, code: ErrorCode) -> bytes:
        """Encode the error answer to a malformed request."""
        return _encode_response(
            _STATUS_BY_CODE.get(code, 400), [], code.encode(), last=True
        )

    def _encode_failure(self, outcome: Outcome, *, last: bool) -> bytes:
        not_run = outcome.kind is OutcomeKind.NOT_RUN
        status = _STATUS_BY_CODE.get(outcome.code, 503 if not_run else 502)
        headers = []
        if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
            retry_after = f'{outcome.retry_after_s:.3f}'.encode()
            headers.append((b'Retry-After', retry_after))
        body = outcome.code.encode() if outcome.code else b''
        return _encode_response(status, headers, body, last=last)


def _encode_shared_head(req: CallerRequest) -> bytes:
    """Encode the headers that are the same for all servers, and cache them."""
    lines = [req.method + b' ' + req.target + b' HTTP/1.1']
    lines.extend(
        name + b': ' + value
        for name, value in req.headers
        if name not in _REPLACED_REQUEST_HEADERS
    )
    if req.body or req.method not in {b'GET', b'HEAD', b'DELETE'}:
        lines.append(b'content-length: %d' % len(req.body))
    req.encoded_head = b'\r\n'.join(lines) + b'\r\n'
    return req.encoded_head


def encode_addresses(addresses: list[str], ttl_s: float) -> bytes:
    """Encode the addresses that a caller may use, and their lifetime."""
    body = msgspec.json.encode({'addrs': addresses, 'ttl_s': ttl_s})
    headers = [(b'Content-Type', b'application/json')]
    return _encode_response(200, headers, body, last=False)


def encode_text(body: bytes) -> bytes:
    """Encode a plain-text answer."""
    headers = [(b'Content-Type', b'text/plain; version=0.0.4')]
    return _encode_response(200, headers, body, last=False)


def encode_status(status: int) -> bytes:
    """Encode an answer without a body."""
    return _encode_response(status, [], b'', last=False)


def _encode_response(
    status: int, headers: Headers, body: bytes, *, last: bool
) -> bytes:
    lines = [b'HTTP/1.1 %d %b' % (status, _reason_phrase(status))]
    lines.extend(name + b': ' + value for name, value in headers)
    lines.append(b'Content-Length: %d' % len(body))
    if last:
        lines.append(b'Connection: close')
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body


def _reason_phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Status'


def _parse_deadline_s(value: bytes | None) -> float:
    if value is None:
        return _DEFAULT_DEADLINE_S
    try:
        deadline_ms = float(value)
    except ValueError as exc:
        raise RequestError(
            ErrorCode.BAD_REQUEST,
            'the deadline is not a number of milliseconds',
        ) from exc
    if not 0 < deadline_ms <= _MAX_DEADLINE_MS:
        raise RequestError(
            ErrorCode.BAD_REQUEST,
            'the deadline is not between 0 and 3600000 ms',
        )
    return deadline_ms / 1000


def _read_pause_s(status: int, headers: dict[bytes, bytes]) -> float:
    if status != http.HTTPStatus.SERVICE_UNAVAILABLE:
        return 0
    return _parse_number(headers.get(_RETRY_AFTER_HEADER)) or 0


def _parse_number(value: bytes | None) -> float | None:
    """Return the number in a header, or None if it holds no valid one."""
    try:
        number = float(value or b'')
    except ValueError:
        return None
    return number if 0 <= number < math.inf else None
