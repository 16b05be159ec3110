"""Real edge processes with a stand-in store and stand-in servers."""

import asyncio
import json
import signal
import subprocess
import sys

import pytest
from prometheus_client.parser import text_string_to_metric_families

from standins.edge_fleet import ROOT, SHARDS
from standins.soak_checks import (
    CONTACT_S,
    LIMIT_FACTOR,
    LIMIT_SLACK,
    LIMIT_WINDOW_S,
)
from tests.fleet_runner import run_test


def test_requests_reach_the_servers_and_are_answered(tmp_path):
    """The whole request path must be testable without the users' test bench."""

    async def main(fleet, client):
        for ip in fleet.ips:
            request_id, answer = await fleet.send_new_request(client, ip)
            assert answer.status_code == 200
            parts = answer.headers['ibismount-part-stamps'].split(', ')
            assert len(parts) == len(SHARDS)
            assert all(part.endswith(request_id) for part in parts)
            assert answer.headers['ibismount-missing-parts'] == '0'
            assert len(answer.content) == 3 * 16
        request_id, answer = await fleet.send_new_request(
            client, fleet.ips[0], '/booking1/x', 'POST'
        )
        assert answer.headers['ibismount-server-stamp'].endswith(request_id)
        assert fleet.count_runs(request_id) == 1
        assert (await fleet.send_new_request(client, fleet.ips[0], '/none/'))[
            1
        ].status_code == 404

    run_test(tmp_path, main)


def test_live_nodes_are_advertised_to_callers(tmp_path):
    """A killed node must soon disappear from the address lists."""

    async def main(fleet, client):
        async def all_advertised():
            return len(await fleet.resolve_addresses(fleet.ips[0])) == 3

        await fleet.wait_until(all_advertised)
        fleet.edges[fleet.ips[2]].kill()

        async def one_missing():
            return len(await fleet.resolve_addresses(fleet.ips[0])) == 2

        await fleet.wait_until(one_missing)
        await fleet.start_edge(fleet.ips[2])
        await fleet.wait_until(all_advertised)

    run_test(tmp_path, main)


def test_change_reaches_every_node_even_without_the_store(tmp_path):
    """A node that starts while the store is away gets its view from peers."""

    async def main(fleet, client):
        await fleet.configure(2)

        async def serves_new_route(ip):
            _, answer = await fleet.send_new_request(
                client, ip, '/booking2/x', 'POST'
            )
            return answer.status_code == 200

        for ip in fleet.ips:
            await fleet.wait_until(lambda ip=ip: serves_new_route(ip))
        fleet.store.fault = 'busy'
        restarted = fleet.ips[2]
        fleet.edges[restarted].kill()
        await fleet.edges[restarted].wait()
        await fleet.start_edge(restarted)
        await fleet.wait_until_ready(restarted)
        assert await serves_new_route(restarted)

    run_test(tmp_path, main)


@pytest.mark.parametrize('fault', ['silent', 'reset', 'garbage', 'busy'])
def test_faulty_store_does_not_stop_the_service(tmp_path, fault):
    """Searches need only the node's view, not the store."""

    async def main(fleet, client):
        fleet.store.fault = fault
        await fleet.store.drop_history()
        await asyncio.sleep(1.5)
        for ip in fleet.ips:
            _, answer = await fleet.send_new_request(client, ip)
            assert answer.status_code == 200
        fleet.store.fault = ''
        await fleet.configure(3)

        async def serves_new_route():
            _, answer = await fleet.send_new_request(
                client, fleet.ips[0], '/booking3/x', 'POST'
            )
            return answer.status_code == 200

        await fleet.wait_until(serves_new_route)

    run_test(tmp_path, main)


def test_lost_answer_of_the_store_delays_no_version(tmp_path):
    """All nodes used the old routes for 18 s if another kind changed next."""

    async def main(fleet, client):
        fleet.store.loses_answer = lambda target: (
            target.startswith('/objects/config?') and 'watch=' in target
        )
        await fleet.configure(2)
        await asyncio.sleep(0.3)
        await fleet.register(fleet.servers[0], state='draining')
        await asyncio.sleep(0.7)
        fleet.store.loses_answer = lambda target: False
        await asyncio.sleep(CONTACT_S)
        for ip in fleet.ips:
            for path, status in (('/booking1/x', 404), ('/booking2/x', 200)):
                _, answer = await fleet.send_new_request(
                    client, ip, path, 'POST'
                )
                assert answer.status_code == status

    run_test(tmp_path, main)


def test_unreadable_entry_keeps_no_node_from_starting(tmp_path):
    """One entry of another client left every restarted node without a view."""

    async def main(fleet, client):
        await fleet.store.put('servers', 'label-7', {'version': '\ud83d'})
        for ip in fleet.ips:
            fleet.edges[ip].kill()
            await fleet.edges[ip].wait()
        for ip in fleet.ips:
            await fleet.start_edge(ip)
        for ip in fleet.ips:
            await fleet.wait_until_ready(ip)
            answer = (await fleet.send_new_request(client, ip))[1]
            assert answer.status_code == 200

    run_test(tmp_path, main)


def test_shutdown_answers_requests_under_way(tmp_path):
    """Requests under way at SIGTERM must be answered."""

    async def main(fleet, client):
        for server in fleet.servers:
            server.work_s = 0.5
        ip = fleet.ips[1]
        requests = [
            asyncio.create_task(fleet.send_new_request(client, ip))
            for _ in range(5)
        ]
        await asyncio.sleep(0.2)
        fleet.edges[ip].send_signal(signal.SIGTERM)
        for _, answer in await asyncio.gather(*requests):
            assert answer.status_code == 200
            assert answer.headers['connection'] == 'close'
        assert await asyncio.wait_for(fleet.edges[ip].wait(), 8) == 0

    run_test(tmp_path, main)


@pytest.mark.parametrize('fault', ['reset', 'cut', 'silent', 'fail'])
def test_booking_runs_once_whatever_its_server_does(tmp_path, fault):
    """A booking that runs twice sends two vans to one address."""

    async def main(fleet, client):
        for server in fleet.servers:
            server.fault = fault
        request_id, answer = await fleet.send_new_request(
            client, fleet.ips[0], '/booking1/x', 'POST'
        )
        assert answer.status_code in {500, 502, 504}
        assert fleet.count_runs(request_id) == 1

    run_test(tmp_path, main)


def test_extra_answers_of_servers_are_dropped(tmp_path):
    """An extra answer must not count as that of the next request."""

    async def main(fleet, client):
        for server in fleet.servers:
            server.fault = 'extra'
        for _ in range(10):
            request_id, answer = await fleet.send_new_request(
                client, fleet.ips[0]
            )
            parts = answer.headers['ibismount-part-stamps'].split(', ')
            assert all(part.endswith(request_id) for part in parts)

    run_test(tmp_path, main)


def test_leaving_server_gets_no_new_requests(tmp_path):
    """Requests to a draining server must stop well within three seconds."""

    async def main(fleet, client):
        leaving = [server for server in fleet.servers if server.zone == 'z0']
        for server in leaving:
            await fleet.register(server, state='draining')
        await asyncio.sleep(1.5)
        before = sum(sum(server.run_counts.values()) for server in leaving)
        for ip in fleet.ips:
            _, answer = await fleet.send_new_request(client, ip)
            assert answer.status_code == 200
        assert (
            sum(sum(server.run_counts.values()) for server in leaving) == before
        )

    run_test(tmp_path, main)


def test_settings_are_reloaded_and_invalid_ones_rejected(tmp_path):
    """A file may change with or without a signal; a bad one must not apply."""

    async def main(fleet, client):
        ip = fleet.ips[0]
        path = fleet.path / f'{ip}.yaml'
        settings = json.loads(path.read_text())

        def logged(message):
            return [
                line for line in fleet.logs[ip] if line['message'] == message
            ]

        async def reloaded():
            return bool(logged('edge: settings read again'))

        settings['bounds']['retry_slack'] = 50
        path.write_text(json.dumps(settings))
        await fleet.wait_until(reloaded)
        changed = logged('edge: settings read again')[0]['changed']
        assert changed == ['bounds.retry_slack']
        path.write_text('{"node": 7}')
        fleet.edges[ip].send_signal(signal.SIGHUP)

        async def rejected():
            return bool(
                logged(
                    'edge: settings file rejected, the settings in force stay'
                )
            )

        await fleet.wait_until(rejected)
        assert (await fleet.send_new_request(client, ip))[1].status_code == 200

    run_test(tmp_path, main)


def test_reload_signal_during_the_imports_does_not_end_the_process():
    """The default action of SIGHUP ended a process within 0.2 s of its start."""
    script = """
import os, runpy, signal, sys
class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == 'ibismount.change_feed':
            os.kill(os.getpid(), signal.SIGHUP)
sys.meta_path.insert(0, Finder())
sys.argv = ['edge', '--help']
signal.signal(signal.SIGHUP, signal.SIG_DFL)
runpy.run_module('ibismount.edge', run_name='__main__')
"""
    done = subprocess.run(
        [sys.executable, '-c', script],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 0
    assert done.stdout.startswith('usage:')


def test_metrics_are_served_as_text(tmp_path):
    """Counters must be readable by the usual scrapers."""

    async def main(fleet, client):
        for _ in range(3):
            await fleet.send_new_request(client, fleet.ips[0])
        answer = await client.get(
            f'http://{fleet.ips[0]}:{fleet.ports[4]}/metrics'
        )
        samples = {
            (sample.name, sample.labels.get('outcome')): sample.value
            for family in text_string_to_metric_families(answer.text)
            for sample in family.samples
        }
        assert samples[('ibismount_requests_total', 'merged')] == 3
        assert samples[('ibismount_request_seconds_count', None)] == 3
        assert samples[('ibismount_version', None)] == 1
        assert samples[('ibismount_attempts_total', None)] == 3 * len(SHARDS)
        for kind in ('routes', 'servers', 'zones'):
            name = f'ibismount_store_revision_{kind}'
            assert samples[(name, None)] >= fleet.store.revision
        assert ('ibismount_store_revision_probed', None) in samples

    run_test(tmp_path, main)


def test_failure_can_be_traced_by_its_id(tmp_path):
    """An engineer has only the request id and the logs."""

    async def main(fleet, client):
        for server in fleet.servers:
            if server.service in SHARDS[:2]:
                server.fault = 'reset'
        request_id, answer = await fleet.send_new_request(client, fleet.ips[0])
        assert answer.status_code == 502
        await asyncio.sleep(0.2)
        lines = [
            line
            for line in fleet.logs[fleet.ips[0]]
            if line.get('request_id') == request_id
        ]
        assert lines
        assert {attempt.get('end') for attempt in lines[:-1]} == {'broken'}
        assert lines[-1]['code'] == 'backend_lost'
        assert set(lines[-1]['missing']) == set(SHARDS[:2])

    run_test(tmp_path, main)


def most_in_a_window(times, window_s):
    """Return the greatest number of times in any window of this length."""
    return max(
        sum(start <= at < start + window_s for at in times) for start in times
    )


def test_servers_in_need_get_no_more_than_the_limit_that_they_state(tmp_path):
    """All nodes together sent the usual load to servers that named a limit."""

    async def main(fleet, client):
        loop = asyncio.get_running_loop()
        limits = {'s0-z0': 4.0, 's0-z1': 1.0}
        servers = [server for server in fleet.servers if server.id in limits]
        for server in servers:
            server.rate_limit = limits[server.id]
        stated_at = loop.time()
        end_at = stated_at + CONTACT_S + LIMIT_WINDOW_S + 1
        statuses = []

        async def run_caller(ip):
            while loop.time() < end_at:
                _, answer = await fleet.send_new_request(client, ip)
                statuses.append(answer.status_code)
                await asyncio.sleep(0.05)

        async with asyncio.TaskGroup() as group:
            for ip in fleet.ips * 2:
                group.create_task(run_caller(ip))
        assert statuses.count(200) > 0.95 * len(statuses)
        for server in servers:
            # A window counts that ends later than `CONTACT_S` after the naming.
            arrivals = [
                at for at in server.arrival_times_s if at >= stated_at + 0.5
            ]
            allowed = (
                LIMIT_FACTOR * server.rate_limit * LIMIT_WINDOW_S + LIMIT_SLACK
            )
            assert most_in_a_window(arrivals, LIMIT_WINDOW_S) <= allowed

    run_test(tmp_path, main)


async def send_searches(fleet, client, seconds, *, ips=()):
    """Send about thirty searches a second to each node, or to some."""
    loop = asyncio.get_running_loop()
    end_at = loop.time() + seconds

    async def run_caller(ip):
        statuses = []
        while loop.time() < end_at:
            _, answer = await fleet.send_new_request(client, ip)
            statuses.append(answer.status_code)
            await asyncio.sleep(0.03)
        return statuses

    results = await asyncio.gather(*map(run_caller, ips or fleet.ips))
    return [status for statuses in results for status in statuses]


def test_servers_that_ask_for_a_pause_get_no_requests_meanwhile(tmp_path):
    """Servers that turned requests away got the next ones at once."""

    async def main(fleet, client):
        loop = asyncio.get_running_loop()
        servers = [item for item in fleet.servers if item.service == 's0']
        for server in servers:
            server.retry_after_s = 3.0
        paused_at = loop.time()
        statuses = await send_searches(fleet, client, 2.9)
        for server in servers:
            server.retry_after_s = None
            # Each node may send two requests more in a server's pause.
            late = [at for at in server.arrival_times_s if at > paused_at + 0.5]
            assert len(late) <= 2 * len(fleet.ips)
        assert statuses.count(200) == len(statuses)
        await asyncio.sleep(0.5)
        resumed_at = loop.time()
        await send_searches(fleet, client, 2)
        assert any(
            at > resumed_at
            for server in servers
            for at in server.arrival_times_s
        )

    run_test(tmp_path, main)


def test_server_that_says_it_leaves_gets_no_new_requests(tmp_path):
    """Its entry in the store may say so later, or never."""

    async def main(fleet, client):
        loop = asyncio.get_running_loop()
        server = next(item for item in fleet.servers if item.id == 's0-z0')
        server.leaving = True
        started_at = loop.time()
        # Each node learns it from an answer; one in the server's zone is watched.
        ips = fleet.ips[:1]
        statuses = await send_searches(fleet, client, 1, ips=ips)
        await fleet.register(server)
        await fleet.store.delete('servers', server.id)
        await fleet.register(server)
        statuses += await send_searches(fleet, client, 3, ips=ips)
        assert [at for at in server.arrival_times_s if at <= started_at + 0.5]
        assert not [at for at in server.arrival_times_s if at > started_at + 1]
        assert statuses.count(200) == len(statuses)
        server.leaving = False
        server.born += 1
        await fleet.register(server)
        await send_searches(fleet, client, 2, ips=ips)
        assert [at for at in server.arrival_times_s if at > started_at + 4]

    run_test(tmp_path, main)
