"""The fleet's bound on extra requests holds as a sum over all nodes."""

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


# A process that has run for this long uses its whole part of the slack.
SETTLED_S = BudgetOptions().window_s + 1


def make(share=1, *, slack=SLACK, clock=None):
    options = BudgetOptions(ratio=RATIO, slack=slack)
    find = share if callable(share) else lambda: share
    return ExtraRequestBudget(options, find, now=clock or Clock())


def most_in_a_window(requests_per_s, *, restarts=0, seed=1, seconds=30):
    """Spend all that is allowed; return the most extras in ten seconds."""
    rng = random.Random(seed)
    clock = Clock()
    budgets = [make(1 / NODES, clock=clock) for _ in range(NODES)]
    recent, most = deque(), 0
    for step in range(seconds * 10):
        clock.now = SETTLED_S + step / 10
        for number in range(NODES):
            if restarts and rng.random() < restarts / (seconds * 10):
                budgets[number] = make(1 / NODES, clock=clock)
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
    """Nodes that each keep a budget of their own must not add up beyond."""
    for rate in (0, 20, 100):
        assert most_in_a_window(rate) <= RATIO * rate * 10 + SLACK


def test_restart_of_all_nodes_does_not_double_the_slack():
    """A node forgets what it spent when it restarts."""
    for rate in (0, 20):
        most = most_in_a_window(rate, restarts=3)
        assert most <= RATIO * rate * 10 + SLACK


def test_slack_comes_back_with_time():
    """Only a fifth of the slack came back in a window.

    A service whose servers shed half of the requests for nine seconds was
    left with a third of the repeats that it may have.
    """
    clock = Clock()
    budget = make(clock=clock)
    for window in range(1, 4):
        clock.now = window * SETTLED_S
        again = 0
        while budget.try_withdraw('desk'):
            again += 1
        assert again >= 0.7 * SLACK


def test_slack_can_be_spent_evenly():
    """A budget that only holds bursts starves long trouble."""
    clock = Clock()
    budget = make(clock=clock)
    spent = 0
    for step in range(300):
        clock.now = SETTLED_S + step / 10
        if step % 2 == 0 and budget.try_withdraw('desk'):
            spent += 1
    # Five a second stay below the slack of 75 in ten seconds.
    assert spent == 150


def test_fresh_process_uses_a_small_part():
    """What it spent before its restart is not known."""
    budget = make()
    spent = 0
    while budget.try_withdraw('desk'):
        spent += 1
    assert 0 < spent <= 0.2 * SLACK


def test_late_requests_leave_a_rest_for_lost_ones():
    """Hedges used up the budget that lost requests then lacked."""
    budget = make()
    for _ in range(1000):
        budget.deposit('desk')
    while budget.try_withdraw('desk', urgent=False):
        pass
    assert budget.try_withdraw('desk')


def test_services_have_budgets_of_their_own():
    """One shard's trouble must not use up the retries of the others."""
    budget = make()
    while budget.try_withdraw('desk'):
        pass
    assert budget.try_withdraw('rota')


def test_size_of_the_fleet_follows_what_is_known():
    """A node that learns of more nodes takes a smaller part of the slack."""
    known = [1]
    clock = Clock()
    budget = make(lambda: 1 / known[0], clock=clock)
    clock.now = SETTLED_S
    known[0] = 50
    spent = 0
    while budget.try_withdraw('desk'):
        spent += 1
    assert spent <= SLACK / 50 + 1


def test_extra_that_was_not_sent_is_given_back():
    """A hedge that found no connection must not use up the budget."""
    budget = make(slack=40)
    assert budget.try_withdraw('desk')
    left = 0
    budget.refund('desk')
    while budget.try_withdraw('desk'):
        left += 1
    assert left >= 4


def test_node_of_a_large_fleet_can_still_repeat_a_request():
    """A share of the slack below one request kept a node from any retry."""
    budget = make(0.001)
    for _ in range(100):
        budget.deposit('desk')
    assert budget.try_withdraw('desk')
