"""Tests of settings validation and of the settings reference page."""

import pathlib

import pytest

from ibismount.errors import ErrorCode, FindingsError
from ibismount.settings import parse_settings, render_settings_reference

ROOT = pathlib.Path(__file__).parent.parent

INVALID_SETTINGS = """
node:
  id: n1
  availability_zone: east
  region: midlands
  api_address: localhost:8000
  link_address: 127.0.0.1:9000
  colour: red
cluster:
  name: wrekin
  secret: short
platform:
  url: http://127.0.0.1:7000
  timeout_ms: soon
"""


def test_all_findings_are_reported_together_with_file_and_field():
    """Guards against reporting only the first error at each start."""
    with pytest.raises(FindingsError) as caught:
        parse_settings(INVALID_SETTINGS, place='n1.yaml')
    assert [finding.place for finding in caught.value.findings] == [
        'n1.yaml.node.api_address',
        'n1.yaml.node.colour',
        'n1.yaml.cluster.secret',
        'n1.yaml.platform.timeout_ms',
    ]
    assert 'short' not in str(caught.value)


def test_malformed_yaml_names_the_line():
    """Guards against a traceback for a file that is not YAML."""
    with pytest.raises(FindingsError) as caught:
        parse_settings('node: [1\ncluster: }', place='n1.yaml')
    assert caught.value.code is ErrorCode.SETTINGS_INVALID
    assert caught.value.findings[0].place == 'n1.yaml:2'


def test_repeated_keys_name_both_lines():
    """Guards against a second section that silently replaces the first."""
    text = 'platform:\n  url: a\nnode:\n  id: n\n  id: m\nplatform: {}\n'
    with pytest.raises(FindingsError) as caught:
        parse_settings(text, place='n1.yaml')
    assert [
        (finding.place, finding.message) for finding in caught.value.findings
    ] == [
        ('n1.yaml:5.node.id', 'repeated key; first in line 4'),
        ('n1.yaml:6.platform', 'repeated key; first in line 1'),
    ]


def test_reference_page_is_current():
    """Guards against a settings page that differs from the models."""
    page = ROOT.joinpath('docs', 'SETTINGS.md').read_text(encoding='utf-8')
    assert page == render_settings_reference()
