"""Decoding of JSON in which single values may be of any shape.

A decoder refuses a whole text for one value that it cannot read. Where a text holds objects of many
writers, the others must still be read.
"""

from collections.abc import Callable, Iterator
from typing import Any, get_args, get_origin, get_type_hints, is_typeddict

import msgspec

from chivehold.core.json_parts import array_elements, object_members
from chivehold.core.untrusted_json import ValueT, decode_json

ErrorHandler = Callable[[msgspec.DecodeError], None]


def decode_readable(text: bytes, schema: type[ValueT], on_unreadable: ErrorHandler) -> ValueT:
    """Decode a JSON text; elements of arrays that cannot be decoded are left out.

    Args:
        text: The text.
        schema: A type that ``msgspec`` decodes. Values of the type ``msgspec.Raw`` in a
            ``TypedDict`` may be of any shape.
        on_unreadable: Called for each element that is left out.

    Raises:
        msgspec.DecodeError: The text cannot be decoded, not even without such elements.
    """
    try:
        return decode_json(text, schema)
    except msgspec.DecodeError as error:
        decoded: ValueT = _decode_parts(text, schema, on_unreadable, error)
        return decoded


def _decode_parts(text: bytes, schema: Any, on_unreadable: ErrorHandler, error: Exception) -> Any:
    if schema is msgspec.Raw:
        return msgspec.Raw(text)
    if is_typeddict(schema):
        return dict(_decode_members(text, schema, on_unreadable))
    if get_origin(schema) is list:
        (element_schema,) = get_args(schema)
        return list(_decode_elements(text, element_schema, on_unreadable))
    raise error


def _decode_members(
    text: bytes, schema: Any, on_unreadable: ErrorHandler
) -> Iterator[tuple[str, object]]:
    members = object_members(text)
    if missing := schema.__required_keys__ - members.keys():
        raise msgspec.DecodeError(f"an object lacks {', '.join(sorted(missing))}")
    for name, member_schema in get_type_hints(schema).items():
        if name in members:
            yield name, decode_readable(members[name], member_schema, on_unreadable)


def _decode_elements(text: bytes, schema: Any, on_unreadable: ErrorHandler) -> Iterator[object]:
    for element in array_elements(text):
        try:
            yield decode_readable(element, schema, on_unreadable)
        except msgspec.DecodeError as error:
            on_unreadable(error)
