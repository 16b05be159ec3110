"""Split JSON text into its members without decoding them.

A decoder fails as a whole if one string or number of a document can't be
represented. Splitting looks only at strings and brackets, without recursion,
so the members that are valid can be decoded one by one.

Example::

    split_object(b'{"a": [1, 2], "b": 1e999}')  # {'a': b'[1, 2]', 'b': b'1e999'}
    split_array(b'[[1, 2], 3]')  # [b'[1, 2]', b'3']
"""

import itertools
import re

__all__ = ('split_array', 'split_object')

_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},]', re.DOTALL)
_KEY = re.compile(rb'\s*"([^"\\]*)"\s*:\s*')
_DEPTH_CHANGES = {b'[': 1, b'{': 1, b']': -1, b'}': -1}


def split_array(raw: bytes) -> list[bytes]:
    """Return the elements of an array as JSON text.

    Raises:
        ValueError: The text is no array, or does not end.
    """
    members = (
        raw[before + 1 : after].strip()
        for before, after in itertools.pairwise(_find_separators(raw))
    )
    return [member for member in members if member]


def split_object(raw: bytes) -> dict[str, bytes]:
    """Return the values of an object as JSON text, by key.

    Members whose key has an escape sequence are left out.

    Raises:
        ValueError: The text is no object, or does not end.
    """
    members = {}
    for member in split_array(raw):
        key = _KEY.match(member)
        if key is not None:
            name = key[1].decode('utf-8', 'replace')
            members[name] = member[key.end() :]
    return members


def _find_separators(raw: bytes) -> list[int]:
    """Return the positions of the outermost brackets and commas."""
    tokens = _TOKEN.finditer(raw)
    first = next(tokens, None)
    if first is None or _DEPTH_CHANGES.get(first[0]) != 1:
        raise ValueError('JSON text is no array or object')
    separators = [first.start()]
    depth = 1
    for token in tokens:
        depth += _DEPTH_CHANGES.get(token[0], 0)
        if depth == 0 or (depth == 1 and token[0] == b','):
            separators.append(token.start())
        if depth == 0:
            return separators
    raise ValueError('JSON text does not end')
