"""The configuration applies changes completely and in order, or not at all."""

import pytest

from ibismount.cause import Origin
from ibismount.config import Change, ChangeKind, ConfigState
from ibismount.errors import ErrorCode, FindingsError, IbismountError


def make_change(version, kind, key, body):
    return Change(
        version, f'c{version}', kind, key, body, Origin.OPERATOR, 'ann', 1.0
    )


def test_apply_refuses_a_gap():
    """Guards against a node that skips a change it has not received."""
    state = ConfigState()
    change = make_change(2, ChangeKind.ZONE, 'a', {'in_service': False})
    with pytest.raises(IbismountError) as caught:
        state.apply(change)
    assert caught.value.code is ErrorCode.VERSION_CONFLICT
    assert state.version == 0


def test_invalid_template_reports_all_findings_and_applies_nothing():
    """Guards against a partly applied template and incomplete findings."""
    state = ConfigState()
    change = make_change(
        1,
        ChangeKind.TEMPLATE,
        'hazards',
        {'name': 'Hazards', 'collection': '', 'colour': 'red'},
    )
    with pytest.raises(FindingsError) as caught:
        state.apply(change)
    places = {finding.place for finding in caught.value.findings}
    assert places == {
        'changes/1.name',
        'changes/1.collection',
        'changes/1.colour',
    }
    assert state == ConfigState()


def test_change_survives_its_encoding():
    """Guards against an encoding that does not decode to the same change."""
    change = make_change(1, ChangeKind.ZONE, 'a', {'in_service': False})
    assert Change.from_json(change.to_json()) == change


def test_older_incarnation_does_not_replace_a_member():
    """Guards against a restarted node that proposes its seeds as members.

    The seeds have no incarnation yet, so every peer would be fenced
    permanently (seen in scenario cold_start).
    """
    fields = {
        'id': 'a1',
        'incarnation': 5,
        'availability_zone': 'a',
        'region': 'r',
        'link_address': '127.0.0.1:1',
        'api_address': '127.0.0.1:2',
    }
    state = ConfigState()
    body = {'joined': [fields], 'removed': []}
    state.apply(make_change(1, ChangeKind.ROSTER, 'roster', body))
    old = {'joined': [{**fields, 'incarnation': 4}], 'removed': []}
    with pytest.raises(IbismountError) as caught:
        state.check(make_change(2, ChangeKind.ROSTER, 'roster', old))
    assert caught.value.code is ErrorCode.CHANGE_INVALID
