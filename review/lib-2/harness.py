"""Start edge processes with the deploy file's commands, against stand-ins.

Everything but the edge processes runs in the calling process, on loopback
addresses: the platform's store, replicas and clients. Only the standard
library is used.
"""

import asyncio
import collections
import contextlib
import hashlib
import json
import os
import pathlib
import re
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'a.example'
START_TIMEOUT_S = 30


class Record:
    """Write ``record.txt``: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w')
        self._start = time.monotonic()

    def note(self, text: str) -> None:
        at = time.monotonic() - self._start
        self._file.write(f'{at:9.3f} {text}\n')
        self._file.flush()

    def say(self, text: str) -> None:
        self.note(text)
        print(text, flush=True)


async def read_head(reader) -> tuple[str, dict[str, str]]:
    raw = await reader.readuntil(b'\r\n\r\n')
    first, *lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


def encode(status: int, headers: dict, body: bytes = b'') -> bytes:
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Store:
    """The platform's store: objects, lists, watches, writes."""

    def __init__(self) -> None:
        self.revision = 10
        self.kinds = collections.defaultdict(dict)
        self.history = []
        self.changed = asyncio.Event()
        self.calls = collections.Counter()
        # Connections whose watch waits for a change.
        self.watching = set()

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, kind: str, name: str, spec) -> float:
        """Create or replace an object; return the time of the ack."""
        self.revision += 1
        stored = {
            'meta': {
                'name': name,
                'revision': self.revision,
                'created': 1,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self.kinds[kind][name] = stored
        self._event(kind, stored, deleted=False)
        return time.monotonic()

    def delete(self, kind: str, name: str) -> float:
        """Remove an object; return the time of the ack."""
        stored = self.kinds[kind].pop(name, None)
        if stored is not None:
            self.revision += 1
            meta = {**stored['meta'], 'revision': self.revision}
            self._event(kind, {**stored, 'meta': meta}, deleted=True)
        return time.monotonic()

    def cut_watches(self) -> int:
        """Cut the watches that wait; return how many there were."""
        cut, self.watching = self.watching, set()
        for writer in cut:
            writer.transport.abort()
        return len(cut)

    def _event(self, kind, stored, *, deleted) -> None:
        event = {'object': stored, 'deleted': deleted}
        self.history.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                first, headers = await read_head(reader)
                body = await reader.readexactly(
                    int(headers.get('content-length', 0))
                )
                method, target, _ = first.split(' ')
                if 'watch=' in target:
                    self.watching.add(writer)
                status, answer = await self._answer(method, target, body)
                self.watching.discard(writer)
                writer.write(
                    encode(
                        status,
                        {'Content-Type': 'application/json'},
                        json.dumps(answer).encode(),
                    )
                )
                await writer.drain()
        writer.close()

    async def _answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        _, _, kind, *rest = url.path.split('/')
        name = urllib.parse.unquote(rest[0]) if rest else ''
        self.calls[method] += 1
        if method == 'POST':
            document = json.loads(body)
            name = document['meta']['name']
            if name in self.kinds[kind]:
                return 409, self.kinds[kind][name]
            self.put(kind, name, document.get('spec'))
            return 201, self.kinds[kind][name]
        if method == 'DELETE':
            if name not in self.kinds[kind]:
                return 404, {}
            self.delete(kind, name)
            return 200, {}
        if method != 'GET':
            return 400, {}
        if name:
            stored = self.kinds[kind].get(name)
            return (200, stored) if stored else (404, {})
        if 'watch' in query:
            return await self._watch(
                kind, int(query['watch']), int(query.get('wait-ms', 0)) / 1000
            )
        after = query.get('after', '')
        names = [item for item in sorted(self.kinds[kind]) if item > after]
        return 200, {
            'items': [self.kinds[kind][item] for item in names[:500]],
            'has-more': len(names) > 500,
            'store-revision': self.revision,
        }

    async def _watch(self, kind, since, wait_s):
        end_at = time.monotonic() + wait_s
        while True:
            events = [
                event
                for revision, event_kind, event in self.history
                if event_kind == kind and revision > since
            ]
            left_s = end_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'store-revision': self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self.changed.wait()


class Replica:
    """A sound replica; ``respond`` may be replaced to disturb it."""

    def __init__(
        self, fleet, name, service, zone, *, work_s=0.01, slots=4, queue=16
    ) -> None:
        self.fleet = fleet
        self.id = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.queue = queue
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.respond = self.respond_soundly
        self.born = int(time.time() * 1000)
        self.writers = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.register()

    def register(self, state: str = 'ready') -> float:
        """Write the entry to the store; return the time of the ack."""
        return self.fleet.store.put(
            'servers',
            self.id,
            {
                'backend': self.service,
                'address': f'127.0.0.1:{self.port}',
                'zone': self.zone,
                'version': '1',
                'max-concurrency': self.slots,
                'state': state,
                'cold-remaining-ms': 0,
                'sequence': 1,
                'born': self.born,
            },
        )

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                first, headers = await read_head(reader)
                body = await reader.readexactly(
                    int(headers.get('content-length', 0))
                )
                method, target, _ = first.split(' ')
                await self._handle(method, target, headers, body, writer)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def _handle(self, method, target, headers, body, writer) -> None:
        request_id = headers.get('ibismount-request-id', '')
        base = {'Ibismount-Request-Id': request_id}
        if headers.get('ibismount-expected-instance', self.id) != self.id:
            writer.write(encode(421, base))
            return
        if not self.free._value and self.waiting >= self.queue:
            writer.write(encode(503, {**base, 'Ibismount-Not-Executed': '1'}))
            return
        self.waiting += 1
        await self.free.acquire()
        self.waiting -= 1
        try:
            self.fleet.runs[request_id].append((self.id, time.monotonic()))
            self.fleet.record.note(
                f'run      {request_id} at {self.id}: {method} {target}'
            )
            await asyncio.sleep(self.work_s)
            await self.respond(request_id, base, writer)
        finally:
            self.free.release()

    def stamp(self, request_id: str) -> str:
        digest = hashlib.sha256(f'{self.id}/{request_id}'.encode())
        return f'{self.id}.{digest.hexdigest()[:12]}'

    async def respond_soundly(self, request_id, base, writer) -> None:
        body = hashlib.sha256(f'{self.service}{request_id}'.encode()).digest()
        base['Ibismount-Server-Stamp'] = self.stamp(request_id)
        writer.write(encode(200, base, body))


class Answer:
    def __init__(self, status, headers, body) -> None:
        self.status, self.headers, self.body = status, headers, body


def free_ports(ip: str, wanted: list[int]) -> list[int]:
    """Return the wanted ports, or others for those that are in use."""
    ports = []
    for port in wanted:
        with socket.socket() as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                sock.bind((ip, 0))
            ports.append(sock.getsockname()[1])
    return ports


class Fleet:
    """Store, replicas and edge processes."""

    def __init__(self, record: Record, count: int, zones=('z0', 'z1', 'z2')):
        self.record = record
        self.runs = collections.defaultdict(list)
        self.store = Store()
        self.replicas = []
        self.processes = {}
        self.zones = zones
        pid = os.getpid()
        prefix = f'127.{1 + (pid >> 8) % 250}.{pid % 256}'
        self.ips = [f'{prefix}.{10 + number}' for number in range(count)]
        self.ports = free_ports(self.ips[0], [7740, 8226, 8227, 8225, 8224])
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self._requests = 0
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._role = deploy['roles']['edge']

    def zone_of(self, ip: str) -> str:
        return self.zones[self.ips.index(ip) % len(self.zones)]

    def _settings(self, ip: str, *, first: bool) -> dict:
        peer, callers, readiness, directory, control = self.ports
        return {
            'node-name': f'frontend-{ip}',
            'ip': ip,
            'zone': self.zone_of(ip),
            'region': 'r',
            'internal-port-range': [peer, peer + 15],
            'seed-nodes': [f'{seed}:{control}' for seed in self.ips[:3]],
            'bootstrap': first,
            'bind-addresses': {
                'frontend': f'{ip}:{callers}',
                'readiness': f'{ip}:{readiness}',
                'directory': f'{ip}:{directory}',
                'control-plane': f'{ip}:{control}',
            },
            'limits': {'cpu-share': 0.731, 'cpu-cores': 1},
            'bounds': {
                'retry-budget-ratio': 0.2,
                'retry-budget-slack': 104,
                'cold-overage': 1.5,
                'cold-slack': 5,
                'grace-period-s': 6,
                'ttl_max_s': 5,
            },
            'platform': {'address': f'127.0.0.1:{self.store.port}'},
        }

    def _fill(self, settings: dict) -> str:
        text = (ROOT / self._role['template']).read_text()

        def value(match):
            found = settings
            path, _, form = match[1].partition('|')
            for key in path.split('.'):
                found = found[key]
            return json.dumps(found) if form == 'json' else str(found)

        return re.sub(r'\{\{([^{}]+)\}\}', value, text)

    async def start_edge(self, ip: str, *, first: bool = False) -> None:
        """Start an edge with the command of the deploy file."""
        path = self.folder / f'{ip}.toml'
        path.write_text(self._fill(self._settings(ip, first=first)))
        words = shlex.split(self._role['run'])
        words = [
            str(path) if word == '/etc/ibismount/local.toml' else word
            for word in words
        ]
        if words[0] == 'python3':
            words[0] = sys.executable
        output = (self.folder / f'{ip}.log').open('ab')
        self.processes[ip] = await asyncio.create_subprocess_exec(
            *words,
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
            },
            stdout=output,
            stderr=output,
        )

    async def start(self) -> None:
        for ip in self.ips:
            await self.start_edge(ip, first=True)
        for ip in self.ips:
            await self.wait_ready(ip)

    async def wait_ready(self, ip: str) -> None:
        end_at = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_at:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                answer = await self.get(ip, self.ports[2], '/readiness')
                if answer.status == 200:
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError(f'{ip} is not ready')

    async def get(self, ip, port, target, headers=None, body=b'', method='GET',
                  timeout_s=6.0) -> Answer:
        """Send one request on a new connection."""
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                return await self.exchange(
                    reader, writer, target, headers, body, method
                )
            finally:
                writer.close()

    async def exchange(self, reader, writer, target, headers=None, body=b'',
                       method='GET') -> Answer:
        lines = [f'{method} {target} HTTP/1.1', f'Host: {HOST}']
        lines += [f'{k}: {v}' for k, v in (headers or {}).items()]
        if body:
            lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        first, answer_headers = await read_head(reader)
        answer_body = await reader.readexactly(
            int(answer_headers.get('content-length', 0))
        )
        return Answer(int(first.split(' ')[1]), answer_headers, answer_body)

    def next_id(self) -> str:
        self._requests += 1
        return f'{self._requests:016x}'

    async def request(self, ip, target, *, deadline_ms=4000, body=b'',
                      method='GET', request_id=None) -> tuple[str, Answer | None]:
        """Send one attempt of a client; return its id and its answer."""
        request_id = request_id or self.next_id()
        self.record.note(f'sent     {request_id} to {ip}: {method} {target}')
        headers = {
            'Ibismount-Request-Id': request_id,
            'Ibismount-Deadline-Ms': deadline_ms,
        }
        try:
            answer = await self.get(
                ip, self.ports[1], target, headers, body, method,
                timeout_s=deadline_ms / 1000,
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as exc:
            self.record.note(f'failed   {request_id}: {exc!r}')
            return request_id, None
        self.record.note(
            f'answered {request_id}: {answer.status} {answer.body[:40]!r}'
        )
        return request_id, answer

    async def resolve(self, ip: str) -> list[str]:
        """Ask a node's directory for addresses."""
        answer = await self.get(
            ip, self.ports[3], f'/resolve?name={HOST}&region=r&zone=z0'
        )
        found = json.loads(answer.body)['addrs'] if answer.status == 200 else []
        self.record.note(f'resolved at {ip}: {answer.status} {found}')
        return found

    def signal(self, ip: str, number: int) -> None:
        self.record.note(f'signal   {signal.Signals(number).name} to {ip}')
        self.processes[ip].send_signal(number)

    async def stop(self) -> None:
        """End all processes that this fleet started."""
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()

    def edge_logs(self, ip: str) -> str:
        return (self.folder / f'{ip}.log').read_text()


def route(name, prefix, kind='idempotent', **fields) -> dict:
    return {
        'name': name,
        'hostname': HOST,
        'path-prefix': prefix,
        'type': kind,
        'attempts': 2,
        'timeout-ms': 4000,
        'target-latency-ms': 640,
        'priority': 1,
        **fields,
    }


def manifest(version, routes, services) -> dict:
    return {
        'version': version,
        'routes': routes,
        'backends': [
            {
                'name': name,
                'max-connections': 96,
                'health-check-path': '/health',
                'cold-start-s': 3,
            }
            for name in services
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 262144,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
    }


def rank(ips) -> list[str]:
    """Order addresses as nodes of equal capacity rank each other."""
    return sorted(
        ips, key=lambda ip: hashlib.blake2b(ip.encode(), digest_size=8).digest()
    )


def run_case(folder: str, play) -> None:
    """Run a case: exit 1 if the rule was broken, 0 if not, 2 if it can't run."""
    name = sys.argv[1] if len(sys.argv) > 1 else 'record.txt'
    record = Record(pathlib.Path(folder).resolve() / name)
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def main() -> int:
        fleets = []
        try:
            async with asyncio.timeout(115):
                return 1 if await play(record, trouble, fleets.append) else 0
        except Exception as exc:
            record.say(f'the case could not run: {exc!r}')
            return 2
        finally:
            for fleet in fleets:
                await fleet.stop()

    sys.exit(asyncio.run(main()))
