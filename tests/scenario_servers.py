"""Fake backend servers, reached through a fake backend client."""

import dataclasses
import json

import anyio

from ibismount.backend import (
    BackendCall,
    BackendClient,
    BackendError,
    BackendReply,
)
from ibismount.errors import ErrorCode
from tests.history import WorkStarted

ONE_WAY_S = 0.0005
# Gateways can notice a new generation this long after its first answer: the
# primary sends it to the other gateways in its next tick.
COLD_VISIBLE_AFTER_S = 0.1


@dataclasses.dataclass
class FakeServer:
    """A fake backend server with slots, cold start and faults."""

    id: str
    zone: str
    shard: str
    slots: int
    cold_slots: int
    warm_after: int
    service_s: float
    snapshots: set[str]
    cold: bool = False
    up: bool = True
    generation: int = 1
    boot: int = 1
    answers: int = 0
    cold_visible_at: float = 0
    running: set = dataclasses.field(default_factory=set)
    reset: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    bookings: dict = dataclasses.field(default_factory=dict)

    def turn_cold(self) -> None:
        """Lose the caches without resetting any connection."""
        self.cold = True
        self.generation += 1
        self.answers = 0
        self.cold_visible_at = float('inf')

    def go_down(self) -> None:
        """Reset every connection and every running request."""
        self.up = False
        self.boot += 1
        self.running.clear()
        self.reset.set()
        self.reset = anyio.Event()

    def restart(self) -> None:
        self.turn_cold()
        self.up = True
        # Every gateway with a connection saw it being reset.
        self.cold_visible_at = 0

    def record_answer(self, now: float) -> None:
        self.answers += 1
        self.cold_visible_at = min(
            self.cold_visible_at, now + COLD_VISIBLE_AFTER_S
        )
        if self.answers >= self.warm_after:
            self.cold = False


class FakeClient(BackendClient):
    """The backend client of a simulated node process."""

    def __init__(self, world, process) -> None:
        self.world = world
        self.process = process
        # Boot number of each server at the time its connection was opened.
        self.boot_when_connected: dict[str, int] = {}
        self.silent_servers: set[str] = set()

    async def call(self, server, call: BackendCall, *, connections: int):
        world = self.world
        deadline_at = anyio.current_time() + call.deadline_s
        await self.process.wait_while_paused()
        await anyio.sleep(ONE_WAY_S)
        target: FakeServer = world.servers[server.id]
        if server.id in self.silent_servers:
            await anyio.sleep(max(0, deadline_at - anyio.current_time()))
            raise BackendError(ErrorCode.DEADLINE_EXCEEDED, 'no answer')
        boot = self.boot_when_connected.get(server.id)
        if boot is not None and boot != target.boot:
            self.boot_when_connected.pop(server.id)
            raise BackendError(
                ErrorCode.BACKEND_LOST, 'the connection was reset', lost=True
            )
        if not target.up:
            raise BackendError(
                ErrorCode.BACKEND_LOST, 'connection refused', not_run=True
            )
        self.boot_when_connected[server.id] = target.boot
        self._admit(target, call, deadline_at)
        reply = await self._run(target, call, deadline_at)
        await anyio.sleep(ONE_WAY_S)
        await self.process.wait_while_paused()
        return reply

    def is_connected(self, server) -> bool:
        return server.id in self.boot_when_connected

    async def probe(self, server, *, timeout_s: float) -> bool:
        await anyio.sleep(2 * ONE_WAY_S)
        return self.world.servers[server.id].up

    async def close_idle(self, server) -> None:
        self.silent_servers.discard(server.id)

    def _admit(self, target, call, deadline_at) -> None:
        def refuse(code):
            raise BackendError(
                code, 'refused', not_run=True, generation=str(target.generation)
            )

        if anyio.current_time() >= deadline_at:
            refuse(ErrorCode.DEADLINE_HOPELESS)
        if call.snapshot not in target.snapshots:
            refuse(ErrorCode.SNAPSHOT_NOT_HELD)
        now = anyio.current_time()
        limit = target.cold_slots if target.cold else target.slots
        running = len(target.running) + 1
        self.world.history.append(
            WorkStarted(
                at=now,
                server=target.id,
                zone=target.zone,
                shard=call.shard,
                request_id=call.request_id,
                attempt_id=call.attempt_id,
                snapshot=call.snapshot,
                running=running,
                limit=limit,
                cold=target.cold,
                cold_visible=now >= target.cold_visible_at,
            )
        )

    async def _run(self, target, call, deadline_at) -> BackendReply:
        key = object()
        target.running.add(key)
        reset = target.reset
        text = json.loads(call.body).get('text', '')
        lost = True
        work_s = target.service_s * self.world.rng.uniform(0.5, 1.5)
        work_s *= 4 if target.cold else 1
        work_s = min(work_s, deadline_at - anyio.current_time())
        if text == 'crash':
            self.world.crash(target)
        try:
            with anyio.move_on_after(work_s):
                await reset.wait()
            lost = reset.is_set()
        finally:
            target.running.discard(key)
        if lost:
            self.boot_when_connected.pop(target.id, None)
            raise BackendError(
                ErrorCode.BACKEND_LOST, 'the connection was reset', lost=True
            )
        if anyio.current_time() >= deadline_at:
            raise BackendError(ErrorCode.DEADLINE_EXCEEDED, 'too late')
        target.record_answer(anyio.current_time())
        return BackendReply(
            str(target.generation), call.snapshot, _body(call, text)
        )


def _body(call: BackendCall, text: str) -> bytes:
    row = {
        'id': f'{call.shard}-1',
        'score': 1.0,
        'shard': call.shard,
        'snapshot': call.snapshot,
        'query': text,
    }
    return json.dumps(
        {'snapshot': call.snapshot, 'shard': call.shard, 'results': [row]}
    ).encode()
