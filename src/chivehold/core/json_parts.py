"""Splits JSON texts into the texts of their parts, without decoding those.

A decoder refuses a whole text for one value that it cannot read: one that is nested too deeply, or
a string that is not valid Unicode. Splitting the text does not look into such values.
"""

import re
from collections.abc import Iterator, Mapping

import msgspec

from chivehold.core.untrusted_json import decode_json

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[{]+|[\]}]+|,|"', re.DOTALL)
"""A string, a run of brackets that open or close values, a comma, or a quote without an end."""
_MEMBER = re.compile(rb'\s*("(?:[^"\\]|\\.)*+")\s*:\s*(.*)', re.DOTALL)


def array_elements(text: bytes) -> list[bytes]:
    """Return the texts of the elements of an array.

    Raises:
        msgspec.DecodeError: The text is no array.
    """
    return list(_parts(text, b"[", b"]"))


def object_members(text: bytes) -> Mapping[str, bytes]:
    """Return the texts of the values of an object by their names.

    Members whose name cannot be decoded are left out.

    Raises:
        msgspec.DecodeError: The text is no object.
    """
    return dict(_members(text))


def _members(text: bytes) -> Iterator[tuple[str, bytes]]:
    for part in _parts(text, b"{", b"}"):
        member = _MEMBER.fullmatch(part)
        if member is None:
            raise msgspec.DecodeError("an object has a part without a name")
        try:
            name = decode_json(member[1], str)
        except msgspec.DecodeError:
            continue
        yield name, member[2].rstrip()


def _parts(text: bytes, opening: bytes, closing: bytes) -> Iterator[bytes]:
    """Yield the texts between the commas of the outermost value."""
    text = text.strip()
    if not text.startswith(opening) or not text.endswith(closing):
        raise msgspec.DecodeError(f"expected a value in {(opening + closing).decode()}")
    start = 1
    depth = 0
    for token in _TOKEN.finditer(text):
        mark = token[0]
        if mark[0] in b"[{":
            depth += len(mark)
        elif mark[0] in b"]}":
            depth -= len(mark)
        elif mark == b"," and depth == 1:
            yield text[start : token.start()].strip()
            start = token.end()
        elif mark == b'"':
            raise msgspec.DecodeError("a string does not end")
    if depth != 0:
        raise msgspec.DecodeError("a value does not end")
    last = text[start:-1].strip()
    if last:
        yield last
