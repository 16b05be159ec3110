"""Randomized faults against real edge processes: ``python -m standins.soak``.

Callers send searches and bookings on connections that they keep, while nodes
are killed, stopped, paused and restarted, and the store and the backend servers
misbehave behind loopback proxies. What callers and servers see is checked; a
seed repeats the choice of faults, not their exact timing.

Example::

    python -m standins.soak --seconds 10 1 2 3
"""

import argparse
import asyncio
import dataclasses
import pathlib
import random
import signal
import sys
import tempfile

import httpx

from standins.edge_fleet import COLD_RATE, COLD_S, SHARDS, EdgeFleet
from standins.shard_server import ShardServer

__all__ = ('Soak', 'soak')

CALLERS = 6
BOOKING_SHARE = 0.3
NODES = 4
LEAST_SERVED = 0.5  # of all requests, over a run with faults all the time
FAULT_PAUSE_S = (0.2, 0.9)
FAULT_S = (0.3, 1.5)
SETTLE_S = 4.0  # late work of requests that were given up has ended by then
# What a cold server may get in a second, as a multiple of its rate and beside
# it, and the time after its entry from which that holds.
COLD_OVERAGE = 1.5
COLD_SLACK = 5
COLD_KNOWN_S = 1.0
_NOT_RUN = frozenset((408, 421, 429, 503))


@dataclasses.dataclass(frozen=True, slots=True)
class ColdSpan:
    """Time in which the nodes know that a server is cold, in seconds."""

    server: ShardServer
    start: float
    end: float


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """One request and what its caller saw; status 0: no answer."""

    name: str
    booking: bool
    status: int


class Soak:
    """One run with one seed.

    Args:
        fleet: Started nodes, store and servers.
        seed: Chooses requests and faults.
    """

    def __init__(self, fleet: EdgeFleet, seed: int) -> None:
        """Start without findings."""
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._busy: set[str] = set()
        self._version = 1
        self._store_disturbed_at = float('-inf')
        self._cold_spans: list[ColdSpan] = []
        self.sent: list[Sent] = []
        self.findings: list[str] = []

    async def run(self, seconds: float) -> None:
        """Send requests and inject faults, then check what was seen."""
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._call(number))
                for number in range(CALLERS)
            ]
            tasks.append(group.create_task(self._inject()))
            await asyncio.sleep(seconds)
            for task in tasks:
                task.cancel()
        await asyncio.sleep(SETTLE_S)
        self._check_runs()
        for span in self._cold_spans:
            self._check_cold(span)

    async def _call(self, number: int) -> None:
        rng = random.Random(f'{self._rng.random()}{number}')
        async with httpx.AsyncClient(timeout=4) as client:
            while True:
                booking = rng.random() < BOOKING_SHARE
                path = '/booking1/x' if booking else '/search/x'
                method = 'POST' if booking else 'GET'
                ip = rng.choice(self._fleet.ips)
                await self._send(client, ip, path, method, booking=booking)
                await asyncio.sleep(rng.uniform(0, 0.05))

    async def _send(
        self,
        client: httpx.AsyncClient,
        ip: str,
        path: str,
        method: str,
        *,
        booking: bool,
    ) -> None:
        name = self._fleet.next_name()
        try:
            answer = await self._fleet.send(client, ip, name, path, method)
        except httpx.HTTPError:
            self.sent.append(Sent(name, booking, 0))
            return
        self.sent.append(Sent(name, booking, answer.status_code))
        if answer.status_code == httpx.codes.OK:
            self._check_answer(name, answer, booking=booking)

    def _check_answer(
        self, name: str, answer: httpx.Response, *, booking: bool
    ) -> None:
        if booking:
            stamp = answer.headers.get('ibismount-server-stamp', '')
            if not stamp.endswith(f'.{name}'):
                self.findings.append(f'{name}: foreign answer {stamp}')
            return
        stamps = answer.headers['ibismount-part-stamps'].split(', ')
        missing = int(answer.headers.get('ibismount-missing-parts', 0))
        services = {one.split('-')[0] for one in stamps}
        if not all(one.endswith(f'.{name}') for one in stamps):
            self.findings.append(f'{name}: foreign part in {stamps}')
        if len(services) != len(stamps):
            self.findings.append(f'{name}: a shard twice in {stamps}')
        if len(stamps) + missing != len(SHARDS) or missing > 1:
            self.findings.append(f'{name}: coverage {stamps}, {missing}')
        records = sorted(
            (f'{one}:{name}'[:16].ljust(16, '.').encode() for one in services),
            reverse=True,
        )
        if answer.content != b''.join(records[:3]):
            self.findings.append(f'{name}: wrong records {answer.content!r}')

    def _check_runs(self) -> None:
        for one in self.sent:
            runs = self._fleet.runs(one.name)
            if one.booking and runs > 1:
                self.findings.append(f'{one.name}: booking ran {runs} times')
            refused = one.booking and one.status in _NOT_RUN
            if refused and runs:
                self.findings.append(f'{one.name}: {one.status} but it ran')
        served = sum(one.status == httpx.codes.OK for one in self.sent)
        if served < LEAST_SERVED * len(self.sent):
            self.findings.append(f'served {served} of {len(self.sent)}')

    def _check_cold(self, span: ColdSpan) -> None:
        """Check that no second brought more than a cold server bears."""
        most = COLD_RATE * COLD_OVERAGE + COLD_SLACK
        arrived = [at for at in span.server.arrived if at >= span.start]
        for first in arrived:
            within = [at for at in arrived if first <= at < first + 1]
            if first + 1 <= span.end and len(within) > most:
                self.findings.append(
                    f'{span.server.id}: {len(within)} requests in a second '
                    'while cold'
                )
                return

    async def _inject(self) -> None:
        faults = (
            self._kill_node,
            self._stop_node,
            self._pause_node,
            self._disturb_store,
            self._disturb_server,
            self._break_server,
            self._drain_server,
            self._chill_service,
            self._change_version,
        )
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self._rng.uniform(*FAULT_PAUSE_S))
                group.create_task(self._rng.choice(faults)())

    def _span(self) -> float:
        return self._rng.uniform(*FAULT_S)

    def _take_node(self) -> str | None:
        """Choose a node without a fault, while others are left to serve."""
        free = [ip for ip in self._fleet.ips if ip not in self._busy]
        if len(free) <= NODES // 2:
            return None
        ip = self._rng.choice(free)
        self._busy.add(ip)
        return ip

    async def _restart_node(self, signum: signal.Signals) -> None:
        ip = self._take_node()
        if ip is None:
            return
        process = self._fleet.edges[ip]
        process.send_signal(signum)
        await process.wait()
        await asyncio.sleep(self._span() / 2)
        await self._fleet.start_edge(ip)
        await self._fleet.until_ready(ip)
        self._busy.discard(ip)

    async def _kill_node(self) -> None:
        await self._restart_node(signal.SIGKILL)

    async def _stop_node(self) -> None:
        await self._restart_node(signal.SIGTERM)

    async def _pause_node(self) -> None:
        ip = self._take_node()
        if ip is None:
            return
        process = self._fleet.edges[ip]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._span())
        process.send_signal(signal.SIGCONT)
        self._busy.discard(ip)

    async def _disturb_store(self) -> None:
        proxy = self._fleet.store_proxy
        fault = self._rng.choice(('delay', 'reset', 'silent', 'one_way'))
        proxy.fault = fault
        if fault == 'reset':
            proxy.reset()
        await asyncio.sleep(self._span())
        proxy.fault = ''
        self._store_disturbed_at = asyncio.get_running_loop().time()

    async def _disturb_server(self) -> None:
        server = self._rng.choice(self._fleet.servers)
        proxy = self._fleet.proxies[server.id]
        fault = self._rng.choice(('delay', 'reset', 'silent', 'one_way'))
        proxy.fault = fault
        if fault == 'reset':
            proxy.reset()
        await asyncio.sleep(self._span())
        proxy.fault = ''

    async def _break_server(self) -> None:
        server = self._rng.choice(self._fleet.servers)
        server.fault = self._rng.choice(
            ('reset', 'cut', 'silent', 'extra', 'fail')
        )
        await asyncio.sleep(self._span())
        server.fault = ''

    async def _drain_server(self) -> None:
        server = self._rng.choice(self._fleet.servers)
        await self._fleet.register(server, state='draining')
        await asyncio.sleep(self._span())
        await self._fleet.register(server)

    async def _chill_service(self) -> None:
        """Let all servers of a service turn cold, as their entries say.

        While others are warm, cold servers get little by themselves.
        """
        loop = asyncio.get_running_loop()
        service = self._rng.choice(self._fleet.servers).service
        servers = [one for one in self._fleet.servers if one.service == service]
        for server in servers:
            server.cold_until = loop.time() + COLD_S
            await self._fleet.register(server)
        known_at = loop.time() + COLD_KNOWN_S
        await asyncio.sleep(COLD_S)
        # Nodes that can't hear of it in time are not to blame.
        disturbed = self._store_disturbed_at > known_at - 2 * COLD_KNOWN_S
        if disturbed or self._fleet.store_proxy.fault:
            return
        self._cold_spans.extend(
            ColdSpan(server, known_at, server.cold_until) for server in servers
        )

    async def _change_version(self) -> None:
        self._version += 1
        await self._fleet.configure(self._version, bookings=1)


async def soak(seed: int, seconds: float) -> list[str]:
    """Run one seed; return its findings."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = EdgeFleet(pathlib.Path(folder))
        try:
            await fleet.start(NODES)
            run = Soak(fleet, seed)
            await run.run(seconds)
        finally:
            await fleet.stop()
    print(f'seed {seed}: {len(run.sent)} requests, {run.findings or "good"}')
    return run.findings


def main() -> int:
    """Run the seeds of the command line; status 1 if one has findings."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=8)
    parser.add_argument('seeds', type=int, nargs='+')
    options = parser.parse_args()
    found = [asyncio.run(soak(seed, options.seconds)) for seed in options.seeds]
    return 1 if any(found) else 0


if __name__ == '__main__':
    sys.exit(main())
