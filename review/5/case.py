"""A lost answer to a watch stays unnoticed if another kind changes then."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib'))

from fleet import BOUNDS, ask, main, route  # noqa: E402

REQUESTS = 60
CONTACT_S = BOUNDS['contact-ms'] / 1000
APPLY_S = BOUNDS['config-apply-ms'] / 1000
# How long the store loses answers.
LOSS_S = 1.0
SERVICES = ['quote-builder', 'crew-rota']


def routes(service, timeout_ms):
    quotes = route('quotes', '/quotes/', service)
    return [{**quotes, 'timeout-ms': timeout_ms}]


async def run(fleet, record, trouble):
    store = fleet.store
    await fleet.start(routes('quote-builder', 4000), SERVICES)
    latest = fleet.servers.pop()
    await store.delete('servers', latest.id)
    await asyncio.sleep(6)

    async def configure(version, service, timeout_ms):
        config = fleet.config(version, routes(service, timeout_ms), SERVICES)
        acked_at = await store.put('config', 'main', config)
        record(
            f'version {version}: quotes are served by {service}, acknowledged'
        )
        return acked_at

    await configure(2, 'quote-builder', 4001)
    await asyncio.sleep(4)

    if trouble:
        # Some answers of the store are lost: those with the new version.
        store.loses_answer = lambda target: (
            'watch=' in target and target.startswith('/objects/config')
        )
        record('the store begins to lose answers to watches of the manifest')
    acked_at = await configure(3, 'crew-rota', 4001)
    await asyncio.sleep(0.3)
    fleet.servers.append(latest)
    await store.put('servers', latest.id, latest.entry())
    record(f'server {latest.id} of {latest.service} registers')
    await asyncio.sleep(acked_at + LOSS_S - time.monotonic())
    store.loses_answer = lambda target: False
    loss_ended_at = time.monotonic()
    if trouble:
        record('the store loses no more answers')
        answered = sum(at > loss_ended_at - 4.5 for at in store.answer_times)
        record.say(
            f'answers of the store in the last 4.5 s: {len(store.lost_times)} '
            f'lost, {answered} sent'
        )

    begin_at = max(loss_ended_at + CONTACT_S, acked_at + APPLY_S) + 0.5
    await asyncio.sleep(begin_at - time.monotonic())
    stale = 0
    for number in range(REQUESTS):
        ip = fleet.ips[number % len(fleet.ips)]
        request_id, status = await ask(fleet, ip, '/quotes/10/x')
        stale += any(
            request_id in server.runs
            for server in fleet.servers
            if server.service == 'quote-builder'
        )
        await asyncio.sleep(0.05)
    record.say(
        f'{stale} of {REQUESTS} requests, sent {begin_at - acked_at:.1f} to '
        f'{time.monotonic() - acked_at:.1f} s after the acknowledgement of '
        'version 3, were run by the old service'
    )
    return stale > 0


sys.exit(main(run, sys.argv[1]))
