"""After a loss of power without the seeds, nodes never find each other.

A request that crashes replicas is then sent on by each of them.
"""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-2'))

from harness import Fleet, Replica, manifest, route, run_case  # noqa: E402

MACHINES = 12
SEEDS = 3
REPLICAS = 7
# `contact-ms`, in seconds, and the retries that the rule allows.
CONTACT_S = 4.0
RETRIES = 3
SETTLE_S = 5.0
DOWN_S = 1.5
REPLICA_DOWN_S = 2.0
# The client's pause between two attempts, and its rounds over the machines.
RETRY_S = 1.0
ROUNDS = 3
PATH = '/order/crash'


class CrashingReplica(Replica):
    """A replica that ends as soon as it begins to run one request."""

    async def _handle(self, method, target, headers, body, writer) -> None:
        if target != PATH:
            await super()._handle(method, target, headers, body, writer)
            return
        if not self.server.is_serving():
            # The replica has just ended under another request.
            writer.transport.abort()
            return
        request_id = headers['ibismount-request-id']
        self.fleet.crashes.append((time.monotonic(), request_id))
        self.fleet.record.note(f'crash    {request_id} at {self.id}')
        self.server.close()
        for open_writer in list(self.writers):
            open_writer.transport.abort()
        task = asyncio.create_task(self.come_back())
        self.fleet.restarts.add(task)

    async def come_back(self) -> None:
        await asyncio.sleep(REPLICA_DOWN_S)
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )
        self.born = int(time.time() * 1000)
        self.register()
        self.fleet.record.note(f'back     {self.id}')


async def play(record, trouble, add) -> bool:
    fleet = Fleet(record, MACHINES)
    fleet.crashes, fleet.restarts = [], set()
    add(fleet)
    await fleet.store.start()
    for number in range(REPLICAS):
        replica = CrashingReplica(
            fleet, f'picker-{number}', 'picker', fleet.zones[number % 3], slots=6
        )
        fleet.replicas.append(replica)
        await replica.start()
    fleet.store.put(
        'config',
        'main',
        manifest(5, [route('order', '/order/', backend='picker')], ['picker']),
    )
    await fleet.start()
    await asyncio.sleep(SETTLE_S)
    back = fleet.ips[SEEDS:]
    if trouble:
        for ip in fleet.ips:
            fleet.signal(ip, signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for ip in back:
            await fleet.start_edge(ip)
        for ip in back:
            await fleet.wait_ready(ip)
    # From here on all machines that run are in touch.
    await asyncio.sleep(CONTACT_S + SETTLE_S)
    for ip in back:
        await fleet.resolve(ip)
    _, answer = await fleet.request(back[0], '/order/1')
    if answer is None or answer.status != 200:
        raise RuntimeError('the fleet serves nothing')
    for _ in range(ROUNDS):
        for ip in back:
            await fleet.request(ip, PATH)
            await asyncio.sleep(RETRY_S)
    crashes = sorted(fleet.crashes)
    late = set()
    if len(crashes) >= 3:
        bound = crashes[2][0] + CONTACT_S
        late = {request_id for at, request_id in crashes if at > bound}
    record.say(
        f'{len(crashes)} crashes; {len(late)} retries reached replicas later '
        f'than {CONTACT_S} s after the third, {RETRIES} are allowed'
    )
    return len(late) > RETRIES


if __name__ == '__main__':
    run_case(str(HERE), play)
