"""Checks of a response's head that its parser does not make."""

import re

import h11

from chivehold.folded_lines import FOLDED_LINE_PROBLEM, has_folded_line

MAX_STATUS = 599
"""Largest status of the protocol (RFC 9110, 15); the parser accepts any of three digits."""

_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")


def head_problem(head: h11.Response, raw: bytes, is_first: bool) -> str:
    """Return why a head is refused, or an empty string if it is sound.

    Args:
        head: The parsed head.
        raw: Its bytes, after those of any interim responses (1xx).
        is_first: Whether it is the first one on its connection.
    """
    if head.status_code > MAX_STATUS:
        return f"status {head.status_code} is not in the protocol"
    if has_folded_line(raw):
        return FOLDED_LINE_PROBLEM
    if not is_first and _contains_status_line(head):
        return "head contains the beginning of another response"
    return ""


def _contains_status_line(head: h11.Response) -> bool:
    values = (head.reason, *(value for _, value in head.headers))
    return any(_STATUS_LINE.search(value) for value in values)
