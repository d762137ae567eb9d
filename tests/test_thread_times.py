"""Times of the current thread."""

import time
from pathlib import Path

import pytest

from chivehold.thread_times import ThreadClock, ThreadTimes

BUSY_S = 0.02


class TestThreadClock:
    def test_cpu_time(self) -> None:
        """A busy thread has used CPU time, a sleeping one has not."""
        clock = ThreadClock()
        before = clock.read()
        while clock.read().since(before).cpu_s < BUSY_S:
            pass
        busy = clock.read()
        time.sleep(BUSY_S)
        assert clock.read().since(busy).cpu_s < BUSY_S / 2
        clock.close()

    def test_time_in_the_run_queue(self, tmp_path: Path) -> None:
        """The second number of the scheduler's statistics is the time in the run queue."""
        statistics = tmp_path / "schedstat"
        statistics.write_text("5000000000 2000000000 9\n")
        clock = ThreadClock(statistics)
        before = clock.read()
        assert before.queued_s == 2.0
        statistics.write_text("5000000000 2500000000 9\n")
        assert clock.read().since(before).queued_s == 0.5
        clock.close()
        assert clock.read().queued_s is None

    # Guards against a daemon that does not start, or ends, where these statistics are missing.
    @pytest.mark.parametrize("content", [None, "", "x y z", "12"])
    def test_statistics_that_are_missing(self, tmp_path: Path, content: str | None) -> None:
        """Without the statistics only the CPU time is known."""
        statistics = tmp_path / "schedstat"
        if content is not None:
            statistics.write_text(content)
        clock = ThreadClock(statistics)
        assert clock.read().queued_s is None
        assert clock.read().since(ThreadTimes(0.0, 1.0)).queued_s is None
        clock.close()
