"""What upstreams say of themselves, kept for their incarnation."""

from chivehold.core.direct.messages import UpstreamIncarnation, UpstreamSignals
from chivehold.core.direct.upstream_admission import (
    MAX_PAUSE_JITTER_S,
    MAX_PAUSE_S,
    MAX_REMEMBERED,
)
from tests.core.direct.factories import admission, fleet, upstream

UPSTREAM = UpstreamIncarnation("u", 1)


class TestPauses:
    def test_later_shorter_pause_does_not_end_an_earlier_one(self) -> None:
        """Only a later end replaces the end of a pause."""
        made = admission()
        made.record(UPSTREAM, UpstreamSignals(pause_s=10.0), 0.0, 0.0)
        made.record(UPSTREAM, UpstreamSignals(pause_s=1.0), 0.0, 1.0)
        assert made.wait_s(UPSTREAM, 5.0) >= 5.0

    def test_entries_return_at_different_times(self) -> None:
        """The pauses of entries refused at the same time end spread, never too early."""
        waits_s = []
        for seed in range(20):
            made = admission(seed)
            made.record(UPSTREAM, UpstreamSignals(pause_s=8.0), 0.0, 0.0)
            waits_s.append(made.wait_s(UPSTREAM, 0.0))
        assert min(waits_s) >= 8.0
        assert max(waits_s) - min(waits_s) >= 0.4

    def test_days_are_cut_to_the_longest_pause(self) -> None:
        """An upstream that names days is asked again after the longest pause."""
        made = admission()
        made.record(UPSTREAM, UpstreamSignals(pause_s=1e9), 0.0, 0.0)
        assert made.wait_s(UPSTREAM, 0.0) <= MAX_PAUSE_S + MAX_PAUSE_JITTER_S

    def test_next_process_has_no_pause(self) -> None:
        """A restart under the same name ends the pause."""
        made = admission()
        made.record(UPSTREAM, UpstreamSignals(pause_s=9.0), 0.0, 0.0)
        assert made.wait_s(UpstreamIncarnation("u", 2), 0.0) == 0.0


class TestDepartures:
    # Guards against requests to an upstream that a restored store lists as ready again.
    def test_outlasts_an_older_record(self) -> None:
        """An upstream once listed as draining is not used when listed as ready."""
        made = fleet()
        made.replace([upstream("x", draining=True)])
        made.replace([upstream("x")])
        assert [listed.draining for listed in made.upstreams] == [True]

    def test_outlasts_an_absence_from_the_list(self) -> None:
        """It holds while the upstream is not listed at all."""
        made = fleet()
        made.replace([upstream("x")])
        made.record_signals(upstream("x"), UpstreamSignals(leaving=True), 0.0, 0.0)
        made.replace([])
        made.replace([upstream("x")])
        assert [listed.draining for listed in made.upstreams] == [True]

    def test_memory_is_bounded(self) -> None:
        """The oldest departures are forgotten first."""
        made = admission()
        for number in range(MAX_REMEMBERED + 5):
            made.record_leaving(UpstreamIncarnation(f"u{number}", 1))
        assert not made.is_leaving(UpstreamIncarnation("u0", 1))
        assert made.is_leaving(UpstreamIncarnation("u5", 1))
