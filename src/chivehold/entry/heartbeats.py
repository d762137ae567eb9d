"""Sends heartbeats to the upstreams an entry uses; they renew its leases and return their load."""

import hashlib
import logging
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from itertools import chain
from typing import Protocol

import trio

from chivehold.core.declared import Declarations, Upstream
from chivehold.core.entry_messages import EntryEvent, LoadReported, UpstreamUnreachable
from chivehold.core.identity import EntryIncarnation, SidecarIncarnation, UpstreamName
from chivehold.core.wire import Heartbeat, LoadReport
from chivehold.entry.sidecar_calls import SidecarCalls
from chivehold.exceptions import Malformed
from chivehold.logs import log_event
from chivehold.rpc.errors import RpcFailed

SCORE_BYTES = 8
FIRST_HEARTBEAT_S = 1.0
MIN_POOL_SUBSET = 4
"""Minimum number of upstreams in use per pool, however many pools are declared."""
LOST_AFTER_S = 2.0
"""Longer than the lease an entry has at a sidecar, so that the lease has expired by then."""

_log = logging.getLogger(__name__)


def pools(declarations: Declarations) -> Iterator[tuple[Upstream, ...]]:
    """Yield the upstreams of each declared pool."""
    for deployment in declarations.deployments:
        yield deployment.prefill
        yield deployment.decode
    for service in declarations.services:
        yield service.upstreams


def subset(entry: str, pool: Sequence[Upstream], count: int) -> list[Upstream]:
    """Return the upstreams of a pool that an entry uses.

    Rendezvous hashing spreads entries over a large pool and changes few assignments when entries
    or upstreams are added or removed.

    Args:
        entry: The entry's name, which stays the same across restarts.
        pool: All upstreams of the pool.
        count: Maximum number of upstreams to use.
    """
    return sorted(pool, key=lambda upstream: _score(entry, upstream.name), reverse=True)[:count]


def subsets(
    entry: str, pools: Sequence[Sequence[Upstream]], max_upstreams: int
) -> Iterator[list[Upstream]]:
    """Yield the upstreams of each pool that an entry uses.

    The total number of an entry's heartbeats is bounded, whatever the number of pools: pools share
    ``max_upstreams`` evenly, and what small pools do not use goes to larger ones.

    Args:
        entry: The entry's name.
        pools: All upstreams of each pool.
        max_upstreams: Maximum number of upstreams over all pools; exceeded where a pool would
            otherwise get fewer than ``MIN_POOL_SUBSET`` (or ``max_upstreams``, if that is less).
    """
    minimum = min(MIN_POOL_SUBSET, max_upstreams)
    remaining = max_upstreams
    for number, pool in enumerate(sorted(pools, key=len)):
        share = max(minimum, remaining // (len(pools) - number))
        chosen = subset(entry, pool, share)
        remaining -= len(chosen)
        yield chosen


class RevisionListener(Protocol):
    """Tracks which revision of the declarations each sidecar has."""

    def record_revision(self, peer: str, revision: int) -> None:
        """Record the revision that a sidecar has."""
        ...

    def forget(self, peer: str) -> None:
        """Forget a sidecar that does not answer or is no longer used."""
        ...


class Heartbeats:
    """Runs a heartbeat loop for each upstream in use.

    Args:
        calls: Sends the heartbeats.
        name: This entry's name.
        incarnation: This run of the entry.
        interval_s: Time between two heartbeats, and the timeout of each.
        max_upstreams: Maximum number of upstreams in use over all pools.
        feed: Passes an event to the core.
        on_upstream_lost: Called after each failed heartbeat to an upstream whose lease must have
            expired.
        revision: Returns the revision of the declarations in force here.
        revision_listener: Receives the revision that each upstream's sidecar has.
        nursery: Runs the loops.
    """

    def __init__(
        self,
        calls: SidecarCalls,
        name: str,
        incarnation: EntryIncarnation,
        interval_s: float,
        max_upstreams: int,
        feed: Callable[[EntryEvent], None],
        on_upstream_lost: Callable[[UpstreamName], None],
        revision: Callable[[], int],
        revision_listener: RevisionListener,
        nursery: trio.Nursery,
    ) -> None:
        self._calls = calls
        self._name = name
        self._incarnation = incarnation
        self._interval_s = interval_s
        self._max_upstreams = max_upstreams
        self._feed = feed
        self._on_upstream_lost = on_upstream_lost
        self._revision = revision
        self._revision_listener = revision_listener
        self._nursery = nursery
        self._loops: dict[Upstream, trio.CancelScope] = {}
        self._reports: dict[UpstreamName, LoadReport] = {}
        self._last_report_at: dict[UpstreamName, float] = {}
        self._declared: dict[UpstreamName, Upstream] = {}
        self._subset: frozenset[Upstream] = frozenset()
        self._hold_counts: Counter[UpstreamName] = Counter()
        self._report_received = trio.Event()

    @property
    def active_upstreams(self) -> tuple[Upstream, ...]:
        """The upstreams that have a heartbeat loop."""
        return tuple(self._loops)

    def report(self, upstream: UpstreamName) -> LoadReport | None:
        """Return the latest load report of an upstream, or ``None``."""
        return self._reports.get(upstream)

    def heard_ago_s(self, upstream: UpstreamName) -> float | None:
        """Return the time since the latest report in seconds, or ``None`` if there is none."""
        last_report_at = self._last_report_at.get(upstream)
        return None if last_report_at is None else trio.current_time() - last_report_at

    def apply_declarations(self, declarations: Declarations) -> None:
        """Start and stop heartbeat loops to match the declarations."""
        declared = tuple(pools(declarations))
        self._declared = {upstream.name: upstream for pool in declared for upstream in pool}
        chosen = subsets(self._name, declared, self._max_upstreams)
        self._subset = frozenset(chain.from_iterable(chosen))
        self._update_loops()

    def hold(self, upstream: UpstreamName) -> None:
        """Keep a lease at an upstream until ``release``, even outside the subset."""
        self._hold_counts[upstream] += 1
        self._update_loops()

    async def wait_granted(self, upstream: UpstreamName) -> None:
        """Return once an upstream has answered a heartbeat, or after ``FIRST_HEARTBEAT_S``."""
        with trio.move_on_after(FIRST_HEARTBEAT_S):
            while upstream not in self._reports:
                await self._report_received.wait()

    def release(self, upstream: UpstreamName) -> None:
        """Undo one ``hold``."""
        self._hold_counts[upstream] -= 1
        if self._hold_counts[upstream] <= 0:
            del self._hold_counts[upstream]
            self._update_loops()

    def _update_loops(self) -> None:
        held = {self._declared[name] for name in self._hold_counts if name in self._declared}
        wanted = self._subset | held
        for upstream in self._loops.keys() - wanted:
            self._loops.pop(upstream).cancel()
            self._reports.pop(upstream.name, None)
            self._last_report_at.pop(upstream.name, None)
            self._revision_listener.forget(upstream.name)
        for upstream in wanted - self._loops.keys():
            self._loops[upstream] = trio.CancelScope()
            self._nursery.start_soon(self._run, upstream, self._loops[upstream])

    async def _run(self, upstream: Upstream, scope: trio.CancelScope) -> None:
        with scope:
            await trio.sleep(self._initial_delay_s(upstream))
            while True:
                next_at = trio.current_time() + self._interval_s
                await self._send_heartbeat(upstream.name)
                await trio.sleep_until(next_at)

    async def _send_heartbeat(self, upstream: UpstreamName) -> None:
        last_report = self._reports.get(upstream)
        incarnation = last_report.incarnation if last_report else SidecarIncarnation("")
        heartbeat = Heartbeat(self._incarnation, incarnation, self._revision())
        try:
            report = await self._calls.heartbeat(upstream, heartbeat, self._interval_s)
        except (RpcFailed, Malformed) as error:
            log_event(_log, logging.INFO, "heartbeat lost", peer=upstream, detail=str(error))
            self._feed(UpstreamUnreachable(upstream))
            self._revision_listener.forget(upstream)
            if (self.heard_ago_s(upstream) or 0.0) > LOST_AFTER_S:
                self._on_upstream_lost(upstream)
            return
        self._reports[upstream] = report
        self._last_report_at[upstream] = trio.current_time()
        self._report_received.set()
        self._report_received = trio.Event()
        self._feed(LoadReported(upstream, report))
        self._revision_listener.record_revision(upstream, report.revision)

    def _initial_delay_s(self, upstream: Upstream) -> float:
        """Return a delay that spreads an entry's heartbeats over a tenth of the interval."""
        score = int.from_bytes(_score(self._name, upstream.name), "big")
        return score / float(1 << 8 * SCORE_BYTES) * self._interval_s / 10


def _score(entry: str, upstream: UpstreamName) -> bytes:
    return hashlib.blake2b(f"{entry}\x00{upstream}".encode(), digest_size=SCORE_BYTES).digest()
