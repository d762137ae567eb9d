"""The platform's metadata store as an ``ObjectStore``."""

import logging
from collections.abc import Sequence
from typing import Any, NotRequired, TypedDict
from urllib.parse import quote, urlencode

import msgspec
from returns.result import Failure, Result, Success

from chivehold.core.lenient_json import decode_readable
from chivehold.core.store_version import MAX_ERA, era_of, revision_of, store_version
from chivehold.core.untrusted_json import decode_json
from chivehold.http_client import HttpClient, HttpResponse, LinkBroken, NothingSent
from chivehold.logs import log_event
from chivehold.store.api import (
    Conflict,
    HistoryGone,
    NotFound,
    ReadError,
    Snapshot,
    StoredObject,
    Unavailable,
    Unsure,
    WriteError,
)

CALL_TIMEOUT_S = 1.0
WATCH_MARGIN_S = 0.6
"""A watch without a response this long after its waiting time is treated as failed."""
MAX_PAGES = 1_000
ERA_HEADER = "store-era"
"""Rises by one with each restore of the store; absent from stores that are never restored."""
MAX_ERA_DIGITS = len(str(MAX_ERA))
MAX_LOGGED = 40
"""Characters of an unreadable value to log."""
OK_STATUSES = (200, 201)
NOT_FOUND_STATUS = 404
CONFLICT_STATUS = 409
HISTORY_GONE_STATUS = 410
EARLIER_ERA = "answer from before the store was restored"
# With these statuses a call is refused and writes nothing; after others it may have taken effect.
_REFUSED_STATUSES = (*range(400, 500), 503)

_log = logging.getLogger(__name__)


class _MetadataJson(TypedDict):
    name: str
    revision: NotRequired[int]
    createRevision: NotRequired[int]


class _ObjectJson(TypedDict):
    metadata: _MetadataJson
    spec: NotRequired[msgspec.Raw]


class _PageJson(TypedDict):
    items: list[_ObjectJson]
    hasMore: NotRequired[bool]
    currentRev: int


class _EventJson(TypedDict):
    object: _ObjectJson
    tombstone: NotRequired[bool]


class _EventsJson(TypedDict):
    events: list[_EventJson]
    currentRev: int


class _OwnSpec(TypedDict):
    """The spec of objects written by this product."""

    value: str
    operation: str


class PlatformStore:
    """An ``ObjectStore`` over the platform's metadata store at one address.

    Args:
        address: ``host:port``.
        client: The HTTP client for the calls.
        own_kinds: Kinds whose objects are written by this product. Their spec contains the value
            and the id of the last write; for all other kinds the spec is the value.
    """

    def __init__(self, address: str, client: HttpClient, own_kinds: frozenset[str]) -> None:
        self._address = address
        self._client = client
        self._own_kinds = own_kinds
        self._era: int | None = None

    @property
    def address(self) -> str:
        """The store's ``host:port``."""
        return self._address

    async def get(self, kind: str, name: str) -> Result[StoredObject, ReadError]:
        """Read one object."""
        step = f"get {kind}/{name}"
        response = await self._read(step, _object_path(kind, name), CALL_TIMEOUT_S)
        if isinstance(response, Unavailable):
            return Failure(response)
        if response.status == NOT_FOUND_STATUS:
            return Failure(NotFound(step, self._address))
        if response.status not in OK_STATUSES:
            return Failure(self._unavailable(step, response))
        try:
            decoded = decode_readable(response.body, _ObjectJson, _log_unreadable)
            return Success(self._convert_object(kind, decoded))
        except msgspec.DecodeError as error:
            return Failure(Unavailable(step, self._address, str(error)))

    async def list(self, kind: str, may_be_stale: bool = False) -> Result[Snapshot, Unavailable]:
        """Read all objects of a kind, page by page.

        The revision is that of the first page, so that a watch from this revision includes changes
        made while later pages were read.
        """
        objects: list[StoredObject] = []
        version: int | None = None
        after = ""
        for _ in range(MAX_PAGES):
            page = await self._page(kind, after, may_be_stale)
            if isinstance(page, Unavailable):
                return Failure(page)
            if version is None:
                version = self._version(page["currentRev"])
            elif self._is_of_earlier_era(version):
                return Failure(Unavailable(f"list {kind}", self._address, "restored meanwhile"))
            objects += [self._convert_object(kind, item) for item in page["items"]]
            if not page.get("hasMore") or not page["items"]:
                break
            after = page["items"][-1]["metadata"]["name"]
        return Success(Snapshot(version or 0, tuple(objects)))

    async def put(
        self, kind: str, name: str, value: bytes, expected_version: int, operation_id: str
    ) -> Result[StoredObject, WriteError]:
        """Write an object if its version is the expected one; 0 creates it."""
        if self._is_of_earlier_era(expected_version):
            return Failure(NotFound(f"put {kind}/{name}", self._address))
        spec = _OwnSpec(value=value.decode(), operation=operation_id)
        metadata: dict[str, Any] = {"name": name}
        if expected_version:
            metadata["revision"] = revision_of(expected_version)
        body = msgspec.json.encode({"metadata": metadata, "spec": spec})
        if expected_version:
            return await self._write("PUT", kind, name, _object_path(kind, name), body)
        return await self._write("POST", kind, name, _object_path(kind), body)

    async def delete(
        self, kind: str, name: str, expected_version: int, operation_id: str
    ) -> Result[StoredObject, WriteError]:
        """Delete an object if its version is the expected one; the operation id is not stored."""
        if self._is_of_earlier_era(expected_version):
            return Failure(NotFound(f"delete {kind}/{name}", self._address))
        query = urlencode({"revision": revision_of(expected_version)})
        path = f"{_object_path(kind, name)}?{query}"
        return await self._write("DELETE", kind, name, path, b"")

    async def watch(
        self, kinds: Sequence[str], after_revision: int, wait_s: float
    ) -> Result[Snapshot, Unavailable | HistoryGone]:
        """Wait for changes to objects of one kind after a revision, deletions included.

        The history of an earlier era is gone.
        """
        (kind,) = kinds
        step = f"watch {kind}"
        if self._is_of_earlier_era(after_revision):
            return Failure(HistoryGone(step, self._address))
        query = urlencode({"watch": revision_of(after_revision), "waitMs": int(wait_s * 1_000)})
        response = await self._read(step, f"{_object_path(kind)}?{query}", wait_s + WATCH_MARGIN_S)
        if isinstance(response, Unavailable):
            return Failure(response)
        if response.status == HISTORY_GONE_STATUS or self._is_of_earlier_era(after_revision):
            return Failure(HistoryGone(step, self._address))
        if response.status not in OK_STATUSES:
            return Failure(self._unavailable(step, response))
        try:
            decoded = decode_readable(response.body, _EventsJson, _log_unreadable)
        except msgspec.DecodeError as error:
            return Failure(Unavailable(step, self._address, str(error)))
        changes = tuple(
            self._convert_object(kind, event["object"])._replace(
                deleted=event.get("tombstone", False)
            )
            for event in decoded["events"]
        )
        return Success(Snapshot(self._version(decoded["currentRev"]), changes))

    async def _page(self, kind: str, after: str, may_be_stale: bool) -> _PageJson | Unavailable:
        step = f"list {kind}"
        parameters = {"after": after} if after else {}
        parameters |= {"serializable": "1"} if may_be_stale else {}
        query = f"?{urlencode(parameters)}" if parameters else ""
        response = await self._read(step, f"{_object_path(kind)}{query}", CALL_TIMEOUT_S)
        if isinstance(response, Unavailable):
            return response
        if response.status not in OK_STATUSES:
            return self._unavailable(step, response)
        try:
            return decode_readable(response.body, _PageJson, _log_unreadable)
        except msgspec.DecodeError as error:
            return Unavailable(step, self._address, str(error))

    async def _read(self, step: str, path: str, timeout_s: float) -> HttpResponse | Unavailable:
        try:
            response = await self._client.call(
                self._address, "GET", path, step=step, timeout_s=timeout_s
            )
        except (NothingSent, LinkBroken) as error:
            return Unavailable(step, self._address, error.detail)
        if not self._note_era(response):
            return Unavailable(step, self._address, EARLIER_ERA)
        return response

    async def _write(
        self, method: str, kind: str, name: str, path: str, body: bytes
    ) -> Result[StoredObject, WriteError]:
        step = f"{method.lower()} {kind}/{name}"
        headers = [("content-type", "application/json")] if body else []
        try:
            response = await self._client.call(
                self._address,
                method,
                path,
                step=step,
                timeout_s=CALL_TIMEOUT_S,
                body=body,
                headers=headers,
            )
        except NothingSent as error:
            return Failure(Unavailable(step, self._address, error.detail))
        except LinkBroken as error:
            return Failure(Unsure(step, self._address, error.detail))
        if not self._note_era(response):
            return Failure(Unsure(step, self._address, EARLIER_ERA))
        return self._decode_write_response(step, kind, response)

    def _decode_write_response(
        self, step: str, kind: str, response: HttpResponse
    ) -> Result[StoredObject, WriteError]:
        if response.status in (*OK_STATUSES, CONFLICT_STATUS):
            try:
                decoded = decode_readable(response.body, _ObjectJson, _log_unreadable)
                stored = self._convert_object(kind, decoded)
            except msgspec.DecodeError as error:
                return Failure(Unsure(step, self._address, str(error)))
            if response.status == CONFLICT_STATUS:
                return Failure(Conflict(step, self._address, stored.version))
            return Success(stored)
        if response.status == NOT_FOUND_STATUS:
            return Failure(NotFound(step, self._address))
        if response.status in _REFUSED_STATUSES:
            return Failure(self._unavailable(step, response))
        return Failure(Unsure(step, self._address, f"status {response.status}"))

    def _note_era(self, response: HttpResponse) -> bool:
        """Return whether a response is of the latest era, which it may begin."""
        text = response.header(ERA_HEADER)
        if text is None:
            return True
        era = _parse_era(text)
        if era is None:
            log_event(_log, logging.WARNING, "store era unreadable", detail=text[:MAX_LOGGED])
            return True
        if self._era is not None and era > self._era:
            log_event(_log, logging.WARNING, "store restored", era=era, before=self._era)
        self._era = max(era, self._era or 0)
        return era == self._era

    def _is_of_earlier_era(self, version: int) -> bool:
        return version > 0 and era_of(version) < (self._era or 0)

    def _version(self, revision: int) -> int:
        return store_version(self._era or 0, revision)

    def _convert_object(self, kind: str, decoded: _ObjectJson) -> StoredObject:
        metadata = decoded["metadata"]
        spec = bytes(decoded.get("spec", msgspec.Raw(b"null")))
        operations: tuple[str, ...] = ()
        if kind in self._own_kinds:
            spec, operations = _decode_own_spec(spec)
        return StoredObject(
            kind=kind,
            name=metadata["name"],
            uid=str(metadata.get("createRevision", 0)),
            version=self._version(metadata.get("revision", 0)),
            value=spec,
            operations=operations,
        )

    def _unavailable(self, step: str, response: HttpResponse) -> Unavailable:
        return Unavailable(step, self._address, f"status {response.status}")


def _log_unreadable(error: msgspec.DecodeError) -> None:
    log_event(_log, logging.WARNING, "stored object unreadable", detail=error)


def _parse_era(text: str) -> int | None:
    """Return the number of an era, or ``None``; ``int`` refuses very many digits."""
    if not text.isdecimal() or len(text) > MAX_ERA_DIGITS or int(text) > MAX_ERA:
        return None
    return int(text)


def _decode_own_spec(spec: bytes) -> tuple[bytes, tuple[str, ...]]:
    """Return an object's value and its last write's id, or empty ones if it is malformed."""
    try:
        decoded = decode_json(spec, _OwnSpec)
    except msgspec.DecodeError:
        return b"", ()
    return decoded["value"].encode(), (decoded["operation"],)


def _object_path(kind: str, name: str = "") -> str:
    path = f"/v1/objects/{quote(kind, safe='')}"
    return f"{path}/{quote(name, safe='')}" if name else path
