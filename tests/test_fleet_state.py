"""One node's view: the newest wins, and echoes end."""

import pytest

from ibismount.fleet_state import (
    FleetState,
    ServerChanged,
    ServerRemoved,
    ServersListed,
    ZoneChanged,
    ZonesListed,
)
from ibismount.routes import RouteTable
from ibismount.server_table import TOMBSTONE_RETENTION_S, Server


def server(number, revision):
    return Server(f'i-{number}', 'desk', 'h', 1, 'z', 4, revision=revision)


def make():
    changes = []
    return FleetState(lambda: 0, changes.append), changes


def test_configuration_is_only_adopted_upwards():
    """A late peer must not bring an older version back."""
    fleet, _ = make()
    assert fleet.apply(RouteTable(7))
    assert not fleet.apply(RouteTable(5))
    assert not fleet.apply(RouteTable(7))
    assert fleet.route_table.version == 7


LISTED = ServersListed((server(1, 3), server(2, 4)), 9)


@pytest.mark.parametrize(
    'change',
    [
        ServersListed((server(1, 3),), 9),
        ServersListed((server(1, 3),), 12, 2.3),
        ServerRemoved('i-1', 12),
        ServerRemoved('i-1', 12, 2.3),
        ServerChanged(server(3, 12)),
        ZoneChanged('z1', out=True, revision=12),
        ZonesListed(('z1',), 12),
        RouteTable(7),
    ],
)
def test_two_views_that_feed_each_other_come_to_rest(change):
    """Two sources echoed a list, and a delayed removal, for ever."""
    first, first_changes = make()
    second, second_changes = make()
    first.apply(LISTED)
    second.apply(LISTED)
    first.apply(change)
    passed = 0
    while first_changes or second_changes:
        for changes, other in (
            (first_changes, second),
            (second_changes, first),
        ):
            while changes:
                other.apply(changes.pop())
                passed += 1
        assert passed < 10


def test_state_brings_a_fresh_node_to_the_same_view():
    """A restarted node serves from what its peers know."""
    fleet, _ = make()
    fleet.apply(ServersListed((server(1, 3),), 9))
    fleet.apply(ServerChanged(server(2, 10)))
    fleet.apply(ZonesListed(('z9',), 4))
    fleet.apply(RouteTable(7))
    fresh, _ = make()
    for change in fleet.snapshot():
        fresh.apply(change)
    assert fresh.ready
    assert len(fresh.servers) == 2
    assert fresh.zones_out == {'z9'}
    assert fresh.route_table.version == 7


def test_zone_changes_are_ordered_by_revision():
    """A zone that was taken back must not go out again by a late event."""
    fleet, _ = make()
    assert fleet.apply(ZoneChanged('z1', out=True, revision=5))
    assert fleet.apply(ZoneChanged('z1', out=False, revision=6))
    assert not fleet.apply(ZoneChanged('z1', out=True, revision=5))
    assert not fleet.zones_out


def test_node_without_servers_or_version_is_not_ready():
    """A fresh node answers not ready instead of unknown route."""
    fleet, _ = make()
    assert not fleet.ready
    fleet.apply(RouteTable(1))
    assert not fleet.ready
    fleet.apply(ServersListed((), 2))
    assert fleet.ready


def test_removal_counts_as_news_once():
    """A removal that is handed around must end."""
    fleet, _ = make()
    fleet.apply(ServersListed((server(1, 3),), 9))
    assert fleet.apply(ServerRemoved('i-1', 12))
    assert not fleet.apply(ServerRemoved('i-1', 12))


def test_every_change_of_the_view_is_counted():
    """A kept copy of the view handed on servers that were gone."""
    clock = [0.0]
    fleet = FleetState(lambda: clock[0])
    fleet.apply(LISTED)
    assert fleet.change_count == 1
    fleet.apply(ServerRemoved('i-1', 12, 2.3))
    assert fleet.change_count == 2
    clock[0] = 3
    assert [one.id for one in fleet.expire()] == ['i-1']
    assert fleet.change_count == 3
    fleet.apply(ServerRemoved('i-1', 12))
    assert fleet.change_count == 3


def test_removed_entries_are_not_remembered_for_ever():
    """3,100 replaced VMs a day filled the memory of a long life."""
    clock = [0.0]
    fleet = FleetState(lambda: clock[0])
    fleet.apply(LISTED)
    fleet.apply(ServerRemoved('i-1', 12))
    assert not fleet.apply(ServerChanged(server(1, 5)))
    clock[0] = TOMBSTONE_RETENTION_S + 1
    fleet.expire()
    assert fleet.apply(ServerChanged(server(1, 5)))
