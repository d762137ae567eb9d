"""Gaps between the events of a stream: which is the longest, where it is, and how many are late."""

from chivehold.core.direct.event_gaps import EventGaps, Gap, GapPosition


def gaps_of(*times: float, target_s: float = 0.3) -> EventGaps:
    gaps = EventGaps(target_s)
    for now in times:
        gaps.record_event(now)
    return gaps


class TestEventGaps:
    def test_time_to_first_event_is_no_gap(self) -> None:
        """A stream with one event has no gap, however late the event was."""
        gaps = gaps_of(100.0)
        assert (gaps.longest, gaps.late) == (Gap(0.0, GapPosition.NONE), 0)

    def test_positions(self) -> None:
        """The gap after the first event is told from the later ones."""
        assert gaps_of(1.0, 3.0, 4.0).longest == Gap(2.0, GapPosition.AFTER_FIRST)
        assert gaps_of(1.0, 2.0, 4.0).longest == Gap(2.0, GapPosition.BETWEEN)

    def test_resumption(self) -> None:
        """A gap between the events of two engines is counted, and told from the others."""
        gaps = gaps_of(1.0, 1.1)
        gaps.record_resumption()
        gaps.record_event(3.0)
        gaps.record_event(3.1)
        assert gaps.longest.position is GapPosition.RESUMED
        assert gaps.late == 1

    def test_first_engine_is_no_resumption(self) -> None:
        """The first engine's start counts as no resumption of anything."""
        gaps = EventGaps(0.3)
        gaps.record_resumption()
        gaps.record_event(5.0)
        gaps.record_event(5.5)
        assert gaps.longest == Gap(0.5, GapPosition.AFTER_FIRST)

    def test_late(self) -> None:
        """A gap of the target is on time, a longer one late; without a target none is."""
        assert gaps_of(1.0, 1.25, 2.0, 3.0, target_s=0.25).late == 2
        assert gaps_of(1.0, 9.0, target_s=0.0).late == 0
