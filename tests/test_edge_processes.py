"""Real edge processes between a stand-in store and stand-in servers."""

import asyncio
import collections
import contextlib
import itertools
import json
import os
import pathlib
import signal
import sys

import httpx
import pytest
from prometheus_client.parser import text_string_to_metric_families

from standins.object_store import ObjectStore, serve_store
from standins.shard_server import ShardServer, serve_shard

ROOT = pathlib.Path(__file__).parent.parent
SHARDS = [f's{number}' for number in range(4)]
START_S = 10  # generous: CI machines are busy


# Below the range of ports that the system gives to outgoing connections.
PORTS = itertools.count(20000)


def own_network():
    """Return the start of loopback addresses that only this process uses.

    Tests run in parallel processes; on shared addresses one of them took a
    port of another between its choice and its use.
    """
    pid = os.getpid()
    return f'127.{1 + (pid >> 8) % 250}.{pid % 256}'


class Town:
    """A store, servers, and edge processes on loopback addresses."""

    def __init__(self, path):
        self.path = path
        self.store = ObjectStore()
        self.servers = []
        self.edges = {}
        self.logs = collections.defaultdict(list)
        self.number = 0

    async def start(self, edges=3):
        self.store_server = await serve_store(self.store, '127.0.0.1', 0)
        self.store_port = self.store_server.sockets[0].getsockname()[1]
        for service in (*SHARDS, 'lookup'):
            for zone in ('z0', 'z1', 'z2'):
                await self.add_server(service, zone)
        await self.configure(1)
        # The first port serves peers and is the same on all nodes.
        self.ports = list(itertools.islice(PORTS, 5))
        network = own_network()
        self.ips = [f'{network}.{10 + number}' for number in range(edges)]
        for ip in self.ips:
            await self.start_edge(ip)
        for ip in self.ips:
            await self.until_ready(ip)

    async def add_server(self, service, zone):
        one = ShardServer(f'{service}-{zone}', service)
        listener = await serve_shard(one, '127.0.0.1')
        one.port = listener.sockets[0].getsockname()[1]
        one.zone = zone
        self.servers.append(one)
        await self.register(one)

    async def register(self, one, state='ready'):
        await self.store.put(
            'servers',
            one.id,
            {
                'backend': one.service,
                'address': f'127.0.0.1:{one.port}',
                'zone': one.zone,
                'version': 'v1',
                'max-concurrency': one.slots,
                'state': state,
                'cold-remaining-ms': 0,
                'sequence': 1,
                'born': 1,
            },
        )

    async def configure(self, version):
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
            'path-prefix': f'/booking{version}/',
            'type': 'non_idempotent',
            'target-latency-ms': 1000,
            'backend': 'lookup',
        }
        backends = [
            {'name': name, 'max-connections': 60}
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

    async def start_edge(self, ip):
        peer, callers, readiness, directory, metrics = self.ports
        settings = {
            'node': {
                'name': ip,
                'ip': ip,
                'zone': f'z{int(ip[-1]) % 3}',
                'area': 'r',
                'peer_ports': [peer, peer],
                'seeds': [f'{one}:1' for one in self.ips[:2]],
            },
            'listen': {
                'callers': f'{ip}:{callers}',
                'readiness': f'{ip}:{readiness}',
                'directory': f'{ip}:{directory}',
                'metrics': f'{ip}:{metrics}',
            },
            'store': {'address': f'127.0.0.1:{self.store_port}'},
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
        asyncio.create_task(self._read(ip, process))

    async def _read(self, ip, process):
        async for line in process.stdout:
            self.logs[ip].append(json.loads(line))

    async def until(self, check):
        async with asyncio.timeout(START_S):
            while not await check():
                await asyncio.sleep(0.05)

    async def until_ready(self, ip):
        async def ready():
            with contextlib.suppress(httpx.TransportError):
                url = f'http://{ip}:{self.ports[2]}/readiness'
                async with httpx.AsyncClient() as client:
                    return (await client.get(url)).status_code == 200
            return False

        await self.until(ready)

    async def addresses(self, ip):
        url = f'http://{ip}:{self.ports[3]}/resolve?name=a&region=r&zone=z0'
        async with httpx.AsyncClient() as client:
            answer = await client.get(url)
        if answer.status_code != 200:
            return []
        return sorted(answer.json()['addrs'])

    async def ask(self, client, ip, path='/search/x', method='GET'):
        self.number += 1
        name = f'q{self.number:05}'
        answer = await client.request(
            method,
            f'http://{ip}:{self.ports[1]}{path}',
            headers={
                'Host': 'a.example',
                'Ibismount-Request-Id': name,
                'Ibismount-Deadline-Ms': '3000',
            },
        )
        return name, answer

    def runs(self, name):
        return sum(one.ran[name] for one in self.servers)

    async def stop(self):
        for process in self.edges.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        self.store_server.close()


def run(tmp_path, main, **options):
    async def body():
        town = Town(tmp_path)
        try:
            await town.start(**options)
            async with httpx.AsyncClient() as client:
                await main(town, client)
        finally:
            await town.stop()

    asyncio.run(asyncio.wait_for(body(), 60))


def test_path_from_caller_to_servers_and_back(tmp_path):
    """The whole path must run without the users' bench."""

    async def main(town, client):
        for ip in town.ips:
            name, answer = await town.ask(client, ip)
            assert answer.status_code == 200
            parts = answer.headers['ibismount-part-stamps'].split(', ')
            assert len(parts) == len(SHARDS)
            assert all(one.endswith(name) for one in parts)
            assert answer.headers['ibismount-missing-parts'] == '0'
            assert len(answer.content) == 3 * 16
        name, answer = await town.ask(
            client, town.ips[0], '/booking1/x', 'POST'
        )
        assert answer.headers['ibismount-server-stamp'].endswith(name)
        assert town.runs(name) == 1
        assert (await town.ask(client, town.ips[0], '/none/'))[
            1
        ].status_code == 404

    run(tmp_path, main)


def test_callers_are_sent_to_the_nodes_that_live(tmp_path):
    """A killed node must soon be missing from the lists of addresses."""

    async def main(town, client):
        async def all_named():
            return len(await town.addresses(town.ips[0])) == 3

        await town.until(all_named)
        town.edges[town.ips[2]].kill()

        async def one_less():
            return len(await town.addresses(town.ips[0])) == 2

        await town.until(one_less)
        await town.start_edge(town.ips[2])
        await town.until(all_named)

    run(tmp_path, main)


def test_change_reaches_every_node_also_without_the_store(tmp_path):
    """A node that starts while the store is away serves from its peers."""

    async def main(town, client):
        await town.configure(2)

        async def in_force(ip):
            _, answer = await town.ask(client, ip, '/booking2/x', 'POST')
            return answer.status_code == 200

        for ip in town.ips:
            await town.until(lambda ip=ip: in_force(ip))
        town.store.fault = 'busy'
        late = town.ips[2]
        town.edges[late].kill()
        await town.edges[late].wait()
        await town.start_edge(late)
        await town.until_ready(late)
        assert await in_force(late)

    run(tmp_path, main)


@pytest.mark.parametrize('fault', ['silent', 'reset', 'garbage', 'busy'])
def test_store_that_misbehaves_does_not_stop_the_service(tmp_path, fault):
    """Searches need the view only, not the store."""

    async def main(town, client):
        town.store.fault = fault
        await town.store.forget_history()
        await asyncio.sleep(1.5)
        for ip in town.ips:
            _, answer = await town.ask(client, ip)
            assert answer.status_code == 200
        town.store.fault = ''
        await town.configure(3)

        async def in_force():
            _, answer = await town.ask(
                client, town.ips[0], '/booking3/x', 'POST'
            )
            return answer.status_code == 200

        await town.until(in_force)

    run(tmp_path, main)


def test_shutdown_cuts_no_request(tmp_path):
    """Requests under way at SIGTERM must be answered."""

    async def main(town, client):
        for one in town.servers:
            one.work_s = 0.5
        ip = town.ips[1]
        asked = [asyncio.create_task(town.ask(client, ip)) for _ in range(5)]
        await asyncio.sleep(0.2)
        town.edges[ip].send_signal(signal.SIGTERM)
        for _, answer in await asyncio.gather(*asked):
            assert answer.status_code == 200
            assert answer.headers['connection'] == 'close'
        assert await asyncio.wait_for(town.edges[ip].wait(), 8) == 0

    run(tmp_path, main)


@pytest.mark.parametrize('fault', ['reset', 'cut', 'silent', 'fail'])
def test_booking_runs_once_whatever_its_server_does(tmp_path, fault):
    """A doubled booking sends two vans to one address."""

    async def main(town, client):
        for one in town.servers:
            one.fault = fault
        name, answer = await town.ask(
            client, town.ips[0], '/booking1/x', 'POST'
        )
        assert answer.status_code in {500, 502, 504}
        assert town.runs(name) == 1

    run(tmp_path, main)


def test_second_answers_of_servers_reach_nobody(tmp_path):
    """An extra answer must not be taken for that of the next request."""

    async def main(town, client):
        for one in town.servers:
            one.fault = 'extra'
        for _ in range(10):
            name, answer = await town.ask(client, town.ips[0])
            parts = answer.headers['ibismount-part-stamps'].split(', ')
            assert all(one.endswith(name) for one in parts)

    run(tmp_path, main)


def test_leaving_server_gets_no_more_work(tmp_path):
    """A server that drains must be left well within three seconds."""

    async def main(town, client):
        leaving = [one for one in town.servers if one.zone == 'z0']
        for one in leaving:
            await town.register(one, state='draining')
        await asyncio.sleep(1.5)
        before = sum(sum(one.ran.values()) for one in leaving)
        for ip in town.ips:
            _, answer = await town.ask(client, ip)
            assert answer.status_code == 200
        assert sum(sum(one.ran.values()) for one in leaving) == before

    run(tmp_path, main)


def test_settings_are_read_again_and_bad_ones_refused(tmp_path):
    """A change comes by signal or without one; a bad file must not apply."""

    async def main(town, client):
        ip = town.ips[0]
        path = town.path / f'{ip}.yaml'
        settings = json.loads(path.read_text())

        def logged(message):
            return [one for one in town.logs[ip] if one['message'] == message]

        async def read_again():
            return bool(logged('edge: settings read again'))

        settings['bounds']['retry_slack'] = 50
        path.write_text(json.dumps(settings))
        await town.until(read_again)
        changed = logged('edge: settings read again')[0]['changed']
        assert changed == ['bounds.retry_slack']
        path.write_text('{"node": 7}')
        town.edges[ip].send_signal(signal.SIGHUP)

        async def refused():
            return bool(logged('edge: settings refused'))

        await town.until(refused)
        assert (await town.ask(client, ip))[1].status_code == 200

    run(tmp_path, main)


def test_metrics_are_served_as_text(tmp_path):
    """Counters must be readable by the usual scrapers."""

    async def main(town, client):
        for _ in range(3):
            await town.ask(client, town.ips[0])
        answer = await client.get(
            f'http://{town.ips[0]}:{town.ports[4]}/metrics'
        )
        found = {
            (one.name, one.labels.get('outcome')): one.value
            for family in text_string_to_metric_families(answer.text)
            for one in family.samples
        }
        assert found[('ibismount_requests_total', 'merged')] == 3
        assert found[('ibismount_request_seconds_count', None)] == 3
        assert found[('ibismount_version', None)] == 1
        assert found[('ibismount_attempts_total', None)] == 3 * len(SHARDS)

    run(tmp_path, main)


def test_failure_can_be_traced_by_its_id(tmp_path):
    """An engineer has only the id of the request and the logs."""

    async def main(town, client):
        for one in town.servers:
            if one.service in SHARDS[:2]:
                one.fault = 'reset'
        name, answer = await town.ask(client, town.ips[0])
        assert answer.status_code == 502
        await asyncio.sleep(0.2)
        lines = [
            line
            for line in town.logs[town.ips[0]]
            if line.get('request_id') == name
        ]
        assert lines
        assert {one.get('end') for one in lines[:-1]} == {'broken'}
        assert lines[-1]['code'] == 'backend_lost'
        assert set(lines[-1]['missing']) == set(SHARDS[:2])

    run(tmp_path, main)
