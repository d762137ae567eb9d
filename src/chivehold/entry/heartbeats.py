"""Heartbeats with the upstreams an entry uses: they renew its leases and bring load reports."""

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
from chivehold.rpc.bridge import RpcFailed

SCORE_BYTES = 8
FIRST_HEARTBEAT_S = 1.0
POOL_SUBSET_LEAST = 4
"""Upstreams of each pool in use however many pools are declared."""
LOST_AFTER_S = 2.0
"""Longer than a sidecar's lease for an entry that is not heard from."""

_log = logging.getLogger(__name__)


def pools(declarations: Declarations) -> Iterator[tuple[Upstream, ...]]:
    """Yield every declared pool."""
    for deployment in declarations.deployments:
        yield deployment.prefill
        yield deployment.decode
    for service in declarations.services:
        yield service.upstreams


def subset(entry: str, pool: Sequence[Upstream], most: int) -> list[Upstream]:
    """Return the upstreams of a pool that an entry uses.

    Rendezvous hashing spreads entries over a large pool and moves few when either changes.

    Args:
        entry: The entry's name, which outlives its restarts.
        pool: All upstreams of a pool.
        most: How many to use.
    """
    return sorted(pool, key=lambda upstream: _score(entry, upstream.name), reverse=True)[:most]


def subsets(entry: str, pools: Sequence[Sequence[Upstream]], most: int) -> Iterator[list[Upstream]]:
    """Yield the upstreams of each pool that an entry uses.

    An entry's heartbeats are bounded in all, whatever the number of pools: pools share ``most``
    evenly, and what a small pool leaves goes to larger ones.

    Args:
        entry: The entry's name.
        pools: All upstreams of each pool.
        most: How many to use in all; more where that would leave a pool fewer than
            ``POOL_SUBSET_LEAST``, or ``most`` where that is less.
    """
    least = min(POOL_SUBSET_LEAST, most)
    left = most
    for number, pool in enumerate(sorted(pools, key=len)):
        share = max(least, left // (len(pools) - number))
        chosen = subset(entry, pool, share)
        left -= len(chosen)
        yield chosen


class RevisionListener(Protocol):
    """Follows which declarations each sidecar keeps."""

    def heard(self, peer: str, revision: int) -> None:
        """Take note of a sidecar's revision."""
        ...

    def forget(self, peer: str) -> None:
        """Forget a sidecar that does not answer or is not used any more."""
        ...


class Heartbeats:
    """Keeps a heartbeat loop with each upstream in use.

    Args:
        calls: Carries the heartbeats.
        name: This entry's name.
        incarnation: This run of the entry.
        interval_s: Time between two heartbeats, also their timeout.
        upstreams_most: Upstreams of all pools together in use at once.
        feed: Takes the core's events.
        lost: Told of an upstream whose lease must have lapsed, after each heartbeat without answer.
        revision: Returns the revision of the declarations in force here.
        revisions: Told of the revision that each upstream's sidecar keeps.
        nursery: Runs the loops.
    """

    def __init__(
        self,
        calls: SidecarCalls,
        name: str,
        incarnation: EntryIncarnation,
        interval_s: float,
        upstreams_most: int,
        feed: Callable[[EntryEvent], None],
        lost: Callable[[UpstreamName], None],
        revision: Callable[[], int],
        revisions: RevisionListener,
        nursery: trio.Nursery,
    ) -> None:
        self._calls = calls
        self._name = name
        self._incarnation = incarnation
        self._interval_s = interval_s
        self._upstreams_most = upstreams_most
        self._feed = feed
        self._lost = lost
        self._revision = revision
        self._revisions = revisions
        self._nursery = nursery
        self._loops: dict[Upstream, trio.CancelScope] = {}
        self._reports: dict[UpstreamName, LoadReport] = {}
        self._heard_at: dict[UpstreamName, float] = {}
        self._declared: dict[UpstreamName, Upstream] = {}
        self._subset: frozenset[Upstream] = frozenset()
        self._holds: Counter[UpstreamName] = Counter()
        self._heard = trio.Event()

    @property
    def followed(self) -> tuple[Upstream, ...]:
        """The upstreams in use."""
        return tuple(self._loops)

    def report(self, upstream: UpstreamName) -> LoadReport | None:
        """Return the latest report of an upstream."""
        return self._reports.get(upstream)

    def heard_ago_s(self, upstream: UpstreamName) -> float | None:
        """Return the time since the latest report, in seconds."""
        heard_at = self._heard_at.get(upstream)
        return None if heard_at is None else trio.current_time() - heard_at

    def follow(self, declarations: Declarations) -> None:
        """Start and stop loops as the declarations ask for."""
        declared = tuple(pools(declarations))
        self._declared = {one.name: one for pool in declared for one in pool}
        chosen = subsets(self._name, declared, self._upstreams_most)
        self._subset = frozenset(chain.from_iterable(chosen))
        self._update()

    def hold(self, upstream: UpstreamName) -> None:
        """Keep a lease at an upstream until ``release``, also outside the subset."""
        self._holds[upstream] += 1
        self._update()

    async def wait_granted(self, upstream: UpstreamName) -> None:
        """Return once an upstream has answered a heartbeat, or after ``FIRST_HEARTBEAT_S``."""
        with trio.move_on_after(FIRST_HEARTBEAT_S):
            while upstream not in self._reports:
                await self._heard.wait()

    def release(self, upstream: UpstreamName) -> None:
        """End one ``hold``."""
        self._holds[upstream] -= 1
        if self._holds[upstream] <= 0:
            del self._holds[upstream]
            self._update()

    def _update(self) -> None:
        held = {self._declared[name] for name in self._holds if name in self._declared}
        wanted = self._subset | held
        for upstream in self._loops.keys() - wanted:
            self._loops.pop(upstream).cancel()
            self._reports.pop(upstream.name, None)
            self._heard_at.pop(upstream.name, None)
            self._revisions.forget(upstream.name)
        for upstream in wanted - self._loops.keys():
            self._loops[upstream] = trio.CancelScope()
            self._nursery.start_soon(self._run, upstream, self._loops[upstream])

    async def _run(self, upstream: Upstream, scope: trio.CancelScope) -> None:
        with scope:
            await trio.sleep(self._offset_s(upstream))
            while True:
                next_at = trio.current_time() + self._interval_s
                await self._beat(upstream.name)
                await trio.sleep_until(next_at)

    async def _beat(self, upstream: UpstreamName) -> None:
        known = self._reports.get(upstream)
        incarnation = known.incarnation if known else SidecarIncarnation("")
        heartbeat = Heartbeat(self._incarnation, incarnation, self._revision())
        try:
            report = await self._calls.heartbeat(upstream, heartbeat, self._interval_s)
        except (RpcFailed, Malformed) as error:
            log_event(_log, logging.INFO, "heartbeat lost", peer=upstream, detail=str(error))
            self._feed(UpstreamUnreachable(upstream))
            self._revisions.forget(upstream)
            if (self.heard_ago_s(upstream) or 0.0) > LOST_AFTER_S:
                self._lost(upstream)
            return
        self._reports[upstream] = report
        self._heard_at[upstream] = trio.current_time()
        self._heard.set()
        self._heard = trio.Event()
        self._feed(LoadReported(upstream, report))
        self._revisions.heard(upstream, report.revision)

    def _offset_s(self, upstream: Upstream) -> float:
        """Return a delay that spreads an entry's heartbeats over a tenth of the interval."""
        score = int.from_bytes(_score(self._name, upstream.name), "big")
        return score / float(1 << 8 * SCORE_BYTES) * self._interval_s / 10


def _score(entry: str, upstream: UpstreamName) -> bytes:
    return hashlib.blake2b(f"{entry}\x00{upstream}".encode(), digest_size=SCORE_BYTES).digest()
