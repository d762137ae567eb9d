"""Splitting of JSON texts into the texts of their parts."""

import json

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chivehold.core.json_parts import array_elements, object_members

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(st.characters(codec="utf-8")),
    lambda parts: st.lists(parts) | st.dictionaries(st.text(), parts),
)
INDENTS = st.sampled_from((None, 2))
DEPTH = 100_000
NESTED = b"[" * DEPTH + b"]" * DEPTH
LONE_SURROGATE = rb'"caf\ud83d"'


class TestParts:
    @settings(derandomize=True)
    @given(st.lists(VALUES), INDENTS, st.booleans())
    def test_elements(self, values: list[object], indent: int | None, ascii_only: bool) -> None:
        """The elements of an array are those that a decoder finds."""
        text = json.dumps(values, indent=indent, ensure_ascii=ascii_only).encode()
        assert [json.loads(part) for part in array_elements(text)] == values

    @settings(derandomize=True)
    @given(st.dictionaries(st.text(), VALUES), INDENTS)
    def test_members(self, values: dict[str, object], indent: int | None) -> None:
        """The members of an object are those that a decoder finds."""
        text = json.dumps(values, indent=indent).encode("utf-8", "surrogatepass")
        parts = object_members(text)
        assert {name: json.loads(part) for name, part in parts.items()} == values

    @pytest.mark.parametrize("value", [NESTED, LONE_SURROGATE, b'"\xff"', rb'"]},\"[{"'])
    def test_values_that_no_decoder_accepts(self, value: bytes) -> None:
        """Values are not looked into."""
        assert object_members(b'{"a": 1, "b": ' + value + b', "c" : [2]}') == {
            "a": b"1",
            "b": value,
            "c": b"[2]",
        }
        assert array_elements(b"[" + value + b" , 2]") == [value, b"2"]

    @pytest.mark.parametrize("text", [b"", b"[", b"{", b"{}", b"[[]", b"1", b'["]', b"null"])
    def test_no_array(self, text: bytes) -> None:
        """A text that is no array, or that ends too early, is refused."""
        with pytest.raises(msgspec.DecodeError):
            array_elements(text)

    @pytest.mark.parametrize("text", [b"", b"[]", b'{"a"}', b"{1: 2}", b'{"a": {}', b"null"])
    def test_no_object(self, text: bytes) -> None:
        """A text that is no object, or that ends too early, is refused."""
        with pytest.raises(msgspec.DecodeError):
            object_members(text)
