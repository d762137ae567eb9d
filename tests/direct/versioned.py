"""A model service whose engines run several software versions, and callers that resume streams."""

from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from typing import NamedTuple

import trio

from chivehold.fakes.metadata_store import MetadataStore
from chivehold.fakes.platform_upstream import ModelEngine
from chivehold.http_client import LinkError
from tests.direct.harness import EntryHarness

EVENTS = 12
EVENT_S = 0.05
PATH = "/resume/a"
OK_STATUS = 200


class Event(NamedTuple):
    """An event as a caller has received it."""

    number: int
    software: str
    """Version of the software of the engine that wrote it."""


class Received(NamedTuple):
    """What a caller has received of one attempt."""

    status: int
    """0 if there was no response."""
    events: tuple[Event, ...]
    retry_after: str | None = None


class VersionedService:
    """Decode engines of several software versions, listed in a store that outlives entries."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.store = MetadataStore()
        self._world = EntryHarness(nursery, self.store)
        self._addresses: dict[str, str] = {}
        self.engines: dict[str, ModelEngine] = {}

    async def add(self, name: str, software: str) -> ModelEngine:
        """Start an engine and list it in the store."""
        engine = ModelEngine(name, "decode")
        engine.software, engine.events, engine.event_s = software, EVENTS, EVENT_S
        self._addresses[name] = await self._world.add_upstream(engine, "model")
        self.engines[name] = engine
        return engine

    def drain(self, engine: ModelEngine) -> None:
        """Have an engine say in the store that it leaves."""
        address = self._addresses[engine.name]
        self._world.list_upstream(engine, "model", address, {"state": "draining"})

    async def end(self, engine: ModelEngine) -> None:
        """End an engine's process and remove its record."""
        del self.engines[engine.name]
        self.store.remove("servers", engine.name)
        await self._world.stop(engine)

    async def crash(self, engine: ModelEngine) -> None:
        """End an engine's process; its record stays."""
        await self._world.stop(engine)


@asynccontextmanager
async def versioned_service(*engines: tuple[str, str]) -> AsyncIterator[VersionedService]:
    """Run engines with these names and versions."""
    async with trio.open_nursery() as nursery:
        service = VersionedService(nursery)
        for name, software in engines:
            await service.add(name, software)
        yield service
        nursery.cancel_scope.cancel()


async def receive(
    harness: EntryHarness,
    request: str,
    resumes: str | None = None,
    after: int | None = None,
    leaves_after: int | None = None,
    path: str = PATH,
    key: str | None = None,
) -> Received:
    """Send a request for a stream and return what came of it.

    Args:
        harness: The entry.
        request: Id of the request.
        resumes: Id of the request that brought the first event, if the caller resumes a stream.
        after: Number of the last event that the caller has.
        leaves_after: Close the connection after the event with this number.
        path: The path of the request.
        key: The caller's API key.
    """
    headers = {"resumes": resumes} if resumes is not None else {}
    headers |= {"last-event-id": str(after)} if after is not None else {}
    headers |= {"x-api-key": key} if key is not None else {}
    status, body, retry_after = 0, b"", None
    try:
        async with harness.stream(path, request, headers) as response:
            status = response.status
            retry_after = dict(response.headers).get(b"retry-after")
            async for chunk in response.chunks:
                body += chunk
                events = tuple(_events(body))
                if leaves_after is not None and events and events[-1].number >= leaves_after:
                    break
    except LinkError:
        pass
    text = None if retry_after is None else retry_after.decode()
    return Received(status, tuple(_events(body)) if status == OK_STATUS else (), text)


def versions(events: Iterable[Event]) -> frozenset[str]:
    """Return the software versions whose engines wrote these events."""
    return frozenset(event.software for event in events)


def _events(body: bytes) -> list[Event]:
    whole = body.split(b"\n\n")[:-1]
    fields = [event.decode().split() for event in whole]
    return [Event(int(event[1]), event[4] if len(event) > 4 else "") for event in fields]
