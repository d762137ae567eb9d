"""Load-balancing strategies that implement ``UpstreamSelector``."""

from collections.abc import Callable, Container, Sequence
from random import Random
from statistics import median

from chivehold.core.declared import TrafficClass
from chivehold.core.identity import UpstreamName, Urgency
from chivehold.core.policy import DecodeChoiceKind, Policy
from chivehold.core.prefix import BLOCK_TOKENS, matching_blocks
from chivehold.core.protocols import Candidate, UpstreamSelector
from chivehold.core.shedding import expected_wait_s

OTHER_ZONE_COST_S = 0.004
"""Penalty in seconds for an upstream in another availability zone."""
FULL_BATCH_COST_S = 0.020
"""Penalty in seconds for a full upstream, less for a partly used one.

It spreads load before queues build up.
"""
TIE_MARGIN_S = 0.003
"""Scores this close to the minimum, in seconds, count as tied."""
SLOW_FACTOR = 3.0
"""An engine is slow if its token interval exceeds the median by this factor."""
PROBE_SHARE = 0.005
"""Share of choices that ignore slowness, as an idle engine cannot report that it has recovered."""
DEFAULT_PREFILL_TOKENS_PER_S = 10_000.0
"""Prefill speed assumed of an engine that has reported none."""


class RoundRobin:
    """Selects the upstreams in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self, candidates: Sequence[Candidate], prefix_blocks: Sequence[int], prompt_tokens: int
    ) -> UpstreamName | None:
        """Return the next upstream in turn."""
        if not candidates:
            return None
        self._turn += 1
        return candidates[self._turn % len(candidates)].upstream


class LeastReportedLoad:
    """Selects the upstream that last reported the most free places."""

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose(
        self, candidates: Sequence[Candidate], prefix_blocks: Sequence[int], prompt_tokens: int
    ) -> UpstreamName | None:
        """Return the upstream with the least reported load; ties are broken at random."""
        if not candidates:
            return None
        max_free = max(_reported_free_places(candidate) for candidate in candidates)
        best = [
            candidate.upstream
            for candidate in candidates
            if _reported_free_places(candidate) == max_free
        ]
        return self._random.choice(best)


class PowerOfTwoChoices:
    """Samples two upstreams and selects the one that last reported less load."""

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose(
        self, candidates: Sequence[Candidate], prefix_blocks: Sequence[int], prompt_tokens: int
    ) -> UpstreamName | None:
        """Return the less loaded of two random upstreams."""
        if not candidates:
            return None
        sampled = self._random.sample(candidates, min(2, len(candidates)))
        return max(sampled, key=_reported_free_places).upstream


class ShortestExpectedWait:
    """Selects the upstream with the shortest expected wait for a place.

    Args:
        random: Breaks ties, so that entries with the same reports do not all choose the same
            upstream.
        zone: The entry's availability zone; upstreams in other zones get a small penalty.
        traffic_class: The traffic class of the requests.
        avoid_slow: Exclude engines that are much slower than their pool or that miss the traffic
            class's target for the time between tokens.
    """

    def __init__(
        self, random: Random, zone: str, traffic_class: TrafficClass, avoid_slow: bool
    ) -> None:
        self._random = random
        self._zone = zone
        self._class = traffic_class
        self._avoid_slow = avoid_slow

    def choose(
        self, candidates: Sequence[Candidate], prefix_blocks: Sequence[int], prompt_tokens: int
    ) -> UpstreamName | None:
        """Return the upstream with the lowest score; near-ties are broken at random."""
        avoid_slow = self._avoid_slow and self._random.random() >= PROBE_SHARE
        usable = self._fast_enough(candidates) if avoid_slow else candidates
        if not usable:
            return None
        scored = [(self._score_s(candidate), candidate.upstream) for candidate in usable]
        return _pick_near_minimum(scored, self._random)

    def _score_s(self, candidate: Candidate) -> float:
        report = candidate.report
        used = report.places - report.places_free + candidate.outstanding
        score = expected_wait_s(candidate, self._class.urgency)
        score += FULL_BATCH_COST_S * min(1.0, used / max(1, report.places))
        if candidate.zone != self._zone:
            score += OTHER_ZONE_COST_S
        return score

    def _fast_enough(self, candidates: Sequence[Candidate]) -> Sequence[Candidate]:
        intervals = [c.report.token_interval_s for c in candidates if c.report.token_interval_s]
        if not intervals:
            return candidates
        limit = SLOW_FACTOR * median(intervals)
        fast = [candidate for candidate in candidates if candidate.report.token_interval_s <= limit]
        if self._class.urgency is Urgency.PATIENT:
            return fast
        target = self._class.between_tokens_target_s
        return [
            candidate for candidate in fast if candidate.report.token_interval_s <= target
        ] or fast


class ShortestPrefillTime:
    """Selects the prefill engine that is expected to complete a prompt first.

    A cached prefix only reduces the estimated work, so prefix affinity never adds more waiting
    than the work it saves.

    Args:
        random: Breaks near-ties.
        cached: Returns the digests of the blocks that an upstream is believed to have cached.
    """

    def __init__(self, random: Random, cached: Callable[[UpstreamName], Container[int]]) -> None:
        self._random = random
        self._cached = cached

    def choose(
        self, candidates: Sequence[Candidate], prefix_blocks: Sequence[int], prompt_tokens: int
    ) -> UpstreamName | None:
        """Return the engine with the least time for its backlog and this prompt."""
        if not candidates:
            return None
        scored = [
            (self.time_s(candidate, prefix_blocks, prompt_tokens), candidate.upstream)
            for candidate in candidates
        ]
        return _pick_near_minimum(scored, self._random)

    def time_s(
        self, candidate: Candidate, prefix_blocks: Sequence[int], prompt_tokens: int
    ) -> float:
        """Return the estimated time in seconds until the prompt is prefilled."""
        cached = matching_blocks(prefix_blocks, self._cached(candidate.upstream)) * BLOCK_TOKENS
        uncached_s = prefill_work_s(candidate, max(1, prompt_tokens - cached))
        return candidate.report.prefill_backlog_s + candidate.outstanding_s + uncached_s


def prefill_work_s(candidate: Candidate, tokens: int) -> float:
    """Return the engine's estimated time in seconds to prefill ``tokens`` uncached tokens."""
    return tokens / (candidate.report.prefill_tokens_per_s or DEFAULT_PREFILL_TOKENS_PER_S)


def decode_selector(
    policy: Policy, zone: str, random: Random, traffic_class: TrafficClass
) -> UpstreamSelector:
    """Return the policy's selector for decode engines and service VMs."""
    match policy.decode_choice:
        case DecodeChoiceKind.ROUND_ROBIN:
            return RoundRobin()
        case DecodeChoiceKind.LEAST_REPORTED:
            return LeastReportedLoad(random)
        case DecodeChoiceKind.TWO_CHOICES:
            return PowerOfTwoChoices(random)
        case DecodeChoiceKind.EXPECTED_WAIT:
            return ShortestExpectedWait(random, zone, traffic_class, policy.avoid_slow)


def _reported_free_places(candidate: Candidate) -> int:
    report = candidate.report
    return report.places_free - report.waiting_urgent - report.waiting_patient


def _pick_near_minimum(
    scored: Sequence[tuple[float, UpstreamName]], random: Random
) -> UpstreamName | None:
    least = min(score for score, _ in scored)
    tied = [name for score, name in scored if score <= least + TIE_MARGIN_S]
    return tied[0] if len(tied) == 1 else random.choice(tied)
