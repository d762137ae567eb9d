import pytest

from chivehold.core.identity import AttemptId, RequestId, Urgency
from chivehold.core.link import ImportLink

RATE = 1_000.0


def attempt(number: int) -> AttemptId:
    return AttemptId(RequestId("r"), number)


def busy_link(enforced: bool = True) -> ImportLink:
    """A link with one patient transfer of two seconds in progress."""
    link = ImportLink(RATE, enforced)
    link.reserve(attempt(1), 2_000, Urgency.PATIENT, 0.0)
    link.start(attempt(1), 2_000, 0.0)
    return link


class TestImportLink:
    def test_long_transfer_does_not_hold_back_a_short_urgent_one(self) -> None:
        """An urgent offer is granted if its KV cache arrives soon beside a long transfer."""
        assert busy_link().grant_delay_s(100, Urgency.URGENT, 0.0) == 0.0

    def test_patient_grants_wait_for_each_other(self) -> None:
        """A second patient offer is held back while the transfer of the first fills the link."""
        assert busy_link().grant_delay_s(100, Urgency.PATIENT, 0.0) == pytest.approx(1.6)

    @pytest.mark.parametrize("enforced", [True, False])
    def test_crowded_link_holds_urgent_grants_back(self, enforced: bool) -> None:
        """Urgent grants are held back if the transfers in progress would make the next one late."""
        link = busy_link(enforced)
        for number in range(2, 6):
            link.reserve(attempt(number), 150, Urgency.URGENT, 0.0)
            link.start(attempt(number), 150, 0.0)
        assert (link.grant_delay_s(150, Urgency.URGENT, 0.0) > 0) is enforced

    def test_reserved_long_transfer_does_not_hold_back_a_short_one(self) -> None:
        """A reserved transfer counts only by what it moves while the short transfer runs."""
        link = ImportLink(RATE, True)
        link.reserve(attempt(1), 50_000, Urgency.PATIENT, 0.0)
        assert link.grant_delay_s(100, Urgency.URGENT, 0.0) == 0.0

    def test_idle_link_takes_any_size(self) -> None:
        """A KV cache of any size is granted when nothing else is on the link."""
        link = ImportLink(RATE, True)
        assert link.grant_delay_s(1e9, Urgency.PATIENT, 0.0) == 0.0

    def test_recheck_is_later_than_now(self) -> None:
        """A grant that is held back is reconsidered at a later time, not at once."""
        link = busy_link()
        for now in (0.0, 0.3, 1.5999999999):
            due = link.recheck_at(100, Urgency.PATIENT, now)
            assert due is None or due > now + 1e-3
