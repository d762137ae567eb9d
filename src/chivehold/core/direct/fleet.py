"""Upstreams known to an entry, statistics on their calls, and the ranking used to choose one."""

import math
from collections.abc import Callable, Collection, Iterable, Iterator
from enum import StrEnum
from random import Random
from typing import NamedTuple

from chivehold.core.direct.concurrency_limits import ConcurrencyLimits
from chivehold.core.direct.decode_choice import STREAMS_HALF_LIFE_S, EngineMemory, fullness
from chivehold.core.direct.expected_response import (
    COST_JITTER,
    MIN_USUAL_SHARE,
    ZONE_TOLERANCE,
    Candidate,
    ReportedWork,
    UpstreamWork,
    candidate_order,
    expected_response_s,
    service_time_s,
)
from chivehold.core.direct.messages import (
    Stage,
    UpstreamIncarnation,
    UpstreamRecord,
    UpstreamSignals,
    incarnation_of,
)
from chivehold.core.direct.reported_load import ReportedLoads
from chivehold.core.direct.speeds import Speeds, WorkKind
from chivehold.core.direct.upstream_admission import UpstreamAdmission
from chivehold.core.direct.upstream_capacity import UpstreamCapacity
from chivehold.core.smoothing import MovingAverage

DEFAULT_LATENCY_S = 0.08
"""Latency assumed for an upstream that has not responded yet."""
MIN_SERVICE_TIME_S = 0.001
LATENCY_WEIGHT = 0.2
"""Weight of the newest latency in the moving average."""
FAILURE_WEIGHT = 0.15
"""Weight of the newest call in the failure rate."""
FAILURE_HALF_LIFE_S = 5.0
"""Half-life of a failure rate, so that an upstream that works again is tried again."""
FAILURES_TO_SUSPEND = 2
"""Consecutive failures after which an upstream is suspended."""
MIN_SUSPENSION_S = 0.5
"""First suspension; it doubles with each further consecutive failure."""
MAX_SUSPENSION_S = 4.0
REMOTE_ZONE_COST_S = 0.002
"""Added cost of an upstream in another zone, so that at equal load the local zone is preferred."""
GONE_PAUSE_S = 4.0
"""Pause after an upstream has rejected a request as addressed to another one.

Meanwhile its record in the store is corrected or removed. An upstream that rejected the request
because its stage was changing accepts work again after the pause.
"""
FULL_MEMORY_S = 0.5
"""How long a decode engine that had no room is asked after the others."""


class Verdict(StrEnum):
    """What the end of a call says about the health of the upstream."""

    SOUND = "sound"
    """The upstream responded without a server error."""
    FAILED = "failed"
    """The connection broke, the response was invalid, or none came in time."""
    ERROR = "error"
    """The upstream responded with a server error."""
    FULL = "full"
    """The upstream refused the work because it had no capacity."""
    GONE = "gone"
    """The upstream is leaving, or its address now belongs to another upstream."""
    UNKNOWN = "unknown"
    """The call was abandoned for a reason unrelated to the upstream."""


class _UpstreamStats:
    """Statistics of this entry's calls to one upstream."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.reserved_tokens = 0
        self.latency = MovingAverage(LATENCY_WEIGHT)
        self.failure_rate = MovingAverage(FAILURE_WEIGHT)
        self.failed_at = -math.inf
        self.consecutive_failures = 0
        self.suspended_until = 0.0
        self.gone_until = 0.0
        self.full_for_tokens = 0
        self.full_at = -math.inf


class FleetChange(NamedTuple):
    """Difference between two successive lists of upstreams."""

    added: tuple[UpstreamRecord, ...]
    removed: tuple[UpstreamRecord, ...]
    changed: tuple[UpstreamRecord, ...]


class Fleet:
    """Keeps the list of upstreams and ranks them by the expected cost of a request.

    Args:
        zone: The zone of this entry.
        rng: Source of the jitter.
        admission: What upstreams say of themselves.
        is_confirmed: Returns whether all entries can know that streams may begin at an engine with
            this version of the software.
    """

    def __init__(
        self,
        zone: str,
        rng: Random,
        admission: UpstreamAdmission,
        is_confirmed: Callable[[UpstreamRecord], bool] = lambda upstream: True,
    ) -> None:
        self._zone = zone
        self._rng = rng
        self._admission = admission
        self._is_confirmed = is_confirmed
        self._upstreams: dict[str, UpstreamRecord] = {}
        self._stats: dict[UpstreamIncarnation, _UpstreamStats] = {}
        self._loads = ReportedLoads()
        self._uneven_services: set[str] = set()
        """Services whose upstreams state how slow they are now."""
        self._speeds = Speeds(self._uneven_services.__contains__)
        self._limits = ConcurrencyLimits()

    @property
    def loads(self) -> ReportedLoads:
        """The load that upstreams have reported."""
        return self._loads

    @property
    def speeds(self) -> Speeds:
        """The speeds of the upstreams."""
        return self._speeds

    @property
    def upstreams(self) -> tuple[UpstreamRecord, ...]:
        """All listed upstreams, including draining ones."""
        return tuple(self._upstreams.values())

    def replace(self, upstreams: Iterable[UpstreamRecord]) -> FleetChange:
        """Replace the list of upstreams and return the difference to the former one."""
        before, self._upstreams = self._upstreams, {
            upstream.name: self._with_leaving(upstream) for upstream in upstreams
        }
        current = {incarnation_of(upstream) for upstream in self._upstreams.values()}
        for known in [known for known in self._stats if known not in current]:
            if not self._stats[known].in_flight:
                del self._stats[known]
        self._admission.forget_limits_of_others(current)
        self._loads.forget_others(current)
        self._speeds.forget_others(current)
        self._limits.forget_others(current)
        return FleetChange(
            tuple(upstream for name, upstream in self._upstreams.items() if name not in before),
            tuple(upstream for name, upstream in before.items() if name not in self._upstreams),
            tuple(
                upstream
                for name, upstream in self._upstreams.items()
                if name in before and before[name] != upstream
            ),
        )

    def available(
        self, service: str, stage: Stage, now: float, software: str | None = None
    ) -> list[UpstreamRecord]:
        """Return the upstreams of a service and stage that accept work, even if suspended.

        Args:
            service: The service.
            stage: The stage of a model engine.
            now: Monotonic time in seconds.
            software: The version of their software; ``None`` for any.
        """
        return [
            upstream
            for upstream in self._upstreams.values()
            if upstream.service == service
            and upstream.stage is stage
            and software in (None, upstream.software)
            and not upstream.draining
            and self._stats_of(upstream).gone_until <= now
        ]

    def lists(self, service: str, software: str) -> bool:
        """Return whether an upstream of a service that does not drain has this software version."""
        return any(
            upstream.service == service and upstream.software == software and not upstream.draining
            for upstream in self._upstreams.values()
        )

    def ranked(
        self,
        service: str,
        stage: Stage,
        now: float,
        excluded: Collection[str] = (),
        software: str | None = None,
    ) -> list[UpstreamRecord]:
        """Return the candidate upstreams, best first; suspended ones only if all are suspended.

        Upstreams that want no request now or whose limit allows none are left out.

        Args:
            service: The service.
            stage: The stage of a model engine.
            now: Monotonic time in seconds.
            excluded: Names of upstreams to leave out.
            software: The version of their software; ``None`` for any.
        """
        usable = self._usable(service, stage, now, excluded, software)
        if stage is Stage.NONE and any(self.reports_load(upstream, now) for upstream in usable):
            offers = {upstream: self._candidate(upstream, now) for upstream in usable}
            return candidate_order(offers, self._zone, self._rng)
        return sorted(usable, key=self._cost)

    def may_send(self, upstream: UpstreamRecord, now: float) -> bool:
        """Return whether the upstream wants a request now, by what it has said itself."""
        return self._admission.wait_s(incarnation_of(upstream), now) <= 0

    def wait_s(
        self, service: str, stage: Stage, now: float, software: str | None = None
    ) -> float | None:
        """Return the time until an upstream wants a request, in seconds.

        Args:
            service: The service.
            stage: The stage of a model engine.
            now: Monotonic time in seconds.
            software: The version of the upstream's software; ``None`` for any.

        Returns:
            The shortest time, 0 if one wants a request now, ``None`` if there is no upstream.
        """
        waits_s = (
            self._admission.wait_s(incarnation_of(upstream), now)
            for upstream in self.available(service, stage, now, software)
        )
        return min(waits_s, default=None)

    def with_room(
        self, service: str, now: float, excluded: Collection[str] = ()
    ) -> list[UpstreamRecord]:
        """Return the upstreams of a plain service that have room for a request, best first."""
        ranked = self.ranked(service, Stage.NONE, now, excluded)
        return [upstream for upstream in ranked if self._allows(upstream, now)]

    def has_room(self, service: str, now: float) -> bool:
        """Return whether waiting would not help: an upstream has room, or there is none at all."""
        usable = self._usable(service, Stage.NONE, now)
        return not usable or any(self._allows(upstream, now) for upstream in usable)

    def expected_wait_s(self, service: str, position: int, now: float) -> float:
        """Return when a request that waits for room is expected to have been served, in seconds.

        Args:
            service: The plain service.
            position: Number of requests that go before it.
            now: Monotonic time in seconds.
        """
        available = self.available(service, Stage.NONE, now)
        times_s = [self.service_time_s(upstream, now) for upstream in available]
        rate = sum(
            (self.limit(upstream, now) or 1.0) / time_s
            for upstream, time_s in zip(available, times_s, strict=True)
        )
        return (position + 1) / rate + min(times_s) if available else 0.0

    def service_time_s(self, upstream: UpstreamRecord, now: float) -> float:
        """Return how long a plain upstream works on a request now, without waiting, in seconds."""
        latency_s = self._stats_of(upstream).latency.value_or(DEFAULT_LATENCY_S)
        reported = self._reported_work(upstream, latency_s, now)
        return max(MIN_SERVICE_TIME_S, reported.usual_s * reported.slowness)

    def zone_factor(self, upstream: UpstreamRecord, now: float) -> float:
        """Return by what to multiply an expected time, so that the own zone is preferred."""
        is_remote = upstream.zone != self._zone and self.reports_load(upstream, now)
        return ZONE_TOLERANCE if is_remote else 1.0

    def limit(self, upstream: UpstreamRecord, now: float) -> float | None:
        """Return how many requests of this entry an upstream may have, ``None`` if any number."""
        return self._limits.limit(incarnation_of(upstream), now)

    def reports_load(self, upstream: UpstreamRecord, now: float) -> bool:
        """Return whether an upstream has lately reported its load."""
        return self._loads.report_of(incarnation_of(upstream), now) is not None

    def is_suspended(self, upstream: UpstreamRecord, now: float) -> bool:
        """Return whether an upstream is to get new work only if no other can take it."""
        return self._stats_of(upstream).suspended_until > now

    def decode_engines_by_load(
        self,
        service: str,
        tokens: int,
        now: float,
        excluded: Collection[str] = (),
        software: str | None = None,
    ) -> list[UpstreamRecord]:
        """Return a service's decode engines, those most likely to have room for a request first.

        Engines that have just refused a request of this size or a smaller one come last, the latest
        refusal at the end: their memory is freed only when a stream ends. Among the others, those
        with the least memory in use come first, as far as it is known, and fast ones before slow
        ones. A random factor spreads entries that see the same load.

        A stream that begins may do so at any software version, but at one that not all entries can
        know of yet only if there is no other.

        Args:
            service: The service.
            tokens: Memory that the request needs, in tokens.
            now: Monotonic time in seconds.
            excluded: Names of upstreams to leave out.
            software: The version of the engines' software; ``None`` for any.
        """
        ranked = self.ranked(service, Stage.DECODE, now, excluded, software)
        if software is None:
            ranked = [upstream for upstream in ranked if self._is_confirmed(upstream)] or ranked
        return sorted(ranked, key=lambda upstream: self._fullness(upstream, tokens, now))

    def record_full(self, upstream: UpstreamRecord, tokens: int, now: float) -> None:
        """Record that a decode engine had no room for a number of tokens."""
        stats = self._stats_of(upstream)
        stats.full_for_tokens = tokens
        stats.full_at = now

    def spend_permit(self, upstream: UpstreamRecord, now: float) -> None:
        """Count a request that is about to be sent against the upstream's limit, if any."""
        self._admission.spend_permit(incarnation_of(upstream), now)
        self._limits.record_start(incarnation_of(upstream), now)

    def record_start(self, upstream: UpstreamRecord, tokens: int = 0) -> None:
        """Record a call to an upstream and the tokens of memory reserved for it."""
        stats = self._stats_of(upstream)
        stats.in_flight += 1
        stats.reserved_tokens += tokens

    def record_end(
        self,
        upstream: UpstreamRecord,
        verdict: Verdict,
        now: float,
        latency_s: float | None = None,
        tokens: int = 0,
    ) -> float:
        """Record how a call ended and return the remaining suspension, in seconds.

        Args:
            upstream: The upstream.
            verdict: What the call says about the upstream's health.
            now: Monotonic time in seconds.
            latency_s: Time to the response, if there was one.
            tokens: The tokens passed to ``record_start``.
        """
        stats = self._stats_of(upstream)
        if upstream.stage is Stage.NONE:
            self._adapt_limit(upstream, verdict, now)
        stats.in_flight -= 1
        stats.reserved_tokens -= tokens
        if latency_s is not None:
            stats.latency.add(latency_s)
            if upstream.stage is Stage.NONE:
                incarnation = incarnation_of(upstream)
                service_s = service_time_s(latency_s, self._loads.report_of(incarnation, now))
                self._speeds.record(_kind_of(upstream), incarnation, service_s)
        self._record_verdict(stats, verdict, now)
        return max(0.0, stats.suspended_until - now)

    def record_no_answer(self, upstream: UpstreamRecord, now: float, min_pause_s: float) -> float:
        """Record that an upstream did not answer and return its suspension, in seconds.

        Args:
            upstream: The upstream.
            now: Monotonic time in seconds.
            min_pause_s: Shortest suspension, imposed by a single failure; consecutive failures
                extend it.
        """
        stats = self._stats_of(upstream)
        self._record_verdict(stats, Verdict.FAILED, now)
        stats.suspended_until = max(stats.suspended_until, now + min_pause_s)
        return stats.suspended_until - now

    def record_event_time(self, upstream: UpstreamRecord, s_per_event: float) -> None:
        """Record the mean time between the events of a stream that kept its pace."""
        self._speeds.record(_kind_of(upstream), incarnation_of(upstream), s_per_event)

    def suspend(self, upstream: UpstreamRecord, until: float) -> None:
        """Suspend an upstream until a time; a suspension is never shortened."""
        stats = self._stats_of(upstream)
        stats.suspended_until = max(stats.suspended_until, until)

    def record_signals(
        self, upstream: UpstreamRecord, signals: UpstreamSignals, sent_at: float, now: float
    ) -> None:
        """Record what an upstream has said of itself; see ``UpstreamAdmission.record``."""
        incarnation = incarnation_of(upstream)
        self._admission.record(incarnation, signals, sent_at, now)
        if signals.load is not None and signals.load.slowness is not None:
            self._uneven_services.add(upstream.service)
        if signals.load is not None and upstream.service in self._uneven_services:
            self._loads.record(incarnation, signals.load, self.in_flight(upstream), now)
        self._update_leaving(upstream.name)

    def record_leaving(self, upstream: UpstreamIncarnation) -> None:
        """Record that an upstream leaves, by its response to another entry."""
        self._admission.record_leaving(upstream)
        self._update_leaving(upstream.name)

    def max_rate(self, upstream: UpstreamRecord) -> float | None:
        """Return the requests per second that an upstream takes, or ``None`` if not limited."""
        return self._admission.max_rate(incarnation_of(upstream))

    def pause_left_s(self, upstream: UpstreamRecord, now: float) -> float:
        """Return the time for which an upstream still wants no requests, in seconds."""
        return self._admission.pause_left_s(incarnation_of(upstream), now)

    def is_leaving(self, upstream: UpstreamRecord) -> bool:
        """Return whether an upstream has said that it leaves, itself or in the store."""
        return self._admission.is_leaving(incarnation_of(upstream))

    def in_flight(self, upstream: UpstreamRecord) -> int:
        """Return the number of this entry's calls in progress at an upstream."""
        return self._stats_of(upstream).in_flight

    def dump(self, now: float) -> Iterator[dict[str, object]]:
        """Yield the state of each upstream for the operators' dump."""
        for upstream in self._upstreams.values():
            stats = self._stats_of(upstream)
            yield {
                "upstream": upstream.name,
                "service": upstream.service,
                "stage": upstream.stage,
                "software": upstream.software,
                "draining": upstream.draining,
                "gone": stats.gone_until > now,
                "in_flight": stats.in_flight,
                "max_rate": self.max_rate(upstream),
                "paused_s": round(self.pause_left_s(upstream, now), 2),
                "tokens": stats.reserved_tokens,
                "latency_s": round(stats.latency.value_or(0.0), 3),
                "failing": round(stats.failure_rate.value_or(0.0), 2),
                "suspended_s": round(max(0.0, stats.suspended_until - now), 2),
                **self._capacity_of(upstream, now)._asdict(),
            }

    def capacities(self, now: float) -> Iterator[tuple[UpstreamRecord, UpstreamCapacity]]:
        """Yield what each upstream can do now, for the metrics."""
        for upstream in self._upstreams.values():
            yield upstream, self._capacity_of(upstream, now)

    def _capacity_of(self, upstream: UpstreamRecord, now: float) -> UpstreamCapacity:
        incarnation, kind = incarnation_of(upstream), _kind_of(upstream)
        age_s = self._loads.age_s(incarnation, now)
        limit = self._limits.limit(incarnation, now)
        own = self._stats_of(upstream).in_flight
        return UpstreamCapacity(
            relative_time=round(self._speeds.relative(kind, incarnation), 2),
            slowness=round(self._loads.slowness(incarnation, now), 2),
            in_progress=round(own + self._loads.others(incarnation, now), 1),
            report_age_s=None if age_s is None else round(age_s, 2),
            limit=None if limit is None else round(limit, 2),
        )

    def _update_leaving(self, name: str) -> None:
        listed = self._upstreams.get(name)
        if listed is not None:
            self._upstreams[name] = self._with_leaving(listed)

    def _with_leaving(self, upstream: UpstreamRecord) -> UpstreamRecord:
        """Return an upstream as draining if it is known to leave.

        A store that was restored from a copy may list it as it was before.
        """
        incarnation = incarnation_of(upstream)
        if upstream.draining:
            self._admission.record_leaving(incarnation)
        return upstream._replace(draining=self._admission.is_leaving(incarnation))

    def _stats_of(self, upstream: UpstreamRecord) -> _UpstreamStats:
        return self._stats.setdefault(incarnation_of(upstream), _UpstreamStats())

    def _fullness(self, upstream: UpstreamRecord, tokens: int, now: float) -> tuple[float, float]:
        stats, incarnation = self._stats_of(upstream), incarnation_of(upstream)
        refused_until = stats.full_at + FULL_MEMORY_S if tokens >= stats.full_for_tokens else now
        relative = self._speeds.relative(_kind_of(upstream), incarnation)
        engine = EngineMemory(
            max(0.0, refused_until - now),
            stats.reserved_tokens,
            self._loads.others(incarnation, now, STREAMS_HALF_LIFE_S),
            relative * self._loads.slowness(incarnation, now),
            self.reports_load(upstream, now) and upstream.zone != self._zone,
        )
        return fullness(engine, tokens, self._rng.uniform(1.0, 1.0 + COST_JITTER))

    def _usable(
        self,
        service: str,
        stage: Stage,
        now: float,
        excluded: Collection[str] = (),
        software: str | None = None,
    ) -> list[UpstreamRecord]:
        """Return the upstreams that want a request; suspended ones only if all are suspended."""
        candidates = [
            upstream
            for upstream in self.available(service, stage, now, software)
            if upstream.name not in excluded and self.may_send(upstream, now)
        ]
        healthy = [upstream for upstream in candidates if not self.is_suspended(upstream, now)]
        return healthy or candidates

    def _allows(self, upstream: UpstreamRecord, now: float) -> bool:
        service_s, in_flight = self.service_time_s(upstream, now), self.in_flight(upstream)
        return self._limits.allows(incarnation_of(upstream), in_flight, service_s, now)

    def _adapt_limit(self, upstream: UpstreamRecord, verdict: Verdict, now: float) -> None:
        incarnation = incarnation_of(upstream)
        if verdict is Verdict.SOUND:
            self._limits.record_success(incarnation)
        elif verdict is Verdict.FULL and self.reports_load(upstream, now):
            self._limits.record_refusal(incarnation, self.in_flight(upstream), now)

    def _cost(self, upstream: UpstreamRecord) -> float:
        cost_s = expected_response_s(self._work_of(upstream), None)
        cost_s += REMOTE_ZONE_COST_S * (upstream.zone != self._zone)
        return cost_s * self._rng.uniform(1.0, 1.0 + COST_JITTER)

    def _candidate(self, upstream: UpstreamRecord, now: float) -> Candidate:
        work = self._work_of(upstream)
        since_s = now - self._stats_of(upstream).failed_at
        remembered: float = 0.5 ** (since_s / FAILURE_HALF_LIFE_S)
        work = work._replace(failure_rate=work.failure_rate * remembered)
        reported = self._reported_work(upstream, work.latency_s, now)
        cost_s = expected_response_s(work, reported)
        return Candidate(
            cost_s * self._rng.uniform(1.0, 1.0 + COST_JITTER),
            reported.usual_s * reported.slowness,
            (work.in_flight + reported.others) / max(1, upstream.slots),
        )

    def _work_of(self, upstream: UpstreamRecord) -> UpstreamWork:
        stats = self._stats_of(upstream)
        return UpstreamWork(
            stats.latency.value_or(DEFAULT_LATENCY_S),
            stats.in_flight,
            stats.failure_rate.value_or(0.0),
        )

    def _reported_work(
        self, upstream: UpstreamRecord, latency_s: float, now: float
    ) -> ReportedWork:
        incarnation = incarnation_of(upstream)
        usual_s = self._speeds.usual_s(_kind_of(upstream), incarnation) or latency_s
        if self._speeds.is_known(_kind_of(upstream), incarnation):
            usual_s = max(usual_s, MIN_USUAL_SHARE * latency_s)
        return ReportedWork(
            usual_s,
            self._loads.others(incarnation, now),
            self._loads.slowness(incarnation, now),
        )

    def _record_verdict(self, stats: _UpstreamStats, verdict: Verdict, now: float) -> None:
        if verdict is Verdict.GONE:
            stats.gone_until = now + GONE_PAUSE_S
        elif verdict is Verdict.SOUND:
            stats.consecutive_failures = 0
            stats.failure_rate.add(0.0)
        elif verdict in (Verdict.ERROR, Verdict.FULL):
            stats.failed_at = now
            stats.failure_rate.add(1.0)
        elif verdict is Verdict.FAILED:
            stats.failed_at = now
            stats.failure_rate.add(1.0)
            stats.consecutive_failures += 1
            if stats.consecutive_failures >= FAILURES_TO_SUSPEND:
                doublings = min(stats.consecutive_failures - FAILURES_TO_SUSPEND, 8)
                pause_s = min(MAX_SUSPENSION_S, MIN_SUSPENSION_S * 2**doublings)
                stats.suspended_until = max(stats.suspended_until, now + pause_s)


def _kind_of(upstream: UpstreamRecord) -> WorkKind:
    return WorkKind(upstream.service, upstream.stage)
