"""Steps at which a prefill, or the memory reserved for it, is lost."""

from collections.abc import Mapping
from pathlib import Path

import pytest
import trio

from chivehold.asgi import Send, respond
from chivehold.fakes.platform_upstream import NOT_RUN_HEADER, REQUEST_ID_HEADER, ModelEngine
from tests.direct import harness as harness_module
from tests.direct.harness import ROUTES, EntryHarness, running_entry, wait_until

PRIORITIES = [*ROUTES[:-1], ROUTES[-1] | {"priority": 2}]


class StrictEngine(ModelEngine):
    """An engine that refuses requests whose reservation has lapsed, and may take them up late."""

    takes_up_after_s = 0.0
    refused = 0

    async def _run(self, headers: Mapping[str, str], body: bytes, send: Send) -> None:
        if self.stage == "decode":
            await trio.sleep(self.takes_up_after_s)
            self.expire()
            if headers["x-chivehold-hold"] not in self.held:
                self.refused += 1
                request = (REQUEST_ID_HEADER, headers[REQUEST_ID_HEADER])
                await respond(send, 503, headers=[NOT_RUN_HEADER, request])
                return
        await super()._run(headers, body, send)


async def start(harness: EntryHarness) -> tuple[StrictEngine, StrictEngine]:
    """Start a prefill and a decode engine under routes of two priorities."""
    prefill, decode = StrictEngine("p", "prefill"), StrictEngine("d", "decode")
    for engine in (prefill, decode):
        await harness.add_upstream(engine, "model")
    harness.configure(2, PRIORITIES)
    dump = harness.entry.dump
    await wait_until(lambda: len(dump()["upstreams"]) == 2 and dump()["configuration"] == 2)
    return prefill, decode


async def test_lease_lapses_during_prefill(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Long prompts among short ones: a prefill longer than the lease loses prefill and memory."""
    monkeypatch.setitem(harness_module.ENGINE_CONFIG, "holdMs", 400)
    async with running_entry(tmp_path) as harness:
        prefill, decode = await start(harness)
        prefill.work_s = 0.45
        assert await harness.events("/tell/a") == [1, 2, 3, 4, 5]
        assert (decode.refused, decode.runs) == (0, ["r1"])
        lost = b'chivehold_lost_prefills_total{service="model",step="lease"} 1'
        assert lost in await harness.metrics()


async def test_caller_leaves_before_decode_is_taken_up(tmp_path: Path) -> None:
    """All classes at twice the capacity: memory and cache of a caller that left are freed at once.

    The engine would keep the memory until the end of its lease.
    """
    async with running_entry(tmp_path) as harness:
        prefill, decode = await start(harness)
        decode.takes_up_after_s = 5.0
        with trio.move_on_after(0.3):
            await harness.events("/tell/a")
        await wait_until(lambda: not (decode.held or prefill.handles), 0.5)
        lost = b'chivehold_lost_prefills_total{service="model",step="caller_left"} 1'
        assert lost in await harness.metrics()
