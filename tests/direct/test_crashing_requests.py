"""Requests that end each upstream which begins to run them, and come again and again."""

from collections.abc import Mapping
from pathlib import Path

import pytest
import trio

from chivehold.core.direct.crash_keys import request_key
from chivehold.fakes.metadata_store import MetadataStore
from chivehold.fakes.platform_upstream import PlainUpstream
from chivehold.http_client import LinkError
from tests.direct.crashing import CONTACT_S, CrashingService
from tests.direct.harness import (
    HOST,
    EntryHarness,
    route,
    running_entries,
    running_entry,
    wait_until,
)

ENTRIES = 4
UPSTREAMS = 3
THIRD = 3
ALLOWED_AFTER_THIRD = 3
"""Times that the request may reach upstreams later than ``CONTACT_S`` after the third end."""
MOST_ENDS_BY_ONE_ATTEMPT = 2
"""Upstreams that one client attempt may end, so that it does not take a small service down."""
CRASHING_BODY = b"crashes"
CRASHING_INTERVAL_S = 0.8
SOUND_INTERVAL_S = 0.1
DURATION_S = 9.0
RETRYABLE_ANYWHERE = route("/get/", "idempotent", "plain", maxAttempts=UPSTREAMS)
LAST_S = 2.0
"""The sound requests of this time before the end are judged."""


def ends_upstream(headers: Mapping[str, str], body: bytes) -> bool:
    return body == CRASHING_BODY


class Callers:
    """One caller who repeats a request at all entries in turn, and callers of sound requests."""

    def __init__(self, harnesses: list[EntryHarness], path: str) -> None:
        self._harnesses = harnesses
        self._path = path
        self.answered: dict[float, bool] = {}
        """Whether each sound request was answered, by when it was sent."""
        self.last_status = 0
        """Status of the answer to the last repeat."""

    async def run(self, duration_s: float) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._repeat, duration_s)
            for number in range(int(duration_s / SOUND_INTERVAL_S)):
                nursery.start_soon(self._send_sound, number)
                await trio.sleep(SOUND_INTERVAL_S)

    async def _repeat(self, duration_s: float) -> None:
        for number in range(int(duration_s / CRASHING_INTERVAL_S)):
            harness = self._harnesses[number % len(self._harnesses)]
            self.last_status = await send(harness, self._path, f"bad{number}", CRASHING_BODY)
            await trio.sleep(CRASHING_INTERVAL_S)

    async def _send_sound(self, number: int) -> None:
        harness = self._harnesses[number % len(self._harnesses)]
        sent_at = trio.current_time()
        status = await send(harness, self._path, f"sound{number}", f"sound {number}".encode())
        self.answered[sent_at] = status == 200


async def send(harness: EntryHarness, path: str, request: str, body: bytes) -> int:
    """Send a request and return the status of its answer, 0 if there is none."""
    try:
        return (await harness.call(path, request, "POST", body)).status
    except LinkError:
        return 0


class TestCrashingRequest:
    # Guards against a request that ends upstream after upstream, each time that it is repeated.
    @pytest.mark.parametrize("path", ["/get/x", "/post/x"])
    async def test_all_entries_stop_sending_it(self, tmp_path: Path, path: str) -> None:
        """Few repeats reach upstreams after the third end; sound requests go on."""
        async with (
            running_entries(tmp_path, MetadataStore(), ENTRIES) as harnesses,
            trio.open_nursery() as nursery,
        ):
            upstreams = CrashingService(harnesses[0], "plain", PlainUpstream, ends_upstream)
            await upstreams.run(UPSTREAMS, nursery)
            await trio.sleep(1.0)
            callers = Callers(harnesses, path)
            await callers.run(DURATION_S)
            nursery.cancel_scope.cancel()
            assert upstreams.crashing_later_than(THIRD, CONTACT_S) <= ALLOWED_AFTER_THIRD
            assert callers.last_status == 503
            last = [
                is_answered
                for sent_at, is_answered in callers.answered.items()
                if sent_at > max(callers.answered) - LAST_S
            ]
            assert sum(last) == len(last)

    # Guards against one client attempt that takes a small service down by hedges and retries.
    async def test_one_attempt_ends_few_upstreams(self, tmp_path: Path) -> None:
        """A request that has ended its upstream is tried at one more, however many there are."""
        async with running_entry(tmp_path) as harness, trio.open_nursery() as nursery:
            harness.configure(2, [RETRYABLE_ANYWHERE])
            upstreams = CrashingService(harness, "plain", PlainUpstream, ends_upstream)
            await upstreams.run(UPSTREAMS, nursery)
            await trio.sleep(0.5)
            assert await send(harness, "/get/x", "bad", CRASHING_BODY) == 502
            await trio.sleep(0.2)
            assert len(upstreams.crashes) <= MOST_ENDS_BY_ONE_ATTEMPT
            nursery.cancel_scope.cancel()

    # Guards against a request that is forgotten as harmless since an upstream failed it in time.
    @pytest.mark.parametrize(("status", "is_suspect"), [(500, True), (200, False)])
    async def test_only_a_success_clears_it(
        self, tmp_path: Path, status: int, is_suspect: bool
    ) -> None:
        """An error may come before the request has run."""
        async with running_entry(tmp_path) as harness, trio.open_nursery() as nursery:
            harness.configure(2, [route("/get/", "idempotent", "plain", maxAttempts=1)])
            upstreams = CrashingService(harness, "plain", PlainUpstream, ends_upstream)
            await upstreams.run(1, nursery)
            await wait_until(lambda: harness.entry.dump()["upstreams"])
            assert await send(harness, "/get/x", "bad1", CRASHING_BODY) == 502
            await wait_until(lambda: len(upstreams.all) == 2)
            upstreams.all[1].is_crashed_by = lambda headers, body: False
            upstreams.all[1].status = status
            await trio.sleep(1.0)
            assert await send(harness, "/get/x", "bad2", CRASHING_BODY) == status
            key = request_key(HOST.encode(), b"/get/x", [], CRASHING_BODY)
            assert harness.entry.quarantines.is_suspect(key) is is_suspect
            nursery.cancel_scope.cancel()
