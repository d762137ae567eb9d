"""Which software version began each stream, as far as this entry knows."""

from base64 import urlsafe_b64encode
from collections.abc import Collection, Iterator
from hashlib import blake2b
from typing import NamedTuple, NewType

OriginKey = NewType("OriginKey", str)
"""Identifies a stream by the request that began it."""

KEY_LENGTH = 12
"""Characters of a key."""
_DIGEST_BYTES = 9
MAX_ORIGINS = 2_000
"""Streams to remember; the oldest are forgotten first."""


class StreamOrigin(NamedTuple):
    """What began a stream."""

    service: str
    software: str
    """Version of the software of its first engine."""


class _Remembered(NamedTuple):
    origin: StreamOrigin
    until: float
    is_ambiguous: bool = False
    """Whether several streams with this key began at different versions."""


def origin_key(host: str, target: bytes, request_id: str, organisation: str = "") -> OriginKey:
    """Return the key of the stream that a request begins.

    Args:
        host: The request's host.
        target: Its path and query; a caller that resumes a stream repeats them.
        request_id: Its id.
        organisation: The name of its organisation, which may use the same ids as another; empty if
            there is none.
    """
    parts = [host.lower().encode(), target, request_id.encode()]
    if organisation:
        parts.append(organisation.encode())
    content = b"\0".join(parts)
    digest = blake2b(content, digest_size=_DIGEST_BYTES).digest()
    return OriginKey(urlsafe_b64encode(digest).decode())


class StreamOrigins:
    """Remembers the origins of streams for as long as they can go on."""

    def __init__(self) -> None:
        self._remembered: dict[OriginKey, _Remembered] = {}

    def __len__(self) -> int:
        return len(self._remembered)

    def record(
        self, key: OriginKey, origin: StreamOrigin, until: float, before: StreamOrigin | None = None
    ) -> None:
        """Record the origin of a stream that begins.

        Args:
            key: The stream.
            origin: What begins it.
            until: When it can no longer go on, in seconds of the monotonic clock.
            before: What was recorded by an earlier attempt at the same request, which brought no
                event. Any other origin under this key is that of another stream, so that from then
                on the origin is not known.
        """
        known = self._remembered.pop(key, None)
        others = known is not None and known.origin not in (origin, before)
        is_ambiguous = known is not None and (others or known.is_ambiguous)
        self._remembered[key] = _Remembered(origin, until, is_ambiguous)
        if len(self._remembered) > MAX_ORIGINS:
            del self._remembered[next(iter(self._remembered))]

    def find(self, key: OriginKey, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, or ``None`` if it is not known."""
        known = self._remembered.get(key)
        if known is None or known.is_ambiguous or now >= known.until:
            return None
        return known.origin

    def of_services(
        self, services: Collection[str], now: float
    ) -> Iterator[tuple[OriginKey, StreamOrigin]]:
        """Yield the streams of these services that can go on, and forget those that cannot."""
        self._remembered = {
            key: known for key, known in self._remembered.items() if now < known.until
        }
        for key, known in self._remembered.items():
            if known.origin.service in services and not known.is_ambiguous:
                yield key, known.origin
