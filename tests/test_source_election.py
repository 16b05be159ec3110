"""Which nodes follow the store, and who takes over."""

from ibismount.source_election import (
    SourceElection,
    SourceElectionOptions,
    rank_nodes,
)

IDS = [f'10.0.0.{number}' for number in range(1, 16)]
NODES = dict.fromkeys(IDS, 1)
OPTIONS = SourceElectionOptions()


def followers(now, live, *, current):
    return [
        node
        for node in live
        if SourceElection(node, 0).should_follow_store(
            now, live, current_links=current
        )
    ]


def test_two_nodes_follow_the_store_while_links_are_current():
    """Every node that follows the store by itself is paid for."""
    assert len(followers(10, NODES, current=2)) == OPTIONS.source_count
    assert set(followers(10, NODES, current=2)) == set(rank_nodes(NODES)[:2])


def test_nobody_follows_the_store_before_peers_are_heard():
    """At a start of the whole fleet each node first knows only itself."""
    duty = SourceElection(IDS[0], 5)
    assert not duty.should_follow_store(5.1, {IDS[0]: 1}, current_links=0)
    assert duty.should_follow_store(5.8, {IDS[0]: 1}, current_links=0)


def test_seed_follows_the_store_from_its_start():
    """After a loss of all nodes the others wait for the seeds."""
    assert SourceElection(IDS[0], 5, is_seed=True).should_follow_store(
        5, dict.fromkeys(IDS[:3], 1), current_links=0
    )


def test_node_takes_over_when_its_links_are_no_longer_current():
    """Nodes must not act on an old view while both sources are cut off."""
    last = rank_nodes(NODES)[-1]
    duty = SourceElection(last, 0)
    assert not duty.should_follow_store(10, NODES, current_links=1)
    most_s = OPTIONS.takeover_after_s + OPTIONS.max_stagger_s
    assert not duty.should_follow_store(10.5, NODES, current_links=0)
    assert duty.should_follow_store(10 + most_s, NODES, current_links=0)


def test_third_node_takes_over_before_the_others():
    """Not all nodes may turn to the store at once."""
    ranked = rank_nodes(NODES)
    taking = [
        node
        for node in ranked
        if _takes_over(
            SourceElection(node, 0), 10 + OPTIONS.takeover_after_s + 0.4
        )
    ]
    assert taking[:3] == ranked[:3]
    assert len(taking) < 6


def _takes_over(duty, now):
    duty.should_follow_store(10, NODES, current_links=1)
    return duty.should_follow_store(now, NODES, current_links=0)


def test_links_go_to_the_sources_but_not_to_oneself():
    """A source links to the other source and to the next in rank."""
    ranked = rank_nodes(NODES)
    assert SourceElection(ranked[5], 0).select_upstreams(NODES) == ranked[:2]
    assert SourceElection(ranked[0], 0).select_upstreams(NODES) == ranked[1:3]


def test_node_keeps_following_until_links_are_steady():
    """A link that is current for a moment must not end the duty."""
    duty = SourceElection(IDS[3], 0)
    duty.should_follow_store(10, NODES, current_links=0)
    duty.should_follow_store(11, NODES, current_links=1)
    assert not duty.may_stop_following(11)
    assert duty.may_stop_following(10 + OPTIONS.release_after_s)


def test_node_that_leaves_takes_no_duty():
    """A node that was stopped began to follow the store while it ended."""
    duty = SourceElection('10.0.0.99', 0)
    assert not duty.should_follow_store(10, NODES, current_links=2)


def test_strong_nodes_follow_the_store_first():
    """A weak node would spend its link on handing changes on."""
    capacities = {**NODES, '10.0.0.7': 4, '10.0.0.9': 4}
    assert set(rank_nodes(capacities)[:2]) == {'10.0.0.7', '10.0.0.9'}


def test_few_nodes_call_a_store_that_is_away_for_all():
    """An outage of 4.5 s made every node follow the store (inc-002e)."""
    taking = [
        node for node in IDS if _takes_over(SourceElection(node, 0), 12.5)
    ]
    assert 2 < len(taking) <= len(IDS) * 2 / 3


def test_takeover_leaves_time_for_the_bound_of_a_change():
    """A change is in force everywhere within three seconds."""
    third = rank_nodes(NODES)[2]
    assert _takes_over(SourceElection(third, 0), 10 + 3 - 1.8)
