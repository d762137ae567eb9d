"""Estimates the size of a prompt and hashes its prefix blocks, without a tokenizer.

Each model has its own tokenizer, which an entry does not load. A token is assumed to be
``BYTES_PER_TOKEN`` bytes of UTF-8: counting words would far underestimate a long text without
spaces, or one in a script that tokenizers split finely.
"""

from collections.abc import Iterator
from itertools import islice

from chivehold.core.prefix import BLOCK_TOKENS, MAX_BLOCKS, block_digests

BYTES_PER_TOKEN = 4
BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN


def prompt_tokens(prompt: str) -> int:
    """Return the estimated number of tokens of a prompt, at least 1."""
    return max(1, -(-len(prompt.encode()) // BYTES_PER_TOKEN))


def prefix_blocks(prompt: str) -> tuple[int, ...]:
    """Return the digests of a prompt's leading complete blocks, at most ``MAX_BLOCKS``."""
    parts = islice(_whole_blocks(prompt.encode()), MAX_BLOCKS)
    return tuple(block_digests(list(parts)))


def _whole_blocks(content: bytes) -> Iterator[bytes]:
    for start in range(0, len(content) - BLOCK_BYTES + 1, BLOCK_BYTES):
        yield content[start : start + BLOCK_BYTES]
