"""Folded lines in heads: lines that begin with a blank and that a parser joins to the one before.

They are obsolete (RFC 9112, 5.2), and peers differ in what they take them for: a part of the value
before, a field of its own, or the end of the head.
"""

import re

FOLDED_LINE_PROBLEM = "head has a line that begins with a blank"

_FOLDED_LINE = re.compile(rb"\n[ \t]")


def has_folded_line(raw_head: bytes) -> bool:
    """Return whether the bytes of a head contain a folded line."""
    return _FOLDED_LINE.search(raw_head) is not None
