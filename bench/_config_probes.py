"""Cost of the replicated configuration."""

import dataclasses

from bench import _fleet
from bench._probe import Probe, cpu_us, memory_bytes
from ibismount.cause import Origin
from ibismount.config import Change, ChangeKind, ConfigState

NODE_SIZES = (450, 900, 1800)
SERVER_SIZES = (350, 700, 1400)
ENTRY_SIZES = (200, 400, 800)


def make_change(version: int, kind: ChangeKind, key: str, body: dict) -> Change:
    """Return a change as decoded from the change log."""
    stored = Change(
        version, f'c{version}', kind, key, body, Origin.SYSTEM, 'bench', 1
    ).to_json()
    return Change.from_json(stored)


def roster_change(version: int, first: int, count: int) -> Change:
    """Return a change that adds nodes to the roster."""
    joined = [
        dataclasses.asdict(_fleet.member(index))
        for index in range(first, first + count)
    ]
    body = {'joined': joined, 'removed': []}
    return make_change(version, ChangeKind.ROSTER, 'roster', body)


def catalog_change(version: int, servers: int) -> Change:
    """Return a change that stores one collection."""
    (catalog,) = _fleet.catalogs(servers, collections=1).values()
    body = dataclasses.asdict(catalog)
    body['servers'] = list(body['servers'].values())
    return make_change(version, ChangeKind.CATALOG, catalog.collection, body)


def parameters_changes(count: int) -> list[Change]:
    """Return a template and the parameters of this many teams."""
    template = {'name': 'search', 'collection': 'c'}
    return [
        make_change(1, ChangeKind.TEMPLATE, 'search', template),
        *(
            make_change(
                index + 2,
                ChangeKind.PARAMETERS,
                f'team-{index}/search',
                {'team': f'team-{index}', 'template': 'search', 'weight': 2},
            )
            for index in range(count)
        ),
    ]


def build_state(*changes: Change) -> ConfigState:
    """Return a new state with the changes applied."""
    state = ConfigState()
    for change in changes:
        state.apply(change)
    return state


def apply_cpu(earlier: list[Change], added: Change) -> list[float]:
    """Measure applying one change on top of others."""
    return cpu_us(
        lambda state: state.apply(added), prepare=lambda: build_state(*earlier)
    )


def roster_cpu(nodes: int) -> list[float]:
    """Measure applying a change that adds one node."""
    return apply_cpu([roster_change(1, 0, nodes)], roster_change(2, nodes, 1))


def parameters_cpu(entries: int) -> list[float]:
    """Measure applying the parameters of one more team."""
    *earlier, added = parameters_changes(entries + 1)
    return apply_cpu(earlier, added)


PROBES = (
    Probe(
        'config apply roster cpu',
        'member',
        'us',
        NODE_SIZES,
        roster_cpu,
        'one node joins',
    ),
    Probe(
        'config apply catalog cpu',
        'backend server',
        'us',
        SERVER_SIZES,
        lambda servers: apply_cpu([], catalog_change(1, servers)),
        'one collection',
    ),
    Probe(
        'config apply parameters cpu',
        'entry',
        'us',
        ENTRY_SIZES,
        parameters_cpu,
        'one team is added',
    ),
    Probe(
        'config memory by members',
        'member',
        'bytes',
        NODE_SIZES,
        lambda nodes: memory_bytes(
            lambda _: build_state(roster_change(1, 0, nodes))
        ),
        'one roster change',
    ),
    Probe(
        'config memory by servers',
        'backend server',
        'bytes',
        SERVER_SIZES,
        lambda count: memory_bytes(
            lambda _: build_state(catalog_change(1, count))
        ),
        'one collection, with its change',
    ),
    Probe(
        'config memory by parameters',
        'entry',
        'bytes',
        ENTRY_SIZES,
        lambda count: memory_bytes(
            lambda _: build_state(*parameters_changes(count))
        ),
        'with their changes',
    ),
)
