"""A node freezes for a moment; its zone sends to a replica that is gone."""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-2'))

from harness import Fleet, Replica, manifest, rank, route, run_case  # noqa: E402

MACHINES = 12
# Ranks of the zone's machines; the first of them passes changes on to the others.
ZONE_RANKS = (7, 8, 10, 11)
ZONE = 'z2'
# Bound of the rule, `drain-timeout-ms`, in seconds.
DRAIN_S = 3.0
SETTLE_S = 4.0
# From the cut of the watches to the freeze, from there to the removal of the
# entry, and from there to the end of the freeze, in seconds.
CUT_TO_FREEZE_S = 0.5
FREEZE_TO_REMOVAL_S = 0.2
REMOVAL_TO_THAW_S = 1.5
# The replica serves "a little longer" than the bound, and then exits.
SERVES_S = 3.4
WORK_S = 0.17
BOOKINGS_PER_S = 8
OBSERVED_S = 5.0
ROUNDS = 3
# Longer than `contact-ms`, and than a removal is delayed after a failure.
CALM_S = 6.0


async def play(record, trouble, add) -> bool:
    fleet = Fleet(record, MACHINES)
    add(fleet)
    await fleet.store.start()
    ranked = rank(fleet.ips)

    def zone_of(ip: str) -> str:
        number = ranked.index(ip)
        return ZONE if number in ZONE_RANKS else f'z{number % 2}'

    fleet.zone_of = zone_of
    relay, *others = [ranked[number] for number in ZONE_RANKS]
    async def add_replica(name: str, zone: str) -> Replica:
        replica = Replica(fleet, name, 'picker', zone, work_s=WORK_S, slots=6)
        fleet.replicas.append(replica)
        await replica.start()
        return replica

    for zone in fleet.zones:
        if zone != ZONE:
            await add_replica(f'picker-{zone}', zone)
    booking = route('book', '/book/', 'non_idempotent', backend='picker')
    fleet.store.put('config', 'main', manifest(5, [booking], ['picker']))
    await fleet.start()
    await asyncio.sleep(SETTLE_S)

    sent, lost, late = {}, [], []

    async def book(ip: str) -> None:
        request_id = fleet.next_id()
        sent[request_id] = time.monotonic()
        _, answer = await fleet.request(
            ip, '/book/1', method='POST', body=b'covers', request_id=request_id
        )
        ran = any('leaving' in name for name, _ in fleet.runs[request_id])
        if ran and (answer is None or answer.status != 200):
            lost.append(request_id)

    async def play_round(leaving: Replica) -> None:
        if trouble:
            record.say(f'the store cuts {fleet.store.cut_watches()} watches')
        await asyncio.sleep(CUT_TO_FREEZE_S)
        if trouble:
            fleet.signal(relay, signal.SIGSTOP)
        await asyncio.sleep(FREEZE_TO_REMOVAL_S)
        ack = fleet.store.delete('servers', leaving.id)
        record.say(f'the entry of {leaving.id} is removed')
        await asyncio.sleep(REMOVAL_TO_THAW_S)
        if trouble:
            fleet.signal(relay, signal.SIGCONT)
        await asyncio.sleep(ack + SERVES_S - time.monotonic())
        record.say(f'{leaving.id} exits')
        leaving.server.close()
        for writer in list(leaving.writers):
            writer.transport.abort()
        await asyncio.sleep(ack + OBSERVED_S - time.monotonic())
        for request_id, runs in fleet.runs.items():
            for name, at in runs:
                if name == leaving.id and at > ack + DRAIN_S:
                    late.append(request_id)
                    record.note(
                        f'BROKEN   {request_id}, sent {sent[request_id] - ack:.2f}'
                        f' s after the ack of the removal, reaches {leaving.id} '
                        f'{at - ack:.2f} s after it'
                    )

    tasks = []
    ended = asyncio.Event()

    async def load() -> None:
        while not ended.is_set():
            # None of these is disturbed.
            tasks.extend(asyncio.create_task(book(ip)) for ip in others)
            await asyncio.sleep(1 / BOOKINGS_PER_S)

    loader = asyncio.create_task(load())
    for number in range(ROUNDS):
        leaving = await add_replica(f'leaving-{number}', ZONE)
        await asyncio.sleep(CALM_S)
        await play_round(leaving)
    ended.set()
    await loader
    await asyncio.gather(*tasks)
    record.say(
        f'{len(late)} requests reached the replicas later than {DRAIN_S} s after '
        f'the ack of their removal; {len(lost)} bookings that they ran got no '
        f'answer of theirs'
    )
    return bool(late)


if __name__ == '__main__':
    run_case(str(HERE), play)
