"""Stand-in for backend servers, with limits, cold start and injected faults.

One process runs several servers on consecutive ports, followed by a control
port that stays reachable while a server is down::

    python -m standins.backend --port 9100 --servers 24 --first-shard 0

Server ``i`` listens on ``port + i`` and holds shard ``shard-<first + i>``.

Requests are HTTP/1.1 ``POST /search`` and ``POST /booking`` with a JSON body.
The body of a search is ``{"text": "...", "limit": n}``.

================  ====================================================
request header    meaning
================  ====================================================
x-request-id      id chosen by the caller
x-attempt-id      id of this attempt; repeated in the response
x-shard           requested shard
x-snapshot        requested snapshot
x-deadline-ms     remaining time in ms when the request was sent
x-deadline-at     absolute deadline in Unix milliseconds
traceparent       W3C trace context
================  ====================================================

======  ============  ================================================
status  x-not-run     meaning
======  ============  ================================================
200                   ``{"snapshot", "shard", "results"}``
503     1             all slots are in use, or load is shed
410     1             draining
409     1             the snapshot or the shard is not held here
504     1             the deadline had passed on arrival
400     1             the body is not a JSON object
======  ============  ================================================

Every response carries ``x-generation``, which changes when the server restarts
or loses its caches. Connections above the limit are reset at once. Closing a
connection cancels its request. A cold server that receives more than
``cold_slots`` requests at a time crashes: it resets all connections, refuses
new ones for ``restart_s`` and restarts cold.

==========================  ==================================================
other request               meaning
==========================  ==================================================
``GET /health``             status and load as of ``health_lag_s`` ago
``GET /load``               same answer as ``GET /health``
``GET /runs``               counters, runs and bookings, for checks in tests
``POST /control``           change settings or inject a fault, see below
==========================  ==================================================

On the control port these requests take ``?server=<port>``; a server that is
killed through its own port resets that connection as well. A control body
contains fields of `Settings` and these keys:

================  ====================================================
key               effect
================  ====================================================
kill              seconds during which the server is down
cold              true: drop the caches and start a new generation
finish            true: answer the running requests immediately
freeze            ``all``, ``connections`` (only open ones) or ``""``
================  ====================================================
"""

import argparse
import dataclasses
import sys

import anyio
import anyio.abc

from standins._backend_server import Backend, Settings, answer_control
from standins._http_server import (
    HttpRequest,
    HttpResponse,
    ServerConnection,
    json_response,
)

__all__ = ('Backend', 'Settings', 'main', 'serve_all')


async def serve_all(
    servers: list[Backend],
    host: str = '127.0.0.1',
    port: int = 0,
    control_port: int = 0,
    *,
    task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run servers on consecutive ports, and the control port.

    Port 0 selects free ports; ``task_status`` gets the control port.
    """
    servers_by_port: dict[str, Backend] = {}

    async def respond(req: HttpRequest) -> HttpResponse:
        query = req.target.partition('?')[2]
        server = servers_by_port.get(query.removeprefix('server='))
        if server is None:
            return json_response(404, {'servers': sorted(servers_by_port)})
        return answer_control(server, req)

    async def accept(stream: anyio.abc.SocketStream) -> None:
        await ServerConnection(stream).serve(respond)

    async with anyio.create_task_group() as tasks:
        for index, server in enumerate(servers):
            requested_port = port + index if port else 0
            bound_port = await tasks.start(server.run, host, requested_port)
            servers_by_port[str(bound_port)] = server
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=control_port
        )
        async with listener:
            bound_port = listener.extra(anyio.abc.SocketAttribute.local_port)
            sys.stdout.write(f'backend: ready, control port {bound_port}\n')
            sys.stdout.flush()
            task_status.started(bound_port)
            await listener.serve(accept)


def main(argv: list[str] | None = None) -> None:
    """Run servers until the process is terminated."""
    parser = argparse.ArgumentParser(prog='standins.backend')
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--servers', type=int, default=1)
    parser.add_argument('--control-port', type=int, default=0)
    parser.add_argument('--first-shard', type=int, default=0)
    parser.add_argument('--snapshots', default='s1')
    parser.add_argument('--seed', type=int, default=1)
    excluded_fields = {'drain', 'snapshots'}
    numeric_fields = [
        field
        for field in dataclasses.fields(Settings)
        if field.name not in excluded_fields
    ]
    for field in numeric_fields:
        parser.add_argument(
            f'--{field.name.replace("_", "-")}',
            type=type(field.default),
            default=field.default,
        )
    options = parser.parse_args(argv)
    servers = [
        Backend(
            f'shard-{options.first_shard + index}',
            Settings(
                snapshots=tuple(options.snapshots.split(',')),
                **{
                    numeric_field.name: getattr(options, numeric_field.name)
                    for numeric_field in numeric_fields
                },
            ),
            seed=options.seed + index,
        )
        for index in range(options.servers)
    ]
    control_port = options.control_port or options.port + options.servers
    anyio.run(serve_all, servers, options.host, options.port, control_port)


if __name__ == '__main__':
    main()
