"""Decoding of JSON with values of any shape."""

from typing import NotRequired, TypedDict

import msgspec
import pytest

from chivehold.core.lenient_json import decode_readable

UNREADABLE = rb'"caf\ud83d"'


class ItemJson(TypedDict):
    name: str
    value: NotRequired[msgspec.Raw]


class PageJson(TypedDict):
    items: list[ItemJson]
    revision: int


def decode(text: bytes) -> tuple[PageJson, list[msgspec.DecodeError]]:
    errors: list[msgspec.DecodeError] = []
    return decode_readable(text, PageJson, errors.append), errors


class TestDecodeReadable:
    def test_raw_value(self) -> None:
        """A value of any shape is kept as it is, beside its siblings."""
        page, errors = decode(
            b'{"items": [{"name": "a", "value": '
            + UNREADABLE
            + b'}, {"name": "b"}], "revision": 9}'
        )
        assert page == {
            "items": [{"name": "a", "value": msgspec.Raw(UNREADABLE)}, {"name": "b"}],
            "revision": 9,
        }
        assert errors == []

    @pytest.mark.parametrize("item", [b'{"name": ' + UNREADABLE + b"}", b"{}", UNREADABLE, b"7"])
    def test_element_without_a_name(self, item: bytes) -> None:
        """An element that lacks what it must have is left out and reported."""
        page, errors = decode(b'{"items": [' + item + b', {"name": "b"}], "revision": 9}')
        assert page == {"items": [{"name": "b"}], "revision": 9}
        assert len(errors) == 1

    @pytest.mark.parametrize(
        "text",
        [
            b"",
            b"[]",
            b'{"items": []}',
            b'{"items": 7, "revision": 9}',
            b'{"items": [], "revision": ' + UNREADABLE + b"}",
            b'{"items": [' + UNREADABLE + b', "revision": 9}',
        ],
    )
    def test_unreadable_text(self, text: bytes) -> None:
        """A text that lacks what it must have cannot be decoded."""
        with pytest.raises(msgspec.DecodeError):
            decode(text)
