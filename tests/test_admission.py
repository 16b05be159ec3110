"""Permits, entry capacity and extra load are shared within their bounds."""

import collections
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from ibismount.admission import EntryAdmission, FairQueue, Waiter
from ibismount.hedging import ExtraLoadBudget, LatencyEstimator


def waiter(team, work=None, *, weight=1, priority=1, deadline=100):
    return Waiter(team, weight, priority, deadline, work)


def serve(queue, count):
    """Serve items one after the other, as with a single permit."""
    served = []
    for _ in range(count):
        item, _ = queue.pop(0, 0)
        queue.record_grant(item.team, item.weight)
        served.append(item.team)
        queue.record_release(item.team)
    return served


def test_one_permit_is_shared_by_weight():
    """Guards against a single permit that always serves the same team."""
    queue = FairQueue()
    for _ in range(40):
        queue.push(waiter('flood'), bound=100)
        queue.push(waiter('quiet', weight=3), bound=100)
    served = collections.Counter(serve(queue, 40))
    assert served == {'quiet': 30, 'flood': 10}


def test_full_queue_gives_way_to_the_quiet_team():
    """Guards against a flooding team that fills the queue for all."""
    queue = FairQueue()
    for number in range(4):
        assert queue.push(waiter('flood', number), bound=4) is None
    evicted = queue.push(waiter('quiet'), bound=4)
    assert (evicted.team, evicted.work) == ('flood', 3)
    assert queue.push(waiter('flood', 9), bound=4).work == 9
    assert serve(queue, 2)[:2].count('quiet') == 1


def test_hopeless_items_are_dropped_before_a_permit_is_used():
    """Guards against permits for work whose answer comes too late."""
    queue = FairQueue()
    queue.push(waiter('a', 'late', deadline=1.0), bound=9)
    queue.push(waiter('a', 'fine', deadline=2.0), bound=9)
    chosen, dropped = queue.pop(0.5, 0.6)
    assert chosen.work == 'fine'
    assert [item.work for item in dropped] == ['late']


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from('abc'), st.integers(1, 3), st.booleans()),
        max_size=40,
    )
)
def test_no_item_is_lost_or_served_twice(steps):
    """Guards against items that wait for ever or get two permits."""
    queue = FairQueue()
    ended = collections.Counter()
    for number, (team, weight, pop) in enumerate(steps):
        evicted = queue.push(waiter(team, number, weight=weight), bound=5)
        if evicted:
            ended[evicted.work] += 1
        if pop and len(queue):
            ended[queue.pop(0, 0)[0].work] += 1
    ended.update(item.work for item in queue.clear())
    assert ended == dict.fromkeys(range(len(steps)), 1)


def test_full_entry_refuses_the_flooding_team_only():
    """Guards against a flood that keeps the quiet team out."""
    admission = EntryAdmission(max_limit=10)
    flood = [admission.admit('flood', 1) for _ in range(30)]
    assert flood.count(True) == 10
    assert [admission.admit('quiet', 1) for _ in range(7)].count(True) == 5
    admission.release('flood')
    assert not admission.admit('flood', 1)
    for _ in range(9):
        admission.release('flood')
    assert admission.admit('flood', 1)


def test_limit_follows_late_answers():
    """Guards against an entry that admits more than the servers can run."""
    admission = EntryAdmission(max_limit=256, min_limit=4)
    for number in range(300):
        admission.admit('a', 1)
        admission.adapt_limit(number / 100, on_time=True, target_s=0.2)
    assert admission.limit == 256
    for number in range(300):
        admission.adapt_limit(3 + number / 100, on_time=False, target_s=0.2)
    assert 4 <= admission.limit < 16
    limit = admission.limit
    for _ in range(20):
        admission.adapt_limit(9, on_time=True, target_s=0.2)
    assert limit + 1 < admission.limit < limit + 4


def test_extra_load_stays_within_the_budget():
    """Guards against hedges that double the load of a slow fleet."""
    budget = ExtraLoadBudget(fraction=0.05, burst=10)
    spent = 0
    for _ in range(100):
        budget.earn(270)
        spent += sum(budget.spend() for _ in range(270))
    assert spent <= 0.05 * 100 * 270
    budget.earn(10**6)
    assert sum(budget.spend() for _ in range(100)) == 10


def test_estimate_follows_the_window():
    """Guards against hedge delays based on outdated latencies."""
    estimate = LatencyEstimator(window_s=10)
    rng = random.Random(3)
    assert estimate.quantile(0, 0.95) is None
    for number in range(2000):
        estimate.record(number / 1000, rng.uniform(0, 0.1))
    assert 0.09 < estimate.quantile(2, 0.95) < 0.105
    for number in range(2000):
        estimate.record(20 + number / 1000, 0.01)
    assert 0.009 < estimate.quantile(22, 0.95) < 0.011
