"""Decode the store's lists and watches, object by object where needed.

Other clients may write objects that can't be decoded. Such an object costs only
itself: its content is `UNREADABLE`, and the others are used.
"""

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import msgspec

from ibismount.platform.json_split import split_array, split_object

__all__ = (
    'UNREADABLE',
    'EventsPage',
    'ListPage',
    'PageError',
    'StoredEvent',
    'StoredObject',
    'decode_events',
    'decode_list',
)

_ElementT = TypeVar('_ElementT')

# Content of an object that can't be decoded.
UNREADABLE = object()


class PageError(ValueError):
    """Raised when an answer of the store is no page."""


class ObjectMeta(msgspec.Struct):
    """Name of an object, and the revision of its last change."""

    name: str
    revision: int = 0


class StoredObject(msgspec.Struct):
    """One object; ``spec`` is its decoded content, or `UNREADABLE`."""

    meta: ObjectMeta
    spec: Any = None


class ListPage(msgspec.Struct, rename='kebab'):
    """One page of a list, and the store's revision when it was read."""

    items: list[StoredObject]
    store_revision: int
    has_more: bool = False


class StoredEvent(msgspec.Struct):
    """One change of an object."""

    object: StoredObject
    deleted: bool = False


class EventsPage(msgspec.Struct, rename='kebab'):
    """The changes that a watch returned, and the revision to go on from."""

    events: list[StoredEvent]
    store_revision: int


def decode_list(raw: bytes) -> ListPage:
    """Decode a page of a list from JSON text.

    Raises:
        PageError: The text is no such page.
    """
    try:
        return msgspec.json.decode(raw, type=ListPage)
    except _DECODE_ERRORS:
        members, items, revision = _split_page(raw, 'items')
    return ListPage(
        _decode_each(items, _decode_object),
        revision,
        _decode(members.get('has-more', b'false'), bool),
    )


def decode_events(raw: bytes) -> EventsPage:
    """Decode the answer to a watch from JSON text.

    Raises:
        PageError: The text is no such answer.
    """
    try:
        return msgspec.json.decode(raw, type=EventsPage)
    except _DECODE_ERRORS:
        _, events, revision = _split_page(raw, 'events')
    return EventsPage(_decode_each(events, _decode_event), revision)


_DECODE_ERRORS = (msgspec.DecodeError, RecursionError)
_SPLIT_ERRORS = (ValueError, *_DECODE_ERRORS)


def _split_page(
    raw: bytes, list_key: str
) -> tuple[dict[str, bytes], list[bytes], int]:
    """Return the members of a page, the elements of its list, its revision."""
    try:
        members = split_object(raw)
        elements = split_array(members[list_key])
        raw_revision = members['store-revision']
    except (KeyError, ValueError) as exc:
        raise PageError(f'no page of the store: {exc!r}') from exc
    return members, elements, _decode(raw_revision, int)


def _decode_each(
    elements: Iterable[bytes], decode: Callable[[bytes], _ElementT | None]
) -> list[_ElementT]:
    """Return the decoded elements without those that can't be read."""
    decoded = map(decode, elements)
    return [element for element in decoded if element is not None]


def _decode(raw: bytes, document_type: type) -> Any:
    try:
        return msgspec.json.decode(raw, type=document_type)
    except _DECODE_ERRORS as exc:
        raise PageError(f'no page of the store: {exc}') from exc


def _decode_event(raw: bytes) -> StoredEvent | None:
    try:
        members = split_object(raw)
    except ValueError:
        return None
    stored = _decode_object(members.get('object', b''))
    if stored is None:
        return None
    return StoredEvent(stored, _decode(members.get('deleted', b'false'), bool))


def _decode_object(raw: bytes) -> StoredObject | None:
    """Decode an object; None if not even its name can be decoded."""
    try:
        return msgspec.json.decode(raw, type=StoredObject)
    except _DECODE_ERRORS:
        return _decode_object_members(raw)


def _decode_object_members(raw: bytes) -> StoredObject | None:
    try:
        members = split_object(raw)
        meta = msgspec.json.decode(members.get('meta', b''), type=ObjectMeta)
    except _SPLIT_ERRORS:
        return None
    try:
        spec = msgspec.json.decode(members.get('spec', b'null'))
    except _DECODE_ERRORS:
        spec = UNREADABLE
    return StoredObject(meta, spec)
