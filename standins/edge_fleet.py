"""Run edge processes against a stand-in store and stand-in backend servers.

Tests, the demo and the soak run the real program on loopback addresses. The
store and the backend servers run in the calling process, which can inject
faults into them.
"""

import asyncio
import collections
import contextlib
import itertools
import json
import os
import pathlib
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence

import httpx

from standins.faulty_proxy import FaultyProxy
from standins.object_store import ObjectStore, serve_store
from standins.shard_server import ShardServer, serve_shard

__all__ = ('COLD_RATE_PER_S', 'COLD_S', 'SHARDS', 'EdgeFleet')

ROOT = pathlib.Path(__file__).parent.parent
SHARDS = [f's{number}' for number in range(4)]
# How long a server stays cold, and the requests per second that it can handle
# until then from all nodes together.
COLD_S = 3.0
COLD_RATE_PER_S = 6.0
# How long a server that crashed is down.
CRASH_DOWN_S = 1.5
START_TIMEOUT_S = 10  # processes start slowly on a busy CI machine

# Below the range of ports that the kernel assigns to outgoing connections.
PORT_NUMBERS = itertools.count(20000)


def loopback_prefix() -> str:
    """Return the prefix of loopback addresses that only this process uses.

    Tests run in parallel processes. If they shared an address, one could bind
    a port that another has chosen but not bound yet.
    """
    pid = os.getpid()
    return f'127.{1 + (pid >> 8) % 250}.{pid % 256}'


class EdgeFleet:
    """Store and backend servers in this process, and edge subprocesses.

    Args:
        path: Directory for the settings files.
        crash_down_s: How long a server that crashed is down, in seconds.
    """

    def __init__(
        self, path: pathlib.Path, *, crash_down_s: float = CRASH_DOWN_S
    ) -> None:
        """Prepare the fleet; `start` starts it."""
        self.path = path
        self._crash_down_s = crash_down_s
        self.store = ObjectStore()
        self.servers: list[ShardServer] = []
        self.edges: dict[str, asyncio.subprocess.Process] = {}
        self.logs: dict[str, list[dict]] = collections.defaultdict(list)
        self.ips: list[str] = []
        self.proxies: dict[str, FaultyProxy] = {}
        self._request_count = 0
        # Log readers and restarts of servers.
        self._background_tasks: set[asyncio.Task] = set()
        self._tasks: list[asyncio.Task] = []

    async def start(self, edge_count: int = 3) -> None:
        """Start everything and wait until all nodes are ready."""
        port, task = await serve_store(self.store, '127.0.0.1', 0)
        self._tasks.append(task)
        self.store_proxy = FaultyProxy(port)
        self._store_port = await self.store_proxy.start()
        for service in (*SHARDS, 'lookup'):
            for zone in ('z0', 'z1', 'z2'):
                await self.add_server(service, zone)
        await self.configure(1)
        # The first port is for peers; it must be the same on all nodes.
        self.ports = list(itertools.islice(PORT_NUMBERS, 5))
        prefix = loopback_prefix()
        self.ips = [f'{prefix}.{10 + number}' for number in range(edge_count)]
        for ip in self.ips:
            await self.start_edge(ip)
        for ip in self.ips:
            await self.wait_until_ready(ip)

    async def add_server(self, service: str, zone: str) -> None:
        """Start a backend server and write its entry to the store."""
        server = ShardServer(
            f'{service}-{zone}', service, on_crash=self._crash_server
        )
        port, task = await serve_shard(server, '127.0.0.1')
        self._tasks.append(task)
        proxy = FaultyProxy(port)
        self.proxies[server.id] = proxy
        server.port = await proxy.start()
        server.zone = zone
        self.servers.append(server)
        await self.register(server)

    async def register(self, server: ShardServer, state: str = 'ready') -> None:
        """Write a server's entry to the store."""
        now = asyncio.get_running_loop().time()
        cold_s = max(0, server.cold_until - now)
        await self.store.put(
            'servers',
            server.id,
            {
                'backend': server.service,
                'address': f'127.0.0.1:{server.port}',
                'zone': server.zone,
                'version': 'v1',
                'max-concurrency': server.slots,
                'state': state,
                'cold-remaining-ms': round(cold_s * 1000),
                'sequence': 1,
                'born': server.born,
            },
        )

    def _crash_server(self, server: ShardServer) -> None:
        self.proxies[server.id].stop()
        task = asyncio.create_task(self._restart_server(server))
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _restart_server(self, server: ShardServer) -> None:
        await asyncio.sleep(self._crash_down_s)
        await self.replace(server)

    async def replace(self, server: ShardServer) -> None:
        """Begin a new lifetime of a server, and register it."""
        server.born += 1
        server.replaced_at.append(asyncio.get_running_loop().time())
        server.port = await self.proxies[server.id].start()
        await self.register(server)

    async def configure(
        self, version: int, *, booking_number: int | None = None
    ) -> None:
        """Write a version of the configuration to the store.

        Args:
            version: Version of the configuration.
            booking_number: Number in the path of the booking route; the
                version by default.
        """
        route = {
            'hostname': 'a.example',
            'timeout-ms': 3000,
            'attempts': 2,
            'priority': 1,
        }
        search = {
            **route,
            'name': 'search',
            'path-prefix': '/search/',
            'type': 'idempotent',
            'target-latency-ms': 1000,
            'fanout-services': SHARDS,
            'top-k': 3,
            'min-shard-ratio': 0.75,
        }
        booking = {
            **route,
            'name': 'booking',
            'path-prefix': f'/booking{booking_number or version}/',
            'type': 'non_idempotent',
            'target-latency-ms': 1000,
            'backend': 'lookup',
        }
        backends = [
            {
                'name': name,
                'max-connections': 60,
                'cold-start-s': COLD_S,
                'cold-per-s': COLD_RATE_PER_S,
            }
            for name in (*SHARDS, 'lookup')
        ]
        await self.store.put(
            'config',
            'main',
            {
                'version': version,
                'routes': [search, booking],
                'backends': backends,
                'limits': {},
            },
        )

    async def start_edge(self, ip: str) -> None:
        """Start an edge process that listens on an IP address."""
        peer, callers, readiness, directory, metrics = self.ports
        settings = {
            'node': {
                'name': ip,
                'ip': ip,
                'zone': f'z{int(ip[-1]) % 3}',
                'area': 'r',
                'peer_ports': [peer, peer],
                'seeds': [f'{seed_ip}:1' for seed_ip in self.ips[:2]],
            },
            'listen': {
                'callers': f'{ip}:{callers}',
                'readiness': f'{ip}:{readiness}',
                'directory': f'{ip}:{directory}',
                'metrics': f'{ip}:{metrics}',
            },
            'store': {'address': f'127.0.0.1:{self._store_port}'},
            'bounds': {'retry_slack': 100, 'grace_s': 6},
        }
        path = self.path / f'{ip}.yaml'
        path.write_text(json.dumps(settings))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'ibismount.edge',
            str(path),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        self.edges[ip] = process
        reader = asyncio.create_task(self._read_logs(ip, process))
        self._background_tasks.add(reader)
        reader.add_done_callback(self._background_tasks.discard)

    async def restart_edges(self, ips: Sequence[str]) -> AsyncIterator[str]:
        """Kill edge processes at once and start them again; yield the ready ones."""
        for ip in ips:
            self.edges[ip].kill()
        for ip in ips:
            await self.edges[ip].wait()
        for ip in ips:
            await self.start_edge(ip)
        for ip in ips:
            await self.wait_until_ready(ip)
            yield ip

    async def _read_logs(
        self, ip: str, process: asyncio.subprocess.Process
    ) -> None:
        async for line in process.stdout:
            self.logs[ip].append(json.loads(line))

    async def wait_until(
        self, condition: Callable[[], Awaitable[bool]]
    ) -> None:
        """Wait until a condition is true, for at most ``START_TIMEOUT_S``."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await condition():
                await asyncio.sleep(0.05)

    async def wait_until_ready(self, ip: str) -> None:
        """Wait until a node reports that it is ready for callers."""

        async def ready() -> bool:
            with contextlib.suppress(httpx.TransportError):
                url = f'http://{ip}:{self.ports[2]}/readiness'
                async with httpx.AsyncClient() as client:
                    return (await client.get(url)).status_code == 200
            return False

        await self.wait_until(ready)

    async def resolve_addresses(self, ip: str) -> list[str]:
        """Return the addresses that a node's directory returns to callers."""
        url = f'http://{ip}:{self.ports[3]}/resolve?name=a&region=r&zone=z0'
        async with httpx.AsyncClient() as client:
            answer = await client.get(url)
        if answer.status_code != 200:
            return []
        return sorted(answer.json()['addrs'])

    async def read_version(self, ip: str) -> int:
        """Return the version of the configuration that a node uses."""
        url = f'http://{ip}:{self.ports[4]}/metrics'
        async with httpx.AsyncClient() as client:
            answer = await client.get(url)
        name = 'ibismount_version '
        for line in answer.text.splitlines():
            if line.startswith(name):
                return int(float(line.removeprefix(name)))
        return 0

    async def send_new_request(
        self,
        client: httpx.AsyncClient,
        ip: str,
        path: str = '/search/x',
        method: str = 'GET',
    ) -> tuple[str, httpx.Response]:
        """Send a request under a new id; return the id and the response."""
        request_id = self.next_request_id()
        return request_id, await self.send_request(
            client, ip, request_id, path, method
        )

    def next_request_id(self) -> str:
        """Return a new request id."""
        self._request_count += 1
        return f'q{self._request_count:05}'

    async def send_request(
        self,
        client: httpx.AsyncClient,
        ip: str,
        request_id: str,
        path: str,
        method: str,
    ) -> httpx.Response:
        """Send a request with the given id.

        Raises:
            httpx.HTTPError: There was no response.
        """
        return await client.request(
            method,
            f'http://{ip}:{self.ports[1]}{path}',
            headers={
                'Host': 'a.example',
                'Ibismount-Request-Id': request_id,
                'Ibismount-Deadline-Ms': '3000',
            },
        )

    def count_runs(self, request_id: str) -> int:
        """Return how often a request ran, over all servers."""
        return sum(server.run_counts[request_id] for server in self.servers)

    def crash_times(self) -> list[float]:
        """Return when servers crashed, in seconds, in order."""
        return sorted(
            crashed_at
            for server in self.servers
            for _, crashed_at in server.crashes
        )

    async def stop(self) -> None:
        """Stop the edge processes and the servers."""
        for process in self.edges.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
