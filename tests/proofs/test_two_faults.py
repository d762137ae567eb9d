"""Pairs of faults that affect the same mechanism, and one fault twice."""

import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable

import pytest
import trio

from chivehold.history.events import CallEnd
from tests.proofs.fleet import Fleet, Run, checked_run
from tests.proofs.mix import run_call_mix

FREEZE_S = 1.9
MIX_S = 1.5

Fault = Callable[[Fleet, Run], Awaitable[None]]


async def _kill_entry(fleet: Fleet, run: Run) -> None:
    fleet.kill_entry(next(iter(fleet.entries)))
    await fleet.wait_ready(await fleet.start_entry())


async def _freeze_entry(fleet: Fleet, run: Run) -> None:
    entry = next(iter(fleet.entries.values())).running
    entry.signal(signal.SIGSTOP)
    await trio.sleep(FREEZE_S)
    entry.signal(signal.SIGCONT)


async def _kill_sidecar(fleet: Fleet, run: Run) -> None:
    for name in ("lector-d1", "forja-1"):
        down_from_s = time.time()
        await fleet.kill_and_restart_sidecar(name)
        run.recorder.add_sidecar_outage(name, down_from_s, time.time())


async def _freeze_sidecar(fleet: Fleet, run: Run) -> None:
    down_from_s = time.time()
    fleet.sidecars["lector-d1"].running.signal(signal.SIGSTOP)
    await trio.sleep(FREEZE_S)
    fleet.sidecars["lector-d1"].running.signal(signal.SIGCONT)
    run.recorder.add_sidecar_outage("lector-d1", down_from_s, time.time())


async def _kill_engine(fleet: Fleet, run: Run) -> None:
    await fleet.fault("lector-d2", die=True)
    await trio.sleep(0.1)
    await fleet.fault("lector-d2", revive=True)


async def _lose_platform(fleet: Fleet, run: Run) -> None:
    await fleet.platform_fault(delay_s=0.1, lose_answers=0.5, seed=7)
    await trio.sleep(0.7)
    await fleet.platform_fault(outage=True)
    await trio.sleep(0.4)
    await fleet.platform_fault()


PAIRS = [
    (_kill_entry, _kill_sidecar),
    (_kill_entry, _lose_platform),
    (_freeze_entry, _freeze_sidecar),
    (_freeze_entry, _lose_platform),
    (_kill_sidecar, _kill_engine),
    (_kill_sidecar, _kill_sidecar),
]


class TestPairs:
    @pytest.mark.parametrize(
        "pair", PAIRS, ids=lambda pair: "+".join(fault.__name__ for fault in pair)
    )
    async def test_together(self, fleet: Fleet, pair: tuple[Fault, Fault]) -> None:
        """Inject two faults 0.1 s apart into a mix of calls, or the same fault twice in a row."""
        first, second = pair
        seed = PAIRS.index(pair) + 10
        async with checked_run(fleet) as run, trio.open_nursery() as nursery:
            nursery.start_soon(run_call_mix, fleet, run.callers, seed, MIX_S)
            await trio.sleep(0.5)
            if first is second:
                await first(fleet, run)
            else:
                nursery.start_soon(first, fleet, run)
            await trio.sleep(0.1)
            await second(fleet, run)
        ends = Counter(call.end for call in run.history.calls)
        assert ends[CallEnd.WHOLE] >= 4, ends
