"""Upstreams that answer a request twice, so that a later request may get the second answer."""

from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
import trio

from chivehold.asgi import Send, respond_json
from chivehold.fakes.platform_upstream import REQUEST_ID_HEADER, ModelEngine
from tests.direct.harness import EntryHarness, running_entry, wait_until
from tests.direct.stuttering_upstream import (
    Script,
    StutteringUpstream,
    Turn,
    answer,
    stuttering_upstream,
)

BODY = b"the body of the first answer"
FAILURE = b"the upstream failed"
HEAD = len(answer(200, "r1", BODY)) - len(BODY)
WITHIN_REASON = len(b"HTTP/1.1 200 Some")
WITHIN_ID = len(b"HTTP/1.1 200 Some Reason\r\ncontent-length: 28\r\nx-chivehold-request-id: r")


@asynccontextmanager
async def plain_service(
    tmp_path: Path, script: Script
) -> AsyncIterator[tuple[EntryHarness, StutteringUpstream]]:
    """Run an entry with one upstream that answers as a script says."""
    upstream = StutteringUpstream(script)
    async with (
        running_entry(tmp_path) as harness,
        stuttering_upstream(harness, "plain", upstream),
    ):
        await wait_until(lambda: harness.entry.dump()["upstreams"])
        yield harness, upstream


class TestPlainAnswers:
    # Guards against a failure that reaches the caller as a success.
    @pytest.mark.parametrize("cut", [WITHIN_REASON, WITHIN_ID, HEAD - 5, HEAD, HEAD + 3])
    async def test_part_of_a_second_answer(self, tmp_path: Path, cut: int) -> None:
        """What comes behind a part of a second answer is no answer to the next request."""

        def script(turn: Turn) -> Sequence[bytes]:
            if turn.request == "r1":
                return [answer(200, "r1", BODY)]
            return [answer(200, "r1", BODY)[:cut] + answer(500, turn.request, FAILURE)]

        async with plain_service(tmp_path, script) as (harness, upstream):
            assert (await harness.call("/get/a", "r1")).status == 200
            assert (await harness.call("/get/a", "r2")).status == 502
            assert upstream.turns[-1].ids == ["r1", "r2"]

    # Guards against an answer that is passed on although it names two requests.
    @pytest.mark.parametrize("ids", [("r1", "r2"), ("r2", "r1")])
    @pytest.mark.parametrize("path", ["/get/a", "/post/a"])
    async def test_answer_that_names_two_requests(
        self, tmp_path: Path, path: str, ids: tuple[str, str]
    ) -> None:
        """An answer that names another request as well is not passed on."""

        def script(turn: Turn) -> Sequence[bytes]:
            first, second = ids
            fields = [f"x-chivehold-request-id: {first}"]
            return [answer(200, second, BODY, fields=fields)]

        async with plain_service(tmp_path, script) as (harness, _):
            assert (await harness.call(path, "r2", "POST")).status == 502


class RepeatingEngine(ModelEngine):
    """An engine whose answers to some calls are those to earlier ones."""

    repeats_holds = False
    names_request = ""
    """If set, its answers to reservations name this request."""
    unnamed_prefills = False
    """Answer prefills without the id of their request."""

    async def _reserve(self, reservation: Mapping[str, Any], send: Send) -> None:
        if self.names_request:
            headers = [(REQUEST_ID_HEADER, self.names_request)]
            await respond_json(send, 200, {"hold": "hold-of-another"}, headers)
            return
        if self.repeats_holds and self.held:
            await respond_json(send, 200, {"hold": next(iter(self.held))})
            return
        await super()._reserve(reservation, send)

    async def _prefill(self, request: str, body: bytes, send: Send) -> None:
        if self.unnamed_prefills:
            await respond_json(send, 200, {"kvRef": "of-another", "tokens": 100, "version": 1})
            return
        await super()._prefill(request, body, send)


@asynccontextmanager
async def model_service(
    tmp_path: Path,
) -> AsyncIterator[tuple[EntryHarness, RepeatingEngine, RepeatingEngine]]:
    """Run an entry with a prefill engine and a decode engine."""
    async with running_entry(tmp_path) as harness:
        engines = [RepeatingEngine("p", "prefill"), RepeatingEngine("d", "decode")]
        for engine in engines:
            await harness.add_upstream(engine, "model")
        await wait_until(lambda: len(harness.entry.dump()["upstreams"]) == 2)
        yield harness, *engines


class TestEngineCalls:
    # Guards against a request that goes on from the memory of another one.
    async def test_prefill_that_names_no_request(self, tmp_path: Path) -> None:
        """A handle is not used if its answer does not name the request."""
        async with model_service(tmp_path) as (harness, prefill, decode):
            prefill.unnamed_prefills = True
            assert await harness.events("/tell/a") == [1, 2, 3, 4, 5]
            sources = [headers.get("x-chivehold-kv-from") for headers in decode.received]
            assert sources and not any(sources)

    # Guards against two requests that use one reservation.
    async def test_repeated_reservation(self, tmp_path: Path) -> None:
        """A reservation that an engine has granted before is not used for another request."""
        async with model_service(tmp_path) as (harness, prefill, decode):
            prefill.work_s = 0.4
            async with trio.open_nursery() as nursery:
                nursery.start_soon(harness.events, "/tell/a", "r1")
                await wait_until(lambda: decode.held)
                decode.repeats_holds = True
                await harness.events("/tell/a", "r2")
            holds = [
                headers["x-chivehold-hold"]
                for headers in decode.received
                if headers.get(REQUEST_ID_HEADER) in ("r1", "r2")
            ]
            assert len(holds) == len(set(holds)) == 2

    async def test_reservation_that_names_a_request(self, tmp_path: Path) -> None:
        """An answer to a request is not taken for one to a call that has no id."""
        async with model_service(tmp_path) as (harness, _, decode):
            decode.names_request = "r0"
            assert (await harness.call("/tell/a", method="POST")).status == 503
            assert decode.runs == []
