"""Plans use only usable targets and name the cause of each missing shard."""

import collections
import dataclasses
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ibismount._cursor import Cursor, decode_cursor, encode_cursor
from ibismount.catalog import Catalog, Snapshot
from ibismount.cause import Origin
from ibismount.config import Change, ChangeKind, ServiceState
from ibismount.errors import ErrorCode, IbismountError
from ibismount.load_tracker import LoadTracker, ReplicaIndex, Target
from ibismount.planning import Exclusions, Planner, plan_search
from tests.data_fakes import COLLECTION, Cluster, shard_names


def make_planner(cluster, *, load=None, seed=1):
    catalog = cluster.state.catalogs[COLLECTION]
    return Planner(
        cluster.view,
        ReplicaIndex(catalog),
        load or LoadTracker(),
        now=0,
        rng=random.Random(seed),
    )


def take_zone_out(cluster, zone):
    body = {'in_service': False}
    change = Change(
        1, 'c1', ChangeKind.ZONE, zone, body, Origin.OPERATOR, 'bea', 5.0
    )
    cluster.state.zones[zone] = ServiceState(False, change)


def edit_servers(cluster, edit):
    catalog = cluster.state.catalogs[COLLECTION]
    cluster.state.catalogs[COLLECTION] = Catalog(
        COLLECTION,
        catalog.snapshots,
        {key: edit(server) for key, server in catalog.servers.items()},
    )


def test_missing_replica_names_the_operators_change():
    """Guards against an operator's change reported as another cause."""
    cluster = Cluster(zones=('a', 'b'))
    take_zone_out(cluster, 'a')
    cluster.dead.add('gw-b')
    cause = make_planner(cluster).plan_shard('s1', 'sh0')
    assert (cause.code, cause.change_id, cause.who) == (
        ErrorCode.ZONE_OUT,
        'c1',
        'bea',
    )
    cluster.state.zones.clear()
    cluster.dead.add('gw-a')
    assert make_planner(cluster).plan_shard('s1', 'sh0').origin is Origin.SYSTEM


def test_newest_whole_snapshot_wins_else_the_fullest():
    """Guards against a new snapshot that is used before it is complete."""
    cluster = Cluster(snapshots=('s2', 's1'))
    catalog = cluster.state.catalogs[COLLECTION]
    assert plan_search(make_planner(cluster), catalog).snapshot.id == 's2'

    def without_new_snapshot(server):
        if server.shard == 'sh0':
            return dataclasses.replace(server, snapshots=('s1',))
        return server

    edit_servers(cluster, without_new_snapshot)
    catalog = cluster.state.catalogs[COLLECTION]
    plan = plan_search(make_planner(cluster), catalog)
    assert (plan.snapshot.id, plan.missing) == ('s1', {})

    def without_old_snapshot(server):
        if server.shard in {'sh1', 'sh2'}:
            return dataclasses.replace(server, snapshots=('s2',))
        return without_new_snapshot(server)

    edit_servers(cluster, without_old_snapshot)
    plan = plan_search(
        make_planner(cluster), cluster.state.catalogs[COLLECTION]
    )
    assert (plan.snapshot.id, set(plan.missing)) == ('s2', {'sh0'})


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.data())
def test_unusable_targets_are_never_chosen(data):
    """Guards against work for leaving, dead, out or excluded targets."""
    zones = ('a', 'b', 'c')
    zone_sets = st.sets(st.sampled_from(zones), max_size=2)
    leaving, dead, out, excluded = (data.draw(zone_sets) for _ in range(4))
    cluster = Cluster(shards=3, zones=zones)
    edit_servers(
        cluster,
        lambda server: dataclasses.replace(
            server, leaving=server.availability_zone in leaving
        ),
    )
    cluster.dead = {f'gw-{zone}' for zone in dead}
    for zone in out:
        take_zone_out(cluster, zone)
    allowed = set(zones) - leaving - dead - out - excluded
    planner = make_planner(cluster)
    exclusions = Exclusions(servers={f'sh0@{zone}' for zone in excluded})
    for _ in range(20):
        target = planner.plan_shard('s1', 'sh0', exclusions)
        if allowed:
            assert target.server.availability_zone in allowed
        else:
            assert not isinstance(target, Target)


def test_choice_leaves_a_busy_server_of_the_own_zone():
    """Guards against queues in the own zone while other zones are idle."""
    cluster = Cluster()
    load = LoadTracker()
    planner = make_planner(cluster, load=load)
    first = planner.plan_shard('s1', 'sh0')
    assert first.server.availability_zone == 'a'
    chosen = collections.Counter()
    for _ in range(90):
        target = planner.plan_shard('s1', 'sh0')
        load.record_start(target)
        chosen[target.server.availability_zone] += 1
    assert min(chosen.values()) >= 20


def test_subset_of_shards_picks_the_snapshot_that_has_them():
    """Guards against asked shards that a repartitioned snapshot lacks."""
    cluster = Cluster()
    cluster.set_catalog(
        [Snapshot('s2', shard_names(2, 'new')), Snapshot('s1', shard_names(4))]
    )
    plan = plan_search(
        make_planner(cluster),
        cluster.state.catalogs[COLLECTION],
        shards=('sh1',),
    )
    assert (plan.snapshot.id, set(plan.targets)) == ('s1', {'sh1'})


def test_cursor_of_another_query_is_refused():
    """Guards against pages that mix queries."""
    text = encode_cursor(Cursor('jobs', 's1', 20, 'hash'))
    decoded = decode_cursor(text, collection='jobs', expected_hash='hash')
    assert decoded == Cursor('jobs', 's1', 20, 'hash')
    for other in ({'collection': 'x'}, {'expected_hash': 'x'}):
        with pytest.raises(IbismountError) as caught:
            decode_cursor(
                text,
                **{'collection': 'jobs', 'expected_hash': 'hash', **other},
            )
        assert caught.value.code is ErrorCode.BAD_REQUEST


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.text(max_size=60)
    | st.recursive(
        st.none() | st.integers() | st.text(max_size=5),
        lambda inner: st.lists(inner, max_size=5),
        max_leaves=6,
    ).map(lambda cursor_fields: encode_cursor(cursor_fields))
)
def test_malformed_cursor_is_a_bad_request(text):
    """Guards against a crash or a page from a cursor not issued here."""
    with pytest.raises(IbismountError) as caught:
        decode_cursor(text, collection='jobs', expected_hash='hash')
    assert caught.value.code is ErrorCode.BAD_REQUEST
