"""The fleet's bound on extra requests holds as a sum over all nodes."""

import random

from ibismount.traffic_budget import BudgetOptions, TrafficBudget

NODES = 15
RATIO = 0.2
SLACK = 100


def fleet_extras(requests_per_node, *, nodes=NODES, restarts=0, seed=1):
    """Spend all that is allowed and return the extras of one window."""
    rng = random.Random(seed)
    options = BudgetOptions(ratio=RATIO, slack=SLACK)
    extras = 0
    for number in range(nodes):
        budget = TrafficBudget(options, lambda: 1 / nodes)
        for _ in range(1000):
            budget.earn('desk')
        restart_at = rng.randrange(requests_per_node) if restarts else -1
        for step in range(requests_per_node):
            if step == restart_at and number < restarts:
                budget = TrafficBudget(options, lambda: 1 / nodes)
            budget.earn('desk')
            while budget.spend('desk'):
                extras += 1
    return extras


def test_sum_over_all_nodes_stays_within_ratio_and_slack():
    """Nodes that each keep a budget of their own must not add up beyond."""
    requests = 60
    assert fleet_extras(requests) <= RATIO * requests * NODES + SLACK


def test_restart_of_all_nodes_does_not_double_the_slack():
    """A node forgets what it spent when it restarts."""
    requests = 60
    extras = fleet_extras(requests, restarts=NODES)
    assert extras <= RATIO * requests * NODES + SLACK


def test_services_have_budgets_of_their_own():
    """One shard's trouble must not use up the retries of the others."""
    budget = TrafficBudget(BudgetOptions(slack=SLACK), lambda: 1)
    while budget.spend('desk'):
        pass
    assert budget.spend('rota')


def test_size_of_the_fleet_follows_what_is_known():
    """A node that learns of more nodes takes a smaller part of the slack."""
    known = [1]
    budget = TrafficBudget(BudgetOptions(slack=SLACK), lambda: 1 / known[0])
    for _ in range(1000):
        budget.earn('desk')
    known[0] = 50
    budget.earn('desk')
    spent = 0
    while budget.spend('desk'):
        spent += 1
    assert spent <= SLACK / 50 + 1


def test_extra_that_was_not_sent_is_given_back():
    """A hedge that found no connection must not use up the budget."""
    budget = TrafficBudget(BudgetOptions(slack=20), lambda: 1)
    assert budget.spend('desk')
    left = 0
    budget.refund('desk')
    while budget.spend('desk'):
        left += 1
    assert left >= 4
