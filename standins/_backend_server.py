"""Simulate one backend server: limits, service times and injected faults.

`standins.backend` describes the protocol.
"""

import collections
import dataclasses
import json
import random
import time
from typing import Any, Final

import anyio
import anyio.abc

from standins._http_server import (
    HttpRequest,
    HttpResponse,
    ServerConnection,
    json_response,
)
from standins._records import search

__all__ = ('Backend', 'Settings', 'answer_control')

_MAX_RUNS_KEPT: Final = 200_000


@dataclasses.dataclass(slots=True, kw_only=True)
class Settings:
    """Limits and behaviour of one server; all may change while it runs.

    A fraction ``straggler_rate`` of the requests takes ``straggler_factor``
    times as long, and a fraction ``shed_rate`` is refused. A search whose text
    contains ``crash_text`` crashes the server.
    """

    slots: int = 4
    connections: int = 80
    connect_cost_ms: float = 0
    cold_slots: int = 1
    warm_after: int = 8
    service_ms: float = 5
    straggler_rate: float = 0
    straggler_factor: float = 20
    shed_rate: float = 0
    crash_text: str = ''
    restart_s: float = 0.2
    health_lag_s: float = 5
    drain: bool = False
    snapshots: tuple[str, ...] = ('s1',)


class _DelayedValue:
    """Record the history of a value and return what it was some time ago."""

    def __init__(self, initial: Any) -> None:
        self._history: collections.deque[tuple[float, Any]] = collections.deque(
            [(0, initial)], maxlen=4096
        )

    def set(self, value: Any) -> None:
        self._history.append((time.monotonic(), value))

    def get(self, lag_s: float) -> Any:
        latest_at = time.monotonic() - lag_s
        for set_at, value in reversed(self._history):
            if set_at <= latest_at:
                return value
        return self._history[0][1]


class Backend:
    """One backend server.

    Args:
        shard: Shard that the server holds.
        settings: Limits and behaviour; control requests change them.
        seed: Seed for random stragglers, shedding and generations.
    """

    def __init__(
        self, shard: str, settings: Settings | None = None, *, seed: int = 0
    ) -> None:
        """Create a cold server; `run` starts to listen."""
        self.shard = shard
        self.settings = settings or Settings()
        self.port = 0
        self.is_up = False
        self.generation = ''
        self.counts: collections.Counter[str] = collections.Counter()
        self.runs: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=_MAX_RUNS_KEPT
        )
        self.bookings: list[dict[str, Any]] = []
        self._rng = random.Random(seed)
        self._connections: set[ServerConnection] = set()
        self._accept_lock = anyio.Lock()
        self._resumed = anyio.Event()
        self._resumed.set()
        self._finish_requested = anyio.Event()
        self._down_until: float = 0
        self._listen_scope: anyio.CancelScope | None = None
        self._running = 0
        self._answered_since_cold = 0
        self._status_values = _DelayedValue('ok')
        self._running_values = _DelayedValue(0)
        self._reset_to_cold()

    @property
    def cold(self) -> bool:
        """Whether the server can run only ``cold_slots`` requests at a time."""
        return self._answered_since_cold < self.settings.warm_after

    async def run(
        self,
        host: str = '127.0.0.1',
        port: int = 0,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until cancelled; ``task_status`` gets the port."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._listen_scope = anyio.CancelScope()
                with self._listen_scope:
                    await self._listen(
                        host, self.port or port, tasks, task_status
                    )
                # Connections are refused until the server is up again.
                while time.monotonic() < self._down_until:
                    await anyio.sleep(0.01)

    async def _listen(
        self,
        host: str,
        port: int,
        tasks: anyio.abc.TaskGroup,
        task_status: anyio.abc.TaskStatus[int],
    ) -> None:
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port
        )
        async with listener:
            if not self.port:
                self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
                task_status.started(self.port)
            self.is_up = True
            await listener.serve(self._serve_stream, tasks)

    def apply_control(self, body: dict[str, Any]) -> None:
        """Apply a control request.

        Raises:
            ValueError: The body has an unknown key.
        """
        field_types = {
            field.name: type(field.default)
            for field in dataclasses.fields(Settings)
        }
        unknown = (
            set(body) - set(field_types) - {'kill', 'cold', 'freeze', 'finish'}
        )
        if unknown:
            raise ValueError(f'unknown control keys: {sorted(unknown)}')
        changes = {
            name: field_types[name](body[name])
            for name in field_types
            if name in body
        }
        for name, value in changes.items():
            setattr(self.settings, name, value)
        if 'freeze' in body:
            self._freeze(body['freeze'])
        if body.get('finish'):
            self._finish_requested.set()
            self._finish_requested = anyio.Event()
        if body.get('cold'):
            self._reset_to_cold()
        if 'kill' in body:
            self.crash_and_restart(down_s=float(body['kill']))
        self._status_values.set('draining' if self.settings.drain else 'ok')

    def crash_and_restart(self, *, down_s: float | None = None) -> None:
        """Reset all connections and restart cold."""
        if down_s is None:
            down_s = self.settings.restart_s
        self.counts['restarts'] += 1
        self._down_until = time.monotonic() + down_s
        self.is_up = False
        if self._listen_scope is not None:
            self._listen_scope.cancel()
        self._reset_to_cold()
        for conn in self._connections:
            conn.reset()

    def run_report(self) -> dict[str, Any]:
        """Return counters, runs and bookings, to check what was executed."""
        return {
            'port': self.port,
            'shard': self.shard,
            'generation': self.generation,
            'cold': self.cold,
            'running': self._running,
            'connections': len(self._connections),
            'counts': dict(self.counts),
            'runs': list(self.runs),
            'bookings': self.bookings,
        }

    def _reset_to_cold(self) -> None:
        self.generation = f'{self._rng.getrandbits(48):012x}'
        self._answered_since_cold = 0

    def _freeze(self, mode: str) -> None:
        if mode == 'connections':
            for conn in self._connections:
                conn.silent = True
        elif mode == 'all':
            self._resumed = anyio.Event()
        else:
            self._resumed.set()

    async def _serve_stream(self, stream: anyio.abc.SocketStream) -> None:
        conn = ServerConnection(stream)
        if len(self._connections) >= self.settings.connections:
            self.counts['over_connections'] += 1
            conn.reset()
            await conn.serve(self._respond)
            return
        self._connections.add(conn)
        self._update_peak('peak_connections', len(self._connections))
        self.counts['connections'] += 1
        try:
            async with self._accept_lock:
                await anyio.sleep(self.settings.connect_cost_ms / 1000)
            await conn.serve(self._respond)
        finally:
            self._connections.discard(conn)

    async def _respond(self, req: HttpRequest) -> HttpResponse:
        await self._resumed.wait()
        if req.target in {'/search', '/booking'} and req.method == 'POST':
            response = await self._admit_and_run(req)
        else:
            response = answer_control(self, req)
        headers = [
            ('x-generation', self.generation),
            ('x-attempt-id', req.header('x-attempt-id')),
            *response.headers,
        ]
        return response._replace(headers=headers)

    def _find_refusal(self, req: HttpRequest) -> HttpResponse | None:
        """Return the refusal of a request, or None when it may start."""
        deadline_at = req.header('x-deadline-at')
        if deadline_at and time.time() * 1000 > int(deadline_at):
            return _not_run_response(504, 'the deadline has passed')
        if self.settings.drain:
            return _not_run_response(410, 'draining')
        has_snapshot = req.header('x-snapshot') in self.settings.snapshots
        if not has_snapshot or req.header('x-shard') != self.shard:
            return _not_run_response(
                409, 'the server does not hold this shard or snapshot'
            )
        if self._rng.random() < self.settings.shed_rate:
            return _not_run_response(503, 'shedding load')
        if self._running >= self.settings.slots:
            return _not_run_response(503, 'all slots are in use')
        return None

    async def _admit_and_run(self, req: HttpRequest) -> HttpResponse:
        refusal = self._find_refusal(req)
        if refusal is not None:
            self.counts[f'refused_{refusal.status}'] += 1
            return refusal
        try:
            query = json.loads(req.body)
            text = str(query.get('text', ''))
        except (ValueError, AttributeError):
            return _not_run_response(400, 'the body is not a JSON object')
        if self.cold and self._running >= self.settings.cold_slots:
            self.counts['fell_over_cold'] += 1
            self.crash_and_restart()
            await anyio.sleep_forever()
        return await self._execute(req, query, text)

    async def _execute(
        self, req: HttpRequest, query: dict[str, Any], text: str
    ) -> HttpResponse:
        run = self._record_run(req)
        generation = self.generation
        self._running += 1
        self._update_peak('peak_running', self._running)
        self._running_values.set(self._running)
        try:
            with anyio.move_on_after(self._draw_service_time_s()):
                await self._finish_requested.wait()
            crash_text = self.settings.crash_text
            if crash_text and crash_text in text:
                run['outcome'] = 'crashed'
                self.counts['crashed'] += 1
                self.crash_and_restart()
                await anyio.sleep_forever()
        finally:
            self._running -= 1
            self._running_values.set(self._running)
        run['outcome'] = 'answered'
        self.counts['answered'] += 1
        if generation == self.generation:
            self._answered_since_cold += 1
        return json_response(200, self._build_result(req, query, text))

    def _record_run(self, req: HttpRequest) -> dict[str, Any]:
        """Record a run as started; it stays so if the request is cancelled."""
        run = {
            'path': req.target,
            'request_id': req.header('x-request-id'),
            'attempt_id': req.header('x-attempt-id'),
            'snapshot': req.header('x-snapshot'),
            'at': time.time(),
            'generation': self.generation,
            'outcome': 'started',
        }
        self.runs.append(run)
        self.counts['started'] += 1
        if req.target == '/booking':
            self.bookings.append(run)
        return run

    def _build_result(
        self, req: HttpRequest, query: dict[str, Any], text: str
    ) -> dict[str, Any]:
        snapshot = req.header('x-snapshot')
        if req.target == '/booking':
            results = [{'id': req.header('x-request-id'), 'booked': True}]
        else:
            limit = int(query.get('limit', 10))
            results = search(self.shard, snapshot, text, limit)
        return {
            'snapshot': snapshot,
            'shard': self.shard,
            'results': results,
        }

    def _draw_service_time_s(self) -> float:
        seconds = self.settings.service_ms / 1000
        if self._rng.random() < self.settings.straggler_rate:
            seconds *= self.settings.straggler_factor
        return seconds

    def _update_peak(self, name: str, value: int) -> None:
        self.counts[name] = max(self.counts[name], value)

    def delayed_health(self) -> dict[str, Any]:
        """Return status and load as of ``health_lag_s`` seconds ago."""
        lag_s = self.settings.health_lag_s
        return {
            'status': self._status_values.get(lag_s),
            'running': self._running_values.get(lag_s),
        }


def answer_control(server: Backend, req: HttpRequest) -> HttpResponse:
    """Answer health, load, report and control requests."""
    path = req.target.partition('?')[0]
    if path in {'/health', '/load'}:
        return json_response(200, server.delayed_health())
    if path == '/runs':
        return json_response(200, server.run_report())
    if path == '/control' and req.method == 'POST':
        try:
            server.apply_control(json.loads(req.body))
        except (ValueError, TypeError) as exc:
            return json_response(400, {'error': str(exc)})
        return json_response(200, {})
    return json_response(404, {'error': 'no such path'})


def _not_run_response(status: int, reason: str) -> HttpResponse:
    return json_response(status, {'error': reason}, [('x-not-run', '1')])
