"""HTTP clients for the backend stand-in, compared by `bench.transport`."""

import contextlib
import time

import anyio
import httpcore
import httpx

from ibismount._pool import ConnectionPool
from ibismount.backend import BackendCall, make_backend_client
from ibismount.catalog import BackendServer

__all__ = ('QUERY', 'make_call', 'make_callers')

QUERY = b'{"text": "roof", "limit": 5}'
CONNECTIONS = 40
TRACE_PARENT = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'


def headers(number):
    return [
        ('content-type', 'application/json'),
        ('x-request-id', f'r-{number}'),
        ('x-attempt-id', f'a-{number}'),
        ('x-shard', 'shard-0'),
        ('x-snapshot', 's1'),
        ('x-deadline-ms', '10000'),
        ('x-deadline-at', str(int(time.time() * 1000) + 10_000)),
        ('traceparent', TRACE_PARENT),
    ]


def make_call(number, shard='shard-0'):
    return BackendCall(
        '/search', f'r-{number}', f'a-{number}', shard, 's1', 10.0,
        TRACE_PARENT, QUERY,
    )  # fmt: skip


@contextlib.asynccontextmanager
async def make_callers(port):
    """Yield functions that send a numbered request, by client and method."""
    limits = httpx.Limits(
        max_connections=CONNECTIONS, max_keepalive_connections=CONNECTIONS
    )
    async with (
        httpx.AsyncClient(limits=limits, trust_env=False) as httpx_client,
        httpcore.AsyncConnectionPool(
            max_connections=CONNECTIONS
        ) as httpcore_pool,
    ):
        yield {
            **make_httpx_callers(httpx_client, port),
            **make_httpcore_callers(httpcore_pool, port),
            **make_ibismount_callers(port),
        }


def make_httpx_callers(client, port):
    base_url = f'http://127.0.0.1:{port}'

    async def get(number):
        (await client.get(f'{base_url}/health')).raise_for_status()

    async def post(number):
        reply = await client.post(
            f'{base_url}/search', headers=headers(number), content=QUERY
        )
        reply.raise_for_status()

    return {('httpx', 'GET'): get, ('httpx', 'POST'): post}


def make_httpcore_callers(client, port):
    base_url = f'http://127.0.0.1:{port}'

    async def get(number):
        reply = await client.request('GET', f'{base_url}/health')
        assert reply.status == 200

    async def post(number):
        reply = await client.request(
            'POST', f'{base_url}/search', headers=headers(number), content=QUERY
        )
        assert reply.status == 200

    return {('httpcore', 'GET'): get, ('httpcore', 'POST'): post}


def make_ibismount_callers(port):
    address = f'127.0.0.1:{port}'
    server = BackendServer('b', address, 'z', 'shard-0')
    client = make_backend_client()
    pool = ConnectionPool(address, limit=CONNECTIONS)

    async def open_stream(address):
        return await anyio.connect_tcp('127.0.0.1', port)

    async def get(number):
        conn = await pool.acquire(open_stream)
        answer = await conn.exchange('GET', '/health', (), b'')
        await pool.release(conn, keep=True)
        assert answer.status == 200

    async def post(number):
        await client.call(server, make_call(number), connections=CONNECTIONS)

    return {('ibismount', 'GET'): get, ('ibismount', 'POST'): post}
