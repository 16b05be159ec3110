"""Inject random faults into edge processes: ``python -m standins.soak``.

Callers send searches and bookings on persistent connections, while nodes are
killed, stopped, paused and restarted, and faults are injected into the store,
the backend servers and the proxies in front of them. The responses and, at
the end, the runs on the servers are checked. A seed repeats the choice of
faults, not their exact timing.

Example::

    python -m standins.soak --seconds 10 1 2 3
"""

import argparse
import asyncio
import contextlib
import dataclasses
import functools
import json
import pathlib
import random
import signal
import sys
import tempfile

import httpx

from ibismount.errors import ErrorCode
from standins.edge_fleet import COLD_RATE_PER_S, COLD_S, SHARDS, EdgeFleet
from standins.shard_server import CRASH_SUFFIX, ShardServer
from standins.soak_checks import (
    CONTACT_S,
    NodeHistory,
    SentAttempt,
    check_crashes,
    check_statements,
)

__all__ = ('SoakRun', 'run_seed')

CALLER_COUNT = 6
BOOKING_SHARE = 0.3
NODE_COUNT = 4
MIN_SERVED_RATIO = 0.5  # of all requests; faults are active all the time
FAULT_PAUSE_S = (0.2, 0.9)
FAULT_DURATION_S = (0.3, 1.5)
SETTLE_S = 4.0  # until runs of abandoned requests have ended on the servers
# Share of the store's answers that are lost meanwhile. Nodes are up to date
# again once no answer has been lost for `CONTACT_S`.
LOST_ANSWER_SHARE = 0.35
# A cold server may receive COLD_RATE_FACTOR times its rate plus
# COLD_EXTRA_REQUESTS in a second, once all nodes have had COLD_PROPAGATION_S
# to read its entry.
COLD_RATE_FACTOR = 1.5
COLD_EXTRA_REQUESTS = 5
COLD_PROPAGATION_S = 1.0
# A server that has left gets no request after this time, although nodes start
# again meanwhile, unless the store was faulty or a node was paused.
REMOVAL_PROPAGATION_S = 2.0
REMOVAL_S = 4.5
# A caller that sends without end must be disconnected before this many bytes.
MAX_FLOOD_BYTES = 64 * 1024 * 1024
FLOOD_PIECE = b'v' * 65536
# A caller repeats a request that crashes servers with these pauses.
CRASH_PAUSE_S = (0.2, 0.6)
CRASHING_REQUESTS = (
    (f'/search{CRASH_SUFFIX}', 'GET'),
    (f'/booking1{CRASH_SUFFIX}', 'POST'),
)
# How long servers are down after a crash; one of these in each run.
CRASH_DOWN_S = (0.1, 1.5, 3.0)
# Share of the runs in which all nodes end at once.
HERD_KILL_SHARE = 0.4
# How long servers state that they are in need or leave.
STATEMENT_S = (1.5, 6.0)
LIMITS_PER_S = (0.5, 4.0, 10.0)
_NOT_RUN = frozenset((408, 421, 429, 503))


@dataclasses.dataclass(frozen=True, slots=True)
class ServerPeriod:
    """Period in which all nodes know that a server is cold, or has left.

    ``start`` and ``end`` are in seconds of the event loop's clock.
    """

    server: ShardServer
    start: float
    end: float


@dataclasses.dataclass(frozen=True, slots=True)
class SentRequest:
    """One request and its HTTP status; 0 when there was no response.

    ``cut_by_stop`` tells that a planned stop of its node ended its connection.
    """

    request_id: str
    booking: bool
    status: int
    cut_by_stop: bool = False


class SoakRun:
    """One run of the soak.

    Args:
        fleet: Started nodes, store and servers.
        seed: Seed for the random choice of requests and faults.
    """

    def __init__(self, fleet: EdgeFleet, seed: int) -> None:
        """Create a run without findings."""
        self._fleet = fleet
        self._seed = seed
        self._rng = random.Random(seed)
        self._faulty_ips: set[str] = set()
        self._version = 1
        self._store_fault_ended_at = float('-inf')
        self._answer_loss_ended_at = float('-inf')
        self._answer_loss_count = 0
        self._pause_ended_at = float('-inf')
        self._paused_count = 0
        self._cold_periods: list[ServerPeriod] = []
        self._removal_periods: list[ServerPeriod] = []
        self._stopping_ips: set[str] = set()
        self.history = NodeHistory()
        # Attempts of the request that crashes servers.
        self._crash_ids: list[str] = []
        self.sent: list[SentRequest] = []
        self.findings: list[str] = []

    async def run(self, seconds: float) -> None:
        """Send requests and inject faults, then check what the servers ran."""
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._run_caller(number))
                for number in range(CALLER_COUNT)
            ]
            tasks.append(group.create_task(self._inject_faults()))
            tasks.append(group.create_task(self._repeat_crashing_request()))
            tasks.append(group.create_task(self._kill_all_nodes(seconds)))
            await asyncio.sleep(seconds)
            for task in tasks:
                task.cancel()
        self._fleet.store_proxy.fault = ''
        self._fleet.store.loses_answer = lambda target: False
        await asyncio.sleep(max(SETTLE_S, CONTACT_S))
        await self._check_versions()
        self._check_runs()
        for period in self._cold_periods:
            self._check_cold_rate(period)
        for period in self._removal_periods:
            self._check_removed(period)
        for server in self._fleet.servers:
            self.findings.extend(check_statements(server, self.history))
        self._check_crashing_request()

    async def _run_caller(self, number: int) -> None:
        rng = random.Random(f'{self._rng.random()}{number}')
        async with httpx.AsyncClient(timeout=4) as client:
            while True:
                booking = rng.random() < BOOKING_SHARE
                path = '/booking1/x' if booking else '/search/x'
                method = 'POST' if booking else 'GET'
                ip = rng.choice(self._fleet.ips)
                await self._send(client, ip, path, method, booking=booking)
                await asyncio.sleep(rng.uniform(0, 0.05))

    async def _repeat_crashing_request(self) -> None:
        """Send a request that crashes servers again and again, at any node."""
        rng = random.Random(f'{self._rng.random()}crash')
        path, method = rng.choice(CRASHING_REQUESTS)
        async with httpx.AsyncClient(timeout=4) as client:
            while True:
                await asyncio.sleep(rng.uniform(*CRASH_PAUSE_S))
                ip = rng.choice(self._fleet.ips)
                request_id = self._next_request_id(ip)
                self._crash_ids.append(request_id)
                with contextlib.suppress(httpx.HTTPError):
                    await self._fleet.send_request(
                        client, ip, request_id, path, method
                    )

    def _next_request_id(self, ip: str) -> str:
        """Return the id of a new attempt at a node."""
        request_id = self._fleet.next_request_id()
        now = asyncio.get_running_loop().time()
        self.history.attempts[request_id] = SentAttempt(ip, now)
        return request_id

    def _check_crashing_request(self) -> None:
        crash_ids = set(self._crash_ids)
        crashes = [
            crash
            for server in self._fleet.servers
            for crash in server.crashes
            if crash[0] in crash_ids
        ]
        reached: dict[str, float] = {}
        for server in self._fleet.servers:
            for at, request_id in server.arrivals():
                if request_id in crash_ids:
                    reached[request_id] = min(at, reached.get(request_id, at))
        self.findings.extend(check_crashes(crashes, reached, self.history))

    async def _send(
        self,
        client: httpx.AsyncClient,
        ip: str,
        path: str,
        method: str,
        *,
        booking: bool,
    ) -> None:
        request_id = self._next_request_id(ip)
        try:
            response = await self._fleet.send_request(
                client, ip, request_id, path, method
            )
        except httpx.ConnectError:
            self.sent.append(SentRequest(request_id, booking, 0))
            return
        except httpx.HTTPError:
            cut_by_stop = ip in self._stopping_ips
            self.sent.append(SentRequest(request_id, booking, 0, cut_by_stop))
            return
        self.sent.append(SentRequest(request_id, booking, response.status_code))
        if response.text == ErrorCode.QUARANTINED:
            self.findings.append(f'{request_id}: {path} is quarantined')
        if response.status_code == httpx.codes.OK:
            self._check_answer(request_id, response, booking=booking)

    def _check_answer(
        self, request_id: str, response: httpx.Response, *, booking: bool
    ) -> None:
        if booking:
            stamp = response.headers.get('ibismount-server-stamp', '')
            if not stamp.endswith(f'.{request_id}'):
                self.findings.append(
                    f'{request_id}: response of another request, stamp {stamp}'
                )
            return
        stamps = response.headers['ibismount-part-stamps'].split(', ')
        missing = int(response.headers.get('ibismount-missing-parts', 0))
        services = {part_stamp.split('-')[0] for part_stamp in stamps}
        if not all(
            part_stamp.endswith(f'.{request_id}') for part_stamp in stamps
        ):
            self.findings.append(
                f'{request_id}: part of another request in {stamps}'
            )
        if len(services) != len(stamps):
            self.findings.append(
                f'{request_id}: a shard is merged twice in {stamps}'
            )
        if len(stamps) + missing != len(SHARDS) or missing > 1:
            self.findings.append(
                f'{request_id}: wrong coverage: {stamps}, {missing} missing'
            )
        records = sorted(
            (
                f'{service}:{request_id}'[:16].ljust(16, '.').encode()
                for service in services
            ),
            reverse=True,
        )
        if response.content != b''.join(records[:3]):
            self.findings.append(
                f'{request_id}: wrong records {response.content!r}'
            )

    def _check_runs(self) -> None:
        for request in self.sent:
            runs = self._fleet.count_runs(request.request_id)
            if request.booking and runs > 1:
                self.findings.append(
                    f'{request.request_id}: booking ran {runs} times'
                )
            if request.cut_by_stop and runs:
                self.findings.append(
                    f'{request.request_id}: cut off by a planned stop'
                )
            refused = request.booking and request.status in _NOT_RUN
            if refused and runs:
                self.findings.append(
                    f'{request.request_id}: status {request.status} but ran'
                )
        served = sum(request.status == httpx.codes.OK for request in self.sent)
        if served < MIN_SERVED_RATIO * len(self.sent):
            self.findings.append(
                f'only {served} of {len(self.sent)} requests were answered'
            )

    async def _check_versions(self) -> None:
        """Check that all nodes without a fault use the newest version."""
        healthy = [ip for ip in self._fleet.ips if ip not in self._faulty_ips]
        for ip in healthy:
            version = await self._fleet.read_version(ip)
            if version != self._version:
                self.findings.append(
                    f'{ip}: version {version} instead of {self._version}'
                )

    def _check_removed(self, period: ServerPeriod) -> None:
        """Check that a server that had left got no request."""
        arrivals = [
            at
            for at in period.server.arrival_times_s
            if period.start <= at < period.end
        ]
        if arrivals:
            self.findings.append(
                f'{period.server.id}: {len(arrivals)} requests after it left'
            )

    def _check_cold_rate(self, period: ServerPeriod) -> None:
        """Check that no second exceeded the request limit of a cold server."""
        max_requests = COLD_RATE_PER_S * COLD_RATE_FACTOR + COLD_EXTRA_REQUESTS
        arrivals = [
            at for at in period.server.arrival_times_s if at >= period.start
        ]
        for first in arrivals:
            in_window = [at for at in arrivals if first <= at < first + 1]
            if first + 1 <= period.end and len(in_window) > max_requests:
                self.findings.append(
                    f'{period.server.id}: {len(in_window)} requests '
                    'to a cold server in one second'
                )
                return

    async def _inject_faults(self) -> None:
        faults = (
            functools.partial(self._restart_node, signal.SIGKILL),
            functools.partial(self._restart_node, signal.SIGTERM),
            self._pause_node,
            self._break_store_link,
            self._lose_store_answers,
            self._break_server_link,
            self._break_server,
            self._drain_server,
            self._remove_server,
            self._flood_node,
            self._turn_service_cold,
            self._limit_service,
            self._pause_service,
            self._let_server_leave,
            self._change_config_version,
        )
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self._rng.uniform(*FAULT_PAUSE_S))
                group.create_task(self._rng.choice(faults)())

    def _draw_duration_s(self) -> float:
        return self._rng.uniform(*FAULT_DURATION_S)

    def _reserve_healthy_node(self) -> str | None:
        """Choose a node without a fault and mark it as faulty.

        Returns None when it would leave too few healthy nodes.
        """
        healthy = [ip for ip in self._fleet.ips if ip not in self._faulty_ips]
        if len(healthy) <= len(self._fleet.ips) // 2:
            return None
        ip = self._rng.choice(healthy)
        self._faulty_ips.add(ip)
        return ip

    async def _restart_node(self, signum: signal.Signals) -> None:
        ip = self._reserve_healthy_node()
        if ip is None:
            return
        process = self._fleet.edges[ip]
        if signum is signal.SIGTERM:
            self._stopping_ips.add(ip)
        self._disturb(ip)
        process.send_signal(signum)
        await process.wait()
        # Callers notice the end of their connections a moment later.
        await asyncio.sleep(0.05)
        self._stopping_ips.discard(ip)
        await asyncio.sleep(self._draw_duration_s() / 2)
        await self._fleet.start_edge(ip)
        await self._fleet.wait_until_ready(ip)
        self._disturb(ip)
        self._faulty_ips.discard(ip)

    def _disturb(self, ip: str) -> None:
        self.history.disturb(ip, asyncio.get_running_loop().time())

    async def _kill_all_nodes(self, seconds: float) -> None:
        """Kill all nodes at once in some runs; those with a fault come later."""
        rng = random.Random(f'{self._seed}herd')
        if rng.random() >= HERD_KILL_SHARE:
            return
        await asyncio.sleep(seconds * rng.uniform(0.2, 0.6))
        ips = [ip for ip in self._fleet.ips if ip not in self._faulty_ips]
        self._faulty_ips.update(ips)
        for ip in ips:
            self._disturb(ip)
        async for ip in self._fleet.restart_edges(ips):
            self._disturb(ip)
            self._faulty_ips.discard(ip)

    async def _pause_node(self) -> None:
        ip = self._reserve_healthy_node()
        if ip is None:
            return
        process = self._fleet.edges[ip]
        self._paused_count += 1
        self._disturb(ip)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._draw_duration_s())
        process.send_signal(signal.SIGCONT)
        self._paused_count -= 1
        self._disturb(ip)
        self._pause_ended_at = asyncio.get_running_loop().time()
        self._faulty_ips.discard(ip)

    async def _break_store_link(self) -> None:
        proxy = self._fleet.store_proxy
        fault = self._rng.choice(('delay', 'reset', 'silent', 'one_way'))
        proxy.fault = fault
        if fault == 'reset':
            proxy.reset()
        await asyncio.sleep(self._draw_duration_s())
        proxy.fault = ''
        self._store_fault_ended_at = asyncio.get_running_loop().time()

    async def _lose_store_answers(self) -> None:
        rng = random.Random(self._rng.random())
        self._answer_loss_count += 1
        self._fleet.store.loses_answer = lambda target: (
            rng.random() < LOST_ANSWER_SHARE
        )
        await asyncio.sleep(self._draw_duration_s())
        self._answer_loss_count -= 1
        if not self._answer_loss_count:
            self._fleet.store.loses_answer = lambda target: False
        self._answer_loss_ended_at = asyncio.get_running_loop().time()

    def _answers_were_lost(self, since: float) -> bool:
        """Return whether nodes may have been behind the store since a time."""
        return bool(
            self._answer_loss_count
            or self._answer_loss_ended_at > since - CONTACT_S
        )

    async def _break_server_link(self) -> None:
        server = self._rng.choice(self._fleet.servers)
        proxy = self._fleet.proxies[server.id]
        fault = self._rng.choice(('delay', 'reset', 'silent', 'one_way'))
        proxy.fault = fault
        if fault == 'reset':
            proxy.reset()
        await asyncio.sleep(self._draw_duration_s())
        proxy.fault = ''

    async def _break_server(self) -> None:
        server = self._rng.choice(self._fleet.servers)
        server.fault = self._rng.choice(
            (
                'reset',
                'cut',
                'silent',
                'extra',
                'copy',
                'unnamed_copy',
                'endless_head',
                'endless_body',
                'fail',
            )
        )
        await asyncio.sleep(self._draw_duration_s())
        server.fault = ''

    async def _drain_server(self) -> None:
        server = self._rng.choice(self._fleet.servers)
        await self._fleet.register(server, state='draining')
        await asyncio.sleep(self._draw_duration_s())
        await self._fleet.register(server)

    async def _remove_server(self) -> None:
        """Remove a server's entry for a while; the server goes on serving."""
        loop = asyncio.get_running_loop()
        server = self._rng.choice(self._fleet.servers)
        removed_at = loop.time()
        await self._fleet.store.delete('servers', server.id)
        await asyncio.sleep(REMOVAL_S)
        period = ServerPeriod(
            server, removed_at + REMOVAL_PROPAGATION_S, loop.time()
        )
        still_removed = not self._fleet.store.contains('servers', server.id)
        if still_removed and not self._view_was_disturbed(removed_at):
            self._removal_periods.append(period)
        await self._fleet.register(server)

    def _view_was_disturbed(self, since: float) -> bool:
        """Return whether nodes may have missed a change made at a time."""
        disturbed_at = max(self._store_fault_ended_at, self._pause_ended_at)
        return bool(
            disturbed_at > since - 2 * COLD_PROPAGATION_S
            or self._answers_were_lost(since)
            or self._fleet.store_proxy.fault
            or self._paused_count
        )

    async def _flood_node(self) -> None:
        """Send a head without end, until the node closes the connection."""
        ip = self._rng.choice(self._fleet.ips)
        try:
            _, writer = await asyncio.open_connection(ip, self._fleet.ports[1])
        except OSError:
            return
        writer.write(b'GET /search/x HTTP/1.1\r\nx-a: ')
        sent_bytes = 0
        try:
            while sent_bytes < MAX_FLOOD_BYTES:
                writer.write(FLOOD_PIECE)
                await writer.drain()
                sent_bytes += len(FLOOD_PIECE)
        except ConnectionError:
            return
        finally:
            writer.transport.abort()
        self.findings.append(f'{ip}: read {sent_bytes} bytes of one head')

    async def _turn_service_cold(self) -> None:
        """Register all servers of a service as cold.

        All of them, because the nodes prefer warm servers: a cold one among
        them would receive too few requests to reach its limit.
        """
        loop = asyncio.get_running_loop()
        service = self._rng.choice(self._fleet.servers).service
        servers = [
            candidate
            for candidate in self._fleet.servers
            if candidate.service == service
        ]
        for server in servers:
            server.cold_until = loop.time() + COLD_S
            await self._fleet.register(server)
        propagated_at = loop.time() + COLD_PROPAGATION_S
        await asyncio.sleep(COLD_S)
        # A store fault may have delayed the entries beyond the propagation
        # time, so the limit cannot be checked.
        store_was_faulty = (
            self._store_fault_ended_at > propagated_at - 2 * COLD_PROPAGATION_S
        )
        answers_were_lost = self._answers_were_lost(
            propagated_at - COLD_PROPAGATION_S
        )
        if (
            store_was_faulty
            or answers_were_lost
            or self._fleet.store_proxy.fault
        ):
            return
        self._cold_periods.extend(
            ServerPeriod(server, propagated_at, server.cold_until)
            for server in servers
        )

    def _servers_of_any_service(self) -> list[ShardServer]:
        service = self._rng.choice(self._fleet.servers).service
        return [item for item in self._fleet.servers if item.service == service]

    async def _limit_service(self) -> None:
        """Let all servers of a service state limits."""
        servers = self._servers_of_any_service()
        for server in servers:
            server.rate_limit = self._rng.choice(LIMITS_PER_S)
        await asyncio.sleep(self._rng.uniform(*STATEMENT_S))
        for server in servers:
            server.rate_limit = None

    async def _pause_service(self) -> None:
        """Let all servers of a service ask for a pause."""
        servers = self._servers_of_any_service()
        pause_s = self._rng.uniform(*FAULT_DURATION_S)
        for server in servers:
            server.retry_after_s = round(pause_s, 2)
        await asyncio.sleep(self._draw_duration_s())
        for server in servers:
            server.retry_after_s = None

    async def _let_server_leave(self) -> None:
        """Let a server say that it leaves, and replace it later."""
        server = self._rng.choice(self._fleet.servers)
        server.leaving = True
        await asyncio.sleep(self._rng.uniform(*STATEMENT_S))
        server.leaving = False
        await self._fleet.replace(server)

    async def _change_config_version(self) -> None:
        self._version += 1
        await self._fleet.configure(self._version, booking_number=1)


async def run_seed(
    seed: int, seconds: float, *, nodes: int = NODE_COUNT
) -> list[str]:
    """Run the soak with one seed; return its findings."""
    with tempfile.TemporaryDirectory() as folder:
        crash_down_s = random.Random(f'{seed}down').choice(CRASH_DOWN_S)
        fleet = EdgeFleet(pathlib.Path(folder), crash_down_s=crash_down_s)
        try:
            await fleet.start(nodes)
            run = SoakRun(fleet, seed)
            await run.run(seconds)
        finally:
            await fleet.stop()
    print(f'seed {seed}: {len(run.sent)} requests, {run.findings or "good"}')
    if run.findings:
        print(f'seed {seed}: logs of the nodes in {_save_logs(fleet, seed)}')
    return run.findings


def _save_logs(fleet: EdgeFleet, seed: int) -> pathlib.Path:
    """Write the log lines of all nodes to a new folder; return it."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    for ip, records in fleet.logs.items():
        lines = ''.join(f'{json.dumps(record)}\n' for record in records)
        (folder / f'{ip}.log').write_text(lines)
    return folder


def main() -> int:
    """Run the given seeds; return 1 if any has findings, otherwise 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=8)
    parser.add_argument('--nodes', type=int, default=NODE_COUNT)
    parser.add_argument('seeds', type=int, nargs='+')
    options = parser.parse_args()
    findings = [
        asyncio.run(run_seed(seed, options.seconds, nodes=options.nodes))
        for seed in options.seeds
    ]
    return 1 if any(findings) else 0


if __name__ == '__main__':
    sys.exit(main())
