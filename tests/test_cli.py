"""Tests of ``ibismountctl``: conflicts, confirmation, exit status, output."""

import json
import sys

import httpx
import pytest
from cleo.testers.application_tester import ApplicationTester

from ibismount import cli
from ibismount.cli import make_application


class FakeNode:
    """Answer the administration API from a dictionary of entries."""

    def __init__(self):
        self.version = 0
        self.entries = {}
        self.requests = []
        self.before_put = lambda: None
        self.answers = {}

    def add_entry(self, kind, key, body, who='bob'):
        self.version += 1
        entry = {
            'version': self.version,
            'change_id': f'c{self.version}',
            'kind': kind,
            'key': key,
            'body': body,
            'origin': 'operator',
            'who': who,
            'at': 1_800_000_000.0,
        }
        self.entries.setdefault(kind, {})[key] = entry
        return entry

    def __call__(self, request):
        self.requests.append(request)
        path = request.url.path
        if path in self.answers:
            return self.answers[path](request)
        assert request.headers['authorization'] == 'Bearer operator-token'
        kind, _, key = path.removeprefix('/admin/v1/').partition('/')
        if request.method == 'GET':
            if kind == 'status':
                return httpx.Response(200, json={'zones': {}})
            entries = self.entries.get(kind, {})
            return httpx.Response(200, json=list(entries.values()))
        return self.put(request, kind, key)

    def put(self, request, kind, key):
        body = json.loads(request.content)
        if body.get('deadline_ms') == 0:
            finding = {
                'code': 'change_invalid',
                'place': 'body.deadline_ms',
                'message': 'must be at least 1',
            }
            problem = {'code': 'change_invalid', 'detail': 'invalid'}
            return httpx.Response(422, json={**problem, 'findings': [finding]})
        if request.url.params.get('preview'):
            return httpx.Response(200, json={'warnings': ['shard 7 is alone']})
        self.before_put()
        current = self.entries.get(kind, {}).get(key, {'version': 0})
        if int(request.headers['if-match']) != current['version']:
            problem = {'code': 'change_conflict', 'detail': 'came second'}
            return httpx.Response(409, json={**problem, 'other': current})
        answer = self.add_entry(kind, key, body, 'ann')
        return httpx.Response(200, json={'outcome': 'accepted', **answer})


@pytest.fixture
def node(monkeypatch):
    monkeypatch.setenv('IBISMOUNT_TOKEN', 'operator-token')
    return FakeNode()


def run_command(node, args, **options):
    application = make_application(httpx.MockTransport(node))
    tester = ApplicationTester(application)
    status = tester.execute(args, **options)
    return status, tester.io.fetch_output() + tester.io.fetch_error()


def test_apply_changes_nothing_when_one_entry_is_invalid(node, tmp_path):
    """Guards against applying only the valid entries of a file."""
    path = tmp_path / 'templates.yaml'
    path.write_text('[{name: a}, {name: b, deadline_ms: 0}]')
    status, text = run_command(node, f'template apply {path}')
    assert status == 1
    assert 'b body.deadline_ms: must be at least 1' in text
    assert not node.entries
    path.write_text('[{name: a}, {name: b, deadline_ms: 9}]')
    assert run_command(node, f'template apply {path}')[0] == 0
    assert 'nothing differs' in run_command(node, f'template apply {path}')[1]
    assert sorted(node.entries['templates']) == ['a', 'b']


def test_conflict_shows_the_other_change(node):
    """Guards against overwriting a change that the operator has not seen."""
    node.before_put = lambda: node.add_entry(
        'zones', 'a', {'in_service': False}
    )
    status, text = run_command(node, 'zone out a --yes')
    assert status == 1
    assert 'operator bob' in text
    assert node.entries['zones']['a']['who'] == 'bob'


def test_warnings_need_confirmation(node):
    """Guards against taking out a shard's last zone by accident."""
    status, text = run_command(node, 'zone out a', inputs='no\n')
    assert status == 1
    assert 'shard 7 is alone' in text
    assert not node.entries
    assert run_command(node, 'zone out a', inputs='yes\n')[0] == 0
    assert 'OUT' in run_command(node, 'zone status')[1]


def test_lost_answer_is_unknown_and_names_the_request_id(node):
    """Guards against booking twice by a retry under a new request id."""

    def lose_answer(request):
        raise httpx.ReadTimeout('no answer', request=request)

    node.answers = {'/v1/bookings': lose_answer}
    status, text = run_command(node, 'book wrekin crew-visit s1 \'{"day": 3}\'')
    sent = json.loads(node.requests[0].content)
    assert status == 3
    assert f'request id: {sent["request_id"]}' in text
    node.answers = {'/admin/v1/vms/v1': lose_answer}
    assert run_command(node, 'vm forget v1 --yes')[0] == 3


def test_search_prints_coverage_without_control_characters(node):
    """Guards against unreported missing shards and terminal escape codes."""
    cause = {'code': 'zone_out', 'origin': 'operator', 'who': 'a\x1b[2Jnn'}
    missing = {'shard': 's2', 'cause': {**cause, 'change_id': 'c1', 'at': 0}}
    answer = {
        'status': 'answered',
        'request_id': 'r1',
        'results': [{'id': '<info>asztalterítő</info>'}],
        'coverage': {'asked': 2, 'answered': 1, 'missing': [missing]},
    }
    node.answers = {'/v1/search': lambda _: httpx.Response(200, json=answer)}
    status, text = run_command(
        node, 'search wrekin past-jobs \'{"text": "gate"}\''
    )
    assert status == 0
    assert 'coverage: 1 of 2 shards' in text
    assert 'missing s2: zone_out: follows change c1' in text
    assert '<info>asztalterítő</info>' in text
    assert '\x1b' not in text


def test_pending_change_and_partial_apply_have_their_own_status(node, tmp_path):
    """Guards against scripts that treat a pending change as accepted."""
    pending = {'outcome': 'pending', 'kind': 'zone', 'key': 'a'}
    pending.update(version=4, change_id='c4')
    node.answers = {
        '/admin/v1/zones/a': lambda _: httpx.Response(202, json=pending)
    }
    assert run_command(node, 'zone out a --yes')[0] == 2
    path = tmp_path / 'templates.yaml'
    path.write_text('[{name: a}, {name: b}]')
    node.before_put = lambda: node.add_entry(
        'templates', 'b', {'name': 'b', 'x': 1}
    )
    status, text = run_command(node, f'template apply {path}')
    assert status == 1
    assert 'in force: a; not applied: b' in text
    tester = ApplicationTester(make_application(httpx.MockTransport(node)))
    path.write_text('[{name: c, deadline_ms: 0}, {name: d, deadline_ms: 0}]')
    tester.execute(f'template apply {path} --json')
    assert len(json.loads(tester.io.fetch_output())['findings']) == 2


def test_json_option_prints_one_document(node, tmp_path):
    """Guards against ``--json`` output that is not one JSON document."""
    path = tmp_path / 'templates.yaml'
    path.write_text('[{name: a}, {name: b}]')
    application = make_application(httpx.MockTransport(node))
    tester = ApplicationTester(application)
    tester.execute(f'template apply {path} --json')
    assert [entry['key'] for entry in json.loads(tester.io.fetch_output())] == [
        'a',
        'b',
    ]
    assert tester.execute('template get nope --json') == 1
    assert json.loads(tester.io.fetch_output())['code'] == 'bad_request'


def test_question_without_an_answer_changes_nothing(node):
    """Guards against a question repeated forever at the end of input."""
    status, text = run_command(node, 'vm forget v1', inputs='')
    assert status == 1
    assert 'pass --yes' in text
    assert not node.requests


@pytest.mark.parametrize('shell', ['bash', 'zsh', 'fish'])
def test_completion_names_the_commands(node, shell):
    """Guards against a completion script without the commands."""
    status, text = run_command(node, f'completions {shell}')
    assert status == 0
    assert 'timeline' in text


@pytest.mark.parametrize('option', ['--help', '-h'])
def test_help_lists_the_commands(option, monkeypatch, capfd):
    """It showed the help of the command `list`, without any other command."""
    monkeypatch.setattr(sys, 'argv', ['ibismountctl', option])
    with pytest.raises(SystemExit) as caught:
        cli.main()
    assert not caught.value.code
    shown = capfd.readouterr().out
    assert 'timeline' in shown
    assert 'book' in shown
