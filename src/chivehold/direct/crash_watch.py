"""Watches each attempt at an upstream for whether it ends the upstream's process."""

import trio

from chivehold.core.direct.crash_keys import CrashKey, KeyKind
from chivehold.core.direct.messages import UpstreamRecord
from chivehold.core.direct.quarantine import Quarantine
from chivehold.direct.exchange import Exchange
from chivehold.direct.metrics import DirectMetrics
from chivehold.direct.quarantine_trials import QuarantineTrials
from chivehold.direct.quarantines import Quarantines
from chivehold.direct.refusals import Refusal, not_run_refusal
from chivehold.direct.upstream_ends import BrokenRequest, UpstreamEndDetector

MAX_ENDS_UNDER_REQUEST = 2
"""Upstreams that may end under a request before it is given up; it may be what ends them."""
MAX_ENDS_UNDER_SUSPECT = 1
"""The same for a request that was running at an upstream that ended, before it came again."""


class CrashWatch:
    """Tells which requests were running at upstreams that ended, and refuses their like.

    Args:
        nursery: Runs the probes of upstreams.
        quarantines: Gets the evidence and decides.
        trials: Lets few requests through to see whether a quarantine is wrong.
        settled_s: A stream that has sent events for this time is no suspect, in seconds.
        metrics: Counts the ends.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        quarantines: Quarantines,
        trials: QuarantineTrials,
        settled_s: float,
        metrics: DirectMetrics,
    ) -> None:
        self._quarantines = quarantines
        self._trials = trials
        self._settled_s = settled_s
        self._metrics = metrics
        self._ends = UpstreamEndDetector(nursery, self._record_end)

    @property
    def settled_s(self) -> float:
        """A stream that has sent events for this time is no suspect, in seconds."""
        return self._settled_s

    async def admit(self, exchange: Exchange) -> Exchange:
        """Return the request as it may be tried; one with quarantined content may become a trial.

        Waits briefly for the store if a trial is due.
        """
        order = self._find(exchange)
        if order is None:
            return exchange
        trial = exchange._replace(trial_of=order.key)
        if self.is_quarantined(trial) or not await self._trials.try_claim(order):
            return exchange
        exchange.log("quarantined request let through", key=str(order.key))
        return trial

    def refusal(self, exchange: Exchange) -> Refusal | None:
        """Return the refusal of a request whose content is quarantined, or ``None``."""
        order = self._find(exchange)
        if order is None:
            return None
        exchange.log("request quarantined", key=str(order.key), version=order.version)
        retry_after_s = self._quarantines.retry_after_s(order)
        return not_run_refusal("quarantined", "such requests end upstreams", retry_after_s)

    def is_quarantined(self, exchange: Exchange) -> bool:
        """Return whether requests with this content are refused now; a trial is not."""
        return self._find(exchange) is not None

    def _find(self, exchange: Exchange) -> Quarantine | None:
        keys = [key for key in exchange.crash_keys if key != exchange.trial_of]
        return self._quarantines.find(keys)

    def is_suspect(self, exchange: Exchange) -> bool:
        """Return whether this very request was running at an upstream that ended."""
        return any(
            key.kind is KeyKind.REQUEST and self._quarantines.is_suspect(key)
            for key in exchange.crash_keys
        )

    async def has_ended(self, upstream: UpstreamRecord) -> bool:
        """Return whether an upstream has ended; waits briefly for a probe in progress."""
        return await self._ends.has_ended(upstream)

    def start_attempt(
        self, exchange: Exchange, upstream: UpstreamRecord, has_settled: bool = False
    ) -> "AttemptWatch":
        """Return the watch of an attempt that is about to be sent.

        Args:
            exchange: The request.
            upstream: The upstream.
            has_settled: Whether an earlier attempt has shown that the content is harmless.
        """
        exchange.record_attempt()
        return AttemptWatch(self, exchange, upstream, has_settled)

    def record_break(self, upstream: UpstreamRecord, broken: BrokenRequest) -> None:
        """Record that the connection of an attempt broke before it had settled."""
        if not upstream.draining:
            self._ends.record_break(upstream, broken)

    def record_harmless(self, keys: tuple[CrashKey, ...]) -> None:
        """Record that an attempt at a request with these keys ran without harm."""
        self._quarantines.record_harmless(keys)

    def _record_end(self, upstream: UpstreamRecord, broken: BrokenRequest) -> None:
        self._metrics.count_end_under_request(upstream.service)
        self._quarantines.record_end(upstream, broken)


class AttemptWatch:
    """One attempt at one upstream."""

    def __init__(
        self,
        crashes: CrashWatch,
        exchange: Exchange,
        upstream: UpstreamRecord,
        has_settled: bool,
    ) -> None:
        self._crashes = crashes
        self._request_id = exchange.request_id
        self._keys = exchange.crash_keys
        self._upstream = upstream
        self._sent_at = trio.current_time()
        self._first_output_at: float | None = None
        self._has_settled = has_settled
        self._is_suspect = False

    @property
    def has_settled(self) -> bool:
        """Whether the attempt, or one before it, has run without harm for long enough."""
        return self._has_settled

    @property
    def is_suspect(self) -> bool:
        """Whether its connection broke before it had settled."""
        return self._is_suspect

    def record_output(self) -> None:
        """Record that the upstream has sent a part of its output."""
        now = trio.current_time()
        if self._first_output_at is None:
            self._first_output_at = now
        if now >= self._first_output_at + self._crashes.settled_s:
            self.record_harmless()

    def record_harmless(self) -> None:
        """Record that the attempt ran without harm to its upstream."""
        if not self._has_settled:
            self._has_settled = True
            self._crashes.record_harmless(self._keys)

    def record_break(self) -> None:
        """Record that the connection broke; an attempt that has settled is no suspect."""
        if not self._has_settled:
            self._is_suspect = True
            now = trio.current_time()
            broken = BrokenRequest(self._request_id, self._keys, self._sent_at, now)
            self._crashes.record_break(self._upstream, broken)
