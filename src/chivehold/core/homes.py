"""Selects the home of an idempotency key: the upstream whose sidecar stores its record."""

import hashlib
from collections.abc import Iterable

from chivehold.core.identity import KeyId, UpstreamName

SCORE_BYTES = 8
SEPARATOR = "\x00"


def key_home(key: KeyId, upstreams: Iterable[UpstreamName]) -> UpstreamName | None:
    """Return the upstream whose sidecar stores the key's record, by rendezvous hashing.

    The result depends only on names, so all entries agree regardless of which upstreams they can
    reach, and removing an upstream moves only its own keys.

    Args:
        key: The idempotency key.
        upstreams: All declared upstreams of the key's target, reachable or not.

    Returns:
        The home, or ``None`` if no upstream is declared.
    """
    return max(upstreams, key=lambda name: (_score(key, name), name), default=None)


def _score(key: KeyId, upstream: UpstreamName) -> bytes:
    text = SEPARATOR.join((key.organisation, key.target, key.key, upstream))
    return hashlib.blake2b(text.encode(), digest_size=SCORE_BYTES).digest()
