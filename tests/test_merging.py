"""The merger accepts one complete answer per shard of one snapshot."""

import itertools
import json

from hypothesis import given, settings
from hypothesis import strategies as st

from ibismount.merging import MergeOutcome, ResultMerger
from ibismount.messages import ItemReply, ItemStatus


def body(*pairs):
    return json.dumps(
        {'results': [{'id': key, 'score': score} for key, score in pairs]}
    ).encode()


def answer(index, *pairs, snapshot='s1', raw=None):
    return ItemReply(index, ItemStatus.ANSWERED, snapshot, raw or body(*pairs))


def make_merge(*shards):
    merge = ResultMerger('s1', shards)
    for index, shard in enumerate(shards):
        merge.expect('a1', index, shard)
    return merge


def test_foreign_duplicate_and_truncated_replies_do_not_count():
    """Guards against truncated answers and other attempts or snapshots."""
    merge = make_merge('x', 'y', 'z')
    complete_body = body(('d', 1))
    assert merge.add('a0', answer(0, ('d', 1))) is MergeOutcome.IGNORED
    assert merge.add('a1', answer(7, ('d', 1))) is MergeOutcome.IGNORED
    other_snapshot = answer(0, ('d', 1), snapshot='s0')
    assert merge.add('a1', other_snapshot) is MergeOutcome.NOT_ANSWERED
    truncated = answer(1, raw=complete_body[:-1])
    assert merge.add('a1', truncated) is MergeOutcome.NOT_ANSWERED
    assert merge.add('a1', answer(2, ('d', 1))) is MergeOutcome.ACCEPTED
    assert merge.add('a1', answer(2, ('e', 2))) is MergeOutcome.IGNORED
    coverage = merge.coverage()
    assert (coverage.asked, coverage.answered) == (3, 1)
    assert set(coverage.missing) == {'x', 'y'}
    assert [result.id for result in merge.page(0, 9)[0]] == ['d']


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.permutations(range(4)), st.integers(1, 5))
def test_pages_do_not_depend_on_the_order_of_arrival(order, size):
    """Guards against pages that repeat or skip results with equal scores."""
    documents = [[(f'd{s}{n}', n % 2) for n in range(3)] for s in range(4)]
    merge = make_merge('s0', 's1', 's2', 's3')
    for index in order:
        merge.add('a1', answer(index, *documents[index]))
    expected = sorted(
        itertools.chain.from_iterable(documents),
        key=lambda pair: (-pair[1], pair[0]),
    )
    paged_results, more, position = [], True, 0
    while more:
        page, more = merge.page(position, size)
        paged_results.extend((result.id, result.score) for result in page)
        position += size
    assert paged_results == expected
