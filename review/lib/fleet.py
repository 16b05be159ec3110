"""Stand-ins for the store, servers and consumers, and real edge processes.

Only the standard library is used. The store and the servers run in the calling
process on loopback addresses; the edge processes are started with the command
of ``deploy/system.toml``.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ('telford', 'walsall', 'nuneaton')
REGION = 'midlands'
HOST = 'leno12.example'
BOUNDS = {
    'contact-ms': 4000,
    'drain-timeout-ms': 3000,
    'grace-period-s': 6,
    'loss-slack-ms': 200,
    'config-apply-ms': 3000,
    'retry-budget-ratio': 0.2,
    'retry-budget-slack': 116,
    'cold-overage': 1.5,
    'cold-slack': 5,
    'recovery-s': 12,
    'ttl_max_s': 5,
}
REASONS = {200: 'OK', 404: 'Not Found', 410: 'Gone', 421: 'Misdirected Request'}
# A server closes a connection that was idle for this time.
IDLE_TIMEOUT_S = 15
PREFIX = f'127.{random.randrange(10, 250)}.{random.randrange(1, 250)}'


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Write what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._started_at = time.monotonic()

    def __call__(self, text):
        line = f'{time.monotonic() - self._started_at:8.3f} {text}'
        self._file.write(line + '\n')
        self._file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


async def read_message(reader):
    """Read one HTTP message with a length; return head line, headers, body."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return first, headers, body


def encode_answer(status, headers, body):
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def without_request_id(answer):
    head, separator, body = answer.partition(b'\r\n\r\n')
    lines = [
        line
        for line in head.split(b'\r\n')
        if not line.lower().startswith(b'ibismount-request-id:')
    ]
    return b'\r\n'.join(lines) + separator + body


def encode_request(request_id, path, method='GET', body=b'', deadline_ms=4000):
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Ibismount-Request-Id: {request_id}',
        f'Ibismount-Deadline-Ms: {deadline_ms}',
    ]
    if method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Store:
    """The platform's store: objects, lists and watches. Specs are raw JSON."""

    def __init__(self):
        self.revision = 1
        self._kinds = {}
        self._history = []
        self._changed = asyncio.Condition()
        # Returns whether the answer to a call is lost. Such a connection stays
        # open and returns nothing further.
        self.loses_answer = lambda target: False
        self.answer_times = []
        self.lost_times = []

    async def put(self, kind, name, spec):
        """Write an object; return the time of the acknowledgement."""
        raw = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        self.revision += 1
        self._kinds.setdefault(kind, {})[name] = (self.revision, raw)
        return await self._record(kind, name, raw, deleted=False)

    async def delete(self, kind, name):
        _, raw = self._kinds[kind].pop(name)
        self.revision += 1
        return await self._record(kind, name, raw, deleted=True)

    async def _record(self, kind, name, raw, *, deleted):
        encoded = b'{"object":%b,"deleted":%b}' % (
            self._encode(name, self.revision, raw),
            b'true' if deleted else b'false',
        )
        self._history.append((self.revision, kind, encoded))
        async with self._changed:
            self._changed.notify_all()
        return time.monotonic()

    def _encode(self, name, revision, raw):
        meta = {
            'name': name,
            'revision': revision,
            'created': 1,
            'finalizers': [],
            'deleting': False,
        }
        return b'{"meta":%b,"spec":%b,"status":null}' % (
            json.dumps(meta).encode(),
            raw,
        )

    async def _answer(self, target):
        path, _, query_string = target.partition('?')
        query = dict(
            pair.partition('=')[::2] for pair in query_string.split('&') if pair
        )
        kind = path.strip('/').split('/')[1]
        if 'watch' in query:
            return await self._watch(
                kind, int(query['watch']), int(query.get('wait-ms', 0)) / 1000
            )
        items = [
            self._encode(name, revision, raw)
            for name, (revision, raw) in sorted(
                self._kinds.get(kind, {}).items()
            )
            if name > query.get('after', '')
        ]
        return b'{"items":[%b],"has-more":%b,"store-revision":%d}' % (
            b','.join(items[:500]),
            b'true' if len(items) > 500 else b'false',
            self.revision,
        )

    async def _watch(self, kind, since, wait_s):
        end_at = time.monotonic() + wait_s
        while True:
            events = [
                encoded
                for revision, event_kind, encoded in self._history
                if event_kind == kind and revision > since
            ]
            left_s = end_at - time.monotonic()
            if events or left_s <= 0:
                return b'{"events":[%b],"store-revision":%d}' % (
                    b','.join(events),
                    self.revision,
                )
            with contextlib.suppress(TimeoutError):
                async with self._changed, asyncio.timeout(left_s):
                    await self._changed.wait()

    async def serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                first, _, _ = await read_message(reader)
                target = first.split(' ')[1]
                body = await self._answer(target)
                if self.loses_answer(target):
                    self.lost_times.append(time.monotonic())
                    while await reader.read(65536):
                        pass
                    break
                self.answer_times.append(time.monotonic())
                headers = {'Content-Type': 'application/json'}
                writer.write(encode_answer(200, headers, body))
                await writer.drain()
        writer.close()


class Server:
    """A replica: slots, a short queue, one request at a time on a connection.

    The path of a request says how long it works: ``/x/300/...`` is 300 ms.
    """

    def __init__(self, name, service, zone, record, slots=4):
        self.id = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.port = 0
        # Request ids with the times of arrival, and ids that ran.
        self.arrivals = []
        self.runs = []
        # Before the next answer on a kept connection, the one before it is sent
        # once more, without the id of its request.
        self.copies_next = False
        self._record = record
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._answered = {}

    def answered(self, request_id):
        """Return an event that is set once the answer was sent."""
        return self._answered.setdefault(request_id, asyncio.Event())

    def entry(self, state='ready'):
        return {
            'backend': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'max-concurrency': self.slots,
            'state': state,
            'cold-remaining-ms': 0,
            'sequence': 1,
            'born': self.born,
        }

    async def serve(self, reader, writer):
        earlier = b''
        with contextlib.suppress(
            asyncio.IncompleteReadError, OSError, TimeoutError
        ):
            while True:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    first, headers, body = await read_message(reader)
                answer = await self._respond(first, headers, body)
                if self.copies_next and earlier:
                    self.copies_next = False
                    self._record(f'server {self.id} sends an extra answer')
                    writer.write(without_request_id(earlier))
                writer.write(answer)
                await writer.drain()
                earlier = answer
                self.answered(headers.get('ibismount-request-id')).set()
        writer.close()

    async def _respond(self, first, headers, body):
        method, path, _ = first.split(' ')
        request_id = headers.get('ibismount-request-id', '')
        echo = {
            'Ibismount-Request-Id': request_id,
            'Keep-Alive': f'timeout={IDLE_TIMEOUT_S}',
        }
        if headers.get('ibismount-expected-instance', self.id) != self.id:
            return encode_answer(
                421, {**echo, 'Ibismount-Not-Executed': '1'}, b''
            )
        self.arrivals.append((request_id, time.monotonic()))
        if self._free.locked() and self._waiting >= 8:
            return encode_answer(
                503, {**echo, 'Ibismount-Not-Executed': '1'}, b''
            )
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            self.runs.append(request_id)
            self._record(f'server {self.id} runs {request_id} {method} {path}')
            await asyncio.sleep(int(path.split('/')[2]) / 1000)
        finally:
            self._free.release()
        echo['Ibismount-Server-Stamp'] = f'{self.id}.{request_id}'
        return encode_answer(200, echo, f'answer to {request_id}'.encode())


class Fleet:
    """The store, servers and edge processes of one case."""

    def __init__(self, record, *, nodes=3):
        self.record = record
        self.store = Store()
        self.servers = []
        self.processes = {}
        self.ips = [f'{PREFIX}.{10 + number}' for number in range(nodes)]
        self._listeners = []
        self._writers = set()
        self._folder = tempfile.TemporaryDirectory()
        self._ids = itertools.count(1)
        self._run = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text()
        )['roles']['edge']['run'].split()

    def next_id(self):
        return f'{next(self._ids):016x}'

    async def listen(self, handler):
        async def tracked(reader, writer):
            self._writers.add(writer)
            try:
                await handler(reader, writer)
            finally:
                self._writers.discard(writer)
                writer.transport.abort()

        listener = await asyncio.start_server(tracked, '127.0.0.1', 0)
        self._listeners.append(listener)
        return listener.sockets[0].getsockname()[1]

    async def start(self, routes, services, per_zone=1):
        """Start all parts; services is a list of names."""
        self.store_port = await self.listen(self.store.serve)
        for service in services:
            for zone, _ in itertools.product(ZONES, range(per_zone)):
                name = f'i-{len(self.servers):04x}'
                server = Server(name, service, zone, self.record)
                server.port = await self.listen(server.serve)
                self.servers.append(server)
                await self.store.put('servers', name, server.entry())
        await self.store.put('config', 'main', self.config(1, routes, services))
        self.ports = self._find_ports(5)
        for ip in self.ips:
            await self.start_edge(ip, bootstrap=True)
        await asyncio.gather(*(self.wait_ready(ip, 20) for ip in self.ips))
        await asyncio.sleep(2)

    def config(self, version, routes, services):
        return {
            'version': version,
            'routes': routes,
            'backends': [
                {
                    'name': name,
                    'health-check-path': '/health',
                    'max-connections': 77,
                    'cold-start-s': 3,
                    'cold-per-s': 0,
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

    def _find_ports(self, count):
        for _ in range(50):
            first = random.randrange(20000, 30000)
            ports = list(range(first, first + count))
            try:
                for ip, port in itertools.product(self.ips, ports):
                    with socket.socket() as sock:
                        sock.bind((ip, port))
            except OSError:
                continue
            return ports
        raise CannotRun('no free ports')

    def _settings(self, ip, bootstrap):
        peer, callers, readiness, directory, control = self.ports
        number = self.ips.index(ip)
        zone = ZONES[number % len(ZONES)]
        return {
            'node-name': f'frontend-{zone}-{number // len(ZONES) + 1}',
            'ip': ip,
            'zone': zone,
            'region': REGION,
            'internal-port-range': [peer, peer],
            'seed-nodes': [f'{seed}:{control}' for seed in self.ips[:3]],
            'bootstrap': bootstrap,
            'limits': {'cpu-share': 0.731, 'cpu-cores': 1},
            'bind-addresses': {
                'frontend': f'{ip}:{callers}',
                'readiness': f'{ip}:{readiness}',
                'directory': f'{ip}:{directory}',
                'control-plane': f'{ip}:{control}',
            },
            'bounds': BOUNDS,
            'platform': {'address': f'127.0.0.1:{self.store_port}'},
        }

    async def start_edge(self, ip, *, bootstrap=False):
        """Start an edge process with the command of the deploy file."""
        settings = self._settings(ip, bootstrap)

        def fill(match):
            value = settings
            for key in match[1].split('.'):
                value = value[key]
            return json.dumps(value) if match[2] else str(value)

        template = (ROOT / 'deploy' / 'settings.yaml.tmpl').read_text()
        text = re.sub(r'\{\{([\w.-]+)(\|json)?\}\}', fill, template)
        path = pathlib.Path(self._folder.name) / f'{ip}.toml'
        path.write_text(text)
        command = [
            str(path) if word == '/etc/ibismount/local.toml' else word
            for word in self._run
        ]
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        log = open(path.with_suffix('.log'), 'ab')
        self.processes[ip] = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()
        self.record(f'edge {ip} started')

    async def is_ready(self, ip):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            async with asyncio.timeout(1):
                conn = await Consumer.connect(ip, self.ports[2])
                conn.send_raw(
                    b'GET /readiness HTTP/1.1\r\nHost: %b\r\n\r\n' % ip.encode()
                )
                status, _, _ = await conn.read()
                conn.close()
                return status == 200
        return False

    async def wait_ready(self, ip, wait_s):
        end_at = time.monotonic() + wait_s
        while time.monotonic() < end_at:
            with contextlib.suppress(TimeoutError):
                if await self.is_ready(ip):
                    return
            await asyncio.sleep(0.1)
        raise CannotRun(f'edge {ip} is not ready')

    def signal(self, ip, number):
        self.processes[ip].send_signal(number)
        self.record(f'edge {ip} gets {signal.Signals(number).name}')

    def find(self, server_id):
        return next(item for item in self.servers if item.id == server_id)

    def runs_of(self, request_id):
        return sum(server.runs.count(request_id) for server in self.servers)

    async def stop(self):
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            await process.wait()
        for listener in self._listeners:
            listener.close()
        for writer in list(self._writers):
            writer.transport.abort()
        # Connections end in the next turns of the event loop.
        await asyncio.sleep(0.05)
        if os.environ.get('KEEP_LOGS'):
            target = pathlib.Path(os.environ['KEEP_LOGS'])
            target.mkdir(parents=True, exist_ok=True)
            for path in pathlib.Path(self._folder.name).iterdir():
                (target / path.name).write_bytes(path.read_bytes())
        self._folder.cleanup()


class Consumer:
    """One connection of a consumer."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, ip, port):
        reader, writer = await asyncio.open_connection(ip, port)
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(reader, writer)

    def send_raw(self, raw):
        self._writer.write(raw)

    async def read(self):
        """Return status, headers and body of the next answer."""
        first, headers, body = await read_message(self._reader)
        return int(first.split(' ')[1]), headers, body

    def close(self):
        self._writer.close()


async def ask(fleet, ip, path, *, method='GET', body=b'', wait_s=5):
    """Send one request on a new connection; return its id and the status.

    The status is 0 if the connection ended or no answer came.
    """
    request_id = fleet.next_id()
    status = 0
    try:
        async with asyncio.timeout(wait_s):
            conn = await Consumer.connect(ip, fleet.ports[1])
            conn.send_raw(encode_request(request_id, path, method, body))
            fleet.record(f'consumer sends {request_id} {method} {path} to {ip}')
            status, _, _ = await conn.read()
            conn.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
        fleet.record(f'consumer got no answer to {request_id}: {exc!r}')
    else:
        fleet.record(f'consumer got {status} to {request_id}')
    return request_id, status


def route(name, prefix, service, *, kind='idempotent', **more):
    return {
        'name': name,
        'hostname': HOST,
        'path-prefix': prefix,
        'type': kind,
        'timeout-ms': 4000,
        'target-latency-ms': 627,
        'priority': 2,
        'attempts': 2,
        'backend': service,
        **more,
    }


def main(run, record_path, *, nodes=3):
    """Run a case; exit with 0 if the rule held, 1 if not, 2 if it can't run."""
    record = Record(record_path)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    # A caller such as nohup leaves the signal ignored, also in processes that
    # are started from here.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    record(f'TROUBLE={int(trouble)}')

    async def guarded():
        fleet = Fleet(record, nodes=nodes)
        try:
            async with asyncio.timeout(110):
                return await run(fleet, record, trouble)
        finally:
            await fleet.stop()

    try:
        broken = asyncio.run(guarded())
    except Exception as exc:
        record.say(f'the case could not run: {exc!r}')
        return 2
    record.say('the rule was broken' if broken else 'the rule held')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit('this module is imported by the cases')
