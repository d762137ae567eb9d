"""Checks of the heads of requests and responses that their parser does not make."""

import re

import h11

MAX_STATUS = 599
"""Largest status of the protocol (RFC 9110, 15); the parser accepts any of three digits."""

_FOLDED_LINE = re.compile(rb"\n[ \t]")
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")


def folded_line_problem(raw: bytes) -> str:
    """Return a problem if a line of a head begins with a blank, else an empty string.

    The parser joins such a line to the value before it. They are obsolete (RFC 9112, 5.2), and
    other peers take them for fields of their own, such as a length, or for the end of the head.

    Args:
        raw: The bytes of the head; those of others may come before them.
    """
    return "head has a line that begins with a blank" if _FOLDED_LINE.search(raw) else ""


def response_problem(head: h11.Response, raw: bytes, is_first: bool) -> str:
    """Return why the head of a response is refused, or an empty string if it is sound.

    Args:
        head: The parsed head.
        raw: Its bytes; those of interim responses (1xx) come before them.
        is_first: Whether it is the first response on its connection.
    """
    if head.status_code > MAX_STATUS:
        return f"status {head.status_code} is not in the protocol"
    if not is_first and _contains_status_line(head):
        return "head contains the beginning of another response"
    return folded_line_problem(raw)


def _contains_status_line(head: h11.Response) -> bool:
    values = (head.reason, *(value for _, value in head.headers))
    return any(_STATUS_LINE.search(value) for value in values)
