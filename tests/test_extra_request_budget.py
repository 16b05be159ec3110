"""The extra requests of all nodes together stay within the fleet's bound."""

import random
from collections import deque

from ibismount.extra_request_budget import BudgetOptions, ExtraRequestBudget

NODES = 15
RATIO = 0.2
SLACK = 100


class Clock:
    def __init__(self):
        self.now = 0

    def __call__(self):
        return self.now


# A process that has run for this long uses its full share of the slack.
STARTED_UP_S = BudgetOptions().window_s + 1


def make_budget(share=1, *, slack=SLACK, clock=None):
    options = BudgetOptions(ratio=RATIO, slack=slack)
    get_share = share if callable(share) else lambda: share
    return ExtraRequestBudget(options, get_share, now=clock or Clock())


def most_in_a_window(requests_per_s, *, restarts=0, seed=1, seconds=30):
    """Send all extra requests allowed; return the most in ten seconds."""
    rng = random.Random(seed)
    clock = Clock()
    budgets = [make_budget(1 / NODES, clock=clock) for _ in range(NODES)]
    recent, most = deque(), 0
    for step in range(seconds * 10):
        clock.now = STARTED_UP_S + step / 10
        for number in range(NODES):
            if restarts and rng.random() < restarts / (seconds * 10):
                budgets[number] = make_budget(1 / NODES, clock=clock)
            budget = budgets[number]
            if rng.random() < requests_per_s / NODES / 10:
                budget.deposit('desk')
            while budget.try_withdraw('desk'):
                recent.append(clock.now)
        while recent and recent[0] < clock.now - 10:
            recent.popleft()
        most = max(most, len(recent))
    return most


def test_sum_over_all_nodes_stays_within_ratio_and_slack():
    """Budgets of single nodes must not add up to more than the bound."""
    for rate in (0, 20, 100):
        assert most_in_a_window(rate) <= RATIO * rate * 10 + SLACK


def test_restart_of_all_nodes_does_not_double_the_slack():
    """A node forgets the extra requests that it sent before a restart."""
    for rate in (0, 20):
        most = most_in_a_window(rate, restarts=3)
        assert most <= RATIO * rate * 10 + SLACK


def test_slack_is_restored_in_each_window():
    """Only a fifth of the slack was restored in a window.

    A service whose servers shed half of the requests for nine seconds got
    only a third of the retries that it was allowed.
    """
    clock = Clock()
    budget = make_budget(clock=clock)
    for window in range(1, 4):
        clock.now = window * STARTED_UP_S
        allowed = 0
        while budget.try_withdraw('desk'):
            allowed += 1
        assert allowed >= 0.7 * SLACK


def test_slack_can_be_spent_evenly():
    """A budget that allows only bursts fails during long disturbances."""
    clock = Clock()
    budget = make_budget(clock=clock)
    spent = 0
    for step in range(300):
        clock.now = STARTED_UP_S + step / 10
        if step % 2 == 0 and budget.try_withdraw('desk'):
            spent += 1
    # Five per second stay below the slack of 75 in ten seconds.
    assert spent == 150


def test_new_process_uses_a_small_part_of_the_slack():
    """The extra requests before a restart are not known."""
    budget = make_budget()
    spent = 0
    while budget.try_withdraw('desk'):
        spent += 1
    assert 0 < spent <= 0.2 * SLACK


def test_hedges_leave_a_reserve_for_lost_requests():
    """Hedges used up the budget, and lost requests could not be retried."""
    budget = make_budget()
    for _ in range(1000):
        budget.deposit('desk')
    while budget.try_withdraw('desk', urgent=False):
        pass
    assert budget.try_withdraw('desk')


def test_services_have_separate_budgets():
    """One failing shard must not use up the retries of the others."""
    budget = make_budget()
    while budget.try_withdraw('desk'):
        pass
    assert budget.try_withdraw('rota')


def test_slack_follows_the_known_number_of_nodes():
    """A node that discovers more nodes uses a smaller part of the slack."""
    known_nodes = [1]
    clock = Clock()
    budget = make_budget(lambda: 1 / known_nodes[0], clock=clock)
    clock.now = STARTED_UP_S
    known_nodes[0] = 50
    spent = 0
    while budget.try_withdraw('desk'):
        spent += 1
    assert spent <= SLACK / 50 + 1


def test_refund_restores_an_extra_request():
    """A hedge that found no connection must not use up the budget."""
    budget = make_budget(slack=40)
    assert budget.try_withdraw('desk')
    left = 0
    budget.refund('desk')
    while budget.try_withdraw('desk'):
        left += 1
    assert left >= 4


def test_node_of_a_large_fleet_can_retry_a_request():
    """With a share of the slack below one request, a node never retried."""
    budget = make_budget(0.001)
    for _ in range(100):
        budget.deposit('desk')
    assert budget.try_withdraw('desk')
