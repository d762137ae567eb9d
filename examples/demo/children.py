"""Starts the processes of the demo and stops them by process id."""

import os
import subprocess
import sys
from pathlib import Path

import trio

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
READ_BYTES = 4096


class Child:
    """A running child process and the path of its log."""

    def __init__(self, name: str, process: trio.Process, log: Path) -> None:
        self.name = name
        self.process = process
        self._log = log
        self._buffer = b""

    async def addresses(self) -> list[str]:
        """Wait for the next line of addresses that the program prints.

        Raises:
            RuntimeError: The process exited first.
            trio.TooSlowError: No line came within ``READY_TIMEOUT_S``.
        """
        assert self.process.stdout is not None
        with trio.fail_after(READY_TIMEOUT_S):
            while b"\n" not in self._buffer:
                chunk = await self.process.stdout.receive_some(READ_BYTES)
                if not chunk:
                    raise RuntimeError(f"{self.name} ended: {self._log.read_text()[-2000:]}")
                self._buffer += chunk
        line, _, self._buffer = self._buffer.partition(b"\n")
        return line.decode().split()[1:]

    async def stop(self) -> None:
        """Terminate the process, and kill it if it still runs after ``STOP_TIMEOUT_S``."""
        if self.process.returncode is None:
            self.process.terminate()
        with trio.move_on_after(STOP_TIMEOUT_S):
            await self.process.wait()
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Children:
    """All child processes of one run, which write their logs to a directory."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self._children: list[Child] = []

    async def start(self, name: str, module: str, *arguments: str) -> Child:
        """Start a Python module as a program."""
        log = self.directory / f"{name}.log"
        with log.open("ab") as log_file:
            process = await trio.lowlevel.open_process(
                [sys.executable, "-m", module, *arguments],
                stdout=subprocess.PIPE,
                stderr=log_file,
                env=os.environ | {"PYTHONUNBUFFERED": "1"},
            )
        child = Child(name, process, log)
        self._children.append(child)
        return child

    async def stop(self) -> None:
        """Stop all processes that still run."""
        with trio.CancelScope(shield=True):
            async with trio.open_nursery() as nursery:
                for child in self._children:
                    nursery.start_soon(child.stop)
