"""The HTTP API names code and place of a fault and applies nothing of it."""

import json
import random

import httpx
import pytest

from data_fakes import run_virtual
from fakes import MemoryPlatform
from ibismount.administration import Administration
from ibismount.api import make_app
from ibismount.config import Change, ChangeKind
from ibismount.parts import make_parts
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
OUT = {'in_service': False}


class Api:
    """One node without peers, its platform in memory, called in process."""

    def __init__(self):
        self.platform = MemoryPlatform()
        self.cfg = parse_settings(SETTINGS, place='n1.yaml')
        member = Member('n1', 1, 'east', 'r1', '127.0.0.1:2', '127.0.0.1:1')
        self.node = make_parts(
            member,
            platform=self.platform,
            client=None,
            rng=random.Random(1),
            clock=lambda: 1000,
            unix=lambda: 1_800_000_000,
        )
        entry, self.node = self.node.entry, self.node.node
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
        # With a member in the roster, a change needs a quorum that no round
        # gives here; without one it counts as accepted at once.
        member = {'id': 'n1', 'incarnation': 1, 'availability_zone': 'east'}
        member.update(region='r1', link_address='x', api_address='y')
        roster = {'joined': [member], 'removed': []}
        self.commit(ChangeKind.ROSTER, 'roster', roster)

    def written(self):
        return [one.key for one in self.platform.store.list('')]


def call(method, path, body=None, *, headers=OPERATOR, prepare=None):
    """Send one request; return the answer and what the platform holds."""

    async def scenario():
        api = Api()
        if prepare:
            prepare(api)
        before = api.written()
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        async with api.http:
            answer = await api.http.request(
                method, path, content=raw, headers=headers
            )
        return answer, [key for key in api.written() if key not in before]

    return run_virtual(scenario)


def add_template(api):
    # Only a confirmed node may say that it does not know a template.
    api.node.refusal = lambda: None
    api.commit(ChangeKind.TEMPLATE, 'find', TEMPLATE)


def admin(path):
    return f'/admin/v1/{path}'


DEEP = b'[' * 900
LONE = b'{"\\ud800": 1}'
ZONE = admin('zones/east')
FAULTS = {
    'not JSON': ('POST', '/v1/search', b'{', 400, 'bad_request', 'body'),
    'NaN': ('PUT', ZONE, b'{"x": NaN}', 400, 'bad_request', 'body'),
    'no object': ('PUT', ZONE, [], 400, 'bad_request', 'body'),
    'deep': ('PUT', ZONE, DEEP, 400, 'bad_request', 'body'),
    'surrogate': ('PUT', ZONE, LONE, 422, 'change_invalid', 'body.\ud800'),
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
        'PUT', admin('templates/find'), {**TEMPLATE, 'deadline_ms': 'soon'},
        422, 'change_invalid', 'body.deadline_ms',
    ),
    'parameters without template': (
        'PUT', admin('parameters/ann/nope'),
        {'team': 'ann', 'template': 'nope'},
        404, 'unknown_template', 'body.template',
    ),
    'another key': (
        'PUT', admin('templates/other'), TEMPLATE,
        422, 'change_invalid', 'body',
    ),
    'zone field': (
        'PUT', ZONE, {**OUT, 'colour': 1},
        422, 'change_invalid', 'body.colour',
    ),
    'catalog': ('PUT', admin('catalogs/jobs'), {}, 422, 'change_invalid',
        'path',
    ),
    'unknown kind': ('PUT', admin('x/y'), OUT, 400, 'bad_request', 'path'),
    'unclear preview': (
        'PUT', f'{ZONE}?preview=yes', OUT, 400, 'bad_request', 'preview',
    ),
    'unknown parameter': (
        'PUT', f'{ZONE}?prewiew=true', OUT, 400, 'bad_request', 'prewiew',
    ),
    'since': (
        'GET', admin('timeline?since=nan'), None, 400, 'bad_request', 'since',
    ),
    'unknown VM': (
        'DELETE', admin('vms/n9'), None, 400, 'bad_request', 'path',
    ),
    'unknown path': ('GET', '/v2/x', None, 404, 'bad_request', 'path'),
}  # fmt: skip


@pytest.mark.parametrize('case', FAULTS)
def test_fault_is_named_and_nothing_is_applied(case):
    """Guards against a fault without code and place, or half a change."""
    method, path, body, status, code, place = FAULTS[case]
    answer, written = call(method, path, body, prepare=add_template)
    problem = answer.json()
    assert answer.status_code == status
    assert answer.headers['content-type'] == 'application/problem+json'
    assert (problem['code'], problem['place']) == (code, place)
    assert not written


def test_preview_changes_nothing_and_apply_does():
    """Guards against a preview that takes a zone out of service."""
    answer, written = call('PUT', f'{ZONE}?preview=true', OUT)
    assert answer.json()['outcome'] == 'preview'
    assert not written
    answer, written = call('PUT', ZONE, OUT, prepare=Api.join)
    assert answer.status_code == 202, 'no quorum holds it yet'
    assert answer.json()['who'] == 'ann'
    assert written == ['changes/000000000002']


@pytest.mark.parametrize('query', ['', '?preview=true'])
def test_conflict_shows_the_other_change(query):
    """Guards against overwriting a change that the operator never saw."""
    answer, written = call(
        'PUT',
        f'{ZONE}{query}',
        OUT,
        headers={**OPERATOR, 'if-match': '0'},
        prepare=lambda api: api.commit(ChangeKind.ZONE, 'east', OUT),
    )
    assert answer.status_code == 409
    assert answer.json()['other']['who'] == 'bob'
    assert not written


def test_last_zone_of_a_shard_is_named_and_a_live_vm_is_kept():
    """Guards against losing shards, or a VM that runs, without a word."""

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

    answer, _ = call('PUT', f'{ZONE}?preview=true', OUT, prepare=prepare)
    warnings = ' '.join(answer.json()['warnings'])
    assert '1 of 1 shards of jobs' in warnings
    assert 'no VM stays in service' in warnings
    answer, written = call('DELETE', admin('vms/n1'), prepare=prepare)
    assert answer.status_code == 422
    assert not written


def test_history_has_the_latest_change_during_a_platform_outage():
    """Guards against an operator left without history in an outage."""

    def prepare(api):
        api.commit(ChangeKind.ZONE, 'east', OUT)
        api.platform.faults.outage = True

    answer, _ = call('GET', admin('history/zones/east'), prepare=prepare)
    assert [one['version'] for one in answer.json()] == [1]


def test_replaced_vm_is_listed_again_and_a_fresh_one_is_not_yet():
    """Guards against address lists that a rolling replacement empties."""
    api = Api()
    api.node.leaving['n1'] = 0
    api.join()
    fresh = Member('n2', 1, 'east', 'r1', '127.0.0.1:4', '127.0.0.1:5')
    api.node.membership.add_seeds([fresh])
    admin = Administration(api.node, api.cfg)
    assert admin.addresses()['addresses'] == ['127.0.0.1:1']
    api.node.leaving['n1'] = 1
    assert '127.0.0.1:1' not in admin.addresses()['addresses']
