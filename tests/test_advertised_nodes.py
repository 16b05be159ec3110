"""Which nodes callers are told to connect to."""

from ibismount.advertised_nodes import (
    AdvertisingOptions,
    select_advertised_nodes,
)
from ibismount.member import Member


def member(number, capacity, *, address='10.0.0.1:80'):
    return Member(f'n{number:03}', 1, 'z', 'r', '', address, capacity=capacity)


def test_equal_nodes_are_all_named():
    """A fleet of equal nodes shares the load evenly."""
    assert (
        len(select_advertised_nodes([member(one, 0.7) for one in range(15)]))
        == 15
    )


def test_strong_nodes_carry_the_load_of_a_mixed_fleet():
    """117 nodes with connections to each server exceed its limit."""
    fleet = [member(one, 2.15) for one in range(6)]
    fleet += [member(one, 0.36) for one in range(6, 117)]
    named = select_advertised_nodes(fleet)
    assert {one.id for one in named} == {f'n{one:03}' for one in range(6)}


def test_weak_nodes_take_over_when_strong_ones_are_lost():
    """The loss of most strong nodes must not leave a single one."""
    fleet = [member(0, 2.15)]
    fleet += [member(one, 0.36) for one in range(1, 30)]
    named = select_advertised_nodes(fleet)
    assert len(named) == AdvertisingOptions().min_nodes
    assert named[0].id == 'n000'


def test_weak_nodes_make_up_for_all_strong_ones():
    """Four weak nodes can't carry what six strong ones did."""
    fleet = [member(one, 0.36) for one in range(6, 117)]
    named = select_advertised_nodes(fleet)
    assert sum(one.capacity for one in named) > 6
    # Each of them needs two of the 109 connections to each server.
    assert len(named) * 2 < 109
    mixed = select_advertised_nodes(
        [member(one, 2.15) for one in range(2)] + fleet
    )
    assert sum(one.capacity for one in mixed) > 6
    assert len(mixed) < 20


def test_nodes_that_cannot_serve_are_not_named():
    """A node that just started, or leaves, has no address for callers."""
    fleet = [member(1, 4, address=''), member(2, 1)]
    assert [one.id for one in select_advertised_nodes(fleet)] == ['n002']
    assert select_advertised_nodes([]) == []
