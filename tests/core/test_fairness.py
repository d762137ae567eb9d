from collections import Counter

import pytest

from chivehold.core.fairness import FairQueue


def serve_all(queue: FairQueue[str], count: int) -> list[str]:
    served = []
    while (key := queue.peek()) is not None and len(served) < count:
        queue.serve(key)
        served.append(key)
    return served


def filled(flows: dict[str, tuple[float, float]], each: int) -> FairQueue[str]:
    queue: FairQueue[str] = FairQueue()
    for flow, (weight, cost) in flows.items():
        for number in range(each):
            queue.push(f"{flow}{number}", flow, weight, cost)
    return queue


class TestFairQueue:
    @pytest.mark.parametrize(
        ("flows", "expected"),
        [
            ({"a": (1.0, 1.0), "b": (1.0, 1.0)}, {"a": 20, "b": 20}),
            ({"a": (3.0, 1.0), "b": (1.0, 1.0)}, {"a": 30, "b": 10}),
            ({"a": (1.0, 3.0), "b": (1.0, 1.0)}, {"a": 10, "b": 30}),
        ],
    )
    def test_shares_by_weight_and_cost(
        self, flows: dict[str, tuple[float, float]], expected: dict[str, int]
    ) -> None:
        """Backlogged flows get shares of the cost in proportion to their weights."""
        served = Counter(key[0] for key in serve_all(filled(flows, 40), 40))
        assert all(abs(served[flow] - count) <= 1 for flow, count in expected.items())

    def test_is_first_come_first_served_within_a_flow(self) -> None:
        """Items of one flow keep their order."""
        assert serve_all(filled({"a": (1.0, 5.0)}, 4), 4) == ["a0", "a1", "a2", "a3"]

    def test_idle_flow_gains_no_credit(self) -> None:
        """A flow that was idle gets no more than its share afterwards."""
        queue = filled({"a": (1.0, 1.0)}, 40)
        serve_all(queue, 20)
        for number in range(20):
            queue.push(f"b{number}", "b", 1.0, 1.0)
        assert abs(Counter(key[0] for key in serve_all(queue, 20))["a"] - 10) <= 1

    def test_charges_nothing_for_a_discarded_item(self) -> None:
        """The next item of the flow takes the position of a discarded one."""
        queue = filled({"a": (1.0, 100.0), "b": (1.0, 100.0)}, 2)
        queue.discard("a0")
        assert serve_all(queue, 4) == ["a1", "b0", "b1"]
        assert len(queue) == 0

    def test_estimates_the_work_ahead(self) -> None:
        """An item of a short flow has little work ahead, however long another flow is."""
        queue = filled({"a": (1.0, 1.0)}, 30)
        queue.push("b0", "b", 1.0, 1.0)
        assert queue.work_ahead("b").items <= 1
        assert queue.work_ahead("a").items == 30
