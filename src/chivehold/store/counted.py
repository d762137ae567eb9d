"""Counts the calls to an object store by what they are for."""

from collections.abc import Callable, Sequence

from returns.result import Result

from chivehold.store.api import (
    HistoryGone,
    ObjectStore,
    ReadError,
    Snapshot,
    StoredObject,
    Unavailable,
    WriteError,
)

CountCall = Callable[[str, str], None]
"""Called with the kind of call and the kind of object."""


class CountedStore:
    """An ``ObjectStore`` that reports each call before it is made.

    Args:
        store: The store that answers the calls.
        count: Called with the kind of call and the kind of object.
    """

    def __init__(self, store: ObjectStore, count: CountCall) -> None:
        self._store = store
        self._count = count

    async def get(self, kind: str, name: str) -> Result[StoredObject, ReadError]:
        """Read one object."""
        self._count("get", kind)
        return await self._store.get(kind, name)

    async def list(self, kind: str, may_be_stale: bool = False) -> Result[Snapshot, Unavailable]:
        """Read all objects of a kind; reads that may be stale are counted apart."""
        self._count("list_stale" if may_be_stale else "list", kind)
        return await self._store.list(kind, may_be_stale)

    async def put(
        self, kind: str, name: str, value: bytes, expected_version: int, operation_id: str
    ) -> Result[StoredObject, WriteError]:
        """Write an object if its version is the expected one."""
        self._count("put", kind)
        return await self._store.put(kind, name, value, expected_version, operation_id)

    async def delete(
        self, kind: str, name: str, expected_version: int, operation_id: str
    ) -> Result[StoredObject, WriteError]:
        """Delete an object if its version is the expected one."""
        self._count("delete", kind)
        return await self._store.delete(kind, name, expected_version, operation_id)

    async def watch(
        self, kinds: Sequence[str], after_revision: int, wait_s: float
    ) -> Result[Snapshot, Unavailable | HistoryGone]:
        """Wait for changes; counted once, whatever the number of kinds."""
        self._count("watch", ",".join(kinds))
        return await self._store.watch(kinds, after_revision, wait_s)
