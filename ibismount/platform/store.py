"""HTTP client of the platform's store: lists, watches and probes."""

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

__all__ = ('HistoryGone', 'Listing', 'StoreClient', 'StoreError', 'StoredEntry')


class StoreError(IbismountError):
    """Raised when the store does not answer a call, or refuses it."""

    def __init__(self, message: str) -> None:
        """Use the code ``platform_unavailable``."""
        super().__init__(ErrorCode.PLATFORM_UNAVAILABLE, message)


class HistoryGone(StoreError):
    """Raised when the changes since a revision are gone; list again."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredEntry:
    """One object, or its removal."""

    name: str
    revision: int
    spec: Any
    removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Objects or changes, with the revision to watch from."""

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


class _PendingCall:
    """An HTTP exchange whose answer is awaited."""

    def __init__(self) -> None:
        self.fut: asyncio.Future[RawResponse] = (
            asyncio.get_running_loop().create_future()
        )

    def on_response(self, answer: RawResponse) -> bool:
        """Return the answer to the waiting task."""
        if not self.fut.done():
            self.fut.set_result(answer)
        return True

    def on_exchange_failed(self, end: ExchangeFailure) -> None:
        """Raise the loss of the connection in the waiting task."""
        if not self.fut.done():
            self.fut.set_exception(
                StoreError(f'connection to the store ended: {end.value}')
            )


class StoreClient:
    """Read from the platform's store.

    Connections are reused. A connection on which an answer was lost is closed,
    since no later answer arrives on it either.

    Args:
        host: Host name or IP address of the store.
        port: Port of the store.
        connect_timeout_s: Longest time to connect, in seconds.
    """

    def __init__(
        self, host: str, port: int, *, connect_timeout_s: float = 1.0
    ) -> None:
        """Start without connections."""
        self._address = (host, port)
        self._connect_timeout_s = connect_timeout_s
        self._idle_connections: list[Connection] = []
        self.call_count = 0

    async def list(self, kind: str, *, timeout_s: float = 1.0) -> Listing:
        """Return all objects of a kind.

        Raises:
            StoreError: The store did not answer all pages.
        """
        entries: list[StoredEntry] = []
        after = ''
        revision: int | None = None
        while True:
            query = f'?after={quote(after)}' if after else ''
            page = self._decode(
                await self._get(f'/objects/{kind}{query}', timeout_s), _Page
            )
            entries.extend(map(_convert_entry, page.items))
            # A watch from the first page's revision also returns the changes
            # made while the later pages were read.
            if revision is None:
                revision = page.store_revision
            if not page.has_more or not page.items:
                return Listing(entries, revision)
            after = page.items[-1].meta.name

    async def watch(
        self, kind: str, revision: int, wait_s: float, *, timeout_s: float
    ) -> Listing:
        """Return the changes after a revision; empty if none within a wait.

        A wait of 0 seconds makes the store answer at once.

        Raises:
            HistoryGone: The store no longer keeps these changes.
            StoreError: The store did not answer.
        """
        path = f'/objects/{kind}?watch={revision}&wait-ms={int(wait_s * 1000)}'
        answer = await self._get(path, timeout_s)
        page = self._decode(answer, _Events)
        entries = [
            _convert_entry(event.object, removed=event.deleted)
            for event in page.events
        ]
        return Listing(entries, page.store_revision)

    async def revision(self, kind: str, timeout_s: float) -> int:
        """Return the store's revision, possibly stale, by a cheap read.

        Raises:
            StoreError: The store did not answer.
        """
        answer = await self._get(f'/objects/{kind}?serializable=1', timeout_s)
        return self._decode(answer, _Page).store_revision

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle_connections:
            self._idle_connections.pop().close()

    async def _get(self, path: str, timeout_s: float) -> RawResponse:
        host, port = self._address
        request = f'GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n'
        call = _PendingCall()
        conn = await self._acquire_connection()
        self.call_count += 1
        conn.send(call, request.encode())
        try:
            async with asyncio.timeout(timeout_s):
                answer = await call.fut
        except TimeoutError as exc:
            raise StoreError(
                f'no answer from the store within {timeout_s} s: {path}'
            ) from exc
        finally:
            conn.close_if_owned_by(call)
        if answer.status == _STATUS_GONE:
            raise HistoryGone(
                f'the store no longer keeps the history of {path}'
            )
        if answer.status not in {200, 404}:
            raise StoreError(
                f'the store answered status {answer.status} to {path}'
            )
        return answer

    async def _acquire_connection(self) -> Connection:
        while self._idle_connections:
            conn = self._idle_connections.pop()
            if not conn.closed:
                return conn
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                conn = await connect(*self._address)
        except (OSError, TimeoutError) as exc:
            raise StoreError(f'cannot connect to the store: {exc!r}') from exc
        conn.on_idle = self._idle_connections.append
        return conn

    def _decode(self, answer: RawResponse, document_type: type) -> Any:
        try:
            return msgspec.json.decode(answer.body, type=document_type)
        except (msgspec.DecodeError, msgspec.ValidationError) as exc:
            raise StoreError(
                f'cannot decode the answer of the store: {exc}'
            ) from exc


_STATUS_GONE = 410


def _convert_entry(stored: _Object, *, removed: bool = False) -> StoredEntry:
    return StoredEntry(
        stored.meta.name, stored.meta.revision, stored.spec, removed
    )
