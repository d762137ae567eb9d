"""Prints the processor time of entry and sidecar per request and chunk beside a bare hop's."""

import json
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import NamedTuple

import httpcore
import psutil
import trio

from tests.entry.deployed import Deployed, deploy
from tests.processes import Programs, RunningProgram

WARM_UP = 100
CALLS = 600
STREAMS = 32
TOKENS = 250
IN_FLIGHT = 8
IDLE_S = 3.0
ROUNDS = 3

Act = Callable[[httpcore.AsyncConnectionPool], Awaitable[int]]


class Cost(NamedTuple):
    """Processor time of some processes."""

    per_request_ms: float
    per_chunk_ms: float


class _Meter:
    """Processor time that some processes use for work, less what they use when idle."""

    def __init__(self, processes: Iterable[RunningProgram]) -> None:
        self._processes = [psutil.Process(one.process.pid) for one in processes]
        self._idle_share = 0.0

    async def learn_idle(self) -> None:
        before = self._used_s()
        await trio.sleep(IDLE_S)
        self._idle_share = (self._used_s() - before) / IDLE_S

    async def of(self, act: Act, times: int) -> tuple[float, int]:
        """Return the seconds used by ``times`` acts and the sum of what they return."""
        async with httpcore.AsyncConnectionPool(max_connections=IN_FLIGHT) as pool:
            start, before = time.monotonic(), self._used_s()
            total = await _repeat(act, pool, times)
            elapsed_s = time.monotonic() - start
            used_s = self._used_s() - before - self._idle_share * elapsed_s
        return used_s, total

    def _used_s(self) -> float:
        times = [process.cpu_times() for process in self._processes]
        return sum(one.user + one.system for one in times)


async def _repeat(act: Act, pool: httpcore.AsyncConnectionPool, times: int) -> int:
    total, left = 0, times

    async def work() -> None:
        nonlocal total, left
        while left > 0:
            left -= 1
            result = await act(pool)
            total += result

    async with trio.open_nursery() as nursery:
        for _ in range(IN_FLIGHT):
            nursery.start_soon(work)
    return total


def _call(url: str, headers: dict[str, str]) -> Act:
    async def act(pool: httpcore.AsyncConnectionPool) -> int:
        response = await pool.request("GET", url, headers=headers)
        assert response.status == 200, response.content
        return 1

    return act


def _stream(url: str, body: bytes) -> Act:
    async def act(pool: httpcore.AsyncConnectionPool) -> int:
        chunks = 0
        async with pool.stream("POST", url, content=body) as response:
            assert response.status == 200, await response.aread()
            async for part in response.aiter_stream():
                chunks += part.count(b"data: {")
        return chunks

    return act


async def _cost(processes: Iterable[RunningProgram], call: Act, stream: Act) -> Cost:
    """Measure calls and streams; what a stream costs beyond a call is that of its chunks."""
    meter = _Meter(processes)
    async with httpcore.AsyncConnectionPool(max_connections=IN_FLIGHT) as pool:
        await _repeat(call, pool, WARM_UP)
        await _repeat(stream, pool, IN_FLIGHT)
    await meter.learn_idle()
    call_s, calls = await meter.of(call, CALLS)
    stream_s, chunks = await meter.of(stream, STREAMS)
    per_call_s = call_s / calls
    return Cost(per_call_s * 1e3, (stream_s - STREAMS * per_call_s) / chunks * 1e3)


async def _system(deployed: Deployed) -> Cost:
    body = json.dumps(
        {"model": "lector", "prompt": "word " * 50, "max_tokens": TOKENS, "stream": True}
    ).encode()
    processes = [deployed.entry, *deployed.sidecars.values()]
    call = _call(f"http://{deployed.callers}/services/forja/lookups", {})
    stream = _stream(f"http://{deployed.callers}/v1/completions", body)
    return await _cost(processes, call, stream)


async def _bare(programs: Programs) -> Cost:
    origin = programs.start("examples.bench.bare")
    hop = programs.start("examples.bench.bare", "--upstream", origin.addresses()[0])
    (address,) = hop.addresses()
    call = _call(f"http://{address}/", {})
    stream = _stream(f"http://{address}/stream/{TOKENS}", b"{}")
    return await _cost([hop], call, stream)


async def _measure(directory: Path) -> None:
    programs = Programs(directory)
    try:
        deployed = await deploy(programs)
        for number in range(1, ROUNDS + 1):
            bare, system = await _bare(programs), await _system(deployed)
            _print(number, bare, system)
    finally:
        programs.kill_all()


def _print(number: int, bare: Cost, system: Cost) -> None:
    for what, field in (("request", "per_request_ms"), ("chunk", "per_chunk_ms")):
        of_system, of_hop = getattr(system, field), getattr(bare, field)
        print(
            f"round {number}: {what}: entry and sidecar {of_system:.3f} ms, bare hop "
            f"{of_hop:.3f} ms, ratio to one hop {of_system / of_hop:.2f}, "
            f"to two hops {of_system / of_hop / 2:.2f}",
            flush=True,
        )


def main() -> None:
    """Run the benchmark in a directory of its own."""
    with tempfile.TemporaryDirectory() as directory:
        trio.run(_measure, Path(directory))


if __name__ == "__main__":
    main()
