"""How long streams of several priorities wait for memory, and when refused callers come back."""

from random import Random

import pytest

from chivehold.core.direct.grant_rate import GrantRate
from chivehold.core.direct.wait_bounds import exceeds_caller_wait, retry_after_s, with_bounds
from chivehold.core.direct.waiting import Waiter
from tests.core.direct.factories import route

ROUTE = route("/", latency_target_s=0.8, event_gap_target_s=0.3)
WAITER = Waiter("r", 3_000, 0.0, 0.45, 0.0, expires_at=14.0)


class TestWait:
    def test_first_request_waits_while_it_can_be_on_time(self) -> None:
        """All classes at twice the capacity: a late first request takes no memory of others."""
        assert with_bounds(WAITER, ROUTE, 0.0).gives_up_at == pytest.approx(0.45)

    def test_returning_caller_is_waited_for(self) -> None:
        """A caller that does not come back again waits until it would leave, 3.2 s less a stream's
        start."""
        waiter = WAITER._replace(waited_before_s=4.0, on_time_until=-3.5)
        assert with_bounds(waiter, ROUTE, 0.0).gives_up_at == pytest.approx(2.6)

    def test_caller_that_cannot_return_is_waited_for(self) -> None:
        """With a deadline too short for a retry, a first request waits like a returning one."""
        waiter = WAITER._replace(expires_at=6.0)
        assert with_bounds(waiter, ROUTE, 0.0).gives_up_at == pytest.approx(2.6)

    def test_failed_by_an_engine(self) -> None:
        """Half of the engines gone: a request that lost its engine is not refused unasked."""
        assert with_bounds(WAITER, ROUTE, 0.9).gives_up_at == pytest.approx(2.6)


class TestRefusal:
    def test_at_once_only_if_the_caller_leaves_before(self) -> None:
        """An estimate beyond the target, but within the caller's wait, refuses nothing."""
        waiter = with_bounds(WAITER, ROUTE, 0.0)
        assert not exceeds_caller_wait(waiter, None, 0.0)
        assert not exceeds_caller_wait(waiter, 2.5, 0.0)
        assert exceeds_caller_wait(waiter, 2.7, 0.0)
        assert not exceeds_caller_wait(waiter._replace(waited_before_s=4.0), 2.7, 0.0)

    @pytest.mark.parametrize("wait_s", [None, 0.5, 4.0, 30.0])
    def test_caller_honours_retry_after(self, wait_s: float | None) -> None:
        """At any load callers come back at different times, recognised and within a third."""
        rng = Random(1)
        waiter = with_bounds(WAITER, ROUTE, 0.0)
        times = [retry_after_s(waiter, wait_s, 0.45, rng) for _ in range(100)]
        assert max(times) <= (14.0 - 0.45) / 3
        assert min(times) >= 2.5
        assert max(times) - min(times) >= 0.3

    def test_longer_queue_sends_callers_further(self) -> None:
        """The time depends on the load."""
        waiter = with_bounds(WAITER, ROUTE, 0.0)
        short, long = (
            min(retry_after_s(waiter, wait_s, 0.0, Random(seed)) for seed in range(50))
            for wait_s in (0.5, 3.6)
        )
        assert long > short + 0.3


class TestGrantRate:
    def test_wait_follows_from_grants_while_requests_wait(self) -> None:
        """Idle time says nothing of the rate; 3,000 tokens a second serve 9,000 in three."""
        rate = GrantRate()
        assert rate.wait_s(0, 3_000, 0.0) is None
        rate.record_waiting(True, 10.0)
        for second in range(11, 31):
            rate.record_grant(3_000, float(second))
        assert rate.wait_s(6_000, 3_000, 30.0) == pytest.approx(2.5, abs=0.5)
        rate.record_waiting(False, 30.0)
        assert rate.wait_s(6_000, 3_000, 31.0) is None

    def test_nothing_granted(self) -> None:
        """Half of the engines gone: without a grant the wait is as long as it has been waited."""
        rate = GrantRate()
        rate.record_waiting(True, 10.0)
        assert rate.wait_s(0, 3_000, 12.0) == pytest.approx(1.65, abs=0.2)
