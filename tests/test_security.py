"""Only operators administer, and secrets stay out of everything shown.

Links refuse another secret, another cluster name and replayed frames; that
is tested in test_link_manager.py:
test_foreign_nodes_are_refused_with_error_code,
test_replayed_and_reordered_frames_are_refused,
test_recorded_connection_cannot_be_replayed.
"""

import logging

import pytest

from ibismount.errors import FindingsError
from ibismount.settings import parse_settings
from test_api import (
    OPERATOR,
    OUT,
    PLATFORM_TOKEN,
    SECRET,
    SETTINGS,
    TOKEN,
    Api,
    admin,
    call,
)

SECRETS = (TOKEN, SECRET, PLATFORM_TOKEN)
PATHS = (
    ('GET', 'status'),
    ('GET', 'timeline'),
    ('GET', 'explain/r1'),
    ('GET', 'history/zones/east'),
    ('GET', 'zones'),
    ('GET', 'zones/east'),
    ('PUT', 'zones/east'),
    ('PUT', 'zones/east?preview=true'),
    ('DELETE', 'vms/n1'),
)
GIVEN = ('', 'Bearer ', f'Bearer {TOKEN}x', f'Basic {TOKEN}', TOKEN)


@pytest.mark.parametrize('given', GIVEN)
def test_administration_needs_an_operator_token(given):
    """Guards against a path that forgets to ask for the token."""
    for method, path in PATHS:
        headers = {'authorization': given} if given else {}
        answer, written = call(method, admin(path), OUT, headers=headers)
        assert answer.status_code == 401, path
        assert answer.json()['code'] == 'unauthorized'
        assert TOKEN not in answer.text
        assert not written


def test_secrets_are_in_no_answer_log_or_repr(caplog):
    """Guards against a secret in status, an error, a log line or a repr."""
    caplog.set_level(logging.DEBUG)
    shown = []
    for method, path in PATHS:
        answer, _ = call(method, admin(path), OUT, headers=OPERATOR)
        shown.append(answer.text)
    api = Api()
    shown.extend((repr(api.cfg), str(api.cfg), repr(api.cfg.operators)))
    shown.extend((api.cfg.model_dump_json(), repr(vars(api.node))))
    shown.append(caplog.text)
    assert not [one for one in SECRETS if one in ' '.join(shown)]


@pytest.mark.parametrize('secret', SECRETS)
def test_settings_errors_do_not_quote_a_secret(secret):
    """Guards against a secret printed because its field is wrong."""
    wrong = SETTINGS.replace(secret, f'[{secret}]')
    with pytest.raises(FindingsError) as caught:
        parse_settings(wrong, place='n1.yaml')
    assert secret not in str(caught.value)
    broken = SETTINGS.replace(secret, f'{{{secret}')
    with pytest.raises(FindingsError) as caught:
        parse_settings(broken, place='n1.yaml')
    assert secret not in str(caught.value)
