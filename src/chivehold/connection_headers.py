"""Headers that apply to one connection only and are not passed on."""

from collections.abc import Callable, Sequence

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)
"""Headers that apply to one connection only; ``content-length`` is set again for each."""
_END_TO_END_HEADERS = frozenset((b"host", b"content-type", b"content-encoding", b"last-event-id"))


def hop_by_hop_headers(
    headers: Sequence[tuple[bytes, bytes]], is_end_to_end: Callable[[bytes], bool]
) -> frozenset[bytes]:
    """Return the names of the headers not to pass on, including those that ``Connection`` names.

    Headers that identify a request or describe its body are end-to-end even if they are named.

    Args:
        headers: Names in lower case.
        is_end_to_end: Returns whether a named header is passed on nevertheless.
    """
    named = {
        part.strip().lower()
        for name, value in headers
        if name == b"connection"
        for part in value.split(b",")
    }
    return HOP_BY_HOP_HEADERS | {
        name for name in named if name not in _END_TO_END_HEADERS and not is_end_to_end(name)
    }
