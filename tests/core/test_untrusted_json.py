"""Decoding of JSON that another process has written."""

import msgspec
import pytest

from chivehold.core.untrusted_json import decode_json

DEPTH = 1_500
"""More levels than the decoder goes down."""
NESTED = b"[" * DEPTH + b"]" * DEPTH


class TestDecodeJson:
    def test_value_of_the_type(self) -> None:
        """A text that matches the type is decoded."""
        assert decode_json(b'{"a": [1]}', dict[str, list[int]]) == {"a": [1]}

    # Guards against a RecursionError that no reader handles and that ends the process.
    @pytest.mark.parametrize(
        "text",
        [
            pytest.param(b'{"a": ' + NESTED + b"}", id="in a field of the type"),
            pytest.param(b'{"a": [1], "b": ' + NESTED + b"}", id="in an unknown field"),
        ],
    )
    def test_nested_too_deeply(self, text: bytes) -> None:
        """A value that is nested too deeply is malformed, wherever it stands."""
        with pytest.raises(msgspec.DecodeError):
            decode_json(text, dict[str, object])

    @pytest.mark.parametrize("text", [b"", b"{", b'{"a": "\xff"}', b'{"a": "\\ud83d"}', b"[1]"])
    def test_malformed(self, text: bytes) -> None:
        """Texts that are no JSON, no UTF-8 or of another type raise the same error."""
        with pytest.raises(msgspec.DecodeError):
            decode_json(text, dict[str, object])
