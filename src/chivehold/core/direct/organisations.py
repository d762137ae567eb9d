"""Organisations: which one a caller belongs to, how urgent its requests are, and its quota."""

from collections.abc import Iterable, Sequence
from enum import StrEnum
from hashlib import blake2b
from typing import NamedTuple, NewType

KeyDigest = NewType("KeyDigest", bytes)
"""Digest of an API key; the key itself is kept nowhere."""

MAX_KEY_BYTES = 512
"""A longer key belongs to no organisation."""
_DIGEST_BYTES = 16


class KeyFault(StrEnum):
    """Why a request's API key identifies no organisation."""

    MISSING = "missing"
    REPEATED = "repeated"
    """The request has several keys, so that it is not certain who sent it."""
    UNUSABLE = "unusable"
    """The key is empty or too long."""
    UNKNOWN = "unknown"
    """No organisation holds the key."""


ApiKey = KeyDigest | KeyFault
"""The digest of a request's only API key, or why there is none."""


class QuotaUnit(StrEnum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class Quota(NamedTuple):
    """A limit on what an organisation uses, over all entries together."""

    rate: float
    """Units per second."""
    burst: float
    """Units that may be used at once after a pause."""
    unit: QuotaUnit = QuotaUnit.REQUESTS
    default_tokens: int = 0
    """Cost in tokens of a request that states no number of tokens."""

    def cost(self, tokens: int) -> float:
        """Return the cost of a request.

        Args:
            tokens: Prompt tokens and maximum output tokens; 0 if the request does not state them.
        """
        if self.unit is QuotaUnit.REQUESTS:
            return 1.0
        return float(tokens or self.default_tokens)


class Organisation(NamedTuple):
    """An organisation whose callers identify themselves by API keys."""

    name: str
    key_digests: frozenset[KeyDigest]
    priority: int | None = None
    """Priority of its requests, before that of the route; 0 is the most urgent."""
    quota: Quota | None = None
    """``None`` if its use is not limited."""


class OrganisationIndex:
    """Finds the organisation of an API key.

    Args:
        organisations: The organisations of the active configuration. No two hold the same key.
    """

    def __init__(self, organisations: Iterable[Organisation]) -> None:
        self._by_digest = {
            digest: organisation
            for organisation in organisations
            for digest in organisation.key_digests
        }

    def identify(self, key: ApiKey) -> Organisation | KeyFault:
        """Return the organisation that holds a key, or why none is identified."""
        if isinstance(key, KeyFault):
            return key
        return self._by_digest.get(key, KeyFault.UNKNOWN)


def digest_key(key: bytes) -> KeyDigest | None:
    """Return the digest of an API key, or ``None`` if the text can be none."""
    if not 0 < len(key) <= MAX_KEY_BYTES:
        return None
    return KeyDigest(blake2b(key, digest_size=_DIGEST_BYTES).digest())


def read_api_key(values: Sequence[bytes]) -> ApiKey:
    """Return the API key of a request.

    Args:
        values: The values of all headers that carry a key.
    """
    if not values:
        return KeyFault.MISSING
    if len(values) > 1:
        return KeyFault.REPEATED
    return digest_key(values[0]) or KeyFault.UNUSABLE
