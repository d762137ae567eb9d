"""The platform's object API as this project uses it: types, errors and a Protocol.

Every object has a ``kind`` and a ``name``, a ``uid`` that differs when a name is deleted and
created anew, and a ``version`` taken from one counter of the whole store. Writes are conditional
on the version. A write whose answer was lost is *unsure*: the writer reads the object back and
looks for its own operation id among ``operations``, the ids of the latest writes.
"""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from returns.result import Result

MAX_OPERATION_IDS = 64
MAX_VALUE_BYTES = 1_000_000
MAX_WATCH_WAIT_S = 30.0


class StoredObject(NamedTuple):
    """An object as read from the store."""

    kind: str
    name: str
    uid: str
    version: int
    value: bytes
    operations: tuple[str, ...]
    """Operation ids of the latest writes, newest last, at most ``MAX_OPERATION_IDS``."""
    deleted: bool = False
    """True for a deletion seen through a watch or a list that asked for tombstones."""


class Snapshot(NamedTuple):
    """Objects together with the store revision at which they were read."""

    revision: int
    objects: tuple[StoredObject, ...]


class NotFound(NamedTuple):
    """The object does not exist."""

    step: str
    peer: str


class Conflict(NamedTuple):
    """The object's version is not the expected one; nothing was written."""

    step: str
    peer: str
    current_version: int


class Unavailable(NamedTuple):
    """The platform refused or could not be reached; certainly nothing was written."""

    step: str
    peer: str
    detail: str


class Unsure(NamedTuple):
    """The answer was lost; the write may have taken effect."""

    step: str
    peer: str
    detail: str


class HistoryGone(NamedTuple):
    """The store no longer knows what changed after the revision asked for: list anew."""

    step: str
    peer: str
    detail: str = "history gone"


ReadError = NotFound | Unavailable
WriteError = NotFound | Conflict | Unavailable | Unsure


class ObjectStore(Protocol):
    """The calls of the object API; each counts once, a waiting watch as one."""

    async def get(self, kind: str, name: str) -> Result[StoredObject, ReadError]:
        """Read one object."""
        ...

    async def list(self, kind: str, may_be_stale: bool = False) -> Result[Snapshot, Unavailable]:
        """Read all objects of a kind, with the store's revision.

        Args:
            kind: The kind.
            may_be_stale: An answer that is some seconds old will do; where the store offers such
                reads they cost it less.
        """
        ...

    async def put(
        self, kind: str, name: str, value: bytes, expected_version: int, operation_id: str
    ) -> Result[StoredObject, WriteError]:
        """Write an object whose version is the expected one; 0 creates it."""
        ...

    async def delete(
        self, kind: str, name: str, expected_version: int, operation_id: str
    ) -> Result[StoredObject, WriteError]:
        """Delete an object whose version is the expected one."""
        ...

    async def watch(
        self, kinds: Sequence[str], after_revision: int, wait_s: float
    ) -> Result[Snapshot, Unavailable | HistoryGone]:
        """Wait for objects of these kinds changed after a revision, deletions included.

        Returns at once when there are any, and with none after ``wait_s``.
        """
        ...
