"""Cursors from one page of a search to the next."""

import base64
import json
from typing import NamedTuple

from ibismount.errors import ErrorCode, IbismountError

__all__ = ('Cursor', 'decode_cursor', 'encode_cursor')

# No valid cursor is longer; longer ones are refused before decoding.
_MAX_CURSOR_CHARS = 2048


class Cursor(NamedTuple):
    """Position of the next page in the results of a query on a snapshot."""

    collection: str
    snapshot: str
    position: int
    query_hash: str


def encode_cursor(cursor: Cursor) -> str:
    """Encode as URL-safe base64 of JSON, without padding."""
    encoded = json.dumps(cursor, separators=(',', ':')).encode()
    return base64.urlsafe_b64encode(encoded).decode().rstrip('=')


def decode_cursor(text: str, *, collection: str, expected_hash: str) -> Cursor:
    """Decode a cursor and check that it belongs to the query.

    Raises:
        IbismountError: ``bad_request`` when it is malformed or belongs to
            another query.
    """
    try:
        cursor = _parse(text)
    except (ValueError, TypeError, RecursionError) as exc:
        raise IbismountError(
            ErrorCode.BAD_REQUEST, 'the cursor is malformed', place='cursor'
        ) from exc
    if (cursor.collection, cursor.query_hash) != (collection, expected_hash):
        raise IbismountError(
            ErrorCode.BAD_REQUEST,
            'the cursor belongs to another query, template or shard list',
            place='cursor',
        )
    return cursor


def _parse(text: str) -> Cursor:
    if len(text) > _MAX_CURSOR_CHARS:
        raise ValueError('cursor is too long')
    padded = text + '=' * (-len(text) % 4)
    fields = json.loads(
        base64.b64decode(padded.encode('ascii'), b'-_', validate=True)
    )
    collection, snapshot, position, found_hash = fields
    strings = (collection, snapshot, found_hash)
    if not all(isinstance(field, str) for field in strings) or not snapshot:
        raise ValueError('cursor fields have wrong types')
    if type(position) is not int or position < 0:  # noqa: WPS516
        raise ValueError('cursor position is not a natural number')
    return Cursor(collection, snapshot, position, found_hash)
