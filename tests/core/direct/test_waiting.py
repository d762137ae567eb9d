"""Order in which waiting requests get decode memory, in bursts that exceed it for seconds.

The tests drive the queue on a simulated clock; there is no engine and no network.
"""

from collections.abc import Iterator

from chivehold.core.direct.waiting import Waiter, WaitQueue

TARGET_S = 0.7
MAX_WAIT_S = 2.8


def waiter(number: int, arrived_at: float, tokens: int = 4_000) -> Waiter:
    return Waiter(
        request=f"r{number}",
        tokens=tokens,
        arrived_at=arrived_at,
        on_time_until=arrived_at + TARGET_S,
        gives_up_at=arrived_at + MAX_WAIT_S,
    )


def burst(grants_per_s: float, arrivals_per_s: float, length_s: float) -> Iterator[float]:
    """Simulate a burst and yield how long each served request waited, in seconds."""
    queue = WaitQueue()
    waiting: dict[str, Waiter] = {}
    grant_at = arrive_at = 0.0
    number = 0
    while grant_at < length_s + MAX_WAIT_S:
        if arrive_at <= grant_at and arrive_at < length_s:
            candidate = waiter(number, arrive_at)
            queue.add(candidate)
            waiting[candidate.request] = candidate
            number += 1
            arrive_at += 1 / arrivals_per_s
            continue
        now = grant_at
        grant_at += 1 / grants_per_s
        for candidate in [
            candidate for candidate in waiting.values() if candidate.gives_up_at < now
        ]:
            queue.remove(candidate.request)
            del waiting[candidate.request]
        next_waiter = queue.next_waiter(now)
        if next_waiter is not None:
            queue.remove(next_waiter.request)
            del waiting[next_waiter.request]
            yield now - next_waiter.arrived_at


class TestBurst:
    def test_overload_serves_mostly_on_time_requests(self) -> None:
        """With 1.5 times as many arrivals as grants, nine in ten grants go to on-time requests.

        Served in order of arrival, the queue would grow past the target and all would be late.
        """
        waits = list(burst(grants_per_s=10, arrivals_per_s=15, length_s=5))
        during = waits[:50]
        on_time = sum(wait <= TARGET_S for wait in during)
        assert on_time >= 0.9 * len(during)

    def test_light_load_hardly_waits(self) -> None:
        """With fewer arrivals than possible grants, requests get memory almost immediately."""
        assert max(burst(grants_per_s=10, arrivals_per_s=5, length_s=5)) <= 0.2


class TestOrder:
    def test_on_time_before_late(self) -> None:
        """A request that can still be on time is served before an earlier one that is late."""
        queue = WaitQueue()
        queue.add(waiter(1, 0.0))
        queue.add(waiter(2, 1.0))
        assert getattr(queue.next_waiter(0.5), "request", None) == "r1"
        assert getattr(queue.next_waiter(1.2), "request", None) == "r2"

    def test_late_requests_by_arrival(self) -> None:
        """Late requests are served in order of arrival."""
        queue = WaitQueue()
        for number in (3, 1, 2):
            queue.add(waiter(number, number / 10))
        assert getattr(queue.next_waiter(2.0), "request", None) == "r1"

    def test_empty(self) -> None:
        """An emptied queue has no next request."""
        queue = WaitQueue()
        queue.add(waiter(1, 0.0))
        queue.remove("r1")
        queue.remove("r1")
        assert queue.next_waiter(0.0) is None
        assert len(queue) == 0


class TestStartedStream:
    def test_goes_first(self) -> None:
        """A stream that has lost its engine goes before all others, as long as it waits."""
        queue = WaitQueue()
        queue.add(waiter(1, arrived_at=10.0))
        queue.add(waiter(2, arrived_at=0.0)._replace(has_started=True))
        queue.add(waiter(3, arrived_at=0.0))
        for now in (10.0, 10.5, 12.0):
            first = queue.next_waiter(now)
            assert first is not None and first.request == "r2"
