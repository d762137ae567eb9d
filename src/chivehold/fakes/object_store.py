"""An in-memory stand-in for the platform's object store with injectable faults."""

from collections import Counter, deque
from collections.abc import Iterator, Mapping, Sequence
from random import Random
from typing import NamedTuple
from uuid import UUID

import trio
from returns.result import Failure, Result, Success

from chivehold.core.store_version import era_of, revision_of, store_version
from chivehold.store.api import (
    MAX_OPERATION_IDS,
    MAX_VALUE_BYTES,
    MAX_WATCH_WAIT_S,
    Conflict,
    NotFound,
    ReadError,
    Snapshot,
    StoredObject,
    Unavailable,
    Unsure,
    WriteError,
)
from chivehold.store.client import VmList

ANSWER_LOST = "answer lost"
RATE_LIMITED = "rate limited"
RATE_WINDOW_S = 1.0
PEER = "platform"


class Faults(NamedTuple):
    """Faults of the store; the defaults inject none."""

    outage: bool = False
    """Fail every call."""
    delay_s: float = 0.0
    """Delay before each call takes effect."""
    lose_answers: float = 0.0
    """Share of calls whose answers are lost after the call has taken effect, 0 to 1."""
    lose_answer_next: int = 0
    """Number of subsequent writes whose answers are lost after they have taken effect."""
    watch_lag_s: float = 0.0
    """Delay before watches report a change."""
    vm_lag_s: float = 0.0
    """Delay before ``list_vms`` returns a new list."""
    reads_per_s: int = 0
    """Maximum rate of reads; 0 for no limit."""
    writes_per_s: int = 0
    """Maximum rate of writes; 0 for no limit."""
    seed: int = 0


NO_FAULTS = Faults()


class _Write(NamedTuple):
    at: float
    stored: StoredObject


class StoreCopy(NamedTuple):
    """A copy of the store's objects at one revision."""

    revision: int
    objects: Mapping[tuple[str, str], _Write]


class MemoryObjectStore:
    """Implements ``ObjectStore`` in memory, with one version counter for all objects."""

    def __init__(self, faults: Faults = NO_FAULTS) -> None:
        self._objects: dict[tuple[str, str], _Write] = {}
        self._revision = 0
        self._written_bytes = 0
        self._changed = trio.Event()
        self._calls: Counter[str] = Counter()
        self._recent_calls: dict[bool, deque[float]] = {True: deque(), False: deque()}
        self._vms: list[tuple[float, VmList]] = []
        self.set_faults(faults)

    @property
    def faults(self) -> Faults:
        """The current faults."""
        return self._faults

    @property
    def counts(self) -> Counter[str]:
        """Number of calls by type of call, refused calls included."""
        return self._calls

    @property
    def written_bytes(self) -> int:
        """Size of all values written."""
        return self._written_bytes

    @property
    def revision(self) -> int:
        """The version of the latest write."""
        return self._revision

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults and restart their random sequence."""
        self._faults = faults
        self._rng = Random(faults.seed)
        self._remaining_losses = faults.lose_answer_next

    def copy(self) -> StoreCopy:
        """Return a copy of all objects to restore later."""
        return StoreCopy(self._revision, dict(self._objects))

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy: later writes are lost, and a new era of versions begins."""
        self._objects = dict(copy.objects)
        era = era_of(self._revision) + 1
        self._revision = store_version(era, revision_of(copy.revision))
        self._notify_watchers()

    def set_vms(self, vms: VmList) -> None:
        """Replace the list of VMs; readers see it after ``vm_lag_s`` seconds."""
        self._vms.append((trio.current_time(), vms))

    async def get(self, kind: str, name: str) -> Result[StoredObject, ReadError]:
        """Read one object."""
        step = f"get {kind}/{name}"
        if refusal := await self._check_call("get", step):
            return Failure(refusal)
        write = self._objects.get((kind, name))
        if self._loses_answer():
            return Failure(Unavailable(step, PEER, ANSWER_LOST))
        if write is None or write.stored.deleted:
            return Failure(NotFound(step, PEER))
        return Success(write.stored)

    async def list(self, kind: str, may_be_stale: bool = False) -> Result[Snapshot, Unavailable]:
        """Read all objects of a kind with the store's revision; the result is never stale."""
        step = f"list {kind}"
        if refusal := await self._check_call("list", step):
            return Failure(refusal)
        snapshot = Snapshot(self._revision, tuple(self._live_objects(kind)))
        if self._loses_answer():
            return Failure(Unavailable(step, PEER, ANSWER_LOST))
        return Success(snapshot)

    async def put(
        self, kind: str, name: str, value: bytes, expected_version: int, operation_id: str
    ) -> Result[StoredObject, WriteError]:
        """Write an object if its version is the expected one; 0 creates it."""
        step = f"put {kind}/{name}"
        if refusal := await self._check_call("put", step):
            return Failure(refusal)
        if len(value) > MAX_VALUE_BYTES:
            return Failure(Unavailable(step, PEER, f"value exceeds {MAX_VALUE_BYTES} bytes"))
        return self._write(step, kind, name, value, expected_version, operation_id)

    async def delete(
        self, kind: str, name: str, expected_version: int, operation_id: str
    ) -> Result[StoredObject, WriteError]:
        """Delete an object if its version is the expected one."""
        step = f"delete {kind}/{name}"
        if refusal := await self._check_call("delete", step):
            return Failure(refusal)
        return self._write(step, kind, name, None, expected_version, operation_id)

    async def watch(
        self, kinds: Sequence[str], after_revision: int, wait_s: float
    ) -> Result[Snapshot, Unavailable]:
        """Wait for objects of these kinds that changed after a revision, deletions included."""
        step = f"watch {','.join(kinds)}"
        if refusal := await self._check_call("watch", step):
            return Failure(refusal)
        snapshot = Snapshot(after_revision, ())
        with trio.move_on_after(min(wait_s, MAX_WATCH_WAIT_S)):
            while not (snapshot := self._changes(kinds, after_revision)).objects:
                await self._wait_for_change()
        if self._faults.outage or self._loses_answer():
            return Failure(Unavailable(step, PEER, ANSWER_LOST))
        return Success(snapshot)

    async def list_vms(self) -> Result[VmList, Unavailable]:
        """Read the list of VMs as it was ``vm_lag_s`` seconds ago."""
        step = "list VMs"
        if refusal := await self._check_call("vms", step):
            return Failure(refusal)
        visible_until = trio.current_time() - self._faults.vm_lag_s
        visible = [vms for at, vms in self._vms if at <= visible_until]
        return Success(visible[-1] if visible else VmList((), ()))

    async def _check_call(self, call: str, step: str) -> Unavailable | None:
        self._calls[call] += 1
        await trio.sleep(self._faults.delay_s)
        if self._faults.outage:
            return Unavailable(step, PEER, "outage")
        if self._exceeds_rate(is_write=call in ("put", "delete")):
            return Unavailable(step, PEER, RATE_LIMITED)
        return None

    def _exceeds_rate(self, is_write: bool) -> bool:
        limit = self._faults.writes_per_s if is_write else self._faults.reads_per_s
        recent = self._recent_calls[is_write]
        now = trio.current_time()
        while recent and recent[0] <= now - RATE_WINDOW_S:
            recent.popleft()
        if limit and len(recent) >= limit:
            return True
        recent.append(now)
        return False

    def _write(
        self,
        step: str,
        kind: str,
        name: str,
        value: bytes | None,
        expected_version: int,
        operation_id: str,
    ) -> Result[StoredObject, WriteError]:
        previous = self._objects.get((kind, name))
        live = previous is not None and not previous.stored.deleted
        version = previous.stored.version if previous and live else 0
        if version == 0 and (expected_version > 0 or value is None):
            return Failure(NotFound(step, PEER))
        if version != expected_version:
            return Failure(Conflict(step, PEER, version))
        self._revision += 1
        self._written_bytes += len(value or b"")
        operations = previous.stored.operations if previous else ()
        uid = previous.stored.uid if previous and live else str(UUID(int=self._revision))
        stored = StoredObject(
            kind,
            name,
            uid,
            self._revision,
            value or b"",
            (*operations, operation_id)[-MAX_OPERATION_IDS:],
            deleted=value is None,
        )
        self._objects[kind, name] = _Write(trio.current_time(), stored)
        self._notify_watchers()
        if self._loses_answer(is_write=True):
            return Failure(Unsure(step, PEER, ANSWER_LOST))
        return Success(stored)

    def _loses_answer(self, is_write: bool = False) -> bool:
        if is_write and self._remaining_losses > 0:
            self._remaining_losses -= 1
            return True
        return self._rng.random() < self._faults.lose_answers

    def _live_objects(self, kind: str) -> Iterator[StoredObject]:
        for _, stored in self._objects.values():
            if stored.kind == kind and not stored.deleted:
                yield stored

    def _changes(self, kinds: Sequence[str], after_revision: int) -> Snapshot:
        visible_until = trio.current_time() - self._faults.watch_lag_s
        visible = [stored for at, stored in self._objects.values() if at <= visible_until]
        revision = max((stored.version for stored in visible), default=0)
        changed = (stored for stored in visible if stored.kind in kinds)
        newer = tuple(stored for stored in changed if stored.version > after_revision)
        return Snapshot(max(revision, after_revision), newer)

    async def _wait_for_change(self) -> None:
        if self._faults.watch_lag_s > 0:
            await trio.sleep(self._faults.watch_lag_s / 4)
            return
        await self._changed.wait()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
