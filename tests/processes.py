"""Runs the project's programs as child processes on free ports."""

import json
import os
import selectors
import signal
import subprocess
import sys
import time
from ipaddress import IPv4Address
from pathlib import Path
from random import SystemRandom

READY_TIMEOUT_S = 15.0
EXIT_TIMEOUT_S = 10.0
TOKEN = "0123456789abcdef"
FIRST_OWN_ADDRESS = IPv4Address("127.16.0.1")
OWN_ADDRESSES = 1 << 22


def own_address() -> str:
    """Return a loopback address with port 0 that other processes are unlikely to use.

    A program that listens there can be started again at the same port: the kernel gives ports of
    127.0.0.1 to connections and to the programs of other test runs in the meantime.
    """
    return f"{FIRST_OWN_ADDRESS + SystemRandom().randrange(OWN_ADDRESSES)}:0"


class RunningProgram:
    """A program started with ``python -m``; its standard error goes to ``log``."""

    def __init__(self, module: str, arguments: list[str], log: Path) -> None:
        self.log = log
        with log.open("wb") as stderr:
            self.process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=subprocess.PIPE,
                stderr=stderr,
                env=os.environ | {"PYTHONUNBUFFERED": "1"},
            )
        self._buffer = b""

    def addresses(self) -> list[str]:
        """Wait for the line ``listening …`` on standard output and return its addresses."""
        deadline_at = time.monotonic() + READY_TIMEOUT_S
        stdout = self.process.stdout
        with selectors.DefaultSelector() as selector:
            selector.register(stdout, selectors.EVENT_READ)
            while b"\n" not in self._buffer:
                remaining_s = deadline_at - time.monotonic()
                chunk = (
                    os.read(stdout.fileno(), 4096) if selector.select(max(0, remaining_s)) else b""
                )
                assert chunk, f"not ready: {self.log.read_text()[-2000:]}"
                self._buffer += chunk
        line, _, self._buffer = self._buffer.partition(b"\n")
        return line.decode().split()[1:]

    def resident_mib(self) -> float:
        """Return the resident memory of the process in MiB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        kilobytes = next(row.split()[1] for row in status.splitlines() if row.startswith("VmRSS"))
        return int(kilobytes) / 1024

    def signal(self, signal_number: signal.Signals) -> None:
        self.process.send_signal(signal_number)

    def wait(self, timeout_s: float = EXIT_TIMEOUT_S) -> int:
        return self.process.wait(timeout_s)

    def kill(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.process.stdout.close()


class Programs:
    """Starts the programs of a test and kills them at its end."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self._programs: list[RunningProgram] = []

    def start(self, module: str, *arguments: str) -> RunningProgram:
        log = self.directory / f"{len(self._programs)}-{module}.log"
        program = RunningProgram(module, list(arguments), log)
        self._programs.append(program)
        return program

    def start_with_settings(
        self, module: str, name: str, *, arguments: tuple[str, ...] = (), **settings: object
    ) -> RunningProgram:
        path = self.directory / f"{name}.toml"
        fields = {"name": name, "zone": "sjo-a", "token": TOKEN} | settings
        path.write_text("".join(f"{key} = {_toml_value(value)}\n" for key, value in fields.items()))
        return self.start(module, *arguments, "--settings", str(path))

    def kill_all(self) -> None:
        for program in self._programs:
            program.kill()


def _toml_value(value: object) -> str:
    return json.dumps(value)
