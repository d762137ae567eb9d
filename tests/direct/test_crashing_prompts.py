"""Prompts with a part that ends each engine which begins to write an answer on it."""

from collections.abc import Mapping
from pathlib import Path

import trio

from chivehold.fakes.metadata_store import MetadataStore
from chivehold.fakes.platform_upstream import ModelEngine
from chivehold.http_client import LinkError
from tests.direct.crashing import CONTACT_S, CrashingService
from tests.direct.harness import EntryHarness, running_entries

ENTRIES = 4
ENGINES = 3
ALLOWED_AFTER_FIFTH = 3
"""Requests with the part that may reach engines later than ``CONTACT_S`` after the fifth end."""
FIFTH = 5
SHARED_PART = "f1a57"
BAD_PART = "badbad"
CRASHING_INTERVAL_S = 0.3
SOUND_INTERVAL_S = 0.1
DURATION_S = 11.0
LAST_S = 2.0
"""The sound requests of this time before the end are judged."""


def ends_engine(headers: Mapping[str, str], body: bytes) -> bool:
    return f"{BAD_PART}:" in headers.get("x-chivehold-prompt-prefix", "")


class Callers:
    """Callers of sound prompts, and of prompts with the bad part, at all entries in turn."""

    def __init__(self, harnesses: list[EntryHarness]) -> None:
        self._harnesses = harnesses
        self.answered: dict[float, bool] = {}
        """Whether each sound request was answered, by when it was sent."""

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_series, nursery, "bad", CRASHING_INTERVAL_S)
            await self._send_series(nursery, "sound", SOUND_INTERVAL_S)

    async def _send_series(self, nursery: trio.Nursery, kind: str, interval_s: float) -> None:
        for number in range(int(DURATION_S / interval_s)):
            harness = self._harnesses[number % len(self._harnesses)]
            nursery.start_soon(self._send, harness, kind, number)
            await trio.sleep(interval_s)

    async def _send(self, harness: EntryHarness, kind: str, number: int) -> None:
        middle = f"{BAD_PART}:50," if kind == "bad" else ""
        prompt = {"x-chivehold-prompt-prefix": f"{SHARED_PART}:40,{middle}{kind}{number}:10"}
        sent_at = trio.current_time()
        try:
            async with harness.stream(f"/tell/{kind}{number}", f"{kind}{number}", prompt) as stream:
                is_answered = stream.status == 200
                async for _ in stream.chunks:
                    pass
        except LinkError:
            is_answered = False
        if kind == "sound":
            self.answered[sent_at] = is_answered


class TestCrashingPart:
    # Guards against prompts that crash engine after engine, each sent as if nothing had happened.
    async def test_all_entries_stop_sending_it(self, tmp_path: Path) -> None:
        """Few prompts with the part reach engines after the fifth end; sound ones go on."""
        async with (
            running_entries(tmp_path, MetadataStore(), ENTRIES) as harnesses,
            trio.open_nursery() as nursery,
        ):
            engines = CrashingService(
                harnesses[0], "model", lambda name: ModelEngine(name, "decode"), ends_engine
            )
            await engines.run(ENGINES, nursery)
            await trio.sleep(1.0)
            callers = Callers(harnesses)
            await callers.run()
            nursery.cancel_scope.cancel()
            assert engines.crashing_later_than(FIFTH, CONTACT_S) <= ALLOWED_AFTER_FIFTH
            last = [
                is_answered
                for sent_at, is_answered in callers.answered.items()
                if sent_at > max(callers.answered) - LAST_S
            ]
            assert sum(last) >= len(last) / 2
