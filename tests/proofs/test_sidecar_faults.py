"""Sidecars that are killed, restarted or stopped."""

import signal
import time
from collections import Counter

import pytest
import trio

from chivehold.history.events import Call, CallEnd
from tests.proofs.fleet import Fleet, Run, checked_run
from tests.proofs.mix import run_call_mix, run_streams

LONG_TOKENS = 20_000


class TestSidecarKilled:
    @pytest.mark.parametrize("seed", [3])
    async def test_call_mix(self, fleet: Fleet, seed: int) -> None:
        """Sidecars are killed during a mix of calls; restarted, they free the held places."""
        async with checked_run(fleet) as run, trio.open_nursery() as nursery:
            calls: list[Call] = []

            async def collect_calls() -> None:
                calls.extend(await run_call_mix(fleet, run.callers, seed, 2.0))

            nursery.start_soon(collect_calls)
            await trio.sleep(1.0)
            await _kill_and_restart(fleet, run, "lector-d1", 0.5)
            await _kill_and_restart(fleet, run, "forja-1", 0.2)
        ends = Counter(call.end for call in calls)
        assert ends[CallEnd.WHOLE] > 10, ends

    async def test_callers_disconnect_meanwhile(self, fleet: Fleet) -> None:
        """Callers disconnect while the sidecar is down; once restarted, it frees their places."""
        async with checked_run(fleet) as run:
            for name in ("lector-d1", "lector-d2"):
                async with trio.open_nursery() as nursery:
                    first_token = trio.Event()
                    for number in range(6):
                        nursery.start_soon(_stream, fleet, run, f"{name} {number}", first_token)
                    await first_token.wait()
                    await trio.sleep(0.3)
                    await _kill_and_restart(fleet, run, name, 0.3)
                    nursery.cancel_scope.cancel()
        event_counts = Counter(event.kind for event in run.history.upstream_events)
        assert event_counts["cancelled"] > 0, event_counts


async def _stream(fleet: Fleet, run: Run, name: str, first_token: trio.Event) -> None:
    endpoint = fleet.endpoints[0]
    await run.callers.complete(
        endpoint, f"Long {name}.", LONG_TOKENS, first_token=first_token, disconnect_after_s=0.8
    )


async def _kill_and_restart(fleet: Fleet, run: Run, name: str, down_s: float) -> None:
    fleet.sidecars[name].running.kill()
    down_from_s = time.time()
    await trio.sleep(down_s)
    await fleet.restart_sidecar(name)
    run.recorder.add_sidecar_outage(name, down_from_s, time.time())


class TestSidecarFrozen:
    async def test_resumes_after_its_attempts_moved(self, fleet: Fleet) -> None:
        """Streams of a stopped sidecar continue elsewhere; once resumed, it duplicates nothing."""
        async with checked_run(fleet) as run, trio.open_nursery() as nursery:
            calls: list[Call] = []

            async def stream() -> None:
                calls.extend(await run_streams(fleet, run, 6, "Frozen"))

            nursery.start_soon(stream)
            await trio.sleep(0.6)
            sidecar = fleet.sidecars["lector-d1"].running
            down_from_s = time.time()
            sidecar.signal(signal.SIGSTOP)
            await trio.sleep(3.0)
            sidecar.signal(signal.SIGCONT)
            run.recorder.add_sidecar_outage("lector-d1", down_from_s, time.time())
        assert {call.end for call in calls} <= {CallEnd.WHOLE, CallEnd.BROKEN}, calls
        assert sum(call.end is CallEnd.WHOLE for call in calls) >= 3
