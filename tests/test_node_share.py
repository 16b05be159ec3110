"""What all nodes take of a common limit stays within it."""

from ibismount.node_share import NodeShareCalculator, ShareOptions

OPTIONS = ShareOptions()
LATER = OPTIONS.settle_s + 1


def settled(advertised, peak_live, *, is_advertised=True):
    shares = NodeShareCalculator(0)
    shares.compute(
        LATER,
        advertised=advertised,
        advertised_in_zone=2,
        is_advertised=is_advertised,
        peak_live=peak_live,
    )
    return shares


def test_equal_nodes_share_everything():
    """Nothing of a budget lies idle in a fleet of equal nodes."""
    share = NodeShareCalculator(0).compute(
        LATER,
        advertised=15,
        advertised_in_zone=2,
        is_advertised=True,
        peak_live=15,
    )
    assert share.nodes == 15
    assert share.budget_fraction * 15 == 1


def test_fresh_node_takes_the_least_share():
    """Right after its start a node knows too few peers to divide by."""
    share = NodeShareCalculator(0).compute(
        0.1, advertised=1, advertised_in_zone=2, is_advertised=True, peak_live=1
    )
    assert share.nodes == OPTIONS.assumed_nodes
    assert share.budget_fraction * OPTIONS.assumed_nodes == 1


def test_named_and_other_nodes_stay_within_the_whole():
    """Six strong nodes of 117 are named; old lists reach the others."""
    strong = NodeShareCalculator(0).compute(
        LATER,
        advertised=6,
        advertised_in_zone=2,
        is_advertised=True,
        peak_live=117,
    )
    weak = NodeShareCalculator(0).compute(
        LATER,
        advertised=6,
        advertised_in_zone=2,
        is_advertised=False,
        peak_live=117,
    )
    assert 6 * strong.budget_fraction + 111 * weak.budget_fraction <= 1.0001
    assert strong.nodes == 6


def test_parted_zones_do_not_multiply_a_budget():
    """Each zone sees only its own nodes after a partition.

    Three zones of five nodes took 0.8 of the budget each.
    """
    total = 0
    for _ in range(3):
        shares = settled(15, 15)
        share = shares.compute(
            LATER + 5,
            advertised=5,
            advertised_in_zone=2,
            is_advertised=True,
            peak_live=15,
        )
        total += 5 * share.budget_fraction
    assert total <= 1.0001


def test_parted_strong_nodes_do_not_multiply_a_budget():
    """The side with two of six strong nodes names two weak ones as well."""
    sides = (4, 0), (2, 2)
    total = 0
    for strong, weak in sides:
        share = settled(6, 117).compute(
            LATER + 5,
            advertised=strong + weak,
            advertised_in_zone=2,
            is_advertised=True,
            peak_live=117,
        )
        total += (strong + weak) * share.budget_fraction
    assert total <= 1.1


def test_few_nodes_prefer_the_servers_of_a_zone():
    """Two strong nodes of a zone may use its servers more than others do."""
    share = settled(6, 117).compute(
        LATER + 1,
        advertised=6,
        advertised_in_zone=2,
        is_advertised=True,
        peak_live=117,
    )
    assert (share.nodes, share.zone_nodes) == (6, 2)
    fresh = NodeShareCalculator(0).compute(
        0.1,
        advertised=6,
        advertised_in_zone=2,
        is_advertised=True,
        peak_live=117,
    )
    assert fresh.zone_nodes == OPTIONS.assumed_nodes


def test_nodes_that_are_gone_for_good_are_forgotten():
    """The share of removed nodes does not lie idle for ever."""
    shares = settled(15, 15)
    later = LATER + OPTIONS.peak_window_s + 1
    share = shares.compute(
        later,
        advertised=10,
        advertised_in_zone=2,
        is_advertised=True,
        peak_live=15,
    )
    assert share.nodes == 10
