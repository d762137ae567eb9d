"""Graceful shutdowns under load."""

import os
import time

import trio

from chivehold.core.identity import Outcome
from chivehold.history.events import CallEnd
from tests.proofs.callers import Callers, EntryEndpoint
from tests.proofs.fleet import Fleet, Run, checked_run
from tests.proofs.mix import run_call_mix

ENGINE_OPTIONS = ("--interval-base-s", "0.02")
STREAM_S = float(os.environ.get("CHIVEHOLD_STREAM_S", "10"))
TOKENS_PER_S = 42
STREAM_TOKENS = int(TOKENS_PER_S * STREAM_S)
TIMEOUT_S = 2 * STREAM_S


async def _start_long_streams(
    run: Run, endpoints: list[EntryEndpoint], name: str, nursery: trio.Nursery
) -> None:
    """Start ten streams of about ``STREAM_S`` and wait until each has its first token."""
    for number in range(10):
        first_token = trio.Event()
        endpoint = endpoints[number % len(endpoints)]
        nursery.start_soon(_stream, run.callers, endpoint, f"{name} {number}", first_token)
        await first_token.wait()


async def _stream(
    callers: Callers, endpoint: EntryEndpoint, prompt: str, first_token: trio.Event
) -> None:
    headers = [("Chivehold-Class", "review")]
    await callers.complete(
        endpoint,
        prompt,
        STREAM_TOKENS,
        headers=headers,
        disconnect_after_s=TIMEOUT_S,
        first_token=first_token,
    )


class TestShutdown:
    async def test_entry_and_sidecar_together(self, fleet: Fleet) -> None:
        """Streams of ``STREAM_S`` complete although their entry and a decode sidecar get SIGTERM.

        The entry refuses new callers, new decodes go to the other sidecar, and both processes end
        by themselves.
        """
        entry, other = list(fleet.entries.values())[:2]
        sidecar = fleet.sidecars["lector-d1"]
        async with checked_run(fleet) as run, trio.open_nursery() as nursery:
            await _start_long_streams(run, [entry.endpoint, other.endpoint], "Long", nursery)
            nursery.start_soon(run_call_mix, fleet, run.callers, 1, 2.0)
            await trio.sleep(0.5)
            nursery.start_soon(fleet.terminate, entry, run.recorder, TIMEOUT_S)
            nursery.start_soon(fleet.terminate, sidecar, run.recorder, TIMEOUT_S)
            await trio.sleep(0.3)
            refused = await run.callers.complete(entry.endpoint, "Too late.", 5)
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
        for running_entry in fleet.entries.values():
            await fleet.wait_ready(running_entry)
