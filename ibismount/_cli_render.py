"""Render answers of the API as lines of text."""

import datetime
import json
import textwrap
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

__all__ = (
    'render_cause',
    'render_change',
    'render_coverage',
    'render_diff',
    'render_explanation',
    'render_fields',
    'render_history',
    'render_outcome',
    'render_results',
    'render_status',
    'render_timeline',
    'render_zones',
    'replace_unprintable',
)

# With the named change, these fit on one screen.
MAX_OTHER_CHANGES = 3
# The body of a catalog can have thousands of characters.
MAX_BODY_CHARS = 120
_UNSET = '(unset)'


def replace_unprintable(text: str) -> str:
    """Replace unprintable characters, such as terminal escape codes."""
    return ''.join(char if char.isprintable() else '?' for char in text)


def render_time(unix_s: float) -> str:
    """Render Unix seconds as UTC."""
    utc_time = datetime.datetime.fromtimestamp(unix_s, tz=datetime.UTC)
    return utc_time.strftime('%Y-%m-%d %H:%M:%S.%f')[:-3]


def render_fields(fields: Mapping[str, Any]) -> Iterator[str]:
    """Render one line for each field."""
    for name, value in fields.items():
        yield f'{name}: {_format_value(value)}'


def render_diff(
    old: Mapping[str, Any] | None, new: Mapping[str, Any]
) -> list[str]:
    """Render one line for each field that differs."""
    old = old or {}
    return [
        f'{name}: {_format_field(old, name)} -> {_format_field(new, name)}'
        for name in sorted({*old, *new})
        if _format_field(old, name) != _format_field(new, name)
    ]


def render_change(change: Mapping[str, Any]) -> str:
    """Render a change in one line."""
    return (
        f'{render_time(change["at"])}  version {change["version"]}  '
        f'{change["origin"]} {change["who"]}  {change["kind"]} '
        f'{change["key"]}{_change_text(change) or _shorten_body(change["body"])}  '
        f'({change["change_id"]})'
    )


def render_outcome(answer: Mapping[str, Any]) -> str:
    """Render the outcome of a change in one line."""
    return (
        f'{answer["kind"]} {answer["key"]}: {answer.get("outcome")}, '
        f'version {answer["version"]} ({answer["change_id"]})'
    )


def render_history(changes: Sequence[Mapping[str, Any]]) -> Iterator[str]:
    """Render changes, newest first, each with the fields that it changed."""
    for index, change in enumerate(changes):
        older = changes[index + 1]['body'] if index + 1 < len(changes) else None
        yield (
            f'{render_time(change["at"])}  version {change["version"]}  '
            f'{change["origin"]} {change["who"]}  ({change["change_id"]})'
        )
        for line in render_diff(older, change['body']):
            yield f'  {line}'


def render_zones(zones: Mapping[str, Mapping[str, Any]]) -> list[str]:
    """Render one line for each zone."""
    rows = []
    for name, zone in zones.items():
        change = zone.get('change')
        changed = ''
        if change:
            changed = f'{change["who"]} at {render_time(change["at"])}'
        in_service = change is None or change['body'].get('in_service')
        rows.append(
            (
                name,
                'in' if in_service else 'OUT',
                len(zone.get('vms', ())),
                zone.get('backend_servers', 0),
                changed,
                change['change_id'] if change else '',
            )
        )
    header = ('zone', 'service', 'VMs', 'servers', 'changed by', 'change')
    return _format_table(header, rows)


def render_status(status: Mapping[str, Any]) -> list[str]:
    """Render the state of a node and its view of the fleet."""
    live, roster = set(status['live']), set(status['roster'])
    refusal = status.get('refusal')
    quarantined = len(status.get('quarantined', ()))
    rows = [
        ('node', f'{status["node"]} in {status["availability_zone"]}'),
        ('confirmed', 'yes' if status['confirmed'] else 'NO'),
        ('new requests', render_cause(refusal) if refusal else 'taken'),
        ('version', status['version']),
        ('accepted', status['accepted_version']),
        ('VMs', f'{len(roster)} in the roster, {len(live)} live'),
        ('not live', ', '.join(sorted(roster - live)) or 'none'),
        ('not yet joined', ', '.join(sorted(live - roster)) or 'none'),
        ('gateway for', f'{status["gateway_for"]} backend servers'),
        ('quarantined', f'{quarantined} requests'),
    ]
    return _format_table((), rows)


def render_results(results: Sequence[Mapping[str, Any]]) -> list[str]:
    """Render one line for each result, id and score first."""
    names = list(dict.fromkeys(name for result in results for name in result))
    names.sort(
        key=lambda name: (
            ('id', 'score').index(name) if name in {'id', 'score'} else 2
        )
    )
    rows = [
        [_format_field(result, name) for name in names] for result in results
    ]
    return _format_table(names, rows) if results else []


def render_cause(cause: Mapping[str, Any] | None) -> str:
    """Render the cause of an outcome: an operator's change or the system."""
    if not cause:
        return 'no cause recorded'
    if cause['origin'] == 'operator':
        return (
            f'{cause["code"]}: follows change {cause["change_id"]} made by '
            f'operator {cause["who"]} at {render_time(cause["at"])}'
        )
    detail = cause.get('detail') or 'no detail'
    return f'{cause["code"]}: caused by the system itself ({detail})'


def render_coverage(coverage: Mapping[str, Any] | None) -> Iterator[str]:
    """Render how many shards the answer covers and why others are missing."""
    if not coverage:
        return
    yield f'coverage: {coverage["answered"]} of {coverage["asked"]} shards'
    for shard in coverage.get('missing', ()):
        yield f'  missing {shard["shard"]}: {render_cause(shard.get("cause"))}'


def render_timeline(rows: Iterable[Mapping[str, Any]]) -> list[str]:
    """Render one line for each row, with the origin in its own column."""
    cells = []
    for row in rows:
        event = row.get('event') or {}
        cells.append(
            (
                render_time(row['at']),
                row['origin'],
                row.get('node') or '',
                f'{_event_text(row)}{_change_text(row.get("change"))}',
                event.get('request_id') or '',
                row.get('change_id') or '',
            )
        )
    header = ('time (UTC)', 'origin', 'node', 'what', 'request', 'change')
    return _format_table(header, cells)


def render_explanation(answer: Mapping[str, Any]) -> Iterator[str]:
    """Render the cause of a request's outcome, preceding changes and events."""
    yield f'cause: {render_cause(answer.get("cause"))}'
    verdict = answer.get('verdict') or {}
    named_change = verdict.get('named')
    if named_change:
        yield f'named change: {render_change(named_change)}'
    others = [
        preceding
        for preceding in verdict.get('preceding', ())
        if preceding != named_change
    ]
    for change in others[:MAX_OTHER_CHANGES]:
        yield f'also preceding, not named as the cause: {render_change(change)}'
    if others[MAX_OTHER_CHANGES:]:
        yield f'{len(others) - MAX_OTHER_CHANGES} more preceding changes; see --json'
    for event in answer.get('events', ()):
        yield (
            f'{render_time(event["at"])}  {event["part"]}: {event["text"]} '
            f'[{event["code"]}]'
        )


def _event_text(row: Mapping[str, Any]) -> str:
    code = (row.get('event') or {}).get('code')
    return f'{row["text"]} [{code}]' if code else row['text']


def _change_text(change: Mapping[str, Any] | None) -> str:
    """Render the effect of a change of a zone, a VM or the roster."""
    if not change:
        return ''
    body = change['body']
    if change['kind'] in {'zone', 'vm'}:
        state = 'back in' if body.get('in_service') else 'out of'
        return f': {state} service'
    if change['kind'] != 'roster':
        return ''
    joined = ', '.join(member['id'] for member in body.get('joined', ()))
    removed = ', '.join(body.get('removed', ()))
    parts = (joined and f'joined {joined}', removed and f'removed {removed}')
    return f': {"; ".join(filter(None, parts))}'


def _format_table(
    header: Sequence[str], rows: Iterable[Sequence[Any]]
) -> list[str]:
    """Pad the cells of each column to the widest one."""
    lines = [list(map(str, row)) for row in rows]
    if header:
        lines.insert(0, list(header))
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    ]


def _shorten_body(body: Mapping[str, Any]) -> str:
    return f'  {textwrap.shorten(_format_value(body), MAX_BODY_CHARS, placeholder=" ...")}'


def _format_field(body: Mapping[str, Any], name: str) -> str:
    return _format_value(body[name]) if name in body else _UNSET


def _format_value(value: Any) -> str:
    if isinstance(value, str):
        return value
    return json.dumps(value, ensure_ascii=False, sort_keys=True)
