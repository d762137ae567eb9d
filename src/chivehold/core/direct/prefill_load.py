"""How much of the prefill engines an entry may use, and for how long it waits for one.

Several prompts at one engine are read by turns, so that each takes as many times longer as there
are prompts. An entry sees only its own. It may always use an equal part of what the engines can
read; beyond that it uses them only while its own prompts show that hardly anyone else does. All
other prompts are read by decode engines, which takes about as long as an engine with two prompts.
"""

import math
from collections import deque
from typing import NamedTuple

from chivehold.core.direct.fleet import UpstreamIncarnation

SAMPLES_KEPT = 60
FASTEST_QUANTILE = 0.1
"""The quickest tenth of all readings counts as those that were alone."""
NEWEST_WEIGHT = 0.5
LIGHT_LOAD_PROMPTS = 1.4
"""Up to so many prompts at an engine it counts as hardly used."""
LOAD_HALF_LIFE_S = 1.5
"""What was seen counts half as much after this time."""
TIMED_OUT_PROMPTS = 6.0
BURST_PROMPTS = 2.0
"""Prompts that an entry may send at once after a calm time."""
MIN_TIMEOUT_S = 0.5
MAX_TIMEOUT_S = 2.0
TIMEOUT_FACTOR = 4.0
"""A prefill that takes so many times the expected time is given up."""
DEFAULT_S_PER_TOKEN = 1.0 / 25_000
"""Assumed before the first prefill."""


class _LoadEstimate(NamedTuple):
    prompts: float
    updated_at: float


class PrefillLoad:
    """What one entry knows of the prefill engines of one service."""

    def __init__(self) -> None:
        self._s_per_token: deque[float] = deque(maxlen=SAMPLES_KEPT)
        self._estimates: dict[UpstreamIncarnation, _LoadEstimate] = {}
        self._running: dict[UpstreamIncarnation, list[float]] = {}
        self._credit_s = 0.0
        """Engine time that this entry may use, in seconds."""
        self._refilled_at = -math.inf

    def may_use(
        self, engine: UpstreamIncarnation, tokens: int, engines: int, entries: int, now: float
    ) -> bool:
        """Tell whether a prompt may go to an engine.

        Args:
            engine: The engine.
            tokens: Length of the prompt.
            engines: Prefill engines that all entries share.
            entries: Entries that share them.
            now: Monotonic time in seconds.
        """
        unshared_s = self._unshared_s(tokens)
        gained_s = (now - self._refilled_at) * engines / max(1, entries)
        self._credit_s = min(BURST_PROMPTS * unshared_s, self._credit_s + gained_s)
        self._refilled_at = now
        if self._credit_s >= unshared_s:
            return True
        return not self._running.get(engine) and self._is_lightly_loaded(engine, now)

    def record_start(self, engine: UpstreamIncarnation, tokens: int, now: float) -> None:
        """Take note of a prefill that is sent."""
        self._credit_s = max(0.0, self._credit_s - self._unshared_s(tokens))
        self._running.setdefault(engine, []).append(now)

    def record_end(self, engine: UpstreamIncarnation, started_at: float) -> None:
        """Take note that a prefill is over, whatever became of it."""
        self._running[engine].remove(started_at)
        if not self._running[engine]:
            del self._running[engine]

    def record_duration(
        self, engine: UpstreamIncarnation, tokens: int, took_s: float, now: float
    ) -> None:
        """Take note of how long a whole prefill took."""
        self._s_per_token.append(took_s / max(1, tokens))
        prompts = max(1.0, took_s / self._unshared_s(tokens))
        before = self.estimated_prompts(engine, now)
        self._estimates[engine] = _LoadEstimate(before + NEWEST_WEIGHT * (prompts - before), now)

    def record_timeout(self, engine: UpstreamIncarnation, now: float) -> None:
        """Take note of a prefill that did not end in time."""
        prompts = max(TIMED_OUT_PROMPTS, self.estimated_prompts(engine, now))
        self._estimates[engine] = _LoadEstimate(prompts, now)

    def estimated_prompts(self, engine: UpstreamIncarnation, now: float) -> float:
        """Return how many prompts an engine is likely reading; 1 where nothing is known."""
        estimate = self._estimates.get(engine)
        if estimate is None:
            return 1.0
        remembered: float = 0.5 ** ((now - estimate.updated_at) / LOAD_HALF_LIFE_S)
        return 1.0 + (estimate.prompts - 1.0) * remembered

    def timeout_s(self, engine: UpstreamIncarnation, tokens: int, now: float) -> float:
        """Return after which time a prefill is given up, in seconds."""
        expected_s = self._unshared_s(tokens) * self.estimated_prompts(engine, now)
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, TIMEOUT_FACTOR * expected_s))

    def _is_lightly_loaded(self, engine: UpstreamIncarnation, now: float) -> bool:
        estimate = self._estimates.get(engine)
        if estimate is None or now - estimate.updated_at > LOAD_HALF_LIFE_S:
            return False
        return estimate.prompts <= LIGHT_LOAD_PROMPTS

    def _unshared_s(self, tokens: int) -> float:
        """Return how long a prompt takes at an engine that reads nothing else."""
        if not self._s_per_token:
            return max(1, tokens) * DEFAULT_S_PER_TOKEN
        s_per_token = sorted(self._s_per_token)
        return max(1, tokens) * s_per_token[math.floor(len(s_per_token) * FASTEST_QUANTILE)]
