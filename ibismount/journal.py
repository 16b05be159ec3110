"""Events of one node, and a timeline that merges them with the changes."""

import collections
import dataclasses
import json
from collections.abc import Iterable, Mapping
from typing import Any

from ibismount.cause import Cause, Origin
from ibismount.config import Change
from ibismount.errors import ErrorCode, IbismountError

__all__ = (
    'Event',
    'Journal',
    'TimelineEntry',
    'FaultAttribution',
    'attribute_fault',
    'decode_events',
    'encode_events',
    'merge_timeline',
)

# Exceptions raised when JSON of another structure is decoded.
_MALFORMED = (ValueError, KeyError, TypeError, RecursionError)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One action of the system; ``at`` is Unix time in seconds."""

    at: float
    part: str
    code: str
    text: str
    cause: Cause | None = None
    request_id: str = ''
    trace_id: str = ''
    extra: Mapping[str, Any] = dataclasses.field(default_factory=dict)

    def to_json(self) -> bytes:
        """Encode for another node or an operator."""
        return json.dumps(
            dataclasses.asdict(self), separators=(',', ':'), sort_keys=True
        ).encode()

    @classmethod
    def from_json(cls, raw: bytes | str, *, place: str = '') -> 'Event':
        """Decode an event; raise ``bad_request`` for malformed input."""
        try:
            return cls.from_fields(json.loads(raw))
        except _MALFORMED as exc:
            raise IbismountError(
                ErrorCode.BAD_REQUEST,
                f'the value is not a journal event ({exc!r})',
                place=place,
            ) from exc

    @classmethod
    def from_fields(cls, fields: Mapping[str, Any]) -> 'Event':
        """Build an event from decoded JSON."""
        return cls(
            at=float(fields['at']),
            part=str(fields['part']),
            code=str(fields['code']),
            text=str(fields['text']),
            cause=_cause_from_fields(fields.get('cause')),
            request_id=str(fields.get('request_id', '')),
            trace_id=str(fields.get('trace_id', '')),
            extra=dict(fields.get('extra', {})),
        )


def encode_events(events: Iterable[Event]) -> bytes:
    """Encode events for another node."""
    return b'[' + b','.join(event.to_json() for event in events) + b']'


def decode_events(raw: bytes) -> list[Event]:
    """Decode events of another node; raise ``bad_request`` if malformed."""
    try:
        rows = json.loads(raw)
        return [Event.from_fields(row) for row in rows]
    except _MALFORMED as exc:
        raise IbismountError(
            ErrorCode.BAD_REQUEST,
            f'the value is not a list of journal events ({exc!r})',
        ) from exc


class Journal:
    """Ring buffer of the latest events of a node.

    Args:
        size: Maximum number of events kept.
    """

    def __init__(self, size: int = 4096) -> None:
        """Start empty."""
        self._events: collections.deque[Event] = collections.deque(maxlen=size)
        self.dropped = 0

    def __len__(self) -> int:
        """Return the number of events kept."""
        return len(self._events)

    def record(self, event: Event) -> None:
        """Add an event; the oldest one is dropped when the ring is full."""
        self.dropped += len(self._events) == self._events.maxlen
        self._events.append(event)

    def since(self, at: float, request_id: str = '') -> list[Event]:
        """Return the events since ``at``, of one request if an id is given."""
        return [
            event
            for event in self._events
            if event.at >= at and request_id in {'', event.request_id}
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class TimelineEntry:
    """One change or event of the timeline.

    The ``origin`` of an event is that of its cause, so that the effect of an
    operator's change is not attributed to the system. ``change_id`` is the id
    of the change itself or of the change named by the event's cause.
    """

    at: float
    origin: Origin
    node: str
    text: str
    change_id: str = ''
    change: Change | None = None
    event: Event | None = None


def merge_timeline(
    changes: Iterable[Change],
    events: Iterable[Event] | Mapping[str, Iterable[Event]],
) -> list[TimelineEntry]:
    """Merge changes and events into one list ordered by time.

    Changes keep the order of the log even when the clocks of their writers
    differ; a change comes before an event of the same moment.

    Args:
        changes: Part of the change log.
        events: Events, or events by node id.
    """
    if not isinstance(events, Mapping):
        events = {'': events}
    sortable = []
    latest: float = 0
    for change in sorted(changes, key=lambda item: item.version):
        latest = max(latest, change.at)
        sortable.append(((latest, 0, change.version), _change_entry(change)))
    for node, node_events in events.items():
        for index, event in enumerate(node_events):
            sortable.append(((event.at, 1, index), _event_entry(event, node)))
    sortable.sort(key=lambda pair: pair[0])
    return [entry for _, entry in sortable]


@dataclasses.dataclass(frozen=True, slots=True)
class FaultAttribution:
    """Attribution of a fault to an operator's change or to the system.

    ``preceding`` contains the changes before the fault, newest first.
    ``named`` is the change that the fault's cause names. ``origin`` is that of
    the cause, because a change that only came earlier need not be the cause.
    """

    origin: Origin
    preceding: tuple[Change, ...]
    named: Change | None = None


def attribute_fault(
    fault_at: float,
    changes: Iterable[Change],
    *,
    cause: Cause | None = None,
    window_s: float = 900,
    clock_skew_s: float = 1,
) -> FaultAttribution:
    """Attribute a fault to its origin and find the preceding changes.

    Args:
        fault_at: Unix time of the fault in seconds.
        changes: Part of the change log.
        cause: The cause of the fault, if known.
        window_s: How far to look back, in seconds.
        clock_skew_s: How far the clock of a change's writer may be ahead,
            in seconds.
    """
    change_id = cause.change_id if cause else ''
    newest_first = sorted(
        changes, key=lambda change: change.version, reverse=True
    )
    matching = [
        change
        for change in newest_first
        if change_id and change.change_id == change_id
    ]
    earliest_at, latest_at = fault_at - window_s, fault_at + clock_skew_s
    return FaultAttribution(
        origin=cause.origin if cause else Origin.SYSTEM,
        preceding=tuple(
            change
            for change in newest_first
            if earliest_at <= change.at <= latest_at
        ),
        named=matching[0] if matching else None,
    )


def _change_entry(change: Change) -> TimelineEntry:
    return TimelineEntry(
        at=change.at,
        origin=change.origin,
        node='',
        text=f'{change.who} changed {change.kind} {change.key}',
        change_id=change.change_id,
        change=change,
    )


def _event_entry(event: Event, node: str) -> TimelineEntry:
    cause = event.cause
    return TimelineEntry(
        at=event.at,
        origin=cause.origin if cause else Origin.SYSTEM,
        node=node,
        text=f'{event.part}: {event.text}',
        change_id=cause.change_id if cause else '',
        event=event,
    )


def _cause_from_fields(fields: Mapping[str, Any] | None) -> Cause | None:
    if fields is None:
        return None
    return Cause(
        code=ErrorCode(fields['code']),
        origin=Origin(fields['origin']),
        detail=str(fields['detail']),
        change_id=str(fields['change_id']),
        who=str(fields['who']),
        at=float(fields['at']),
    )
