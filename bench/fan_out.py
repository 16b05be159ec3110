"""Count the gateways of a query with and without reusing used gateways.

Run ``python -m bench.fan_out``.
"""

import json
import pathlib
import random
import statistics

from bench import _fleet
from ibismount.assignment import Assignment, assign
from ibismount.catalog import BackendServer, Catalog, Snapshot
from ibismount.config import ConfigState
from ibismount.load_tracker import LoadTracker, ReplicaIndex
from ibismount.node_view import NodeView
from ibismount.planning import Planner, plan_search

NODES = 1800
SHARDS = 270
REPLICAS = 40
QUERIES = 20
SEED = 1
RESULT = pathlib.Path('bench/results/fan_out.json')


class FleetView(NodeView):
    """A node's view of a fleet without failures."""

    def __init__(self, state: ConfigState, assignment: Assignment) -> None:
        """Create the view of the first node."""
        first = _fleet.member(0)
        self.node_id = first.id
        self.availability_zone = first.availability_zone
        self._state = state
        self._assignment = assignment

    @property
    def state(self):
        """Return the configuration."""
        return self._state

    @property
    def assignment(self):
        """Return the assignment."""
        return self._assignment

    def now(self):
        """Return a fixed time."""
        return 0

    def refusal(self):
        """Return None: the node accepts requests."""

    def is_live(self, node_id):
        """Return True: all nodes are alive."""
        return True


def make_catalog() -> Catalog:
    """Return one collection with its replicas spread over five zones."""
    shards = tuple(f'shard-{index:03}' for index in range(SHARDS))
    servers = [
        BackendServer(
            f'{shard}-{replica:02}',
            '127.0.0.1:1',
            f'zone-{replica % _fleet.ZONES}',
            shard,
            snapshots=('s1',),
        )
        for shard in shards
        for replica in range(REPLICAS)
    ]
    return Catalog(
        'jobs',
        (Snapshot('s1', shards),),
        {server.id: server for server in servers},
    )


def count_gateways(view: FleetView, *, prefer_used_gateways: bool) -> list[int]:
    """Return the number of gateways that each query uses."""
    rng = random.Random(SEED)
    catalog = view.state.catalogs['jobs']
    index = ReplicaIndex(catalog)
    counts = []
    for _ in range(QUERIES):
        planner = Planner(
            view,
            index,
            LoadTracker(),
            now=0,
            rng=rng,
            prefer_used_gateways=prefer_used_gateways,
        )
        plan = plan_search(planner, catalog)
        counts.append(len({target.gateway for target in plan.targets.values()}))
    return counts


def main() -> None:
    """Run the bench and write its results."""
    catalog = make_catalog()
    roster = _fleet.roster(NODES)
    state = ConfigState(version=1, catalogs={'jobs': catalog}, roster=roster)
    view = FleetView(state, assign(roster, state.catalogs, version=1))
    rows = []
    for prefer_used_gateways in (False, True):
        counts = count_gateways(view, prefer_used_gateways=prefer_used_gateways)
        rows.append(
            {
                'follow': prefer_used_gateways,
                'gateways_mean': statistics.mean(counts),
                'gateways_most': max(counts),
            }
        )
        print(rows[-1])
    RESULT.write_text(json.dumps({'seed': SEED, 'rows': rows}, indent=2) + '\n')


if __name__ == '__main__':
    main()
