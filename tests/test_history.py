"""Tests that the history checks find the faults that they look for."""

from tests.history import CHECKS, AnswerReceived, WorkStarted


def booking(at, status, cause=''):
    return AnswerReceived(
        sent_at=at,
        at=at + 0.1,
        node='a1',
        kind='booking',
        team='t1',
        request_id='1-booking',
        attempt_id=f'attempt-{at}',
        status=status,
        query='',
        snapshot='',
        asked=1,
        answered_shards=(),
        missing=(),
        results=(),
        cause=cause,
        origin='system',
        change_id='',
    )


def ran(at):
    return WorkStarted(
        at, 's', 'z', '0', '1-booking', f'attempt-{at}', '', 1, 4, False, True
    )


def test_resend_that_is_refused_after_its_booking_ran_is_found():
    """Guards against a fault that the check of single attempts misses.

    The resend itself did not run, but an earlier attempt did.
    """
    history = [ran(1), booking(1, 'answered'), booking(5, 'not_run', 'busy')]
    assert CHECKS['not-run-is-true'](history) == []
    assert len(CHECKS['resend-not-refused'](history)) == 1


def test_resend_refused_without_the_platform_is_no_fault():
    """Without the platform a node cannot look up the earlier outcome."""
    history = [
        ran(1),
        booking(1, 'answered'),
        booking(5, 'not_run', 'platform_unavailable'),
        booking(6, 'answered'),
    ]
    assert CHECKS['resend-not-refused'](history) == []


def test_refusal_before_the_booking_ran_is_no_fault():
    """A refused booking may be sent again and run."""
    history = [booking(1, 'not_run', 'busy'), ran(5), booking(5, 'answered')]
    assert CHECKS['resend-not-refused'](history) == []
