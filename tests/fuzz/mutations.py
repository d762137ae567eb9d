"""Mutations of byte strings from the corpus."""

from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random

CORPUS = Path(__file__).parent / "corpus"
INTERESTING = (b"\n\n", b"\r", b"\0", b"\xff", b"\xb2", b'"', b"{", b"-1", b"9" * 400, b"NaN", b":")
MOST_MUTATIONS = 4
"""Mutations applied to one byte string."""


def corpus(reader: str) -> Iterator[tuple[str, bytes]]:
    """Yield the name and the bytes of each file for a reader."""
    for path in sorted((CORPUS / reader).iterdir()):
        yield path.name, path.read_bytes()


def mutants(data: bytes, seed: int, count: int) -> Iterator[bytes]:
    """Yield the bytes themselves, then mutants of them."""
    yield data
    rng = Random(seed)
    for _ in range(count):
        mutant = data
        for _ in range(rng.randint(1, MOST_MUTATIONS)):
            mutant = rng.choice(_MUTATIONS)(mutant, rng)
        yield mutant


def chunks(data: bytes, rng: Random) -> Iterator[bytes]:
    """Yield the bytes in chunks of random lengths."""
    start = 0
    while start < len(data):
        end = start + rng.choice((1, 2, 3, 100))
        yield data[start:end]
        start = end


def _cut(data: bytes, rng: Random) -> bytes:
    return data[: rng.randint(0, len(data))]


def _drop(data: bytes, rng: Random) -> bytes:
    start = rng.randint(0, len(data))
    return data[:start] + data[start + rng.randint(1, 8) :]


def _repeat(data: bytes, rng: Random) -> bytes:
    start = rng.randint(0, len(data))
    end = start + rng.randint(1, 40)
    return data[:end] + data[start:end] * rng.randint(1, 3) + data[end:]


def _insert(data: bytes, rng: Random) -> bytes:
    at = rng.randint(0, len(data))
    return data[:at] + rng.choice(INTERESTING) + data[at:]


def _replace(data: bytes, rng: Random) -> bytes:
    at = rng.randint(0, len(data))
    return data[:at] + bytes([rng.randrange(256)]) + data[at + 1 :]


_MUTATIONS: tuple[Callable[[bytes, Random], bytes], ...] = (_cut, _drop, _repeat, _insert, _replace)
