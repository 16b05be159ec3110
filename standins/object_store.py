"""Stand-in for the platform's object store: objects, watches and faults.

Serves the calls that `ibismount.platform.store` makes and keeps all objects in
memory. Tests set faults on `ObjectStore`; other processes set them with
``POST /faults``.

Example::

    python -m standins.object_store 127.0.0.1:8229
"""

import asyncio
import collections
import contextlib
import json
import sys
from collections.abc import Callable
from urllib.parse import parse_qs

import anyio.abc

from standins._http_server import (
    HttpRequest,
    HttpResponse,
    ServerConnection,
    json_response,
    listen,
)

__all__ = ('ObjectStore', 'serve_store')

PAGE_SIZE = 50  # objects in one page of a list
HISTORY_LENGTH = 10_000  # events that are kept for watches


class ObjectStore:
    """Objects by kind, with revisions and a history of their changes."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.revision = 1
        self.calls = 0
        # One of: '', 'busy', 'silent', 'reset', 'garbage'.
        self.fault = ''
        # Returns whether the answer to a call is lost, from its target. Nothing
        # more is sent on the connection of such a call.
        self.loses_answer: Callable[[str], bool] = lambda target: False
        self._kinds: dict[str, dict[str, dict]] = {}
        self._history: collections.deque[tuple[int, str, dict]] = (
            collections.deque()
        )
        self._oldest_revision = 0
        self._changed = asyncio.Condition()

    async def put(self, kind: str, name: str, spec: object) -> None:
        """Create or replace an object."""
        self.revision += 1
        meta = {
            'name': name,
            'revision': self.revision,
            'created': 1,
            'finalizers': [],
            'deleting': False,
        }
        stored = {'meta': meta, 'spec': spec, 'status': None}
        self._kinds.setdefault(kind, {})[name] = stored
        await self._record_event(kind, {'object': stored, 'deleted': False})

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self._kinds.get(kind, {}).pop(name, None)
        if stored is None:
            return
        self.revision += 1
        tombstone = {
            **stored,
            'meta': {**stored['meta'], 'revision': self.revision},
        }
        await self._record_event(kind, {'object': tombstone, 'deleted': True})

    async def drop_history(self) -> None:
        """Drop the history, so that watches must list the objects again."""
        self._history.clear()
        self._oldest_revision = self.revision
        async with self._changed:
            self._changed.notify_all()

    def contains(self, kind: str, name: str) -> bool:
        """Return whether an object exists."""
        return name in self._kinds.get(kind, {})

    def list_page(self, kind: str, after: str) -> dict:
        """Return the page of objects that follows a name."""
        objects = self._kinds.get(kind, {})
        names = [name for name in sorted(objects) if name > after]
        return {
            'items': [objects[name] for name in names[:PAGE_SIZE]],
            'has-more': len(names) > PAGE_SIZE,
            'store-revision': self.revision,
        }

    async def watch(self, kind: str, since: int, wait_s: float) -> dict | None:
        """Wait for changes after a revision; None if the history lacks them."""
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            if since < self._oldest_revision:
                return None
            events = [
                event
                for revision, event_kind, event in self._history
                if event_kind == kind and revision > since
            ]
            remaining_s = deadline - asyncio.get_running_loop().time()
            if events or remaining_s <= 0:
                return {'events': events, 'store-revision': self.revision}
            with contextlib.suppress(TimeoutError):
                async with self._changed, asyncio.timeout(remaining_s):
                    await self._changed.wait()

    async def handle_call(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, object]:
        """Handle one call; return the status and a JSON value."""
        self.calls += 1
        path, _, query_string = target.partition('?')
        query = {
            key: values[0] for key, values in parse_qs(query_string).items()
        }
        segments = path.strip('/').split('/')
        if method == 'POST' and segments == ['faults']:
            self.fault = json.loads(body)['fault']
            return 200, {}
        if self.fault == 'busy':
            return 503, {'error': 'busy'}
        if len(segments) < 2 or segments[0] != 'objects':
            return 404, {'error': 'no such path'}
        return await self._handle_objects(method, segments[1:], query, body)

    async def _handle_objects(
        self, method: str, segments: list[str], query: dict, body: bytes
    ) -> tuple[int, object]:
        kind, name = segments[0], segments[1] if len(segments) > 1 else ''
        if method == 'PUT' and name:
            await self.put(kind, name, json.loads(body)['spec'])
            return 200, self._kinds[kind][name]
        if method == 'POST' and not name:
            return await self._create(kind, json.loads(body))
        if method == 'DELETE' and name:
            await self.delete(kind, name)
            return 200, {}
        if name:
            stored = self._kinds.get(kind, {}).get(name)
            return (
                (200, stored) if stored else (404, {'error': 'no such object'})
            )
        if 'watch' not in query:
            return 200, self.list_page(kind, query.get('after', ''))
        wait_s = int(query.get('wait-ms', 0)) / 1000
        changes = await self.watch(kind, int(query['watch']), wait_s)
        return (
            (200, changes)
            if changes
            else (
                410,
                {'error': 'the history no longer contains this revision'},
            )
        )

    async def _create(self, kind: str, document: dict) -> tuple[int, object]:
        name = document['meta']['name']
        if self.contains(kind, name):
            return 409, self._kinds[kind][name]
        await self.put(kind, name, document['spec'])
        return 200, self._kinds[kind][name]

    async def _record_event(self, kind: str, event: dict) -> None:
        self._history.append((self.revision, kind, event))
        if len(self._history) > HISTORY_LENGTH:
            self._oldest_revision = self._history.popleft()[0]
        async with self._changed:
            self._changed.notify_all()


class _StoreConnection(ServerConnection):
    """Connection that applies the store's fault to each response."""

    def __init__(
        self, stream: anyio.abc.SocketStream, store: ObjectStore
    ) -> None:
        """Take over an accepted connection."""
        super().__init__(stream)
        self._store = store

    async def respond(self, request: HttpRequest) -> HttpResponse:
        """Handle one call."""
        status, value = await self._store.handle_call(
            request.method, request.target, request.body
        )
        response = json_response(status, value)
        if request.target == '/faults':
            return response
        fault = self._store.fault
        if fault == 'reset':
            self.reset()
        lost = self._store.loses_answer(request.target)
        self.silent = lost or fault == 'silent'
        if fault == 'garbage':
            truncated = response.body[: len(response.body) // 2]
            return response._replace(body=truncated)
        return response


async def serve_store(
    store: ObjectStore, host: str, port: int
) -> tuple[int, asyncio.Task]:
    """Listen for calls; return the port and the serving task."""

    async def handle(stream: anyio.abc.SocketStream) -> None:
        conn = _StoreConnection(stream, store)
        await conn.serve(conn.respond)

    return await listen(host, port, handle)


async def _main(address: str) -> None:
    host, _, port = address.rpartition(':')
    _, task = await serve_store(ObjectStore(), host, int(port))
    await task


if __name__ == '__main__':
    asyncio.run(_main(sys.argv[1]))
