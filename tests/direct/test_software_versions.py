"""Streams while engines of several software versions serve: what two versions write never mixes."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
import trio

from chivehold.fakes.metadata_store import MetadataStore
from tests.direct.harness import EntryHarness, running_entries, wait_until
from tests.direct.versioned import (
    EVENT_S,
    EVENTS,
    OK_STATUS,
    Received,
    receive,
    versioned_service,
    versions,
)

STREAMS = 12
MIXED = (("old1", "v1"), ("old2", "v1"), ("new1", "v2"), ("new2", "v2"))
LEAVES_AFTER = 3
MIN_RESUMED_SHARE = 0.9
"""Share of the streams that go on of those that callers resume while their version serves."""


@asynccontextmanager
async def entries(
    tmp_path: Path, store: MetadataStore, count: int, upstreams: int = len(MIXED)
) -> AsyncIterator[list[EntryHarness]]:
    async with running_entries(tmp_path, store, count) as harnesses:
        for harness in harnesses:
            await wait_until(
                lambda harness=harness: len(harness.entry.dump()["upstreams"]) == upstreams
            )
        yield harnesses


async def begin(harnesses: list[EntryHarness]) -> dict[str, Received]:
    """Begin streams at all entries in turn and leave each of them after some events."""
    received: dict[str, Received] = {}

    async def start(number: int) -> None:
        harness = harnesses[number % len(harnesses)]
        request = f"r{number}"
        received[request] = await receive(harness, request, leaves_after=LEAVES_AFTER)

    async with trio.open_nursery() as nursery:
        for number in range(STREAMS):
            nursery.start_soon(start, number)
    assert {answer.status for answer in received.values()} == {OK_STATUS}
    return received


async def resume(harnesses: list[EntryHarness], begun: dict[str, Received]) -> dict[str, Received]:
    """Resume each stream at the next entry and return what came of it, by its first request."""
    resumed: dict[str, Received] = {}

    async def take_up(number: int, request: str) -> None:
        harness = harnesses[(number + 1) % len(harnesses)]
        last = begun[request].events[-1].number
        resumed[request] = await receive(harness, f"{request}-again", request, last)

    async with trio.open_nursery() as nursery:
        for number, request in enumerate(begun):
            nursery.start_soon(take_up, number, request)
    return resumed


def joined(begun: dict[str, Received], resumed: dict[str, Received]) -> list[str]:
    """Return the streams whose events were written by more than one version."""
    return [
        request
        for request, first in begun.items()
        if len(versions([*first.events, *resumed[request].events])) > 1
    ]


class TestWithinAnswer:
    # Guards against an answer that an entry joins from engines of two software versions.
    async def test_broken_stream_goes_on_at_its_version(self, tmp_path: Path) -> None:
        """A stream whose engine breaks off goes on at another engine of the same version."""
        async with (
            versioned_service(*MIXED) as service,
            entries(tmp_path, service.store, 1) as (harness,),
        ):
            service.engines["old1"].stop_after = LEAVES_AFTER
            for number in range(STREAMS):
                answer = await receive(harness, f"r{number}")
                assert len(answer.events) == EVENTS
                assert len(versions(answer.events)) == 1, answer

    # Guards against a stream that is joined because its version is gone, or held until it expires.
    async def test_stream_without_its_version_breaks_off_at_once(self, tmp_path: Path) -> None:
        """If no other engine of the version is left, the answer breaks off at once."""
        async with (
            versioned_service(("old1", "v1"), ("new1", "v2")) as service,
            entries(tmp_path, service.store, 1, 2) as (harness,),
        ):
            service.engines["old1"].stop_after = LEAVES_AFTER
            answers = []
            for number in range(STREAMS):
                with trio.fail_after(2.0):
                    answers.append(await receive(harness, f"r{number}"))
            assert all(len(versions(answer.events)) <= 1 for answer in answers)
            assert any(len(answer.events) == LEAVES_AFTER for answer in answers)


class TestTakenUp:
    # Guards against a stream that its caller resumes, and that goes on at another version.
    async def test_at_another_entry(self, tmp_path: Path) -> None:
        """A stream that its caller resumes at another entry goes on at its version."""
        async with (
            versioned_service(*MIXED) as service,
            entries(tmp_path, service.store, 3) as harnesses,
        ):
            begun = await begin(harnesses)
            resumed = await resume(harnesses, begun)
            assert joined(begun, resumed) == []
            whole = [answer for answer in resumed.values() if answer.status == OK_STATUS]
            assert len(whole) >= MIN_RESUMED_SHARE * STREAMS

    # Guards against streams joined from two versions after all entries have lost their memory.
    async def test_after_the_end_of_all_entries(self, tmp_path: Path) -> None:
        """What began a stream is known although every entry has been killed meanwhile."""
        async with versioned_service(*MIXED) as service:
            async with entries(tmp_path, service.store, 3) as harnesses:
                begun = await begin(harnesses)
            async with entries(tmp_path, service.store, 3) as harnesses:
                resumed = await resume(harnesses, begun)
            assert joined(begun, resumed) == []
            whole = [answer for answer in resumed.values() if answer.status == OK_STATUS]
            assert len(whole) >= MIN_RESUMED_SHARE * STREAMS

    # Guards against a stream of a version that has left, joined by entries that never saw it.
    async def test_after_its_version_has_left(self, tmp_path: Path) -> None:
        """A stream of a version that left while no entry ran is refused, not joined."""
        async with versioned_service(("old1", "v1"), ("old2", "v1")) as service:
            async with entries(tmp_path, service.store, 3, 2) as harnesses:
                begun = await begin(harnesses)
            for engine in list(service.engines.values()):
                await service.end(engine)
            await service.add("new1", "v2")
            async with entries(tmp_path, service.store, 3, 1) as harnesses:
                resumed = await resume(harnesses, begun)
            assert joined(begun, resumed) == []
            assert {answer.status for answer in resumed.values()} == {503}
            assert {answer.retry_after for answer in resumed.values()} == {None}


class TestUnknown:
    # Guards against a wrong join, or an error, by what a caller writes into its headers.
    @pytest.mark.parametrize("resumes", [None, "never-seen", "x" * 10_000, "r0,r1", "%00"])
    async def test_is_refused_while_versions_are_mixed(
        self, tmp_path: Path, resumes: str | None
    ) -> None:
        """A stream that nobody has begun cannot go on anywhere."""
        async with (
            versioned_service(*MIXED) as service,
            entries(tmp_path, service.store, 2) as harnesses,
        ):
            refused = await receive(harnesses[0], "again", resumes, LEAVES_AFTER)
            assert (refused.status, refused.retry_after) == (503, None)

    async def test_goes_on_with_one_version(self, tmp_path: Path) -> None:
        """With one version in service, any engine goes on with any stream."""
        async with (
            versioned_service(("old1", "v1"), ("old2", "v1")) as service,
            entries(tmp_path, service.store, 2, 2) as harnesses,
        ):
            for number, resumes in enumerate((None, "never-seen")):
                answer = await receive(harnesses[0], f"again{number}", resumes, LEAVES_AFTER)
                assert [event.number for event in answer.events] == [*range(4, EVENTS + 1)]

    # Guards against a stream that goes on as that of another route with the same request id.
    async def test_same_id_on_another_path(self, tmp_path: Path) -> None:
        """The request that a caller names is one with the same path."""
        async with (
            versioned_service(*MIXED) as service,
            entries(tmp_path, service.store, 1) as (harness,),
        ):
            await receive(harness, "r0", leaves_after=LEAVES_AFTER)
            refused = await receive(harness, "again", "r0", LEAVES_AFTER, path="/resume/other")
            assert refused.status == 503


class TestLoad:
    # Guards against new streams that wait behind a stream whose version has no room.
    async def test_full_version_holds_up_no_other(self, tmp_path: Path) -> None:
        """While a stream waits for an engine of its version, others begin at other versions."""
        async with (
            versioned_service(("old1", "v1"), ("new1", "v2")) as service,
            entries(tmp_path, service.store, 1, 2) as (harness,),
            trio.open_nursery() as nursery,
        ):
            service.engines["new1"].held["other"] = service.engines["new1"].capacity
            begun = await receive(harness, "r0", leaves_after=LEAVES_AFTER)
            assert versions(begun.events) == {"v1"}
            service.engines["new1"].held.clear()
            service.engines["old1"].held["other"] = service.engines["old1"].capacity
            nursery.start_soon(receive, harness, "r0-again", "r0", LEAVES_AFTER)
            await trio.sleep(0.1)
            with trio.fail_after(2 * EVENTS * EVENT_S):
                answer = await receive(harness, "r1")
            assert versions(answer.events) == {"v2"}
            nursery.cancel_scope.cancel()

    async def test_neither_version_starves(self, tmp_path: Path) -> None:
        """Streams begin at each engine, also at the only one of its version."""
        several = tuple((f"old{number}", "v1") for number in range(4))
        async with (
            versioned_service(*several, ("new1", "v2")) as service,
            entries(tmp_path, service.store, 1, 5) as harnesses,
        ):
            await begin(harnesses)
            assert all(engine.runs for engine in service.engines.values())
