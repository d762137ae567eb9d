"""Prints the processor time per request and chunk of entry and sidecar, and of a bare hop."""

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

Operation = Callable[[httpcore.AsyncConnectionPool], Awaitable[int]]


class Cost(NamedTuple):
    """Processor time of a group of processes."""

    per_request_ms: float
    per_chunk_ms: float


class _Meter:
    """Measures the processor time of processes, without what they use when idle."""

    def __init__(self, processes: Iterable[RunningProgram]) -> None:
        self._processes = [psutil.Process(program.process.pid) for program in processes]
        self._idle_share = 0.0

    async def measure_idle(self) -> None:
        before = self._used_s()
        await trio.sleep(IDLE_S)
        self._idle_share = (self._used_s() - before) / IDLE_S

    async def measure(self, operation: Operation, times: int) -> tuple[float, int]:
        """Return the seconds that ``times`` operations use and the sum of their results."""
        async with httpcore.AsyncConnectionPool(max_connections=IN_FLIGHT) as pool:
            start, before = time.monotonic(), self._used_s()
            total = await _run_concurrently(operation, pool, times)
            elapsed_s = time.monotonic() - start
            used_s = self._used_s() - before - self._idle_share * elapsed_s
        return used_s, total

    def _used_s(self) -> float:
        times = [process.cpu_times() for process in self._processes]
        return sum(cpu_times.user + cpu_times.system for cpu_times in times)


async def _run_concurrently(
    operation: Operation, pool: httpcore.AsyncConnectionPool, times: int
) -> int:
    total, remaining = 0, times

    async def work() -> None:
        nonlocal total, remaining
        while remaining > 0:
            remaining -= 1
            result = await operation(pool)
            total += result

    async with trio.open_nursery() as nursery:
        for _ in range(IN_FLIGHT):
            nursery.start_soon(work)
    return total


def _call_operation(url: str, headers: dict[str, str]) -> Operation:
    async def operation(pool: httpcore.AsyncConnectionPool) -> int:
        response = await pool.request("GET", url, headers=headers)
        assert response.status == 200, response.content
        return 1

    return operation


def _stream_operation(url: str, body: bytes) -> Operation:
    async def operation(pool: httpcore.AsyncConnectionPool) -> int:
        chunks = 0
        async with pool.stream("POST", url, content=body) as response:
            assert response.status == 200, await response.aread()
            async for chunk in response.aiter_stream():
                chunks += chunk.count(b"data: {")
        return chunks

    return operation


async def _measure_cost(
    processes: Iterable[RunningProgram], call: Operation, stream: Operation
) -> Cost:
    """Measure calls and streams; what a stream costs more than a call is the cost of its chunks."""
    meter = _Meter(processes)
    async with httpcore.AsyncConnectionPool(max_connections=IN_FLIGHT) as pool:
        await _run_concurrently(call, pool, WARM_UP)
        await _run_concurrently(stream, pool, IN_FLIGHT)
    await meter.measure_idle()
    call_s, calls = await meter.measure(call, CALLS)
    stream_s, chunks = await meter.measure(stream, STREAMS)
    per_call_s = call_s / calls
    return Cost(per_call_s * 1e3, (stream_s - STREAMS * per_call_s) / chunks * 1e3)


async def _measure_system(deployed: Deployed) -> Cost:
    body = json.dumps(
        {"model": "lector", "prompt": "word " * 50, "max_tokens": TOKENS, "stream": True}
    ).encode()
    processes = [deployed.entry, *deployed.sidecars.values()]
    call = _call_operation(f"http://{deployed.callers}/services/forja/lookups", {})
    stream = _stream_operation(f"http://{deployed.callers}/v1/completions", body)
    return await _measure_cost(processes, call, stream)


async def _measure_hop(programs: Programs) -> Cost:
    origin = programs.start("examples.bench.bare")
    hop = programs.start("examples.bench.bare", "--upstream", origin.addresses()[0])
    (address,) = hop.addresses()
    call = _call_operation(f"http://{address}/", {})
    stream = _stream_operation(f"http://{address}/stream/{TOKENS}", b"{}")
    return await _measure_cost([hop], call, stream)


async def _measure(directory: Path) -> None:
    programs = Programs(directory)
    try:
        deployed = await deploy(programs)
        for number in range(1, ROUNDS + 1):
            bare, system = await _measure_hop(programs), await _measure_system(deployed)
            _print_round(number, bare, system)
    finally:
        programs.kill_all()


def _print_round(number: int, bare: Cost, system: Cost) -> None:
    for label, field in (("request", "per_request_ms"), ("chunk", "per_chunk_ms")):
        system_ms, hop_ms = getattr(system, field), getattr(bare, field)
        print(
            f"round {number}: {label}: entry and sidecar {system_ms:.3f} ms, bare hop "
            f"{hop_ms:.3f} ms, ratio to one hop {system_ms / hop_ms:.2f}, "
            f"to two hops {system_ms / hop_ms / 2:.2f}",
            flush=True,
        )


def main() -> None:
    """Run the benchmark in a temporary directory."""
    with tempfile.TemporaryDirectory() as directory:
        trio.run(_measure, Path(directory))


if __name__ == "__main__":
    main()
