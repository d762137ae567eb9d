"""Calls that may run at most once, while entries, service VMs and the platform fail."""

import signal
from collections import Counter

import pytest
import trio

from chivehold.core.identity import Outcome
from chivehold.history.events import Call
from tests.proofs.callers import EntryEndpoint, now_ms
from tests.proofs.fleet import Fleet, Run, checked_run

FREEZE_S = 3.0
CUTS = 4
"""Connections that two VMs cut in all."""
MAX_RESERVATIONS = 60


async def _reserve_twice(
    run: Run, endpoints: list[EntryEndpoint], key: str, second_after_s: float
) -> list[Call]:
    """Send a reservation, and the same key through another entry ``second_after_s`` later."""
    calls: list[Call] = []
    headers = [("Chivehold-First-Sent", now_ms())]

    async def reserve(endpoint: EntryEndpoint, after_s: float) -> None:
        await trio.sleep(after_s)
        calls.append(await run.callers.reserve(endpoint, key, key=key, headers=headers))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(reserve, endpoints[0], 0.0)
        nursery.start_soon(reserve, endpoints[1], second_after_s)
    return calls


class TestEntryKilled:
    @pytest.mark.parametrize("after_ms", [1, 5, 10, 20, 40])
    async def test_during_a_reservation(self, fleet: Fleet, after_ms: int) -> None:
        """An entry is killed during reservations; retried elsewhere, each runs at most once."""
        victim = next(iter(fleet.entries.values()))
        other = await fleet.start_entry()
        await fleet.wait_ready(other)
        async with checked_run(fleet) as run, trio.open_nursery() as nursery:
            for number in range(6):
                key = f"killed-{after_ms}-{number}"
                endpoints = [victim.endpoint, other.endpoint]
                nursery.start_soon(_reserve_twice, run, endpoints, key, 0.1 + number / 20)
            await trio.sleep(after_ms / 1000)
            fleet.kill_entry(victim.name)
        retried = [call for call in run.history.calls if call.entry == other.name]
        assert {call.outcome for call in retried} <= set(Outcome)


class TestEntryFrozen:
    async def test_resumes_while_its_claim_is_written(self, fleet: Fleet) -> None:
        """Once resumed, a stopped entry must not run again calls whose claims it was writing."""
        frozen, other = list(fleet.entries.values())[:2]
        async with checked_run(fleet) as run, trio.open_nursery() as nursery:
            await fleet.platform_fault(delay_s=0.4)
            for number in range(4):
                endpoints = [frozen.endpoint, other.endpoint]
                nursery.start_soon(_reserve_twice, run, endpoints, f"frozen-{number}", 1.0)
            await trio.sleep(0.3)
            frozen.running.signal(signal.SIGSTOP)
            await trio.sleep(FREEZE_S)
            frozen.running.signal(signal.SIGCONT)
        await fleet.platform_fault()
        assert all(call.end is not None for call in run.history.calls)


class TestPlatform:
    @pytest.mark.parametrize(
        "faults",
        [
            {"lose_answers": 0.5},
            {"lose_answer_next": 8},
            {"delay_s": 0.3},
            {"delay_s": 0.2, "lose_answers": 0.3},
            {"outage": True},
        ],
        ids=str,
    )
    async def test_faults(self, fleet: Fleet, faults: dict[str, object]) -> None:
        """While the platform is slow, loses answers or is down, a reservation runs at most once."""
        name = "-".join(faults)
        async with checked_run(fleet) as run:
            await fleet.platform_fault(**faults, seed=3)
            async with trio.open_nursery() as nursery:
                for number in range(8):
                    key = f"{name}-{number}"
                    nursery.start_soon(_reserve_twice, run, fleet.endpoints, key, number % 3 / 20)
            await fleet.platform_fault()
        outcomes = Counter(call.outcome for call in run.history.calls)
        if "outage" in faults:
            assert set(outcomes) == {Outcome.NOT_RUN}
        else:
            assert Outcome.REJECTED not in outcomes


class TestServiceFaults:
    @pytest.mark.parametrize("fault", ["drop_before", "drop_after"])
    async def test_connections_cut(self, fleet: Fleet, fault: str) -> None:
        """VMs cut connections before or after they run a reservation; it must not run again.

        Which VM gets how many of the reservations is open, so they go on until both have cut two.
        """
        cut_before = await fleet.dropped_calls()
        sent = 0
        async with checked_run(fleet) as run:
            for name in ("forja-1", "forja-2"):
                await fleet.fault(name, **{fault: 2})
            while await fleet.dropped_calls() < cut_before + CUTS and sent < MAX_RESERVATIONS:
                await _reserve_twice(run, fleet.endpoints, f"{fault}-{sent}", 0.05)
                sent += 1
            for number in range(sent, sent + 2):
                await _reserve_twice(run, fleet.endpoints, f"{fault}-{number}", 0.05)
        assert await fleet.dropped_calls() == cut_before + CUTS
        outcomes = Counter(call.outcome for call in run.history.calls)
        assert outcomes[Outcome.UNKNOWN] >= CUTS, outcomes
        assert outcomes[Outcome.ANSWERED] == sent + 2 - CUTS, (sent, outcomes)

    async def test_sidecars_killed(self, fleet: Fleet) -> None:
        """Sidecars are killed while reservations run; their callers get the outcome ``unknown``."""
        async with checked_run(fleet) as run, trio.open_nursery() as nursery:
            for name in ("forja-1", "forja-2"):
                await fleet.fault(name, speed=0.02)
            for number in range(4):
                nursery.start_soon(
                    _reserve_twice, run, fleet.endpoints, f"died-{number}", 0.1 + number / 10
                )
            await trio.sleep(0.4)
            for name in ("forja-1", "forja-2"):
                fleet.sidecars[name].running.kill()
            for name in ("forja-1", "forja-2"):
                await fleet.restart_sidecar(name)
        for name in ("forja-1", "forja-2"):
            await fleet.fault(name, speed=1.0)
        outcomes = Counter(call.outcome for call in run.history.calls)
        assert outcomes[Outcome.UNKNOWN] > 0, outcomes
