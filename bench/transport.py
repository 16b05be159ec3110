"""Measure the cost of the transport: HTTP clients, codec, link and fan-out.

Run ``python -m bench.transport``. Client costs are the CPU time of this
process; servers and gateways run in separate processes. Compare figures
within one run only: they depend on the load of the machine.
"""

import argparse
import contextlib
import functools
import json
import os
import pathlib
import statistics
import subprocess
import sys
import time

import anyio

from bench._clients import QUERY, make_call, make_callers
from bench._gateway import run_gateway
from ibismount import frame
from ibismount.backend import make_backend_client
from ibismount.catalog import BackendServer
from ibismount.link_manager import LinkManager
from ibismount.messages import (
    BatchReply,
    BatchRequest,
    Item,
    ItemReply,
    ItemStatus,
    Ping,
)
from ibismount.roster import Member

HOST = '127.0.0.1'
RESULTS = pathlib.Path(__file__).parent / 'results' / 'transport.json'
PROCESSES = 6
SERVERS_EACH = 45
REPETITIONS = 5
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
UNLIMITED = (
    '--slots=1000 --connections=1000 --warm-after=0 --service-ms=0'
).split()


@contextlib.contextmanager
def run_module(module, *args):
    """Run a module as a process for the block, once it printed a line."""
    command = [sys.executable, '-m', module, *map(str, args)]
    child = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        child.stdout.readline()
        yield child
    finally:
        child.terminate()
        child.wait()


def process_cpu_s(child):
    """Return the CPU time of a child process in seconds."""
    stat = pathlib.Path(f'/proc/{child.pid}/stat').read_text()
    user, system = stat.rpartition(')')[2].split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


async def run_concurrently(send_request, count, concurrency):
    """Send ``count`` requests, at most ``concurrency`` at a time."""
    numbers = iter(range(count))

    async def worker():
        for number in numbers:
            await send_request(number)

    async with anyio.create_task_group() as tasks:
        for _ in range(concurrency):
            tasks.start_soon(worker)


async def measure(send_request, count, concurrency):
    await run_concurrently(send_request, count // 10, concurrency)
    cpu_started_s, started = time.process_time(), time.perf_counter()
    await run_concurrently(send_request, count, concurrency)
    return {
        'cpu_us': (time.process_time() - cpu_started_s) / count * 1e6,
        'elapsed_us': (time.perf_counter() - started) / count * 1e6,
    }


def medians(measured):
    return {
        name: statistics.median(figures[name] for figures in measured)
        for name in measured[0]
    }


async def measure_clients(port, count):
    rows = []
    async with make_callers(port) as callers:
        for concurrency in (1, 30):
            measurements = {name: [] for name in callers}
            # Interleave repetitions so that other load affects all clients.
            for _ in range(REPETITIONS):
                for name, send in callers.items():
                    measurements[name].append(
                        await measure(send, count, concurrency)
                    )
            rows += [
                {
                    'client': client,
                    'method': method,
                    'concurrency': concurrency,
                    **medians(measured),
                }
                for (client, method), measured in measurements.items()
            ]
    for row in rows:
        row['ratio_to_httpx'] = row['cpu_us'] / httpx_cpu_us(rows, row)
    return rows


def httpx_cpu_us(rows, row):
    return next(
        other['cpu_us']
        for other in rows
        if other['client'] == 'httpx'
        and other['method'] == row['method']
        and other['concurrency'] == row['concurrency']
    )


def make_batch(items, number=0):
    return BatchRequest(
        f'a-{number}', f'r-{number}', '', 'team', 1, 0, 'jobs', 's1', 'f' * 16,
        10_000, 7, True, QUERY, tuple(items),
    )  # fmt: skip


def measure_codec():
    rows = []
    for size in (1, 16, 64):
        request = make_batch(
            Item(index, f'shard-{index}', f'server-{index}')
            for index in range(size)
        )
        reply = BatchReply(
            'a-0',
            tuple(
                ItemReply(index, ItemStatus.ANSWERED, 's1', b'x' * 500)
                for index in range(size)
            ),
            final=True,
        )
        row = {'items': size}
        for name, message in (('request', request), ('reply', reply)):
            raw = frame.encode(message)
            rounds = 4000 // size + 50
            row[f'{name}_encode_us'] = per_item(
                functools.partial(frame.encode, message), rounds, size
            )
            row[f'{name}_decode_us'] = per_item(
                functools.partial(frame.decode, raw), rounds, size
            )
        rows.append(row)
    return rows


def per_item(call, rounds, size):
    """Return the CPU microseconds per item, the median of five runs."""
    cpu_us_per_item = []
    for _ in range(5):
        started = time.process_time()
        for _ in range(rounds):
            call()
        cpu_us_per_item.append(
            (time.process_time() - started) / rounds / size * 1e6
        )
    return statistics.median(cpu_us_per_item)


async def measure_link(count):
    """Measure Ping round trips between two nodes in this process."""
    waiting = {}

    def handle_reply(sender, message):
        waiting.pop(message.probe).set()

    async def handle_request(sender, message):
        await server.send(sender, message)

    options = {'cluster': 'bench', 'secret': b'bench'}
    client = LinkManager(
        Member('a', 1, 'z', 'r', '', ''), handler=handle_reply, **options
    )
    server = LinkManager(
        Member('b', 1, 'z', 'r', f'{HOST}:0', ''),
        handler=handle_request,
        **options,
    )

    async def ping(number):
        waiting[number] = event = anyio.Event()
        await client.send('b', Ping(number))
        await event.wait()

    rows = []
    async with anyio.create_task_group() as tasks:
        address = await tasks.start(server.serve)
        await tasks.start(client.serve)
        client.set_addresses({'b': address})
        for concurrency in (1, 30):
            measured = [
                await measure(ping, count, concurrency)
                for _ in range(REPETITIONS)
            ]
            rows.append({'concurrency': concurrency, **medians(measured)})
        tasks.cancel_scope.cancel()
    return rows


class FanOut:
    """Run one query as sub-requests, directly or through gateways."""

    def __init__(self, base_port):
        self.client = make_backend_client()
        self.servers = [
            BackendServer(
                f'b{process_index}-{index}',
                f'{HOST}:{base_port + process_index * 100 + index}',
                'z',
                f'shard-{process_index * SERVERS_EACH + index}',
            )
            for index in range(SERVERS_EACH)
            for process_index in range(PROCESSES)
        ]
        self._replies_left = 0
        self._all_replied = anyio.Event()
        self._query_number = 0

    async def call_directly(self, size):
        async with anyio.create_task_group() as tasks:
            for server in self.servers[:size]:
                tasks.start_soon(self._call_server, server)

    async def _call_server(self, server):
        self._query_number += 1
        call = make_call(self._query_number, server.shard)
        await self.client.call(server, call, connections=70)

    async def through_gateways(self, peers, size):
        self._replies_left, self._all_replied = size, anyio.Event()
        self._query_number += 1
        for gateway in range(PROCESSES):
            servers = self.servers[gateway:size:PROCESSES]
            items = [
                Item(index, server.shard, server.address)
                for index, server in enumerate(servers)
            ]
            await peers.send(
                f'g{gateway}', make_batch(items, self._query_number)
            )
        await self._all_replied.wait()

    def handle_replies(self, sender, message):
        for reply in message.replies:
            assert reply.status is ItemStatus.ANSWERED
        self._replies_left -= len(message.replies)
        if not self._replies_left:
            self._all_replied.set()


async def measure_fan_out(base_port, gateways, rounds):
    fan_out = FanOut(base_port)
    peers = LinkManager(
        Member('entry', 1, 'z', 'r', '', ''),
        cluster='bench',
        secret=b'bench',
        handler=fan_out.handle_replies,
    )
    rows = []
    async with anyio.create_task_group() as tasks:
        await tasks.start(peers.serve)
        peers.set_addresses(
            {f'g{index}': child.address for index, child in enumerate(gateways)}
        )
        for size in (30, 90, 270):
            paths = {
                'flat': functools.partial(fan_out.call_directly, size),
                '6 gateways': functools.partial(
                    fan_out.through_gateways, peers, size
                ),
            }
            for path, run_query in paths.items():
                figures = await measure_rounds(
                    run_query, size, gateways, rounds
                )
                rows.append({'way': path, 'sub_requests': size, **figures})
        tasks.cancel_scope.cancel()
    for flat, through in zip(rows[::2], rows[1::2]):
        for row in (flat, through):
            for name in ('client_cpu_us', 'elapsed_ms'):
                row[f'{name}_ratio'] = row[name] / flat[name]
    return rows


async def measure_rounds(run_query, size, gateways, rounds):
    for _ in range(5):
        await run_query()
    elapsed_ms = []
    gateway_cpu_s = sum(map(process_cpu_s, gateways))
    cpu_s = time.process_time()
    for _ in range(rounds):
        started = time.perf_counter()
        await run_query()
        elapsed_ms.append((time.perf_counter() - started) * 1e3)
    cpu_s = time.process_time() - cpu_s
    gateway_cpu_s = sum(map(process_cpu_s, gateways)) - gateway_cpu_s
    return {
        'client_cpu_us': cpu_s / rounds / size * 1e6,
        'gateway_cpu_us': gateway_cpu_s / rounds / size * 1e6,
        'elapsed_ms': statistics.median(elapsed_ms),
        'elapsed_max_ms': max(elapsed_ms),
    }


def print_table(title, rows):
    print(f'\n{title}')
    names = list(rows[0])
    table = [
        names,
        *([format_cell(row[name]) for name in names] for row in rows),
    ]
    widths = [max(map(len, column)) for column in zip(*table)]
    for line in table:
        print('  '.join(text.rjust(width) for text, width in zip(line, widths)))


def round_floats(value):
    if isinstance(value, float):
        return round(value, 2)
    if isinstance(value, dict):
        return {name: round_floats(item) for name, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [round_floats(item) for item in value]
    return value


def format_cell(value):
    return f'{value:.2f}' if isinstance(value, float) else str(value)


def main():
    parser = argparse.ArgumentParser(prog='bench.transport')
    parser.add_argument('--port', type=int, default=23000)
    parser.add_argument('--count', type=int, default=600)
    parser.add_argument('--rounds', type=int, default=30)
    parser.add_argument('--gateway', default='', help='internal: node id')
    options = parser.parse_args()
    if options.gateway:
        anyio.run(run_gateway, options.gateway, HOST)
        return
    port = options.port
    # Other load on the machine affects figures more than their ratios.
    results = {'load_average': os.getloadavg()}
    with run_module('standins.backend', '--port', port, *UNLIMITED):
        results['clients'] = anyio.run(measure_clients, port, options.count)
    results['codec'] = measure_codec()
    results['link'] = anyio.run(measure_link, options.count)
    with contextlib.ExitStack() as stack:
        for index in range(PROCESSES):
            stack.enter_context(
                run_module(
                    'standins.backend',
                    '--port', port + index * 100,
                    '--servers', SERVERS_EACH,
                    '--first-shard', index * SERVERS_EACH,
                    *UNLIMITED,
                )
            )  # fmt: skip
        gateways = [
            stack.enter_context(run_gateway_process(f'g{index}'))
            for index in range(PROCESSES)
        ]
        results['fan_out'] = anyio.run(
            measure_fan_out, port, gateways, options.rounds
        )
    print_table('HTTP clients, per request', results['clients'])
    print_table('Frames, CPU us per batch item', results['codec'])
    print_table('Ping round trip over a link, both nodes', results['link'])
    print_table('Fan-out, per sub-request and per query', results['fan_out'])
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(round_floats(results), indent=1) + '\n')


@contextlib.contextmanager
def run_gateway_process(node_id):
    command = [sys.executable, '-m', 'bench.transport', '--gateway', node_id]
    child = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        child.address = child.stdout.readline().strip()
        yield child
    finally:
        child.terminate()
        child.wait()


if __name__ == '__main__':
    main()
