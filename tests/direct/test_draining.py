"""Requests that wait, or have no response yet, when a planned shutdown begins."""

import signal
from collections.abc import Mapping
from pathlib import Path
from random import Random
from typing import Any

import pytest
import trio

from chivehold.direct.draining import drain_refusal
from chivehold.fakes.platform_upstream import ModelEngine
from chivehold.http_client import HttpResponse
from tests.direct.harness import EntryHarness, route, wait_until
from tests.direct.test_process import program

PATIENT = {"sessionAffinity": True, "targetLatencyMs": 30_000, "timeoutMs": 40_000}
"""Fields of a route whose requests wait for longer than a shutdown lasts."""
DEADLINE = {"x-chivehold-deadline-ms": "40000"}
TOKENS = {"x-chivehold-token-count": "100,200", "x-chivehold-length-hint": "100"}
ACCEPTS_S = 3.0
SHUTDOWN_S = 8.0
SLACK_S = 0.5


async def add_engines(harness: EntryHarness, priorities: int) -> dict[str, ModelEngine]:
    """Add a prefill and a decode engine, and routes of as many priorities."""
    engines = {"p": ModelEngine("p", "prefill"), "d": ModelEngine("d", "decode")}
    for engine in engines.values():
        await harness.add_upstream(engine, "model")
    routes = [
        route(f"/patient-{number}/", "stream", "model", priority=number, **PATIENT)
        for number in range(priorities)
    ]
    harness.configure(2, [*routes, route("/slow/", "non_idempotent", "plain", timeoutMs=40_000)])

    async def is_known() -> bool:
        dump = await harness.dump()
        return len(dump["upstreams"]) == 3 and dump["configuration"] == 2

    with trio.fail_after(5.0):
        while not await is_known():
            await trio.sleep(0.05)
    return engines


class TestWaitingRequests:
    # Guards against the end of a connection without an answer while its request waits for memory.
    @pytest.mark.parametrize("priorities", [1, 2])
    async def test_waits_for_memory(self, tmp_path: Path, priorities: int) -> None:
        """A request that no engine has room for is refused while the entry still accepts others."""
        async with program(tmp_path, SHUTDOWN_S) as (started, harness, _, _):
            engines = await add_engines(harness, priorities)
            engines["d"].held["other"] = engines["d"].capacity
            answered: list[tuple[HttpResponse, float]] = []

            async def call(request: str) -> None:
                path = f"/patient-{priorities - 1}/a"
                headers = DEADLINE | TOKENS
                response = await harness.call(path, request, "POST", b"prompt", headers)
                answered.append((response, trio.current_time()))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call, "before")
                await trio.sleep(0.5)
                stopped_at = trio.current_time()
                started.process.send_signal(signal.SIGTERM)
                await wait_until(lambda: started.logged("drain started"))
                nursery.start_soon(call, "after")
            for response, at in answered:
                assert (response.status, b"draining" in response.body) == (503, True)
                assert float(response.header("retry-after") or "nan") <= 1.0
                assert at - stopped_at < ACCEPTS_S + SLACK_S
            await wait_until(lambda: started.process.poll() is not None, SHUTDOWN_S)
            assert started.process.returncode == 0

    async def test_memory_is_freed_in_time(self, tmp_path: Path) -> None:
        """A request that is granted memory while the entry accepts others is served."""
        async with program(tmp_path, SHUTDOWN_S) as (started, harness, _, _):
            engines = await add_engines(harness, 1)
            engines["d"].held["other"] = engines["d"].capacity
            events: list[list[int]] = []

            async def stream() -> None:
                events.append(await harness.events("/patient-0/a", **DEADLINE))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream)
                await trio.sleep(0.2)
                started.process.send_signal(signal.SIGTERM)
                await trio.sleep(1.0)
                engines["d"].held.clear()
            assert events == [[1, 2, 3, 4, 5]]


class TestUnansweredRequests:
    # Guards against the end of a connection without an answer while an upstream works.
    async def test_upstream_works(self, tmp_path: Path) -> None:
        """A request that may have run is answered before the end, without that promise."""
        async with program(tmp_path, SHUTDOWN_S) as (started, harness, upstream, _):
            await add_engines(harness, 1)
            upstream.work_s = 11.0
            response, after_s = await call_and_stop(harness, started, "/slow/a", DEADLINE)
            assert (response.status, upstream.runs) == (502, ["r1"])
            assert response.header("retry-after") is None
            assert after_s < SHUTDOWN_S - 1.0


async def call_and_stop(
    harness: EntryHarness, started: Any, path: str, headers: Mapping[str, str]
) -> tuple[HttpResponse, float]:
    """Send a request, then SIGTERM, and return the response and its time after the signal."""
    responses: list[HttpResponse] = []

    async def call() -> None:
        responses.append(await harness.call(path, "r1", "POST", b"x", headers))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call)
        await trio.sleep(0.5)
        stopped_at = trio.current_time()
        started.process.send_signal(signal.SIGTERM)
    return responses[0], trio.current_time() - stopped_at


class TestDrainRefusal:
    @pytest.mark.parametrize(("may_have_run", "status"), [(False, 503), (True, 502)])
    def test_promise(self, may_have_run: bool, status: int) -> None:
        """Only a request that no upstream was to run is refused with the promise to be repeated."""
        refusal = drain_refusal(may_have_run, Random(1))
        assert (refusal.status, refusal.has_not_run) == (status, not may_have_run)
        assert (refusal.retry_after_s is None) == may_have_run
