"""The upstreams that an entry knows, what it has seen of them, and which one to ask next."""

from collections.abc import Collection, Iterable, Iterator
from enum import StrEnum
from random import Random
from typing import NamedTuple

from chivehold.core.direct.messages import Stage, UpstreamRecord
from chivehold.core.smoothing import Average

DEFAULT_LATENCY_S = 0.08
"""Assumed of an upstream that has not answered yet."""
LATENCY_WEIGHT = 0.2
FAILURE_WEIGHT = 0.15
FAILURES_TO_SUSPEND = 2
"""Failures in a row after which an upstream gets no work for a while."""
MIN_SUSPENSION_S = 0.5
MAX_SUSPENSION_S = 4.0
REMOTE_ZONE_COST_S = 0.002
"""A near upstream goes before an equally loaded one of another zone."""
GONE_PAUSE_S = 4.0
"""How long an upstream that refused work as not meant for it gets none.

Its entry is corrected or removed meanwhile; one whose stage was changing then takes work again.
"""
FAILURE_COST_S = 0.5
"""What a failed try costs the caller, times the share of tries that fail."""
COST_JITTER = 0.1
"""Spreads entries that see the same load, as a share of the cost."""


class UpstreamIncarnation(NamedTuple):
    """One start of an upstream."""

    name: str
    started_ms: int


class Verdict(StrEnum):
    """How a piece of work at an upstream ended, as far as it tells of the upstream."""

    SOUND = "sound"
    FAILED = "failed"
    """It broke off, answered nonsense or stayed silent."""
    ERROR = "error"
    """It answered that it failed."""
    FULL = "full"
    """It refused the work for want of room."""
    GONE = "gone"
    """It is leaving, or another upstream has its address."""
    UNKNOWN = "unknown"
    """The work was given up for a reason that says nothing of the upstream."""


class _UpstreamStats:
    """What this entry has seen of one upstream."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.reserved_tokens = 0
        self.latency = Average(LATENCY_WEIGHT)
        self.failure_rate = Average(FAILURE_WEIGHT)
        self.consecutive_failures = 0
        self.suspended_until = 0.0
        self.gone_until = 0.0


class FleetChange(NamedTuple):
    """What a new list of upstreams has changed."""

    added: tuple[UpstreamRecord, ...]
    removed: tuple[UpstreamRecord, ...]
    changed: tuple[UpstreamRecord, ...]


class Fleet:
    """Keeps the upstreams and orders them by what a request may expect there.

    Args:
        zone: The zone of this entry.
        rng: Draws the jitter.
    """

    def __init__(self, zone: str, rng: Random) -> None:
        self._zone = zone
        self._rng = rng
        self._upstreams: dict[str, UpstreamRecord] = {}
        self._stats: dict[UpstreamIncarnation, _UpstreamStats] = {}

    @property
    def upstreams(self) -> tuple[UpstreamRecord, ...]:
        """All upstreams that are listed, leaving ones included."""
        return tuple(self._upstreams.values())

    def replace(self, upstreams: Iterable[UpstreamRecord]) -> FleetChange:
        """Take the list of upstreams now in force, and return what is new in it."""
        before, self._upstreams = self._upstreams, {
            upstream.name: upstream for upstream in upstreams
        }
        current = {incarnation_of(upstream) for upstream in self._upstreams.values()}
        for known in [known for known in self._stats if known not in current]:
            if not self._stats[known].in_flight:
                del self._stats[known]
        return FleetChange(
            tuple(upstream for name, upstream in self._upstreams.items() if name not in before),
            tuple(upstream for name, upstream in before.items() if name not in self._upstreams),
            tuple(
                upstream
                for name, upstream in self._upstreams.items()
                if name in before and before[name] != upstream
            ),
        )

    def available(self, service: str, stage: Stage, now: float) -> list[UpstreamRecord]:
        """Return the upstreams of a service and stage that take new work."""
        return [
            upstream
            for upstream in self._upstreams.values()
            if upstream.service == service
            and upstream.stage is stage
            and not upstream.draining
            and self._stats_of(upstream).gone_until <= now
        ]

    def ranked(
        self, service: str, stage: Stage, now: float, excluded: Collection[str] = ()
    ) -> list[UpstreamRecord]:
        """Return the upstreams to ask, the best first; suspended ones only if all are.

        Args:
            service: The service.
            stage: The stage of a model engine.
            now: Monotonic time in seconds.
            without: Names of upstreams that are not to be asked.
        """
        candidates = [
            upstream
            for upstream in self.available(service, stage, now)
            if upstream.name not in excluded
        ]
        healthy = [upstream for upstream in candidates if not self.is_suspended(upstream, now)]
        return sorted(healthy or candidates, key=lambda upstream: self._cost(upstream, now))

    def is_suspended(self, upstream: UpstreamRecord, now: float) -> bool:
        """Tell whether an upstream gets no new work where others can take it."""
        return self._stats_of(upstream).suspended_until > now

    def decode_engines_by_load(
        self, service: str, now: float, excluded: Collection[str] = ()
    ) -> list[UpstreamRecord]:
        """Return a service's decode engines, those with the least memory in use here first."""
        ranked = self.ranked(service, Stage.DECODE, now, excluded)
        return sorted(
            ranked,
            key=lambda upstream: self._stats_of(upstream).reserved_tokens
            * self._rng.uniform(1, 1.1),
        )

    def work_started(self, upstream: UpstreamRecord, tokens: int = 0) -> None:
        """Count work sent to an upstream."""
        stats = self._stats_of(upstream)
        stats.in_flight += 1
        stats.reserved_tokens += tokens

    def work_ended(
        self,
        upstream: UpstreamRecord,
        verdict: Verdict,
        now: float,
        latency_s: float | None = None,
        tokens: int = 0,
    ) -> float:
        """Take note of how work ended; returns the suspension in force, in seconds.

        Args:
            entry: The upstream.
            verdict: What it tells of the upstream.
            now: Monotonic time in seconds.
            latency_s: Time to the answer, where one came.
            tokens: As given to ``started``.
        """
        stats = self._stats_of(upstream)
        stats.in_flight -= 1
        stats.reserved_tokens -= tokens
        if latency_s is not None:
            stats.latency.add(latency_s)
        self._record_verdict(stats, verdict, now)
        return max(0.0, stats.suspended_until - now)

    def record_no_answer(self, upstream: UpstreamRecord, now: float, min_pause_s: float) -> float:
        """Take note that an upstream did not answer; returns its suspension in seconds.

        Args:
            entry: The upstream.
            now: Monotonic time in seconds.
            least_s: Suspension after the first failure; it doubles with each further one in a row.
        """
        stats = self._stats_of(upstream)
        self._record_verdict(stats, Verdict.FAILED, now)
        stats.suspended_until = max(stats.suspended_until, now + min_pause_s)
        return stats.suspended_until - now

    def suspend(self, upstream: UpstreamRecord, until: float) -> None:
        """Give an upstream no new work until a time, where others can take it."""
        stats = self._stats_of(upstream)
        stats.suspended_until = max(stats.suspended_until, until)

    def in_flight(self, upstream: UpstreamRecord) -> int:
        """Return the work this entry has at an upstream."""
        return self._stats_of(upstream).in_flight

    def typical_latency_s(self, upstream: UpstreamRecord) -> float:
        """Return the usual time to an answer, in seconds."""
        return self._stats_of(upstream).latency.or_else(DEFAULT_LATENCY_S)

    def dump(self, now: float) -> Iterator[dict[str, object]]:
        """Yield what is known of each upstream."""
        for upstream in self._upstreams.values():
            stats = self._stats_of(upstream)
            yield {
                "upstream": upstream.name,
                "service": upstream.service,
                "stage": upstream.stage,
                "draining": upstream.draining,
                "gone": stats.gone_until > now,
                "in_flight": stats.in_flight,
                "tokens": stats.reserved_tokens,
                "latency_s": round(stats.latency.or_else(0.0), 3),
                "failing": round(stats.failure_rate.or_else(0.0), 2),
                "suspended_s": round(max(0.0, stats.suspended_until - now), 2),
            }

    def _stats_of(self, upstream: UpstreamRecord) -> _UpstreamStats:
        return self._stats.setdefault(incarnation_of(upstream), _UpstreamStats())

    def _cost(self, upstream: UpstreamRecord, now: float) -> float:
        stats = self._stats_of(upstream)
        latency_s = stats.latency.or_else(DEFAULT_LATENCY_S)
        cost_s = latency_s * (1 + stats.in_flight)
        cost_s += FAILURE_COST_S * stats.failure_rate.or_else(0.0)
        cost_s += REMOTE_ZONE_COST_S * (upstream.zone != self._zone)
        return cost_s * self._rng.uniform(1.0, 1.0 + COST_JITTER)

    def _record_verdict(self, stats: _UpstreamStats, verdict: Verdict, now: float) -> None:
        if verdict is Verdict.GONE:
            stats.gone_until = now + GONE_PAUSE_S
        elif verdict is Verdict.SOUND:
            stats.consecutive_failures = 0
            stats.failure_rate.add(0.0)
        elif verdict in (Verdict.ERROR, Verdict.FULL):
            stats.failure_rate.add(1.0)
        elif verdict is Verdict.FAILED:
            stats.failure_rate.add(1.0)
            stats.consecutive_failures += 1
            if stats.consecutive_failures >= FAILURES_TO_SUSPEND:
                doublings = min(stats.consecutive_failures - FAILURES_TO_SUSPEND, 8)
                pause_s = min(MAX_SUSPENSION_S, MIN_SUSPENSION_S * 2**doublings)
                stats.suspended_until = max(stats.suspended_until, now + pause_s)


def incarnation_of(upstream: UpstreamRecord) -> UpstreamIncarnation:
    """Return which start of an upstream an entry of the store speaks of."""
    return UpstreamIncarnation(upstream.name, upstream.started_ms)
