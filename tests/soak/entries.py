"""The entries of a run: processes of the real program, each behind its own links."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import trio

from chivehold.history.events import Shutdown
from tests.soak.link import LOOPBACK, Link

START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
SHUTDOWN_TIMEOUT_S = 8.0
EXIT_SLACK_S = 0.5
RETRY_SHARE = 0.1
RETRY_EXTRA = 4
"""Small enough that faults exhaust the retry budget."""
RETRY_WINDOW_S = 10.0

SETTINGS = """
name = "{name}"
zone = "zone-a"
caller_address = "127.0.0.1:0"
ready_address = "127.0.0.1:0"
operator_address = "127.0.0.1:0"
store_address = "{store}"
exchange_address = "127.0.0.1:0"
retry_share = {share}
retry_extra = {extra}
retry_window_s = {window_s}
shutdown_s = {shutdown_s}
entries_most = {entries}
idle_timeout_s = {idle_s}
log_lines_per_s = 2000
loop_monitor = {loop_monitor}
"""


class Entry:
    """An entry process that can be killed and restarted many times.

    Args:
        name: Name of the entry, the same after a restart.
        count: Number of entries in the run.
        store: The link to the store.
        callers: The link that callers use; each start sets its target to the new process.
        directory: Directory for settings and logs.
        has_loop_monitor: Whether the process measures its event loop.
    """

    def __init__(
        self,
        name: str,
        count: int,
        store: Link,
        callers: Link,
        directory: Path,
        has_loop_monitor: bool = False,
    ) -> None:
        self.name = name
        self.store = store
        self.callers = callers
        self.ready_address = ""
        self.operator_address = ""
        self.run_count = 0
        self.unexpected_exits: list[str] = []
        """Exits of the process that no fault and no shutdown caused."""
        self._count = count
        self._directory = directory
        self._has_loop_monitor = has_loop_monitor
        self._process: subprocess.Popen[bytes] | None = None
        self._exit_expected = False
        self._start_lock = trio.Lock()

    @property
    def run(self) -> str:
        """The entry's name and the number of its current process."""
        return f"{self.name}#{self.run_count}"

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    @property
    def logs(self) -> list[Path]:
        return [self._log(number) for number in range(1, self.run_count + 1)]

    def write_settings(self, idle_s: float = 60.0) -> None:
        text = SETTINGS.format(
            name=self.name,
            store=self.store.address,
            share=RETRY_SHARE,
            extra=RETRY_EXTRA,
            window_s=RETRY_WINDOW_S,
            shutdown_s=SHUTDOWN_TIMEOUT_S,
            entries=self._count,
            idle_s=idle_s,
            loop_monitor=str(self._has_loop_monitor).lower(),
        )
        self._settings.write_text(text)

    async def start(self) -> None:
        """Start the process unless it is running, and wait until it listens."""
        async with self._start_lock:
            if self.is_running:
                return
            self._check_exit()
            self.run_count += 1
            self._exit_expected = False
            self.write_settings()
            with self._log(self.run_count).open("wb") as output:
                self._process = subprocess.Popen(
                    [sys.executable, "-m", "chivehold", "direct", "--settings", self._settings],
                    stdout=output,
                    stderr=subprocess.STDOUT,
                    env=dict(os.environ),
                )
            await self._wait_for_addresses()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.is_running:
            self._exit_expected = self._exit_expected or number in (signal.SIGKILL, signal.SIGTERM)
            assert self._process is not None
            self._process.send_signal(number)

    async def terminate(self) -> Shutdown | None:
        """Send SIGTERM and return how the process exited; ``None`` if it was not running."""
        process, began_at_s = self._process, time.time()
        if process is None or not self.is_running:
            return None
        self.signal(signal.SIGTERM)
        with trio.move_on_after(SHUTDOWN_TIMEOUT_S + EXIT_SLACK_S):
            while process.poll() is None:
                await trio.sleep(POLL_INTERVAL_S)
        ended_at_s = None if process.poll() is None else time.time()
        return Shutdown(self.name, began_at_s, ended_at_s, process.poll(), is_entry=True)

    def kill(self) -> None:
        """Kill the process at the end of a run."""
        self._check_exit()
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    def _check_exit(self) -> None:
        if (
            self._process is not None
            and self._process.poll() is not None
            and not self._exit_expected
        ):
            self.unexpected_exits.append(f"{self.run} ended with {self._process.returncode}")
            self._exit_expected = True

    async def _wait_for_addresses(self) -> None:
        with trio.move_on_after(START_TIMEOUT_S):
            while self.is_running:
                if line := self._read_started_line():
                    self.callers.target = line["callers"]
                    self.ready_address = line["ready"]
                    self.operator_address = line["operator"]
                    return
                await trio.sleep(POLL_INTERVAL_S)

    def _read_started_line(self) -> dict[str, Any] | None:
        for line in self._log(self.run_count).read_text(errors="replace").splitlines():
            if '"entry started"' in line:
                return json.loads(line)
        return None

    def _log(self, number: int) -> Path:
        return self._directory / f"{self.name}-{number}.log"

    @property
    def _settings(self) -> Path:
        return self._directory / f"{self.name}.toml"


def loopback_address(address: str) -> tuple[str, int]:
    """Return the loopback host and the port of an address."""
    return LOOPBACK, int(address.rpartition(":")[2])
