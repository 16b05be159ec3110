"""Client of the platform's store: lists, watches and probes."""

import asyncio
import dataclasses
from typing import Any
from urllib.parse import quote

import msgspec

from ibismount.errors import ErrorCode, IbismountError
from ibismount.http_client import (
    Connection,
    ExchangeFailure,
    RawResponse,
    connect,
)

__all__ = ('HistoryGone', 'Listing', 'Store', 'StoreError', 'StoredEntry')


class StoreError(IbismountError):
    """Report a call that the store did not answer, or refused."""

    def __init__(self, message: str) -> None:
        """Set the code."""
        super().__init__(ErrorCode.PLATFORM_UNAVAILABLE, message)


class HistoryGone(StoreError):
    """The changes since a revision are no longer kept; list again."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredEntry:
    """One object, or the end of one."""

    name: str
    revision: int
    spec: Any
    removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Objects or changes, with the store's revision to go on from."""

    entries: list[StoredEntry]
    revision: int


class _Meta(msgspec.Struct):
    name: str
    revision: int = 0


class _Object(msgspec.Struct):
    meta: _Meta
    spec: Any = None


class _Page(msgspec.Struct, rename='kebab'):
    items: list[_Object]
    store_revision: int
    has_more: bool = False


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _Events(msgspec.Struct, rename='kebab'):
    events: list[_Event]
    store_revision: int


class _Call:
    """One exchange whose outcome is awaited."""

    def __init__(self) -> None:
        self.fut: asyncio.Future[RawResponse] = (
            asyncio.get_running_loop().create_future()
        )

    def on_response(self, answer: RawResponse) -> bool:
        """Hand the answer to the waiting task."""
        if not self.fut.done():
            self.fut.set_result(answer)
        return True

    def on_exchange_failed(self, end: ExchangeFailure) -> None:
        """Hand the loss to the waiting task."""
        if not self.fut.done():
            self.fut.set_exception(StoreError(f'connection {end.value}'))


class Store:
    """Read from the platform's store.

    Connections are kept between calls; one on which an answer was lost is
    closed, since nothing further comes on it.

    Args:
        host: Address of the store.
        port: Its port.
        connect_s: Longest time to connect, in seconds.
    """

    def __init__(self, host: str, port: int, *, connect_s: float = 1.0) -> None:
        """Start without connections."""
        self._address = (host, port)
        self._connect_s = connect_s
        self._idle: list[Connection] = []
        self.calls = 0

    async def list(self, kind: str, *, timeout_s: float = 1.0) -> Listing:
        """Return all objects of a kind.

        Raises:
            StoreError: The store did not answer all pages.
        """
        entries: list[StoredEntry] = []
        after = ''
        revision = 0
        while True:
            query = f'?after={quote(after)}' if after else ''
            page = self._decode(
                await self._get(f'/objects/{kind}{query}', timeout_s), _Page
            )
            entries.extend(map(_entry, page.items))
            # Changes during the paging follow from the first page on.
            revision = revision or page.store_revision
            if not page.has_more or not page.items:
                return Listing(entries, revision)
            after = page.items[-1].meta.name

    async def watch(self, kind: str, revision: int, wait_s: float) -> Listing:
        """Return the changes after a revision, or none after a wait.

        Raises:
            HistoryGone: The changes are no longer kept.
            StoreError: The store did not answer.
        """
        path = f'/objects/{kind}?watch={revision}&wait-ms={int(wait_s * 1000)}'
        answer = await self._get(path, wait_s + _WATCH_GRACE_S)
        page = self._decode(answer, _Events)
        entries = [
            _entry(one.object, removed=one.deleted) for one in page.events
        ]
        return Listing(entries, page.store_revision)

    async def revision(self, kind: str, timeout_s: float) -> int:
        """Return the store's revision, possibly stale, by the cheapest read.

        Raises:
            StoreError: The store did not answer.
        """
        answer = await self._get(f'/objects/{kind}?serializable=1', timeout_s)
        return self._decode(answer, _Page).store_revision

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _get(self, path: str, timeout_s: float) -> RawResponse:
        host, port = self._address
        request = f'GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n'
        call = _Call()
        conn = await self._connection()
        self.calls += 1
        conn.send(call, request.encode())
        try:
            async with asyncio.timeout(timeout_s):
                answer = await call.fut
        except TimeoutError as exc:
            raise StoreError(f'no answer in {timeout_s} s: {path}') from exc
        finally:
            conn.close_if_owned_by(call)
        if answer.status == _GONE:
            raise HistoryGone(f'history gone: {path}')
        if answer.status not in {200, 404}:
            raise StoreError(f'status {answer.status}: {path}')
        return answer

    async def _connection(self) -> Connection:
        while self._idle:
            conn = self._idle.pop()
            if not conn.closed:
                return conn
        try:
            async with asyncio.timeout(self._connect_s):
                conn = await connect(*self._address)
        except (OSError, TimeoutError) as exc:
            raise StoreError(f'no connection: {exc!r}') from exc
        conn.on_idle = self._idle.append
        return conn

    def _decode(self, answer: RawResponse, shape: type) -> Any:
        try:
            return msgspec.json.decode(answer.body, type=shape)
        except (msgspec.DecodeError, msgspec.ValidationError) as exc:
            raise StoreError(f'unreadable answer: {exc}') from exc


# A waiting watch may be answered this much later than asked for, in seconds.
_WATCH_GRACE_S = 1.5
_GONE = 410


def _entry(stored: _Object, *, removed: bool = False) -> StoredEntry:
    return StoredEntry(
        stored.meta.name, stored.meta.revision, stored.spec, removed
    )
