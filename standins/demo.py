"""Run a small deployment and show what callers and operators see.

``python -m standins.demo`` starts the platform stand-in, backend servers and
six nodes as separate processes on loopback. It searches, reads several pages of
one listing, books, takes an availability zone out of service and back, and
stops a node while searches run. It stops every process that it started and
exits with status 1 when an answer was wrong.

``--stay`` keeps the processes running, to try out ``ibismountctl``.
"""

import argparse
import concurrent.futures
import contextlib
import pathlib
import random
import signal
import sys
import threading
import time
import uuid
from typing import Any

import httpx
import yaml

from standins import _records
from standins._deployment import (
    DEFAULT_PORT_BASE,
    OPERATOR_TOKEN,
    SHARD_COUNT,
    SNAPSHOT,
    Deployment,
    ports_from_base,
)

TEAM = 'severn-railings'
WARM_TIMEOUT_S = 20.0
# The second copy of a booking gets ``unknown`` until the result of the first is
# recorded, after its answer, in the store.
BOOKING_RECORD_TIMEOUT_S = 2.0
PAGE_COUNT = 3
# Nodes are assigned to the three zones in turn.
ZONE_B_NODE = 1
STOPPED_NODE = 5
SEARCH_THREADS = 3
# Equals page_size of hazard-notes in examples/wrekin/templates.yaml.
HAZARD_PAGE_SIZE = 50
EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples' / 'wrekin'
TABLE_HEADER = ('request', 'outcome', 'coverage', 'ms', 'cause', 'trace')


class Caller:
    """Caller that keeps the address list and retries at other nodes.

    Args:
        address: API address of any node.
        seed: Seed for the random choice of addresses.
    """

    def __init__(self, address: str, seed: int) -> None:
        """Fetch the address list."""
        self._rng = random.Random(seed)
        self._http = httpx.Client(timeout=10)
        reply = self._http.get(f'http://{address}/v1/addresses')
        self._addresses = reply.json()['addresses']

    def post(
        self, path: str, body: dict[str, Any], *, address: str = ''
    ) -> dict[str, Any]:
        """Send a request to ``address``, by default to a random known one."""
        chosen = address or self._rng.choice(self._addresses)
        return self._http.post(f'http://{chosen}{path}', json=body).json()

    def search(
        self, template: str, text: str, *, cursor: str = '', address: str = ''
    ) -> dict[str, Any]:
        """Send a search."""
        body = {
            'team': TEAM,
            'template': template,
            'query': {'text': text},
            'cursor': cursor,
        }
        return self.post('/v1/search', body, address=address)

    def search_until_answered(self, template: str, text: str) -> dict[str, Any]:
        """Send a search, and retry at other nodes while it is refused."""
        for _ in range(len(self._addresses) + 1):
            try:
                reply = self.search(template, text)
            except httpx.ConnectError:
                # The list may contain a node that has stopped since.
                continue
            if reply.get('status') != 'not_run':
                return reply
            # A refusal contains the current address list.
            self._addresses = reply.get('addresses') or self._addresses
        return {'status': 'not_run'}


class Demo:
    """State of one demo run: connections, table rows and failed checks."""

    def __init__(self, deployment: Deployment) -> None:
        """Connect to a running deployment."""
        self.deployment = deployment
        self.rows: list[tuple[str, ...]] = [TABLE_HEADER]
        self.failures: list[str] = []
        self.caller = Caller(deployment.api_address(), seed=1)
        self.admin = httpx.Client(
            base_url=f'http://{deployment.api_address()}/admin/v1',
            headers={'authorization': f'Bearer {OPERATOR_TOKEN}'},
            timeout=20,
        )

    def check(self, passed: bool, failure: str) -> None:
        """Record ``failure`` when a check did not pass."""
        if not passed:
            self.failures.append(failure)

    def add_row(self, label: str, reply: dict[str, Any]) -> None:
        """Add an answer to the table."""
        coverage = reply.get('coverage') or {}
        cause = reply.get('cause') or {}
        coverage_cell = (
            f'{coverage["answered"]}/{coverage["asked"]}' if coverage else ''
        )
        self.rows.append(
            (
                label,
                str(reply.get('code', reply.get('status'))),
                coverage_cell,
                f'{reply.get("latency_ms", 0):.1f}',
                f'{cause.get("origin", "")} {cause.get("code", "")}'.strip(),
                reply.get('trace_id', '')[:16],
            )
        )

    def put(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Apply an operator's change and check that it is accepted."""
        reply = self.admin.put(path, json=body)
        fields = reply.json()
        self.check(
            fields.get('outcome') == 'accepted',
            f'change {path} was not accepted: {reply.text[:300]}',
        )
        return fields

    def search_complete(self, label: str, text: str) -> None:
        """Search and check that every shard answered with the right results."""
        reply = self.caller.search('hazard-notes', text)
        self.add_row(label, reply)
        self.check(is_complete(reply), f'{label}: incomplete answer: {reply}')
        result_ids = [result['id'] for result in reply.get('results', ())]
        expected = compute_best_ids(text)[:HAZARD_PAGE_SIZE]
        self.check(
            result_ids == expected, f'{label}: wrong results: {result_ids}'
        )


def is_complete(reply: dict[str, Any]) -> bool:
    """Return whether every shard answered."""
    coverage = reply.get('coverage') or {}
    return reply.get('status') == 'answered' and (
        coverage.get('answered') == SHARD_COUNT
    )


def compute_best_ids(text: str) -> list[str]:
    """Return the ids of all matches, best first, computed from the records."""
    matches = [
        match
        for shard in range(SHARD_COUNT)
        for match in _records.search(
            f'shard-{shard}', SNAPSHOT, text, _records.RECORDS_PER_SHARD
        )
    ]
    matches.sort(key=lambda match: (-match['score'], match['id']))
    return [match['id'] for match in matches]


def configure(demo: Demo) -> None:
    """Apply the example templates and parameters, and warm the servers."""
    for template in _load_example('templates.yaml'):
        demo.put(f'/templates/{template["name"]}', template)
    for parameters in _load_example('parameters.yaml'):
        demo.put(
            f'/parameters/{parameters["team"]}/{parameters["template"]}',
            parameters,
        )
    deadline = time.monotonic() + WARM_TIMEOUT_S
    while not is_complete(demo.caller.search('past-jobs', 'asbestos')):
        if time.monotonic() > deadline:
            demo.failures.append(
                'the backend servers did not become warm in time'
            )
            return
        time.sleep(0.1)


def _load_example(name: str) -> list[dict[str, Any]]:
    return yaml.safe_load(EXAMPLES.joinpath(name).read_text(encoding='utf-8'))


def search(demo: Demo) -> None:
    """Run three searches and check their results."""
    for text in ('asbestos', 'crew ladder', 'wiring hazard'):
        demo.search_complete(f'search "{text}"', text)


def read_pages(demo: Demo) -> None:
    """Read a listing page by page and check that it uses one snapshot."""
    listed_ids: list[str] = []
    snapshots = set()
    cursor = ''
    for page in range(1, PAGE_COUNT + 1):
        reply = demo.caller.search('past-jobs', 'roof', cursor=cursor)
        demo.add_row(f'page {page} of "roof"', reply)
        demo.check(
            is_complete(reply), f'page {page}: incomplete answer: {reply}'
        )
        listed_ids.extend(result['id'] for result in reply.get('results', ()))
        snapshots.add(reply.get('snapshot'))
        cursor = reply.get('cursor', '')
        if not cursor:
            break
    expected = compute_best_ids('roof')[: len(listed_ids)]
    demo.check(page == PAGE_COUNT, f'the listing ended early, on page {page}')
    demo.check(
        listed_ids == expected, f'pages repeat or skip results: {listed_ids}'
    )
    demo.check(
        len(snapshots) == 1, f'pages are from several snapshots: {snapshots}'
    )


def book(demo: Demo) -> None:
    """Send one booking to two nodes and check that it ran only once."""
    body = {
        'team': TEAM,
        'template': 'crew-visit',
        'request_id': f'{int(time.time() * 1000)}-{uuid.uuid4().hex[:12]}',
        'shard': 'shard-3',
        'booking': {'address': '4 Quay Street', 'day': '2026-12-07'},
    }
    replies = []
    for label, node in (('booking', 0), ('same booking at another node', 3)):
        address = demo.deployment.api_address(node)
        reply = demo.caller.post('/v1/bookings', body, address=address)
        demo.add_row(label, reply)
        deadline = time.monotonic() + BOOKING_RECORD_TIMEOUT_S
        while reply.get('status') == 'unknown' and time.monotonic() < deadline:
            time.sleep(0.1)
            reply = demo.caller.post('/v1/bookings', body, address=address)
        demo.check(
            reply.get('status') == 'answered', f'{label}: not answered: {reply}'
        )
        replies.append(reply)
    first_result, second_result = (reply.get('result') for reply in replies)
    demo.check(
        first_result == second_result,
        f'the booking ran twice: {first_result}, {second_result}',
    )


def take_zone_out(demo: Demo) -> None:
    """Take an availability zone out of service and back into service."""
    change = demo.put('/zones/wrekin-b', {'in_service': False})
    refused = demo.caller.search(
        'past-jobs',
        'asbestos',
        address=demo.deployment.api_address(ZONE_B_NODE),
    )
    demo.add_row('search at a node of wrekin-b', refused)
    cause = refused.get('cause') or {}
    demo.check(
        refused.get('status') == 'not_run'
        and cause.get('change_id') == change.get('change_id'),
        f'a node of wrekin-b did not refuse because of the change: {refused}',
    )
    demo.caller = Caller(demo.deployment.api_address(), seed=2)
    for text in ('asbestos', 'scaffold'):
        demo.search_complete('search, wrekin-b out of service', text)
    demo.put('/zones/wrekin-b', {'in_service': True})
    demo.search_complete('search, wrekin-b in service again', 'boiler')


def stop_node(demo: Demo) -> None:
    """Stop a node while searches run and check that no search fails."""
    stopped = threading.Event()
    with concurrent.futures.ThreadPoolExecutor(SEARCH_THREADS) as pool:
        searches = [
            pool.submit(_search_until, demo.deployment, stopped, seed)
            for seed in range(SEARCH_THREADS)
        ]
        time.sleep(0.5)
        status = demo.deployment.stop_node(STOPPED_NODE)
        time.sleep(0.5)
        stopped.set()
        outcomes = [search_future.result() for search_future in searches]
    answered = sum(thread_answered for thread_answered, _ in outcomes)
    failures = [
        failure
        for _, thread_failures in outcomes
        for failure in thread_failures
    ]
    demo.rows.append(
        (
            'searches while a node stops',
            f'{answered} answered',
            f'{len(failures)} failed',
            '',
            '',
            '',
        )
    )
    demo.check(answered > 0, 'no search ran while the node stopped')
    demo.check(status == 0, f'the stopped node exited with {status}')
    for failure in failures:
        demo.failures.append(f'while a node stopped: {failure}')


def _search_until(
    deployment: Deployment, stopped: threading.Event, seed: int
) -> tuple[int, list[str]]:
    """Search until the event is set; return answer count and failures."""
    caller = Caller(deployment.api_address(), seed)
    answered = 0
    failures = []
    while not stopped.is_set():
        try:
            reply = caller.search_until_answered('hazard-notes', 'asbestos')
        except httpx.HTTPError as exc:
            failures.append(repr(exc))
            continue
        if is_complete(reply):
            answered += 1
        else:
            failures.append(str(reply)[:300])
    return answered, failures


def print_table(demo: Demo) -> None:
    """Print the rows in columns."""
    widths = [max(map(len, column)) for column in zip(*demo.rows, strict=True)]
    for row in demo.rows:
        cells = zip(row, widths, strict=True)
        print('  '.join(cell.ljust(width) for cell, width in cells).rstrip())


def print_timeline(demo: Demo) -> None:
    """Print the timeline with ``ibismountctl``."""
    command = ('timeline', '--since', '5m', '--rows', '8')
    completed = demo.deployment.run_ctl(*command)
    print(f'\n$ ibismountctl {" ".join(command)}\n{completed.stdout}', end='')
    demo.check(
        completed.returncode == 0 and 'zone wrekin-b' in completed.stdout,
        f'ibismountctl timeline: status {completed.returncode} '
        f'{completed.stderr}',
    )


def wait_for_interrupt(demo: Demo) -> None:
    """Keep the processes running until Ctrl-C or SIGTERM."""
    print(
        'The deployment is running. Run in another terminal:\n\n'
        f'export IBISMOUNT_NODE=http://{demo.deployment.api_address()}\n'
        f'export IBISMOUNT_TOKEN={OPERATOR_TOKEN}\n'
        'ibismountctl status\n\nPress Ctrl-C to stop it.',
        flush=True,
    )
    with contextlib.suppress(KeyboardInterrupt):
        signal.pause()


def run_steps(demo: Demo) -> None:
    """Run all steps and print the table and the timeline."""
    for step in (search, read_pages, book, take_zone_out, stop_node):
        step(demo)
    print_table(demo)
    print_timeline(demo)


def main() -> None:
    """Run the demo and exit with 1 when an answer was wrong."""
    parser = argparse.ArgumentParser(
        prog='standins.demo', description=__doc__.splitlines()[0]
    )
    parser.add_argument('--port-base', type=int, default=DEFAULT_PORT_BASE)
    parser.add_argument(
        '--stay', action='store_true', help='keep the processes running'
    )
    args = parser.parse_args()
    folder = pathlib.Path('.demo')
    folder.mkdir(exist_ok=True)
    # SIGTERM stops the started processes as Ctrl-C does.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with Deployment(folder, ports_from_base(args.port_base)) as deployment:
        demo = Demo(deployment)
        configure(demo)
        if args.stay:
            wait_for_interrupt(demo)
        else:
            run_steps(demo)
    print(f'\nSettings and logs of all processes are in {folder}/.')
    for failure in demo.failures:
        print(f'check failed: {failure}', file=sys.stderr)
    sys.exit(bool(demo.failures))


if __name__ == '__main__':
    main()
