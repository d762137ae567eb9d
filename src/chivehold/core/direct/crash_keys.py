"""What identifies the content of a request that may crash the upstreams which run it.

A request that crashes its upstream comes again under another id, and a part of a prompt that does
so comes in many prompts. So that such content is recognised, each request has a key of its own
content and a key for each part of its prompt that other prompts may share.
"""

from enum import StrEnum
from hashlib import blake2b
from typing import NamedTuple

from chivehold.core.direct.messages import RawHeaders

MAX_PARTS = 16
"""Parts of one prompt that get a key; the first ones, which are shared most."""
MAX_VALUE_LENGTH = 64
"""A longer id of a part is replaced by its digest."""
DIGEST_BYTES = 16
CREDENTIALS = frozenset((b"authorization", b"cookie", b"x-api-key"))
"""Headers that tell one caller from another and stay the same when a request is repeated."""


class KeyKind(StrEnum):
    """What a key identifies."""

    REQUEST = "request"
    """The path, caller and body of a request."""
    PROMPT_PART = "part"


class CrashKey(NamedTuple):
    """Identifies content that may crash upstreams."""

    kind: KeyKind
    value: str

    def __str__(self) -> str:
        return f"{self.kind}:{self.value}"


def request_key(
    host: bytes, target: bytes, headers: RawHeaders, body: bytes, organisation: str = ""
) -> CrashKey:
    """Return the key of a request's content, the same for each time that it is repeated.

    Args:
        host: The request's host.
        target: Its path and query.
        headers: Its headers, names in lower case.
        body: Its body.
        organisation: The name of the caller's organisation, which stands for its API key.
    """
    credentials = sorted((name, value) for name, value in headers if name in CREDENTIALS)
    fields = [host, target, *(part for header in credentials for part in header), body]
    if organisation:
        fields.append(organisation.encode())
    digest = blake2b(digest_size=DIGEST_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return CrashKey(KeyKind.REQUEST, digest.hexdigest())


def prompt_part_keys(parts: tuple[str, ...]) -> tuple[CrashKey, ...]:
    """Return the keys of the parts of a prompt, in order.

    The last part is left out: it belongs to one request, which has a key of its own.
    """
    shared = dict.fromkeys(parts[:-1][:MAX_PARTS])
    return tuple(CrashKey(KeyKind.PROMPT_PART, _bounded(part)) for part in shared)


def _bounded(value: str) -> str:
    if len(value) <= MAX_VALUE_LENGTH:
        return value
    return blake2b(value.encode(), digest_size=DIGEST_BYTES).hexdigest()
