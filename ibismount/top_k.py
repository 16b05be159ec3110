"""Merge the records of several parts into one answer."""

import heapq
from collections.abc import Iterable, Iterator

__all__ = ('RECORD_BYTES', 'merge_top_k')

RECORD_BYTES = 16  # fixed size of a record, set by the backend servers


def merge_top_k(parts: Iterable[bytes], top_k: int) -> bytes:
    """Return the greatest records of all parts, greatest first.

    Records are compared byte by byte and equal ones all count. A remainder
    shorter than a record is dropped.

    Args:
        parts: Bodies of the parts.
        top_k: Most records to return.

    Returns:
        The records, one after the other.

    Example::

        merge_top_k([b'a' * 16, b'b' * 16], 1)  # b'b' * 16
    """
    return b''.join(heapq.nlargest(top_k, _records(parts)))


def _records(parts: Iterable[bytes]) -> Iterator[bytes]:
    for body in parts:
        whole = len(body) - len(body) % RECORD_BYTES
        for start in range(0, whole, RECORD_BYTES):
            yield body[start : start + RECORD_BYTES]
