"""Which upstreams may get requests, by what they say of themselves in their responses.

An upstream may say that it leaves, that it wants no requests for a while, or how many it takes from
all entries together. It is believed at once, whatever the store says of it and while the store is
away. What it said holds for this incarnation: after a restart under the same name it starts anew.
"""

from collections.abc import Collection
from random import Random

from chivehold.core.direct.messages import UpstreamIncarnation, UpstreamSignals
from chivehold.core.direct.upstream_limits import UpstreamLimits

MAX_PAUSE_S = 300.0
"""Longest pause that an upstream is granted for one refusal."""
PAUSE_JITTER_SHARE = 0.1
"""Pauses are lengthened by up to this share, so that the entries do not return all at once."""
MAX_PAUSE_JITTER_S = 1.0
MAX_REMEMBERED = 1_000
"""Departures and pauses to remember, also of upstreams that the store does not list now."""


class UpstreamAdmission:
    """Keeps what upstreams have said of themselves.

    Args:
        limits: Shares of the limits that upstreams name.
        rng: Spreads the returns to upstreams after their pauses.
    """

    def __init__(self, limits: UpstreamLimits, rng: Random) -> None:
        self._limits = limits
        self._rng = rng
        self._paused_until: dict[UpstreamIncarnation, float] = {}
        self._leaving: dict[UpstreamIncarnation, None] = {}

    def max_rate(self, upstream: UpstreamIncarnation) -> float | None:
        """Return the limit that an upstream has named, in requests per second, or ``None``."""
        return self._limits.max_rate(upstream)

    def is_leaving(self, upstream: UpstreamIncarnation) -> bool:
        """Return whether an upstream has said that it leaves, which is final."""
        return upstream in self._leaving

    def pause_left_s(self, upstream: UpstreamIncarnation, now: float) -> float:
        """Return the time for which an upstream still wants no requests, in seconds."""
        return max(0.0, self._paused_until.get(upstream, now) - now)

    def wait_s(self, upstream: UpstreamIncarnation, now: float) -> float:
        """Return the time until a request may be sent to an upstream, in seconds."""
        return max(self.pause_left_s(upstream, now), self._limits.wait_s(upstream, now))

    def spend_permit(self, upstream: UpstreamIncarnation, now: float) -> None:
        """Count a request that is about to be sent against the upstream's limit, if any."""
        self._limits.spend(upstream, now)

    def record(
        self, upstream: UpstreamIncarnation, signals: UpstreamSignals, sent_at: float, now: float
    ) -> None:
        """Record what an upstream has said in a response.

        Args:
            upstream: The upstream.
            signals: What it said.
            sent_at: When the request of the response was sent.
            now: Monotonic time in seconds.
        """
        if signals.leaving:
            self.record_leaving(upstream)
        if signals.pause_s is not None:
            self._pause(upstream, signals.pause_s, now)
        if signals.max_rate is not None or signals.ends_limit:
            self._limits.record(upstream, signals.max_rate, sent_at, now)

    def record_leaving(self, upstream: UpstreamIncarnation) -> None:
        """Record that an upstream leaves, by its own word or by the store's."""
        self._leaving[upstream] = None
        _drop_oldest(self._leaving)

    def forget_limits_of_others(self, upstreams: Collection[UpstreamIncarnation]) -> None:
        """Forget the limits of all upstreams except these."""
        self._limits.forget_others(upstreams)

    def _pause(self, upstream: UpstreamIncarnation, pause_s: float, now: float) -> None:
        jitter_s = min(MAX_PAUSE_JITTER_S, PAUSE_JITTER_SHARE * pause_s)
        until = now + min(MAX_PAUSE_S, pause_s) + self._rng.uniform(0.0, jitter_s)
        self._paused_until[upstream] = max(until, self._paused_until.pop(upstream, until))
        _drop_oldest(self._paused_until)


def _drop_oldest(
    remembered: dict[UpstreamIncarnation, float] | dict[UpstreamIncarnation, None],
) -> None:
    if len(remembered) > MAX_REMEMBERED:
        del remembered[next(iter(remembered))]
