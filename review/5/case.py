"""A planned stop cuts off requests that the node has read."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib'))

from fleet import BOUNDS, Consumer, encode_request, main, route  # noqa: E402

CONNECTIONS = 5
SLACK_S = BOUNDS['loss-slack-ms'] / 1000


async def send_pair(fleet, record, ip):
    """Send two requests on one connection; return whether one was lost."""
    conn = await Consumer.connect(ip, fleet.ports[1])
    ids = [fleet.next_id() for _ in range(2)]
    conn.send_raw(encode_request(ids[0], '/quotes/700/x'))
    await asyncio.sleep(0.05)
    conn.send_raw(encode_request(ids[1], '/quotes/100/x'))
    sent_at = time.monotonic()
    record(f'consumer has sent {ids[0]} and {ids[1]} to {ip}')
    for request_id in ids:
        try:
            async with asyncio.timeout(4):
                status, headers, _ = await conn.read()
        except asyncio.IncompleteReadError:
            # The end without a reset shows that the node had read all bytes.
            age_s = time.monotonic() - sent_at
            record(
                f'consumer got no answer to {request_id}: the connection ended '
                f'{age_s:.3f} s after its last byte was sent'
            )
            conn.close()
            return age_s > SLACK_S
        record(
            f'consumer got {status} to {request_id}, connection: '
            f'{headers.get("connection", "kept")}'
        )
    conn.close()
    return False


async def run(fleet, record, trouble):
    await fleet.start(
        [route('quotes', '/quotes/', 'quote-builder')],
        ['quote-builder'],
        per_zone=2,
    )
    lost = 0
    for ip in fleet.ips:
        pairs = [
            asyncio.create_task(send_pair(fleet, record, ip))
            for _ in range(CONNECTIONS)
        ]
        await asyncio.sleep(0.2)
        if trouble:
            fleet.signal(ip, signal.SIGTERM)
        lost += sum(await asyncio.gather(*pairs))
        if trouble:
            async with asyncio.timeout(8):
                await fleet.processes[ip].wait()
            record(f'edge {ip} has ended')
            await fleet.start_edge(ip)
            await fleet.wait_ready(ip, 10)
            await asyncio.sleep(1)
    record.say(
        f'{lost} of {2 * CONNECTIONS * len(fleet.ips)} requests were read and '
        'not answered'
    )
    return lost > 0


sys.exit(main(run, pathlib.Path(__file__).parent))
