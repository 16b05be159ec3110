"""The table of what incidents left open names tests that exist."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent
TABLE = ROOT / 'docs' / 'incidents' / 'README.md'
TEST_ID = re.compile(r'`(tests/\w+\.py)::(test_\w+)`')


def test_each_test_named_in_the_table_exists():
    """A renamed test would leave its point closed by nothing."""
    named = TEST_ID.findall(TABLE.read_text(encoding='utf-8'))
    assert named
    missing = [
        f'{path}::{name}'
        for path, name in named
        if f'def {name}(' not in (ROOT / path).read_text(encoding='utf-8')
    ]
    assert missing == []


def test_each_incident_with_an_open_end_is_in_the_table():
    """A postmortem that is not in the table would be forgotten."""
    table = TABLE.read_text(encoding='utf-8')
    missing = [
        page.stem
        for page in sorted(TABLE.parent.glob('*.md'))
        if '## What remains' in page.read_text(encoding='utf-8')
        and page.stem not in table
    ]
    assert missing == []
