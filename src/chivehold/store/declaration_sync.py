"""Brings declarations to every node: a few entries watch the platform, the others ask peers.

An entry that holds a watch lease watches the platform. Every entry hears with each heartbeat which
revision a sidecar keeps; it pulls from one that is ahead and pushes to those that are behind. Each
entry also reads changes from the platform now and then, in case it has no peer that is ahead.
"""

from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import NamedTuple, Protocol

import trio
from returns.result import Failure

from chivehold.core.declarations import DeclarationReplica, DeclarationVersion
from chivehold.core.declared import Declarations
from chivehold.store.api import ObjectStore, Snapshot
from chivehold.store.backoff import waits
from chivehold.store.declaration_apply import ApplyRequest, ApplyResult, apply
from chivehold.store.declaration_objects import DECLARATION_KIND, held_declarations

WATCH_WAIT_S = 1.5
WATCH_PACE_S = 0.25
ROLE_CHECK_S = 0.25
RESYNC_S = 30.0
PEER_PACE_S = 0.1
PUSHES_AT_ONCE = 64
MAX_WAIT_S = 30.0


class PeerChanges(NamedTuple):
    """All changes after one revision up to another, as peers hand them on."""

    after_revision: int
    revision: int
    changes: tuple[DeclarationVersion, ...]


class DeclarationPeers(Protocol):
    """How declarations travel between an entry and a sidecar, which is named as the shell likes."""

    async def pull(self, peer: str, after_revision: int) -> PeerChanges | None:
        """Ask a peer for what changed after a revision; ``None`` where it does not answer."""
        ...

    async def push(self, peer: str, changes: PeerChanges) -> int | None:
        """Hand changes to a peer; returns its revision then, ``None`` where it does not answer."""
        ...


class DeclarationSync:
    """Keeps one entry's replica and its sidecars up to date; ``run`` does the work.

    Args:
        store: The platform.
        replica: This entry's copy.
        peers: Reaches the sidecars.
        publish: Takes the declarations in force whenever they have changed.
        is_watcher: Tells whether this entry watches the platform now.
        rng: Draws waiting times.
    """

    def __init__(
        self,
        store: ObjectStore,
        replica: DeclarationReplica,
        peers: DeclarationPeers,
        publish: Callable[[Declarations], None],
        is_watcher: Callable[[], bool],
        rng: Random,
    ) -> None:
        self._store = store
        self._replica = replica
        self._peers = peers
        self._publish = publish
        self._is_watcher = is_watcher
        self._rng = rng
        self._reported: dict[str, int] = {}
        self._pushing: set[str] = set()
        self._push_limit = trio.CapacityLimiter(PUSHES_AT_ONCE)
        self._cursor: int | None = None
        self._changed = trio.Event()
        self._peer_heard = trio.Event()

    @property
    def revision(self) -> int:
        """The revision in force at this entry."""
        return self._replica.revision

    def heard(self, peer: str, revision: int) -> None:
        """Take note of the revision that a peer keeps, as its heartbeat says."""
        self._reported[peer] = revision
        if revision != self._replica.revision:
            self._peer_heard.set()

    def forget(self, peer: str) -> None:
        """Stop speaking to a peer that does not answer or is not declared any more."""
        self._reported.pop(peer, None)

    def take(self, handed: PeerChanges) -> int:
        """Merge what a peer handed over and return the revision in force then."""
        if self._replica.merge(handed.changes, handed.after_revision, handed.revision):
            self._announce()
        return self._replica.revision

    def changes_after(self, revision: int) -> PeerChanges:
        """Return what a peer at this revision does not have yet."""
        changes = self._replica.changed_after(revision)
        return PeerChanges(revision, self._replica.revision, changes)

    async def apply(self, request: ApplyRequest) -> ApplyResult:
        """Carry out an operator's request, and hand on what it changed at once."""
        before = self._replica.digest
        try:
            return await apply(self._store, self._replica, request, self._rng)
        finally:
            if self._replica.digest != before:
                self._announce()

    async def wait_newer(self, after_revision: int, wait_s: float) -> PeerChanges:
        """Wait until the revision in force is above another, at most ``wait_s`` seconds."""
        with trio.move_on_after(min(wait_s, MAX_WAIT_S)):
            while self._replica.revision <= after_revision:
                await self._changed.wait()
        return self.changes_after(after_revision)

    async def pull_first(self, peers: Iterable[str]) -> bool:
        """Ask peers until one has declarations, as a new process does in an outage."""
        for peer in peers:
            await self._pull(peer)
            if self._replica.revision > 0:
                return True
        return False

    async def run(self) -> None:
        """Follow the platform and the peers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_store)
            nursery.start_soon(self._follow_peers)

    async def _follow_store(self) -> None:
        pauses = waits(self._rng)
        while True:
            if await self._read_store():
                pauses = waits(self._rng)
                await self._pause()
            else:
                await trio.sleep(next(pauses))

    async def _pause(self) -> None:
        """Let changes gather; an entry that does not watch waits for long or until it does."""
        if self._is_watcher():
            await trio.sleep(WATCH_PACE_S)
            return
        end = trio.current_time() + RESYNC_S * self._rng.uniform(0.75, 1.0)
        while trio.current_time() < end and not self._is_watcher():
            await trio.sleep(ROLE_CHECK_S)

    async def _read_store(self) -> bool:
        if self._cursor is None:
            listed = await self._store.list(DECLARATION_KIND)
            if isinstance(listed, Failure):
                return False
            self._take_list(listed.unwrap())
            return True
        wait_s = WATCH_WAIT_S if self._is_watcher() else 0.0
        changes = await self._store.watch([DECLARATION_KIND], self._cursor, wait_s)
        if isinstance(changes, Failure):
            return False
        self._take_changes(changes.unwrap())
        return True

    def _take_list(self, snapshot: Snapshot) -> None:
        held = tuple(held_declarations(snapshot.objects, self._replica))
        self._cursor = snapshot.revision
        if self._replica.merge_list(held, snapshot.revision):
            self._announce()

    def _take_changes(self, snapshot: Snapshot) -> None:
        """Merge what a watch gave: with what was held at the cursor, nothing is missing."""
        changes = tuple(held_declarations(snapshot.objects, self._replica))
        newest = max((change.version for change in changes), default=0)
        self._cursor = snapshot.revision
        self.take(PeerChanges(0, newest, changes))

    def _announce(self) -> None:
        self._publish(self._replica.declarations())
        self._changed.set()
        self._changed = trio.Event()
        self._peer_heard.set()

    async def _follow_peers(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await self._peer_heard.wait()
                self._peer_heard = trio.Event()
                if ahead := self._ahead():
                    await self._pull(ahead)
                for peer in self._behind():
                    self._pushing.add(peer)
                    nursery.start_soon(self._push, peer)
                await trio.sleep(PEER_PACE_S)

    def _ahead(self) -> str | None:
        newest = max(self._reported, key=self._reported.__getitem__, default=None)
        if newest is None or self._reported[newest] <= self._replica.revision:
            return None
        return newest

    def _behind(self) -> Sequence[str]:
        revision = self._replica.revision
        behind = (peer for peer, reported in self._reported.items() if reported < revision)
        return [peer for peer in behind if peer not in self._pushing]

    async def _pull(self, peer: str) -> None:
        handed = await self._peers.pull(peer, self._replica.revision)
        if handed is None:
            self.forget(peer)
            return
        if peer in self._reported:
            self._reported[peer] = handed.revision
        self.take(handed)

    async def _push(self, peer: str) -> None:
        try:
            async with self._push_limit:
                changes = self.changes_after(self._reported.get(peer, 0))
                revision = await self._peers.push(peer, changes)
        finally:
            self._pushing.discard(peer)
        if revision is None:
            self.forget(peer)
        elif peer in self._reported:
            self.heard(peer, revision)
