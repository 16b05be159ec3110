"""The HTTP API for callers and operators."""

import hmac
import importlib.resources
import json
import math
from collections.abc import Awaitable, Callable
from typing import Any

import pydantic
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from ibismount import _http_rendering
from ibismount.administration import Administration
from ibismount.catalog import findings_of
from ibismount.config import ChangeKind
from ibismount.entry import BookingRequest, Entry, SearchRequest
from ibismount.errors import ErrorCode, FindingsError, IbismountError
from ibismount.logs import part_logger
from ibismount.settings import Settings

__all__ = ('make_app', 'make_shutdown_refusal')

log = part_logger('api')

KINDS_BY_PATH = {
    'templates': ChangeKind.TEMPLATE,
    'parameters': ChangeKind.PARAMETERS,
    'zones': ChangeKind.ZONE,
    'vms': ChangeKind.VM,
    'catalogs': ChangeKind.CATALOG,
}

Handler = Callable[[Request], Awaitable[Response]]


class SearchBody(pydantic.BaseModel):
    """The JSON body of a search."""

    model_config = pydantic.ConfigDict(extra='forbid')

    team: str = pydantic.Field(min_length=1)
    template: str = pydantic.Field(min_length=1)
    query: dict[str, Any]
    request_id: str = pydantic.Field(default='', max_length=128)
    cursor: str = pydantic.Field(default='', max_length=4096)
    shards: tuple[str, ...] = ()


class BookingBody(pydantic.BaseModel):
    """The JSON body of a booking."""

    model_config = pydantic.ConfigDict(extra='forbid')

    team: str = pydantic.Field(min_length=1)
    template: str = pydantic.Field(min_length=1)
    request_id: str = pydantic.Field(min_length=1, max_length=128)
    shard: str = pydantic.Field(min_length=1)
    booking: dict[str, Any]


class _CallerRoutes:
    """Handle the requests of callers."""

    def __init__(
        self, entry: Entry, admin: Administration, cfg: Settings
    ) -> None:
        self._entry = entry
        self._admin = admin
        self._cfg = cfg

    async def addresses(self, request: Request) -> Response:
        """Return API addresses for callers and how long they may be cached."""
        return JSONResponse(self._admin.addresses())

    async def search(self, request: Request) -> Response:
        """Run a search."""
        body = await _read_body(request, SearchBody, self._cfg)
        answer = await self._entry.search(
            SearchRequest(
                team=body.team,
                template=body.template,
                query=body.query,
                request_id=body.request_id,
                cursor=body.cursor,
                shards=body.shards,
                trace_parent=request.headers.get('traceparent', ''),
            )
        )
        status, fields = _http_rendering.render_search(answer)
        return self._render(status, fields)

    async def book(self, request: Request) -> Response:
        """Run a booking at most once."""
        body = await _read_body(request, BookingBody, self._cfg)
        answer = await self._entry.book(
            BookingRequest(
                team=body.team,
                template=body.template,
                request_id=body.request_id,
                shard=body.shard,
                body=body.booking,
                trace_parent=request.headers.get('traceparent', ''),
            )
        )
        status, fields = _http_rendering.render_booking(answer)
        return self._render(status, fields)

    def _render(self, status: int, fields: dict[str, Any]) -> Response:
        if status == 503:
            # An outdated address list of the caller may have caused the refusal.
            fields['addresses'] = self._admin.addresses()['addresses']
        return JSONResponse(fields, status)


class _OperatorRoutes:
    """Handle the requests of operators; each requires an operator's token."""

    def __init__(self, admin: Administration, cfg: Settings) -> None:
        self._admin = admin
        self._cfg = cfg

    async def list_entries(self, request: Request) -> Response:
        """List the entries of a kind with their versions."""
        self._authenticate_operator(request)
        return JSONResponse(self._admin.list_entries(_parse_kind(request)))

    async def get_entry(self, request: Request) -> Response:
        """Return one entry with the change that set it."""
        self._authenticate_operator(request)
        fields = self._admin.get_entry(
            _parse_kind(request), request.path_params['key']
        )
        return JSONResponse(fields)

    async def put_entry(self, request: Request) -> Response:
        """Apply a change, or return a preview of what it would affect."""
        operator = self._authenticate_operator(request)
        kind, key = _parse_kind(request), request.path_params['key']
        preview, expected_version = (
            _parse_preview(request),
            _parse_expected_version(request),
        )
        body = await _read_json(request, self._cfg.limits.body_bytes)
        if preview:
            return JSONResponse(
                self._admin.preview(
                    kind, key, body, expected_version=expected_version
                )
            )
        outcome = await self._admin.apply(
            kind,
            key,
            body,
            operator=operator,
            expected_version=expected_version,
        )
        return JSONResponse(outcome, 200 if _is_accepted(outcome) else 202)

    async def remove_vm(self, request: Request) -> Response:
        """Remove a destroyed VM from the roster."""
        operator = self._authenticate_operator(request)
        outcome = await self._admin.remove_vm(
            request.path_params['key'], operator
        )
        return JSONResponse(outcome, 200 if _is_accepted(outcome) else 202)

    async def history(self, request: Request) -> Response:
        """Return the changes of one entry, newest first."""
        self._authenticate_operator(request)
        changes = await self._admin.history(
            _parse_kind(request), request.path_params['key']
        )
        return JSONResponse(changes)

    async def status(self, request: Request) -> Response:
        """Return this node's view of itself and the fleet."""
        self._authenticate_operator(request)
        return JSONResponse(self._admin.status())

    async def timeline(self, request: Request) -> Response:
        """Return operators' changes and system events in order of time."""
        self._authenticate_operator(request)
        since = _parse_number_parameter(request, 'since', 0)
        request_id = request.query_params.get('request_id', '')
        return JSONResponse(await self._admin.timeline(since, request_id))

    async def explain(self, request: Request) -> Response:
        """Return the cause of one request's outcome."""
        self._authenticate_operator(request)
        request_id = request.path_params['request_id']
        return JSONResponse(await self._admin.explain(request_id))

    def _authenticate_operator(self, request: Request) -> str:
        authorization = request.headers.get('authorization', '').encode()
        for operator in self._cfg.operators:
            token = operator.token.get_secret_value()
            if hmac.compare_digest(authorization, f'Bearer {token}'.encode()):
                return operator.name
        raise IbismountError(
            ErrorCode.UNAUTHORIZED,
            'send an operator token as "Authorization: Bearer TOKEN"',
        )


def make_app(
    entry: Entry, admin: Administration, *, cfg: Settings
) -> Starlette:
    """Build the ASGI application of a node.

    Args:
        entry: Runs searches and bookings.
        admin: Reads and changes the configuration.
        cfg: The node's settings.

    Returns:
        The application; errors are problem details with a ``code``.
    """
    callers = _CallerRoutes(entry, admin, cfg)
    operators = _OperatorRoutes(admin, cfg)
    prefix = '/admin/v1'
    return Starlette(
        routes=[
            Route('/v1/addresses', callers.addresses),
            Route('/v1/search', callers.search, methods=['POST']),
            Route('/v1/bookings', callers.book, methods=['POST']),
            Route('/openapi.yaml', _serve_openapi),
            Route(f'{prefix}/status', operators.status),
            Route(f'{prefix}/timeline', operators.timeline),
            Route(f'{prefix}/explain/{{request_id}}', operators.explain),
            Route(f'{prefix}/history/{{kind}}/{{key:path}}', operators.history),
            Route(
                f'{prefix}/vms/{{key}}', operators.remove_vm, methods=['DELETE']
            ),
            Route(f'{prefix}/{{kind}}', operators.list_entries),
            Route(f'{prefix}/{{kind}}/{{key:path}}', operators.get_entry),
            Route(
                f'{prefix}/{{kind}}/{{key:path}}',
                operators.put_entry,
                methods=['PUT'],
            ),
        ],
        exception_handlers={
            IbismountError: _handle_ibismount_error,
            HTTPException: _handle_http_exception,
            Exception: _handle_unexpected_error,
        },
    )


def make_shutdown_refusal(admin: Administration) -> Response:
    """Return the response to any request that arrives while the node stops."""
    return _http_rendering.problem_response(
        ErrorCode.SHUTTING_DOWN,
        'the node is shutting down; nothing was run',
        503,
        addresses=admin.addresses()['addresses'],
    )


async def _serve_openapi(request: Request) -> Response:
    text = importlib.resources.files('ibismount').joinpath('openapi.yaml')
    return PlainTextResponse(
        text.read_text(encoding='utf-8'), media_type='application/yaml'
    )


async def _handle_ibismount_error(request: Request, exc: Exception) -> Response:
    return _http_rendering.problem_response(
        getattr(exc, 'code', ''),
        str(exc),
        _http_rendering.http_status(exc),
        **_http_rendering.problem_details(exc),
    )


async def _handle_http_exception(request: Request, exc: Exception) -> Response:
    text = f'{request.method} {request.url.path}: {exc.detail}'
    return _http_rendering.problem_response(
        ErrorCode.BAD_REQUEST,
        f'{text}; /openapi.yaml lists all paths',
        exc.status_code,
        place='path',
    )


async def _handle_unexpected_error(
    request: Request, exc: Exception
) -> Response:
    log.error(
        'request for %s failed with an unexpected error',
        request.url.path,
        exc_info=exc,
    )
    return _http_rendering.problem_response(
        'internal_error',
        'the node could not handle the request; see its log',
        500,
    )


async def _read_body(request: Request, model: Any, cfg: Settings) -> Any:
    raw = await _read_json(request, cfg.limits.body_bytes)
    try:
        return model.model_validate(raw)
    except pydantic.ValidationError as exc:
        raise FindingsError(
            findings_of(exc, place='body', code=ErrorCode.BAD_REQUEST)
        ) from exc


async def _read_json(request: Request, limit: int) -> Any:
    received = bytearray()
    async for chunk in request.stream():
        received.extend(chunk)
        if len(received) > limit:
            raise IbismountError(
                ErrorCode.BODY_TOO_LARGE,
                f'larger than the limit of {limit} bytes',
                place='body',
            )
    try:
        body = json.loads(bytes(received), parse_constant=_reject_constant)
    except (ValueError, RecursionError) as exc:
        raise IbismountError(
            ErrorCode.BAD_REQUEST,
            f'not valid JSON: {exc}',
            place='body',
        ) from exc
    if not isinstance(body, dict):
        raise IbismountError(
            ErrorCode.BAD_REQUEST,
            'must be a JSON object',
            place='body',
        )
    return body


def _reject_constant(name: str) -> None:
    """Reject NaN and Infinity, which Python parses but JSON does not define."""
    raise ValueError(f'{name} is not a JSON value')


def _parse_preview(request: Request) -> bool:
    """Return whether a preview is requested.

    Unknown parameters and values are rejected, because a misspelt preview
    would otherwise apply the change.
    """
    unknown_parameters = sorted(set(request.query_params) - {'preview'})
    value = request.query_params.get('preview', 'false')
    if unknown_parameters or value not in {'true', 'false'}:
        raise IbismountError(
            ErrorCode.BAD_REQUEST,
            'the only query parameter is preview, true or false',
            place=unknown_parameters[0] if unknown_parameters else 'preview',
        )
    return value == 'true'


def _parse_kind(request: Request) -> ChangeKind:
    name = request.path_params['kind']
    if name not in KINDS_BY_PATH:
        raise IbismountError(
            ErrorCode.BAD_REQUEST,
            f'{name} is not one of {", ".join(KINDS_BY_PATH)}',
            place='path',
        )
    return KINDS_BY_PATH[name]


def _parse_expected_version(request: Request) -> int | None:
    value = request.headers.get('if-match', '').strip('"')
    if not value:
        return None
    if not (value.isascii() and value.isdigit()):
        raise IbismountError(
            ErrorCode.BAD_REQUEST,
            'must be a version number, such as "17"',
            place='if-match',
        )
    return int(value)


def _parse_number_parameter(
    request: Request, name: str, default: float
) -> float:
    value = request.query_params.get(name, '')
    try:
        number = float(value) if value else default
    except ValueError:
        number = math.nan
    if not math.isfinite(number):
        raise IbismountError(
            ErrorCode.BAD_REQUEST, 'must be a finite number', place=name
        )
    return number


def _is_accepted(outcome: dict[str, Any]) -> bool:
    return outcome.get('outcome') == 'accepted'
