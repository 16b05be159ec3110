"""Passive judgement of backend servers, and the choice that follows."""

import random

from ibismount.placement import Placement
from ibismount.server_health import make_health
from ibismount.server_table import Server


def servers(count=3, service='desk'):
    return [
        Server(f'i-{number}', service, 'h', number, f'z{number}', 4)
        for number in range(count)
    ]


def make(zone='z0'):
    return Placement(zone, random.Random(1))


def best(placement, now, among, **options):
    return placement.rank(now, among, **options)[0].id


def test_slow_server_is_left_after_a_few_answers():
    """A server that works eight times as long must not keep its share."""
    placement, among = make(), servers()
    slow = placement.health(among[0])
    for step in range(3):
        slow.answered(step * 0.1, 8)
    assert best(placement, 0.3, among) != 'i-0'


def test_slow_server_is_tried_again_later():
    """A server that recovered must not stay avoided for good."""
    placement, among = make(), servers()
    for step in range(3):
        placement.health(among[0]).answered(step * 0.1, 8)
    assert best(placement, 40, among) == 'i-0'


def test_lost_connection_is_avoided_longer_each_time():
    """A dead server must not get every second request."""
    health = make_health()
    health.lost(0)
    assert health.avoided(0.4)
    assert not health.avoided(0.6)
    health.lost(0.6)
    assert health.avoided(1.5)
    health.answered(2, 1)
    health.lost(3)
    assert not health.avoided(3.6)


def test_overdue_server_gets_no_new_request_for_a_moment():
    """Requests must not queue up behind a server that pauses."""
    placement, among = make(), servers()
    placement.health(among[0]).overdue(1, 2, 0.2)
    assert best(placement, 1.1, among) != 'i-0'


def test_own_zone_is_preferred_while_servers_are_equal():
    """Bytes between availability zones are paid for."""
    chosen = {best(make('z2'), 0, servers()) for _ in range(20)}
    assert chosen == {'i-2'}


def test_load_spreads_when_the_own_zone_is_full():
    """The nearest server must not be pushed past its slots."""
    placement, among = make(), servers()
    placement.health(among[0]).in_flight = 4
    assert best(placement, 0, among) != 'i-0'


def test_zone_out_of_service_gets_nothing():
    """A zone that operators took out gets no work, even as a last resort."""
    placement, among = make(), servers()
    ranked = placement.rank(0, among, zones_out={'z0', 'z1'})
    assert [one.id for one in ranked] == ['i-2']
    assert placement.rank(0, among, zones_out={'z0', 'z1', 'z2'}) == []


def test_failing_server_is_avoided_though_it_is_fast():
    """A server that fails quickly looks attractive by latency alone."""
    placement, among = make(), servers()
    grey = placement.health(among[0])
    for step in range(4):
        grey.answered(step * 0.1, 0.2)
        grey.failed(step * 0.1)
    assert best(placement, 0.5, among) != 'i-0'


def test_restart_under_the_same_id_forgets_the_past():
    """A new start has nothing to do with the old one's failures."""
    placement, among = make(), servers()
    for _ in range(5):
        placement.health(among[0]).lost(1)
    again = Server('i-0', 'desk', 'h', 0, 'z0', 4, incarnation=5)
    assert not placement.health(again).avoided(1)


def test_slow_server_is_not_tried_again_all_the_time():
    """With many nodes, each probe of a slow server makes a search late."""
    placement, among = make(), servers()
    placement.health(among[0]).answered(0, 9)
    chosen = [best(placement, step / 5, among) for step in range(1, 12 * 5)]
    assert 'i-0' not in chosen


def test_server_that_cannot_be_reached_comes_after_slow_and_full_ones():
    """A dead server was chosen 265 times, since its siblings rejected work."""
    placement, among = make(), servers()
    for step in range(20):
        for one in among[1:]:
            placement.health(one).answered(step / 10, 20)
            placement.health(one).failed(step / 10)
    placement.health(among[0]).lost(2)
    assert best(placement, 2.1, among) != 'i-0'


def test_unreachable_server_is_left_out_while_others_can_be_reached():
    """Parts that waited for a slow server went to a dead one instead."""
    placement, among = make(), servers()
    placement.health(among[0]).lost(1)
    ranked = placement.rank(1.1, among)
    assert 'i-0' not in [one.id for one in ranked]
    for one in among:
        placement.health(one).lost(1)
    assert len(placement.rank(1.1, among)) == 3
