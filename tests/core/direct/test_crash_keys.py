"""Keys of request content that may crash upstreams."""

from chivehold.core.direct.crash_keys import (
    MAX_PARTS,
    MAX_VALUE_LENGTH,
    KeyKind,
    prompt_part_keys,
    request_key,
)

HEADERS = [(b"x-chivehold-request-id", b"r1"), (b"authorization", b"Bearer a")]


class TestRequestKey:
    def test_same_content_under_another_id(self) -> None:
        """The id of an attempt is no part of the content."""
        again = [(b"x-chivehold-request-id", b"r2"), (b"authorization", b"Bearer a")]
        assert request_key(b"h", b"/a", HEADERS, b"x") == request_key(b"h", b"/a", again, b"x")

    def test_other_content(self) -> None:
        """Host, path, caller and body each make another key, and none runs into the next."""
        keys = {
            request_key(b"h", b"/a", HEADERS, b"x"),
            request_key(b"i", b"/a", HEADERS, b"x"),
            request_key(b"h", b"/b", HEADERS, b"x"),
            request_key(b"h", b"/a", [], b"x"),
            request_key(b"h", b"/a", HEADERS, b"y"),
            request_key(b"h/", b"a", HEADERS, b"x"),
            request_key(b"h", b"/ax", HEADERS, b""),
        }
        assert len(keys) == 7


class TestPromptPartKeys:
    def test_leaves_out_the_last_part(self) -> None:
        """The last part belongs to one request, and a part that comes twice has one key."""
        assert [key.value for key in prompt_part_keys(("a", "b", "a", "c"))] == ["a", "b"]
        assert prompt_part_keys(("a",)) == ()
        assert prompt_part_keys(()) == ()

    def test_is_bounded(self) -> None:
        """Many parts and long ids keep the keys small."""
        keys = prompt_part_keys(tuple(f"{n}" + "x" * 1_000 for n in range(100)))
        assert len(keys) == len(set(keys)) == MAX_PARTS
        assert all(len(key.value) <= MAX_VALUE_LENGTH for key in keys)
        assert {key.kind for key in keys} == {KeyKind.PROMPT_PART}
