"""Show the edge program at work: ``python -m standins.edge_demo``.

Starts three nodes, sends searches and bookings through a fault each, prints a
table, and ends with status 1 if an answer was wrong.
"""

import asyncio
import pathlib
import sys
import tempfile
import time

import httpx

from standins.edge_fleet import SHARDS, EdgeFleet

__all__ = ('main',)

SEARCHES = 6  # in each step
SETTLE_S = 1.5  # until a change or a loss is known everywhere


class _Demo:
    """Send requests and judge their answers."""

    def __init__(self, fleet: EdgeFleet, client: httpx.AsyncClient) -> None:
        """Start without findings."""
        self._fleet = fleet
        self._client = client
        self.wrong = 0

    async def step(self, title: str, *, avoid: str = '') -> None:
        """Search and book on every node that runs; print a row each."""
        for ip, process in self._fleet.edges.items():
            if process.returncode is None:
                for _ in range(SEARCHES // len(self._fleet.edges)):
                    await self._search(title, ip, avoid)
                await self._book(title, ip)

    async def _search(self, title: str, ip: str, avoid: str) -> None:
        started_at = time.monotonic()
        name, answer = await self._fleet.ask(self._client, ip)
        stamps = answer.headers.get('ibismount-part-stamps', '').split(', ')
        good = answer.status_code == httpx.codes.OK and all(
            one.endswith(name) and not (avoid and avoid in one)
            for one in stamps
        )
        coverage = f'{len(stamps)}/{len(SHARDS)}'
        self._row(title, 'search', ip, coverage, started_at, good=good)

    async def _book(self, title: str, ip: str) -> None:
        started_at = time.monotonic()
        name, answer = await self._fleet.ask(
            self._client, ip, '/booking1/x', 'POST'
        )
        good = self._fleet.runs(name) == 1
        status = str(answer.status_code)
        self._row(title, 'booking', ip, status, started_at, good=good)

    def _row(
        self,
        title: str,
        kind: str,
        ip: str,
        result: str,
        started_at: float,
        *,
        good: bool,
    ) -> None:
        elapsed_ms = (time.monotonic() - started_at) * 1000
        verdict = 'ok' if good else 'WRONG'
        self.wrong += not good
        print(
            f'{title:28} {kind:8} {ip:16} {result:6} {elapsed_ms:7.1f} ms '
            f'{verdict}'
        )


async def _operator_steps(fleet: EdgeFleet, demo: _Demo) -> None:
    await fleet.store.put('evacuations', 'z0', {})
    await asyncio.sleep(SETTLE_S)
    await demo.step('zone z0 out of service', avoid='-z0')
    await fleet.store.delete('evacuations', 'z0')


async def _fault_steps(fleet: EdgeFleet, demo: _Demo) -> None:
    fleet.store.fault = 'silent'
    await asyncio.sleep(SETTLE_S)
    await demo.step('store silent')
    fleet.store.fault = ''
    killed = fleet.edges[fleet.ips[-1]]
    killed.kill()
    await killed.wait()
    await demo.step('one node killed')
    fleet.servers[0].fault = 'reset'
    await demo.step('one server resets')


async def _run(folder: str) -> int:
    fleet = EdgeFleet(pathlib.Path(folder))
    try:
        await fleet.start()
        async with httpx.AsyncClient() as client:
            demo = _Demo(fleet, client)
            await demo.step('calm')
            await _operator_steps(fleet, demo)
            await _fault_steps(fleet, demo)
        return 1 if demo.wrong else 0
    finally:
        await fleet.stop()


def main() -> int:
    """Run the demo and return its exit status."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_run(folder))


if __name__ == '__main__':
    sys.exit(main())
