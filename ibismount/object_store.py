"""The platform's object API: versions, conditional updates and watches."""

import abc
import base64
import dataclasses
from collections.abc import Mapping
from typing import Any, NoReturn
from urllib.parse import quote

import anyio
import httpx

from ibismount.errors import ErrorCode, IbismountError

__all__ = (
    'HttpPlatform',
    'Platform',
    'PlatformError',
    'StoredObject',
    'make_platform',
)

# A waiting watch may be answered this much later than its own timeout.
WATCH_GRACE_S = 2.0

# The request never left, so a write cannot have taken effect.
_NOT_SENT = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
    httpx.InvalidURL,
)
# Statuses with which the platform says that it did not accept the call.
_NOT_ACCEPTED = frozenset((429, 503))
_CODES = {
    400: ErrorCode.BAD_REQUEST,
    401: ErrorCode.UNAUTHORIZED,
    403: ErrorCode.UNAUTHORIZED,
    409: ErrorCode.ALREADY_EXISTS,
    412: ErrorCode.VERSION_CONFLICT,
    413: ErrorCode.BODY_TOO_LARGE,
}


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """One object with its value and the version of its last write."""

    key: str
    value: bytes
    version: int


# Spelt out here because the class below has a method named list.
Objects = list[StoredObject]


class PlatformError(IbismountError):
    """Report a failed platform call.

    ``ambiguous`` is True when a write may have taken effect although its
    answer was lost; only a read settles it.
    """

    def __init__(
        self,
        message: str,
        *,
        code: ErrorCode = ErrorCode.PLATFORM_UNAVAILABLE,
        place: str = '',
        ambiguous: bool = False,
    ) -> None:
        """Store whether the write may have taken effect."""
        super().__init__(code, message, place=place)
        self.ambiguous = ambiguous


class Platform(abc.ABC):
    """Read, write and watch objects.

    Every method raises PlatformError with ``platform_unavailable`` when the
    platform cannot be reached or does not answer in time.
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
        """Close connections; platforms without any need not override it."""


class HttpPlatform(Platform):
    """Call the object API over HTTP.

    Args:
        base_url: Scheme, address and port.
        token: Sent as bearer token; empty for none.
        timeout_s: Bound in seconds for each whole call.
    """

    def __init__(
        self, base_url: str, *, token: str = '', timeout_s: float = 2
    ) -> None:
        """Prepare the client; nothing is sent yet."""
        headers = {'authorization': f'Bearer {token}'} if token else {}
        # A connection attempt ends before the whole call does, so that an
        # address without an answer is not mistaken for a lost answer.
        # Environment proxies are ignored: the platform is addressed by IP.
        self._client = httpx.AsyncClient(
            base_url=base_url,
            headers=headers,
            timeout=httpx.Timeout(None, connect=timeout_s / 2),
            trust_env=False,
        )
        self._timeout_s = timeout_s

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or None when it does not exist."""
        answer = await self._call('GET', _path(key), place=key)
        if answer.status_code == httpx.codes.NOT_FOUND:
            return None
        return StoredObject(key, answer.content, _version(answer, key))

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
        await self._call('DELETE', _path(key), place=key)

    async def list(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> Objects:
        """Return objects whose key starts with a prefix, ordered by key."""
        found: Objects = []
        more = True
        while more and len(found) < limit:
            query = {
                'prefix': prefix,
                'after': found[-1].key if found else after,
                'limit': limit - len(found),
            }
            answer = await self._call(
                'GET', '/objects', place=prefix, params=query
            )
            page, more = _decode_page(answer, prefix)
            found.extend(page)
        return found

    async def watch(
        self, prefix: str, *, after: str, timeout_s: float
    ) -> Objects:
        """Wait until objects with a key above ``after`` exist."""
        query = {'prefix': prefix, 'after': after, 'watch_s': timeout_s}
        answer = await self._call(
            'GET',
            '/objects',
            place=prefix,
            params=query,
            timeout_s=timeout_s + max(self._timeout_s, WATCH_GRACE_S),
        )
        return _decode_page(answer, prefix)[0]

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def _put(
        self, key: str, value: bytes, headers: Mapping[str, str]
    ) -> StoredObject:
        answer = await self._call(
            'PUT', _path(key), place=key, content=value, headers=headers
        )
        return StoredObject(key, value, _version(answer, key, is_write=True))

    async def _call(
        self,
        method: str,
        path: str,
        *,
        place: str,
        timeout_s: float = 0,
        **options: Any,
    ) -> httpx.Response:
        is_write = method != 'GET'
        try:
            with anyio.fail_after(timeout_s or self._timeout_s):
                answer = await self._client.request(method, path, **options)
        except _NOT_SENT as exc:
            raise PlatformError(
                f'cannot connect ({exc!r})', place=place
            ) from exc
        except (httpx.HTTPError, TimeoutError) as exc:
            raise PlatformError(
                f'no answer ({exc!r})', place=place, ambiguous=is_write
            ) from exc
        if answer.status_code >= httpx.codes.BAD_REQUEST:
            _check_status(answer, place, is_write=is_write)
        return answer


def make_platform(
    base_url: str, *, token: str = '', timeout_s: float = 2
) -> HttpPlatform:
    """Make the client of the platform at ``base_url``.

    Args:
        base_url: Scheme, address and port.
        token: Sent as bearer token; empty for none.
        timeout_s: Bound in seconds for each call.
    """
    return HttpPlatform(base_url, token=token, timeout_s=timeout_s)


def _path(key: str) -> str:
    return f'/objects/{quote(key)}'


def _check_status(
    answer: httpx.Response, place: str, *, is_write: bool
) -> None:
    status = answer.status_code
    if status == httpx.codes.NOT_FOUND and not is_write:
        return
    code = _CODES.get(status, ErrorCode.PLATFORM_UNAVAILABLE)
    server_error = status >= httpx.codes.INTERNAL_SERVER_ERROR
    raise PlatformError(
        f'the platform answered {status}',
        code=code,
        place=place,
        ambiguous=is_write and server_error and status not in _NOT_ACCEPTED,
    )


def _version(
    answer: httpx.Response, place: str, *, is_write: bool = False
) -> int:
    try:
        return int(answer.headers['x-version'])
    except (KeyError, ValueError) as exc:
        _refuse_answer(exc, place, is_write=is_write)


def _decode_page(answer: httpx.Response, place: str) -> tuple[Objects, bool]:
    try:
        page = answer.json()
        objects = [
            StoredObject(
                one['key'],
                base64.b64decode(one['value'], validate=True),
                int(one['version']),
            )
            for one in page['objects']
        ]
    except (KeyError, TypeError, ValueError) as exc:
        _refuse_answer(exc, place)
    return objects, bool(page.get('more')) and bool(objects)


def _refuse_answer(
    exc: Exception, place: str, *, is_write: bool = False
) -> NoReturn:
    raise PlatformError(
        f'the answer cannot be read ({exc!r})', place=place, ambiguous=is_write
    ) from exc
