"""Measure what the edge program costs: ``python -m bench.edge_cost``.

Real processes run on loopback between the stand-in store and stand-in servers;
only the processor time and memory of the edge processes count. A line is fitted
over three sizes for the cost of each part of a search and of each further node.
"""

import asyncio
import json
import os
import pathlib
import tempfile

import httpx

from bench._fit import Line, fit_line
from standins.edge_fleet import SHARDS, EdgeFleet

RESULTS = pathlib.Path(__file__).parent / 'results' / 'edge_cost.json'
FLEET_SIZES = (3, 6, 12)
SEARCHES = (100, 200, 400)
IDLE_S = 6
SETTLE_S = 3  # the membership has come to rest by then
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
MS = 1000


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    line = next(one for one in status.splitlines() if 'VmRSS' in one)
    return int(line.split()[1]) / 1024


async def with_fleet(edges, measure):
    """Run a measurement on a started fleet."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = EdgeFleet(pathlib.Path(folder))
        try:
            await fleet.start(edges)
            await asyncio.sleep(SETTLE_S)
            return await measure(fleet)
        finally:
            await fleet.stop()


def pids(fleet: EdgeFleet) -> list[int]:
    return [one.pid for one in fleet.edges.values()]


async def idle(fleet: EdgeFleet) -> dict[str, float]:
    """Return the cost of a node without callers, as a mean over nodes."""
    own = pids(fleet)
    started = sum(map(cpu_s, own)) / len(own)
    before = sum(map(cpu_s, own))
    await asyncio.sleep(IDLE_S)
    used = sum(map(cpu_s, own)) - before
    return {
        'start_cpu_s': started,
        'resident_mb': sum(map(resident_mb, own)) / len(own),
        'idle_cores': used / IDLE_S / len(own),
    }


async def searching(fleet: EdgeFleet) -> list[tuple[int, float]]:
    """Return numbers of parts with the processor time that they took."""
    ip = fleet.ips[0]
    pid = fleet.edges[ip].pid
    points = []
    async with httpx.AsyncClient(timeout=5) as client:
        for count in SEARCHES:
            before = cpu_s(pid)
            for _ in range(count):
                name = fleet.next_request_id()
                await fleet.send_request(client, ip, name, '/search/x', 'GET')
            points.append((count * len(SHARDS), cpu_s(pid) - before))
    return points


def slope(points: list[tuple[float, float]]) -> Line:
    return fit_line(*zip(*points, strict=True))


async def main() -> None:
    """Measure, print a table and write the results."""
    rows = {size: await with_fleet(size, idle) for size in FLEET_SIZES}
    print('nodes  start CPU s  resident MB  idle cores a node')
    for size, row in rows.items():
        print(
            f'{size:>5}  {row["start_cpu_s"]:>11.2f}'
            f'  {row["resident_mb"]:>11.1f}  {row["idle_cores"]:.4f}'
        )
    per_node = slope([(size, row['idle_cores']) for size, row in rows.items()])
    print(
        f'idle, for each further node: {per_node.slope:.2e}'
        f' ± {per_node.slope_error:.1e} cores'
    )
    points = await with_fleet(2, searching)
    per_part = slope(points)
    print(
        f'each part of a search: {per_part.slope * MS:.3f}'
        f' ± {per_part.slope_error * MS:.3f} ms of processor time,'
        f' {len(SHARDS)} parts a search'
    )
    RESULTS.write_text(
        json.dumps(
            {
                'fleet': rows,
                'idle_cores_per_node': per_node._asdict(),
                'searches': points,
                'cpu_s_per_part': per_part._asdict(),
            },
            indent=1,
        )
        + '\n'
    )


if __name__ == '__main__':
    asyncio.run(main())
