"""Priorities of streams: which a service has, and what engines and polls get to see of them."""

import pytest

from chivehold.core.direct.organisations import Organisation
from chivehold.core.direct.routes import CallKind, RouteTable
from chivehold.core.direct.stream_priorities import (
    ServedPriorities,
    StreamPriorities,
    priorities_by_service,
)
from chivehold.core.direct.waiting import Waiter
from tests.core.direct.factories import route


def table(*priorities: int, organisations: tuple[Organisation, ...] = ()) -> RouteTable:
    routes = tuple(
        route(f"/{number}/", kind=CallKind.STREAM, priority=priority)
        for number, priority in enumerate(priorities)
    )
    return RouteTable(1, (*routes, route("/plain/", priority=7)), {}, 1, organisations)


class TestConfiguration:
    def test_one_priority(self) -> None:
        """Routes of one priority change nothing, whatever that of plain routes is."""
        found = priorities_by_service(table(1, 1))["s"]
        assert not found.is_ordered
        assert found.urgency(1) is None

    def test_organisations_before_routes(self) -> None:
        """An organisation's priority stands for that of each route; without one, the route's."""
        organisations = (
            Organisation("a", frozenset(), priority=0),
            Organisation("b", frozenset()),
        )
        found = priorities_by_service(table(1, organisations=organisations))["s"]
        assert found == StreamPriorities((0, 1), True)

    @pytest.mark.parametrize(
        ("priorities", "urgencies"), [((0, 1, 2), [0, 1, 2]), ((-5, 3, 40), [0, 1, 2])]
    )
    def test_urgency(self, priorities: tuple[int, ...], urgencies: list[int]) -> None:
        """Engines know 0 to 9; other priorities are stated by their rank."""
        found = StreamPriorities(priorities)
        assert [found.urgency(priority) for priority in priorities] == urgencies


class TestPolls:
    def test_less_urgent_polls_less_while_urgent_is_served(self) -> None:
        """A burst of the least urgent class polls seldom, but not if there is nothing else."""
        least = Waiter("r", 1, 100.0, 102.0, 103.0, priority=2)
        served = ServedPriorities()
        served.record_arrival(2, 1, 100.0)
        assert served.poll_interval_s(least, False, 100.0) == pytest.approx(0.03)
        served.record_arrival(0, 1, 100.0)
        served.record_arrival(1, 1, 100.0)
        assert served.poll_interval_s(least, False, 100.0) > 0.3
        assert served.poll_interval_s(least, False, 140.0) < 0.1
