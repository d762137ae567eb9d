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


def candidate_names(upstreams: Upstreams, now: float, patient: bool = False) -> list[str]:
    return [candidate.upstream for candidate in upstreams.candidates(NAMES, now, patient=patient)]


class TestSuspects:
    def test_failure_makes_an_upstream_suspect(self) -> None:
        """An engine at which work failed is left out for a second, regardless of its reports."""
        upstreams = two_upstreams()
        upstreams.get(NAMES[0]).record_failure(0.1)
        assert candidate_names(upstreams, 0.5) == ["d2"]
        assert candidate_names(upstreams, 1.2) == ["d1", "d2"]

    def test_suspects_get_urgent_work_if_all_are_suspect(self) -> None:
        """If all upstreams are suspect, urgent work still gets them and patient work waits."""
        upstreams = two_upstreams()
        for name in NAMES:
            upstreams.get(name).record_failure(0.1)
        assert candidate_names(upstreams, 0.5) == ["d1", "d2"]
        assert candidate_names(upstreams, 0.5, patient=True) == []

    @pytest.mark.parametrize(("has_output", "suspect_s"), [(False, 4.0), (True, 1.0)])
    def test_repeated_failures_extend_the_suspicion(
        self, has_output: bool, suspect_s: float
    ) -> None:
        """The suspect time doubles with each consecutive failure; output resets it."""
        view = two_upstreams().get(NAMES[0])
        for at in (0.0, 1.0, 3.0):
            if has_output:
                view.record_output()
            view.record_failure(at)
        assert view.suspect_until == pytest.approx(3.0 + suspect_s)
