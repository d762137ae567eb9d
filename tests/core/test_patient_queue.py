from collections import Counter

import pytest

from chivehold.core.admission import PatientQueue, QueuedRequest
from chivehold.core.identity import Organisation, RequestId

WEIGHTS = {"bruma": 1.0, "kinisi": 3.0}


def queued(sequence: int, organisation: str = "bruma") -> QueuedRequest:
    return QueuedRequest(
        sequence, RequestId(f"r{sequence}"), Organisation(organisation), float(sequence)
    )


def make(fair_shares: bool = True, age_limit_s: float = 1_000.0) -> PatientQueue:
    return PatientQueue(lambda name: WEIGHTS.get(name, 1.0), fair_shares, age_limit_s)


def pop_many(queue: PatientQueue, count: int, now: float = 100.0) -> list[QueuedRequest]:
    return [request for request in (queue.pop(now) for _ in range(count)) if request is not None]


class TestPatientQueue:
    @pytest.mark.parametrize(("fair_shares", "later_count"), [(True, 15), (False, 0)])
    def test_a_burst_does_not_delay_another_organisation(
        self, fair_shares: bool, later_count: int
    ) -> None:
        """Fair shares of 3 to 1 give the later organisation 15 of the first 20 requests."""
        queue = make(fair_shares)
        for sequence in range(100):
            queue.put(queued(sequence, "bruma" if sequence < 50 else "kinisi"))
        counts = Counter(request.organisation for request in pop_many(queue, 20))
        assert counts["kinisi"] == later_count

    def test_request_put_back_keeps_its_position(self) -> None:
        """A request whose offer was refused is served before those that arrived later."""
        queue = make()
        for sequence in range(4):
            queue.put(queued(sequence))
        first, second = pop_many(queue, 2)
        queue.requeue(second)
        queue.requeue(first)
        assert [request.sequence for request in pop_many(queue, 4)] == [0, 1, 2, 3]

    def test_refusals_cost_no_share(self) -> None:
        """An organisation whose offers were refused is not charged for them."""
        queue = make()
        for sequence in range(20):
            queue.put(queued(sequence, "bruma" if sequence % 2 else "others"))
        for _ in range(5):
            queue.requeue(next(request for request in pop_many(queue, 1)))
        counts = Counter(request.organisation for request in pop_many(queue, 10))
        assert counts == {"bruma": 5, "others": 5}

    def test_aged_requests_go_first(self) -> None:
        """A request older than the limit is served first, regardless of the shares."""
        queue = make(age_limit_s=50.0)
        for sequence in (1, 2, 3):
            queue.put(queued(sequence, "bruma"))
        queue.put(queued(60, "kinisi"))
        assert [request.sequence for request in pop_many(queue, 4, now=52.0)] == [1, 2, 60, 3]

    def test_discarded_requests_are_removed(self) -> None:
        """Discarded requests are never served, and few heap entries of them are kept."""
        queue = make()
        for sequence in range(1_000):
            queue.put(queued(sequence))
            if sequence % 10:
                queue.discard(RequestId(f"r{sequence}"))
        assert len(queue) == 100
        assert sum(len(flow.heap) for flow in queue._organisation_queues.values()) < 300
        assert [request.sequence for request in pop_many(queue, 200)] == list(range(0, 1_000, 10))
        assert queue.oldest_arrival() is None
