"""When a scatter-gather request is complete, retried, or failed."""

import math

from hypothesis import given
from hypothesis import strategies as st

from ibismount.part_tracker import (
    Decision,
    PartTracker,
    RequestPlan,
    compute_min_parts,
)


def make_tracker(
    *, shards=10, min_parts=9, max_runs=2, idempotent=True, hedge_delay_s=0.02
):
    plan = RequestPlan(
        services=tuple(f's{number}' for number in range(shards)),
        min_parts=min_parts,
        max_runs=max_runs,
        idempotent=idempotent,
        answer_at=0.1,
        end_at=0.4,
        hedge_delay_s=hedge_delay_s,
    )
    return PartTracker(plan)


def send_all(tracker):
    return [
        tracker.record_send(part, f'{part.service}-a', 0)
        for part in tracker.parts
    ]


def test_complete_answer_is_given_at_once():
    """A complete answer must not wait for the target."""
    tracker = make_tracker()
    for attempt in send_all(tracker):
        assert tracker.decide(0.01) is Decision.WAIT
        tracker.record_answer(attempt)
    assert tracker.decide(0.01) is Decision.ANSWER


def test_missing_part_is_awaited_until_the_target():
    """An early partial answer would lose parts that were still to come."""
    tracker = make_tracker()
    for attempt in send_all(tracker)[:9]:
        tracker.record_answer(attempt)
    assert tracker.decide(0.099) is Decision.WAIT
    assert tracker.decide(0.1) is Decision.ANSWER


def test_too_few_parts_are_no_answer_at_the_target():
    """An answer below the least share must not be given."""
    tracker = make_tracker()
    attempts = send_all(tracker)
    for attempt in attempts[:8]:
        tracker.record_answer(attempt)
    assert tracker.decide(0.2) is Decision.WAIT
    tracker.record_answer(attempts[8])
    assert tracker.decide(0.2) is Decision.ANSWER


def test_request_fails_when_too_few_parts_can_be_answered():
    """A request that can't succeed must not keep its caller until the deadline."""
    tracker = make_tracker(max_runs=1)
    attempts = send_all(tracker)
    for attempt in attempts[:2]:
        tracker.record_failure(attempt)
        tracker.exhaust(attempt.part)
    assert tracker.decide(0.01) is Decision.FAIL


def test_request_that_ran_nothing_is_recognized():
    """An outcome of not run is allowed only if no server ran a part."""
    tracker = make_tracker(shards=1, min_parts=1)
    attempt = send_all(tracker)[0]
    assert tracker.may_have_run
    tracker.record_not_run(attempt)
    assert not tracker.may_have_run


def test_part_is_hedged_once_within_its_runs():
    """A part must never run at more servers than the route allows."""
    tracker = make_tracker(shards=1, min_parts=1)
    part = tracker.parts[0]
    tracker.record_send(part, 'a', 0)
    assert tracker.due_hedges(0.019) == []
    assert tracker.due_hedges(0.02) == [part]
    assert tracker.may_send(part)
    tracker.record_send(part, 'b', 0.02)
    assert part.next_hedge_at == math.inf
    assert not tracker.may_send(part)


def test_request_that_may_have_run_is_not_retried():
    """A non-idempotent request runs at most once."""
    tracker = make_tracker(shards=1, min_parts=1, idempotent=False)
    attempt = send_all(tracker)[0]
    tracker.record_failure(attempt)
    assert not tracker.may_send(attempt.part)


def test_request_that_certainly_did_not_run_is_retried():
    """A rejected booking is sent to another server."""
    tracker = make_tracker(shards=1, min_parts=1, idempotent=False)
    attempt = send_all(tracker)[0]
    tracker.record_not_run(attempt)
    assert tracker.may_send(attempt.part)


def test_second_answer_of_a_part_counts_once():
    """Both answers of a hedged part must not count as two parts."""
    tracker = make_tracker(shards=2, min_parts=2)
    first = tracker.record_send(tracker.parts[0], 'a', 0)
    second = tracker.record_send(tracker.parts[0], 'b', 0)
    assert tracker.record_answer(first)
    assert not tracker.record_answer(second)
    assert tracker.answered_count == 1


def test_min_parts_is_not_raised_by_rounding():
    """0.89 of 100 shards is 89 despite floating-point rounding."""
    assert compute_min_parts(100, 0.89) == 89
    assert compute_min_parts(10, 0.89) == 9
    assert compute_min_parts(10, 0.75) == 8
    assert compute_min_parts(1, 0) == 1


_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(['send', 'answer', 'fail', 'not_run', 'exhaust']),
        st.integers(0, 4),
    ),
    max_size=60,
)


@given(_EVENTS, st.booleans())
def test_runs_stay_within_the_route_in_any_order(events, idempotent):
    """No interleaving lets a part run more often than allowed."""
    tracker = make_tracker(shards=5, min_parts=4, idempotent=idempotent)
    open_attempts = {part.service: [] for part in tracker.parts}
    run_counts = dict.fromkeys(open_attempts, 0)
    for event, index in events:
        part = tracker.parts[index]
        if event == 'send':
            if tracker.may_send(part):
                started = tracker.record_send(part, f'v{len(part.attempts)}', 0)
                open_attempts[part.service].append(started)
                run_counts[part.service] += 1
        elif event == 'exhaust':
            tracker.exhaust(part)
        elif open_attempts[part.service]:
            attempt = open_attempts[part.service].pop()
            if event == 'answer':
                tracker.record_answer(attempt)
            elif event == 'fail':
                tracker.record_failure(attempt)
            else:
                tracker.record_not_run(attempt)
                run_counts[part.service] -= 1
        assert run_counts[part.service] <= (2 if idempotent else 1)
        if tracker.decide(0.05) is Decision.ANSWER:
            assert tracker.answered_count >= 4
