"""Speed of each upstream, learnt from this entry's own calls.

A speed is the time that a unit of work takes: a token of a prompt, an event of a stream, a request
to a plain service. Callers divide each sample by the slowness and the load that the upstream
reported with it, so that what is learnt is the speed of the machine and not of the moment. Speeds
are kept by incarnation: one that restarts may run on another machine.
"""

import math
from collections import deque
from collections.abc import Callable, Collection, Iterator
from statistics import fmean, median
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

MIN_TIME_S = 1e-9
MIN_RATIO = 0.01


class WorkKind(NamedTuple):
    """What a speed is the speed of."""

    service: str
    stage: Stage


class _Samples:
    """Samples of one kind of work, and figures derived from them, which are read often."""

    def __init__(self) -> None:
        self.by_upstream: dict[UpstreamIncarnation, deque[float]] = {}
        self._means: dict[UpstreamIncarnation, float] = {}
        self._typical: dict[UpstreamIncarnation, float] = {}
        self._relative: dict[UpstreamIncarnation, float] | None = None

    def add(self, upstream: UpstreamIncarnation, sample: float) -> None:
        kept = self.by_upstream.setdefault(upstream, deque(maxlen=SAMPLES_KEPT))
        kept.append(sample)
        self._means[upstream] = fmean(kept)
        self._typical[upstream] = sorted(kept)[int(len(kept) * TYPICAL_QUANTILE)]
        self._relative = None

    def remove(self, upstream: UpstreamIncarnation) -> None:
        for figures in (self.by_upstream, self._means, self._typical):
            figures.pop(upstream, None)
        self._relative = None

    def mean(self, upstream: UpstreamIncarnation) -> float | None:
        own = self._means.get(upstream)
        return median(self._means.values()) if own is None and self._means else own

    def relative(self, upstream: UpstreamIncarnation) -> float:
        if self._relative is None:
            usual = median(self._typical.values()) if self._typical else 1.0
            self._relative = {
                known: _relative(typical / max(MIN_TIME_S, usual), len(self.by_upstream[known]))
                for known, typical in self._typical.items()
            }
        return self._relative.get(upstream, 1.0)


class Speeds:
    """Samples of the time per unit of work, by upstream and kind of work.

    Args:
        may_differ: Returns whether the upstreams of a service may differ in speed; where they do
            not, differences between samples come from load alone.
    """

    def __init__(self, may_differ: Callable[[str], bool] = lambda service: True) -> None:
        self._may_differ = may_differ
        self._kinds: dict[WorkKind, _Samples] = {}

    def may_differ(self, service: str) -> bool:
        """Return whether the upstreams of a service may differ in speed."""
        return self._may_differ(service)

    def record(self, kind: WorkKind, upstream: UpstreamIncarnation, s_per_unit: float) -> None:
        """Record the time that a unit of work took, without what load and slowness added."""
        self._kinds.setdefault(kind, _Samples()).add(upstream, s_per_unit)

    def is_known(self, kind: WorkKind, upstream: UpstreamIncarnation) -> bool:
        """Return whether there is a sample of an upstream."""
        return kind in self._kinds and upstream in self._kinds[kind].by_upstream

    def has_samples(self, kind: WorkKind) -> bool:
        """Return whether there is a sample of any upstream."""
        return kind in self._kinds and bool(self._kinds[kind].by_upstream)

    def all_samples(self, kind: WorkKind) -> Iterator[tuple[UpstreamIncarnation, float]]:
        """Yield each sample of a kind of work, with its upstream."""
        if kind in self._kinds:
            for upstream, samples in self._kinds[kind].by_upstream.items():
                for sample in samples:
                    yield upstream, sample

    def usual_s(self, kind: WorkKind, upstream: UpstreamIncarnation) -> float | None:
        """Return the mean time per unit of work, or the median of the others' if it is unknown.

        Returns:
            The time in seconds, ``None`` if nothing is known of any upstream.
        """
        return self._kinds[kind].mean(upstream) if kind in self._kinds else None

    def relative(self, kind: WorkKind, upstream: UpstreamIncarnation) -> float:
        """Return how many times as long as at the median upstream a unit of work takes.

        It is 1 for an upstream without samples, and close to 1 for one with few.
        """
        if kind not in self._kinds or not self._may_differ(kind.service):
            return 1.0
        return self._kinds[kind].relative(upstream)

    def forget_others(self, upstreams: Collection[UpstreamIncarnation]) -> None:
        """Forget the samples of all upstreams except these."""
        for samples in self._kinds.values():
            for known in [known for known in samples.by_upstream if known not in upstreams]:
                samples.remove(known)


def _relative(ratio: float, samples: int) -> float:
    relative: float = max(MIN_RATIO, ratio) ** (samples / (samples + ASSUMED_SAMPLES))
    return relative if abs(math.log(relative)) > math.log(TOLERATED_RATIO) else 1.0
