"""What all nodes take of a common limit stays within it."""

from ibismount.node_share import NodeShareCalculator, ShareOptions

OPTIONS = ShareOptions()
LATER = OPTIONS.settle_s + 1


def settled(named, most_live, *, is_named=True):
    shares = NodeShareCalculator(0)
    shares.find(
        LATER, named=named, in_zone=2, is_named=is_named, most_live=most_live
    )
    return shares


def test_equal_nodes_share_everything():
    """Nothing of a budget lies idle in a fleet of equal nodes."""
    share = NodeShareCalculator(0).find(
        LATER, named=15, in_zone=2, is_named=True, most_live=15
    )
    assert share.nodes == 15
    assert share.budget * 15 == 1


def test_fresh_node_takes_the_least_share():
    """Right after its start a node knows too few peers to divide by."""
    share = NodeShareCalculator(0).find(
        0.1, named=1, in_zone=2, is_named=True, most_live=1
    )
    assert share.nodes == OPTIONS.unknown_nodes
    assert share.budget * OPTIONS.unknown_nodes == 1


def test_named_and_other_nodes_stay_within_the_whole():
    """Six strong nodes of 117 are named; old lists reach the others."""
    strong = NodeShareCalculator(0).find(
        LATER, named=6, in_zone=2, is_named=True, most_live=117
    )
    weak = NodeShareCalculator(0).find(
        LATER, named=6, in_zone=2, is_named=False, most_live=117
    )
    assert 6 * strong.budget + 111 * weak.budget <= 1.0001
    assert strong.nodes == 6


def test_parted_zones_do_not_multiply_a_budget():
    """Each zone sees only its own nodes after a partition.

    Three zones of five nodes took 0.8 of the budget each.
    """
    total = 0
    for _ in range(3):
        shares = settled(15, 15)
        share = shares.find(
            LATER + 5, named=5, in_zone=2, is_named=True, most_live=15
        )
        total += 5 * share.budget
    assert total <= 1.0001


def test_parted_strong_nodes_do_not_multiply_a_budget():
    """The side with two of six strong nodes names two weak ones as well."""
    sides = (4, 0), (2, 2)
    total = 0
    for strong, weak in sides:
        share = settled(6, 117).find(
            LATER + 5,
            named=strong + weak,
            in_zone=2,
            is_named=True,
            most_live=117,
        )
        total += (strong + weak) * share.budget
    assert total <= 1.1


def test_few_nodes_prefer_the_servers_of_a_zone():
    """Two strong nodes of a zone may use its servers more than others do."""
    share = settled(6, 117).find(
        LATER + 1, named=6, in_zone=2, is_named=True, most_live=117
    )
    assert (share.nodes, share.zone_nodes) == (6, 2)
    fresh = NodeShareCalculator(0).find(
        0.1, named=6, in_zone=2, is_named=True, most_live=117
    )
    assert fresh.zone_nodes == OPTIONS.unknown_nodes


def test_nodes_that_are_gone_for_good_are_forgotten():
    """The share of removed nodes does not lie idle for ever."""
    shares = settled(15, 15)
    later = LATER + OPTIONS.remember_s + 1
    share = shares.find(later, named=10, in_zone=2, is_named=True, most_live=15)
    assert share.nodes == 10
