"""Limits on this entry's requests in progress at each upstream, learnt from refusals.

An upstream that sheds load refuses quickly, and each refused attempt costs its caller time. The
limit falls by a factor with a refusal and grows by one with as many responses as it allows
requests. Below one it means a pause between requests, since many entries share an upstream. An
upstream that does not report its load, or has not refused lately, has no limit.
"""

from collections.abc import Collection

from chivehold.core.direct.messages import UpstreamIncarnation

DECREASE = 0.7
MIN_DECREASE_INTERVAL_S = 0.1
"""Refusals of requests that were sent together count as one."""
MIN_LIMIT = 0.1
FORGET_AFTER_S = 5.0
"""A limit is forgotten this long after the last refusal."""


class _Limit:
    """The limit at one upstream."""

    def __init__(self, requests: float) -> None:
        self.requests = requests
        self.refused_at = 0.0
        self.started_at = 0.0


class ConcurrencyLimits:
    """Keeps a limit for each upstream that has refused requests lately."""

    def __init__(self) -> None:
        self._limits: dict[UpstreamIncarnation, _Limit] = {}

    def limit(self, upstream: UpstreamIncarnation, now: float) -> float | None:
        """Return the limit at an upstream, or ``None`` if there is none."""
        limit = self._current(upstream, now)
        return limit.requests if limit else None

    def allows(
        self, upstream: UpstreamIncarnation, in_flight: int, service_s: float, now: float
    ) -> bool:
        """Return whether one more request may be sent.

        Args:
            upstream: The upstream.
            in_flight: This entry's requests in progress there.
            service_s: How long a request takes there, in seconds.
            now: Monotonic time in seconds.
        """
        limit = self._current(upstream, now)
        if limit is None:
            return True
        if limit.requests >= 1:
            return in_flight + 1 <= limit.requests
        return in_flight == 0 and now - limit.started_at >= service_s / limit.requests

    def record_start(self, upstream: UpstreamIncarnation, now: float) -> None:
        """Record that a request is sent."""
        if limit := self._limits.get(upstream):
            limit.started_at = now

    def record_refusal(self, upstream: UpstreamIncarnation, in_flight: int, now: float) -> None:
        """Lower the limit after a refusal for lack of capacity.

        Args:
            upstream: The upstream.
            in_flight: This entry's requests in progress there, including the refused one.
            now: Monotonic time in seconds.
        """
        limit = self._current(upstream, now)
        if limit is None:
            limit = self._limits[upstream] = _Limit(float(in_flight))
        elif now - limit.refused_at < MIN_DECREASE_INTERVAL_S:
            return
        limit.requests = max(MIN_LIMIT, DECREASE * min(limit.requests, max(1.0, in_flight)))
        limit.refused_at = now
        limit.started_at = now

    def record_success(self, upstream: UpstreamIncarnation) -> None:
        """Raise the limit after a response."""
        if limit := self._limits.get(upstream):
            limit.requests += 1.0 / max(1.0, limit.requests)

    def forget_others(self, upstreams: Collection[UpstreamIncarnation]) -> None:
        """Forget the limits of all upstreams except these."""
        for known in [known for known in self._limits if known not in upstreams]:
            del self._limits[known]

    def _current(self, upstream: UpstreamIncarnation, now: float) -> _Limit | None:
        limit = self._limits.get(upstream)
        return limit if limit and now - limit.refused_at <= FORGET_AFTER_S else None
