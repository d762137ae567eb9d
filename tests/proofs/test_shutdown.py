"""Graceful shutdowns under load."""

import os
import time

import trio

from chivehold.core.identity import Outcome
from chivehold.history.events import CallEnd
from tests.proofs.callers import Callers, Door
from tests.proofs.fleet import Fleet, Run, observed
from tests.proofs.mix import mix

ENGINE_OPTIONS = ("--interval-base-s", "0.02")
STREAM_S = float(os.environ.get("CHIVEHOLD_STREAM_S", "10"))
TOKENS_PER_S = 42
STREAM_TOKENS = int(TOKENS_PER_S * STREAM_S)
END_S = 2 * STREAM_S


async def _long_streams(run: Run, doors: list[Door], name: str, nursery: trio.Nursery) -> None:
    """Start ten streams of about ``STREAM_S``, and return once all have their first token."""
    for number in range(10):
        begun = trio.Event()
        door = doors[number % len(doors)]
        nursery.start_soon(_stream, run.callers, door, f"{name} {number}", begun)
        await begun.wait()


async def _stream(callers: Callers, door: Door, prompt: str, begun: trio.Event) -> None:
    headers = [("Chivehold-Class", "review")]
    await callers.complete(
        door, prompt, STREAM_TOKENS, headers=headers, leave_after_s=END_S, begun=begun
    )


class TestShutdown:
    async def test_entry_and_sidecar_together(self, fleet: Fleet) -> None:
        """Streams of ``STREAM_S`` survive the SIGTERM of their entry and of a decode sidecar.

        The entry tells new callers to go, the sidecar's new work goes to the other one, and both
        processes end by themselves.
        """
        entry, other = list(fleet.entries.values())[:2]
        sidecar = fleet.sidecars["lector-d1"]
        async with observed(fleet) as run, trio.open_nursery() as nursery:
            await _long_streams(run, [entry.door, other.door], "Long", nursery)
            nursery.start_soon(mix, fleet, run.callers, 1, 2.0)
            await trio.sleep(0.5)
            nursery.start_soon(fleet.terminate, entry, run.recorder, END_S)
            nursery.start_soon(fleet.terminate, sidecar, run.recorder, END_S)
            await trio.sleep(0.3)
            refused = await run.callers.complete(entry.door, "Too late.", 5)
            run.recorder.add_leaving_start(sidecar.name, time.time())
        assert (refused.end, refused.outcome) in (
            (CallEnd.ERROR, Outcome.NOT_RUN),
            (CallEnd.NOT_SENT, None),
        )
        longest_s = max(call.completed_at_s - call.invoked_at_s for call in run.history.calls)
        assert longest_s > 0.7 * STREAM_S, longest_s
        del fleet.entries[entry.name]
        await fleet.restart_sidecar("lector-d1")
        await fleet.start_entry()
        for one in fleet.entries.values():
            await fleet.wait_ready(one)
