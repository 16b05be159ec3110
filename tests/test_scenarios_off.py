"""Tests that a scenario fails when the mechanism it tests is switched off."""

import contextlib
from unittest import mock

import pytest

from ibismount import booking, confirmation, node_components, quarantine
from ibismount._backend_row import BackendRow
from tests.scenario_world import run_scenario
from tests.test_scenarios import load


def without_lapse():
    """Let a node act although its confirmation has expired."""
    return mock.patch.object(
        confirmation.Confirmer, 'is_confirmed', lambda self, now: True
    )


def without_cold_rule():
    """Let every gateway use its whole share of a cold server."""
    return mock.patch.object(
        BackendRow, 'request_limit', lambda self, now: self.limits.slots
    )


def without_claims():
    """Let every attempt of a booking run."""

    async def claim(self, team, request_id, attempt_id, **options):
        return booking.ClaimResult(
            booking.ClaimStatus.CLAIMED, 'claims/x', attempt_id, version=1
        )

    return mock.patch.object(booking.ClaimStore, 'claim', claim)


def without_graceful_leave():
    """Let a node stop at once instead of finishing its requests."""

    async def leave(self):
        return None

    return mock.patch.object(node_components.NodeComponents, 'leave', leave)


def without_quarantine():
    """Let a query run no matter how many backend servers it has crashed."""
    return mock.patch.object(
        quarantine.Quarantine,
        'run_mode',
        lambda self, now, fingerprint: quarantine.RunMode.NORMAL,
    )


CASES = [
    ('zone_out_while_cut_off', without_lapse, 'out-gets-no-work'),
    ('zone_out_while_cut_off', without_lapse, 'in-force'),
    ('cold_start', without_cold_rule, 'within-limits'),
    ('bookings_under_faults', without_claims, 'booking-at-most-once'),
    ('graceful_shutdown', without_graceful_leave, 'graceful-stop'),
    ('crash_query', without_quarantine, 'crashing-query-stops'),
]


@pytest.mark.parametrize(('name', 'switch_off', 'invariant'), CASES)
def test_scenario_fails_without(name, switch_off, invariant):
    """Guards against a check that never fails."""
    with contextlib.ExitStack() as stack:
        stack.enter_context(switch_off())
        result = run_scenario(load(name))
    assert result.faults([invariant])


def test_losing_operator_sees_the_other_change():
    """Guards against two operators who are both told that their change won."""
    world = run_scenario(load('operators_race')).world
    assert world.conflicts == 1
