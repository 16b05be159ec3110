"""A process that gets SIGHUP while it starts ends."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib'))

from fleet import main, route  # noqa: E402

# The platform starts a process that ended again after this time.
RESTART_DELAY_S = 0.3
# The settings change this many times, each time shortly after a start.
CHANGES = 3
CHANGE_AFTER_START_S = 0.1
MAX_ENDS = 3
NODES = 4


async def stop_and_start(fleet, record, ip, trouble):
    """Play a planned stop and a start; return how often the process ended."""
    fleet.signal(ip, signal.SIGTERM)
    await fleet.processes[ip].wait()
    record(f'edge {ip}: the planned stop is over')
    await asyncio.sleep(RESTART_DELAY_S)
    await fleet.start_edge(ip)
    ends = 0
    for _ in range(CHANGES):
        await asyncio.sleep(CHANGE_AFTER_START_S)
        if trouble:
            fleet.signal(ip, signal.SIGHUP)
        try:
            async with asyncio.timeout(2):
                status = await fleet.processes[ip].wait()
        except TimeoutError:
            continue
        ends += 1
        record(f'edge {ip} ended by itself with status {status}')
        await asyncio.sleep(RESTART_DELAY_S)
        await fleet.start_edge(ip)
    await fleet.wait_ready(ip, 10)
    return ends


async def run(fleet, record, trouble):
    await fleet.start(
        [route('quotes', '/quotes/', 'quote-builder')], ['quote-builder']
    )
    ends = await asyncio.gather(
        *(stop_and_start(fleet, record, ip, trouble) for ip in fleet.ips[:2])
    )
    record.say(f'processes of two machines ended by themselves: {ends}')
    return min(ends) >= MAX_ENDS


sys.exit(main(run, pathlib.Path(__file__).parent, nodes=NODES))
