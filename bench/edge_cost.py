"""Measure the CPU and memory of edge processes.

Run ``python -m bench.edge_cost``. Edge processes run on loopback between the
stand-in store and stand-in servers; only the edge processes are measured. A
line fitted over three sizes gives the cost per part of a search and per node.
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
STARTUP_S = 3  # the membership has converged by then
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
MS_PER_S = 1000


def cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    rss_line = next(line for line in status.splitlines() if 'VmRSS' in line)
    return int(rss_line.split()[1]) / 1024


async def measure_fleet(edges, measure):
    """Start a fleet, run a measurement on it and stop it."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = EdgeFleet(pathlib.Path(folder))
        try:
            await fleet.start(edges)
            await asyncio.sleep(STARTUP_S)
            return await measure(fleet)
        finally:
            await fleet.stop()


def edge_pids(fleet: EdgeFleet) -> list[int]:
    return [process.pid for process in fleet.edges.values()]


async def measure_idle(fleet: EdgeFleet) -> dict[str, float]:
    """Return the mean cost per node of a fleet without callers."""
    pids = edge_pids(fleet)
    startup_cpu_s = sum(map(cpu_s, pids)) / len(pids)
    cpu_before_s = sum(map(cpu_s, pids))
    await asyncio.sleep(IDLE_S)
    cpu_used_s = sum(map(cpu_s, pids)) - cpu_before_s
    return {
        'start_cpu_s': startup_cpu_s,
        'resident_mb': sum(map(resident_mb, pids)) / len(pids),
        'idle_cores': cpu_used_s / IDLE_S / len(pids),
    }


async def measure_searches(fleet: EdgeFleet) -> list[tuple[int, float]]:
    """Return pairs of a number of parts and their CPU seconds."""
    ip = fleet.ips[0]
    pid = fleet.edges[ip].pid
    points = []
    async with httpx.AsyncClient(timeout=5) as client:
        for count in SEARCHES:
            cpu_before_s = cpu_s(pid)
            for _ in range(count):
                name = fleet.next_request_id()
                await fleet.send_request(client, ip, name, '/search/x', 'GET')
            points.append((count * len(SHARDS), cpu_s(pid) - cpu_before_s))
    return points


def fit_points(points: list[tuple[float, float]]) -> Line:
    return fit_line(*zip(*points, strict=True))


async def main() -> None:
    """Run the measurements, print a table and write the results."""
    rows = {
        size: await measure_fleet(size, measure_idle) for size in FLEET_SIZES
    }
    print('nodes  start CPU s  resident MB  idle cores per node')
    for size, row in rows.items():
        print(
            f'{size:>5}  {row["start_cpu_s"]:>11.2f}'
            f'  {row["resident_mb"]:>11.1f}  {row["idle_cores"]:.4f}'
        )
    per_node = fit_points(
        [(size, row['idle_cores']) for size, row in rows.items()]
    )
    print(
        f'idle, per additional node: {per_node.slope:.2e}'
        f' ± {per_node.slope_error:.1e} cores'
    )
    points = await measure_fleet(2, measure_searches)
    per_part = fit_points(points)
    print(
        f'per part of a search: {per_part.slope * MS_PER_S:.3f}'
        f' ± {per_part.slope_error * MS_PER_S:.3f} ms of CPU time,'
        f' {len(SHARDS)} parts per search'
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
