"""Streams that miss their gap target at several engines count as disturbed for a while."""

from chivehold.core.direct.pace import HOLD_S, LATE_STREAMS, STREAMS_KEPT, PaceMonitor


def monitor(*late_engines: str, now: float = 0.0) -> PaceMonitor:
    pace = PaceMonitor()
    for engine in late_engines:
        pace.record_stream(engine, is_late=True, now=now)
    return pace


class TestPaceMonitor:
    def test_late_at_two_engines(self) -> None:
        """Late streams at two engines count as disturbed at once."""
        assert monitor("d1", "d2").is_disturbed(0.0)

    def test_one_slow_engine(self) -> None:
        """An engine that alone is slow says nothing about prefills at decode engines."""
        assert not monitor(*["d1"] * 10).is_disturbed(0.0)

    def test_rare_late_streams(self) -> None:
        """Late streams that are rare among those on time do not count."""
        pace = PaceMonitor()
        for number in range(10 * STREAMS_KEPT):
            is_late = number % (STREAMS_KEPT // (LATE_STREAMS - 1) + 1) == 0
            pace.record_stream(f"d{number}", is_late, now=0.0)
        assert not pace.is_disturbed(0.0)

    def test_ends(self) -> None:
        """After the hold time the streams are judged anew, by new streams only."""
        pace = monitor("d1", "d2", now=5.0)
        assert pace.is_disturbed(4.9 + HOLD_S)
        pace.record_stream("d1", is_late=True, now=6.0 + HOLD_S)
        assert not pace.is_disturbed(6.0 + HOLD_S)
