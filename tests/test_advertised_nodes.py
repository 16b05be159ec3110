"""Which nodes are advertised to callers."""

from ibismount.advertised_nodes import (
    AdvertisingOptions,
    find_server_zones,
    select_advertised_nodes,
)
from ibismount.member import Member


def member(number, capacity, *, address='10.0.0.1:80'):
    return Member(f'n{number:03}', 1, 'z', 'r', '', address, capacity=capacity)


def test_equal_nodes_are_all_advertised():
    """A fleet of equal nodes shares the load evenly."""
    assert (
        len(
            select_advertised_nodes(
                [member(number, 0.7) for number in range(15)]
            )
        )
        == 15
    )


def test_strong_nodes_carry_the_load_of_a_mixed_fleet():
    """The connections of 117 nodes to each server would exceed its limit."""
    fleet = [member(number, 2.15) for number in range(6)]
    fleet += [member(number, 0.36) for number in range(6, 117)]
    advertised = select_advertised_nodes(fleet)
    assert {node.id for node in advertised} == {
        f'n{number:03}' for number in range(6)
    }


def test_weak_nodes_are_added_when_strong_ones_are_lost():
    """The loss of most strong nodes must not leave a single node."""
    fleet = [member(0, 2.15)]
    fleet += [member(number, 0.36) for number in range(1, 30)]
    advertised = select_advertised_nodes(fleet)
    assert len(advertised) == AdvertisingOptions().min_nodes
    assert advertised[0].id == 'n000'


def test_enough_weak_nodes_replace_all_strong_ones():
    """Four weak nodes can't carry the load of six strong ones."""
    fleet = [member(number, 0.36) for number in range(6, 117)]
    advertised = select_advertised_nodes(fleet)
    assert sum(node.capacity for node in advertised) > 6
    # Each node needs two of the 109 connections to each server.
    assert len(advertised) * 2 < 109
    mixed = select_advertised_nodes(
        [member(number, 2.15) for number in range(2)] + fleet
    )
    assert sum(node.capacity for node in mixed) > 6
    assert len(mixed) < 20


def test_nodes_that_cannot_serve_are_not_advertised():
    """A node that starts up or shuts down has no address for callers."""
    fleet = [member(1, 4, address=''), member(2, 1)]
    assert [node.id for node in select_advertised_nodes(fleet)] == ['n002']
    assert select_advertised_nodes([]) == []


def large_fleet(zones=5):
    """Return three strong nodes in each zone, and 36 weak ones."""
    fleet = []
    for zone in range(zones):
        for number in range(39):
            fleet.append(
                Member(
                    f'z{zone}-{number:02}',
                    1,
                    f'z{zone}',
                    'r',
                    '',
                    '10.0.0.1:80',
                    capacity=2.15 if number < 3 else 0.516,
                )
            )
    return fleet


SERVERS_BY_ZONE = {'z0': 45, 'z1': 45, 'z2': 45, 'z3': 3, 'z4': 2}


def test_nodes_in_zones_with_servers_are_advertised_first():
    """All parts of two fifths of the searches crossed zones."""
    advertised = select_advertised_nodes(
        large_fleet(), find_server_zones(SERVERS_BY_ZONE)
    )
    near = [node for node in advertised if node.availability_zone < 'z3']
    assert len(near) == 9
    # They have less than the least share of the capacity.
    assert len(advertised) == 10


def test_zone_without_servers_helps_when_nodes_are_lost():
    """Two strong nodes near the servers can't carry the load of fifteen."""
    fleet = [
        node
        for node in large_fleet()
        if node.availability_zone in {'z3', 'z4'} or node.id == 'z0-00'
    ]
    advertised = select_advertised_nodes(fleet, {'z0', 'z1', 'z2'})
    assert advertised[0].id == 'z0-00'
    assert len(advertised) >= 4
    assert all(node.capacity == 2.15 for node in advertised[1:7])


def test_lost_servers_do_not_empty_a_zone_at_once():
    """The advertised nodes must not change with each crashed server."""
    assert find_server_zones({'z0': 30, 'z1': 45, 'z2': 45}) == {
        'z0',
        'z1',
        'z2',
    }
    assert find_server_zones({}) == set()
