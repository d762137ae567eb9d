"""Decoding of JSON written by another process, which may be of any shape."""

from typing import TypeVar

import msgspec

ValueT = TypeVar("ValueT")


def decode_json(text: bytes | str, schema: type[ValueT]) -> ValueT:
    """Decode a JSON text into a value of a type.

    Raises:
        msgspec.DecodeError: The text is no JSON, is not UTF-8, is nested too deeply for the decoder
            or does not match the type.
    """
    try:
        return msgspec.json.decode(text, type=schema)
    except (UnicodeDecodeError, RecursionError) as error:
        raise msgspec.DecodeError(str(error)) from error
