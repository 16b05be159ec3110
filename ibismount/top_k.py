"""Merge the records of several parts into the top k."""

import heapq
from collections.abc import Iterable, Iterator

__all__ = ('RECORD_BYTES', 'merge_top_k')

RECORD_BYTES = 16  # fixed size of a record, set by the backend servers


def merge_top_k(bodies: Iterable[bytes], top_k: int) -> bytes:
    """Return the greatest records of all parts, greatest first.

    Records are compared byte by byte; duplicates are kept. A trailing
    remainder shorter than a record is dropped.

    Args:
        bodies: Bodies of the parts.
        top_k: Maximum number of records to return.

    Returns:
        The concatenated records.

    Example::

        merge_top_k([b'a' * 16, b'b' * 16], 1)  # b'b' * 16
    """
    return b''.join(heapq.nlargest(top_k, _records(bodies)))


def _records(bodies: Iterable[bytes]) -> Iterator[bytes]:
    for body in bodies:
        end = len(body) - len(body) % RECORD_BYTES
        for start in range(0, end, RECORD_BYTES):
            yield body[start : start + RECORD_BYTES]
