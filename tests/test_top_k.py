"""Merge records of several parts into the top k."""

from hypothesis import given
from hypothesis import strategies as st

from ibismount.top_k import RECORD_BYTES, merge_top_k


@given(st.lists(st.binary(max_size=200), max_size=6), st.integers(0, 12))
def test_merge_equals_sorting_all_records(bodies, top_k):
    """Guards against dropped duplicates and counted partial records."""
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    expected = b''.join(sorted(records, reverse=True)[:top_k])
    assert merge_top_k(bodies, top_k) == expected
