"""Upstreams that answer a request twice, so that a later request may get the second answer."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

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
WITHIN_ID = len(b"HTTP/1.1 200 Some Reason\r\nx-chivehold-request-id: r")


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
