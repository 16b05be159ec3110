"""The HTTP client of the platform against the stand-in server."""

import anyio
import anyio.abc
import pytest

from ibismount.errors import ErrorCode
from ibismount.object_store import (
    MAX_RESPONSE_BYTES,
    PlatformError,
    make_platform,
)
from standins.platform import ObjectStore, make_app, serve

TOKEN = 'secret'


def run_with_server(scenario, *, token=TOKEN):
    """Run a scenario against a store served on a free loopback port."""

    async def run():
        app = make_app(ObjectStore(), token=TOKEN)
        async with anyio.create_task_group() as tasks:
            binds = await tasks.start(start_server, app)
            client = make_platform(binds[0], token=token, timeout_s=0.5)
            await scenario(client, app.state.platform)
            await client.aclose()
            tasks.cancel_scope.cancel()

    anyio.run(run, backend='trio')


async def start_server(app, *, task_status):
    await serve(app, port=0, task_status=task_status)


def test_writes_are_conditional():
    """Guards against two writers that both appear to have created a key."""

    async def scenario(client, served_platform):
        first = await client.create('a/b c/1%', b'one')
        with pytest.raises(PlatformError) as exc_info:
            await client.create('a/b c/1%', b'two')
        assert exc_info.value.code is ErrorCode.ALREADY_EXISTS
        with pytest.raises(PlatformError) as exc_info:
            await client.update(
                'a/b c/1%', b'two', expected_version=first.version + 9
            )
        assert exc_info.value.code is ErrorCode.VERSION_CONFLICT
        await client.update(
            'a/b c/1%', b'three', expected_version=first.version
        )
        assert (await client.get('a/b c/1%')).value == b'three'
        assert [stored.value for stored in await client.list('a/')] == [
            b'three'
        ]
        await client.delete('a/b c/1%')
        assert await client.get('a/b c/1%') is None

    run_with_server(scenario)


def test_lost_write_answer_is_ambiguous_and_outage_is_not():
    """Guards against a lost response that is reported as a failed write."""

    async def scenario(client, served_platform):
        served_platform.faults.lose_write_answers = 1
        with pytest.raises(PlatformError) as exc_info:
            await client.create('k', b'one')
        assert exc_info.value.ambiguous
        assert (await client.get('k')).value == b'one'
        served_platform.faults.outage = True
        with pytest.raises(PlatformError) as exc_info:
            await client.create('k2', b'one')
        assert not exc_info.value.ambiguous

    run_with_server(scenario)


def test_broken_connection_is_ambiguous_and_refused_one_is_not():
    """Guards against confusing writes that were not sent with lost responses."""

    async def run():
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)

        async def close_after_request(stream):
            async with stream:
                await stream.receive()

        client = make_platform(f'http://127.0.0.1:{port}', timeout_s=0.5)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, close_after_request)
            for call, ambiguous in (
                (client.create('k', b''), True),
                (client.delete('k'), True),
                (client.get('k'), False),
            ):
                with pytest.raises(PlatformError) as exc_info:
                    await call
                assert exc_info.value.ambiguous is ambiguous
            tasks.cancel_scope.cancel()
        await listener.aclose()
        with pytest.raises(PlatformError) as exc_info:
            await client.create('k', b'')
        assert not exc_info.value.ambiguous
        await client.aclose()

    anyio.run(run, backend='trio')


def test_limits_refuse_before_any_effect():
    """Guards against a refused call that has an effect."""

    async def scenario(client, served_platform):
        for key, value, code in (
            ('big', bytes(1_000_001), ErrorCode.BODY_TOO_LARGE),
            ('k' * 600, b'', ErrorCode.BAD_REQUEST),
        ):
            with pytest.raises(PlatformError) as exc_info:
                await client.create(key, value)
            assert exc_info.value.code is code
        served_platform.faults.max_writes_per_s = 1
        with pytest.raises(PlatformError) as exc_info:
            for index in range(3):
                await client.create(f'k{index}', b'')
        assert exc_info.value.code is ErrorCode.PLATFORM_UNAVAILABLE
        assert not exc_info.value.ambiguous
        assert len(await client.list('k')) == 1

    run_with_server(scenario)


def test_wrong_token_is_refused():
    """Guards against writes without a valid token."""

    async def scenario(client, served_platform):
        with pytest.raises(PlatformError) as exc_info:
            await client.create('k', b'')
        assert exc_info.value.code is ErrorCode.UNAUTHORIZED
        assert not len(served_platform.store)

    run_with_server(scenario, token='wrong')


def test_watch_answers_on_write_and_large_lists_are_complete():
    """Guards against a missed change and a list truncated to one page."""

    async def scenario(client, served_platform):
        async with anyio.create_task_group() as tasks:

            async def write_later():
                while not served_platform.rate_limiter.meter.watching:
                    await anyio.sleep(0.01)
                served_platform.store.create('c/2', b'two')

            tasks.start_soon(write_later)
            objects = await client.watch('c/', after='c/1', timeout_s=5)
        assert [stored.key for stored in objects] == ['c/2']
        for index in range(9):
            served_platform.store.create(f'big/{index}', bytes(900_000))
        assert len(await client.list('big/')) == 9

    run_with_server(scenario)


# The server of the test below stops here, so that a client without a bound fails.
MAX_SENT_BYTES = 100_000_000


@pytest.mark.parametrize(
    ('start', 'piece'),
    [
        (b'HTTP/1.1 200 OK\r\nx-version: 1\r\n\r\n', b'v' * 65536),
        (b'HTTP/1.1 200 OK\r\nx-a: ', b'v' * 65536),
        (b'HTTP/1.1 500 E\r\n\r\n', b'v' * 65536),
    ],
)
def test_endless_response_is_bounded(start, piece):
    """Bytes without end from the store filled the memory until the timeout."""
    sent_bytes = 0

    async def send_without_end(stream):
        nonlocal sent_bytes
        async with stream:
            await stream.receive()
            try:
                await stream.send(start)
                while sent_bytes < MAX_SENT_BYTES:
                    await stream.send(piece)
                    sent_bytes += len(piece)
            except (anyio.BrokenResourceError, OSError):
                return

    async def run():
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, send_without_end)
            client = make_platform(f'http://127.0.0.1:{port}', timeout_s=10)
            with pytest.raises(PlatformError):
                await client.get('a')
            await client.aclose()
            tasks.cancel_scope.cancel()

    anyio.run(run)
    assert sent_bytes < 2 * MAX_RESPONSE_BYTES
