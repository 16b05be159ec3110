"""When a request has enough parts, is repeated, or has failed."""

import math

from hypothesis import given
from hypothesis import strategies as st

from ibismount.gathering import (
    Decision,
    Gathering,
    GatheringPlan,
    least_parts,
)


def make(*, shards=10, least=9, runs=2, idempotent=True, hedge_s=0.02):
    plan = GatheringPlan(
        services=tuple(f's{number}' for number in range(shards)),
        least_parts=least,
        max_runs=runs,
        idempotent=idempotent,
        answer_at=0.1,
        end_at=0.4,
        hedge_s=hedge_s,
    )
    return Gathering(plan)


def send_all(gathering):
    return [
        gathering.sent(part, f'{part.service}-a', 0) for part in gathering.parts
    ]


def test_complete_answer_is_given_at_once():
    """A whole answer must not wait for the target."""
    gathering = make()
    for attempt in send_all(gathering):
        assert gathering.decide(0.01) is Decision.WAIT
        gathering.answered(attempt)
    assert gathering.decide(0.01) is Decision.ANSWER


def test_missing_part_is_awaited_until_the_target():
    """An early partial answer loses coverage that was still to come."""
    gathering = make()
    for attempt in send_all(gathering)[:9]:
        gathering.answered(attempt)
    assert gathering.decide(0.099) is Decision.WAIT
    assert gathering.decide(0.1) is Decision.ANSWER


def test_too_few_parts_are_no_answer_at_the_target():
    """An answer below the least share would look complete enough."""
    gathering = make()
    attempts = send_all(gathering)
    for attempt in attempts[:8]:
        gathering.answered(attempt)
    assert gathering.decide(0.2) is Decision.WAIT
    gathering.answered(attempts[8])
    assert gathering.decide(0.2) is Decision.ANSWER


def test_request_ends_when_enough_parts_can_no_longer_come():
    """A hopeless request must not hold its caller until the deadline."""
    gathering = make(runs=1)
    attempts = send_all(gathering)
    for attempt in attempts[:2]:
        gathering.failed(attempt)
        attempt.part.exhausted = True
    assert gathering.decide(0.01) is Decision.FAIL


def test_request_that_ran_nothing_is_told_apart():
    """A refusal may only say not run when no server ran a part."""
    gathering = make(shards=1, least=1)
    attempt = send_all(gathering)[0]
    assert gathering.ran
    gathering.not_run(attempt)
    assert not gathering.ran


def test_part_is_hedged_once_within_its_runs():
    """More servers than the route allows must never run a part."""
    gathering = make(shards=1, least=1)
    part = gathering.parts[0]
    gathering.sent(part, 'a', 0)
    assert gathering.due_hedges(0.019) == []
    assert gathering.due_hedges(0.02) == [part]
    assert gathering.may_send(part)
    gathering.sent(part, 'b', 0.02)
    assert part.next_hedge_at == math.inf
    assert not gathering.may_send(part)


def test_request_that_may_have_run_is_not_repeated():
    """A non-idempotent request runs at most once."""
    gathering = make(shards=1, least=1, idempotent=False)
    attempt = send_all(gathering)[0]
    gathering.failed(attempt)
    assert not gathering.may_send(attempt.part)


def test_request_that_certainly_did_not_run_is_repeated():
    """A rejected booking is still offered to another server."""
    gathering = make(shards=1, least=1, idempotent=False)
    attempt = send_all(gathering)[0]
    gathering.not_run(attempt)
    assert gathering.may_send(attempt.part)


def test_second_answer_of_a_part_counts_once():
    """Both answers of a hedged part must not count as two parts."""
    gathering = make(shards=2, least=2)
    first = gathering.sent(gathering.parts[0], 'a', 0)
    second = gathering.sent(gathering.parts[0], 'b', 0)
    assert gathering.answered(first)
    assert not gathering.answered(second)
    assert gathering.in_count == 1


def test_least_parts_is_not_raised_by_rounding():
    """0.89 of 100 shards is 89, whatever the floating point says."""
    assert least_parts(100, 0.89) == 89
    assert least_parts(10, 0.89) == 9
    assert least_parts(10, 0.75) == 8
    assert least_parts(1, 0) == 1


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
    gathering = make(shards=5, least=4, idempotent=idempotent)
    opened = {part.service: [] for part in gathering.parts}
    ran = dict.fromkeys(opened, 0)
    for name, index in events:
        part = gathering.parts[index]
        if name == 'send':
            if gathering.may_send(part):
                sent = gathering.sent(part, f'v{len(part.attempts)}', 0)
                opened[part.service].append(sent)
                ran[part.service] += 1
        elif name == 'exhaust':
            part.exhausted = True
        elif opened[part.service]:
            attempt = opened[part.service].pop()
            if name == 'answer':
                gathering.answered(attempt)
            elif name == 'fail':
                gathering.failed(attempt)
            else:
                gathering.not_run(attempt)
                ran[part.service] -= 1
        assert ran[part.service] <= (2 if idempotent else 1)
        if gathering.decide(0.05) is Decision.ANSWER:
            assert gathering.in_count >= 4
