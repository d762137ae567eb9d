"""The platform's object API over HTTP, and resolving writes whose response was lost."""

from collections.abc import Callable, Sequence
from itertools import islice
from random import Random
from typing import NamedTuple, TypeVar
from urllib.parse import quote, urlencode

import msgspec
import trio
from returns.result import Failure, Result, Success

from chivehold.core.untrusted_json import decode_json
from chivehold.http_client import HttpClient, HttpResponse, LinkBroken, NothingSent
from chivehold.store.api import (
    Conflict,
    NotFound,
    ObjectStore,
    ReadError,
    Snapshot,
    StoredObject,
    Unavailable,
    Unsure,
    WriteError,
)
from chivehold.store.backoff import backoff_delays
from chivehold.store.object_json import (
    CONFLICT_STATUS,
    NOT_FOUND_STATUS,
    ConflictJson,
    VmsJson,
    decode_snapshot,
    decode_stored,
)

CALL_TIMEOUT_S = 2.0
WATCH_MARGIN_S = 1.0
MAX_READ_BACKS = 5
OK_STATUS = 200
# With these statuses a call is refused and writes nothing; after others it may have taken effect.
_REFUSED_STATUSES = (*range(400, 500), 503)

ValueT = TypeVar("ValueT")
ErrorT = TypeVar("ErrorT")


class VmList(NamedTuple):
    """The platform's list of VMs by name, which lags behind the actual state."""

    live: tuple[str, ...]
    leaving: tuple[str, ...]


class HttpObjectStore:
    """An ``ObjectStore`` over HTTP at one address."""

    def __init__(
        self,
        address: str,
        client: HttpClient,
        token: str | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._address = address
        self._client = client
        self._headers = () if token is None else (("authorization", f"Bearer {token}"),)
        self._timeout_s = timeout_s

    @property
    def address(self) -> str:
        """The store's ``host:port``."""
        return self._address

    async def get(self, kind: str, name: str) -> Result[StoredObject, ReadError]:
        """Read one object."""
        step = f"get {kind}/{name}"
        response = await self._read(step, _object_path(kind, name), self._timeout_s)
        if isinstance(response, Unavailable):
            return Failure(response)
        if response.status == NOT_FOUND_STATUS:
            return Failure(NotFound(step, self._address))
        return self._decode_response(step, response, decode_stored)

    async def list(self, kind: str, may_be_stale: bool = False) -> Result[Snapshot, Unavailable]:
        """Read all objects of a kind, with the store's revision; reads are never stale."""
        step = f"list {kind}"
        response = await self._read(step, f"/objects/{quote(kind, safe='')}", self._timeout_s)
        if isinstance(response, Unavailable):
            return Failure(response)
        return self._decode_response(step, response, decode_snapshot)

    async def put(
        self, kind: str, name: str, value: bytes, expected_version: int, operation_id: str
    ) -> Result[StoredObject, WriteError]:
        """Write an object if its version is the expected one; 0 creates it."""
        return await self._write("PUT", kind, name, value, expected_version, operation_id)

    async def delete(
        self, kind: str, name: str, expected_version: int, operation_id: str
    ) -> Result[StoredObject, WriteError]:
        """Delete an object if its version is the expected one."""
        return await self._write("DELETE", kind, name, b"", expected_version, operation_id)

    async def watch(
        self, kinds: Sequence[str], after_revision: int, wait_s: float
    ) -> Result[Snapshot, Unavailable]:
        """Wait for changes to objects of these kinds after a revision, deletions included."""
        step = f"watch {','.join(kinds)}"
        query = urlencode({"kinds": ",".join(kinds), "after": after_revision, "wait_s": wait_s})
        response = await self._read(step, f"/watch?{query}", wait_s + WATCH_MARGIN_S)
        if isinstance(response, Unavailable):
            return Failure(response)
        return self._decode_response(step, response, decode_snapshot)

    async def list_vms(self) -> Result[VmList, Unavailable]:
        """Read the list of live and leaving VMs, which lags behind the actual state."""
        step = "list VMs"
        response = await self._read(step, "/vms", self._timeout_s)
        if isinstance(response, Unavailable):
            return Failure(response)
        return self._decode_response(step, response, _decode_vms)

    async def _read(self, step: str, path: str, timeout_s: float) -> HttpResponse | Unavailable:
        try:
            response = await self._client.call(
                self._address, "GET", path, step=step, timeout_s=timeout_s, headers=self._headers
            )
        except (NothingSent, LinkBroken) as error:
            return Unavailable(step, self._address, error.detail)
        if response.status in (OK_STATUS, NOT_FOUND_STATUS):
            return response
        return Unavailable(step, self._address, f"status {response.status}")

    async def _write(
        self,
        method: str,
        kind: str,
        name: str,
        value: bytes,
        expected_version: int,
        operation_id: str,
    ) -> Result[StoredObject, WriteError]:
        step = f"{method.lower()} {kind}/{name}"
        try:
            response = await self._client.call(
                self._address,
                method,
                _object_path(kind, name),
                step=step,
                timeout_s=self._timeout_s,
                body=value,
                headers=[
                    *self._headers,
                    ("if-match", str(expected_version)),
                    ("operation-id", operation_id),
                ],
            )
        except NothingSent as error:
            return Failure(Unavailable(step, self._address, error.detail))
        except LinkBroken as error:
            return Failure(Unsure(step, self._address, error.detail))
        return self._write_result(step, response)

    def _write_result(self, step: str, response: HttpResponse) -> Result[StoredObject, WriteError]:
        try:
            if response.status == OK_STATUS:
                return Success(decode_stored(response.body))
            if response.status == CONFLICT_STATUS:
                decoded = decode_json(response.body, ConflictJson)
                return Failure(Conflict(step, self._address, decoded["current_version"]))
        except msgspec.DecodeError as error:
            return Failure(Unsure(step, self._address, str(error)))
        if response.status == NOT_FOUND_STATUS:
            return Failure(NotFound(step, self._address))
        detail = f"status {response.status}"
        if response.status in _REFUSED_STATUSES:
            return Failure(Unavailable(step, self._address, detail))
        return Failure(Unsure(step, self._address, detail))

    def _decode_response(
        self, step: str, response: HttpResponse, decode: Callable[[bytes], ValueT]
    ) -> Result[ValueT, Unavailable]:
        if response.status != OK_STATUS:
            return Failure(Unavailable(step, self._address, f"status {response.status}"))
        try:
            return Success(decode(response.body))
        except msgspec.DecodeError as error:
            return Failure(Unavailable(step, self._address, str(error)))


def _object_path(kind: str, name: str) -> str:
    return f"/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _decode_vms(body: bytes) -> VmList:
    decoded = decode_json(body, VmsJson)
    return VmList(tuple(decoded["live"]), tuple(decoded["leaving"]))


class Write(NamedTuple):
    """A conditional write; a ``value`` of ``None`` deletes the object."""

    kind: str
    name: str
    value: bytes | None
    expected_version: int
    operation_id: str


async def write_and_confirm(
    store: ObjectStore, write: Write, rng: Random, max_read_backs: int = MAX_READ_BACKS
) -> Result[StoredObject, WriteError]:
    """Send a write; if its response is lost, read the object back to determine the outcome.

    The object that is read back is searched for the operation id. While its version is still the
    expected one, the lost write may be in flight, so the same write is sent again: the version
    condition lets only one of the two take effect.

    Args:
        store: The platform's object store.
        write: What to write; its operation id must be new.
        rng: Source of jitter for retry delays.
        max_read_backs: Maximum number of read-backs.

    Returns:
        The object as written or as changed since, a definite error, or ``Unsure`` after
        ``max_read_backs`` read-backs. A deletion that took effect may be returned as ``NotFound``.
    """
    result = await _send(store, write)
    for delay_s in islice(backoff_delays(rng), max_read_backs):
        if not isinstance(_error(result), Unsure):
            return result
        await trio.sleep(delay_s)
        result = await _read_back(store, write, result)
    return result


async def _read_back(
    store: ObjectStore, write: Write, unsure: Result[StoredObject, WriteError]
) -> Result[StoredObject, WriteError]:
    read = await store.get(write.kind, write.name)
    error = _error(read)
    if isinstance(error, Unavailable):
        return unsure
    if error is not None and write.expected_version > 0:
        return Failure(error)
    if error is None:
        stored = read.unwrap()
        if write.operation_id in stored.operations:
            return Success(stored)
        if stored.version != write.expected_version:
            return Failure(Conflict("read back", write.name, stored.version))
    resent = await _send(store, write)
    return resent if isinstance(resent, Success) else unsure


async def _send(store: ObjectStore, write: Write) -> Result[StoredObject, WriteError]:
    if write.value is None:
        return await store.delete(
            write.kind, write.name, write.expected_version, write.operation_id
        )
    return await store.put(
        write.kind, write.name, write.value, write.expected_version, write.operation_id
    )


def _error(result: Result[StoredObject, ErrorT]) -> ErrorT | None:
    return None if isinstance(result, Success) else result.failure()
