"""Versions of the store's objects, which keep their order when the store is restored.

A store that is restored from a copy goes back to an older revision and gives out the revisions
after it again. Each restore begins a new era. A version combines era and revision in one integer,
so that a later state has a greater version wherever versions are compared, stored or used as
fencing numbers. A store that never goes back has the era 0, and its versions are its revisions.
"""

REVISION_BITS = 32
MAX_ERA = (1 << 21) - 1
"""With it, versions still fit into the 53 bits of a JSON number."""
MAX_REVISION = (1 << REVISION_BITS) - 1


def store_version(era: int, revision: int) -> int:
    """Return the version of a revision in an era."""
    return (era << REVISION_BITS) + min(revision, MAX_REVISION)


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version >> REVISION_BITS


def revision_of(version: int) -> int:
    """Return the store's own revision, which means nothing without its era."""
    return version & MAX_REVISION
