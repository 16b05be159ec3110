"""Render answers and errors as HTTP status codes and JSON fields."""

import dataclasses
import json
from typing import Any

from starlette.responses import Response

from ibismount.cause import Cause
from ibismount.errors import ErrorCode, FindingsError

_STATUS_BY_CODE = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.SETTINGS_INVALID: 400,
    ErrorCode.CHANGE_INVALID: 422,
    ErrorCode.UNKNOWN_TEMPLATE: 404,
    ErrorCode.UNKNOWN_TEAM: 404,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.UNAUTHORIZED: 401,
    ErrorCode.CHANGE_CONFLICT: 409,
    ErrorCode.VERSION_CONFLICT: 409,
    ErrorCode.SNAPSHOT_GONE: 410,
    ErrorCode.REQUEST_ID_EXPIRED: 410,
    ErrorCode.QUARANTINED: 422,
    ErrorCode.CHANGE_UNKNOWN: 504,
    ErrorCode.OUTCOME_UNKNOWN: 504,
    ErrorCode.COVERAGE_TOO_LOW: 504,
    ErrorCode.DEADLINE_EXCEEDED: 504,
}


def http_status(exc: Exception) -> int:
    """Return the HTTP status of an error; 503 for codes without their own."""
    return _STATUS_BY_CODE.get(getattr(exc, 'code', ErrorCode.UNCONFIRMED), 503)


def problem_details(exc: Exception) -> dict[str, Any]:
    """Return the place, findings and extra fields of an error."""
    details = {'place': getattr(exc, 'place', '')}
    if isinstance(exc, FindingsError):
        details['place'] = exc.findings[0].place
        details['findings'] = [finding._asdict() for finding in exc.findings]
    details.update(getattr(exc, 'extra', {}))
    return details


def problem_response(
    code: str, detail: str, status: int, **details: Any
) -> Response:
    """Build an ``application/problem+json`` response without empty fields.

    The JSON is ASCII only: an error may quote text that UTF-8 cannot encode,
    such as a lone surrogate from the body.
    """
    fields = {
        'type': 'about:blank',
        'title': code,
        'code': code,
        'detail': detail,
        'status': status,
        **{name: value for name, value in details.items() if value},
    }
    return Response(
        json.dumps(fields), status, media_type='application/problem+json'
    )


def render_cause(cause: Cause | None) -> dict[str, Any] | None:
    """Return a cause as JSON fields without the empty ones."""
    if cause is None:
        return None
    return {
        name: value
        for name, value in dataclasses.asdict(cause).items()
        if value
    }


def render_search(answer: Any) -> tuple[int, dict[str, Any]]:
    """Return the HTTP status and the body for a search answer."""
    fields = _common_fields(answer)
    fields['snapshot'] = answer.snapshot
    fields['results'] = [
        {**result.fields, 'id': result.id, 'score': result.score}
        for result in answer.results
    ]
    fields['cursor'] = answer.cursor
    coverage = answer.coverage
    if coverage is not None:
        fields['coverage'] = {
            'asked': coverage.asked,
            'answered': coverage.answered,
            'fraction': coverage.fraction,
            'missing': [
                {'shard': shard, 'cause': render_cause(cause)}
                for shard, cause in coverage.missing.items()
            ],
        }
    return _answer_status(answer), fields


def render_booking(answer: Any) -> tuple[int, dict[str, Any]]:
    """Return the HTTP status and the body for a booking answer."""
    fields = _common_fields(answer)
    fields['result'] = answer.answer
    fields['earlier'] = answer.earlier
    return _answer_status(answer), fields


def _common_fields(answer: Any) -> dict[str, Any]:
    return {
        'status': answer.status,
        'request_id': answer.request_id,
        'attempt_id': answer.attempt_id,
        'trace_id': answer.trace_id,
        'config_version': answer.config_version,
        'latency_ms': round(answer.latency_s * 1000, 3),
        'cause': render_cause(answer.cause),
    }


def _answer_status(answer: Any) -> int:
    if answer.status == 'answered':
        return 200
    code = answer.cause.code if answer.cause else ErrorCode.OUTCOME_UNKNOWN
    return _STATUS_BY_CODE.get(code, 503 if answer.status == 'not_run' else 504)
