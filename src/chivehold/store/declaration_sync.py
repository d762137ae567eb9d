"""Distributes declarations to every node: a few entries watch the platform, the others use peers.

An entry that holds a watch lease watches the platform. Every entry learns from each heartbeat the
revision that a sidecar has; it pulls from a sidecar that is ahead and pushes to those behind. Each
entry also reads changes from the platform periodically, in case none of its peers is ahead.
"""

from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Protocol

import trio
from returns.result import Failure

from chivehold.core.declarations import DeclarationChanges, DeclarationReplica
from chivehold.core.declared import Declarations
from chivehold.store.api import ObjectStore, Snapshot
from chivehold.store.backoff import backoff_delays
from chivehold.store.declaration_apply import ApplyRequest, ApplyResult, apply
from chivehold.store.declaration_objects import DECLARATION_KIND, decode_declarations

WATCH_WAIT_S = 1.5
WATCH_INTERVAL_S = 0.25
WATCHER_CHECK_INTERVAL_S = 0.25
RESYNC_INTERVAL_S = 30.0
PEER_SYNC_INTERVAL_S = 0.1
MAX_CONCURRENT_PUSHES = 64
MAX_WAIT_S = 30.0


class DeclarationPeers(Protocol):
    """Exchanges declarations with sidecars; the implementation chooses the names of the peers."""

    async def pull(self, peer: str, after_revision: int) -> DeclarationChanges | None:
        """Request a peer's changes after a revision; return ``None`` if it does not answer."""
        ...

    async def push(self, peer: str, changes: DeclarationChanges) -> int | None:
        """Send changes to a peer; return its new revision, or ``None`` if it does not answer."""
        ...


class DeclarationSync:
    """Keeps one entry's replica and its sidecars up to date while ``run`` is running.

    Args:
        store: The platform's object store.
        replica: This entry's replica of the declarations.
        peers: Reaches the sidecars.
        publish: Called with the declarations in force whenever they have changed.
        is_watcher: Returns whether this entry currently watches the platform.
        rng: Source of jitter for delays.
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
        self._peer_revisions: dict[str, int] = {}
        self._pushing: set[str] = set()
        self._push_limit = trio.CapacityLimiter(MAX_CONCURRENT_PUSHES)
        self._cursor: int | None = None
        self._revision_changed = trio.Event()
        self._peer_update = trio.Event()

    @property
    def revision(self) -> int:
        """The revision in force at this entry."""
        return self._replica.revision

    def record_revision(self, peer: str, revision: int) -> None:
        """Record the revision that a peer reports with its heartbeat."""
        self._peer_revisions[peer] = revision
        if revision != self._replica.revision:
            self._peer_update.set()

    def forget(self, peer: str) -> None:
        """Stop exchanging with a peer that does not answer or is no longer declared."""
        self._peer_revisions.pop(peer, None)

    def merge_received(self, received: DeclarationChanges) -> int:
        """Merge changes received from a peer and return the resulting revision in force."""
        if self._replica.merge(received.changes, received.after_revision, received.revision):
            self._publish_change()
        return self._replica.revision

    def changes_after(self, revision: int) -> DeclarationChanges:
        """Return the changes that a peer at this revision does not have yet."""
        return self._replica.changes_for(revision)

    async def apply(self, request: ApplyRequest) -> ApplyResult:
        """Carry out an operator's request and immediately publish the changes."""
        before = self._replica.digest
        try:
            return await apply(self._store, self._replica, request, self._rng)
        finally:
            if self._replica.digest != before:
                self._publish_change()

    async def wait_for_newer(self, after_revision: int, wait_s: float) -> DeclarationChanges:
        """Wait up to ``wait_s`` seconds for a higher revision and return the changes after it."""
        with trio.move_on_after(min(wait_s, MAX_WAIT_S)):
            while self._replica.revision <= after_revision:
                await self._revision_changed.wait()
        return self.changes_after(after_revision)

    async def pull_from_any(self, peers: Iterable[str]) -> bool:
        """Pull from peers until one has declarations, for a process that starts in an outage."""
        for peer in peers:
            await self._pull(peer)
            if self._replica.revision > 0:
                return True
        return False

    async def run(self) -> None:
        """Synchronise with the platform and the peers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_store)
            nursery.start_soon(self._follow_peers)

    async def _follow_store(self) -> None:
        delays = backoff_delays(self._rng)
        while True:
            if await self._read_store():
                delays = backoff_delays(self._rng)
                await self._wait_for_next_read()
            else:
                await trio.sleep(next(delays))

    async def _wait_for_next_read(self) -> None:
        """Let changes accumulate; a non-watcher waits longer, unless it becomes a watcher."""
        if self._is_watcher():
            await trio.sleep(WATCH_INTERVAL_S)
            return
        end = trio.current_time() + RESYNC_INTERVAL_S * self._rng.uniform(0.75, 1.0)
        while trio.current_time() < end and not self._is_watcher():
            await trio.sleep(WATCHER_CHECK_INTERVAL_S)

    async def _read_store(self) -> bool:
        if self._cursor is None:
            listed = await self._store.list(DECLARATION_KIND)
            if isinstance(listed, Failure):
                return False
            self._merge_list(listed.unwrap())
            return True
        wait_s = WATCH_WAIT_S if self._is_watcher() else 0.0
        changes = await self._store.watch([DECLARATION_KIND], self._cursor, wait_s)
        if isinstance(changes, Failure):
            return False
        snapshot = changes.unwrap()
        self._merge_changes(snapshot, after_cursor=self._cursor)
        self._cursor = snapshot.revision
        return True

    def _merge_list(self, snapshot: Snapshot) -> None:
        versions = tuple(decode_declarations(snapshot.objects, self._replica))
        self._cursor = snapshot.revision
        if self._replica.merge_list(versions, snapshot.revision):
            self._publish_change()

    def _merge_changes(self, snapshot: Snapshot, after_cursor: int) -> None:
        """Merge the changes of a watch; the replica already has everything up to the cursor.

        Its own revision may be lower, as the cursor also counts changes of other kinds.
        """
        changes = tuple(decode_declarations(snapshot.objects, self._replica))
        newest = max((change.version for change in changes), default=0)
        complete_after = min(after_cursor, self._replica.revision)
        self.merge_received(DeclarationChanges(complete_after, newest, changes))

    def _publish_change(self) -> None:
        self._publish(self._replica.declarations())
        self._revision_changed.set()
        self._revision_changed = trio.Event()
        self._peer_update.set()

    async def _follow_peers(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await self._peer_update.wait()
                self._peer_update = trio.Event()
                if ahead := self._most_advanced_peer():
                    await self._pull(ahead)
                for peer in self._peers_behind():
                    self._pushing.add(peer)
                    nursery.start_soon(self._push, peer)
                await trio.sleep(PEER_SYNC_INTERVAL_S)

    def _most_advanced_peer(self) -> str | None:
        newest = max(self._peer_revisions, key=self._peer_revisions.__getitem__, default=None)
        if newest is None or self._peer_revisions[newest] <= self._replica.revision:
            return None
        return newest

    def _peers_behind(self) -> Sequence[str]:
        revision = self._replica.revision
        behind = (peer for peer, reported in self._peer_revisions.items() if reported < revision)
        return [peer for peer in behind if peer not in self._pushing]

    async def _pull(self, peer: str) -> None:
        received = await self._peers.pull(peer, self._replica.revision)
        if received is None:
            self.forget(peer)
            return
        if peer in self._peer_revisions:
            self._peer_revisions[peer] = received.revision
        self.merge_received(received)

    async def _push(self, peer: str) -> None:
        try:
            async with self._push_limit:
                changes = self.changes_after(self._peer_revisions.get(peer, 0))
                revision = await self._peers.push(peer, changes)
        finally:
            self._pushing.discard(peer)
        if revision is None:
            self.forget(peer)
        elif peer in self._peer_revisions:
            self.record_revision(peer, revision)
