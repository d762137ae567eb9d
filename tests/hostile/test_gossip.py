"""Datagrams that no entry has sent, at the exchange of an entry without sidecars."""

import os
import socket
from pathlib import Path

import trio

from tests.direct.harness import ROUTES, EntryHarness, wait_until
from tests.direct.test_process import SETTINGS, Program
from tests.hostile.attacks import Target
from tests.hostile.trial import (
    MAX_DESCRIPTORS,
    MAX_MEMORY_BYTES,
    RESERVED_DESCRIPTORS,
    Listener,
    Meter,
    call_once,
    is_answered,
    limit_descriptors,
)
from tests.processes import own_address

DATAGRAMS = 20_000
SIZES = (0, 1, 100, 1_400, 60_000)


async def test_survives_datagrams(tmp_path: Path) -> None:
    """Guards against datagrams that end an entry or fill its memory."""
    settings = tmp_path / "entry.toml"
    host = own_address().partition(":")[0]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((host, 0))
        exchange = (host, probe.getsockname()[1])
    async with trio.open_nursery() as nursery:
        harness = EntryHarness(nursery)
        harness.configure(1, ROUTES)
        store = await harness.listen(harness.store)
        text = SETTINGS.format(store=store, shutdown_s=8.0)
        settings.write_text(text + f'exchange_address = "{exchange[0]}:{exchange[1]}"\n')
        program = Program(settings)
        limit_descriptors(program.process.pid)
        try:
            await wait_until(lambda: program.logged("entry started"), 15.0)
            (line,) = program.logged("entry started")
            meter = Meter(program.process.pid, line["operator"])
            nursery.start_soon(meter.run)
            await trio.to_thread.run_sync(_send_datagrams, exchange)

            async def call() -> bool:
                return await call_once(line["operator"], "GET", "/metrics")

            target = Target("/metrics", "/metrics")
            attacked = Listener(program.process, line["operator"], target, call)
            assert await is_answered(attacked), "no answer after the datagrams"
            assert program.process.poll() is None
            assert meter.peak.memory_bytes <= MAX_MEMORY_BYTES, meter.peak
            assert meter.peak.descriptors <= MAX_DESCRIPTORS - RESERVED_DESCRIPTORS, meter.peak
        finally:
            program.end()
        nursery.cancel_scope.cancel()
    await harness.aclose()


def _send_datagrams(address: tuple[str, int]) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for number in range(DATAGRAMS):
            sock.sendto(os.urandom(SIZES[number % len(SIZES)]), address)
