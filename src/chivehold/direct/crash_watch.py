"""Watches each attempt at an upstream for whether it ends the upstream's process."""

import trio

from chivehold.core.direct.messages import UpstreamRecord
from chivehold.direct.exchange import Exchange
from chivehold.direct.metrics import DirectMetrics
from chivehold.direct.upstream_ends import BrokenRequest, UpstreamEndDetector

SETTLED_AFTER_S = 0.5
"""A stream that has sent events for this time is not what ends its engine afterwards."""


class CrashWatch:
    """Collects which requests were running at upstreams that ended.

    Args:
        nursery: Runs the probes of upstreams.
        metrics: Counts the ends.
    """

    def __init__(self, nursery: trio.Nursery, metrics: DirectMetrics) -> None:
        self._metrics = metrics
        self._ends = UpstreamEndDetector(nursery, self._record_end)

    def start_attempt(self, exchange: Exchange, upstream: UpstreamRecord) -> "AttemptWatch":
        """Return the watch of an attempt that is about to be sent."""
        return AttemptWatch(self, exchange, upstream)

    def record_break(self, upstream: UpstreamRecord, broken: BrokenRequest) -> None:
        """Record that the connection of an attempt broke before it had settled."""
        if not upstream.draining:
            self._ends.record_break(upstream, broken)

    def _record_end(self, upstream: UpstreamRecord, broken: BrokenRequest) -> None:
        self._metrics.count_end_under_request(upstream.service)


class AttemptWatch:
    """One attempt at one upstream."""

    def __init__(self, crashes: CrashWatch, exchange: Exchange, upstream: UpstreamRecord) -> None:
        self._crashes = crashes
        self._exchange = exchange
        self._upstream = upstream
        self._sent_at = trio.current_time()
        self._first_output_at: float | None = None

    def record_output(self) -> None:
        """Record that the upstream has sent a part of its output."""
        if self._first_output_at is None:
            self._first_output_at = trio.current_time()

    def record_break(self) -> None:
        """Record that the connection broke; a settled attempt is no suspect."""
        now = trio.current_time()
        if not self._has_settled(now):
            exchange = self._exchange
            broken = BrokenRequest(exchange.request_id, exchange.crash_keys, self._sent_at, now)
            self._crashes.record_break(self._upstream, broken)

    def _has_settled(self, now: float) -> bool:
        return self._first_output_at is not None and now >= self._first_output_at + SETTLED_AFTER_S
