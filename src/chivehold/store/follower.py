"""Follows the objects of one kind: lists them, then watches, and lists again when necessary."""

import logging
import math
from collections.abc import Callable, Iterator, Sequence
from itertools import cycle
from random import Random
from typing import Generic, NamedTuple, TypeVar

import trio
from returns.result import Failure, Result

from chivehold.core.direct.replica import Replica, Versioned
from chivehold.logs import log_event
from chivehold.store.api import (
    MAX_WATCH_WAIT_S,
    HistoryGone,
    ObjectStore,
    Snapshot,
    StoredObject,
    Unavailable,
)
from chivehold.store.backoff import backoff_delays

ValueT = TypeVar("ValueT")

MS_PER_S = 1_000
MAX_RETRY_DELAY_S = 0.5
"""Kept short since requests may be misrouted by changes missed while the store is unreachable."""
MIN_EMPTY_WATCH_S = 0.05
"""If a watch returns no changes within this time, the next one is delayed by the same time."""

RECOVERY_WAIT_S = 0.1
"""How long a watch waits for a change while it is not known whether the store answers at all."""
MIN_WATCH_WAIT_S = 1.0
RECOVERY_S = 1.0
"""Time from when a watch is overdue until a repeated one has brought what was missed."""
RELIST_SPREAD_S = 0.3
"""The history is gone for all followers at once; their lists are spread over this time."""
OVERDUE_S = 0.7
"""Time from when a watch should have ended until a repeated one has been answered."""
CHANGE_PAUSE_SHARE = 0.25
"""Share of the deadline for changes that passes after one before the next ones are asked for."""

_log = logging.getLogger(__name__)


class WatchTiming(NamedTuple):
    """How often a kind is asked for; each call costs the store work for every follower."""

    wait_s: float
    """How long a watch waits for a change, in seconds."""
    pause_s: float
    """Pause after a change, in seconds; the changes of that time arrive together."""


def watch_timing(
    change_deadline_s: float,
    silence_allowance_s: float,
    grace_s: float = 0.0,
    min_outage_s: float = math.inf,
) -> WatchTiming:
    """Return the rarest calls with which changes are in force in time.

    A connection that has gone silent is noticed only when its watch is overdue. The deadline of a
    change made just before may have passed by then, so it does not lengthen the wait. If the
    replica has a grace period after outages, then either one overdue watch must not look like an
    outage, or the grace period after it must end within the allowance.

    Args:
        change_deadline_s: Time within which a change must be in force.
        silence_allowance_s: Time after a connection has gone silent within which changes may be
            late.
        grace_s: The replica's grace period after outages, in seconds.
        min_outage_s: Time between two answers from which on the replica assumes an outage.
    """
    no_outage_s = min_outage_s - OVERDUE_S
    short_outage_s = silence_allowance_s - OVERDUE_S - grace_s
    longest_s = min(silence_allowance_s - RECOVERY_S, max(no_outage_s, short_outage_s))
    return WatchTiming(
        wait_s=min(MAX_WATCH_WAIT_S, max(MIN_WATCH_WAIT_S, longest_s)),
        pause_s=CHANGE_PAUSE_SHARE * change_deadline_s,
    )


class Follower(Generic[ValueT]):
    """Keeps a replica of one kind up to date while ``run`` is running.

    Args:
        store: The platform's object store.
        kind: The kind to follow.
        decode: Decodes an object's name and value, or returns a description of the error.
        replica: Updated with the objects read.
        publish: Called after each change of the replica.
        rng: Source of jitter for retry delays.
        timing: How often to ask.
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        decode: Callable[[str, bytes], Result[ValueT, str]],
        replica: Replica[ValueT],
        publish: Callable[[], None],
        rng: Random,
        timing: WatchTiming,
    ) -> None:
        self._store = store
        self._kind = kind
        self._decode = decode
        self._replica = replica
        self._publish = publish
        self._rng = rng
        self._timing = timing
        self._must_list = True
        self._is_store_lost = False
        self._answered_at = -math.inf
        self._pause_s = 0.0

    @property
    def is_store_lost(self) -> bool:
        """Whether the last call to the store failed."""
        return self._is_store_lost

    async def run(self) -> None:
        """Follow until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._expire)
            while True:
                pause_s = self._pause_s
                await trio.sleep(pause_s)
                # The pause counts as waiting, so that no two answers are further apart.
                if not await self._list_or_watch(self._timing.wait_s - pause_s):
                    await self._recover()

    async def _recover(self) -> None:
        """Call the store until it answers.

        Calls overlap, because one that the store has not received ends only with its timeout, which
        may be long after the store is back. Every second call asks for an answer at once.
        """
        waits_s = cycle((RECOVERY_WAIT_S, self._timing.wait_s))
        delays_s = backoff_delays(self._rng, max_s=MAX_RETRY_DELAY_S)
        async with trio.open_nursery() as nursery:
            for wait_s, delay_s in zip(waits_s, delays_s, strict=False):
                await trio.sleep(delay_s)
                nursery.start_soon(self._recovery_call, wait_s, nursery.cancel_scope)

    async def _recovery_call(self, wait_s: float, recovery: trio.CancelScope) -> None:
        if await self._list_or_watch(wait_s):
            recovery.cancel()

    async def _list_or_watch(self, wait_s: float) -> bool:
        """Make one call and return whether the store answered.

        Args:
            wait_s: How long a watch waits for a change, in seconds.
        """
        self._pause_s = 0.0
        if self._must_list:
            return await self._list()
        return await self._watch(wait_s)

    async def _list(self) -> bool:
        listed = await self._store.list(self._kind)
        if isinstance(listed, Failure):
            self._mark_store_lost(listed.failure())
            return False
        snapshot = listed.unwrap()
        self._mark_store_regained(snapshot.revision)
        objects = (
            (name, item) for name, item in self._decode_objects(snapshot) if item is not None
        )
        kept = self._replica.replace_all(snapshot.revision, objects, trio.current_time())
        self._log_kept(kept, snapshot.revision)
        self._must_list = False
        self._publish()
        return True

    async def _watch(self, wait_s: float) -> bool:
        started_at = trio.current_time()
        watched = await self._store.watch([self._kind], self._replica.revision, wait_s)
        if isinstance(watched, Failure):
            error = watched.failure()
            if isinstance(error, HistoryGone):
                log_event(_log, logging.INFO, "store history gone", kind=self._kind)
                self._must_list = True
                self._pause_s = self._rng.uniform(0.0, RELIST_SPREAD_S)
                return True
            self._mark_store_lost(error)
            return False
        snapshot = watched.unwrap()
        self._mark_store_regained(snapshot.revision)
        changes = list(self._decode_objects(snapshot))
        kept = self._replica.apply_changes(snapshot.revision, changes, trio.current_time())
        self._log_kept(kept, snapshot.revision)
        if changes:
            self._publish()
            self._pause_s = self._timing.pause_s
        elif trio.current_time() - started_at < MIN_EMPTY_WATCH_S:
            self._pause_s = MIN_EMPTY_WATCH_S
        return True

    def _decode_objects(self, snapshot: Snapshot) -> Iterator[tuple[str, Versioned[ValueT] | None]]:
        for stored in snapshot.objects:
            yield stored.name, None if stored.deleted else self._decode_object(stored)

    def _decode_object(self, stored: StoredObject) -> Versioned[ValueT] | None:
        decoded = self._decode(stored.name, stored.value)
        if isinstance(decoded, Failure):
            log_event(
                _log,
                logging.WARNING,
                "object unreadable",
                kind=self._kind,
                name=stored.name,
                revision=stored.version,
                detail=decoded.failure(),
            )
            return None
        return Versioned(stored.version, decoded.unwrap())

    def _mark_store_lost(self, error: Unavailable) -> None:
        self._replica.mark_store_lost()
        if not self._is_store_lost:
            self._is_store_lost = True
            log_event(
                _log,
                logging.WARNING,
                "store lost",
                kind=self._kind,
                step=error.step,
                peer=error.peer,
                detail=error.detail,
                revision=self._replica.revision,
            )

    def _mark_store_regained(self, revision: int) -> None:
        now = trio.current_time()
        silent_s, self._answered_at = now - self._answered_at, now
        if self._is_store_lost:
            self._is_store_lost = False
            log_event(
                _log,
                logging.INFO,
                "store regained",
                kind=self._kind,
                revision=revision,
                silent_ms=round(silent_s * MS_PER_S) if math.isfinite(silent_s) else None,
            )

    def _log_kept(self, names: Sequence[str], revision: int) -> None:
        """Log the objects that have disappeared from the store and are still used."""
        expires_at = self._replica.next_expiry()
        if names and expires_at is not None:
            log_event(
                _log,
                logging.INFO,
                "removals held back",
                kind=self._kind,
                names=names,
                revision=revision,
                for_ms=round((expires_at - trio.current_time()) * MS_PER_S),
            )

    async def _expire(self) -> None:
        while True:
            expires_at = self._replica.next_expiry()
            await trio.sleep(
                0.1 if expires_at is None else max(0.01, expires_at - trio.current_time())
            )
            now = trio.current_time()
            if lapsed := self._replica.expire(now):
                log_event(_log, logging.INFO, "objects lapsed", kind=self._kind, names=lapsed)
            if lapsed or (expires_at is not None and expires_at <= now):
                self._publish()
