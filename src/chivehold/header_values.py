"""Parsing and checks of header values that another program has written."""

import re
from collections.abc import Iterable

_COUNTS = re.compile(rb"\s*\d{1,6}\s*(?:,\s*\d{1,6}\s*)*")
_VISIBLE_ASCII = re.compile(r"[!-~]+")
MAX_NUMBER = 1e12


def parse_number(text: bytes | None) -> float | None:
    """Return a number that is not negative, or ``None`` if the text is absent or none."""
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < MAX_NUMBER else None


def parse_counts(text: bytes) -> tuple[int, ...] | None:
    """Return whole numbers of at most six digits, separated by commas, or ``None``."""
    return tuple(map(int, text.split(b","))) if _COUNTS.fullmatch(text) else None


def is_visible_ascii(text: str) -> bool:
    """Return whether a text can be sent as a token in a header or, quoted, in a path."""
    return _VISIBLE_ASCII.fullmatch(text) is not None


def joined_values(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the value of a header, ``None`` if it is absent; several values form a list."""
    values = [value for key, value in headers if key == name]
    return b", ".join(values) if values else None
