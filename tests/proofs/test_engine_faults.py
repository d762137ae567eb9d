"""Engines that crash and KV cache transfers that stall."""

from collections import Counter

import trio

from chivehold.core.identity import Outcome
from chivehold.history.events import Call, CallEnd
from tests.proofs.fleet import Fleet, checked_run
from tests.proofs.mix import run_call_mix, run_streams

ENTRY_SETTINGS = {"policy.retry_budget_floor": 100}


class TestEngineDies:
    async def test_mid_stream_twice(self, fleet: Fleet) -> None:
        """Streams of an engine that crashes twice are resumed on another one and complete."""
        async with checked_run(fleet) as run, trio.open_nursery() as nursery:
            calls: list[Call] = []

            async def stream() -> None:
                calls.extend(await run_streams(fleet, run, 8, "Dies"))

            nursery.start_soon(stream)
            for _ in range(2):
                await trio.sleep(0.7)
                await fleet.fault("lector-d2", die=True)
                await trio.sleep(0.2)
                await fleet.fault("lector-d2", revive=True)
        ends = Counter(call.end for call in calls)
        assert ends[CallEnd.WHOLE] == 8, ends

    async def test_prefill_engine(self, fleet: Fleet) -> None:
        """The only prefill engine crashes; callers get errors and no engine memory stays held."""
        async with checked_run(fleet) as run, trio.open_nursery() as nursery:
            nursery.start_soon(run_call_mix, fleet, run.callers, 5, 2.0)
            await trio.sleep(0.5)
            await fleet.fault("lector-p1", die=True)
            await trio.sleep(0.5)
            await fleet.fault("lector-p1", revive=True)


class TestTransfersStalled:
    async def test_released(self, fleet: Fleet) -> None:
        """Stalled transfers release their places, and every caller gets an answer or an error."""
        async with checked_run(fleet) as run:
            for engine in ("lector-d1", "lector-d2"):
                await fleet.fault(engine, stall_transfers=0.4)
            calls = await run_streams(fleet, run, 16, "Stalls")
            for engine in ("lector-d1", "lector-d2"):
                await fleet.fault(engine, stall_transfers=0.0)
        ends = Counter((call.end, call.outcome) for call in calls)
        assert ends[CallEnd.WHOLE, None] > 0, ends
        assert {end for end, _ in ends} <= {CallEnd.WHOLE, CallEnd.ERROR}, ends
        assert all(outcome is not Outcome.ANSWERED for _, outcome in ends)
