"""Digests of a prompt's blocks, by which cached prefixes are recognised."""

import zlib
from collections.abc import Container, Iterator, Sequence

BLOCK_TOKENS = 64
MAX_BLOCKS = 64


def block_digests(prompt_parts: Sequence[bytes]) -> Iterator[int]:
    """Yield the chained CRC-32 of each part, so that equal digests mean equal prefixes.

    Args:
        prompt_parts: The prompt in blocks of ``BLOCK_TOKENS`` tokens, the first block first.

    Returns:
        Unsigned 32-bit digests, one a block. A collision only misleads a hint.
    """
    digest = 0
    for part in prompt_parts:
        digest = zlib.crc32(part, digest)
        yield digest


def matching_blocks(prefix_blocks: Sequence[int], cached: Container[int]) -> int:
    """Count the leading blocks that are believed cached."""
    count = 0
    for digest in prefix_blocks:
        if digest not in cached:
            break
        count += 1
    return count
