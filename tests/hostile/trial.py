"""Plays a crowd against one listener of a process and checks what must hold."""

import resource
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import NamedTuple

import httpcore
import psutil
import trio

from tests.hostile.attacks import HOST, Target

CLIENTS = 200
CONNECTIONS = 4
"""Connections that each client opens, one after another."""
MAX_MEMORY_BYTES = 88_000_000
"""Memory of the smallest machine that entries run on, unread bytes included."""
MAX_DESCRIPTORS = 712
RESERVED_DESCRIPTORS = 200
"""Descriptors of a machine that sockets cannot have."""
SAMPLE_INTERVAL_S = 0.05
CROWD_TIMEOUT_S = 120.0
CALL_TIMEOUT_S = 60.0
ATTEMPT_TIMEOUT_S = 5.0
CALL_INTERVAL_S = 0.2
LISTENING = "0A"
"""State of a listening socket in the kernel's table."""

OrdinaryCall = Callable[[], Awaitable[bool]]
"""Sends one request as an ordinary client does, and returns whether it was answered."""


class Peak(NamedTuple):
    """The highest figures of a process."""

    memory_bytes: int = 0
    descriptors: int = 0


class Listener(NamedTuple):
    """A listener of a process under test."""

    process: subprocess.Popen[bytes]
    address: str
    target: Target
    call: OrdinaryCall


def limit_descriptors(pid: int) -> None:
    """Give a process that has just been started the descriptors of a small machine."""
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS))


async def call_once(address: str, method: str, path: str, *headers: tuple[str, str]) -> bool:
    """Send a request on a new connection and return whether it is answered with 200."""
    url = f"http://{address}{path}"
    try:
        with trio.fail_after(ATTEMPT_TIMEOUT_S):
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request(method, url, headers=[("host", HOST), *headers])
    except (httpcore.NetworkError, httpcore.ProtocolError, trio.TooSlowError):
        return False
    return response.status == 200


async def check_survives(attack: str, listener: Listener) -> None:
    """Play a crowd, and check the process, its memory, its descriptors and an ordinary call."""
    process = listener.process
    meter = Meter(process.pid, listener.address)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(meter.run)
        async with crowd(attack, listener):
            assert process.poll() is None, f"the process ended with {process.returncode}"
            assert await is_answered(listener), "no answer beside the crowd"
        assert await is_answered(listener), "no answer after the crowd"
        assert process.poll() is None, f"the process ended with {process.returncode}"
        nursery.cancel_scope.cancel()
    assert meter.peak.memory_bytes <= MAX_MEMORY_BYTES, meter.peak
    assert meter.peak.descriptors <= MAX_DESCRIPTORS - RESERVED_DESCRIPTORS, meter.peak


@asynccontextmanager
async def crowd(attack: str, listener: Listener) -> AsyncIterator[None]:
    """Play a crowd until each client has had its connections; the last ones then stay open."""
    target = listener.target
    command = [sys.executable, "-m", "tests.hostile.crowd", attack, listener.address]
    command += ["--clients", str(CLIENTS), "--connections", str(CONNECTIONS)]
    command += ["--read-path", target.read_path, "--write-path", target.write_path]
    for header in target.headers:
        command += ["--header", header]
    process = await trio.lowlevel.open_process(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    try:
        with trio.fail_after(CROWD_TIMEOUT_S):
            output = await process.stdout.receive_some()
            assert output.startswith(b"done"), f"the crowd ended: {output!r}, {process.poll()}"
        yield
    finally:
        with trio.CancelScope(shield=True):
            await process.stdin.aclose()
            process.kill()
            await process.wait()
            await process.stdout.aclose()


class Meter:
    """Measures a process until cancelled or until the process has ended.

    Args:
        pid: The process.
        address: Its listener; bytes received there and not yet read count as its memory.
    """

    def __init__(self, pid: int, address: str) -> None:
        self._process = psutil.Process(pid)
        host, _, port = address.rpartition(":")
        octets = bytes(int(part) for part in host.split("."))
        self._local_address = f"{octets[::-1].hex().upper()}:{int(port):04X}"
        self.peak = Peak()

    async def run(self) -> None:
        """Keep ``peak`` up to date."""
        with suppress(psutil.NoSuchProcess, psutil.ZombieProcess):
            while True:
                memory_bytes = self._process.memory_info().rss + self._unread_bytes()
                descriptors = self._process.num_fds()
                self.peak = Peak(
                    max(self.peak.memory_bytes, memory_bytes),
                    max(self.peak.descriptors, descriptors),
                )
                await trio.sleep(SAMPLE_INTERVAL_S)

    def _unread_bytes(self) -> int:
        rows = Path(f"/proc/{self._process.pid}/net/tcp").read_text().splitlines()[1:]
        fields = (row.split() for row in rows)
        return sum(
            int(queues.partition(":")[2], 16)
            for _, local, _, state, queues, *_ in fields
            if local == self._local_address and state != LISTENING
        )


async def is_answered(listener: Listener) -> bool:
    """Return whether an ordinary client is answered that tries again when it is refused."""
    with trio.move_on_after(CALL_TIMEOUT_S):
        while listener.process.poll() is None:
            if await listener.call():
                return True
            await trio.sleep(CALL_INTERVAL_S)
    return False
