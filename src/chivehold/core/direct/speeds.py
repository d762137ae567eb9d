"""Speed of each upstream, learnt from this entry's own calls.

A speed is the time that a unit of work takes: a token of a prompt, an event of a stream, a request
to a plain service. Callers divide each sample by the slowness and the load that the upstream
reported with it, so that what is learnt is the speed of the machine and not of the moment. Speeds
are kept by incarnation: one that restarts may run on another machine.
"""

import math
from collections import deque
from collections.abc import Collection, Iterable
from statistics import mean, median
from typing import NamedTuple

from chivehold.core.direct.messages import Stage, UpstreamIncarnation

SAMPLES_KEPT = 20
"""Samples of one upstream and stage."""
TYPICAL_QUANTILE = 0.25
"""A low quantile, since load that is not reported only lengthens samples."""
ASSUMED_SAMPLES = 1.5
"""Weight of the assumption that an upstream is as fast as the median, in samples."""
TOLERATED_RATIO = 1.2
"""Upstreams whose speeds differ by less count as equally fast."""


class WorkKind(NamedTuple):
    """What a speed is the speed of."""

    service: str
    stage: Stage


class Speeds:
    """Samples of the time per unit of work, by upstream and kind of work."""

    def __init__(self) -> None:
        self._samples: dict[WorkKind, dict[UpstreamIncarnation, deque[float]]] = {}

    def record(self, kind: WorkKind, upstream: UpstreamIncarnation, s_per_unit: float) -> None:
        """Record the time that a unit of work took, without what load and slowness added."""
        samples = self._samples.setdefault(kind, {})
        samples.setdefault(upstream, deque(maxlen=SAMPLES_KEPT)).append(s_per_unit)

    def is_known(self, kind: WorkKind, upstream: UpstreamIncarnation) -> bool:
        """Return whether there is a sample of an upstream."""
        return upstream in self._samples.get(kind, {})

    def all_samples(self, kind: WorkKind) -> Iterable[tuple[UpstreamIncarnation, float]]:
        """Yield each sample of a kind of work, with its upstream."""
        for upstream, samples in self._samples.get(kind, {}).items():
            for sample in samples:
                yield upstream, sample

    def usual_s(self, kind: WorkKind, upstream: UpstreamIncarnation) -> float | None:
        """Return the mean time per unit of work, or the median of the others' if it is unknown.

        Returns:
            The time in seconds, ``None`` if nothing is known of any upstream.
        """
        samples = self._samples.get(kind, {})
        if own := samples.get(upstream):
            return mean(own)
        return median(map(mean, samples.values())) if samples else None

    def relative(self, kind: WorkKind, upstream: UpstreamIncarnation) -> float:
        """Return how many times as long as at the median upstream a unit of work takes.

        It is 1 for an upstream without samples, and close to 1 for one with few.
        """
        samples = self._samples.get(kind, {})
        own = samples.get(upstream)
        if not own or len(samples) < 2:
            return 1.0
        ratio = _typical(own) / max(1e-9, median(_typical(each) for each in samples.values()))
        relative: float = ratio ** (len(own) / (len(own) + ASSUMED_SAMPLES))
        return relative if abs(math.log(max(1e-9, relative))) > math.log(TOLERATED_RATIO) else 1.0

    def forget_others(self, upstreams: Collection[UpstreamIncarnation]) -> None:
        """Forget the samples of all upstreams except these."""
        for samples in self._samples.values():
            for known in [known for known in samples if known not in upstreams]:
                del samples[known]


def _typical(samples: Collection[float]) -> float:
    return sorted(samples)[int(len(samples) * TYPICAL_QUANTILE)]
