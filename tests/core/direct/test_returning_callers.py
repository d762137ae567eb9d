"""Callers that retry after a refusal are detected from the deadline that they send."""

from random import Random

import pytest

from chivehold.core.direct.returning_callers import ReturnDetector


class TestReturnDetector:
    def test_first_requests(self) -> None:
        """Equal or slightly different deadlines are those of first requests."""
        detector = ReturnDetector()
        assert [detector.waited_before_s("r", s) for s in (14.0, 13.9, 14.0)] == [0.0, 0.0, 0.0]

    def test_first_requests_with_varying_deadlines(self) -> None:
        """Deadlines that vary between 12 and 14.2 s, as in one deployment, are no retries."""
        rng = Random(1)
        detector = ReturnDetector()
        assert not any(detector.waited_before_s("r", rng.uniform(12.0, 14.2)) for _ in range(1_000))

    def test_retry_has_waited(self) -> None:
        """The difference to the usual deadline is the time waited before."""
        detector = ReturnDetector()
        for _ in range(3):
            detector.waited_before_s("r", 14.0)
        assert detector.waited_before_s("r", 8.5) == pytest.approx(5.5)

    def test_long_deadlines_do_not_make_others_look_like_retries(self) -> None:
        """Callers with a longer deadline do not make the others look like retries.

        In one deployment one caller in 25 waits half as long again as the others.
        """
        rng = Random(1)
        detector = ReturnDetector()
        wrong = 0
        for _ in range(1_000):
            patient = rng.random() < 0.04
            wrong += detector.waited_before_s("r", 21.3 if patient else 14.2) > 0
        assert wrong <= 2

    def test_retries_in_the_majority_are_detected(self) -> None:
        """Retries and first requests are told apart even if most requests are retries."""
        rng = Random(1)
        detector = ReturnDetector()
        for _ in range(10):
            detector.waited_before_s("r", 14.2)
        missed = 0
        for _ in range(1_000):
            is_returning = rng.random() < 0.6
            left_s = rng.uniform(6.0, 9.5) if is_returning else rng.uniform(12.2, 14.2)
            missed += is_returning != (detector.waited_before_s("r", left_s) > 0)
        assert missed <= 20

    def test_routes_are_separate(self) -> None:
        """Deadlines of one route say nothing about retries on another."""
        detector = ReturnDetector()
        detector.waited_before_s("patient", 14.0)
        assert detector.waited_before_s("impatient", 1.0) == 0.0

    def test_no_deadline(self) -> None:
        """A request without a deadline counts as a first one."""
        assert ReturnDetector().waited_before_s("r", None) == 0.0

    def test_removed_routes_are_forgotten(self) -> None:
        """A route that is removed and added again starts without known deadlines."""
        detector = ReturnDetector()
        detector.waited_before_s("r", 14.0)
        detector.forget_routes_except(frozenset())
        assert detector.waited_before_s("r", 8.0) == 0.0
