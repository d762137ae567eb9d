"""Digests of prompt blocks, which identify cached prefixes."""

import zlib
from collections.abc import Container, Iterator, Sequence

BLOCK_TOKENS = 64
MAX_BLOCKS = 64


def block_digests(prompt_parts: Sequence[bytes]) -> Iterator[int]:
    """Yield the CRC-32 of the prompt up to the end of each block.

    Equal digests therefore mean equal prefixes, except for collisions. A collision does no harm
    beyond a wrong estimate, because the digests are used only as hints.

    Args:
        prompt_parts: The prompt in blocks of ``BLOCK_TOKENS`` tokens, the first block first.

    Returns:
        One unsigned 32-bit digest per block.
    """
    digest = 0
    for part in prompt_parts:
        digest = zlib.crc32(part, digest)
        yield digest


def matching_blocks(prefix_blocks: Sequence[int], cached: Container[int]) -> int:
    """Return the number of leading blocks that are in ``cached``."""
    count = 0
    for digest in prefix_blocks:
        if digest not in cached:
            break
        count += 1
    return count
