"""The home of an idempotency key, by rendezvous hash over the declared upstreams."""

import hashlib
from collections.abc import Iterable

from chivehold.core.identity import KeyId, UpstreamName

SCORE_BYTES = 8
SEPARATOR = "\x00"


def key_home(key: KeyId, upstreams: Iterable[UpstreamName]) -> UpstreamName | None:
    """Return the upstream whose sidecar keeps the key's record.

    The choice depends on names alone, so that all entries agree whatever each can reach, and
    only the keys of a removed upstream move.

    Args:
        key: The idempotency key.
        upstreams: Every declared upstream of the key's target, live or not.

    Returns:
        The home, or ``None`` where no upstream is declared.
    """
    return max(upstreams, key=lambda name: (_score(key, name), name), default=None)


def _score(key: KeyId, upstream: UpstreamName) -> bytes:
    text = SEPARATOR.join((key.organisation, key.target, key.key, upstream))
    return hashlib.blake2b(text.encode(), digest_size=SCORE_BYTES).digest()
