"""Merge the log lines of several nodes and explain a request's outcome.

The clocks of the nodes differ. All nodes log a new routes version at nearly
the same time, so these lines show the offset of each clock.
"""

import dataclasses
import datetime
import json
import statistics
from collections.abc import Iterable
from typing import Any

__all__ = (
    'LogLine',
    'clock_offsets',
    'explain_request',
    'merge_lines',
    'parse_lines',
)

# Context lines of a node are included from this long before the request's
# first line.
CONTEXT_S = 10.0
# Messages about the state of a node rather than about one request.
CONTEXT_MESSAGES = frozenset(
    (
        'edge: started',
        'edge: leaving',
        'edge: stopped',
        'edge: settings read again',
        'edge: routes in force',
        'edge: server gone',
        'feed: store lost',
        'feed: store reached',
        'feed: history lost',
        'feed: watches sent again',
        'feed: check not answered',
        'quarantine: request quarantined',
        'peers: following the store',
        'peers: store left to peers',
    )
)
VERSION_MESSAGE = 'edge: routes in force'
_STANDARD_FIELDS = frozenset(('asctime', 'levelname', 'message', 'node'))


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One log line; ``at`` is Unix time in seconds on the node's clock."""

    at: float
    node: str
    message: str
    fields: dict[str, Any]

    def render(self, *, offset_s: float = 0) -> str:
        """Return the line as text, with its time on the common clock.

        Args:
            offset_s: How far the node's clock is ahead, in seconds.
        """
        utc_time = datetime.datetime.fromtimestamp(
            self.at - offset_s, tz=datetime.UTC
        )
        fields = ' '.join(
            f'{key}={value}' for key, value in self.fields.items()
        )
        clock = utc_time.strftime('%H:%M:%S.%f')[:-3]
        return f'{clock} {self.node} {self.message} {fields}'.rstrip()


def parse_lines(lines: Iterable[str]) -> list[LogLine]:
    """Parse the log lines of nodes and skip all others.

    A log collector may have put a prefix before the JSON.
    """
    parsed = []
    for text in lines:
        line = _parse_line(text)
        if line is not None:
            parsed.append(line)
    return parsed


def _parse_line(text: str) -> LogLine | None:
    start = text.find('{')
    if start < 0:
        return None
    try:
        record = json.loads(text[start:])
        logged_at = datetime.datetime.strptime(
            record['asctime'], '%Y-%m-%d %H:%M:%S,%f'
        )
        at = logged_at.replace(tzinfo=datetime.UTC).timestamp()
        message, node = str(record['message']), str(record['node'])
    except (ValueError, KeyError, TypeError):
        return None
    fields = {
        key: value
        for key, value in record.items()
        if key not in _STANDARD_FIELDS
    }
    return LogLine(at, node, message, fields)


def clock_offsets(lines: Iterable[LogLine]) -> dict[str, float]:
    """Return how far each node's clock is ahead of the median, in seconds.

    Nodes that logged no routes version are left out.
    """
    times_by_version: dict[object, dict[str, float]] = {}
    for line in lines:
        if line.message == VERSION_MESSAGE:
            times_by_node = times_by_version.setdefault(
                line.fields.get('version'), {}
            )
            times_by_node.setdefault(line.node, line.at)
    offsets_by_node: dict[str, list[float]] = {}
    for times_by_node in times_by_version.values():
        median_at = statistics.median(times_by_node.values())
        for node, at in times_by_node.items():
            offsets_by_node.setdefault(node, []).append(at - median_at)
    return {
        node: statistics.median(offsets)
        for node, offsets in offsets_by_node.items()
    }


def merge_lines(lines: list[LogLine]) -> list[str]:
    """Return all lines as text, in order of the common clock."""
    offsets = clock_offsets(lines)
    ordered = sorted(
        lines, key=lambda line: line.at - offsets.get(line.node, 0)
    )
    return [line.render(offset_s=offsets.get(line.node, 0)) for line in ordered]


def explain_request(lines: list[LogLine], request_id: str) -> list[str]:
    """Return the log lines of a request and the context lines of its nodes.

    Args:
        lines: Log lines of any number of nodes.
        request_id: The id that the caller sent.

    Returns:
        Lines as text, in order of time; empty when none names the request.
    """
    request_lines = [
        line for line in lines if line.fields.get('request_id') == request_id
    ]
    if not request_lines:
        return []
    nodes = {line.node for line in request_lines}
    start = min(line.at for line in request_lines) - CONTEXT_S
    end = max(line.at for line in request_lines)
    context = [
        line
        for line in lines
        if line.message in CONTEXT_MESSAGES
        and line.node in nodes
        and start <= line.at <= end
    ]
    return merge_lines(request_lines + context)
