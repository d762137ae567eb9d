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
QUICKEST_SHARE = 0.1
"""The quickest tenth of all readings counts as those that were alone."""
NEWEST_WEIGHT = 0.5
CALM_PROMPTS = 1.4
"""Up to so many prompts at an engine it counts as hardly used."""
FORGET_S = 1.5
"""What was seen counts half as much after this time."""
GIVEN_UP_PROMPTS = 6.0
BURST_PROMPTS = 2.0
"""Prompts that an entry may send at once after a calm time."""
SHORTEST_PATIENCE_S = 0.5
LONGEST_PATIENCE_S = 2.0
PATIENCE_FACTOR = 4.0
"""A prefill that takes so many times the expected time is given up."""
FIRST_S_PER_TOKEN = 1.0 / 25_000
"""Assumed before the first prefill."""


class _Crowd(NamedTuple):
    prompts: float
    seen_at: float


class PrefillLoad:
    """What one entry knows of the prefill engines of one service."""

    def __init__(self) -> None:
        self._paces: deque[float] = deque(maxlen=SAMPLES_KEPT)
        self._crowds: dict[UpstreamIncarnation, _Crowd] = {}
        self._running: dict[UpstreamIncarnation, list[float]] = {}
        self._allowed_s = 0.0
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
        alone_s = self._alone_s(tokens)
        gained_s = (now - self._refilled_at) * engines / max(1, entries)
        self._allowed_s = min(BURST_PROMPTS * alone_s, self._allowed_s + gained_s)
        self._refilled_at = now
        if self._allowed_s >= alone_s:
            return True
        return not self._running.get(engine) and self._seen_calm(engine, now)

    def began(self, engine: UpstreamIncarnation, tokens: int, now: float) -> None:
        """Take note of a prefill that is sent."""
        self._allowed_s = max(0.0, self._allowed_s - self._alone_s(tokens))
        self._running.setdefault(engine, []).append(now)

    def ended(self, engine: UpstreamIncarnation, began_at: float) -> None:
        """Take note that a prefill is over, whatever became of it."""
        self._running[engine].remove(began_at)
        if not self._running[engine]:
            del self._running[engine]

    def took(self, engine: UpstreamIncarnation, tokens: int, took_s: float, now: float) -> None:
        """Take note of how long a whole prefill took."""
        self._paces.append(took_s / max(1, tokens))
        prompts = max(1.0, took_s / self._alone_s(tokens))
        before = self.prompts_at(engine, now)
        self._crowds[engine] = _Crowd(before + NEWEST_WEIGHT * (prompts - before), now)

    def gave_up(self, engine: UpstreamIncarnation, now: float) -> None:
        """Take note of a prefill that did not end in time."""
        prompts = max(GIVEN_UP_PROMPTS, self.prompts_at(engine, now))
        self._crowds[engine] = _Crowd(prompts, now)

    def prompts_at(self, engine: UpstreamIncarnation, now: float) -> float:
        """Return how many prompts an engine is likely reading; 1 where nothing is known."""
        crowd = self._crowds.get(engine)
        if crowd is None:
            return 1.0
        remembered: float = 0.5 ** ((now - crowd.seen_at) / FORGET_S)
        return 1.0 + (crowd.prompts - 1.0) * remembered

    def patience_s(self, engine: UpstreamIncarnation, tokens: int, now: float) -> float:
        """Return after which time a prefill is given up, in seconds."""
        expected_s = self._alone_s(tokens) * self.prompts_at(engine, now)
        return min(LONGEST_PATIENCE_S, max(SHORTEST_PATIENCE_S, PATIENCE_FACTOR * expected_s))

    def _seen_calm(self, engine: UpstreamIncarnation, now: float) -> bool:
        crowd = self._crowds.get(engine)
        if crowd is None or now - crowd.seen_at > FORGET_S:
            return False
        return crowd.prompts <= CALM_PROMPTS

    def _alone_s(self, tokens: int) -> float:
        """Return how long a prompt takes at an engine that reads nothing else."""
        if not self._paces:
            return max(1, tokens) * FIRST_S_PER_TOKEN
        paces = sorted(self._paces)
        return max(1, tokens) * paces[math.floor(len(paces) * QUICKEST_SHARE)]
