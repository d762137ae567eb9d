"""Limits on the size of request bodies and answers."""

import pytest
import trio
import trio.testing

from chivehold.asgi import Scope
from chivehold.bodies import BodyBudget, body_bytes_to_reserve, declared_body_bytes
from chivehold.exceptions import BudgetSpent


def scope(*headers: tuple[bytes, bytes]) -> Scope:
    return {"headers": headers}


class TestBodyBudget:
    def test_releases_bytes_when_the_block_ends(self) -> None:
        budget = BodyBudget(100)
        with budget.reserve(80), pytest.raises(BudgetSpent), budget.reserve(30):
            pytest.fail("no room for both")
        assert budget.held_bytes == 0

    def test_grows_as_a_body_arrives(self) -> None:
        """The declared size is not counted twice, and a refused growth changes nothing."""
        budget = BodyBudget(100)
        with budget.reserve(40) as reserved:
            reserved.grow_to(30)
            assert budget.held_bytes == 40
            reserved.grow_to(90)
            assert budget.held_bytes == 90
            with pytest.raises(BudgetSpent):
                reserved.grow_to(101)
            assert budget.held_bytes == 90
        assert budget.held_bytes == 0

    def test_shrinks_to_the_received_size(self) -> None:
        budget = BodyBudget(100)
        with budget.reserve(90) as reserved:
            reserved.shrink_to(10)
            assert budget.held_bytes == 10


class TestAnswers:
    async def test_answer_waits_for_memory(self) -> None:
        """Guards against answers that are held without a limit because nobody reads them."""
        budget = BodyBudget(100)
        with budget.reserve(0) as first, budget.reserve(0) as second:
            await first.grow_when_free(80)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(second.grow_when_free, 30)
                await trio.testing.wait_all_tasks_blocked()
                assert budget.held_bytes == 80
                first.shrink_to(0)
            assert budget.held_bytes == 30

    async def test_single_answer_may_exceed_the_budget(self) -> None:
        """An answer longer than the whole budget is held if there is no other."""
        budget = BodyBudget(100)
        with budget.reserve(10) as reserved:
            await reserved.grow_when_free(500)
            assert budget.held_bytes == 510
        assert budget.held_bytes == 0


class TestDeclaredSize:
    @pytest.mark.parametrize(
        ("headers", "declared", "expected"),
        [
            ((), 0, 0),
            (((b"content-length", b"7"),), 7, 7),
            (((b"content-length", b"70"),), 50, 50),
            (((b"content-length", b"-1"),), 0, 0),
            (((b"transfer-encoding", b"chunked"),), 0, 50),
        ],
    )
    def test_sizes(
        self, headers: tuple[tuple[bytes, bytes], ...], declared: int, expected: int
    ) -> None:
        """For a body of unknown size the limit is reserved, 50 here."""
        assert declared_body_bytes(scope(*headers), 50) == declared
        assert body_bytes_to_reserve(scope(*headers), 50) == expected
