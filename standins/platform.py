"""Stand-in for the platform: serve its object API over HTTP.

The API is described in `docs/design.md` section 2.

Run it with ``python -m standins.platform --port 9100``.
"""

import argparse
import dataclasses
from typing import Any

import anyio
import hypercorn.config
import hypercorn.trio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ibismount.errors import ErrorCode, IbismountError
from ibismount.object_store import Objects, PlatformError
from standins._store import CallMeter, Faults, ObjectStore, RateLimiter

__all__ = (
    'CallMeter',
    'Faults',
    'ObjectStore',
    'PlatformApp',
    'make_app',
    'serve',
)

# A page ends early at this size; the client continues after its last key.
MAX_PAGE_BYTES = 4_000_000
MAX_WATCH_S = 60.0
# The connection of a lost answer stays open until the client closes it, but no
# longer than this.
LOST_ANSWER_HOLD_S = 60.0

_STATUS = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.UNAUTHORIZED: 401,
    ErrorCode.ALREADY_EXISTS: 409,
    ErrorCode.VERSION_CONFLICT: 412,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.PLATFORM_UNAVAILABLE: 503,
}


class PlatformApp:
    """Handlers of the object API over one store."""

    def __init__(self, store: ObjectStore, *, token: str = '') -> None:
        """Serve ``store``; an empty token disables the authorization check."""
        self.store = store
        self.faults = Faults()
        self.rate_limiter = RateLimiter(self.faults)
        self._token = token
        self._changed = anyio.Event()
        store.add_listener(self._wake_watches)

    async def get(self, request: Request) -> Response:
        """Respond with the raw value, or 404 when there is no such object."""
        await self._admit(request, 'reads')
        stored = self.store.get(request.path_params['key'])
        if stored is None:
            return Response(status_code=404)
        return Response(
            stored.value,
            headers={'x-version': str(stored.version)},
            media_type='application/octet-stream',
        )

    async def put(self, request: Request) -> Response:
        """Create with ``If-None-Match: *``, replace with ``If-Match``."""
        value = await request.body()
        await self._admit(request, 'writes')
        key = request.path_params['key']
        if request.headers.get('if-none-match') == '*':
            stored = self.store.create(key, value)
        else:
            expected = _parse_number(request.headers, 'if-match', int)
            stored = self.store.update(key, value, expected_version=expected)
        await self._lose_answer_if_set(request)
        return Response(headers={'x-version': str(stored.version)})

    async def delete(self, request: Request) -> Response:
        """Remove an object."""
        await self._admit(request, 'writes')
        self.store.delete(request.path_params['key'])
        await self._lose_answer_if_set(request)
        return Response(status_code=204)

    async def list(self, request: Request) -> Response:
        """List by prefix; wait up to ``watch_s`` while nothing matches."""
        await self._admit(request, 'reads')
        query = request.query_params
        prefix, after = query.get('prefix', ''), query.get('after', '')
        limit = _parse_number(query, 'limit', int, 1000)
        watch_s = min(_parse_number(query, 'watch_s', float, 0), MAX_WATCH_S)
        objects = self.store.list(prefix, after=after, limit=limit)
        if watch_s > 0 and not objects:
            objects = await self._wait_for_objects(
                prefix, after, limit, watch_s
            )
        return Response(
            msgspec.json.encode(_build_page(objects)),
            media_type='application/json',
        )

    async def meter(self, request: Request) -> Response:
        """Respond with the call counters since the start."""
        meter = self.rate_limiter.read_meter(anyio.current_time())
        return JSONResponse(dataclasses.asdict(meter))

    async def set_faults(self, request: Request) -> Response:
        """Set the faults in the body; the others stay unchanged."""
        for name, value in (await request.json()).items():
            if name not in Faults.__slots__:
                return Response(f'unknown fault: {name}', status_code=400)
            setattr(self.faults, name, value)
        # Wakes the waiting watches, which an outage ends.
        self._wake_watches()
        return JSONResponse(dataclasses.asdict(self.faults))

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _admit(self, request: Request, kind: str) -> None:
        authorization = request.headers.get('authorization', '')
        if self._token and authorization != f'Bearer {self._token}':
            raise IbismountError(
                ErrorCode.UNAUTHORIZED,
                'the authorization header does not hold the platform token',
            )
        self.rate_limiter.admit(anyio.current_time(), kind=kind)
        if self.faults.delay_s:
            await anyio.sleep(self.faults.delay_s)

    async def _wait_for_objects(
        self, prefix: str, after: str, limit: int, watch_s: float
    ) -> Objects:
        self.rate_limiter.watch_started(anyio.current_time())
        objects: Objects = []
        try:
            with anyio.move_on_after(watch_s):
                while not objects:
                    await self._changed.wait()
                    if self.faults.outage:
                        raise PlatformError(
                            'the platform is unavailable: outage fault is set'
                        )
                    objects = self.store.list(prefix, after=after, limit=limit)
        finally:
            self.rate_limiter.watch_ended(anyio.current_time())
        return objects

    async def _lose_answer_if_set(self, request: Request) -> None:
        if not self.faults.consume_lost_answer():
            return
        self.rate_limiter.meter.lost_answers += 1
        with anyio.move_on_after(LOST_ANSWER_HOLD_S):
            disconnected = False
            while not disconnected:
                event = await request.receive()
                disconnected = event['type'] == 'http.disconnect'


def make_app(store: ObjectStore, *, token: str = '') -> Starlette:
    """Build the ASGI application over ``store``."""
    platform = PlatformApp(store, token=token)
    key_path = '/objects/{key:path}'
    app = Starlette(
        routes=[
            Route('/objects', platform.list, methods=['GET']),
            Route(key_path, platform.get, methods=['GET']),
            Route(key_path, platform.put, methods=['PUT']),
            Route(key_path, platform.delete, methods=['DELETE']),
            Route('/meter', platform.meter, methods=['GET']),
            Route('/faults', platform.set_faults, methods=['POST']),
        ],
        exception_handlers={IbismountError: _answer_error},
    )
    app.state.platform = platform
    return app


async def serve(
    app: Starlette, *, port: int, host: str = '127.0.0.1', **options: Any
) -> None:
    """Serve until cancelled; ``options`` go to hypercorn's ``serve``."""
    cfg = hypercorn.config.Config()
    cfg.bind = [f'{host}:{port}']
    cfg.graceful_timeout = 0.2
    cfg.errorlog = None
    await hypercorn.trio.serve(app, cfg, **options)


async def _answer_error(request: Request, exc: Exception) -> Response:
    code = getattr(exc, 'code', ErrorCode.PLATFORM_UNAVAILABLE)
    return JSONResponse(
        {'code': code, 'message': str(exc)}, status_code=_STATUS[code]
    )


def _parse_number(
    values: Any, name: str, number_type: type, default: Any = None
) -> Any:
    try:
        return number_type(values.get(name, default))
    except (TypeError, ValueError) as exc:
        raise PlatformError(
            f'{name} must be a number', code=ErrorCode.BAD_REQUEST, place=name
        ) from exc


def _build_page(objects: Objects) -> dict[str, Any]:
    """Return a page; values are encoded as base64."""
    entries: list[dict[str, Any]] = []
    size = 0
    for stored in objects:
        size += len(stored.value)
        if entries and size > MAX_PAGE_BYTES:
            break
        entries.append(
            {
                'key': stored.key,
                'version': stored.version,
                'value': stored.value,
            }
        )
    return {'objects': entries, 'more': len(entries) < len(objects)}


def main() -> None:
    """Run the stand-in from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=9100)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--token', default='')
    options = parser.parse_args()

    async def run() -> None:
        app = make_app(ObjectStore(), token=options.token)
        await serve(app, port=options.port, host=options.host)

    anyio.run(run, backend='trio')


if __name__ == '__main__':
    main()
