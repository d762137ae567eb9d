"""Content that ends the upstreams which run it: its callers, the upstreams' ends, and the checks.

One request comes again and again with the same path and body, and prompts with one part in common
come with others. Both go to any entry, beside the sound requests.
"""

from collections.abc import Iterator, Mapping
from random import Random
from typing import NamedTuple

import trio

from chivehold.history.events import Call, CallEnd, Violation
from tests.soak.callers import Callers, OutgoingRequest
from tests.soak.upstreams import Arrival, SoakEngine, SoakService
from tests.soak.world import STORE, FaultPeriod, World

CRASH_KIND = "crashed by a request"
CRASHING_BODY = "crashing request"
CRASHING_PART = "0badbad0"
REQUEST_INTERVAL_S = 0.9
PROMPT_INTERVAL_S = 0.5
DOWN_S = 1.5
DEADLINE_S = 2.0
CONTACT_S = 3.0
"""Time after which entries without faults must know what ends upstreams."""
FIFTH = 5
THIRD = 3
MAX_LATE = 3
MIN_SOUND_SHARE = 0.5
MIN_SOUND = 20
"""With fewer sound requests their share says nothing."""


class CrashOfUpstream(NamedTuple):
    """An upstream ended under a request; ``at_s`` is a Unix time in seconds."""

    at_s: float
    service: str


def is_crashing(headers: Mapping[str, str], body: bytes) -> bool:
    """Return whether a request ends the upstream that runs it."""
    return body == CRASHING_BODY.encode() or CRASHING_PART in headers.get(
        "x-chivehold-prompt-prefix", ""
    )


class Crashers:
    """Sends requests that end upstreams, and ends and restarts the upstreams.

    Args:
        world: The deployment of the run.
        callers: Sends the requests.
        rng: Draws the entries.
        nursery: Runs the ends and restarts.
    """

    def __init__(self, world: World, callers: Callers, rng: Random, nursery: trio.Nursery) -> None:
        self._world = world
        self._callers = callers
        self._rng = rng
        self._nursery = nursery
        self.crashes: list[CrashOfUpstream] = []

    async def run(self) -> None:
        """Send the requests until cancelled."""
        for name, upstream in self._world.upstreams.items():
            upstream.prepare_app = lambda app, name=name: self._prepare(name, app)
            self._prepare(name, upstream.app)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_series, "/get/", REQUEST_INTERVAL_S)
            nursery.start_soon(self._send_series, "/tell/", PROMPT_INTERVAL_S)

    def _prepare(self, name: str, app: SoakEngine | SoakService) -> None:
        app.is_crashed_by = is_crashing
        app.on_crash = lambda: self._nursery.start_soon(self._crash, name, app)

    async def _crash(self, name: str, app: SoakEngine | SoakService) -> None:
        upstream = self._world.upstreams[name]
        if upstream.is_down or upstream.app is not app:
            return
        self.crashes.append(CrashOfUpstream(self._world.unix_time(), upstream.service))
        with self._world.record_fault(name, CRASH_KIND):
            await self._world.crash(name)
            await trio.sleep(DOWN_S)
            await self._world.restart(name)

    async def _send_series(self, path: str, interval_s: float) -> None:
        number = 0
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(interval_s * self._rng.uniform(0.7, 1.3))
                number += 1
                is_prompt = path == "/tell/"
                body = f"{CRASHING_BODY} {number}" if is_prompt else CRASHING_BODY
                parts = (CRASHING_PART,) if is_prompt else ()
                outgoing = OutgoingRequest(path, body, DEADLINE_S, parts=parts)
                entry = self._rng.choice(list(self._world.entries))
                nursery.start_soon(self._callers.call, entry, outgoing)


class CrashRecord(NamedTuple):
    """What was seen of content that ends upstreams."""

    crashes: tuple[CrashOfUpstream, ...]
    calls: tuple[Call, ...]
    arrivals: tuple[Arrival, ...]
    fault_periods: tuple[FaultPeriod, ...]


def check_crashers(record: CrashRecord) -> Iterator[Violation]:
    """Check that little of such content reaches upstreams, and that sound prompts go on."""
    if not record.crashes:
        return
    yield from _check_late(record, "plain", THIRD)
    yield from _check_late(record, "model", FIFTH)
    yield from _check_sound(record)


def _check_late(record: CrashRecord, service: str, known_after: int) -> Iterator[Violation]:
    crashes = sorted(crash.at_s for crash in record.crashes if crash.service == service)
    if len(crashes) < known_after:
        return
    known_at_s = crashes[known_after - 1] + CONTACT_S
    calls = {call.request: call for call in record.calls if is_crashing_call(call)}
    late = [
        arrival
        for arrival in record.arrivals
        if arrival.service == service
        and arrival.at_s > known_at_s
        and arrival.request in calls
        and not _is_excused(record, calls[arrival.request].entry, arrival.at_s)
    ]
    if len(late) > MAX_LATE:
        detail = f"{len(late)} after {len(crashes)} crashes, such as {late[0]}"
        yield Violation("crashing_content", service, detail)


def _check_sound(record: CrashRecord) -> Iterator[Violation]:
    since_s = max(crash.at_s for crash in record.crashes) + 2 * CONTACT_S
    sound = [
        call
        for call in record.calls
        if call.prompt is not None
        and not is_crashing_call(call)
        and call.invoked_at_s > since_s
        and call.end is not CallEnd.CALLER_LEFT
        and not _is_excused(record, call.entry, call.invoked_at_s)
    ]
    served = sum(call.end is CallEnd.WHOLE for call in sound)
    if len(sound) >= MIN_SOUND and served < MIN_SOUND_SHARE * len(sound):
        yield Violation("sound_neighbours", "model", f"{served} of {len(sound)} served")


def is_crashing_call(call: Call) -> bool:
    """Return whether a recorded call ends the upstream that runs it."""
    return call.path.startswith(CRASHING_BODY)


def _is_excused(record: CrashRecord, entry: str, at_s: float) -> bool:
    """Return whether the entry or the store had a fault shortly before."""
    return any(
        period.subject in (entry, STORE)
        and period.from_s <= at_s
        and at_s <= period.until_s + CONTACT_S
        for period in record.fault_periods
    )
