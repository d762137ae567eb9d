"""Limits on the size of request bodies."""

import pytest

from chivehold.bodies import BodyBudget, body_bytes_to_reserve, declared_body_bytes
from chivehold.exceptions import BudgetSpent
from chivehold.http_server import Scope


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
