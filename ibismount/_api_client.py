"""Call a node's HTTP API for the command line."""

import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

import httpx

from ibismount._tracing import hop_span
from ibismount.errors import ErrorCode, IbismountError

__all__ = ('ApiClient', 'ApiError')

# A change waits up to 10 s for its quorum and no deadline exceeds 10 s.
TIMEOUT_S = 20.0
CONNECT_TIMEOUT_S = 3.0

_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.UnsupportedProtocol,
    httpx.InvalidURL,
)


class ApiError(IbismountError):
    """A refusal by the node, or no answer from it.

    ``fields`` holds the problem detail and is empty without one.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        *,
        fields: Mapping[str, Any] | None = None,
    ) -> None:
        """Store the problem detail."""
        super().__init__(code, message)
        self.fields = fields or {}


class ApiClient:
    """Call one node.

    Args:
        base_url: Scheme, address and port of the node.
        token: Bearer token of the operator; not needed for caller paths.
        transport: HTTP transport that replaces the network in tests.
    """

    def __init__(
        self,
        base_url: str,
        *,
        token: str = '',
        transport: httpx.BaseTransport | None = None,
    ) -> None:
        """Prepare the HTTP client without connecting."""
        headers = {'authorization': f'Bearer {token}'} if token else {}
        self._client = httpx.Client(
            base_url=base_url,
            headers=headers,
            timeout=httpx.Timeout(TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            trust_env=False,
            transport=transport,
        )

    def get(self, *path_segments: str, **query: Any) -> Any:
        """Read from the administration API."""
        return self._call_admin_api('GET', path_segments, params=query)

    def entries(self, kind: str) -> dict[str, dict[str, Any]]:
        """Return all entries of a kind by key."""
        return {entry['key']: entry for entry in self.get(kind)}

    def put(
        self,
        kind: str,
        key: str,
        body: Mapping[str, Any],
        *,
        expected_version: int,
        preview: bool = False,
    ) -> Any:
        """Change an entry, or preview it, if it has the expected version."""
        return self._call_admin_api(
            'PUT',
            (kind, key),
            headers={'if-match': str(expected_version)},
            params={'preview': 'true'} if preview else {},
            json=body,
        )

    def delete(self, kind: str, key: str) -> Any:
        """Remove an entry."""
        return self._call_admin_api('DELETE', (kind, key))

    def post(self, path: str, body: Mapping[str, Any]) -> Any:
        """Send a caller's request and return the answer.

        An error status with a request id in its body is an answer, too.

        Raises:
            ApiError: No answer, or one without a request id.
        """
        with hop_span('caller', '') as hop:
            response = self._send(
                'POST',
                path,
                ErrorCode.OUTCOME_UNKNOWN,
                json=body,
                headers={'traceparent': hop.trace_parent},
            )
        fields = _parse_json(response)
        if isinstance(fields, dict) and 'request_id' in fields:
            return fields
        raise _make_api_error(response, fields, ErrorCode.OUTCOME_UNKNOWN)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def _call_admin_api(
        self, method: str, path_segments: tuple[str, ...], **options: Any
    ) -> Any:
        path = '/'.join(quote(segment, safe='') for segment in path_segments)
        response = self._send(
            method, f'/admin/v1/{path}', ErrorCode.CHANGE_UNKNOWN, **options
        )
        fields = _parse_json(response)
        if response.is_success and fields is not None:
            return fields
        raise _make_api_error(
            response,
            fields,
            ErrorCode.LINK_LOST
            if method == 'GET'
            else ErrorCode.CHANGE_UNKNOWN,
        )

    def _send(
        self, method: str, path: str, code_if_lost: ErrorCode, **options: Any
    ) -> httpx.Response:
        try:
            return self._client.request(method, path, **options)
        except _NOT_SENT_ERRORS as exc:
            raise ApiError(
                ErrorCode.LINK_LOST,
                f'cannot connect to {self._client.base_url}; no request was sent'
                f' ({exc})',
            ) from exc
        except httpx.HTTPError as exc:
            code = ErrorCode.LINK_LOST if method == 'GET' else code_if_lost
            raise ApiError(code, f'no answer from the node ({exc!r})') from exc


def _parse_json(response: httpx.Response) -> Any:
    try:
        return json.loads(response.content)
    except (ValueError, RecursionError):
        return None


def _make_api_error(
    response: httpx.Response, fields: Any, code_if_lost: ErrorCode
) -> ApiError:
    """Return the error that an answer states.

    Without a code that this version knows, only a status of the 4xx class says
    that nothing was done.
    """
    if not isinstance(fields, dict):
        fields = {}
    try:
        code = ErrorCode(fields.get('code'))
    except ValueError:
        code = (
            ErrorCode.BAD_REQUEST if response.is_client_error else code_if_lost
        )
    detail = (
        fields.get('detail')
        or f'the node answered with status {response.status_code}'
    )
    return ApiError(code, str(detail), fields=fields)
