"""Upstreams that leave while the platform's list of VMs is out of date."""

import json
import time
from collections import Counter

import trio

from chivehold.history.events import Call, CallEnd
from chivehold.history.upstreams import LEAVE_WITHIN_S
from tests.entry.deployed import post
from tests.proofs.fleet import Fleet, checked_run
from tests.proofs.mix import run_call_mix

VM_LIST_LAG_S = 30.0


class TestLeaving:
    async def test_vm_list_lags(self, fleet: Fleet) -> None:
        """An engine and a VM that leave get no new work, though the platform lists them as live."""
        await fleet.platform_fault(vm_lag_s=VM_LIST_LAG_S)
        vms = {"live": list(fleet.sidecars), "leaving": []}
        await post(fleet.platform, "/vms", json.dumps(vms).encode())
        leaving = ("lector-d2", "forja-2")
        async with checked_run(fleet) as run, trio.open_nursery() as nursery:
            calls: list[Call] = []

            async def collect_calls() -> None:
                calls.extend(await run_call_mix(fleet, run.callers, 2, LEAVE_WITHIN_S + 1.5))

            nursery.start_soon(collect_calls)
            await trio.sleep(0.5)
            for name in leaving:
                run.recorder.add_leaving_start(name, time.time())
                await fleet.fault(name, leaving=True)
        for name in leaving:
            await fleet.fault(name, leaving=False)
        await fleet.platform_fault()
        ends = Counter(call.end for call in calls)
        assert ends[CallEnd.WHOLE] > 20, ends
        assert ends[CallEnd.BROKEN] == 0, ends
