import pytest

from chivehold.core.shared_link import SharedLink


class TestSharedLink:
    def test_shares_equally(self) -> None:
        """A short transfer beside a long one takes twice its own time, the long one the rest."""
        link: SharedLink[str] = SharedLink(100.0)
        link.start("long", 300.0, 0.0)
        link.start("short", 100.0, 0.0)
        assert link.next_end() == pytest.approx(2.0)
        assert list(link.pop_ended(2.0)) == ["short"]
        assert link.next_end() == pytest.approx(4.0)

    def test_estimate_is_kept_when_nothing_else_starts(self) -> None:
        """A transfer takes the estimated time if nothing else starts."""
        link: SharedLink[str] = SharedLink(100.0)
        link.start("a", 50.0, 0.0)
        link.start("b", 400.0, 0.0)
        expected_s = link.transfer_time_s(100.0, 0.2)
        link.start("c", 100.0, 0.2)
        ends = {}
        while (due := link.next_end()) is not None:
            ends |= dict.fromkeys(link.pop_ended(due), due)
        assert ends["c"] == pytest.approx(0.2 + expected_s)

    def test_stopped_transfer_frees_its_share(self) -> None:
        """The remaining transfer runs at the full rate after another was stopped."""
        link: SharedLink[str] = SharedLink(100.0)
        link.start("a", 200.0, 0.0)
        link.start("b", 200.0, 0.0)
        assert link.stop("a", 1.0)
        assert link.next_end() == pytest.approx(2.5)
        assert link.remaining_bytes(2.0) == pytest.approx(50.0)

    def test_ends_at_its_own_time(self) -> None:
        """A transfer of any size has ended when its end is due, so that no timer fires twice."""
        link: SharedLink[int] = SharedLink(1.234e9)
        for key in range(50):
            link.start(key, 1e9 / 7 * (key + 1), key * 0.0137)
        while (due := link.next_end()) is not None:
            assert list(link.pop_ended(due))
