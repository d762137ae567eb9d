"""What the stand-ins have seen, held against what the callers were told."""

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec
import trio

from chivehold.core.identity import Role
from chivehold.fakes.history import HistoryAnswer, HistoryEvent
from chivehold.http_client import HttpClient
from chivehold.sidecar.engine_api import StatusAnswer
from examples.demo.sites import Site
from examples.demo.traffic import ANSWERED, Sent

RELEASE_S = 3.0
POLL_S = 0.1
CALL_TIMEOUT_S = 5.0
STARTED = ("prefill_started", "decode_started", "started")


class Seen(NamedTuple):
    """The histories of a site's stand-ins, by kind of upstream."""

    engines: list[HistoryEvent]
    services: list[HistoryEvent]
    held_at_end: int
    """Requests that engines hold once all callers have gone."""


async def look(site: Site, dead: Iterable[str]) -> Seen:
    """Wait until the engines hold nothing, or ``RELEASE_S``, and read all histories."""
    client = HttpClient()
    engines: list[HistoryEvent] = []
    services: list[HistoryEvent] = []
    held = 0
    for name, stand_in in site.stand_ins.items():
        if stand_in.role is not Role.SERVICE and name not in dead:
            held += await _held(client, stand_in.data)
        answer = await client.call(
            stand_in.control, "GET", "/history", step="read history", timeout_s=CALL_TIMEOUT_S
        )
        history = msgspec.json.decode(answer.body, type=HistoryAnswer)
        (services if stand_in.role is Role.SERVICE else engines).extend(history["events"])
    await client.aclose()
    return Seen(engines, services, held)


def broken_promises(sent: Iterable[Sent], seen: Seen) -> Iterator[str]:
    """Yield a line for each promise that was broken."""
    started = {_request(event) for event in (*seen.engines, *seen.services) if _starts(event)}
    runs = service_runs(seen)
    for one in sent:
        if one.wrong:
            yield f"{one.key}: answered with {one.wrong}"
        if one.whole_answers > 1:
            yield f"{one.key}: answered {one.whole_answers} times"
        if one.kind.label == "reservation" and runs[one.key] > 1:
            yield f"{one.key}: ran {runs[one.key]} times"
        for tried in one.tries:
            if tried.outcome == "not_run" and tried.request in started:
                yield f"{one.key}: {tried.request} was called not run, and ran"
    if seen.held_at_end:
        yield f"{seen.held_at_end} requests still held by engines"


def service_runs(seen: Seen) -> Counter[str]:
    """Return how often each key ran at the plain services."""
    return Counter(event["detail"] for event in seen.services if event["kind"] == "started")


def wasted_prefill(sent: Iterable[Sent], seen: Seen) -> float:
    """Return the share of prefilled tokens whose result no caller received, 0 to 1."""
    answered = {tried.request for one in sent for tried in one.tries if tried.outcome == ANSWERED}
    useful: dict[str, int] = {}
    total = 0
    for event in seen.engines:
        if event["kind"] == "prefill_ended":
            total += event["tokens"]
            if _request(event) in answered:
                useful[_request(event)] = event["tokens"]
    return 1.0 - sum(useful.values()) / total if total else 0.0


async def _held(client: HttpClient, address: str) -> int:
    held = 0
    with trio.move_on_after(RELEASE_S):
        while True:
            answer = await client.call(
                address, "GET", "/status", step="read status", timeout_s=CALL_TIMEOUT_S
            )
            held = len(msgspec.json.decode(answer.body, type=StatusAnswer)["held"])
            if not held:
                break
            await trio.sleep(POLL_S)
    return held


def _starts(event: HistoryEvent) -> bool:
    return event["kind"] in STARTED and event["attempt"] is not None


def _request(event: HistoryEvent) -> str:
    return event["attempt"].request if event["attempt"] else ""
