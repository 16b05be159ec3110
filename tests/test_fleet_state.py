"""One node's view: the newest revision wins, and repeats are no change."""

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


def make_fleet():
    changes = []
    return FleetState(lambda: 0, changes.append), changes


def test_older_or_equal_configuration_is_ignored():
    """A change that a peer sends late must not restore an older version."""
    fleet, _ = make_fleet()
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
def test_forwarding_between_two_views_terminates(change):
    """Two nodes forwarded a list or delayed removal to each other for ever."""
    first, first_changes = make_fleet()
    second, second_changes = make_fleet()
    first.apply(LISTED)
    second.apply(LISTED)
    first.apply(change)
    forwarded = 0
    while first_changes or second_changes:
        for changes, other in (
            (first_changes, second),
            (second_changes, first),
        ):
            while changes:
                other.apply(changes.pop())
                forwarded += 1
        assert forwarded < 10


def test_snapshot_builds_the_same_view_on_another_node():
    """A restarted node serves from the snapshot of a peer."""
    fleet, _ = make_fleet()
    fleet.apply(ServersListed((server(1, 3),), 9))
    fleet.apply(ServerChanged(server(2, 10)))
    fleet.apply(ZonesListed(('z9',), 4))
    fleet.apply(RouteTable(7))
    restarted, _ = make_fleet()
    for change in fleet.snapshot():
        restarted.apply(change)
    assert restarted.ready
    assert len(restarted.servers) == 2
    assert restarted.zones_out == {'z9'}
    assert restarted.route_table.version == 7


def test_zone_changes_are_ordered_by_revision():
    """A late event must not take a zone out of service again."""
    fleet, _ = make_fleet()
    assert fleet.apply(ZoneChanged('z1', out=True, revision=5))
    assert fleet.apply(ZoneChanged('z1', out=False, revision=6))
    assert not fleet.apply(ZoneChanged('z1', out=True, revision=5))
    assert not fleet.zones_out


def test_node_without_servers_or_version_is_not_ready():
    """A new node must answer not ready instead of unknown route."""
    fleet, _ = make_fleet()
    assert not fleet.ready
    fleet.apply(RouteTable(1))
    assert not fleet.ready
    fleet.apply(ServersListed((), 2))
    assert fleet.ready


def test_repeated_removal_is_no_change():
    """Nodes would forward a removal to each other without end."""
    fleet, _ = make_fleet()
    fleet.apply(ServersListed((server(1, 3),), 9))
    assert fleet.apply(ServerRemoved('i-1', 12))
    assert not fleet.apply(ServerRemoved('i-1', 12))


def test_every_change_of_the_view_is_counted():
    """A cached snapshot was sent to peers with servers that were dropped."""
    clock = [0.0]
    fleet = FleetState(lambda: clock[0])
    fleet.apply(LISTED)
    assert fleet.change_count == 1
    fleet.apply(ServerRemoved('i-1', 12, 2.3))
    assert fleet.change_count == 2
    clock[0] = 3
    assert [expired.id for expired in fleet.expire()] == ['i-1']
    assert fleet.change_count == 3
    fleet.apply(ServerRemoved('i-1', 12))
    assert fleet.change_count == 3


def test_tombstones_expire():
    """With 3,100 VMs replaced a day, tombstones filled a node's memory."""
    clock = [0.0]
    fleet = FleetState(lambda: clock[0])
    fleet.apply(LISTED)
    fleet.apply(ServerChanged(server(3, 10)))
    fleet.apply(ServerRemoved('i-3', 12))
    assert not fleet.apply(ServerChanged(server(3, 10)))
    clock[0] = TOMBSTONE_RETENTION_S + 1
    fleet.expire()
    assert fleet.apply(ServerChanged(server(3, 10)))


def restart_from(*peers):
    """Return the view of a restarted node that reads its peers in turn."""
    clock = [0.0]
    restarted = FleetState(lambda: clock[0])
    for peer in peers:
        for change in peer.snapshot():
            restarted.apply(change)
    clock[0] = 60
    restarted.expire()
    return restarted


def test_peer_that_is_behind_brings_no_server_back():
    """A restarted node used a server again that had left before its start."""
    behind, _ = make_fleet()
    behind.apply(LISTED)
    current, _ = make_fleet()
    current.apply(LISTED)
    current.apply(ServerRemoved('i-1', 12))
    restarted = restart_from(current, behind)
    assert [row.id for row in restarted.servers.all_servers()] == ['i-2']
    assert not restarted.apply(ServerChanged(server(1, 3)))


def test_peer_that_is_behind_adds_no_server_after_tombstones_expired():
    """A partition can outlast the tombstones of removed entries."""
    clock = [0.0]
    fleet = FleetState(lambda: clock[0])
    fleet.apply(LISTED)
    fleet.apply(ServersListed((server(2, 4),), 12))
    clock[0] = TOMBSTONE_RETENTION_S + 1
    fleet.expire()
    assert not fleet.apply(LISTED)
    assert not fleet.apply(ServerChanged(server(1, 5)))


def test_newer_entry_of_a_list_that_is_behind_is_used():
    """A list is read page by page, so later pages hold newer entries."""
    fleet, _ = make_fleet()
    fleet.apply(LISTED)
    assert fleet.apply(ServersListed((server(3, 11),), 8))
    assert fleet.servers.get('i-3')


def test_restarted_node_drops_a_server_whose_removal_is_delayed():
    """The snapshot of a peer left out that the entry was missing.

    A node that restarted during an outage of the store kept the server until
    the next complete list.
    """
    peer, _ = make_fleet()
    peer.apply(LISTED)
    peer.apply(ServersListed((server(2, 4),), 12, 2.3))
    restarted = restart_from(peer)
    assert [row.id for row in restarted.servers.all_servers()] == ['i-2']


def test_restarted_node_keeps_a_server_that_came_back():
    """An entry that lapsed during an outage is written again after it."""
    peer, _ = make_fleet()
    peer.apply(LISTED)
    peer.apply(ServersListed((server(2, 4),), 12, 2.3))
    peer.apply(ServerChanged(server(1, 14)))
    restarted = restart_from(peer)
    assert len(restarted.servers) == 2


def test_unconfirmed_view_does_not_serve():
    """A restarted node used servers that had left, as an old peer told it."""
    confirmations = []
    fleet = FleetState(
        lambda: 0,
        confirmed=False,
        on_confirmed=lambda: confirmations.append(fleet.ready),
    )
    fleet.apply(LISTED)
    fleet.apply(RouteTable(7))
    assert fleet.has_view
    assert not fleet.ready
    fleet.confirm()
    fleet.confirm()
    assert fleet.ready
    assert confirmations == [True]
