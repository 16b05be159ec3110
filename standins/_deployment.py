"""Start and stop the processes of the demo on loopback."""

import contextlib
import json
import os
import pathlib
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import httpx
import yaml

__all__ = ('OPERATOR_TOKEN', 'Deployment', 'Ports', 'ports_from_base')

ZONES = ('wrekin-a', 'wrekin-b', 'wrekin-c')
SHARD_COUNT = 24
NODE_COUNT = 6
SNAPSHOT = 'jobs-1'
OPERATOR_TOKEN = 'demo-operator-token'
DEFAULT_PORT_BASE = 17000
START_TIMEOUT_S = 40.0
# A stopping node waits up to 10 s for requests in flight, up to 5 s to leave
# the roster and up to 5 s to send its last answers.
STOP_TIMEOUT_S = 20.0


class Ports(NamedTuple):
    """First port number of each kind of process."""

    platform: int
    api: int
    link: int
    backend: int


def ports_from_base(base: int) -> Ports:
    """Assign all ports from a base; the highest port used is base + 3223."""
    return Ports(base, base + 1100, base + 2100, base + 3000)


class Deployment:
    """Run the platform, the backend servers and the nodes on loopback.

    Args:
        folder: Directory for the settings and logs of all processes.
        ports: First port number of each kind of process.
    """

    def __init__(self, folder: pathlib.Path, ports: Ports) -> None:
        """Prepare the deployment; entering the context starts the processes."""
        self.folder = folder
        self.ports = ports
        self.nodes: list[subprocess.Popen[bytes]] = []
        self._processes = contextlib.ExitStack()

    def __enter__(self) -> 'Deployment':
        """Start all processes and wait until every node accepts requests."""
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._processes.close)
            self._start()
            cleanup.pop_all()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop all processes, nodes first."""
        # Signal all nodes at once: if they stopped one by one, the last ones
        # would time out leaving the roster, as no quorum is left to change it.
        for node in self.nodes:
            node.terminate()
        self._processes.close()

    def api_address(self, index: int = 0) -> str:
        """Return the API address of a node."""
        return f'127.0.0.1:{self.ports.api + index}'

    def stop_node(self, index: int) -> int:
        """Send SIGTERM to a node and return its exit status."""
        return _terminate(self.nodes[index])

    def run_ctl(self, *args: str) -> 'subprocess.CompletedProcess[str]':
        """Run ``ibismountctl`` with the operator's token."""
        environment = {
            **os.environ,
            'IBISMOUNT_NODE': f'http://{self.api_address()}',
            'IBISMOUNT_TOKEN': OPERATOR_TOKEN,
        }
        return subprocess.run(
            [sys.executable, '-m', 'ibismount.cli', *args],
            env=environment,
            capture_output=True,
            text=True,
            check=False,
        )

    def _start(self) -> None:
        platform_url = f'http://127.0.0.1:{self.ports.platform}'
        self._start_process(
            'platform', 'standins.platform', '--port', str(self.ports.platform)
        )
        _wait_until(
            'the platform',
            lambda: httpx.get(f'{platform_url}/meter').is_success,
        )
        httpx.put(
            f'{platform_url}/objects/catalogs/jobs',
            content=json.dumps(self._build_catalog()),
            headers={'if-none-match': '*'},
        ).raise_for_status()
        for index, zone in enumerate(ZONES):
            self._start_backend(zone, self.ports.backend + index * 100)
        for index in range(NODE_COUNT):
            path = self.folder / f'node-{index}.yaml'
            path.write_text(yaml.safe_dump(self._build_node_settings(index)))
            self.nodes.append(
                self._start_process(
                    f'node-{index}', 'ibismount.daemon', str(path)
                )
            )
        _wait_until('the fleet', self._is_fleet_ready)

    def _start_backend(self, zone: str, port: int) -> None:
        self._start_process(
            f'backend-{zone}',
            'standins.backend',
            '--port',
            str(port),
            '--servers',
            str(SHARD_COUNT),
            '--snapshots',
            SNAPSHOT,
            '--warm-after',
            '2',
        )

    def _start_process(
        self, name: str, *args: str
    ) -> 'subprocess.Popen[bytes]':
        return self._processes.enter_context(
            _run_module(self.folder, name, *args)
        )

    def _build_catalog(self) -> dict[str, Any]:
        """Return a catalog in the form that the index pipeline writes."""
        servers = [
            {
                'id': f'{zone}-s{shard:02d}',
                'address': f'127.0.0.1:{self.ports.backend + index * 100 + shard}',
                'availability_zone': zone,
                'shard': f'shard-{shard}',
                'slots': 4,
                'connections': 80,
                'cold_slots': 1,
                'warm_after': 2,
                'snapshots': [SNAPSHOT],
            }
            for index, zone in enumerate(ZONES)
            for shard in range(SHARD_COUNT)
        ]
        shards = [f'shard-{shard}' for shard in range(SHARD_COUNT)]
        return {
            'collection': 'jobs',
            'snapshots': [{'id': SNAPSHOT, 'shards': shards}],
            'servers': servers,
        }

    def _build_node_settings(self, index: int) -> dict[str, Any]:
        return {
            'node': self._node_entry(index),
            'cluster': {
                'name': 'demo',
                'secret': 'demo-secret-of-all-nodes',
                'seeds': [
                    self._node_entry(other) for other in range(NODE_COUNT)
                ],
            },
            'platform': {'url': f'http://127.0.0.1:{self.ports.platform}'},
            'operators': [{'name': 'ann', 'token': OPERATOR_TOKEN}],
        }

    def _node_entry(self, index: int) -> dict[str, Any]:
        return {
            'id': f'node-{index}',
            'availability_zone': ZONES[index % len(ZONES)],
            'region': 'midlands',
            'api_address': self.api_address(index),
            'link_address': f'127.0.0.1:{self.ports.link + index}',
        }

    def _is_fleet_ready(self) -> bool:
        status = httpx.get(
            f'http://{self.api_address()}/admin/v1/status',
            headers={'authorization': f'Bearer {OPERATOR_TOKEN}'},
        ).json()
        return (
            status['confirmed']
            and len(status['roster']) == NODE_COUNT
            and len(status['live']) == NODE_COUNT
            and status['accepted_version'] == status['version']
            and status['gateway_for'] > 0
        )


@contextlib.contextmanager
def _run_module(
    folder: pathlib.Path, name: str, *args: str
) -> Iterator['subprocess.Popen[bytes]']:
    """Run a module in a subprocess that is terminated on exit."""
    with folder.joinpath(f'{name}.log').open('wb') as log_file:
        process = subprocess.Popen(
            [sys.executable, '-m', *args],
            stdout=log_file,
            stderr=subprocess.STDOUT,
        )
        try:
            yield process
        finally:
            _terminate(process)


def _terminate(process: 'subprocess.Popen[bytes]') -> int:
    process.terminate()
    try:
        return process.wait(timeout=STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()


def _wait_until(target: str, is_ready: Callable[[], bool]) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(httpx.HTTPError, KeyError):
            if is_ready():
                return
        time.sleep(0.1)
    sys.exit(f'demo: {target} did not become ready in {START_TIMEOUT_S:g} s')
