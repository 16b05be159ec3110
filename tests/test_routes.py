"""Routes: the longest prefix, and the shares of a split."""

import collections
import random

import pytest

from ibismount.routes import Route, RouteTable, TrafficSplit, WeightedService


def route(name, prefix, *, host='a.example', weights=(1,)):
    services = tuple(
        WeightedService(f's{number}', weight)
        for number, weight in enumerate(weights)
    )
    return Route(name, host, prefix, True, 1, 0.5, services=services)


def test_longest_prefix_of_the_host_wins():
    """A request must not go to the route with a shorter prefix."""
    table = RouteTable(
        1,
        (
            route('short', '/a/'),
            route('long', '/a/b/'),
            route('other', '/a/b/c/', host='b.example'),
        ),
    )
    assert table.match('a.example', '/a/b/c/d').name == 'long'
    assert table.match('A.Example', '/a/x').name == 'short'
    assert table.match('a.example', '/b') is None
    assert table.match('c.example', '/a/') is None


def test_route_without_services_and_shards_is_refused():
    """Such a route would fail at its first request."""
    with pytest.raises(ValueError, match='one of'):
        Route('r', 'h', '/', True, 1, 1)


def test_split_keeps_its_shares_over_short_spans():
    """Random choice would miss the weights over some hundred requests."""
    split = TrafficSplit(random.Random(3))
    split_route = route('r', '/', weights=(7, 2, 1))
    chosen = collections.Counter(
        split.choose_service(split_route) for _ in range(100)
    )
    assert abs(chosen['s0'] - 70) <= 1
    assert abs(chosen['s1'] - 20) <= 1


def test_service_without_weight_gets_nothing():
    """A weight of zero takes a service out of a split."""
    split = TrafficSplit(random.Random(3))
    split_route = route('r', '/', weights=(0, 1))
    assert {split.choose_service(split_route) for _ in range(50)} == {'s1'}
