"""The shares of all nodes add up to no more than the limit."""

from ibismount.node_share import NodeShareCalculator, ShareOptions

OPTIONS = ShareOptions()
LATER = OPTIONS.settle_s + 1


def settled_calculator(advertised, peak_live, *, is_advertised=True):
    calculator = NodeShareCalculator(0)
    calculator.compute(
        LATER,
        advertised=advertised,
        advertised_in_zone=2,
        is_advertised=is_advertised,
        peak_live=peak_live,
    )
    return calculator


def test_equal_nodes_use_the_whole_budget():
    """No part of a budget is left unused in a fleet of equal nodes."""
    share = NodeShareCalculator(0).compute(
        LATER,
        advertised=15,
        advertised_in_zone=2,
        is_advertised=True,
        peak_live=15,
    )
    assert share.nodes == 15
    assert share.budget_fraction * 15 == 1


def test_new_node_uses_the_smallest_share():
    """Right after its start a node doesn't know the number of its peers."""
    share = NodeShareCalculator(0).compute(
        0.1, advertised=1, advertised_in_zone=2, is_advertised=True, peak_live=1
    )
    assert share.nodes == OPTIONS.assumed_nodes
    assert share.budget_fraction * OPTIONS.assumed_nodes == 1


def test_advertised_and_other_nodes_stay_within_the_budget():
    """Six nodes of 117 are advertised; old address lists name the others."""
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


def test_partitioned_zones_do_not_multiply_a_budget():
    """Each zone sees only its own nodes after a partition.

    Three zones of five nodes used 0.8 of the budget each.
    """
    total = 0
    for _ in range(3):
        calculator = settled_calculator(15, 15)
        share = calculator.compute(
            LATER + 5,
            advertised=5,
            advertised_in_zone=2,
            is_advertised=True,
            peak_live=15,
        )
        total += 5 * share.budget_fraction
    assert total <= 1.0001


def test_partitioned_strong_nodes_do_not_multiply_a_budget():
    """The side with two of six strong nodes advertises two weak ones too."""
    sides = (4, 0), (2, 2)
    total = 0
    for strong, weak in sides:
        share = settled_calculator(6, 117).compute(
            LATER + 5,
            advertised=strong + weak,
            advertised_in_zone=2,
            is_advertised=True,
            peak_live=117,
        )
        total += (strong + weak) * share.budget_fraction
    assert total <= 1.1


def test_few_nodes_prefer_the_servers_of_a_zone():
    """Two strong nodes of a zone may use more of its servers than others."""
    share = settled_calculator(6, 117).compute(
        LATER + 1,
        advertised=6,
        advertised_in_zone=2,
        is_advertised=True,
        peak_live=117,
    )
    assert (share.nodes, share.zone_nodes) == (6, 2)
    new_node = NodeShareCalculator(0).compute(
        0.1,
        advertised=6,
        advertised_in_zone=2,
        is_advertised=True,
        peak_live=117,
    )
    assert new_node.zone_nodes == OPTIONS.assumed_nodes


def test_removed_nodes_stop_counting_after_the_window():
    """The share of removed nodes must not be left unused for ever."""
    calculator = settled_calculator(15, 15)
    later = LATER + OPTIONS.peak_window_s + 1
    share = calculator.compute(
        later,
        advertised=10,
        advertised_in_zone=2,
        is_advertised=True,
        peak_live=15,
    )
    assert share.nodes == 10
