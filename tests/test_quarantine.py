"""Requests that crash backend servers are quarantined; others are not."""

import pytest

from ibismount.cause import Origin
from ibismount.config import Change, ChangeKind, ConfigState
from ibismount.confirmation import Confirmer
from ibismount.quarantine import Quarantine, QuarantineOptions, RunMode
from ibismount.roster import Member

POISON, GOOD = 'poison', 'good'


def crash(quarantine, now, *, shards=8, first=0):
    """Run the crashing request once on some servers; all of them reset."""
    for number in range(first, first + shards):
        quarantine.record_loss(now + 0.01, f's{number}', {POISON: now})


def test_second_loss_quarantines_and_expires():
    """Guard against a request that crashes one server after another."""
    quarantine = Quarantine(unix_offset=1e9)
    assert quarantine.run_mode(1, POISON) is RunMode.NORMAL
    crash(quarantine, 1)
    assert quarantine.run_mode(1.1, POISON) is RunMode.CANARY
    assert quarantine.lost_servers(POISON)[0] == 's0'
    crash(quarantine, 2.2, shards=1, first=8)
    assert quarantine.run_mode(2.3, POISON) is RunMode.REFUSED
    assert quarantine.run_mode(2.3, GOOD) is RunMode.NORMAL
    assert len(quarantine.active(601)) == 1
    assert quarantine.active(603) == ()
    assert quarantine.run_mode(603, POISON) is RunMode.NORMAL


def test_steady_attempts_do_not_stretch_the_first_wave():
    """Guard against frequent crashes that all count as one wave."""
    quarantine = Quarantine()
    for step in range(5):
        crash(quarantine, 1 + step * 0.3, shards=1, first=step)
    assert quarantine.run_mode(3, POISON) is RunMode.REFUSED


def test_answered_canary_clears_the_request():
    """Guard against a good request quarantined by two unrelated crashes."""
    quarantine, coordinator = Quarantine(), Quarantine()
    for now in (1, 60):
        quarantine.record_loss(now, f's{now}', {GOOD: now - 0.1})
        assert quarantine.run_mode(now + 1, GOOD) is RunMode.CANARY
        quarantine.record_canary_answer(now + 1.1, GOOD)
        reports = quarantine.take_reports()
        coordinator.merge_reports(now + 2, reports)
        coordinator.merge_reports(now + 2, reports[:1])
        for node_quarantine in (quarantine, coordinator):
            assert node_quarantine.run_mode(now + 2, GOOD) is RunMode.NORMAL


def lose_zone(options):
    """Lose 40 servers over 3 s; good requests ran on a third of them."""
    quarantine = Quarantine(options=options)
    for number in range(40):
        now = 10 + number * 0.075
        running = {GOOD: now - 0.05} if number % 3 == 0 else {}
        quarantine.record_loss(now, f's{number}', running)
    return quarantine.run_mode(14, GOOD)


def test_loss_of_a_zone_leaves_good_requests_alone():
    """Guard against good requests quarantined because their zone failed."""
    assert lose_zone(QuarantineOptions()) is RunMode.NORMAL


def test_loss_of_a_zone_would_stop_good_requests():
    """Show that the same loss quarantines without the comparison window."""
    assert lose_zone(QuarantineOptions(window_s=-9)) is RunMode.REFUSED


@pytest.mark.parametrize('spread', [False, True])
def test_quarantine_reaches_other_nodes_with_the_rounds(spread):
    """Guard against a quarantine that does not spread between nodes."""
    members = [Member(f'n{i}', i + 1, 'z', 'r', '', '') for i in range(3)]
    body = {
        'joined': [
            {name: getattr(member, name) for name in Member.__slots__}
            for member in members
        ],
        'removed': [],
    }
    change = Change(
        1, 'c', ChangeKind.ROSTER, 'roster', body, Origin.SYSTEM, '', 0
    )
    quarantines = {member.id: Quarantine() for member in members}
    confirmers = {}
    for member in members:
        state = ConfigState()
        state.apply(change)
        confirmers[member.id] = Confirmer(
            member, state, quarantine=quarantines[member.id]
        )
    crash(quarantines['n1'], 1)
    crash(quarantines['n2' if spread else 'n1'], 2.5, shards=1, first=9)
    for now in (3, 3.5):
        queue = [
            (i, e)
            for i in confirmers
            for e in confirmers[i].tick(now, {*confirmers})
        ]
        for sender, envelope in queue:
            replies = confirmers[envelope.to].receive(
                now, sender, envelope.message
            )
            queue.extend((envelope.to, reply) for reply in replies)
    modes = {
        quarantine.run_mode(4, POISON) for quarantine in quarantines.values()
    }
    assert modes == {RunMode.REFUSED}
