"""Client of the platform's object API: conditional updates and watches."""

import abc
import dataclasses
from collections.abc import Mapping
from typing import Any, NamedTuple, NoReturn
from urllib.parse import quote

import anyio
import httpx
import msgspec

from ibismount.errors import ErrorCode, IbismountError

__all__ = (
    'HttpPlatform',
    'Platform',
    'PlatformError',
    'StoredObject',
    'make_platform',
)

# The response to a watch may arrive this much later than its timeout.
WATCH_GRACE_S = 2.0

# Largest response: a page has at most 4 MB of values, a third more in base64.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024

# After these errors the request was not sent, so no write took effect.
_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
    httpx.InvalidURL,
)
# With these statuses the platform has not accepted the call.
_NOT_ACCEPTED_STATUSES = frozenset((429, 503))
_CODES_BY_STATUS = {
    400: ErrorCode.BAD_REQUEST,
    401: ErrorCode.UNAUTHORIZED,
    403: ErrorCode.UNAUTHORIZED,
    409: ErrorCode.ALREADY_EXISTS,
    412: ErrorCode.VERSION_CONFLICT,
    413: ErrorCode.BODY_TOO_LARGE,
}


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object with its value and the version of its last write."""

    key: str
    value: bytes
    version: int


class _PageRow(msgspec.Struct):
    """An object in a page of a list; its value is base64."""

    key: str
    value: bytes
    version: int


class _Page(msgspec.Struct):
    """A page of a list; ``more`` tells that another one follows."""

    objects: list[_PageRow]
    more: bool = False


class _Response(NamedTuple):
    """A response that was read to its end."""

    status_code: int
    headers: Mapping[str, str]
    body: bytes


# Needed because the class below defines a method named list.
Objects = list[StoredObject]


class PlatformError(IbismountError):
    """Report a failed platform call.

    ``ambiguous`` is True when a write may have taken effect although no
    response confirmed it; only a read can resolve this.
    """

    def __init__(
        self,
        message: str,
        *,
        code: ErrorCode = ErrorCode.PLATFORM_UNAVAILABLE,
        place: str = '',
        ambiguous: bool = False,
    ) -> None:
        """Store the error and whether the write may have taken effect."""
        super().__init__(code, message, place=place)
        self.ambiguous = ambiguous


class Platform(abc.ABC):
    """Read, write and watch objects.

    Every method raises PlatformError with ``platform_unavailable`` when the
    platform cannot be reached or does not respond in time.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or None when it does not exist."""

    @abc.abstractmethod
    async def create(self, key: str, value: bytes) -> StoredObject:
        """Create an object; raise ``already_exists`` when there is one."""

    @abc.abstractmethod
    async def update(
        self, key: str, value: bytes, *, expected_version: int
    ) -> StoredObject:
        """Replace an object; raise ``version_conflict`` on another version."""

    @abc.abstractmethod
    async def delete(self, key: str) -> None:
        """Remove an object; a missing one is no error."""

    @abc.abstractmethod
    async def list(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> Objects:
        """Return objects whose key starts with a prefix, ordered by key."""

    @abc.abstractmethod
    async def watch(
        self, prefix: str, *, after: str, timeout_s: float
    ) -> Objects:
        """Wait until objects with a key above ``after`` exist.

        Returns:
            The objects, ordered by key; empty after ``timeout_s`` seconds.
        """

    async def aclose(self) -> None:
        """Close connections; the default does nothing."""


class HttpPlatform(Platform):
    """Call the object API over HTTP.

    Args:
        base_url: Scheme, address and port.
        token: Sent as bearer token; empty for none.
        timeout_s: Limit for each call as a whole, in seconds.
    """

    def __init__(
        self, base_url: str, *, token: str = '', timeout_s: float = 2
    ) -> None:
        """Create the client without connecting."""
        # Compression would make a small response large.
        headers = {'accept-encoding': 'identity'}
        if token:
            headers['authorization'] = f'Bearer {token}'
        # The connection attempt times out before the whole call, so that an
        # unreachable address is not mistaken for a lost response. Proxies from
        # the environment are ignored, because the platform is addressed by IP.
        self._client = httpx.AsyncClient(
            base_url=base_url,
            headers=headers,
            timeout=httpx.Timeout(None, connect=timeout_s / 2),
            trust_env=False,
        )
        self._timeout_s = timeout_s

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or None when it does not exist."""
        response = await self._request('GET', _object_path(key), place=key)
        if response.status_code == httpx.codes.NOT_FOUND:
            return None
        return StoredObject(key, response.body, _parse_version(response, key))

    async def create(self, key: str, value: bytes) -> StoredObject:
        """Create an object; raise ``already_exists`` when there is one."""
        return await self._put(key, value, {'if-none-match': '*'})

    async def update(
        self, key: str, value: bytes, *, expected_version: int
    ) -> StoredObject:
        """Replace an object; raise ``version_conflict`` on another version."""
        return await self._put(key, value, {'if-match': str(expected_version)})

    async def delete(self, key: str) -> None:
        """Remove an object; a missing one is no error."""
        await self._request('DELETE', _object_path(key), place=key)

    async def list(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> Objects:
        """Return objects whose key starts with a prefix, ordered by key."""
        collected: Objects = []
        more = True
        while more and len(collected) < limit:
            params = {
                'prefix': prefix,
                'after': collected[-1].key if collected else after,
                'limit': limit - len(collected),
            }
            response = await self._request(
                'GET', '/objects', place=prefix, params=params
            )
            page, more = _decode_page(response, prefix)
            collected.extend(page)
        return collected

    async def watch(
        self, prefix: str, *, after: str, timeout_s: float
    ) -> Objects:
        """Wait until objects with a key above ``after`` exist."""
        params = {'prefix': prefix, 'after': after, 'watch_s': timeout_s}
        response = await self._request(
            'GET',
            '/objects',
            place=prefix,
            params=params,
            timeout_s=timeout_s + max(self._timeout_s, WATCH_GRACE_S),
        )
        return _decode_page(response, prefix)[0]

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def _put(
        self, key: str, value: bytes, headers: Mapping[str, str]
    ) -> StoredObject:
        response = await self._request(
            'PUT', _object_path(key), place=key, content=value, headers=headers
        )
        return StoredObject(
            key, value, _parse_version(response, key, is_write=True)
        )

    async def _request(
        self,
        method: str,
        path: str,
        *,
        place: str,
        timeout_s: float = 0,
        **options: Any,
    ) -> _Response:
        is_write = method != 'GET'
        try:
            with anyio.fail_after(timeout_s or self._timeout_s):
                async with self._client.stream(
                    method, path, **options
                ) as streamed:
                    response = await _read_response(streamed)
        except _NOT_SENT_ERRORS as exc:
            raise PlatformError(
                f'cannot connect to the platform ({exc!r})', place=place
            ) from exc
        except (httpx.HTTPError, TimeoutError, _ResponseTooLargeError) as exc:
            raise PlatformError(
                f'no response from the platform ({exc!r})',
                place=place,
                ambiguous=is_write,
            ) from exc
        if response.status_code >= httpx.codes.BAD_REQUEST:
            _raise_for_status(response, place, is_write=is_write)
        return response


def make_platform(
    base_url: str, *, token: str = '', timeout_s: float = 2
) -> HttpPlatform:
    """Make the client of the platform at ``base_url``.

    Args:
        base_url: Scheme, address and port.
        token: Sent as bearer token; empty for none.
        timeout_s: Limit for each call as a whole, in seconds.
    """
    return HttpPlatform(base_url, token=token, timeout_s=timeout_s)


class _ResponseTooLargeError(Exception):
    """Report a body above the limit; its connection is closed."""


async def _read_response(streamed: httpx.Response) -> _Response:
    body = bytearray()
    async for chunk in streamed.aiter_raw():
        body.extend(chunk)
        if len(body) > MAX_RESPONSE_BYTES:
            raise _ResponseTooLargeError(
                f'larger than {MAX_RESPONSE_BYTES} bytes'
            )
    return _Response(streamed.status_code, streamed.headers, bytes(body))


def _object_path(key: str) -> str:
    return f'/objects/{quote(key)}'


def _raise_for_status(
    response: _Response, place: str, *, is_write: bool
) -> None:
    status = response.status_code
    if status == httpx.codes.NOT_FOUND and not is_write:
        return
    code = _CODES_BY_STATUS.get(status, ErrorCode.PLATFORM_UNAVAILABLE)
    server_error = status >= httpx.codes.INTERNAL_SERVER_ERROR
    raise PlatformError(
        f'the platform responded with status {status}',
        code=code,
        place=place,
        ambiguous=is_write
        and server_error
        and status not in _NOT_ACCEPTED_STATUSES,
    )


def _parse_version(
    response: _Response, place: str, *, is_write: bool = False
) -> int:
    try:
        return int(response.headers['x-version'])
    except (KeyError, ValueError) as exc:
        _raise_unreadable(exc, place, is_write=is_write)


def _decode_page(response: _Response, place: str) -> tuple[Objects, bool]:
    try:
        page = msgspec.json.decode(response.body, type=_Page)
    except msgspec.DecodeError as exc:
        _raise_unreadable(exc, place)
    objects = [
        StoredObject(row.key, row.value, row.version) for row in page.objects
    ]
    return objects, page.more and bool(objects)


def _raise_unreadable(
    exc: Exception, place: str, *, is_write: bool = False
) -> NoReturn:
    raise PlatformError(
        f'the response of the platform is malformed ({exc!r})',
        place=place,
        ambiguous=is_write,
    ) from exc
