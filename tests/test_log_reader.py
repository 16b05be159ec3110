"""Tests of merging log lines of several nodes and explaining a request."""

import json

from cleo.testers.application_tester import ApplicationTester

from ibismount.cli import make_application
from ibismount.log_reader import (
    clock_offsets,
    explain_request,
    merge_lines,
    parse_lines,
)


def make_line(second, node, message, **fields):
    return json.dumps(
        {
            'asctime': f'2026-01-01 10:00:{second:06.3f}'.replace('.', ','),
            'levelname': 'INFO',
            'message': message,
            'node': node,
            **fields,
        }
    )


# The clock of node b is two seconds ahead.
LINES = [
    make_line(1, 'a', 'edge: routes in force', version=3),
    make_line(1.01, 'c', 'edge: routes in force', version=3),
    make_line(3, 'b', 'edge: routes in force', version=3),
    make_line(4, 'a', 'feed: store lost', reason='silent'),
    make_line(
        5, 'a', 'dispatch: attempt failed at backend server', request_id='q1'
    ),
    make_line(5.1, 'a', 'dispatch: request failed', request_id='q1', code='x'),
    make_line(6.5, 'b', 'dispatch: request failed', request_id='q2', code='y'),
    make_line(5.6, 'c', 'edge: leaving'),
]


def test_merge_corrects_clock_offsets():
    """Guards against sorting lines by clocks that are ahead or behind."""
    parsed = parse_lines(LINES)
    assert abs(clock_offsets(parsed)['b'] - 1.99) < 0.02
    merged = merge_lines(parsed)
    order = [row.split()[1] for row in merged]
    assert order.index('b') < 3
    assert 'q2' in merged[4]


def test_explanation_holds_request_lines_and_node_context():
    """Guards against an explanation without the state of the node."""
    rows = explain_request(parse_lines(LINES), 'q1')
    assert any('store lost' in row for row in rows)
    assert 'code=x' in rows[-1]
    assert not any('q2' in row or 'leaving' in row for row in rows)
    assert explain_request(parse_lines(LINES), 'q9') == []


def test_lines_of_other_programs_are_skipped():
    """Guards against failing on collector prefixes or other programs' lines."""
    other_lines = ['', 'plain text', '{"no": "line"}', '{broken']
    assert len(parse_lines(['12.5 node-1 ' + LINES[0], *other_lines])) == 1


def test_logs_commands_read_files(tmp_path):
    """Guards against ``logs`` commands that ignore files or exit status."""
    first, second = tmp_path / 'a.log', tmp_path / 'b.log'
    first.write_text('\n'.join(LINES[:5]))
    second.write_text('\n'.join(LINES[5:]))
    tester = ApplicationTester(make_application())
    assert tester.execute(f'logs explain q1 {first} {second}') == 0
    assert 'code=x' in tester.io.fetch_output()
    assert tester.execute(f'logs explain q9 {first}') == 1
    assert tester.execute(f'logs timeline {first}') == 0
    assert 'routes in force' in tester.io.fetch_output()
