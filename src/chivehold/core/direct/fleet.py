"""The upstreams that an entry knows, what it has seen of them, and which one to ask next."""

from collections.abc import Collection, Iterable, Iterator
from enum import StrEnum
from random import Random
from typing import NamedTuple

from chivehold.core.direct.messages import Stage, UpstreamEntry
from chivehold.core.smoothing import MovingAverage

FIRST_LATENCY_S = 0.08
"""Assumed of an upstream that has not answered yet."""
LATENCY_WEIGHT = 0.2
FAILURE_WEIGHT = 0.15
FAILURES_TO_SUSPEND = 2
"""Failures in a row after which an upstream gets no work for a while."""
FIRST_SUSPENSION_S = 0.5
LONGEST_SUSPENSION_S = 4.0
REMOTE_ZONE_COST_S = 0.002
"""A near upstream goes before an equally loaded one of another zone."""
GONE_S = 4.0
"""How long an upstream that refused work as not meant for it gets none.

Its entry is corrected or removed meanwhile; one whose stage was changing then takes work again.
"""
FAILURE_COST_S = 0.5
"""What a failed try costs the caller, times the share of tries that fail."""
JITTER = 0.1
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


class _Seen:
    """What this entry has seen of one upstream."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.tokens = 0
        self.latency = MovingAverage(LATENCY_WEIGHT)
        self.failing = MovingAverage(FAILURE_WEIGHT)
        self.failures = 0
        self.suspended_until = 0.0
        self.gone_until = 0.0


class FleetChange(NamedTuple):
    """What a new list of upstreams has changed."""

    came: tuple[UpstreamEntry, ...]
    left: tuple[UpstreamEntry, ...]
    changed: tuple[UpstreamEntry, ...]


class Fleet:
    """Keeps the upstreams and orders them by what a request may expect there.

    Args:
        zone: The zone of this entry.
        rng: Draws the jitter.
    """

    def __init__(self, zone: str, rng: Random) -> None:
        self._zone = zone
        self._rng = rng
        self._entries: dict[str, UpstreamEntry] = {}
        self._seen: dict[UpstreamIncarnation, _Seen] = {}

    @property
    def entries(self) -> tuple[UpstreamEntry, ...]:
        """All upstreams that are listed, leaving ones included."""
        return tuple(self._entries.values())

    def replace(self, entries: Iterable[UpstreamEntry]) -> FleetChange:
        """Take the list of upstreams now in force, and return what is new in it."""
        before, self._entries = self._entries, {entry.name: entry for entry in entries}
        current = {incarnation(entry) for entry in self._entries.values()}
        for known in [known for known in self._seen if known not in current]:
            if not self._seen[known].in_flight:
                del self._seen[known]
        return FleetChange(
            tuple(entry for name, entry in self._entries.items() if name not in before),
            tuple(entry for name, entry in before.items() if name not in self._entries),
            tuple(
                entry
                for name, entry in self._entries.items()
                if name in before and before[name] != entry
            ),
        )

    def serving(self, service: str, stage: Stage, now: float) -> list[UpstreamEntry]:
        """Return the upstreams of a service and stage that take new work."""
        return [
            entry
            for entry in self._entries.values()
            if entry.service == service
            and entry.stage is stage
            and not entry.draining
            and self._of(entry).gone_until <= now
        ]

    def ranked(
        self, service: str, stage: Stage, now: float, without: Collection[str] = ()
    ) -> list[UpstreamEntry]:
        """Return the upstreams to ask, the best first; suspended ones only if all are.

        Args:
            service: The service.
            stage: The stage of a model engine.
            now: Monotonic time in seconds.
            without: Names of upstreams that are not to be asked.
        """
        able = [one for one in self.serving(service, stage, now) if one.name not in without]
        sound = [one for one in able if not self.is_suspended(one, now)]
        return sorted(sound or able, key=lambda one: self._cost(one, now))

    def is_suspended(self, entry: UpstreamEntry, now: float) -> bool:
        """Tell whether an upstream gets no new work where others can take it."""
        return self._of(entry).suspended_until > now

    def roomiest(
        self, service: str, now: float, without: Collection[str] = ()
    ) -> list[UpstreamEntry]:
        """Return a service's decode engines, those with the least memory in use here first."""
        ranked = self.ranked(service, Stage.DECODE, now, without)
        return sorted(ranked, key=lambda one: self._of(one).tokens * self._rng.uniform(1, 1.1))

    def started(self, entry: UpstreamEntry, tokens: int = 0) -> None:
        """Count work sent to an upstream."""
        seen = self._of(entry)
        seen.in_flight += 1
        seen.tokens += tokens

    def ended(
        self,
        entry: UpstreamEntry,
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
        seen = self._of(entry)
        seen.in_flight -= 1
        seen.tokens -= tokens
        if latency_s is not None:
            seen.latency.add(latency_s)
        self._judge(seen, verdict, now)
        return max(0.0, seen.suspended_until - now)

    def failed(self, entry: UpstreamEntry, now: float, least_s: float) -> float:
        """Take note that an upstream did not answer; returns its suspension in seconds.

        Args:
            entry: The upstream.
            now: Monotonic time in seconds.
            least_s: Suspension after the first failure; it doubles with each further one in a row.
        """
        seen = self._of(entry)
        self._judge(seen, Verdict.FAILED, now)
        seen.suspended_until = max(seen.suspended_until, now + least_s)
        return seen.suspended_until - now

    def suspend(self, entry: UpstreamEntry, until: float) -> None:
        """Give an upstream no new work until a time, where others can take it."""
        seen = self._of(entry)
        seen.suspended_until = max(seen.suspended_until, until)

    def in_flight(self, entry: UpstreamEntry) -> int:
        """Return the work this entry has at an upstream."""
        return self._of(entry).in_flight

    def typical_latency_s(self, entry: UpstreamEntry) -> float:
        """Return the usual time to an answer, in seconds."""
        return self._of(entry).latency.value_or(FIRST_LATENCY_S)

    def dump(self, now: float) -> Iterator[dict[str, object]]:
        """Yield what is known of each upstream."""
        for entry in self._entries.values():
            seen = self._of(entry)
            yield {
                "upstream": entry.name,
                "service": entry.service,
                "stage": entry.stage,
                "draining": entry.draining,
                "gone": seen.gone_until > now,
                "in_flight": seen.in_flight,
                "tokens": seen.tokens,
                "latency_s": round(seen.latency.value_or(0.0), 3),
                "failing": round(seen.failing.value_or(0.0), 2),
                "suspended_s": round(max(0.0, seen.suspended_until - now), 2),
            }

    def _of(self, entry: UpstreamEntry) -> _Seen:
        return self._seen.setdefault(incarnation(entry), _Seen())

    def _cost(self, entry: UpstreamEntry, now: float) -> float:
        seen = self._of(entry)
        latency_s = seen.latency.value_or(FIRST_LATENCY_S)
        cost_s = latency_s * (1 + seen.in_flight)
        cost_s += FAILURE_COST_S * seen.failing.value_or(0.0)
        cost_s += REMOTE_ZONE_COST_S * (entry.zone != self._zone)
        return cost_s * self._rng.uniform(1.0, 1.0 + JITTER)

    def _judge(self, seen: _Seen, verdict: Verdict, now: float) -> None:
        if verdict is Verdict.GONE:
            seen.gone_until = now + GONE_S
        elif verdict is Verdict.SOUND:
            seen.failures = 0
            seen.failing.add(0.0)
        elif verdict in (Verdict.ERROR, Verdict.FULL):
            seen.failing.add(1.0)
        elif verdict is Verdict.FAILED:
            seen.failing.add(1.0)
            seen.failures += 1
            if seen.failures >= FAILURES_TO_SUSPEND:
                doublings = min(seen.failures - FAILURES_TO_SUSPEND, 8)
                pause_s = min(LONGEST_SUSPENSION_S, FIRST_SUSPENSION_S * 2**doublings)
                seen.suspended_until = max(seen.suspended_until, now + pause_s)


def incarnation(entry: UpstreamEntry) -> UpstreamIncarnation:
    """Return which start of an upstream an entry of the store speaks of."""
    return UpstreamIncarnation(entry.name, entry.started_ms)
