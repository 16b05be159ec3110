"""Errors, previews, conflicts and history in the HTTP API."""

import json
import random

import httpx
import pytest

from data_fakes import run_virtual
from fakes import MemoryPlatform
from ibismount.administration import Administration
from ibismount.api import make_app
from ibismount.config import Change, ChangeKind
from ibismount.node_components import make_node_components
from ibismount.roster import Member
from ibismount.settings import parse_settings

TOKEN = 'operator-token-of-ann'
SECRET = 'shared-secret-of-nodes'
PLATFORM_TOKEN = 'platform-token-value'
SETTINGS = f"""
node: {{id: n1, availability_zone: east, region: r1,
  api_address: '127.0.0.1:1', link_address: '127.0.0.1:2'}}
cluster: {{name: test, secret: {SECRET}}}
platform: {{url: 'http://127.0.0.1:3', token: {PLATFORM_TOKEN}}}
operators: [{{name: ann, token: {TOKEN}}}]
limits: {{body_bytes: 1024}}
"""
OPERATOR = {'authorization': f'Bearer {TOKEN}'}
TEMPLATE = {'name': 'find', 'collection': 'jobs'}
SEARCH = {'team': 'ann', 'template': 'find', 'query': {}}
BOOKING = {
    'team': 'ann',
    'template': 'visit',
    'request_id': '1800000000000-abcdefgh',
    'shard': 's1',
    'booking': {},
}
OUT_OF_SERVICE = {'in_service': False}


class ApiHarness:
    """One node without peers, with an in-memory platform and HTTP client."""

    def __init__(self):
        self.platform = MemoryPlatform()
        self.cfg = parse_settings(SETTINGS, place='n1.yaml')
        member = Member('n1', 1, 'east', 'r1', '127.0.0.1:2', '127.0.0.1:1')
        self.components = make_node_components(
            member,
            platform=self.platform,
            client=None,
            rng=random.Random(1),
            clock=lambda: 1000,
            now_unix=lambda: 1_800_000_000,
        )
        entry, self.node = self.components.entry, self.components.node
        admin = Administration(self.node, self.cfg)
        app = make_app(entry, admin, cfg=self.cfg)
        self.http = httpx.AsyncClient(
            transport=httpx.ASGITransport(app, raise_app_exceptions=False),
            base_url='http://node',
        )

    def commit(self, kind, key, body, who='bob'):
        state = self.node.state
        change = Change(
            version=state.version + 1,
            change_id=f'c{state.version + 1}',
            kind=kind,
            key=key,
            body=body,
            origin='operator',
            who=who,
            at=1.0,
        )
        self.platform.store.create(
            f'changes/{change.version:012}', change.to_json()
        )
        state.apply(change)

    def join(self):
        # With a member in the roster, a change needs a quorum, and no rounds
        # run here; with an empty roster it is accepted at once.
        member = {'id': 'n1', 'incarnation': 1, 'availability_zone': 'east'}
        member.update(region='r1', link_address='x', api_address='y')
        roster = {'joined': [member], 'removed': []}
        self.commit(ChangeKind.ROSTER, 'roster', roster)

    def stored_keys(self):
        return [stored.key for stored in self.platform.store.list('')]


def send_request(method, path, body=None, *, headers=OPERATOR, prepare=None):
    """Send one request; return the response and the keys that it wrote."""

    async def scenario():
        api = ApiHarness()
        if prepare:
            prepare(api)
        before = api.stored_keys()
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        async with api.http:
            response = await api.http.request(
                method, path, content=content, headers=headers
            )
        return response, [key for key in api.stored_keys() if key not in before]

    return run_virtual(scenario)


def confirm_and_add_template(api):
    # Only a confirmed node may answer that a template does not exist.
    api.node.refusal = lambda: None
    api.commit(ChangeKind.TEMPLATE, 'find', TEMPLATE)


def admin_path(path):
    return f'/admin/v1/{path}'


DEEPLY_NESTED = b'[' * 900
LONE_SURROGATE = b'{"\\ud800": 1}'
ZONE = admin_path('zones/east')
INVALID_REQUESTS = {
    'not JSON': ('POST', '/v1/search', b'{', 400, 'bad_request', 'body'),
    'NaN': ('PUT', ZONE, b'{"x": NaN}', 400, 'bad_request', 'body'),
    'no object': ('PUT', ZONE, [], 400, 'bad_request', 'body'),
    'deep': ('PUT', ZONE, DEEPLY_NESTED, 400, 'bad_request', 'body'),
    'surrogate': ('PUT', ZONE, LONE_SURROGATE, 422, 'change_invalid', 'body.\ud800'),
    'too large': (
        'PUT', ZONE, b' ' * 1025, 413, 'body_too_large', 'body',
    ),
    'unknown field': (
        'POST', '/v1/search', {**SEARCH, 'colour': 1},
        400, 'bad_request', 'body.colour',
    ),
    'wrong type': (
        'POST', '/v1/bookings', {**BOOKING, 'shard': 3},
        400, 'bad_request', 'body.shard',
    ),
    'unknown template': (
        'POST', '/v1/search', {**SEARCH, 'template': 'nope'},
        404, 'unknown_template', 'template',
    ),
    'unknown team': (
        'POST', '/v1/search', SEARCH, 404, 'unknown_team', 'team',
    ),
    'template field': (
        'PUT', admin_path('templates/find'), {**TEMPLATE, 'deadline_ms': 'soon'},
        422, 'change_invalid', 'body.deadline_ms',
    ),
    'parameters without template': (
        'PUT', admin_path('parameters/ann/nope'),
        {'team': 'ann', 'template': 'nope'},
        404, 'unknown_template', 'body.template',
    ),
    'another key': (
        'PUT', admin_path('templates/other'), TEMPLATE,
        422, 'change_invalid', 'body',
    ),
    'zone field': (
        'PUT', ZONE, {**OUT_OF_SERVICE, 'colour': 1},
        422, 'change_invalid', 'body.colour',
    ),
    'catalog': ('PUT', admin_path('catalogs/jobs'), {}, 422, 'change_invalid',
        'path',
    ),
    'unknown kind': ('PUT', admin_path('x/y'), OUT_OF_SERVICE, 400, 'bad_request', 'path'),
    'unclear preview': (
        'PUT', f'{ZONE}?preview=yes', OUT_OF_SERVICE, 400, 'bad_request', 'preview',
    ),
    'unknown parameter': (
        'PUT', f'{ZONE}?prewiew=true', OUT_OF_SERVICE, 400, 'bad_request', 'prewiew',
    ),
    'since': (
        'GET', admin_path('timeline?since=nan'), None, 400, 'bad_request', 'since',
    ),
    'unknown VM': (
        'DELETE', admin_path('vms/n9'), None, 400, 'bad_request', 'path',
    ),
    'unknown path': ('GET', '/v2/x', None, 404, 'bad_request', 'path'),
}  # fmt: skip


@pytest.mark.parametrize('case', INVALID_REQUESTS)
def test_invalid_request_reports_code_and_place_and_writes_nothing(case):
    """Guards against an error without code and place, and partial changes."""
    method, path, body, status, code, place = INVALID_REQUESTS[case]
    response, written_keys = send_request(
        method, path, body, prepare=confirm_and_add_template
    )
    problem = response.json()
    assert response.status_code == status
    assert response.headers['content-type'] == 'application/problem+json'
    assert (problem['code'], problem['place']) == (code, place)
    assert not written_keys


def test_preview_changes_nothing_and_apply_does():
    """Guards against a preview that takes a zone out of service."""
    response, written_keys = send_request(
        'PUT', f'{ZONE}?preview=true', OUT_OF_SERVICE
    )
    assert response.json()['outcome'] == 'preview'
    assert not written_keys
    response, written_keys = send_request(
        'PUT', ZONE, OUT_OF_SERVICE, prepare=ApiHarness.join
    )
    assert response.status_code == 202, 'no quorum has accepted it yet'
    assert response.json()['who'] == 'ann'
    assert written_keys == ['changes/000000000002']


@pytest.mark.parametrize('query', ['', '?preview=true'])
def test_conflict_shows_the_other_change(query):
    """Guards against overwriting a change that the operator has not read."""
    response, written_keys = send_request(
        'PUT',
        f'{ZONE}{query}',
        OUT_OF_SERVICE,
        headers={**OPERATOR, 'if-match': '0'},
        prepare=lambda api: api.commit(ChangeKind.ZONE, 'east', OUT_OF_SERVICE),
    )
    assert response.status_code == 409
    assert response.json()['other']['who'] == 'bob'
    assert not written_keys


def test_last_zone_of_a_shard_is_reported_and_a_live_vm_is_kept():
    """Guards against losing shards or a running VM without a warning."""

    def prepare(api):
        server = {'id': 'b1', 'address': '127.0.0.1:9', 'shard': 's1'}
        server.update(availability_zone='east', snapshots=['j1'])
        catalog = {
            'collection': 'jobs',
            'snapshots': [{'id': 'j1', 'shards': ['s1']}],
            'servers': [server],
        }
        api.commit(ChangeKind.CATALOG, 'jobs', catalog)
        api.join()

    response, _ = send_request(
        'PUT', f'{ZONE}?preview=true', OUT_OF_SERVICE, prepare=prepare
    )
    warnings = ' '.join(response.json()['warnings'])
    assert '1 of 1 shards of jobs' in warnings
    assert 'no VM stays in service' in warnings
    response, written_keys = send_request(
        'DELETE', admin_path('vms/n1'), prepare=prepare
    )
    assert response.status_code == 422
    assert not written_keys


def test_history_has_the_latest_change_during_a_platform_outage():
    """Guards against an empty history during an outage."""

    def prepare(api):
        api.commit(ChangeKind.ZONE, 'east', OUT_OF_SERVICE)
        api.platform.faults.outage = True

    response, _ = send_request(
        'GET', admin_path('history/zones/east'), prepare=prepare
    )
    assert [change['version'] for change in response.json()] == [1]


def test_replaced_vm_is_listed_again_and_unjoined_one_is_not():
    """Guards against address lists that become empty in a rolling update."""
    api = ApiHarness()
    api.node.leaving_incarnations['n1'] = 0
    api.join()
    new_member = Member('n2', 1, 'east', 'r1', '127.0.0.1:4', '127.0.0.1:5')
    api.node.membership.add_seeds([new_member])
    admin = Administration(api.node, api.cfg)
    assert admin.addresses()['addresses'] == ['127.0.0.1:1']
    api.node.leaving_incarnations['n1'] = 1
    assert '127.0.0.1:1' not in admin.addresses()['addresses']
