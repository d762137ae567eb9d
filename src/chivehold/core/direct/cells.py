"""Divides many entries into cells; only the entries of a cell report to each other."""

import math
from collections.abc import Iterable
from hashlib import blake2b

TARGET_CELL_ENTRIES = 48
_HASH_BYTES = 8


def cell_of(name: str, entries: int) -> int:
    """Return the number of an entry's cell, for a number of entries in all."""
    cells = max(1, math.ceil(entries / TARGET_CELL_ENTRIES))
    digest = blake2b(name.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big") % cells


def cell_members(name: str, names: Iterable[str]) -> frozenset[str]:
    """Return the names of the other entries in the cell of an entry."""
    others = frozenset(names) - {name}
    entries = len(others) + 1
    own = cell_of(name, entries)
    return frozenset(other for other in others if cell_of(other, entries) == own)
