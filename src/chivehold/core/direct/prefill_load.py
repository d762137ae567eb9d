"""Limits on how much one entry uses the prefill engines, and how long it waits for a prefill.

An engine interleaves its prompts, so that with n prompts each takes n times as long. An entry only
sees its own prompts; it learns of others from the durations of its own prefills. It may always use
an equal share of the engines' capacity; beyond that it uses an engine while a prefill there is
expected to take no longer than the caller of this module has patience for. All other prompts are
prefilled by decode engines.

Engines differ in speed. The duration of a prefill that has its engine to itself is the fastest that
the service's engines have shown, times the engine's relative speed, times its present slowness.
"""

import math
from statistics import mean
from typing import NamedTuple

from chivehold.core.direct.messages import Stage, UpstreamIncarnation
from chivehold.core.direct.reported_load import ReportedLoads
from chivehold.core.direct.speeds import Speeds, WorkKind

FASTEST_QUANTILE = 0.1
"""The fastest tenth of all prefills is taken to have had the engine to itself."""
NEWEST_WEIGHT = 0.5
"""Weight of the newest prefill in the load estimate."""
LOAD_HALF_LIFE_S = 1.5
"""Half-life of what a load estimate says about the prompts of other entries."""
TIMED_OUT_PROMPTS = 6.0
"""Minimum load assumed of an engine whose prefill timed out."""
BURST_PROMPTS = 2.0
"""Prompts that an entry may send in a burst after it has been idle."""
MIN_TIMEOUT_S = 0.5
MAX_TIMEOUT_S = 2.0
TIMEOUT_FACTOR = 4.0
"""A prefill times out after this multiple of its expected duration."""
DEFAULT_S_PER_TOKEN = 1.0 / 25_000
"""Prefill time per token assumed before the first prefill."""


class _LoadEstimate(NamedTuple):
    """Estimated number of concurrent prompts at an engine, and when it was updated."""

    prompts: float
    updated_at: float


class PrefillLoad:
    """One entry's estimate of the load on the prefill engines of one service.

    Args:
        service: The service.
        speeds: The speeds of its engines.
        loads: The load that its engines report.
    """

    def __init__(
        self, service: str = "", speeds: Speeds | None = None, loads: ReportedLoads | None = None
    ) -> None:
        self._kind = WorkKind(service, Stage.PREFILL)
        self._speeds = speeds or Speeds()
        self._loads = loads or ReportedLoads()
        self._fastest_s_per_token = DEFAULT_S_PER_TOKEN
        self._estimates: dict[UpstreamIncarnation, _LoadEstimate] = {}
        self._running: dict[UpstreamIncarnation, list[float]] = {}
        self._credit_s = 0.0
        """Engine time that this entry may still use from its equal share, in seconds."""
        self._refilled_at = -math.inf

    def may_use(
        self,
        engine: UpstreamIncarnation,
        tokens: int,
        engines: int,
        entries: int,
        patience_s: float,
        now: float,
    ) -> bool:
        """Return whether a prompt may be sent to an engine.

        Args:
            engine: The engine.
            tokens: Length of the prompt in tokens.
            engines: Number of prefill engines that the entries share.
            entries: Number of entries that share them.
            patience_s: How long a prefill may take beyond this entry's share, in seconds.
            now: Monotonic time in seconds.
        """
        gained_s = (now - self._refilled_at) * engines / max(1, entries)
        most_s = BURST_PROMPTS * max(1, tokens) * self._fastest_s_per_token
        self._credit_s = min(most_s, self._credit_s + gained_s)
        self._refilled_at = now
        if self._is_being_probed(engine):
            return False
        unshared_s = self._unshared_s(engine, tokens, now)
        if self._credit_s >= unshared_s:
            return True
        return self.expected_s(engine, tokens, now) <= patience_s

    def expected_s(self, engine: UpstreamIncarnation, tokens: int, now: float) -> float:
        """Return how long a prefill engine would take for a prompt sent now, in seconds."""
        others = max(self.estimated_prompts(engine, now) - 1.0, len(self._running.get(engine, ())))
        return self._unshared_s(engine, tokens, now) * (1.0 + others)

    def record_start(self, engine: UpstreamIncarnation, tokens: int, now: float) -> None:
        """Record that a prefill was sent, and charge its time to this entry's share."""
        self._credit_s = max(0.0, self._credit_s - self._unshared_s(engine, tokens, now))
        self._running.setdefault(engine, []).append(now)

    def record_end(self, engine: UpstreamIncarnation, started_at: float) -> None:
        """Record that a prefill has ended, whatever its result."""
        self._running[engine].remove(started_at)
        if not self._running[engine]:
            del self._running[engine]

    def record_duration(
        self, engine: UpstreamIncarnation, tokens: int, took_s: float, now: float
    ) -> None:
        """Learn the engine's speed and load from the duration of a completed prefill."""
        unit_s = took_s / max(1, tokens) / self._loads.slowness(engine, now)
        self._speeds.record(self._kind, engine, unit_s / self._load_factor(engine, now))
        self._update_fastest()
        prompts = max(1.0, took_s / self._unshared_s(engine, tokens, now))
        before = self.estimated_prompts(engine, now)
        self._estimates[engine] = _LoadEstimate(before + NEWEST_WEIGHT * (prompts - before), now)

    def record_timeout(self, engine: UpstreamIncarnation, now: float) -> None:
        """Raise the load estimate of an engine whose prefill timed out."""
        prompts = max(TIMED_OUT_PROMPTS, self.estimated_prompts(engine, now))
        self._estimates[engine] = _LoadEstimate(prompts, now)

    def estimated_prompts(self, engine: UpstreamIncarnation, now: float) -> float:
        """Return the estimated number of prompts at an engine.

        Of an engine without a sample it is the mean of the others, so that one that starts while
        they are busy is not flooded by all entries; 1 if nothing is known.
        """
        estimate = self._estimates.get(engine)
        if estimate is not None:
            return _prompts_now(estimate, now)
        if self._speeds.is_known(self._kind, engine) or not self._may_differ:
            return 1.0
        return mean([_prompts_now(known, now) for known in self._estimates.values()] or [1.0])

    def timeout_s(self, engine: UpstreamIncarnation, tokens: int, now: float) -> float:
        """Return the timeout of a prefill, in seconds."""
        expected_s = self.expected_s(engine, tokens, now)
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, TIMEOUT_FACTOR * expected_s))

    @property
    def _may_differ(self) -> bool:
        return self._speeds.may_differ(self._kind.service)

    def _unshared_s(self, engine: UpstreamIncarnation, tokens: int, now: float) -> float:
        """Return the duration of a prefill that has an engine to itself, in seconds."""
        s_per_token = self._fastest_s_per_token * self._speeds.relative(self._kind, engine)
        return max(1, tokens) * s_per_token * self._loads.slowness(engine, now)

    def _update_fastest(self) -> None:
        """Update the time per token at an engine of median speed without other prompts."""
        s_per_token = sorted(
            sample / self._speeds.relative(self._kind, engine)
            for engine, sample in self._speeds.all_samples(self._kind)
        )
        self._fastest_s_per_token = s_per_token[math.floor(len(s_per_token) * FASTEST_QUANTILE)]

    def _is_being_probed(self, engine: UpstreamIncarnation) -> bool:
        """Return whether a prompt runs at an engine of unknown speed while others are known."""
        return (
            self._may_differ
            and engine in self._running
            and not self._speeds.is_known(self._kind, engine)
            and self._speeds.has_samples(self._kind)
        )

    def _load_factor(self, engine: UpstreamIncarnation, now: float) -> float:
        """Return by how many prompts an engine's time was divided, by its report; 1 without one."""
        report = self._loads.report_of(engine, now)
        if report is None:
            return 1.0
        return max(1.0, (report.load.running + report.load.waiting + 1) / 2)


def _prompts_now(estimate: _LoadEstimate, now: float) -> float:
    remembered: float = 0.5 ** ((now - estimate.updated_at) / LOAD_HALF_LIFE_S)
    return 1.0 + (estimate.prompts - 1.0) * remembered
