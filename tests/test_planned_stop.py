"""A planned stop under load: what was accepted is answered.

Real processes; callers keep their connections and open new ones until the
process is gone.
"""

import asyncio
import signal

import pytest

from standins.edge_fleet import EdgeFleet
from tests.test_edge_processes import run_test

CALLERS = 12


class Caller:
    """Sends one request after the other and records how each ended."""

    def __init__(self, fleet: EdgeFleet, ip: str, *, keeps: bool) -> None:
        self._fleet = fleet
        self._ip = ip
        self._keeps = keeps
        # Requests of which every byte was sent, and that got no whole answer.
        self.cut: list[str] = []
        self.answered = 0

    async def run(self) -> None:
        """Send requests until no connection can be opened."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    self._ip, self._fleet.ports[1]
                )
            except OSError:
                return
            await self._use(reader, writer)
            writer.close()

    async def _use(self, reader, writer) -> None:
        while True:
            request_id = self._fleet.next_request_id()
            writer.write(
                b'GET /lookup/x HTTP/1.1\r\nhost: a.example\r\n'
                b'ibismount-request-id: %b\r\n'
                b'ibismount-deadline-ms: 3000\r\n\r\n' % request_id.encode()
            )
            try:
                head = await reader.readuntil(b'\r\n\r\n')
                length = head.lower().partition(b'content-length: ')[2]
                await reader.readexactly(int(length.split(b'\r\n')[0]))
            except (asyncio.IncompleteReadError, ConnectionError):
                if self._fleet.count_runs(request_id):
                    self.cut.append(request_id)
                return
            self.answered += 1
            if not self._keeps or b'connection: close' in head.lower():
                return


@pytest.mark.parametrize('stops', [1, 2])
def test_no_accepted_request_is_cut(tmp_path, stops):
    """Requests that had just been accepted were cut off without an answer.

    A second signal during the stop must not cut it short.
    """

    async def main(fleet, client):
        for server in fleet.servers:
            server.work_s = 0.1
        ip = fleet.ips[1]
        callers = [
            Caller(fleet, ip, keeps=number % 2 == 0)
            for number in range(CALLERS)
        ]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        await asyncio.sleep(0.7)
        for _ in range(stops):
            fleet.edges[ip].send_signal(signal.SIGTERM)
            await asyncio.sleep(0.3)
        assert await asyncio.wait_for(fleet.edges[ip].wait(), 8) == 0
        await asyncio.gather(*tasks)
        assert sum(caller.answered for caller in callers) > 50
        assert [cut for caller in callers for cut in caller.cut] == []

    run_test(tmp_path, main)


def test_requests_that_outlast_the_stop_are_answered(tmp_path):
    """Requests still under way at the end were cut off without an answer."""

    async def main(fleet, client):
        for server in fleet.servers:
            server.work_s = 20
        ip = fleet.ips[1]
        fleet.edges[ip].send_signal(signal.SIGTERM)
        await asyncio.sleep(3)
        requests = [
            asyncio.create_task(
                fleet.send_new_request(client, ip, path, method)
            )
            for path, method in (('/search/x', 'GET'), ('/booking1/x', 'POST'))
        ]
        for _, answer in await asyncio.gather(*requests):
            # Both may have run.
            assert answer.status_code == 502
            assert answer.content == b'shutting_down'
        assert await asyncio.wait_for(fleet.edges[ip].wait(), 8) == 0

    run_test(tmp_path, main)
