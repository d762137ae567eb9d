"""Load reported by upstreams: its age, its owner, and what is left of it with time."""

from chivehold.core.direct.messages import ReportedLoad, UpstreamIncarnation
from chivehold.core.direct.reported_load import MAX_AGE_S, MAX_SLOWNESS_AGE_S, ReportedLoads

UPSTREAM = UpstreamIncarnation("u", 1)
BUSY = ReportedLoad(6, 4, 6, 2.5)


class TestOthers:
    def test_own_requests_are_not_counted_twice(self) -> None:
        """Entries that all receive a report count their own calls from it only once."""
        loads = ReportedLoads()
        loads.record(UPSTREAM, BUSY, 3, 1.0)
        assert loads.others(UPSTREAM, 1.0) == 7

    def test_are_never_negative(self) -> None:
        """An upstream that reports less than this entry has there takes nothing off its work."""
        loads = ReportedLoads()
        loads.record(UPSTREAM, ReportedLoad(0, 0, 6), 3, 1.0)
        assert loads.others(UPSTREAM, 1.0) == 0

    def test_fade_with_age(self) -> None:
        """In a demand wave a report of some seconds ago says almost nothing about now."""
        loads = ReportedLoads()
        loads.record(UPSTREAM, BUSY, 0, 1.0)
        assert 10 > loads.others(UPSTREAM, 1.1) > loads.others(UPSTREAM, 1.3) > 0
        assert loads.others(UPSTREAM, 5.5) < 0.5
        assert loads.report_of(UPSTREAM, 1.1 + MAX_AGE_S) is None


class TestSlowness:
    def test_holds_for_a_spell(self) -> None:
        """In temporary slowdowns of 0.6 s a slowness is forgotten when its spell is over."""
        loads = ReportedLoads()
        loads.record(UPSTREAM, BUSY, 0, 1.0)
        assert loads.slowness(UPSTREAM, 1.0) == 2.5
        assert 1.0 < loads.slowness(UPSTREAM, 1.3) < 2.5
        assert loads.slowness(UPSTREAM, 1.1 + MAX_SLOWNESS_AGE_S) == 1.0

    def test_is_usual_if_not_reported(self) -> None:
        """Upstreams that report three figures count as neither slow nor fast."""
        loads = ReportedLoads()
        loads.record(UPSTREAM, ReportedLoad(1, 0, 6), 0, 1.0)
        assert loads.slowness(UPSTREAM, 1.0) == 1.0


class TestIncarnations:
    def test_restart_has_no_report(self) -> None:
        """A restart under the same name does not inherit the load of the former process."""
        loads = ReportedLoads()
        loads.record(UPSTREAM, BUSY, 0, 1.0)
        restarted = UPSTREAM._replace(started_ms=2)
        assert loads.others(restarted, 1.0) == 0
        loads.forget_others({restarted})
        assert loads.age_s(UPSTREAM, 1.0) is None
