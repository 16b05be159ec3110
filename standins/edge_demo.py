"""Run the edge program under faults: ``python -m standins.edge_demo``.

Starts three nodes, sends searches and bookings under one fault after another,
prints a table, and exits with status 1 if an answer was wrong.
"""

import asyncio
import pathlib
import sys
import tempfile
import time

import httpx

from standins.edge_fleet import SHARDS, EdgeFleet

__all__ = ('main',)

SEARCHES_PER_STEP = 6  # spread over the nodes
PROPAGATION_S = 1.5  # for a change or a loss to reach all nodes


class _Demo:
    """Send requests and check their answers."""

    def __init__(self, fleet: EdgeFleet, client: httpx.AsyncClient) -> None:
        """Use started processes; nothing is sent yet."""
        self._fleet = fleet
        self._client = client
        self.wrong_count = 0

    async def run_step(self, title: str, *, excluded_zone: str = '') -> None:
        """Search and book at every running node; print a row per request."""
        for ip, process in self._fleet.edges.items():
            if process.returncode is None:
                for _ in range(SEARCHES_PER_STEP // len(self._fleet.edges)):
                    await self._search(title, ip, excluded_zone)
                await self._book(title, ip)

    async def _search(self, title: str, ip: str, excluded_zone: str) -> None:
        started_at = time.monotonic()
        request_id, response = await self._fleet.send_new_request(
            self._client, ip
        )
        stamps = response.headers.get('ibismount-part-stamps', '').split(', ')
        passed = response.status_code == httpx.codes.OK and all(
            stamp.endswith(request_id)
            and not (excluded_zone and excluded_zone in stamp)
            for stamp in stamps
        )
        coverage = f'{len(stamps)}/{len(SHARDS)}'
        self._print_row(
            title, 'search', ip, coverage, started_at, passed=passed
        )

    async def _book(self, title: str, ip: str) -> None:
        started_at = time.monotonic()
        request_id, response = await self._fleet.send_new_request(
            self._client, ip, '/booking1/x', 'POST'
        )
        passed = self._fleet.count_runs(request_id) == 1
        status = str(response.status_code)
        self._print_row(title, 'booking', ip, status, started_at, passed=passed)

    def _print_row(
        self,
        title: str,
        kind: str,
        ip: str,
        result: str,
        started_at: float,
        *,
        passed: bool,
    ) -> None:
        elapsed_ms = (time.monotonic() - started_at) * 1000
        verdict = 'ok' if passed else 'WRONG'
        self.wrong_count += not passed
        print(
            f'{title:28} {kind:8} {ip:16} {result:6} {elapsed_ms:7.1f} ms '
            f'{verdict}'
        )


async def _run_operator_steps(fleet: EdgeFleet, demo: _Demo) -> None:
    await fleet.store.put('evacuations', 'z0', {})
    await asyncio.sleep(PROPAGATION_S)
    await demo.run_step('zone z0 out of service', excluded_zone='-z0')
    await fleet.store.delete('evacuations', 'z0')


async def _run_fault_steps(fleet: EdgeFleet, demo: _Demo) -> None:
    fleet.store.fault = 'silent'
    await asyncio.sleep(PROPAGATION_S)
    await demo.run_step('store does not answer')
    fleet.store.fault = ''
    killed = fleet.edges[fleet.ips[-1]]
    killed.kill()
    await killed.wait()
    await demo.run_step('one node killed')
    fleet.servers[0].fault = 'reset'
    await demo.run_step('one server sends resets')


async def _run(folder: str) -> int:
    fleet = EdgeFleet(pathlib.Path(folder))
    try:
        await fleet.start()
        async with httpx.AsyncClient() as client:
            demo = _Demo(fleet, client)
            await demo.run_step('calm')
            await _run_operator_steps(fleet, demo)
            await _run_fault_steps(fleet, demo)
        return 1 if demo.wrong_count else 0
    finally:
        await fleet.stop()


def main() -> int:
    """Run the demo and return its exit status."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_run(folder))


if __name__ == '__main__':
    sys.exit(main())
