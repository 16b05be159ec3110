"""Encode and decode frames: a length prefix and one Cap'n Proto message.

The schema is ``wire.capnp``. Its field names are those of the dataclasses in
`messages` in camel case, so the codecs are derived from the type hints.

Example::

    raw = encode(Pull(after=7))
    assert decode(raw) == Pull(after=7)
"""

import dataclasses
import enum
import functools
import json
import pathlib
import types
import typing
from collections.abc import Callable, Mapping
from typing import Any, Final

import capnp

from ibismount import messages
from ibismount.errors import ErrorCode, IbismountError

__all__ = (
    'LENGTH_PREFIX_BYTES',
    'MAX_FRAME_BYTES',
    'add_length_prefix',
    'decode',
    'decode_body',
    'encode',
    'encode_body',
    'parse_body_length',
)

LENGTH_PREFIX_BYTES: Final = 4
MAX_FRAME_BYTES: Final = 4 * 1024 * 1024
# Twice the largest frame, in words of eight bytes. A hostile message can
# contain many pointers to the same bytes; every traversal counts.
_TRAVERSAL_WORDS: Final = 2 * MAX_FRAME_BYTES // 8
_ERROR_PLACE: Final = 'frame'

capnp.remove_import_hook()
_SCHEMA: Final = capnp.load(str(pathlib.Path(__file__).parent / 'wire.capnp'))


class _FieldCodec(typing.NamedTuple):
    """Write a Python value to a builder's field and convert a read value.

    Fields are set one by one, at about 1 us per item of a batch;
    ``new_message`` with nested dicts costs six times as much.
    """

    write: Callable[[Any, str, Any], None]
    read: Callable[[Any], Any]


class _StructCodec(typing.NamedTuple):
    """Fill the builder of a struct and read a struct."""

    fill: Callable[[Any, Any], None]
    read: Callable[[Any], Any]


def encode(message: messages.Message) -> bytes:
    """Encode a message as one frame.

    Raises:
        IbismountError: ``frame_too_large``, or ``frame_invalid`` when a
            value does not fit its field.
    """
    return add_length_prefix(encode_body(message))


def decode(raw: bytes) -> messages.Message:
    """Decode one complete frame.

    Raises:
        IbismountError: ``frame_truncated``, ``frame_too_large`` or
            ``frame_invalid``; the place is the byte offset or the field.
    """
    if len(raw) < LENGTH_PREFIX_BYTES:
        raise _truncated(len(raw), LENGTH_PREFIX_BYTES)
    end = LENGTH_PREFIX_BYTES + parse_body_length(raw[:LENGTH_PREFIX_BYTES])
    if len(raw) < end:
        raise _truncated(len(raw), end)
    if len(raw) > end:
        raise IbismountError(
            ErrorCode.FRAME_INVALID,
            f'{len(raw) - end} extra bytes after the end of the frame',
            place=f'{_ERROR_PLACE}[{end}]',
        )
    return decode_body(raw[LENGTH_PREFIX_BYTES:])


def add_length_prefix(body: bytes) -> bytes:
    """Prepend the length prefix to a frame's body."""
    if len(body) > MAX_FRAME_BYTES:
        raise _too_large(len(body))
    return len(body).to_bytes(LENGTH_PREFIX_BYTES, 'big') + body


def parse_body_length(prefix: bytes, *, limit: int = MAX_FRAME_BYTES) -> int:
    """Parse a length prefix and check it against the limit in bytes."""
    length = int.from_bytes(prefix, 'big')
    if length > limit:
        raise _too_large(length, limit)
    return length


def encode_body(message: messages.Message) -> bytes:
    """Encode a message as a frame body, without the length prefix."""
    field = _FIELD_BY_TYPE.get(type(message))
    if field is None:
        raise IbismountError(
            ErrorCode.FRAME_INVALID,
            f'{type(message).__name__} is not a message type of wire.capnp',
            place=_ERROR_PLACE,
        )
    try:
        builder = _SCHEMA.Frame.new_message()
        _CODEC_BY_FIELD[field].write(builder, field, message)
        body: bytes = builder.to_bytes()
    except Exception as exc:  # pycapnp raises KjException and many others
        raise _invalid(f'{_ERROR_PLACE}.{field}', exc) from exc
    if len(body) > MAX_FRAME_BYTES:
        raise _too_large(len(body))
    return body


def decode_body(body: bytes) -> messages.Message:
    """Decode a frame body, without the length prefix."""
    place = _ERROR_PLACE
    try:
        with _SCHEMA.Frame.from_bytes(
            body, traversal_limit_in_words=_TRAVERSAL_WORDS
        ) as reader:
            field = str(reader.which())
            place = f'{_ERROR_PLACE}.{field}'
            decoded: messages.Message = _CODEC_BY_FIELD[field].read(
                getattr(reader, field)
            )
    except Exception as exc:  # pycapnp raises KjException and many others
        raise _invalid(place, exc) from exc
    return decoded


def _truncated(size: int, expected: int) -> IbismountError:
    return IbismountError(
        ErrorCode.FRAME_TRUNCATED,
        f'the frame ends after {size} of {expected} bytes',
        place=f'{_ERROR_PLACE}[{size}]',
    )


def _too_large(length: int, limit: int = MAX_FRAME_BYTES) -> IbismountError:
    return IbismountError(
        ErrorCode.FRAME_TOO_LARGE,
        f'a body of {length} bytes exceeds the limit of {limit}',
        place=f'{_ERROR_PLACE}[0]',
    )


def _invalid(place: str, exc: Exception) -> IbismountError:
    # The lines after the first one are a C++ stack trace.
    reason = (str(exc).splitlines() or [''])[0]
    return IbismountError(
        ErrorCode.FRAME_INVALID,
        f'{type(exc).__name__}: {reason}',
        place=place,
    )


def _camel_case(name: str) -> str:
    head, *rest = name.split('_')
    return head + ''.join(part.title() for part in rest)


def _identity(value: Any) -> Any:
    return value


def _write_list(builder: Any, wire_name: str, items: tuple[Any, ...]) -> None:
    setattr(builder, wire_name, list(items))


def _write_json(builder: Any, wire_name: str, value: Mapping[str, Any]) -> None:
    setattr(
        builder, wire_name, json.dumps(value, separators=(',', ':')).encode()
    )


def _read_json(raw: bytes) -> dict[str, Any]:
    # Fields with an empty mapping are not written.
    return dict(json.loads(raw)) if raw else {}


def _field_codec(hint: Any) -> _FieldCodec:
    origin = typing.get_origin(hint)
    if origin is types.UnionType:
        return _field_codec(typing.get_args(hint)[0])
    if origin is tuple:
        return _list_field_codec(typing.get_args(hint)[0])
    if origin is Mapping:
        return _FieldCodec(_write_json, _read_json)
    if dataclasses.is_dataclass(hint):
        return _struct_field_codec(typing.cast(type, hint))
    if issubclass(hint, enum.StrEnum):
        return _FieldCodec(
            setattr, {str(member): member for member in hint}.__getitem__
        )
    return _FieldCodec(setattr, _identity)


def _list_field_codec(element: Any) -> _FieldCodec:
    if typing.get_origin(element) is tuple:
        fill, read = _pair_codec(element)
    elif dataclasses.is_dataclass(element):
        fill, read = _struct_codec(typing.cast(type, element))
    else:
        return _FieldCodec(_write_list, tuple)

    def write(builder: Any, wire_name: str, items: tuple[Any, ...]) -> None:
        for element_builder, element_value in zip(
            builder.init(wire_name, len(items)), items
        ):
            fill(element_builder, element_value)

    return _FieldCodec(
        write,
        lambda items: tuple([read(element_reader) for element_reader in items]),
    )


def _pair_codec(hint: Any) -> _StructCodec:
    if typing.get_args(hint)[0] is int:
        wire_names = ('version', 'count')
    else:
        wire_names = ('region', 'version')
    first, second = wire_names

    def fill(builder: Any, pair: tuple[Any, Any]) -> None:
        setattr(builder, first, pair[0])
        setattr(builder, second, pair[1])

    return _StructCodec(
        fill, lambda reader: (getattr(reader, first), getattr(reader, second))
    )


def _struct_field_codec(struct_type: type) -> _FieldCodec:
    fill, read = _struct_codec(struct_type)
    return _FieldCodec(
        lambda builder, wire_name, value: fill(builder.init(wire_name), value),
        read,
    )


@functools.cache
def _struct_codec(struct_type: type) -> _StructCodec:
    hints = typing.get_type_hints(struct_type)
    fields = [
        (field.name, _camel_case(field.name), hints[field.name])
        for field in dataclasses.fields(struct_type)
    ]
    writers = [
        (name, wire_name, _field_codec(hint).write)
        for name, wire_name, hint in fields
    ]
    readers = [
        (
            wire_name,
            _field_codec(hint).read,
            types.NoneType in typing.get_args(hint),
        )
        for name, wire_name, hint in fields
    ]

    def fill(builder: Any, value: Any) -> None:
        for name, wire_name, write in writers:
            field_value = getattr(value, name)
            # The schema's defaults (zero, empty, absent) need not be written.
            if field_value:
                write(builder, wire_name, field_value)

    def read(reader: Any) -> Any:
        return struct_type(
            *[
                None
                if optional and not reader._has(wire_name)
                else convert(getattr(reader, wire_name))
                for wire_name, convert, optional in readers
            ]
        )

    return _StructCodec(fill, read)


def _field_name(struct_type: type) -> str:
    return struct_type.__name__[0].lower() + struct_type.__name__[1:]


_FIELD_BY_TYPE: Final = {
    struct_type: _field_name(struct_type)
    for struct_type in typing.get_args(messages.Message)
}
_CODEC_BY_FIELD: Final = {
    field: _struct_field_codec(struct_type)
    for struct_type, field in _FIELD_BY_TYPE.items()
}
