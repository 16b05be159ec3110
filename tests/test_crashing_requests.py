"""Requests that crash servers reach few of them, with real processes."""

import asyncio

import pytest

from standins.soak_checks import CONTACT_S, MAX_CRASH_RETRIES
from tests.fleet_runner import run_test

CRASHING_REQUESTS = pytest.mark.parametrize(
    ('path', 'method'), [('/search/crash', 'GET'), ('/booking1/crash', 'POST')]
)


class CrashingRequest:
    """A request that crashes servers, repeated at each node in turn."""

    def __init__(self, fleet, client, path, method):
        self.fleet = fleet
        self.client = client
        self.path = path
        self.method = method
        self.tries = []

    async def send(self, ip=None):
        ip = ip or self.fleet.ips[len(self.tries) % len(self.fleet.ips)]
        sent_at = asyncio.get_running_loop().time()
        request_id, _ = await self.fleet.send_new_request(
            self.client, ip, self.path, self.method
        )
        self.tries.append((request_id, sent_at))

    def check_late_tries(self):
        late_from = self.fleet.crash_times()[2] + CONTACT_S
        late = [name for name, at in self.tries if at >= late_from]
        assert len(late) > MAX_CRASH_RETRIES
        reached = [name for name in late if self.fleet.count_runs(name)]
        assert len(reached) <= MAX_CRASH_RETRIES


@CRASHING_REQUESTS
def test_request_that_ended_servers_is_stopped_at_every_node(
    tmp_path, path, method
):
    """A request that crashes servers must not crash more at each repeat."""

    async def main(fleet, client):
        repeats = CrashingRequest(fleet, client, path, method)
        for _ in range(14):
            await repeats.send()
            await asyncio.sleep(0.8)
        repeats.check_late_tries()

    run_test(tmp_path, main)


@CRASHING_REQUESTS
def test_servers_that_restart_at_once_count_as_ended(tmp_path, path, method):
    """A server that could be reached again 0.2 s later did not count."""

    async def main(fleet, client):
        repeats = CrashingRequest(fleet, client, path, method)
        for _ in range(14):
            await repeats.send()
            await asyncio.sleep(0.8)
        repeats.check_late_tries()

    run_test(tmp_path, main, crash_down_s=0.1)


@CRASHING_REQUESTS
def test_quarantine_outlives_the_end_of_all_nodes(tmp_path, path, method):
    """Each end of all nodes let a request crash servers three more times."""

    async def main(fleet, client):
        repeats = CrashingRequest(fleet, client, path, method)
        for _ in range(3):
            for _ in range(6):
                await repeats.send()
                await asyncio.sleep(0.8)
            async for _ in fleet.restart_edges(fleet.ips):
                pass
        repeats.check_late_tries()

    run_test(tmp_path, main)


def test_immediate_repeats_at_other_nodes_reach_few_servers(tmp_path):
    """All nodes knew of an end after 0.4 s; callers repeat sooner."""

    async def main(fleet, client):
        repeats = CrashingRequest(fleet, client, '/search/crash', 'GET')
        await repeats.send()
        await asyncio.sleep(CONTACT_S + 0.5)
        for _ in range(20):
            await repeats.send()
            await asyncio.sleep(0.05)
        repeats.check_late_tries()

    run_test(tmp_path, main)


@CRASHING_REQUESTS
def test_herd_of_a_request_that_was_answered_before_reaches_few_servers(
    tmp_path, path, method
):
    """Callers at several nodes sent it to each server that came back."""

    async def main(fleet, client):
        loop = asyncio.get_running_loop()
        repeats = CrashingRequest(fleet, client, path, method)
        for crashing in (False, True):
            for server in fleet.servers:
                server.withstands_crashes = not crashing
            end_at = loop.time() + (14 if crashing else 1)

            async def call(number, end_at=end_at):
                while loop.time() < end_at:
                    await repeats.send(fleet.ips[number % len(fleet.ips)])
                    await asyncio.sleep(0.4)

            await asyncio.gather(*map(call, range(9)))
        repeats.check_late_tries()

    run_test(tmp_path, main, crash_down_s=3)
