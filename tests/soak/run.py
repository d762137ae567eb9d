"""Plays one plan and returns what was found."""

import json
import time
from collections import Counter
from pathlib import Path
from random import Random
from typing import NamedTuple

import httpcore
import trio

from chivehold.history.events import CallEnd, Violation
from tests.soak.callers import PATHS, Callers
from tests.soak.entries import Entry, loopback
from tests.soak.faults import Faults
from tests.soak.judge import LAG_POLL_S, Lag, Record, judge
from tests.soak.plan import Plan
from tests.soak.upstreams import SoakEngine
from tests.soak.world import World

RECOVER_S = 15.0
RECOVER_POLL_S = 0.3
QUIET_S = 3.5
"""Longer than a reservation or a KV cache lasts unused."""
FIRST_READY_S = 30.0


class Result(NamedTuple):
    """What came of a run."""

    plan: Plan
    violations: tuple[Violation, ...]
    ends: dict[str, int]
    """How many requests ended in which way."""
    own_lag_s: float
    """By how much the run itself was late at most."""


async def play(plan: Plan, directory: Path, rate: float) -> Result:
    """Play a plan; logs and settings go to the directory.

    Args:
        plan: What happens.
        directory: An empty directory.
        rate: Requests a second.
    """
    found: list[Violation] = []
    async with trio.open_nursery() as nursery:
        world = World(plan, directory, nursery)
        lags: list[Lag] = []
        nursery.start_soon(_note_own_lag, lags)
        try:
            await world.start()
            callers = Callers(world, Random(plan.seed), rate)
            found += await _load(world, callers, plan)
            await trio.sleep(QUIET_S)
            found += await _nothing_left(world)
            found += await _ends(world)
            await callers.aclose()
        finally:
            for entry in world.entries.values():
                entry.end()
        found += _unexpected(world)
        nursery.cancel_scope.cancel()
    record = _record(world, lags, found)
    (directory / "troubles.json").write_text(json.dumps(record.troubles, indent=1))
    ends = Counter(f"{call.target} {call.end}" for call in record.history.calls)
    most_late_s = max((lag.late_s for lag in lags), default=0.0)
    return Result(plan, judge(record), dict(ends), most_late_s)


async def _note_own_lag(lags: list[Lag]) -> None:
    while True:
        due_at = trio.current_time() + LAG_POLL_S
        await trio.sleep_until(due_at)
        late_s = trio.current_time() - due_at
        if late_s > LAG_POLL_S:
            lags.append(Lag(time.time(), late_s))


def _record(world: World, lags: list[Lag], found: list[Violation]) -> Record:
    history = world.recorder.build_history()._replace(
        upstream_events=tuple(sorted(world.ledger.work, key=lambda work: work.at_s)),
        shutdowns=tuple(world.shutdowns),
    )
    return Record(
        history,
        tuple(world.ledger.arrivals),
        tuple(world.troubles),
        tuple(lags),
        (*found, *world.ledger.violations),
    )


async def _load(world: World, callers: Callers, plan: Plan) -> list[Violation]:
    """Have callers call through all faults, then until each entry serves each kind again."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.run)
        with trio.fail_after(FIRST_READY_S):
            while callers.sound != set(plan.entries):
                await trio.sleep(RECOVER_POLL_S)
        began_at = trio.current_time()
        await Faults(world).play(plan)
        await trio.sleep_until(began_at + plan.load_s)
        missing = await _recovered(world, callers)
        nursery.cancel_scope.cancel()
    return [Violation("recovery", name, f"{path} not served") for name, path in missing]


async def _recovered(world: World, callers: Callers) -> set[tuple[str, str]]:
    """Return which entry did not serve which kind of request within the time to recover."""
    missing = {(name, path) for name in world.entries for path in PATHS}
    until = trio.current_time() + RECOVER_S

    async def ask(name: str, path: str) -> None:
        while trio.current_time() < until:
            call = await callers.call(name, callers.new_try(path))
            if call.end is CallEnd.WHOLE:
                missing.discard((name, path))
                return
            await trio.sleep(RECOVER_POLL_S)

    async with trio.open_nursery() as nursery:
        for name, path in tuple(missing):
            nursery.start_soon(ask, name, path)
    return missing


async def _nothing_left(world: World) -> list[Violation]:
    """Neither engines nor entries hold anything once all callers have gone."""
    found = []
    for name, hosted in world.upstreams.items():
        if isinstance(hosted.app, SoakEngine):
            hosted.app.expire()
            if hosted.app.held or hosted.app.handles:
                detail = f"{hosted.app.held} {hosted.app.handles}"
                found.append(Violation("nothing_held", name, detail))
    for entry in world.entries.values():
        dump = await _dump(entry)
        if dump.get("in_progress") or any(dump.get("waiting_for_places", {}).values()):
            found.append(Violation("nothing_held", entry.name, json.dumps(dump)))
    return found


async def _dump(entry: Entry) -> dict[str, object]:
    host, port = loopback(entry.operator_address)
    async with httpcore.AsyncConnectionPool() as pool:
        answer = await pool.request("GET", f"http://{host}:{port}/dump")
    found: dict[str, object] = json.loads(answer.content)
    return found


async def _ends(world: World) -> list[Violation]:
    """Each entry ends by itself when it is told to."""
    found = []

    async def end(entry: Entry) -> None:
        shutdown = await entry.terminate()
        if shutdown is None or shutdown.exit_code != 0:
            found.append(Violation("last_shutdown", entry.name, f"{shutdown}"))

    async with trio.open_nursery() as nursery:
        for entry in world.entries.values():
            nursery.start_soon(end, entry)
    return found


def _unexpected(world: World) -> list[Violation]:
    found = []
    for entry in world.entries.values():
        found += [Violation("process", entry.name, one) for one in entry.unexpected]
        for log in entry.logs:
            if "Traceback" in log.read_text(errors="replace"):
                found.append(Violation("traceback", entry.name, str(log)))
    return found
