"""A stand-in for the platform over HTTP, run as ``python -m chivehold.fakes.platform``."""

import argparse
from collections.abc import Sequence
from typing import TypeVar
from urllib.parse import parse_qs, unquote

import msgspec
import trio
from returns.result import Result, Success

from chivehold.asgi import (
    Receive,
    Scope,
    Send,
    header,
    read_body,
    respond_error,
    respond_json,
    send_chunk,
    start_response,
)
from chivehold.fakes.object_store import ANSWER_LOST, RATE_LIMITED, Faults, MemoryObjectStore
from chivehold.http_server import serve_http
from chivehold.store.api import MAX_VALUE_BYTES, Conflict, NotFound, Unavailable, Unsure
from chivehold.store.client import VmList
from chivehold.store.object_json import (
    CONFLICT_STATUS,
    NOT_FOUND_STATUS,
    OUTAGE_STATUS,
    RATE_LIMITED_STATUS,
    ConflictJson,
    VmsJson,
    snapshot_json,
    stored_json,
)

RETRY_AFTER_S = 1

ValueT = TypeVar("ValueT")
ErrorT = TypeVar("ErrorT")


class PlatformApp:
    """ASGI application that exposes an object store, its faults and its call counts."""

    def __init__(self, store: MemoryObjectStore) -> None:
        self._store = store

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request."""
        method: str = scope["method"]
        raw_path: str = scope["raw_path"].decode("ascii")
        path = tuple(unquote(part) for part in raw_path.split("/")[1:])
        match (method, *path):
            case ("GET", "objects", kind, name):
                await _respond_with_result(
                    send, (await self._store.get(kind, name)).map(stored_json)
                )
            case ("GET", "objects", kind):
                await _respond_with_result(send, (await self._store.list(kind)).map(snapshot_json))
            case ("PUT" | "DELETE", "objects", kind, name):
                await self._write(scope, receive, send, kind, name)
            case ("GET", "watch"):
                await self._watch(scope, send)
            case ("GET", "vms"):
                await _respond_with_result(send, (await self._store.list_vms()).map(VmList._asdict))
            case ("GET", "counts"):
                await respond_json(send, 200, dict(self._store.counts))
            case ("POST", "faults" | "vms"):
                await self._configure(path[0], await read_body(receive, MAX_VALUE_BYTES), send)
            case _:
                await respond_error(send, NOT_FOUND_STATUS, "malformed", "no such call")

    async def _write(
        self, scope: Scope, receive: Receive, send: Send, kind: str, name: str
    ) -> None:
        body = await read_body(receive, MAX_VALUE_BYTES)
        expected = header(scope, "if-match") or ""
        operation_id = header(scope, "operation-id") or ""
        if not expected.isdigit() or not operation_id:
            await respond_error(send, 400, "malformed", "If-Match and Operation-Id are required")
            return
        version = int(expected)
        if scope["method"] == "PUT":
            written = await self._store.put(kind, name, body, version, operation_id)
        else:
            written = await self._store.delete(kind, name, version, operation_id)
        await _respond_with_result(send, written.map(stored_json))

    async def _watch(self, scope: Scope, send: Send) -> None:
        query = parse_qs(scope["query_string"].decode())
        try:
            kinds = query["kinds"][0].split(",")
            after, wait_s = int(query["after"][0]), float(query["wait_s"][0])
        except (KeyError, ValueError):
            await respond_error(send, 400, "malformed", "kinds, after and wait_s are required")
            return
        await _respond_with_result(
            send, (await self._store.watch(kinds, after, wait_s)).map(snapshot_json)
        )

    async def _configure(self, setting: str, body: bytes, send: Send) -> None:
        try:
            if setting == "faults":
                values = msgspec.json.decode(body, type=dict[str, object])
                self._store.set_faults(msgspec.convert([*_fault_values(values)], Faults))
            else:
                vms = msgspec.json.decode(body, type=VmsJson)
                self._store.set_vms(VmList(tuple(vms["live"]), tuple(vms["leaving"])))
        except msgspec.DecodeError as error:
            await respond_error(send, 400, "malformed", str(error))
            return
        await respond_json(send, 200, True)


def _fault_values(values: dict[str, object]) -> Sequence[object]:
    unknown = values.keys() - set(Faults._fields)
    if unknown:
        raise msgspec.ValidationError(f"unknown faults: {', '.join(sorted(unknown))}")
    return Faults()._replace(**values)  # type: ignore[arg-type]


async def _respond_with_result(send: Send, result: Result[ValueT, ErrorT]) -> None:
    if isinstance(result, Success):
        await respond_json(send, 200, result.unwrap())
        return
    error = result.failure()
    detail = getattr(error, "detail", "")
    if isinstance(error, Unsure) or detail == ANSWER_LOST:
        await _break_connection(send)
    elif isinstance(error, NotFound):
        await respond_error(send, NOT_FOUND_STATUS, "not_found", error.step)
    elif isinstance(error, Conflict):
        await respond_json(
            send, CONFLICT_STATUS, ConflictJson(current_version=error.current_version)
        )
    elif isinstance(error, Unavailable):
        status = RATE_LIMITED_STATUS if detail == RATE_LIMITED else OUTAGE_STATUS
        await respond_error(send, status, "full", detail, [("retry-after", str(RETRY_AFTER_S))])


async def _break_connection(send: Send) -> None:
    """Break the connection in the middle of a response."""
    await start_response(send, 200, "application/json", [("content-length", "2")])
    await send_chunk(send, b"{")


async def _run(address: str) -> None:
    async with trio.open_nursery() as nursery:
        bound = await nursery.start(serve_http, PlatformApp(MemoryObjectStore()), address)
        print(f"listening {bound}", flush=True)


def main() -> None:
    """Run the stand-in until the process is stopped."""
    parser = argparse.ArgumentParser(description="A stand-in for the platform.")
    parser.add_argument("--address", default="127.0.0.1:0", help="host:port to listen on")
    trio.run(_run, parser.parse_args().address)


if __name__ == "__main__":
    main()
