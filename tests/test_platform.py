"""The HTTP client and the stand-in agree, also about lost answers."""

import anyio
import anyio.abc
import pytest

from ibismount.errors import ErrorCode
from ibismount.object_store import PlatformError, make_platform
from standins.platform import ObjectStore, make_app, serve

TOKEN = 'secret'


def run_served(body, *, token=TOKEN):
    """Serve a store on a free loopback port while ``body`` runs."""

    async def run():
        app = make_app(ObjectStore(), token=TOKEN)
        async with anyio.create_task_group() as tasks:
            binds = await tasks.start(start_serving, app)
            client = make_platform(binds[0], token=token, timeout_s=0.5)
            await body(client, app.state.platform)
            await client.aclose()
            tasks.cancel_scope.cancel()

    anyio.run(run, backend='trio')


async def start_serving(app, *, task_status):
    await serve(app, port=0, task_status=task_status)


def test_writes_are_conditional():
    """Guards against two writers that both believe they created a key."""

    async def body(client, served):
        first = await client.create('a/b c/1%', b'one')
        with pytest.raises(PlatformError) as caught:
            await client.create('a/b c/1%', b'two')
        assert caught.value.code is ErrorCode.ALREADY_EXISTS
        with pytest.raises(PlatformError) as caught:
            await client.update(
                'a/b c/1%', b'two', expected_version=first.version + 9
            )
        assert caught.value.code is ErrorCode.VERSION_CONFLICT
        await client.update(
            'a/b c/1%', b'three', expected_version=first.version
        )
        assert (await client.get('a/b c/1%')).value == b'three'
        assert [one.value for one in await client.list('a/')] == [b'three']
        await client.delete('a/b c/1%')
        assert await client.get('a/b c/1%') is None

    run_served(body)


def test_lost_write_answer_is_ambiguous_and_outage_is_not():
    """Guards against a lost answer that is reported as a failed write."""

    async def body(client, served):
        served.faults.lose_write_answers = 1
        with pytest.raises(PlatformError) as caught:
            await client.create('k', b'one')
        assert caught.value.ambiguous
        assert (await client.get('k')).value == b'one'
        served.faults.outage = True
        with pytest.raises(PlatformError) as caught:
            await client.create('k2', b'one')
        assert not caught.value.ambiguous

    run_served(body)


def test_broken_and_refused_connections_differ():
    """Guards against mixing up writes that never left with lost answers."""

    async def run():
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)

        async def hang_up(stream):
            async with stream:
                await stream.receive()

        client = make_platform(f'http://127.0.0.1:{port}', timeout_s=0.5)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, hang_up)
            for call, ambiguous in (
                (client.create('k', b''), True),
                (client.delete('k'), True),
                (client.get('k'), False),
            ):
                with pytest.raises(PlatformError) as caught:
                    await call
                assert caught.value.ambiguous is ambiguous
            tasks.cancel_scope.cancel()
        await listener.aclose()
        with pytest.raises(PlatformError) as caught:
            await client.create('k', b'')
        assert not caught.value.ambiguous
        await client.aclose()

    anyio.run(run, backend='trio')


def test_limits_refuse_before_any_effect():
    """Guards against a refused call that changes something anyway."""

    async def body(client, served):
        for key, value, code in (
            ('big', bytes(1_000_001), ErrorCode.BODY_TOO_LARGE),
            ('k' * 600, b'', ErrorCode.BAD_REQUEST),
        ):
            with pytest.raises(PlatformError) as caught:
                await client.create(key, value)
            assert caught.value.code is code
        served.faults.max_writes_per_s = 1
        with pytest.raises(PlatformError) as caught:
            for index in range(3):
                await client.create(f'k{index}', b'')
        assert caught.value.code is ErrorCode.PLATFORM_UNAVAILABLE
        assert not caught.value.ambiguous
        assert len(await client.list('k')) == 1

    run_served(body)


def test_wrong_token_is_refused():
    """Guards against writes by anybody who reaches the port."""

    async def body(client, served):
        with pytest.raises(PlatformError) as caught:
            await client.create('k', b'')
        assert caught.value.code is ErrorCode.UNAUTHORIZED
        assert not len(served.store)

    run_served(body, token='wrong')


def test_watch_answers_on_write_and_large_lists_are_complete():
    """Guards against a missed change and a list cut off at a page."""

    async def body(client, served):
        async with anyio.create_task_group() as tasks:

            async def write_later():
                while not served.rate_limiter.meter.watching:
                    await anyio.sleep(0.01)
                served.store.create('c/2', b'two')

            tasks.start_soon(write_later)
            found = await client.watch('c/', after='c/1', timeout_s=5)
        assert [one.key for one in found] == ['c/2']
        for index in range(9):
            served.store.create(f'big/{index}', bytes(900_000))
        assert len(await client.list('big/')) == 9

    run_served(body)
