from random import Random

import pytest

from chivehold.core.identity import UpstreamName, Urgency
from chivehold.core.protocols import Candidate
from chivehold.core.shedding import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    GrantRate,
    RetrySchedule,
    expected_wait_s,
)
from tests.core.entry_driver import REPORT


class TestExpectedWait:
    @pytest.mark.parametrize(
        ("outstanding", "report", "wait_s"),
        [
            (0, {}, 0.0),
            (19, {}, 0.0),
            (20, {}, 0.02),
            (25, {}, 0.12),
            (0, {"places_free": 0, "wait_urgent_s": 0.3}, 0.3),
            (2, {"places_free": 0, "wait_urgent_s": 0.3, "waiting_urgent": 5}, 0.4),
        ],
    )
    def test_adds_offers_missing_from_the_report(
        self, outstanding: int, report: dict[str, float], wait_s: float
    ) -> None:
        """Each offer of the entry beyond the free places waits for one more place to be freed."""
        candidate = Candidate(
            UpstreamName("a"), "z", REPORT._replace(**report), 0.0, outstanding, outstanding * 0.4
        )
        assert expected_wait_s(candidate, Urgency.URGENT) == pytest.approx(wait_s)


class TestGrantRate:
    def test_follows_the_grants(self) -> None:
        """The rate converges to ten grants per second and decays without grants."""
        rate = GrantRate()
        assert rate.per_s(0.0) is None
        for number in range(300):
            rate.record_grant(number * 0.1)
        assert rate.per_s(30.0) == pytest.approx(10.0, rel=0.05)
        assert (rate.per_s(35.0) or 0.0) < 5.0
        assert rate.per_s(90.0) is None


class TestRetrySchedule:
    def test_spreads_retries_at_the_grant_rate(self) -> None:
        """A hundred callers refused at once get increasing delays."""
        schedule = RetrySchedule(Random(1))
        delays = [schedule.retry_after_s(0.5, 10.0, 0.0) for _ in range(100)]
        assert delays[0] < 1.0
        assert 15.0 < delays[-1] < 30.0
        assert sum(delay < 10.0 for delay in delays) < 60

    @pytest.mark.parametrize(("wait_s", "rate"), [(0.0, None), (1e6, None), (0.0, 1e-6)])
    def test_is_bounded(self, wait_s: float, rate: float | None) -> None:
        """The retry delay is within its limits for extreme waits and rates."""
        delay_s = RetrySchedule(Random(1)).retry_after_s(wait_s, rate, 0.0)
        assert MIN_RETRY_AFTER_S <= delay_s <= MAX_RETRY_AFTER_S
