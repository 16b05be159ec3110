"""Settings of the edge program: all findings, each with its place."""

import json
import pathlib
import re

import pytest

from ibismount.edge import main
from ibismount.edge_settings import check_settings, load_settings
from ibismount.errors import FindingsError

ROOT = pathlib.Path(__file__).parent.parent
VALID = {
    'node': {
        'name': 'n1',
        'ip': '10.0.0.1',
        'zone': 'z1',
        'area': 'r',
        'peer_ports': [7740, 7755],
        'seeds': ['10.0.0.2:8224'],
    },
    'listen': {
        'callers': '10.0.0.1:1',
        'readiness': '10.0.0.1:2',
        'directory': '10.0.0.1:3',
    },
    'store': {'address': '10.0.0.9:1'},
    'bounds': {'retry_ratio': 0.2, 'grace_s': 6},
}


def test_valid_settings_are_accepted():
    """A node must start with a file as the deployment fills it in."""
    cfg = check_settings(VALID)
    assert cfg.node.peer_ports == (7740, 7755)
    assert cfg.bounds.retry_ratio == 0.2


def test_all_findings_are_reported_with_their_place():
    """An operator should be able to fix a file in one pass."""
    invalid = json.loads(json.dumps(VALID))
    invalid['node']['ip'] = 7
    invalid['node'].pop('zone')
    invalid['bounds']['retry_ratio'] = 'much'
    invalid['stores'] = {}
    invalid.pop('listen')
    with pytest.raises(FindingsError) as caught:
        check_settings(invalid, place='file')
    places = [finding.place for finding in caught.value.findings]
    assert sorted(places) == [
        'file: bounds.retry_ratio',
        'file: listen',
        'file: node.ip',
        'file: node.zone',
        'file: stores',
    ]


@pytest.mark.parametrize('text', ['', '[', '7', '[]'])
def test_file_that_holds_no_settings_is_refused(tmp_path, text):
    """A truncated or wrong file must not start a node with defaults."""
    path = tmp_path / 'settings'
    path.write_text(text)
    with pytest.raises(FindingsError):
        load_settings(str(path))


def test_template_of_the_deployment_fills_every_section():
    """A misspelled field in the template would stop every node."""
    text = (ROOT / 'deploy' / 'settings.yaml.tmpl').read_text()
    samples = {
        'internal-port-range': '[1, 2]',
        'seed-nodes': '["a:1"]',
        'bootstrap': 'true',
    }

    def fill(placeholder):
        name = placeholder.group(1)
        is_number = name.startswith(('bounds.', 'limits.'))
        sample = '3' if is_number else '"x"'
        return samples.get(name, sample)

    cfg = check_settings(
        json.loads(re.sub(r'\{\{([^|}]+)\|json\}\}', fill, text))
    )
    assert cfg.node.name == 'x'
    assert cfg.node.first_start


def test_deployed_packages_are_in_the_lock_file():
    """A deployment must use the versions that the tests ran with."""
    locked = set((ROOT / 'requirements.lock').read_text().split())
    deployed = (ROOT / 'deploy' / 'requirements.txt').read_text().split()
    assert set(deployed) <= locked


@pytest.mark.parametrize(
    ('arguments', 'code', 'stream', 'text'),
    [
        (['--help'], 0, 'out', 'usage:'),
        (['-h'], 0, 'out', '--check'),
        ([], 2, 'err', 'usage:'),
        (['--verbose', 'node.yaml'], 2, 'err', 'usage:'),
        (['one.yaml', 'two.yaml'], 2, 'err', 'usage:'),
        (['--check', 'missing.yaml'], 2, 'err', 'missing.yaml'),
    ],
)
def test_options_are_not_taken_for_a_path(
    monkeypatch, capsys, arguments, code, stream, text
):
    """``--help`` was read as the path of a settings file."""
    monkeypatch.setattr('sys.argv', ['edge', *arguments])
    assert main() == code
    assert text in getattr(capsys.readouterr(), stream)


def test_settings_are_checked_without_starting_a_node(
    monkeypatch, capsys, tmp_path
):
    """Operators check a file before they put it in place."""
    path = tmp_path / 'node.yaml'
    path.write_text(json.dumps(VALID))
    monkeypatch.setattr('sys.argv', ['edge', '--check', str(path)])
    assert main() == 0
    path.write_text(json.dumps({**VALID, 'store': {}}))
    assert main() == 2
    assert 'store.address' in capsys.readouterr().err
