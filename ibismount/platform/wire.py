"""Translate requests, answers and address lists of the platform."""

import http

import msgspec

from ibismount.errors import ErrorCode
from ibismount.http_client import RawResponse
from ibismount.server_table import Server
from ibismount.wire_format import (
    CallerRequest,
    Headers,
    Outcome,
    OutcomeKind,
    RequestError,
    ServerAnswer,
    Verdict,
    WireFormat,
)

__all__ = (
    'READINESS_PATH',
    'RESOLVE_PATH',
    'PlatformWire',
    'encode_addresses',
    'encode_status',
    'encode_text',
)

READINESS_PATH = b'/readiness'
RESOLVE_PATH = b'/resolve'

_REQUEST_ID = b'ibismount-request-id'
_DEADLINE = b'ibismount-deadline-ms'
_SIGNATURE = b'ibismount-server-stamp'
_EXPECTED_SERVER = b'ibismount-expected-instance'
_NOT_EXECUTED = b'ibismount-not-executed'
_COLD = b'ibismount-cold-ms'

# Headers that concern one connection, or that this adapter writes itself.
_HOP_HEADERS = frozenset(
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
_OWN_REQUEST_HEADERS = _HOP_HEADERS | {_DEADLINE, _EXPECTED_SERVER, b'expect'}

# A caller that names no deadline waits no longer than this, in seconds.
_DEADLINE_DEFAULT_S = 30.0
_DEADLINE_MOST_MS = 3_600_000

_STATUS = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.UNKNOWN_ROUTE: 404,
    ErrorCode.REQUEST_TOO_SLOW: 408,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.HEADERS_TOO_LARGE: 431,
    ErrorCode.DEADLINE_EXCEEDED: 504,
}


class PlatformWire(WireFormat):
    """The platform's form of requests and answers."""

    def read_request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> CallerRequest:
        """Decode a caller's request."""
        known = dict(headers)
        request_id = known.get(_REQUEST_ID, b'').decode('latin-1')
        host = known.get(b'host', b'').decode('latin-1')
        if not request_id or not host or not target.startswith(b'/'):
            raise RequestError(
                ErrorCode.BAD_REQUEST, 'host, path and request id are needed'
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
            deadline_s=_deadline_s(known.get(_DEADLINE)),
        )

    def encode_request(
        self, req: CallerRequest, server: Server, remaining_s: float
    ) -> bytes:
        """Encode a request for a backend server."""
        head = req.encoded_head or _encode_head(req)
        own = b'%b: %d\r\n%b: %b\r\n\r\n' % (
            _DEADLINE,
            max(1, int(remaining_s * 1000)),
            _EXPECTED_SERVER,
            server.id.encode(),
        )
        return head + own + req.body

    def read_answer(self, req: CallerRequest, raw: RawResponse) -> ServerAnswer:
        """Decode a backend server's answer to a request."""
        known = dict(raw.headers)
        echoed = known.get(_REQUEST_ID)
        signature = known.get(_SIGNATURE, b'').decode('latin-1')
        if echoed is not None and echoed.decode('latin-1') != req.request_id:
            verdict = Verdict.FOREIGN
        elif raw.status == http.HTTPStatus.MISDIRECTED_REQUEST:
            verdict = Verdict.OTHER_SERVER
        elif _NOT_EXECUTED in known:
            verdict = Verdict.NOT_RUN
        elif not 200 <= raw.status < 300:
            verdict = Verdict.FAILURE
        elif signature and b'content-encoding' not in known:
            verdict = Verdict.ANSWER
        else:
            verdict = Verdict.GARBLED
        return ServerAnswer(
            verdict, raw, signature=signature, cold_s=_cold_s(known.get(_COLD))
        )

    def encode_outcome(self, outcome: Outcome, *, last: bool) -> bytes:
        """Encode the answer to a caller."""
        if outcome.kind is OutcomeKind.RELAYED:
            raw = outcome.relayed.raw
            headers = [one for one in raw.headers if one[0] not in _HOP_HEADERS]
            return _encode(raw.status, headers, raw.body, last=last)
        if outcome.kind is OutcomeKind.MERGED:
            headers = [
                (
                    b'Ibismount-Part-Stamps',
                    ', '.join(outcome.signatures).encode('latin-1'),
                ),
                (b'Ibismount-Missing-Parts', b'%d' % outcome.missing),
            ]
            return _encode(200, headers, outcome.records, last=last)
        return self._encode_refusal(outcome, last=last)

    def encode_error(self, code: ErrorCode) -> bytes:
        """Encode the refusal of an improper request."""
        return _encode(_STATUS.get(code, 400), [], code.encode(), last=True)

    def _encode_refusal(self, outcome: Outcome, *, last: bool) -> bytes:
        not_run = outcome.kind is OutcomeKind.NOT_RUN
        status = _STATUS.get(outcome.code, 503 if not_run else 502)
        headers = []
        if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
            retry_after = f'{outcome.retry_after_s:.3f}'.encode()
            headers.append((b'Retry-After', retry_after))
        body = outcome.code.encode() if outcome.code else b''
        return _encode(status, headers, body, last=last)


def _encode_head(req: CallerRequest) -> bytes:
    """Encode and keep what is the same for every server of a request."""
    lines = [req.method + b' ' + req.target + b' HTTP/1.1']
    lines.extend(
        name + b': ' + text
        for name, text in req.headers
        if name not in _OWN_REQUEST_HEADERS
    )
    if req.body or req.method not in {b'GET', b'HEAD', b'DELETE'}:
        lines.append(b'content-length: %d' % len(req.body))
    req.encoded_head = b'\r\n'.join(lines) + b'\r\n'
    return req.encoded_head


def encode_addresses(addresses: list[str], keep_s: float) -> bytes:
    """Encode the addresses that a caller may use, and how long."""
    body = msgspec.json.encode({'addrs': addresses, 'ttl_s': keep_s})
    headers = [(b'Content-Type', b'application/json')]
    return _encode(200, headers, body, last=False)


def encode_text(content: bytes) -> bytes:
    """Encode a page of text."""
    headers = [(b'Content-Type', b'text/plain; version=0.0.4')]
    return _encode(200, headers, content, last=False)


def encode_status(status: int) -> bytes:
    """Encode an answer without content."""
    return _encode(status, [], b'', last=False)


def _encode(status: int, headers: Headers, body: bytes, *, last: bool) -> bytes:
    lines = [b'HTTP/1.1 %d %b' % (status, _reason(status))]
    lines.extend(name + b': ' + text for name, text in headers)
    lines.append(b'Content-Length: %d' % len(body))
    if last:
        lines.append(b'Connection: close')
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body


def _reason(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Status'


def _deadline_s(text: bytes | None) -> float:
    if text is None:
        return _DEADLINE_DEFAULT_S
    try:
        deadline_ms = float(text)
    except ValueError as exc:
        raise RequestError(
            ErrorCode.BAD_REQUEST, 'the deadline is a number of milliseconds'
        ) from exc
    if not 0 < deadline_ms <= _DEADLINE_MOST_MS:
        raise RequestError(ErrorCode.BAD_REQUEST, 'the deadline is absurd')
    return deadline_ms / 1000


def _cold_s(text: bytes | None) -> float:
    try:
        return max(0, float(text)) / 1000 if text else 0
    except ValueError:
        return 0
