"""Cost of the assignment and of the capacity table."""

import functools

from bench import _fleet
from bench._probe import Probe, cpu_us, memory_bytes
from ibismount.assignment import Assigner, Assignment, Share, assign
from ibismount.capacity import CapacityTable, Permit
from ibismount.catalog import BackendServer
from ibismount.messages import WarmNotice
from ibismount.roster import Roster

NODES = 1800
SERVERS = 11000
NODE_SIZES = (450, 900, 1800)
SERVER_SIZES = (2750, 5500, 11000)
ROW_SIZES = (25, 50, 100, 200)


def assign_cpu(nodes: int, servers: int) -> list[float]:
    """Measure computing an assignment from scratch."""
    roster, catalogs = _fleet.roster(nodes), _fleet.catalogs(servers)
    return cpu_us(lambda _: assign(roster, catalogs, version=1))


def make_join_steps(nodes: int, servers: int):
    """Return functions that assign before and after the last node joins."""
    roster, catalogs = _fleet.roster(nodes), _fleet.catalogs(servers)
    roster_before = Roster(1, dict(list(roster.members.items())[:-1]))

    def prepare():
        assigner = Assigner()
        return assigner, assigner.assign(roster_before, catalogs, version=1)

    def join(prepared):
        return prepared[0].assign(roster, catalogs, version=2)

    return prepare, join


def join_cpu(nodes: int, servers: int) -> list[float]:
    """Measure updating the assignment after one node joined."""
    prepare, join = make_join_steps(nodes, servers)
    return cpu_us(join, prepare=prepare)


def assignment_memory(nodes: int, servers: int) -> list[float]:
    """Measure the memory of an assignment with its index by gateway."""
    roster, catalogs = _fleet.roster(nodes), _fleet.catalogs(servers)

    def build(_):
        assignment = assign(roster, catalogs, version=1)
        assignment.shares_of_gateway('none')
        return assignment

    return memory_bytes(build)


def next_assignment_memory(servers: int) -> list[float]:
    """Measure the memory of the next assignment after one node joined."""
    prepare, join = make_join_steps(NODES, servers)
    return memory_bytes(join, prepare=prepare)


def apply_cpu(servers: int) -> list[float]:
    """Measure applying the next assignment after one node joined."""
    catalogs = _fleet.catalogs(servers)
    prepare_first, join = make_join_steps(NODES, servers)
    assigner_and_first = prepare_first()
    first, second = assigner_and_first[1], join(assigner_and_first)
    backends = {
        server.id: server
        for catalog in catalogs.values()
        for server in catalog.servers.values()
    }
    for assignment in (first, second):
        assignment.shares_of_gateway('none')

    def prepare():
        table = CapacityTable('node-0004')
        table.apply_assignment(0, first, backends)
        return table

    return cpu_us(
        lambda table: table.apply_assignment(1, second, backends),
        prepare=prepare,
    )


def make_table(rows: int, *, warm: bool = True) -> CapacityTable:
    """Return the table of a primary gateway whose shares are in force."""
    servers = {
        f's{index}': BackendServer(f's{index}', '10.0.0.1:9000', 'z', 'x')
        for index in range(rows)
    }
    shares = {
        server_id: tuple(
            Share(server_id, gateway, rank, 1, 3, int(not rank))
            for rank, gateway in enumerate('abcd')
        )
        for server_id in servers
    }
    table = CapacityTable('a')
    table.apply_assignment(0, Assignment(1, shares), servers)
    table.record_accepted_version(0, 1)
    table.tick(20)
    for server_id in servers if warm else ():
        for gateway in 'bcd':
            notice = WarmNotice(server_id, '', False, 1)
            table.receive_warm_notice(20, gateway, notice)
        for _ in range(8):
            run_sub_request(table, server_id)
    table.tick(20)
    return table


def run_sub_request(table: CapacityTable, server_id: str) -> None:
    """Acquire a permit for one sub-request and report its answer."""
    permit = table.acquire(20, server_id)
    assert isinstance(permit, Permit)
    table.record_answer(20, permit, generation='g', latency_s=0.01)


def tick_cpu(rows: int) -> list[float]:
    """Measure the tick of a table in steady state."""
    table = make_table(rows)
    return cpu_us(lambda _: table.tick(21))


def handover_tick_cpu(rows: int) -> list[float]:
    """Measure the tick after a table lost all its shares."""

    def prepare():
        table = make_table(rows, warm=False)
        table.apply_assignment(21, Assignment(2, {}), {})
        return table

    return cpu_us(lambda table: table.tick(22), prepare=prepare)


def request_cpu(requests: int) -> list[float]:
    """Measure acquiring a permit and returning it after the answer."""
    table = make_table(25)

    def run(_):
        for index in range(requests):
            run_sub_request(table, f's{index % 25}')

    return cpu_us(run)


def table_memory(rows: int) -> list[float]:
    """Measure the memory of a table of warm rows."""
    return memory_bytes(lambda _: make_table(rows))


PROBES = (
    Probe(
        'assign cpu by servers',
        'backend server',
        'us',
        SERVER_SIZES,
        functools.partial(assign_cpu, NODES),
        f'{NODES} nodes',
    ),
    Probe(
        'assign cpu by nodes',
        'node',
        'us',
        NODE_SIZES,
        lambda nodes: assign_cpu(nodes, SERVERS),
        f'{SERVERS} backend servers',
    ),
    Probe(
        'assign after join cpu by servers',
        'backend server',
        'us',
        SERVER_SIZES,
        functools.partial(join_cpu, NODES),
        f'{NODES} nodes',
    ),
    Probe(
        'assign after join cpu by nodes',
        'node',
        'us',
        NODE_SIZES,
        lambda nodes: join_cpu(nodes, SERVERS),
        f'{SERVERS} backend servers',
    ),
    Probe(
        'assignment memory by servers',
        'backend server',
        'bytes',
        SERVER_SIZES,
        functools.partial(assignment_memory, NODES),
        f'{NODES} nodes',
    ),
    Probe(
        'assignment memory by nodes',
        'node',
        'bytes',
        NODE_SIZES,
        lambda nodes: assignment_memory(nodes, SERVERS),
        f'{SERVERS} backend servers',
    ),
    Probe(
        'next assignment memory by servers',
        'backend server',
        'bytes',
        SERVER_SIZES,
        next_assignment_memory,
        f'{NODES} nodes',
    ),
    Probe(
        'capacity apply cpu by servers',
        'backend server',
        'us',
        SERVER_SIZES,
        apply_cpu,
        f'{NODES} nodes',
    ),
    Probe('capacity tick cpu', 'row', 'us', ROW_SIZES, tick_cpu, 'steady'),
    Probe(
        'capacity release tick cpu',
        'row',
        'us',
        ROW_SIZES,
        handover_tick_cpu,
        'all shares lost',
    ),
    Probe(
        'capacity request cpu',
        'sub-request',
        'us',
        (100, 200, 400),
        request_cpu,
        '25 rows',
    ),
    Probe(
        'capacity table memory',
        'row',
        'bytes',
        ROW_SIZES,
        table_memory,
        'with its part of the map',
    ),
)
