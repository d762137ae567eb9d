"""The output of a stand-in engine, derived from the prompt so that any reader can verify it."""

import hashlib
import zlib

DIGEST_CHARS = 16


def prompt_digest(prompt: str) -> str:
    """Return the digest of a prompt, from which its output is derived."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:DIGEST_CHARS]


def output_tokens(digest: str, first: int, end: int) -> tuple[str, ...]:
    """Return the tokens from offset ``first`` up to but not including ``end``."""
    return tuple(
        f" {zlib.crc32(f'{digest}:{offset}'.encode()):08x}" for offset in range(first, end)
    )


def expected_tokens(prompt: str, count: int) -> tuple[str, ...]:
    """Return the complete output of a prompt whose ``max_tokens`` is ``count``."""
    return output_tokens(prompt_digest(prompt), 0, count)
