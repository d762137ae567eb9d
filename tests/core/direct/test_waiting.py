"""Order in which waiting requests get decode memory, in bursts that exceed it for seconds.

The tests drive the queue on a simulated clock; there is no engine and no network.
"""

from collections import Counter
from collections.abc import Iterator
from random import Random

from chivehold.core.direct.waiting import PassedOver, Precedence, Waiter, WaitQueue

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
            queue.remove(candidate.key)
            del waiting[candidate.request]
        next_waiter = queue.next_waiter(now)
        if next_waiter is not None:
            queue.remove(next_waiter.key)
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


class TestPriorities:
    def test_order(self) -> None:
        """A burst of the least urgent class waits behind a more urgent request that came last."""
        queue = WaitQueue()
        for number in range(5):
            queue.add(waiter(number, 0.1 * number)._replace(priority=2))
        queue.add(waiter(8, 0.9)._replace(priority=1))
        queue.add(waiter(9, 1.0)._replace(priority=0))
        for now in (1.0, 2.0):
            assert served(queue, now, 2) == ["r9", "r8"]
            for number, priority in ((8, 1), (9, 0)):
                queue.add(waiter(number, 1.0)._replace(priority=priority))

    def test_returning_caller_keeps_its_position(self) -> None:
        """All classes at twice the capacity: a retry goes before a late request that came first."""
        queue = WaitQueue()
        queue.add(waiter(1, 0.0))
        queue.add(waiter(2, 1.0)._replace(waited_before_s=4.0, on_time_until=0.0))
        assert served(queue, 1.5, 1) == ["r2"]

    def test_least_urgent_is_not_passed_over_for_ever(self) -> None:
        """All classes at twice the capacity: the overdue get one in eight grants, and no more."""
        queue = WaitQueue()
        overdue = [waiter(number, 0.0)._replace(priority=2, leaves_at=3.0) for number in range(10)]
        for late in overdue:
            queue.add(late)
        order = []
        for number in range(100, 132):
            queue.add(waiter(number, 2.0))
            order += served(queue, 2.0, 1)
        assert [place for place, request in enumerate(order) if int(request[1:]) < 10] == [
            7,
            15,
            23,
            31,
        ]

    def test_overdue_request_without_room_does_not_block(self) -> None:
        """Long prompts among short ones: a turn that no engine has room for ends."""
        queue = WaitQueue()
        queue.add(waiter(1, 0.0, tokens=9_000)._replace(leaves_at=3.0))
        for number in range(10, 20):
            queue.add(waiter(number, 2.0))
        served(queue, 2.0, 7)
        names = [getattr(queue.next_waiter(now), "request", "") for now in (2.0, 2.4, 2.6)]
        assert names == ["r1", "r1", "r17"]

    def test_organisation_at_five_times_its_usual(self) -> None:
        """One organisation at five times its usual gets its share, and what others leave."""
        granted = Counter[str]()
        queue = WaitQueue()
        for number in range(400):
            now = 0.1 * number
            sender = "large" if number % 6 else f"small{number % 12}"
            queue.add(waiter(number, now)._replace(organisation=sender))
            if number % 2:
                following = queue.next_waiter(now)
                assert following is not None
                granted[str(following.organisation)] += 1
                queue.remove(following.key)
                queue.record_grant(following, now)
        # Both small ones want a sixth of the grants each and are served in full but for the last.
        assert granted["small0"] + granted["small6"] >= 400 // 6 - 2
        assert granted["large"] >= 200 - 400 // 6 - 1

    def test_why_a_request_was_passed_over(self) -> None:
        """All classes at twice the capacity: the first reason and the number are kept."""
        queue = WaitQueue()
        queue.add(waiter(1, 0.0)._replace(priority=2))
        queue.add(waiter(2, 1.0)._replace(priority=1))
        queue.add(waiter(3, 1.1)._replace(priority=0))
        served(queue, 1.2, 2)
        assert queue.passed_over("r1") == PassedOver(2, "r3", Precedence.PRIORITY)
        served(queue, 1.2, 1)
        assert queue.passed_over("r1") is None

    def test_equal_requests_keep_their_order(self) -> None:
        """Guards against another order in deployments with one priority and no organisations."""
        rng = Random(1)
        for _ in range(200):
            queue = WaitQueue()
            added = [
                waiter(number, rng.uniform(0.0, 3.0))._replace(has_started=rng.random() < 0.1)
                for number in range(10)
            ]
            for made in added:
                queue.add(made)
            expected = sorted(
                added,
                key=lambda made: (
                    not made.has_started,
                    made.is_late(2.0),
                    made.arrived_at if made.is_late(2.0) else made.on_time_until,
                ),
            )
            assert served(queue, 2.0, 10) == [made.request for made in expected]

    def test_equal_requests_take_no_turns(self) -> None:
        """Requests of one priority are served in the same order as ever, also if overdue."""
        queue = WaitQueue()
        queue.add(waiter(0, 0.0))
        order = []
        for number in range(100, 120):
            queue.add(waiter(number, 2.0))
            order += served(queue, 2.0, 1)
        assert "r0" not in order


def served(queue: WaitQueue, now: float, count: int) -> list[str]:
    """Grant memory to the next requests and return their ids."""
    order = []
    for _ in range(count):
        following = queue.next_waiter(now)
        assert following is not None
        queue.remove(following.key)
        queue.record_grant(following, now)
        order.append(following.request)
    return order


class TestIds:
    def test_same_id_of_two_organisations(self) -> None:
        """The request of one organisation must not replace or remove that of another."""
        queue = WaitQueue()
        for organisation in ("acme", "bolt"):
            queue.add(waiter(1, 1.0)._replace(organisation=organisation))
        assert len(queue) == 2
        queue.remove(waiter(1, 1.0)._replace(organisation="acme").key)
        assert [waiting.organisation for waiting in queue.waiters] == ["bolt"]


class TestTurnOwner:
    def test_grant_to_a_started_stream_does_not_end_the_turn(self) -> None:
        """An overdue request lost its turn to a stream that had lost its engine meanwhile."""
        queue = WaitQueue()
        overdue = waiter(0, 0.0)._replace(priority=2, leaves_at=2.0, on_time_until=0.5)
        queue.add(overdue)
        for number in range(1, 9):
            queue.add(waiter(number, 1.5)._replace(priority=0, leaves_at=9.0, on_time_until=9.0))
        for _ in range(7):
            granted = queue.next_waiter(1.6)
            assert granted is not None and granted.priority == 0
            queue.remove(granted.key)
            queue.record_grant(granted, 1.6)
        assert queue.next_waiter(1.6) == overdue
        resumed = waiter(20, 1.6)._replace(has_started=True)
        queue.add(resumed)
        assert queue.next_waiter(1.6) == resumed
        queue.remove(resumed.key)
        queue.record_grant(resumed, 1.6)
        assert queue.next_waiter(1.6) == overdue
