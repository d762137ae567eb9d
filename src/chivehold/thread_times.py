"""How long the current thread has run, and how long it had to wait for a core."""

import os
import time
from pathlib import Path
from typing import NamedTuple, Self

SCHEDULER_STATISTICS = Path("/proc/thread-self/schedstat")
"""Linux writes three numbers here; the second one is the time in the run queue in nanoseconds."""
MAX_STATISTICS_BYTES = 96
NS_PER_S = 1_000_000_000


class ThreadTimes(NamedTuple):
    """Times since the start of a thread, or between two moments."""

    cpu_s: float
    queued_s: float | None = None
    """Time in which it was ready to run but had no core; ``None`` if the system does not tell."""

    def since(self, earlier: Self) -> "ThreadTimes":
        """Return the times between an earlier moment and this one."""
        queued_s: float | None = None
        if self.queued_s is not None and earlier.queued_s is not None:
            queued_s = self.queued_s - earlier.queued_s
        return ThreadTimes(self.cpu_s - earlier.cpu_s, queued_s)


class ThreadClock:
    """Reads the times of the thread that creates it.

    Args:
        path: The scheduler's statistics of the thread.
    """

    def __init__(self, path: Path = SCHEDULER_STATISTICS) -> None:
        self._fd: int | None = None
        try:
            self._fd = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            # Other systems than Linux have no such file.
            return

    def read(self) -> ThreadTimes:
        """Return the times since the start of the thread."""
        return ThreadTimes(time.thread_time(), self._queued_s())

    def close(self) -> None:
        """Close the file; the waiting time is not known afterwards."""
        fd, self._fd = self._fd, None
        if fd is not None:
            os.close(fd)

    def _queued_s(self) -> float | None:
        if self._fd is None:
            return None
        try:
            statistics = os.pread(self._fd, MAX_STATISTICS_BYTES, 0)
            return int(statistics.split()[1]) / NS_PER_S
        except (OSError, ValueError, IndexError):
            return None
