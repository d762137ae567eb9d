"""Checks the histories of the stand-ins against the answers that callers received."""

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
from examples.demo.traffic import ANSWERED, SentRequest

RELEASE_TIMEOUT_S = 3.0
POLL_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 5.0
START_EVENTS = ("prefill_started", "decode_started", "started")


class Histories(NamedTuple):
    """The events that a site's stand-ins recorded, by kind of upstream."""

    engines: list[HistoryEvent]
    services: list[HistoryEvent]
    held_at_end: int
    """Requests that engines still hold after all callers have finished."""


async def read_histories(site: Site, killed: Iterable[str]) -> Histories:
    """Wait for each engine to release its requests, and read all histories.

    The wait for an engine ends after ``RELEASE_TIMEOUT_S`` even if it still holds some.

    Args:
        site: The site to read.
        killed: Names of engines that no longer run, whose status is not read.
    """
    client = HttpClient()
    engines: list[HistoryEvent] = []
    services: list[HistoryEvent] = []
    held = 0
    for name, stand_in in site.stand_ins.items():
        if stand_in.role is not Role.SERVICE and name not in killed:
            held += await _wait_for_release(client, stand_in.data_address)
        answer = await client.call(
            stand_in.control_address,
            "GET",
            "/history",
            step="read history",
            timeout_s=CALL_TIMEOUT_S,
        )
        history = msgspec.json.decode(answer.body, type=HistoryAnswer)
        (services if stand_in.role is Role.SERVICE else engines).extend(history["events"])
    await client.aclose()
    return Histories(engines, services, held)


def violated_promises(sent: Iterable[SentRequest], histories: Histories) -> Iterator[str]:
    """Yield a line for each promise that was broken."""
    started = {
        _request_id(event)
        for event in (*histories.engines, *histories.services)
        if _is_start(event)
    }
    runs = service_runs(histories)
    for request in sent:
        if request.mismatch:
            yield f"{request.key}: answered with {request.mismatch}"
        if request.complete_answers > 1:
            yield f"{request.key}: answered {request.complete_answers} times"
        if request.kind.label == "reservation" and runs[request.key] > 1:
            yield f"{request.key}: ran {runs[request.key]} times"
        for result in request.tries:
            if result.outcome == "not_run" and result.request in started:
                yield f"{request.key}: {result.request} was called not run, and ran"
    if histories.held_at_end:
        yield f"{histories.held_at_end} requests still held by engines"


def service_runs(histories: Histories) -> Counter[str]:
    """Return how often each key ran at the plain services."""
    return Counter(event["detail"] for event in histories.services if event["kind"] == "started")


def wasted_prefill(sent: Iterable[SentRequest], histories: Histories) -> float:
    """Return the share of prefilled tokens whose result no caller received, 0 to 1."""
    answered = {
        result.request for request in sent for result in request.tries if result.outcome == ANSWERED
    }
    useful: dict[str, int] = {}
    total = 0
    for event in histories.engines:
        if event["kind"] == "prefill_ended":
            total += event["tokens"]
            if _request_id(event) in answered:
                useful[_request_id(event)] = event["tokens"]
    return 1.0 - sum(useful.values()) / total if total else 0.0


async def _wait_for_release(client: HttpClient, address: str) -> int:
    held = 0
    with trio.move_on_after(RELEASE_TIMEOUT_S):
        while True:
            answer = await client.call(
                address, "GET", "/status", step="read status", timeout_s=CALL_TIMEOUT_S
            )
            held = len(msgspec.json.decode(answer.body, type=StatusAnswer)["held"])
            if not held:
                break
            await trio.sleep(POLL_INTERVAL_S)
    return held


def _is_start(event: HistoryEvent) -> bool:
    return event["kind"] in START_EVENTS and event["attempt"] is not None


def _request_id(event: HistoryEvent) -> str:
    return event["attempt"].request if event["attempt"] else ""
