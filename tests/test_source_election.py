"""Tests of which nodes watch the store, and which take over."""

from ibismount.source_election import (
    SourceElection,
    SourceElectionOptions,
    rank_nodes,
)

IDS = [f'10.0.0.{number}' for number in range(1, 16)]
CAPACITIES = dict.fromkeys(IDS, 1)
RANKED = rank_nodes(CAPACITIES)
OPTIONS = SourceElectionOptions()


def watching_nodes(now, capacities, *, current_links):
    return [
        node_id
        for node_id in capacities
        if SourceElection(node_id, 0).should_watch_store(
            now, rank_nodes(capacities), current_links=current_links
        )
    ]


def test_two_nodes_watch_the_store_while_links_are_current():
    """Every node that watches the store costs money."""
    assert (
        len(watching_nodes(10, CAPACITIES, current_links=2))
        == OPTIONS.source_count
    )
    assert set(watching_nodes(10, CAPACITIES, current_links=2)) == set(
        rank_nodes(CAPACITIES)[:2]
    )


def test_no_node_watches_the_store_before_peers_have_answered():
    """When the whole fleet starts, each node first ranks only itself."""
    election = SourceElection(IDS[0], 5)
    assert not election.should_watch_store(5.1, [IDS[0]], current_links=0)
    assert election.should_watch_store(5.8, [IDS[0]], current_links=0)


def test_seed_watches_the_store_from_its_start():
    """After a loss of all nodes, the others wait for the seeds."""
    assert SourceElection(IDS[0], 5, is_seed=True).should_watch_store(
        5, IDS[:3], current_links=0
    )


def test_restarted_node_does_not_wait_for_seeds_without_power():
    """After a loss of power, strong nodes started before the seeds had power.

    They served 0.45 s after their start, when the first seed had its view.
    """
    election = SourceElection(IDS[0], 5, restart_capacity=2)
    wait_s = OPTIONS.restart_delay_s / 2
    known = dict.fromkeys(IDS[:3], 1)
    assert not election.should_watch_store(
        5 + wait_s / 2, rank_nodes(known), current_links=0, alone=True
    )
    assert election.should_watch_store(
        5 + wait_s, rank_nodes(known), current_links=0, alone=True
    )


def test_restarted_node_waits_for_a_seed_that_it_reaches():
    """Every node that watches the store costs money."""
    election = SourceElection(IDS[0], 5, restart_capacity=2)
    known = dict.fromkeys(IDS[:3], 1)
    assert not election.should_watch_store(
        5.3, rank_nodes(known), current_links=0, alone=False
    )


def test_weak_node_leaves_the_store_to_strong_ones_after_a_restart():
    """Callers are sent to strong nodes, so only these must start early."""
    known = dict.fromkeys(IDS[:3], 1)
    watching = [
        capacity
        for capacity in (0.3, 0.5, 1, 2, 4)
        if SourceElection(
            IDS[0], 5, restart_capacity=capacity
        ).should_watch_store(
            5.1, rank_nodes(known), current_links=0, alone=True
        )
    ]
    assert watching == [1, 2, 4]


def test_new_node_with_current_links_does_not_take_over_at_once():
    """Nodes that knew few others yet all ranked themselves first.

    After a loss of power on 195 nodes, 13 of them began to watch the store.
    """
    election = SourceElection(IDS[0], 5)
    known = {IDS[0]: 2, IDS[1]: 1}
    assert not election.should_watch_store(
        6, rank_nodes(known), current_links=2
    )
    assert election.should_watch_store(
        5 + OPTIONS.settle_s, rank_nodes(known), current_links=2
    )


def test_node_takes_over_when_its_links_are_stale():
    """Nodes must not use an old view while both sources are cut off."""
    last = rank_nodes(CAPACITIES)[-1]
    election = SourceElection(last, 0)
    assert not election.should_watch_store(10, RANKED, current_links=1)
    most_s = OPTIONS.takeover_after_s + OPTIONS.max_stagger_s
    assert not election.should_watch_store(10.5, RANKED, current_links=0)
    assert election.should_watch_store(10 + most_s, RANKED, current_links=0)


def test_third_node_takes_over_before_the_others():
    """Only some nodes may start to call the store at once."""
    ranked = rank_nodes(CAPACITIES)
    watching = [
        node_id
        for node_id in ranked
        if _takes_over(
            SourceElection(node_id, 0), 10 + OPTIONS.takeover_after_s + 0.4
        )
    ]
    assert watching[:3] == ranked[:3]
    assert len(watching) < 6


def _takes_over(election, now):
    election.should_watch_store(10, RANKED, current_links=1)
    return election.should_watch_store(now, RANKED, current_links=0)


def test_node_links_to_the_sources_but_not_to_itself():
    """A source links to the other source and to the next in rank."""
    ranked = rank_nodes(CAPACITIES)
    assert SourceElection(ranked[5], 0).select_upstreams(RANKED) == ranked[:2]
    assert SourceElection(ranked[0], 0).select_upstreams(RANKED) == ranked[1:3]


def test_node_keeps_watching_until_links_are_stable():
    """A link that is current only briefly must not end the watches."""
    election = SourceElection(IDS[3], 0)
    election.should_watch_store(10, RANKED, current_links=0)
    election.should_watch_store(11, RANKED, current_links=1)
    assert not election.may_stop_watching(11)
    assert election.may_stop_watching(10 + OPTIONS.release_after_s)


def test_leaving_node_does_not_watch_the_store():
    """A node that was shutting down started to watch the store."""
    election = SourceElection('10.0.0.99', 0)
    assert not election.should_watch_store(10, RANKED, current_links=2)


def test_nodes_with_most_capacity_watch_the_store_first():
    """A small node would use up its bandwidth to forward changes."""
    capacities = {**CAPACITIES, '10.0.0.7': 4, '10.0.0.9': 4}
    assert set(rank_nodes(capacities)[:2]) == {'10.0.0.7', '10.0.0.9'}


def test_few_nodes_call_a_store_that_is_down_for_all():
    """An outage of 4.5 s made every node watch the store (inc-002e)."""
    watching = [
        node_id
        for node_id in IDS
        if _takes_over(SourceElection(node_id, 0), 12.5)
    ]
    assert 2 < len(watching) <= len(IDS) * 2 / 3


def test_takeover_is_early_enough_for_the_bound_on_changes():
    """A change must be in force on all nodes within 3 s."""
    third = rank_nodes(CAPACITIES)[2]
    assert _takes_over(SourceElection(third, 0), 10 + 3 - 1.8)
