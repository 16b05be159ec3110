"""Tests that the backend client reports what ran and keeps its limits.

The tests run against the stand-in, or a scripted server, over loopback.
"""

import contextlib
import functools
import json
import random
import time

import anyio
import pytest
from trio.testing import MockClock

from ibismount import backend as backend_module
from ibismount._http1 import Http1Connection
from ibismount._pool import ConnectionPool
from ibismount.backend import BackendCall, BackendError, make_backend_client
from ibismount.catalog import BackendServer
from ibismount.errors import ErrorCode
from standins.backend import Backend, Settings, serve_all

WARM = {'warm_after': 0, 'service_ms': 1}


def make_call(number=1, **changes):
    fields = {
        'path': '/search',
        'request_id': f'r-{number}',
        'attempt_id': f'a-{number}',
        'shard': 'shard-0',
        'snapshot': 's1',
        'deadline_s': 20,
        'trace_parent': '',
        'body': b'{"text": "roof", "limit": 2}',
    }
    return BackendCall(**{**fields, **changes})


def make_server(port):
    return BackendServer('b0', f'127.0.0.1:{port}', 'z1', 'shard-0')


@contextlib.asynccontextmanager
async def standin(**settings):
    """Run one stand-in; yield it and the server's catalog entry."""
    server = Backend('shard-0', Settings(**{**WARM, **settings}))
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(server.run)
        yield server, make_server(port)
        tasks.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def scripted(answer):
    """Run a server that sends ``answer(request bytes)`` and then closes."""

    async def serve(stream):
        async with stream:
            with contextlib.suppress(anyio.BrokenResourceError):
                await stream.send(answer(await stream.receive()))

    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        tasks.start_soon(listener.serve, serve)
        yield make_server(port)
        tasks.cancel_scope.cancel()
    await listener.aclose()


async def error_of(client, server, call, connections=4):
    with pytest.raises(BackendError) as caught:
        await client.call(server, call, connections=connections)
    return caught.value


async def wait_until(condition):
    with anyio.fail_after(10):
        while not condition():
            await anyio.sleep(0.005)


REFUSALS = {
    'sheds': ({'shed_rate': 1}, {}, ErrorCode.BACKEND_SHED),
    'drains': ({'drain': True}, {}, ErrorCode.BACKEND_LEAVING),
    'other snapshot': ({}, {'snapshot': 's9'}, ErrorCode.SNAPSHOT_NOT_HELD),
    'other shard': ({}, {'shard': 'x'}, ErrorCode.SNAPSHOT_NOT_HELD),
}


@pytest.mark.parametrize('case', REFUSALS)
def test_refusal_reports_not_run_and_nothing_ran(case):
    """Guards against a refusal with a wrong code, or whose work ran."""
    settings, changes, code = REFUSALS[case]

    async def scenario():
        async with standin(**settings) as (server, entry):
            client = make_backend_client()
            error = await error_of(client, entry, make_call(**changes))
            assert (error.code, error.not_run, error.lost) == (
                code,
                True,
                False,
            )
            assert error.generation == server.generation
            assert not server.runs

    anyio.run(scenario)


@pytest.mark.parametrize('backend', ['asyncio', 'trio'])
def test_search_is_answered_and_the_connection_reused(backend):
    """Guards against a new connection for each request."""

    async def scenario():
        async with standin() as (server, entry):
            client = make_backend_client()
            for number in range(5):
                reply = await client.call(
                    entry, make_call(number), connections=4
                )
            assert reply.snapshot == 's1'
            assert reply.generation == server.generation
            assert server.counts['connections'] == 1
            assert [run['attempt_id'] for run in server.runs] == [
                f'a-{number}' for number in range(5)
            ]

    anyio.run(scenario, backend=backend)


def test_late_arrival_is_refused_by_the_server():
    """Guards against work that starts after the deadline."""

    async def scenario():
        async with standin() as (server, entry):
            client = make_backend_client(unix_time=lambda: time.time() - 60)
            error = await error_of(client, entry, make_call())
            assert error.code is ErrorCode.DEADLINE_EXCEEDED
            assert error.not_run
            assert not server.runs

    anyio.run(scenario)


class SilentStream(anyio.abc.ByteStream):
    """Discard what is sent; return a fixed answer, or none."""

    def __init__(self, answer=b''):
        self.closed = False
        self._answer = answer

    async def send(self, item):
        await anyio.sleep(0)

    async def receive(self, max_bytes=65536):
        if not self._answer:
            await anyio.sleep_forever()
        return self._answer

    async def send_eof(self):
        await self.aclose()

    async def aclose(self):
        self.closed = True


def run_virtual(scenario):
    clock = MockClock(autojump_threshold=0)
    return anyio.run(scenario, backend='trio', backend_options={'clock': clock})


def test_timeout_reports_not_run_only_before_sending():
    """Guards against 'not run' for work that the server may have started."""

    async def scenario():
        streams = []

        async def open_silent(address):
            streams.append(SilentStream())
            return streams[-1]

        async def open_never(address):
            await anyio.sleep_forever()

        entry = make_server(1)
        client = make_backend_client(open_stream=open_silent)
        sent, waiting = make_call(1, deadline_s=3), make_call(2, deadline_s=1)
        errors = {}

        async def collect(call):
            errors[call] = await error_of(client, entry, call, connections=1)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(collect, sent)
            await anyio.sleep(1)
            tasks.start_soon(collect, waiting)
        assert not errors[sent].not_run
        assert errors[waiting].not_run
        assert [stream.closed for stream in streams] == [True]
        unopened = make_backend_client(open_stream=open_never)
        assert (await error_of(unopened, entry, sent)).not_run
        late = await error_of(client, entry, make_call(deadline_s=0))
        assert late.code is ErrorCode.DEADLINE_HOPELESS
        assert late.not_run
        for error in (*errors.values(), late):
            assert not error.lost

    run_virtual(scenario)


def test_cancelled_call_stops_the_work():
    """Guards against work that continues after the call is cancelled."""

    async def scenario():
        async with standin(service_ms=60_000) as (server, entry):
            client = make_backend_client()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    lambda: client.call(entry, make_call(), connections=4)
                )
                await wait_until(lambda: server.runs)
                tasks.cancel_scope.cancel()
            await wait_until(lambda: not server.run_report()['running'])
            await wait_until(lambda: not server.run_report()['connections'])
            assert server.runs[0]['outcome'] == 'started'

    anyio.run(scenario)


def test_reset_while_running_is_lost():
    """Guards against a lost booking that is reported as not run."""

    async def scenario():
        async with standin(crash_text='boom') as (server, entry):
            client = make_backend_client()
            generation = server.generation
            error = await error_of(
                client, entry, make_call(body=b'{"text": "boom"}')
            )
            assert error.code is ErrorCode.BACKEND_LOST
            assert error.lost
            assert not error.not_run
            assert server.generation != generation

    anyio.run(scenario)


@pytest.mark.parametrize('text', ['x\r\nx-shard: other', '\ud800'])
def test_request_that_is_not_http_is_refused(text):
    """Guards against header injection, and against an encoding error."""

    async def scenario():
        async with standin() as (server, entry):
            client = make_backend_client()
            error = await error_of(client, entry, make_call(trace_parent=text))
            assert error.code is ErrorCode.BAD_REQUEST
            assert error.not_run
            assert not server.runs

    anyio.run(scenario)


def test_refused_connection_is_not_run():
    """Guards against 'unknown' for a request that was never sent."""

    async def scenario():
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        await listener.aclose()
        client = make_backend_client()
        error = await error_of(client, make_server(port), make_call())
        assert error.code is ErrorCode.BACKEND_LOST
        assert error.not_run
        assert not error.lost

    anyio.run(scenario)


async def book_after_server_closed(backend):
    """Book on a pool whose idle connection the server has closed."""
    async with standin() as (server, entry):
        client = make_backend_client()
        await client.call(entry, make_call(1), connections=4)
        server.crash_and_restart(down_s=0)
        await wait_until(lambda: server.is_up)
        try:
            await client.call(
                entry, make_call(2, path='/booking'), connections=4
            )
        except BackendError as exc:
            return exc, server.bookings
        return None, server.bookings


@pytest.mark.parametrize('backend', ['asyncio', 'trio'])
def test_closed_idle_connection_is_not_used(backend):
    """Guards against work on a server whose cold restart went undetected.

    The closed connection is the only sign of the restart, so the request is
    reported as not run instead of being sent on a new connection.
    """
    error, bookings = anyio.run(
        book_after_server_closed, backend, backend=backend
    )
    assert error.not_run
    assert error.lost
    assert not bookings


def test_closed_idle_connection_is_lost_without_the_check(monkeypatch):
    """Shows the lost request when idle connections are not checked."""
    monkeypatch.setattr(Http1Connection, 'is_stale', lambda self: False)
    error, bookings = anyio.run(book_after_server_closed, 'asyncio')
    assert error.lost
    assert not error.not_run
    assert not bookings


async def run_many_calls(connections):
    """Run 40 calls at once; return the server's counters."""
    async with standin(slots=40, connections=5) as (server, entry):
        client = make_backend_client()

        async def run_call(number):
            with contextlib.suppress(BackendError):
                await client.call(
                    entry, make_call(number), connections=connections
                )

        async with anyio.create_task_group() as tasks:
            for number in range(40):
                tasks.start_soon(run_call, number)
            await client.probe(entry, timeout_s=10)
        return server.counts


def test_connection_limit_is_kept():
    """Guards against more connections than the server allows."""
    counts = anyio.run(run_many_calls, 5)
    assert counts['over_connections'] == 0
    assert counts['peak_connections'] <= 5
    assert counts['answered'] == 40


def test_connection_limit_is_exceeded_without_the_bound(monkeypatch):
    """Shows the violation when the pool does not count connections."""
    monkeypatch.setattr(ConnectionPool, 'acquire', ConnectionPool._open_new)
    counts = anyio.run(run_many_calls, 5)
    assert counts['over_connections'] > 0


async def lower_limit():
    """Return the open connections after a call with a lower limit."""
    async with standin(slots=8, service_ms=60_000) as (server, entry):
        client = make_backend_client()

        async def run_call(number, connections):
            await client.call(entry, make_call(number), connections=connections)

        async with anyio.create_task_group() as tasks:
            for number in range(4):
                tasks.start_soon(run_call, number, 8)
            # All connections are open before the first answer.
            await wait_until(lambda: server.run_report()['running'] == 4)
            server.apply_control({'finish': True, 'service_ms': 1})
        await run_call(9, 2)
        await client.probe(entry, timeout_s=10)
        return server.run_report()['connections']


def test_lowered_limit_closes_idle_connections():
    """Guards against connections beyond a reduced share."""
    assert anyio.run(lower_limit) <= 2


def test_lowered_limit_is_exceeded_without_closing(monkeypatch):
    """Shows the violation when only new connections are counted."""

    async def resize(self, limit):
        self.limit = limit

    monkeypatch.setattr(ConnectionPool, 'resize', resize)
    monkeypatch.setattr(ConnectionPool, 'acquire_new', ConnectionPool.acquire)
    assert anyio.run(lower_limit) > 2


def test_connections_to_removed_servers_are_closed():
    """Guards against a connection leak after servers leave the catalog."""

    async def scenario():
        streams = []

        async def open_silent(address):
            streams.append(SilentStream(http_answer(GOOD, len(GOOD), 'a-1')))
            return streams[-1]

        client = make_backend_client(open_stream=open_silent)
        for port in (1, 2, 2):
            await client.call(make_server(port), make_call(1), connections=4)
            await anyio.sleep(40)
        assert [stream.closed for stream in streams] == [True, False]

    run_virtual(scenario)


class CountedStream(SilentStream):
    """Answer after a random delay and track the open streams."""

    def __init__(self, rng, opened):
        super().__init__(http_answer(GOOD, len(GOOD), 'a-1'))
        self._rng = rng
        self._opened = opened
        opened.add(self)

    async def receive(self, max_bytes=65536):
        await anyio.sleep(self._rng.expovariate(2))
        return self._answer

    async def aclose(self):
        self._opened.discard(self)


async def cancel_at_random(seed, limit):
    """Run calls that time out or are cancelled; return the peak count."""
    rng = random.Random(seed)
    opened, peak = set(), 0

    async def open_counted(address):
        nonlocal peak
        await anyio.sleep(rng.uniform(0, 0.2))
        stream = CountedStream(rng, opened)
        peak = max(peak, len(opened))
        return stream

    client = make_backend_client(open_stream=open_counted)
    entry = make_server(1)

    async def run_call():
        await anyio.sleep(rng.uniform(0, 20))
        call = make_call(1, deadline_s=rng.uniform(0.1, 5))
        with contextlib.suppress(BackendError):
            with anyio.move_on_after(rng.uniform(0.1, 5)):
                if rng.random() < 0.1:
                    await client.probe(entry, timeout_s=1)
                elif rng.random() < 0.05:
                    await client.close_idle(entry)
                else:
                    await client.call(entry, call, connections=limit)

    async with anyio.create_task_group() as tasks:
        for _ in range(150):
            tasks.start_soon(run_call)
    pool = next(iter(client._pools.values()))
    assert pool.open_count == len(opened)
    await client.close_idle(entry)
    assert not opened
    return peak


@pytest.mark.parametrize('seed', range(8))
def test_cancelled_calls_leak_no_connection(seed):
    """Guards against a wrong count, which blocks or overloads a server."""
    limit = 1 + seed
    assert run_virtual(functools.partial(cancel_at_random, seed, limit)) <= (
        limit
    )


def http_answer(body, length, attempt):
    return (
        f'HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n'
        f'x-attempt-id: {attempt}\r\nx-generation: g\r\n\r\n'
    ).encode() + body


GOOD = b'{"snapshot": "s1", "shard": "shard-0", "results": []}'
WRONG_ANSWERS = {
    'short body': (http_answer(GOOD, len(GOOD) + 1, 'a-1'), True),
    'other shard': (
        http_answer(GOOD.replace(b'-0', b'-1'), len(GOOD), 'a-1'),
        False,
    ),
    'other attempt': (http_answer(GOOD, len(GOOD), 'a-2'), False),
    'no attempt': (http_answer(GOOD, len(GOOD), ''), False),
    'long body': (http_answer(GOOD + b'x', len(GOOD), 'a-1'), False),
    'not JSON': (http_answer(b'[' * 99_999, 99_999, 'a-1'), False),
    'odd generation': (
        http_answer(GOOD, len(GOOD), 'a-1').replace(b' g', b''),
        False,
    ),
    'not HTTP': (b'hello\r\n\r\n', False),
    'nothing': (b'', True),
    'other refusal': (
        http_answer(b'', 0, 'a-2').replace(
            b'200 OK', b'503 Busy\r\nx-not-run: 1'
        ),
        False,
    ),
}


@pytest.mark.parametrize('case', WRONG_ANSWERS)
def test_wrong_answers_are_errors_and_never_not_run(case):
    """Guards against a mismatched, truncated or malformed answer."""
    raw, lost = WRONG_ANSWERS[case]

    async def scenario():
        async with scripted(lambda request: raw) as entry:
            client = make_backend_client()
            error = await error_of(client, entry, make_call())
            assert error.code is ErrorCode.BACKEND_LOST
            assert not error.not_run
            assert error.lost is lost
            pool = next(iter(client._pools.values()))
            assert pool.open_count == 0

    anyio.run(scenario)


def test_crossed_answer_is_delivered_without_the_check(monkeypatch):
    """Shows the violation when the attempt id is not compared."""
    monkeypatch.setattr(
        backend_module, '_check_attempt', lambda answer, call: None
    )
    raw, _ = WRONG_ANSWERS['other attempt']

    async def scenario():
        async with scripted(lambda request: raw) as entry:
            client = make_backend_client()
            reply = await client.call(entry, make_call(), connections=4)
            assert reply.body == GOOD

    anyio.run(scenario)


def test_probe_distinguishes_silent_connections_from_a_silent_server():
    """Guards against ejecting a server with only one silent connection."""

    async def scenario():
        async with standin() as (server, entry):
            client = make_backend_client()
            await client.call(entry, make_call(1), connections=4)
            server.apply_control({'freeze': 'connections'})
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    lambda: client.call(entry, make_call(2), connections=4)
                )
                await wait_until(lambda: len(server.runs) == 2)
                assert await client.probe(entry, timeout_s=10)
                tasks.cancel_scope.cancel()
            await client.close_idle(entry)
            await client.call(entry, make_call(3), connections=4)
            server.apply_control({'freeze': 'all'})
            assert not await client.probe(entry, timeout_s=0.1)

    anyio.run(scenario)


def test_cold_standin_falls_over_above_its_cold_slots():
    """Guards against a stand-in that tolerates load in a cold start."""

    async def scenario():
        # The first request runs until the second one arrives.
        settings = {
            'service_ms': 60_000,
            'cold_slots': 1,
            'warm_after': 3,
            'restart_s': 0,
        }
        async with standin(**settings) as (server, entry):
            client = make_backend_client()
            async with anyio.create_task_group() as tasks:
                for number in range(2):
                    tasks.start_soon(error_of, client, entry, make_call(number))
            assert server.counts['fell_over_cold'] == 1
            server.apply_control({'service_ms': 1})
            await wait_until(lambda: server.is_up)
            for number in range(3):
                await client.call(entry, make_call(number), connections=4)
            assert not server.cold

    anyio.run(scenario)


def test_control_port_reaches_each_server_even_when_it_is_down():
    """Guards against a demo fault that affects another server, or none."""

    # The command line builds the servers before an event loop runs.
    servers = [Backend(f'shard-{number}') for number in range(3)]

    async def scenario():
        async def ask(method, path, server, request=b''):
            stream = await anyio.connect_tcp('127.0.0.1', control_port)
            conn = Http1Connection(stream, host='control')
            target = f'{path}?server={servers[server].port}'
            answer = await conn.exchange(method, target, (), request)
            await conn.aclose()
            return answer.status, json.loads(answer.body)

        async with anyio.create_task_group() as tasks:
            control_port = await tasks.start(serve_all, servers)
            assert await ask('POST', '/control', 1, b'{"kill": 60}') == (
                200,
                {},
            )
            await wait_until(lambda: not servers[1].is_up)
            status, history = await ask('GET', '/runs', 1)
            assert (status, history['shard']) == (200, 'shard-1')
            bad = b'{"drain": true, "slots": "many"}'
            assert (await ask('POST', '/control', 0, bad))[0] == 400
            assert [server.settings.drain for server in servers] == [False] * 3
            assert [server.is_up for server in servers] == [True, False, True]
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
