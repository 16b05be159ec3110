"""Machines lose power at once; others use an old manifest for too long."""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-2'))

from harness import Fleet, Replica, manifest, rank, route, run_case  # noqa: E402

MACHINES = 15
LOST = 6
# Bound of the rule, `config-apply-ms`, in seconds.
CONFIG_APPLY_S = 3.0
SETTLE_S = 6.0
OBSERVED_S = 6.0


async def play(record, trouble, add) -> bool:
    fleet = Fleet(record, MACHINES)
    add(fleet)
    await fleet.store.start()
    for service in ('desk-old', 'desk-new'):
        for zone in fleet.zones:
            replica = Replica(fleet, f'{service}-{zone}', service, zone)
            fleet.replicas.append(replica)
            await replica.start()
    services = ['desk-old', 'desk-new']
    ranked = rank(fleet.ips)
    # The nodes that follow the store, and those next in rank.
    lost, stay = ranked[:LOST], ranked[LOST:]
    fleet.store.put(
        'config',
        'main',
        manifest(
            5,
            [
                route('dropped', '/dropped/', backend='desk-old'),
                route('moved', '/moved/', backend='desk-old'),
            ],
            services,
        ),
    )
    await fleet.start()
    await asyncio.sleep(SETTLE_S)
    record.say(f'{len(lost)} of {MACHINES} machines lose power: {lost}')
    if trouble:
        # No node answers any more; connections to them hang.
        for ip in lost:
            fleet.signal(ip, signal.SIGSTOP)
    ack = fleet.store.put(
        'config',
        'main',
        manifest(8, [route('moved', '/moved/', backend='desk-new')], services),
    )
    record.say('manifest 8 acknowledged: no route /dropped/, /moved/ moved')

    broken = []

    async def ask(ip: str, path: str) -> None:
        sent_at = time.monotonic()
        request_id, answer = await fleet.request(ip, path, deadline_ms=2000)
        ran_at = {name.rpartition('-')[0] for name, _ in fleet.runs[request_id]}
        old = 'desk-old' in ran_at
        if old and sent_at > ack + CONFIG_APPLY_S:
            broken.append(sent_at - ack)
            record.note(
                f'BROKEN   {request_id} sent {sent_at - ack:.3f} s after the '
                f'ack was run by desk-old'
            )

    tasks = []
    while time.monotonic() < ack + OBSERVED_S:
        for ip in stay:
            for path in ('/dropped/1', '/moved/1'):
                tasks.append(asyncio.create_task(ask(ip, path)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    record.say(
        f'{len(broken)} of {len(tasks)} requests ran as only manifest 5 allows, '
        f'though sent over {CONFIG_APPLY_S} s after the ack; the last one '
        f'{max(broken, default=0):.2f} s after it'
    )
    return bool(broken)


if __name__ == '__main__':
    run_case(str(HERE), play)
