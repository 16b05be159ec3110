"""A replica runs bookings and fails; clients are told that they did not run."""

import asyncio
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-2'))

from harness import (  # noqa: E402
    Fleet,
    Replica,
    encode,
    manifest,
    route,
    run_case,
)

MACHINES = 3
REPLICAS = 7
# `srv_grey`: one replica of seven (share 0.15) fails 0.4 of its requests.
FAILED_SHARE = 0.4
BOOKINGS_PER_S = 22.5
SETTLE_S = 4.0
# The longest `srv_grey` of the site files, played three times.
PERIOD_S = 9.0
PAUSE_S = 3.0
PERIODS = 3
WORK_S = 0.17
PROMISES = (408, 421, 429, 503)


class GreyReplica(Replica):
    """A replica that fails some of the requests that it has run."""

    def __init__(self, *args, **fields) -> None:
        super().__init__(*args, **fields)
        self.respond = self.respond_or_fail
        self.rng = random.Random(1)

    async def respond_or_fail(self, request_id, base, writer) -> None:
        if self.fleet.disturbed and self.rng.random() < FAILED_SHARE:
            base['Ibismount-Server-Stamp'] = self.stamp(request_id)
            self.fleet.record.note(f'fails    {request_id} at {self.id}: 503')
            writer.write(encode(503, base, b'failed'))
            return
        await self.respond_soundly(request_id, base, writer)


async def play(record, trouble, add) -> bool:
    fleet = Fleet(record, MACHINES)
    fleet.disturbed = False
    add(fleet)
    await fleet.store.start()
    for number in range(REPLICAS):
        kind = Replica if number else GreyReplica
        replica = kind(
            fleet,
            f'picker-{number}',
            'picker',
            fleet.zones[number % 3],
            work_s=WORK_S,
            slots=6,
        )
        fleet.replicas.append(replica)
        await replica.start()
    booking = route('book', '/book/', 'non_idempotent', backend='picker')
    fleet.store.put('config', 'main', manifest(5, [booking], ['picker']))
    await fleet.start()
    await asyncio.sleep(SETTLE_S)
    broken, doubled = [], []

    async def book(number: int) -> None:
        runs = 0
        # The first attempt, and one repeat after a promise that it did not run.
        for _ in range(2):
            request_id, answer = await fleet.request(
                fleet.ips[number % MACHINES],
                f'/book/{number}',
                method='POST',
                body=b'covers',
            )
            ran = len(fleet.runs[request_id])
            runs += ran
            if answer is None or answer.status not in PROMISES:
                break
            if ran:
                broken.append(request_id)
                record.note(
                    f'BROKEN   {request_id} ran and was answered '
                    f'{answer.status}'
                )
        if runs > 1:
            doubled.append(number)

    tasks = []
    started_at = time.monotonic()
    while time.monotonic() < started_at + PERIODS * (PERIOD_S + PAUSE_S):
        at = (time.monotonic() - started_at) % (PERIOD_S + PAUSE_S)
        fleet.disturbed = trouble and at < PERIOD_S
        tasks.append(asyncio.create_task(book(len(tasks))))
        await asyncio.sleep(1 / BOOKINGS_PER_S)
    await asyncio.gather(*tasks)
    record.say(
        f'{len(broken)} requests of {len(tasks)} bookings ran and were answered '
        f'as not run; {len(doubled)} bookings ran twice after a repeat'
    )
    return bool(broken)


if __name__ == '__main__':
    run_case(str(HERE), play)
