"""The output of a stand-in engine: a function of the prompt, so that any reader can check it."""

import hashlib
import zlib

DIGEST_CHARS = 16


def prompt_digest(prompt: str) -> str:
    """Return the digest of a prompt that decides the output."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:DIGEST_CHARS]


def output_tokens(digest: str, first: int, end: int) -> tuple[str, ...]:
    """Return the tokens from offset ``first`` up to, not including, ``end``."""
    return tuple(
        f" {zlib.crc32(f'{digest}:{offset}'.encode()):08x}" for offset in range(first, end)
    )


def expected_tokens(prompt: str, count: int) -> tuple[str, ...]:
    """Return the whole output of a prompt with ``max_tokens`` of ``count``."""
    return output_tokens(prompt_digest(prompt), 0, count)
