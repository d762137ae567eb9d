"""Parses callers' headers: idempotency key, traffic class, organisation and deadline."""

import math
import re
import time
import uuid
from collections.abc import Callable
from typing import Annotated, NamedTuple

import msgspec

from chivehold.asgi import Scope
from chivehold.core.identity import Organisation
from chivehold.exceptions import Malformed

DEFAULT_ORGANISATION = Organisation("default")
MAX_CLOCK_SKEW_S = 60.0
MS_PER_S = 1000.0
UUID7_TIMESTAMP_SHIFT = 80
UUID7_VERSION = 7

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,126}")
_KEY = re.compile(r"[!-~]{1,128}")
_FLAGS = {"true": True, "false": False}
_POSITIVE_SECONDS = Annotated[float, msgspec.Meta(gt=0)]


class CallerHeaders(NamedTuple):
    """The validated headers of a caller's request."""

    organisation: Organisation
    traffic_class: str
    """Empty for the target's default class."""
    key: str
    """The idempotency key; empty where none is given."""
    first_sent_ago_s: float
    idempotent: bool | None
    deadline_in_s: float | None


class HeaderBounds(NamedTuple):
    """Limits on what callers may request."""

    max_deadline_s: float
    key_retention_s: float
    """Keys first sent longer ago are rejected: their answers may have been forgotten."""


def read_headers(
    scope: Scope, bounds: HeaderBounds, wall_clock: Callable[[], float] = time.time
) -> CallerHeaders:
    """Parse and validate the headers of a request.

    Args:
        scope: The ASGI scope.
        bounds: Limits on what the caller may request.
        wall_clock: Returns Unix time in seconds; keys carry the time when they were first sent.

    Raises:
        Malformed: A header is invalid, out of bounds or given twice.
    """
    organisation = _read_text(scope, "Chivehold-Organisation", _NAME) or DEFAULT_ORGANISATION
    key = _read_text(scope, "Idempotency-Key", _KEY)
    first_sent_ago_s = _first_sent_ago_s(scope, key, bounds, wall_clock()) if key else 0.0
    return CallerHeaders(
        organisation=Organisation(organisation),
        traffic_class=_read_text(scope, "Chivehold-Class", _NAME),
        key=key,
        first_sent_ago_s=first_sent_ago_s,
        idempotent=_read_flag(scope, "Chivehold-Idempotent"),
        deadline_in_s=_read_deadline(scope, bounds.max_deadline_s),
    )


def _first_sent_ago_s(scope: Scope, key: str, bounds: HeaderBounds, now_s: float) -> float:
    sent_ms = _read_number(scope, "Chivehold-First-Sent", "Unix time in milliseconds")
    if sent_ms is None:
        sent_ms = _uuid7_ms(key)
    if sent_ms is None:
        expected = "a UUIDv7, or Chivehold-First-Sent beside it"
        raise _malformed("Idempotency-Key", expected)
    age_s = now_s - sent_ms / MS_PER_S
    if age_s < -MAX_CLOCK_SKEW_S:
        raise _malformed("Idempotency-Key", "a first sending that is not in the future")
    if age_s > bounds.key_retention_s:
        expected = f"a first sending at most {bounds.key_retention_s:g} s ago"
        raise _malformed("Idempotency-Key", expected)
    return max(0.0, age_s)


def _uuid7_ms(key: str) -> int | None:
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    return value.int >> UUID7_TIMESTAMP_SHIFT if value.version == UUID7_VERSION else None


def _read_deadline(scope: Scope, max_s: float) -> float | None:
    deadline_s = _read_number(scope, "Chivehold-Deadline", "seconds above 0")
    return None if deadline_s is None else min(deadline_s, max_s)


def _read_flag(scope: Scope, name: str) -> bool | None:
    text = _single_value(scope, name)
    if text is None:
        return None
    if text.lower() not in _FLAGS:
        raise _malformed(name, "true or false")
    return _FLAGS[text.lower()]


def _read_number(scope: Scope, name: str, expected: str) -> float | None:
    text = _single_value(scope, name)
    if text is None:
        return None
    try:
        value = msgspec.convert(text, _POSITIVE_SECONDS, strict=False)
    except msgspec.ValidationError as error:
        raise _malformed(name, expected) from error
    if not math.isfinite(value):
        raise _malformed(name, expected)
    return value


def _read_text(scope: Scope, name: str, allowed: re.Pattern[str]) -> str:
    text = _single_value(scope, name)
    if text is None:
        return ""
    if not allowed.fullmatch(text):
        raise _malformed(name, f"text of the form {allowed.pattern}")
    return text


def _single_value(scope: Scope, name: str) -> str | None:
    header_key = name.lower().encode("ascii")
    values = [bytes(value) for key, value in scope["headers"] if key == header_key]
    if len(values) > 1:
        raise _malformed(name, "at most one value")
    return values[0].decode("latin-1") if values else None


def _malformed(name: str, expected: str) -> Malformed:
    return Malformed(f"read header {name}", "caller", f"expected {expected}")
