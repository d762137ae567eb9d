"""A stand-in for the platform's metadata store: objects by kind, conditional writes, watches."""

from collections.abc import Mapping
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote

import msgspec
import trio

from chivehold.asgi import (
    Message,
    Receive,
    Scope,
    Send,
    read_body,
    respond,
    respond_json,
)

ERA_HEADER = b"store-era"
OBJECTS_PATH = "/v1/objects/"
MAX_BODY_BYTES = 1 << 20
PAGE_ITEMS = 50


class _Change(NamedTuple):
    revision: int
    kind: str
    object: dict[str, Any]
    removed: bool


class StoreCopy(NamedTuple):
    """A copy of the store's objects at one revision."""

    revision: int
    objects: Mapping[tuple[str, str], dict[str, Any]]


class MetadataStore:
    """An in-memory metadata store as an ASGI application.

    Tests change its objects directly and set its faults through attributes.
    """

    def __init__(self) -> None:
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._changes: list[_Change] = []
        self._oldest_revision = 0
        self._changed = trio.Event()
        self.revision = 1
        self.era = 0
        """Number of times that the store has been restored."""
        self.calls = 0
        self.error_status: int | None = None
        """If set, every request is answered with this status and has no effect."""
        self.unanswered_writes = 0
        """Number of subsequent writes that take effect but are never answered."""

    def put(self, kind: str, name: str, spec: object) -> int:
        """Create or replace an object unconditionally and return its revision."""
        before = self._objects.get((kind, name))
        self.revision += 1
        created = before["metadata"]["createRevision"] if before else self.revision
        metadata: dict[str, Any] = {
            "name": name,
            "revision": self.revision,
            "createRevision": created,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self._objects[kind, name] = stored
        self._record_change(_Change(self.revision, kind, stored, False))
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object; watchers receive its removal."""
        stored = self._objects.pop((kind, name))
        self.revision += 1
        self._record_change(_Change(self.revision, kind, stored, True))

    def expire_watch_history(self) -> None:
        """Drop recorded changes, so that watches from earlier revisions are answered with 410."""
        self._oldest_revision = self.revision
        self._changes.clear()
        self._notify_watchers()

    def copy(self) -> StoreCopy:
        """Return a copy to restore later."""
        return StoreCopy(self.revision, dict(self._objects))

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy: later changes are lost and their revisions are given out again."""
        self._objects = dict(copy.objects)
        self._changes = [change for change in self._changes if change.revision <= copy.revision]
        self.revision = copy.revision
        self.era += 1
        self._notify_watchers()

    def names(self) -> frozenset[tuple[str, str]]:
        """Return the kind and name of each object."""
        return frozenset(self._objects)

    def spec(self, kind: str, name: str) -> Any:
        """Return the ``spec`` of an object."""
        return self._objects[kind, name]["spec"]

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request."""
        self.calls += 1
        body = await read_body(receive, MAX_BODY_BYTES)

        async def send_with_era(message: Message) -> None:
            if message["type"] == "http.response.start":
                era_header = (ERA_HEADER, str(self.era).encode())
                message = {**message, "headers": [*message["headers"], era_header]}
            await send(message)

        await self._handle(scope, body, send_with_era)

    async def _handle(self, scope: Scope, body: bytes, send: Send) -> None:
        if self.error_status is not None:
            await respond(send, self.error_status)
            return
        kind, _, name = scope["path"].removeprefix(OBJECTS_PATH).partition("/")
        query = {key: values[0] for key, values in parse_qs(scope["query_string"].decode()).items()}
        if scope["method"] != "GET":
            await self._write(scope["method"], unquote(kind), unquote(name), query, body, send)
        elif name:
            await self._get(kind, unquote(name), send)
        elif "watch" in query:
            await self._watch(kind, int(query["watch"]), int(query["waitMs"]) / 1_000, send)
        else:
            await self._list(kind, query.get("after", ""), send)

    async def _get(self, kind: str, name: str, send: Send) -> None:
        stored = self._objects.get((kind, name))
        if stored is None:
            await respond(send, 404)
        else:
            await respond_json(send, 200, stored)

    async def _list(self, kind: str, after: str, send: Send) -> None:
        names = sorted(
            name for stored_kind, name in self._objects if stored_kind == kind and name > after
        )
        items = [self._objects[kind, name] for name in names[:PAGE_ITEMS]]
        page = {"items": items, "hasMore": len(names) > PAGE_ITEMS, "currentRev": self.revision}
        await respond_json(send, 200, page)

    async def _watch(self, kind: str, since: int, wait_s: float, send: Send) -> None:
        with trio.move_on_after(wait_s):
            while self._has_history(since) and not self._changes_since(kind, since):
                await self._changed.wait()
        if not self._has_history(since):
            await respond(send, 410)
            return
        events = [
            {"object": change.object, "tombstone": change.removed}
            for change in self._changes_since(kind, since)
        ]
        await respond_json(send, 200, {"events": events, "currentRev": self.revision})

    async def _write(
        self,
        method: str,
        kind: str,
        name: str,
        query: Mapping[str, str],
        body: bytes,
        send: Send,
    ) -> None:
        written = msgspec.json.decode(body) if body else {}
        metadata = written.get("metadata", {})
        name = name or metadata["name"]
        stored = self._objects.get((kind, name))
        expected = metadata.get("revision") or int(query.get("revision", 0))
        if stored is None and method != "POST":
            await respond(send, 404)
            return
        if stored is not None and (
            method == "POST" or (expected and expected != stored["metadata"]["revision"])
        ):
            await respond_json(send, 409, stored)
            return
        if method == "DELETE":
            self.remove(kind, name)
        else:
            self.put(kind, name, written["spec"])
        if self.unanswered_writes:
            self.unanswered_writes -= 1
            await trio.sleep_forever()
        await respond_json(send, 200, self._objects.get((kind, name), stored))

    def _has_history(self, since: int) -> bool:
        return self._oldest_revision <= since <= self.revision

    def _changes_since(self, kind: str, revision: int) -> list[_Change]:
        return [
            change for change in self._changes if change.kind == kind and change.revision > revision
        ]

    def _record_change(self, change: _Change) -> None:
        self._changes.append(change)
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
