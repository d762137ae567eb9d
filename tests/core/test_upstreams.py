import pytest

from chivehold.core.identity import Role, UpstreamName
from chivehold.core.upstreams import Upstreams
from tests.core.entry_driver import REPORT, upstream

NAMES = (UpstreamName("d1"), UpstreamName("d2"))


def two_upstreams() -> Upstreams:
    upstreams = Upstreams()
    upstreams.set_declared(upstream(name, Role.DECODE) for name in NAMES)
    for name in NAMES:
        view = upstreams.get(name)
        assert view is not None
        view.update_report(REPORT, 0.0)
    return upstreams


def chosen(upstreams: Upstreams, now: float, patient: bool = False) -> list[str]:
    return [one.upstream for one in upstreams.candidates(NAMES, now, patient=patient)]


class TestSuspects:
    def test_broken_off_work_turns_others_elsewhere(self) -> None:
        """An engine at which work broke off is left out for a second, whatever it reports."""
        upstreams = two_upstreams()
        upstreams.get(NAMES[0]).record_failure(0.1)
        assert chosen(upstreams, 0.5) == ["d2"]
        assert chosen(upstreams, 1.2) == ["d1", "d2"]

    def test_last_resort_for_urgent_work_only(self) -> None:
        """Where all are suspect urgent work is still tried, and patient work waits."""
        upstreams = two_upstreams()
        for name in NAMES:
            upstreams.get(name).record_failure(0.1)
        assert chosen(upstreams, 0.5) == ["d1", "d2"]
        assert chosen(upstreams, 0.5, patient=True) == []

    @pytest.mark.parametrize(("produces", "suspect_s"), [(False, 4.0), (True, 1.0)])
    def test_repeated_failures_count_for_longer(self, produces: bool, suspect_s: float) -> None:
        """The time doubles with each failure in a row; output ends the row."""
        view = two_upstreams().get(NAMES[0])
        for at in (0.0, 1.0, 3.0):
            if produces:
                view.record_output()
            view.record_failure(at)
        assert view.suspect_until == pytest.approx(3.0 + suspect_s)
