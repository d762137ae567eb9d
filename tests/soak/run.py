"""Runs one plan and returns the violations found."""

import json
import time
from collections import Counter
from pathlib import Path
from random import Random
from typing import NamedTuple

import httpcore
import trio

from chivehold.fakes.identity import KEY_MARK
from chivehold.history.events import CallEnd, Violation
from tests.soak.callers import PATHS, Callers
from tests.soak.crashers import Crashers, CrashRecord, check_crashers
from tests.soak.entries import Entry, loopback_address
from tests.soak.faults import FaultInjector
from tests.soak.judge import LAG_POLL_INTERVAL_S, OwnLag, RunRecord, find_violations
from tests.soak.plan import Plan
from tests.soak.upstreams import SoakEngine
from tests.soak.world import World

RECOVERY_TIMEOUT_S = 15.0
RECOVERY_POLL_INTERVAL_S = 0.3
QUIET_S = 3.5
"""Longer than an unused reservation or KV cache is kept."""
FIRST_READY_TIMEOUT_S = 30.0


class RunResult(NamedTuple):
    """The outcome of a run."""

    plan: Plan
    violations: tuple[Violation, ...]
    ends: dict[str, int]
    """Number of requests by target and how they ended."""
    own_lag_s: float
    """Maximum lag of the soak's own event loop."""
    crashes: int = 0
    """Number of upstreams that ended under a request."""


async def run_plan(
    plan: Plan,
    directory: Path,
    rate: float,
    has_crashers: bool = False,
    has_loop_monitor: bool = False,
) -> RunResult:
    """Run a plan, and write logs, settings and the times of faults into the directory.

    Args:
        plan: The plan of the run.
        directory: An empty directory.
        rate: Requests per second.
        has_crashers: Whether some requests end the upstreams that run them.
        has_loop_monitor: Whether the entries measure their event loop.
    """
    violations: list[Violation] = []
    async with trio.open_nursery() as nursery:
        world = World(plan, directory, nursery, has_loop_monitor)
        lags: list[OwnLag] = []
        nursery.start_soon(_measure_own_lag, lags)
        try:
            await world.start()
            callers = Callers(world, Random(plan.seed), rate)
            crashers = Crashers(world, callers, Random(f"crashers of {plan.seed}"), nursery)
            violations += await _run_load(world, callers, plan, crashers if has_crashers else None)
            await trio.sleep(QUIET_S)
            violations += await _check_nothing_held(world)
            violations += await _shut_down_entries(world)
            await callers.aclose()
        finally:
            for entry in world.entries.values():
                entry.kill()
        violations += _check_processes(world)
        nursery.cancel_scope.cancel()
    record = _build_record(world, lags, violations)
    (directory / "troubles.json").write_text(json.dumps(record.fault_periods, indent=1))
    crashes = CrashRecord(
        tuple(crashers.crashes), record.history.calls, record.arrivals, record.fault_periods
    )
    ends = Counter(f"{call.target} {call.end}" for call in record.history.calls)
    max_lag_s = max((lag.late_s for lag in lags), default=0.0)
    found = (*find_violations(record), *check_crashers(crashes))
    return RunResult(plan, found, dict(ends), max_lag_s, len(crashers.crashes))


async def _measure_own_lag(lags: list[OwnLag]) -> None:
    while True:
        due_at = trio.current_time() + LAG_POLL_INTERVAL_S
        await trio.sleep_until(due_at)
        late_s = trio.current_time() - due_at
        if late_s > LAG_POLL_INTERVAL_S:
            lags.append(OwnLag(time.time(), late_s))


def _build_record(world: World, lags: list[OwnLag], violations: list[Violation]) -> RunRecord:
    history = world.recorder.build_history()._replace(
        upstream_events=tuple(sorted(world.work_log.events, key=lambda event: event.at_s)),
        shutdowns=tuple(world.shutdowns),
    )
    return RunRecord(
        history,
        tuple(world.work_log.arrivals),
        tuple(world.fault_periods),
        tuple(lags),
        (*violations, *world.work_log.violations),
        tuple(world.work_log.signals),
    )


async def _run_load(
    world: World, callers: Callers, plan: Plan, crashers: Crashers | None
) -> list[Violation]:
    """Make calls during all faults, then until each entry serves each kind of request again."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.run)
        with trio.fail_after(FIRST_READY_TIMEOUT_S):
            while callers.healthy_entries != set(plan.entries):
                await trio.sleep(RECOVERY_POLL_INTERVAL_S)
        began_at = trio.current_time()
        if crashers is not None:
            nursery.start_soon(crashers.run)
        await FaultInjector(world).inject_all(plan)
        await trio.sleep_until(began_at + plan.load_s)
        missing = await _find_unrecovered(world, callers)
        nursery.cancel_scope.cancel()
    return [Violation("recovery", name, f"{path} not served") for name, path in missing]


async def _find_unrecovered(world: World, callers: Callers) -> set[tuple[str, str]]:
    """Return the entries and kinds of request that were not served in time after the faults."""
    missing = {(name, path) for name in world.entries for path in PATHS}
    until = trio.current_time() + RECOVERY_TIMEOUT_S

    async def call_until_served(name: str, path: str) -> None:
        while trio.current_time() < until:
            call = await callers.call(name, callers.new_request(path))
            if call.end is CallEnd.WHOLE:
                missing.discard((name, path))
                return
            await trio.sleep(RECOVERY_POLL_INTERVAL_S)

    async with trio.open_nursery() as nursery:
        for name, path in tuple(missing):
            nursery.start_soon(call_until_served, name, path)
    return missing


async def _check_nothing_held(world: World) -> list[Violation]:
    """Check that engines and entries hold nothing after all callers have disconnected."""
    violations = []
    for name, upstream in world.upstreams.items():
        if isinstance(upstream.app, SoakEngine):
            upstream.app.expire()
            if upstream.app.held or upstream.app.handles:
                detail = f"{upstream.app.held} {upstream.app.handles}"
                violations.append(Violation("nothing_held", name, detail))
    for entry in world.entries.values():
        dump = await _dump(entry)
        if dump.get("in_progress") or any(dump.get("waiting_for_places", {}).values()):
            violations.append(Violation("nothing_held", entry.name, json.dumps(dump)))
    return violations


async def _dump(entry: Entry) -> dict[str, object]:
    host, port = loopback_address(entry.operator_address)
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("GET", f"http://{host}:{port}/dump")
    dump: dict[str, object] = json.loads(response.content)
    return dump


async def _shut_down_entries(world: World) -> list[Violation]:
    """Check that each entry ends by itself, with exit code 0, on SIGTERM."""
    violations = []

    async def end(entry: Entry) -> None:
        shutdown = await entry.terminate()
        if shutdown is None or shutdown.exit_code != 0:
            violations.append(Violation("last_shutdown", entry.name, f"{shutdown}"))

    async with trio.open_nursery() as nursery:
        for entry in world.entries.values():
            nursery.start_soon(end, entry)
    return violations


def _check_processes(world: World) -> list[Violation]:
    """Check for unexpected exits, and for tracebacks and API keys in the logs."""
    violations = []
    for entry in world.entries.values():
        violations += [
            Violation("process", entry.name, detail) for detail in entry.unexpected_exits
        ]
        for log in entry.logs:
            text = log.read_text(errors="replace")
            if "Traceback" in text:
                violations.append(Violation("traceback", entry.name, str(log)))
            if KEY_MARK in text:
                violations.append(Violation("secret_keys", entry.name, str(log)))
    return violations
