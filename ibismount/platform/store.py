"""HTTP client of the platform's store: lists, watches, probes and writes."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec

from ibismount.errors import ErrorCode, IbismountError
from ibismount.http_client import (
    Connection,
    ExchangeFailure,
    RawResponse,
    connect,
)
from ibismount.platform.store_pages import (
    EventsPage,
    ListPage,
    PageError,
    StoredObject,
    decode_events,
    decode_list,
)

__all__ = ('HistoryGone', 'Listing', 'StoreClient', 'StoreError', 'StoredEntry')

_PageT = TypeVar('_PageT', ListPage, EventsPage)


class StoreError(IbismountError):
    """Raised when the store does not answer a call, or refuses it."""

    def __init__(self, message: str) -> None:
        """Use the code ``platform_unavailable``."""
        super().__init__(ErrorCode.PLATFORM_UNAVAILABLE, message)


class HistoryGone(StoreError):
    """Raised when the changes since a revision are gone; list again."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredEntry:
    """One object, or its removal; its content may be `UNREADABLE`."""

    name: str
    revision: int
    spec: Any
    removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Objects or changes, with the revision to watch from."""

    entries: list[StoredEntry]
    revision: int


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
    """Read from the platform's store, and write to it.

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
            answer = await self._get(f'/objects/{kind}{query}', timeout_s)
            page = _decode(decode_list, answer)
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
        page = _decode(decode_events, answer)
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
        return _decode(decode_list, answer).store_revision

    async def create(
        self, kind: str, name: str, spec: Any, *, timeout_s: float
    ) -> None:
        """Create an object; do nothing if there is one of its name.

        Raises:
            StoreError: The store did not answer. It may create the object
                all the same.
        """
        body = msgspec.json.encode({'meta': {'name': name}, 'spec': spec})
        await self._call('POST', f'/objects/{kind}', timeout_s, body)

    async def delete(self, kind: str, name: str, *, timeout_s: float) -> None:
        """Remove an object if there is one.

        Raises:
            StoreError: The store did not answer. It may remove the object all
                the same.
        """
        path = f'/objects/{kind}/{quote(name, safe="")}'
        await self._call('DELETE', path, timeout_s)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle_connections:
            self._idle_connections.pop().close()

    async def _get(self, path: str, timeout_s: float) -> RawResponse:
        return await self._call('GET', path, timeout_s)

    async def _call(
        self, method: str, path: str, timeout_s: float, body: bytes = b''
    ) -> RawResponse:
        host, port = self._address
        head = f'{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\n'
        if body:
            head += (
                'Content-Type: application/json\r\n'
                f'Content-Length: {len(body)}\r\n'
            )
        call = _PendingCall()
        conn = await self._acquire_connection()
        self.call_count += 1
        conn.send(call, f'{head}\r\n'.encode() + body)
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
        if answer.status not in _DONE_STATUSES[method]:
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


_STATUS_GONE = 410
# Statuses of calls that need not be repeated: a list of a kind that has no
# objects, an object that exists already or that is gone.
_DONE_STATUSES = {
    'GET': {200, 404},
    'POST': {200, 201, 409},
    'DELETE': {200, 202, 204, 404},
}


def _decode(decode: Callable[[bytes], _PageT], answer: RawResponse) -> _PageT:
    try:
        return decode(answer.body)
    except PageError as exc:
        raise StoreError(str(exc)) from exc


def _convert_entry(
    stored: StoredObject, *, removed: bool = False
) -> StoredEntry:
    return StoredEntry(
        stored.meta.name, stored.meta.revision, stored.spec, removed
    )
