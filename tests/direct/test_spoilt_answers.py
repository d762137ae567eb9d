"""Answers of engines with wrong bytes."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import pytest
import trio

from chivehold.asgi import Send, respond_json
from chivehold.fakes.platform_upstream import REQUEST_ID_HEADER, ModelEngine
from tests.direct.harness import EntryHarness, running_entry, wait_until

SPOILT = "3f\u00e99"
"""An identifier with a character that is not ASCII."""


class SpoilingEngine(ModelEngine):
    """An engine whose identifiers of KV caches and reservations are spoilt on the way."""

    spoils_handles = False
    spoils_holds = False

    async def _prefill(self, request: str, body: bytes, send: Send) -> None:
        if not self.spoils_handles:
            await super()._prefill(request, body, send)
            return
        result = {"kvRef": SPOILT, "tokens": 100, "version": 1}
        await respond_json(send, 200, result, [(REQUEST_ID_HEADER, request)])

    async def _reserve(self, reservation: Mapping[str, Any], send: Send) -> None:
        if not self.spoils_holds:
            await super()._reserve(reservation, send)
            return
        await respond_json(send, 200, {"hold": SPOILT})

    def _can_fetch_kv(self, request: str, source: str) -> bool:
        return SPOILT not in source


async def start(harness: EntryHarness) -> dict[str, SpoilingEngine]:
    engines = [SpoilingEngine("p", "prefill"), SpoilingEngine("d", "decode")]
    for engine in engines:
        await harness.add_upstream(engine, "model")
    await wait_until(lambda: len(harness.entry.dump()["upstreams"]) == 2)
    return {engine.name: engine for engine in engines}


class TestSpoiltIdentifiers:
    # Guards against the end of the process after an answer with a spoilt handle.
    @pytest.mark.parametrize("path", ["/tell/a", "/resume/a"])
    async def test_handle(self, tmp_path: Path, path: str) -> None:
        """A stream whose prefill has a spoilt handle is served, and the entry goes on."""
        async with running_entry(tmp_path) as harness:
            (await start(harness))["p"].spoils_handles = True
            assert await harness.events(path) == [1, 2, 3, 4, 5]
            await trio.sleep(0.2)
            assert await harness.events(path, "r2") == [1, 2, 3, 4, 5]

    # Guards against the end of the process after an answer with a spoilt reservation.
    async def test_reservation(self, tmp_path: Path) -> None:
        """An engine whose reservation is spoilt counts as full, and the entry goes on."""
        async with running_entry(tmp_path) as harness:
            engines = await start(harness)
            engines["d"].spoils_holds = True
            assert (await harness.call("/tell/a", method="POST")).status == 503
            engines["d"].spoils_holds = False
            await trio.sleep(0.6)
            assert await harness.events("/tell/a", "r2") == [1, 2, 3, 4, 5]
