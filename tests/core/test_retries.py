import pytest

from chivehold.core.policy import Policy
from chivehold.core.retries import RetryBudget

ENGINE_PLACES = 20


class TestRetryBudget:
    @pytest.mark.parametrize(("requests", "allowed"), [(0, 3), (20, 3), (100, 10), (1_000, 100)])
    def test_allows_a_share_of_recent_requests(self, requests: int, allowed: int) -> None:
        """The retries allowed are a share of the requests, with a floor."""
        budget = RetryBudget(share=0.1, floor=3, window_s=10.0)
        for _ in range(requests):
            budget.record_request(1.0)
        assert [budget.try_spend(2.0) for _ in range(allowed + 1)] == [True] * allowed + [False]

    def test_drops_requests_and_retries_outside_its_window(self) -> None:
        """Retries and requests older than the window no longer count."""
        budget = RetryBudget(share=0.5, floor=1, window_s=10.0)
        for _ in range(10):
            budget.record_request(0.0)
        assert [budget.try_spend(0.0) for _ in range(6)] == [True] * 5 + [False]
        assert [budget.try_spend(10.0) for _ in range(2)] == [True, False]

    def test_floor_covers_the_streams_of_one_engine(self) -> None:
        """With few recent requests the floor covers all streams of one failed engine."""
        policy = Policy()
        budget = RetryBudget(policy.retry_budget, policy.retry_budget_floor, policy.retry_window_s)
        assert all(budget.try_spend(0.0) for _ in range(ENGINE_PLACES))
        assert not budget.try_spend(0.0)
