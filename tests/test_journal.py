"""The timeline separates operators' changes from actions of the system."""

from ibismount.cause import Origin, operator_cause, system_cause
from ibismount.config import Change, ChangeKind
from ibismount.errors import ErrorCode
from ibismount.journal import Event, Journal, attribute_fault, merge_timeline

CHANGE = Change(
    1, 'c1', ChangeKind.ZONE, 'a', {'in_service': False}, Origin.OPERATOR,
    'ann', 10.0,
)  # fmt: skip
REFUSED_EVENT = Event(
    12.0,
    'entry',
    'refused',
    'no gateway',
    operator_cause(ErrorCode.ZONE_OUT, change_id='c1', who='ann', at=10),
    'r1',
)
BACKEND_LOST_EVENT = Event(
    11.0, 'gateway', 'cold', 'reset', system_cause(ErrorCode.BACKEND_LOST)
)


def test_timeline_separates_operator_changes_from_system_events():
    """Guards against attributing a fault of the system to an operator."""
    timeline = merge_timeline([CHANGE], [REFUSED_EVENT, BACKEND_LOST_EVENT])
    assert [entry.origin for entry in timeline] == [
        Origin.OPERATOR,
        Origin.SYSTEM,
        Origin.OPERATOR,
    ]
    assert (
        attribute_fault(12.0, [CHANGE], cause=REFUSED_EVENT.cause).named
        is CHANGE
    )
    after_reset = attribute_fault(
        11.0, [CHANGE], cause=BACKEND_LOST_EVENT.cause
    )
    assert after_reset.preceding == (CHANGE,)
    assert after_reset.named is None
    assert after_reset.origin is Origin.SYSTEM


def test_journal_is_bounded_and_events_survive_encoding():
    """Guards against unbounded memory and causes lost in encoding."""
    journal = Journal(2)
    for event in (BACKEND_LOST_EVENT, BACKEND_LOST_EVENT, REFUSED_EVENT):
        journal.record(event)
    assert (len(journal), journal.dropped) == (2, 1)
    assert journal.since(0, request_id='r1') == [REFUSED_EVENT]
    assert Event.from_json(REFUSED_EVENT.to_json()) == REFUSED_EVENT
