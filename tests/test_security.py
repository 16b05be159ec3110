"""Administration needs an operator token, and secrets are never exposed.

Links refuse a wrong secret, a wrong cluster name and replayed frames; that
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
    OUT_OF_SERVICE,
    PLATFORM_TOKEN,
    SECRET,
    SETTINGS,
    TOKEN,
    ApiHarness,
    admin_path,
    send_request,
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
REJECTED_AUTHORIZATIONS = (
    '',
    'Bearer ',
    f'Bearer {TOKEN}x',
    f'Basic {TOKEN}',
    TOKEN,
)


@pytest.mark.parametrize('authorization', REJECTED_AUTHORIZATIONS)
def test_administration_needs_an_operator_token(authorization):
    """Guards against a path that does not check the token."""
    for method, path in PATHS:
        headers = {'authorization': authorization} if authorization else {}
        response, written_keys = send_request(
            method, admin_path(path), OUT_OF_SERVICE, headers=headers
        )
        assert response.status_code == 401, path
        assert response.json()['code'] == 'unauthorized'
        assert TOKEN not in response.text
        assert not written_keys


def test_secrets_are_in_no_answer_log_or_repr(caplog):
    """Guards against secrets in responses, errors, logs and reprs."""
    caplog.set_level(logging.DEBUG)
    visible_texts = []
    for method, path in PATHS:
        response, _ = send_request(
            method, admin_path(path), OUT_OF_SERVICE, headers=OPERATOR
        )
        visible_texts.append(response.text)
    api = ApiHarness()
    visible_texts.extend((repr(api.cfg), str(api.cfg), repr(api.cfg.operators)))
    visible_texts.extend((api.cfg.model_dump_json(), repr(vars(api.node))))
    visible_texts.append(caplog.text)
    assert not [
        secret for secret in SECRETS if secret in ' '.join(visible_texts)
    ]


@pytest.mark.parametrize('secret', SECRETS)
def test_settings_errors_do_not_quote_a_secret(secret):
    """Guards against a secret printed in the error about its own field."""
    wrong_type = SETTINGS.replace(secret, f'[{secret}]')
    with pytest.raises(FindingsError) as exc_info:
        parse_settings(wrong_type, place='n1.yaml')
    assert secret not in str(exc_info.value)
    unparsable = SETTINGS.replace(secret, f'{{{secret}')
    with pytest.raises(FindingsError) as exc_info:
        parse_settings(unparsable, place='n1.yaml')
    assert secret not in str(exc_info.value)
