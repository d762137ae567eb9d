"""The order of requests that wait for room at plain upstreams in a demand wave."""

from chivehold.core.direct.plain_queue import PlainQueue


class TestOrder:
    def test_priority_then_arrival(self) -> None:
        """The most urgent go first, and among those the first to arrive."""
        queue = PlainQueue()
        tickets = [queue.add(priority, at) for priority, at in [(1, 1.0), (0, 3.0), (0, 2.0)]]
        assert queue.position(0, 2.5) == 1
        order = []
        while len(queue):
            (first,) = [ticket for ticket in tickets if queue.is_first(ticket)]
            order.append((first.priority, first.arrived_at))
            queue.remove(first)
            tickets.remove(first)
        assert order == [(0, 2.0), (0, 3.0), (1, 1.0)]
