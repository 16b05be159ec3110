"""Frames survive a round trip, and invalid input raises an error code."""

import dataclasses
import enum
import random
import types
import typing
from collections.abc import Mapping

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ibismount import frame, messages
from ibismount.errors import ErrorCode, IbismountError

_INTEGERS = st.integers(0, 2**31 - 1)


def strategy_for(hint):
    if typing.get_origin(hint) is types.UnionType:
        return st.none() | strategy_for(typing.get_args(hint)[0])
    if typing.get_origin(hint) is tuple:
        element = typing.get_args(hint)[0]
        if typing.get_origin(element) is tuple:
            pair = map(strategy_for, typing.get_args(element))
            return st.lists(st.tuples(*pair), max_size=3).map(tuple)
        return st.lists(strategy_for(element), max_size=3).map(tuple)
    if typing.get_origin(hint) is Mapping:
        return st.dictionaries(st.text(max_size=5), _INTEGERS, max_size=3)
    if dataclasses.is_dataclass(hint):
        return st.builds(
            hint,
            **{
                name: strategy_for(field)
                for name, field in typing.get_type_hints(hint).items()
            },
        )
    if issubclass(hint, enum.Enum):
        return st.sampled_from(hint)
    return {
        bool: st.booleans(),
        int: _INTEGERS,
        float: st.floats(allow_nan=False),
        bytes: st.binary(max_size=20),
        str: st.text(
            st.characters(exclude_categories=['Cs'], exclude_characters='\0'),
            max_size=8,
        ),
    }[hint]


@pytest.mark.parametrize(
    'message_type',
    typing.get_args(messages.Message),
    ids=lambda message_type: message_type.__name__,
)
def test_every_message_survives_a_round_trip(message_type):
    """Guards against a field that the schema lacks, drops or confuses."""

    @settings(max_examples=25, derandomize=True, deadline=None, database=None)
    @given(strategy_for(message_type))
    def check(message):
        assert frame.decode(frame.encode(message)) == message

    check()


def decode_error_code(raw):
    with pytest.raises(IbismountError) as caught:
        frame.decode(raw)
    assert caught.value.place.startswith('frame')
    return caught.value.code


def test_bad_frames_give_an_error_code():
    """Guards against a crash or a wrong code on invalid network input."""
    good = frame.encode(messages.Pull(after=3))
    unknown = bytearray(good)
    # Length, segment table and root pointer come before the union's tag.
    unknown[4 + 8 + 8] = 99
    size = (frame.MAX_FRAME_BYTES + 1).to_bytes(4, 'big')
    assert decode_error_code(good[:-1]) is ErrorCode.FRAME_TRUNCATED
    assert decode_error_code(b'\0\0') is ErrorCode.FRAME_TRUNCATED
    assert decode_error_code(size) is ErrorCode.FRAME_TOO_LARGE
    assert decode_error_code(good + b'x') is ErrorCode.FRAME_INVALID
    assert decode_error_code(bytes(unknown)) is ErrorCode.FRAME_INVALID
    assert (
        decode_error_code(frame.add_length_prefix(b''))
        is ErrorCode.FRAME_INVALID
    )


def test_unencodable_messages_are_refused():
    """Guards against an oversized or invalid message that breaks a link."""
    cases = {
        ErrorCode.FRAME_TOO_LARGE: messages.JournalReply(
            1, bytes(frame.MAX_FRAME_BYTES)
        ),
        ErrorCode.FRAME_INVALID: messages.Pull(after=-1),
    }
    for code, message in cases.items():
        with pytest.raises(IbismountError) as caught:
            frame.encode(message)
        assert caught.value.code is code


def test_damaged_frames_raise_only_frame_invalid():
    """Guards against an uncaught library error on a corrupted frame."""
    rng = random.Random(7)
    item = messages.ItemReply(
        1, messages.ItemStatus.ANSWERED, 's1', b'{"a": 1}'
    )
    good = frame.encode(messages.BatchReply('a-1', (item,) * 4, final=True))
    for _ in range(3000):
        raw = bytearray(good)
        for _ in range(rng.randint(1, 6)):
            raw[rng.randrange(4, len(raw))] = rng.randrange(256)
        try:
            frame.decode(bytes(raw))
        except IbismountError as exc:
            assert exc.code is ErrorCode.FRAME_INVALID
