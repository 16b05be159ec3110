"""Tests that an object that can't be decoded costs only itself."""

import json

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ibismount.platform.documents import DocumentError, decode_server
from ibismount.platform.json_split import split_array, split_object
from ibismount.platform.store_pages import (
    UNREADABLE,
    PageError,
    decode_events,
    decode_list,
)

FUZZ = settings(max_examples=200, derandomize=True, deadline=None)
UNREADABLE_SPECS = [
    b'{"version":"\\ud83d"}',
    b'{"version":"caf\xe9"}',
    b'{"max-concurrency":1e999}',
    b'[' * 5000 + b']' * 5000,
    b'{"version":' * 100_000 + b'1' + b'}' * 100_000,
    b'{"a":}',
]
ENTRY = {
    'backend': 's1',
    'address': '10.0.0.9:8080',
    'zone': 'z1',
    'version': 'v1',
    'max-concurrency': 4,
    'state': 'ready',
    'cold-remaining-ms': 0,
    'sequence': 4,
    'born': 1700000000000,
}


def encode_object(name, spec):
    meta = b'{"name":"%b","revision":7,"finalizers":["]"]}' % name
    return b'{"meta":%b,"spec":%b,"status":null}' % (meta, spec)


@pytest.mark.parametrize('spec', UNREADABLE_SPECS)
def test_unreadable_object_costs_only_itself_in_a_list(spec):
    """The whole list failed, so no new process ever had a view."""
    items = b','.join(
        (
            encode_object(b'a', b'{"x":"],}"}'),
            encode_object(b'b', spec),
            encode_object(b'c', b'{"y":[1,{"z":2}]}'),
        )
    )
    page = decode_list(
        b'{"items":[%b],"has-more":true,"store-revision":9}' % items
    )
    assert [stored.meta.name for stored in page.items] == ['a', 'b', 'c']
    assert [stored.spec for stored in page.items] == [
        {'x': '],}'},
        UNREADABLE,
        {'y': [1, {'z': 2}]},
    ]
    assert page.has_more
    assert page.store_revision == 9


@pytest.mark.parametrize('spec', UNREADABLE_SPECS)
def test_unreadable_object_costs_only_itself_in_a_watch(spec):
    """A node heard of no later change, as the watch failed again and again."""
    events = b','.join(
        (
            b'{"object":%b,"deleted":true}' % encode_object(b'a', b'{}'),
            b'{"object":%b}' % encode_object(b'b', spec),
        )
    )
    page = decode_events(b'{"events":[%b],"store-revision":9}' % events)
    first, second = page.events
    assert (first.object.meta.name, first.deleted) == ('a', True)
    assert (second.object.meta.name, second.deleted) == ('b', False)
    assert second.object.spec is UNREADABLE
    assert second.object.meta.revision == 7


def test_unreadable_status_does_not_matter():
    """Only the content of an object is used."""
    raw = b'{"meta":{"name":"a"},"spec":{"x":1},"status":"\\ud83d"}'
    page = decode_list(b'{"items":[%b],"store-revision":9}' % raw)
    assert page.items[0].spec == {'x': 1}


@pytest.mark.parametrize(
    'raw',
    [
        b'',
        b'"\\ud83d"',
        b'{"items":[',
        b'{"items":["\\ud83d"]}',
        b'{"items":"\\ud83d","store-revision":1}',
        b'{"store-revision":1,"x":"\\ud83d"}',
        b'{"items":["\\ud83d"],"store-revision":1e999}',
    ],
)
def test_what_is_no_page_is_an_error(raw):
    """A cut answer must not count as an empty list."""
    with pytest.raises(PageError):
        decode_list(raw)


@FUZZ
@given(st.binary())
def test_any_bytes_are_a_page_or_an_error(raw):
    """Bytes that are no JSON text must not end the task of a watch."""
    for text in (raw, b'{"items":[%b],"store-revision":1}' % raw):
        try:
            decode_list(text)
        except PageError:
            continue


VALUES = st.recursive(
    st.none() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)


@FUZZ
@given(st.lists(VALUES))
def test_split_array_returns_what_a_decoder_returns(elements):
    """Guards against splitting inside of strings or nested values."""
    raw = json.dumps(elements).encode()
    assert [json.loads(member) for member in split_array(raw)] == elements


@FUZZ
@given(st.dictionaries(st.text('abc-é'), VALUES))
def test_split_object_returns_what_a_decoder_returns(members):
    """Guards against losing members or taking a nested key for one."""
    raw = msgspec.json.encode(members)
    assert {
        key: json.loads(member) for key, member in split_object(raw).items()
    } == members


@pytest.mark.parametrize(
    'field',
    [
        {'address': '10.0.0.9:0'},
        {'address': '10.0.0.9:65536'},
        {'born': 2**63},
        {'born': -1},
        {'max-concurrency': 2**64},
    ],
)
def test_numbers_out_of_range_make_an_entry_invalid(field):
    """Such an entry ended the task that should have sent it to other nodes."""
    with pytest.raises(DocumentError):
        decode_server('i-1', 7, {**ENTRY, **field})
    assert decode_server('i-1', 7, ENTRY).port == 8080
