"""Real edge processes between a stand-in store and stand-in servers."""

import asyncio
import json
import signal

import httpx
import pytest
from prometheus_client.parser import text_string_to_metric_families

from standins.edge_fleet import SHARDS, EdgeFleet


def run(tmp_path, main, **options):
    async def body():
        fleet = EdgeFleet(tmp_path)
        try:
            await fleet.start(**options)
            async with httpx.AsyncClient() as client:
                await main(fleet, client)
        finally:
            await fleet.stop()

    asyncio.run(asyncio.wait_for(body(), 60))


def test_path_from_caller_to_servers_and_back(tmp_path):
    """The whole path must run without the users' bench."""

    async def main(fleet, client):
        for ip in fleet.ips:
            name, answer = await fleet.send_new_request(client, ip)
            assert answer.status_code == 200
            parts = answer.headers['ibismount-part-stamps'].split(', ')
            assert len(parts) == len(SHARDS)
            assert all(one.endswith(name) for one in parts)
            assert answer.headers['ibismount-missing-parts'] == '0'
            assert len(answer.content) == 3 * 16
        name, answer = await fleet.send_new_request(
            client, fleet.ips[0], '/booking1/x', 'POST'
        )
        assert answer.headers['ibismount-server-stamp'].endswith(name)
        assert fleet.count_runs(name) == 1
        assert (await fleet.send_new_request(client, fleet.ips[0], '/none/'))[
            1
        ].status_code == 404

    run(tmp_path, main)


def test_callers_are_sent_to_the_nodes_that_live(tmp_path):
    """A killed node must soon be missing from the lists of addresses."""

    async def main(fleet, client):
        async def all_named():
            return len(await fleet.resolve_addresses(fleet.ips[0])) == 3

        await fleet.wait_until(all_named)
        fleet.edges[fleet.ips[2]].kill()

        async def one_less():
            return len(await fleet.resolve_addresses(fleet.ips[0])) == 2

        await fleet.wait_until(one_less)
        await fleet.start_edge(fleet.ips[2])
        await fleet.wait_until(all_named)

    run(tmp_path, main)


def test_change_reaches_every_node_also_without_the_store(tmp_path):
    """A node that starts while the store is away serves from its peers."""

    async def main(fleet, client):
        await fleet.configure(2)

        async def in_force(ip):
            _, answer = await fleet.send_new_request(
                client, ip, '/booking2/x', 'POST'
            )
            return answer.status_code == 200

        for ip in fleet.ips:
            await fleet.wait_until(lambda ip=ip: in_force(ip))
        fleet.store.fault = 'busy'
        late = fleet.ips[2]
        fleet.edges[late].kill()
        await fleet.edges[late].wait()
        await fleet.start_edge(late)
        await fleet.wait_until_ready(late)
        assert await in_force(late)

    run(tmp_path, main)


@pytest.mark.parametrize('fault', ['silent', 'reset', 'garbage', 'busy'])
def test_store_that_misbehaves_does_not_stop_the_service(tmp_path, fault):
    """Searches need the view only, not the store."""

    async def main(fleet, client):
        fleet.store.fault = fault
        await fleet.store.drop_history()
        await asyncio.sleep(1.5)
        for ip in fleet.ips:
            _, answer = await fleet.send_new_request(client, ip)
            assert answer.status_code == 200
        fleet.store.fault = ''
        await fleet.configure(3)

        async def in_force():
            _, answer = await fleet.send_new_request(
                client, fleet.ips[0], '/booking3/x', 'POST'
            )
            return answer.status_code == 200

        await fleet.wait_until(in_force)

    run(tmp_path, main)


def test_shutdown_cuts_no_request(tmp_path):
    """Requests under way at SIGTERM must be answered."""

    async def main(fleet, client):
        for one in fleet.servers:
            one.work_s = 0.5
        ip = fleet.ips[1]
        asked = [
            asyncio.create_task(fleet.send_new_request(client, ip))
            for _ in range(5)
        ]
        await asyncio.sleep(0.2)
        fleet.edges[ip].send_signal(signal.SIGTERM)
        for _, answer in await asyncio.gather(*asked):
            assert answer.status_code == 200
            assert answer.headers['connection'] == 'close'
        assert await asyncio.wait_for(fleet.edges[ip].wait(), 8) == 0

    run(tmp_path, main)


@pytest.mark.parametrize('fault', ['reset', 'cut', 'silent', 'fail'])
def test_booking_runs_once_whatever_its_server_does(tmp_path, fault):
    """A doubled booking sends two vans to one address."""

    async def main(fleet, client):
        for one in fleet.servers:
            one.fault = fault
        name, answer = await fleet.send_new_request(
            client, fleet.ips[0], '/booking1/x', 'POST'
        )
        assert answer.status_code in {500, 502, 504}
        assert fleet.count_runs(name) == 1

    run(tmp_path, main)


def test_second_answers_of_servers_reach_nobody(tmp_path):
    """An extra answer must not be taken for that of the next request."""

    async def main(fleet, client):
        for one in fleet.servers:
            one.fault = 'extra'
        for _ in range(10):
            name, answer = await fleet.send_new_request(client, fleet.ips[0])
            parts = answer.headers['ibismount-part-stamps'].split(', ')
            assert all(one.endswith(name) for one in parts)

    run(tmp_path, main)


def test_leaving_server_gets_no_more_work(tmp_path):
    """A server that drains must be left well within three seconds."""

    async def main(fleet, client):
        leaving = [one for one in fleet.servers if one.zone == 'z0']
        for one in leaving:
            await fleet.register(one, state='draining')
        await asyncio.sleep(1.5)
        before = sum(sum(one.run_counts.values()) for one in leaving)
        for ip in fleet.ips:
            _, answer = await fleet.send_new_request(client, ip)
            assert answer.status_code == 200
        assert sum(sum(one.run_counts.values()) for one in leaving) == before

    run(tmp_path, main)


def test_settings_are_read_again_and_bad_ones_refused(tmp_path):
    """A change comes by signal or without one; a bad file must not apply."""

    async def main(fleet, client):
        ip = fleet.ips[0]
        path = fleet.path / f'{ip}.yaml'
        settings = json.loads(path.read_text())

        def logged(message):
            return [one for one in fleet.logs[ip] if one['message'] == message]

        async def read_again():
            return bool(logged('edge: settings read again'))

        settings['bounds']['retry_slack'] = 50
        path.write_text(json.dumps(settings))
        await fleet.wait_until(read_again)
        changed = logged('edge: settings read again')[0]['changed']
        assert changed == ['bounds.retry_slack']
        path.write_text('{"node": 7}')
        fleet.edges[ip].send_signal(signal.SIGHUP)

        async def refused():
            return bool(
                logged(
                    'edge: settings file rejected, the settings in force stay'
                )
            )

        await fleet.wait_until(refused)
        assert (await fleet.send_new_request(client, ip))[1].status_code == 200

    run(tmp_path, main)


def test_metrics_are_served_as_text(tmp_path):
    """Counters must be readable by the usual scrapers."""

    async def main(fleet, client):
        for _ in range(3):
            await fleet.send_new_request(client, fleet.ips[0])
        answer = await client.get(
            f'http://{fleet.ips[0]}:{fleet.ports[4]}/metrics'
        )
        found = {
            (one.name, one.labels.get('outcome')): one.value
            for family in text_string_to_metric_families(answer.text)
            for one in family.samples
        }
        assert found[('ibismount_requests_total', 'merged')] == 3
        assert found[('ibismount_request_seconds_count', None)] == 3
        assert found[('ibismount_version', None)] == 1
        assert found[('ibismount_attempts_total', None)] == 3 * len(SHARDS)

    run(tmp_path, main)


def test_failure_can_be_traced_by_its_id(tmp_path):
    """An engineer has only the id of the request and the logs."""

    async def main(fleet, client):
        for one in fleet.servers:
            if one.service in SHARDS[:2]:
                one.fault = 'reset'
        name, answer = await fleet.send_new_request(client, fleet.ips[0])
        assert answer.status_code == 502
        await asyncio.sleep(0.2)
        lines = [
            line
            for line in fleet.logs[fleet.ips[0]]
            if line.get('request_id') == name
        ]
        assert lines
        assert {one.get('end') for one in lines[:-1]} == {'broken'}
        assert lines[-1]['code'] == 'backend_lost'
        assert set(lines[-1]['missing']) == set(SHARDS[:2])

    run(tmp_path, main)
