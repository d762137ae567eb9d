"""Stand-ins for the platform's upstreams over HTTP: a plain service and a model engine."""

import itertools
from collections.abc import Callable, Mapping
from typing import Any

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
    wait_for_disconnect,
)

MAX_BODY_BYTES = 8 << 20
STAMP_HEADER = "x-chivehold-server-stamp"
REQUEST_ID_HEADER = "x-chivehold-request-id"
NOT_RUN_HEADER = ("x-chivehold-not-run", "1")


class PlainUpstream:
    """An upstream of a plain service; tests set its behaviour through attributes.

    Args:
        name: The upstream's name in the store.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.work_s = 0.0
        self.status = 200
        self.silent = False
        """Run each request and never answer it."""
        self.cut = False
        """Run each request and break off its response."""
        self.answers_as_request = ""
        """If set, responses carry this request id instead of the id of their request."""
        self.unsigned = False
        """Leave out the header that identifies this upstream."""
        self.body: bytes | None = None
        """If set, the body of each response; the default names the upstream and the request."""
        self.refuse = False
        """Refuse each request without running it."""
        self.response_headers: list[tuple[str, str]] = []
        """Further headers of each response."""
        self.is_crashed_by: Callable[[Mapping[str, str], bytes], bool] = lambda headers, body: False
        """Whether a request with these headers and this body ends the process that runs it."""
        self.crash_after_s = 0.05
        """Time from the start of such a run to the end of the process."""
        self.on_crash: Callable[[], None] = lambda: None
        """Called at the end of the process; it has to close the listener and all connections."""
        self.received_at: list[float] = []
        """When each request was received, on the trio clock."""
        self.received: list[dict[str, str]] = []
        """Headers of each received request, with ``method``, ``target`` and ``body`` added."""
        self.received_headers: list[tuple[tuple[bytes, bytes], ...]] = []
        """All headers of each received request, including repeated ones."""
        self.runs: list[str] = []
        """Ids of the requests that were run."""
        self.abandoned_requests: list[str] = []
        """Ids of the requests whose connection was closed before the response ended."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request."""
        raw_headers = tuple((bytes(key), bytes(value)) for key, value in scope["headers"])
        headers = {key.decode(): value.decode("utf-8", "replace") for key, value in raw_headers}
        body = await read_body(receive, MAX_BODY_BYTES)
        target = scope["raw_path"].decode()
        if scope["query_string"]:
            target += "?" + scope["query_string"].decode()
        received = {**headers, "method": scope["method"], "target": target, "body": body.decode()}
        self.received.append(received)
        self.received_headers.append(raw_headers)
        self.received_at.append(trio.current_time())
        response_ended = trio.Event()

        async def send_and_detect_end(message: Message) -> None:
            if message["type"] == "http.response.start":
                added = [(key.encode(), value.encode()) for key, value in self.response_headers]
                message = {**message, "headers": [*message["headers"], *added]}
            # The server may report the disconnect while the last message is still being sent.
            if message["type"] == "http.response.body" and not message.get("more_body", False):
                response_ended.set()
            await send(message)

        async with trio.open_nursery() as nursery:
            work_scope = nursery.cancel_scope
            nursery.start_soon(self._watch_disconnect, receive, headers, response_ended, work_scope)
            await self._handle(scope, headers, body, send_and_detect_end)
            nursery.cancel_scope.cancel()

    async def _handle(
        self, scope: Scope, headers: Mapping[str, str], body: bytes, send: Send
    ) -> None:
        if headers.get("x-chivehold-expect-instance", self.name) != self.name:
            await respond(send, 421)
            return
        if self.refuse:
            await respond(
                send, 503, headers=[NOT_RUN_HEADER, (REQUEST_ID_HEADER, headers[REQUEST_ID_HEADER])]
            )
            return
        await self._run(headers, body, send)

    async def _run(self, headers: Mapping[str, str], body: bytes, send: Send) -> None:
        request = headers[REQUEST_ID_HEADER]
        self.runs.append(request)
        await self._crash_if_due(headers, body)
        if self.silent:
            await trio.sleep_forever()
        await trio.sleep(self.work_s)
        await self._respond(request, body, send)

    async def _crash_if_due(self, headers: Mapping[str, str], body: bytes) -> None:
        if self.is_crashed_by(headers, body):
            await trio.sleep(self.crash_after_s)
            self.on_crash()
            await trio.sleep_forever()

    def _response_body(self, request: str, request_body: bytes) -> bytes:
        """Return the body of the response to a request."""
        return self.body or f"{self.name} ran {request}".encode()

    async def _respond(self, request: str, request_body: bytes, send: Send) -> None:
        stamp_headers = [] if self.unsigned else [(STAMP_HEADER, f"by.{self.name}")]
        response_headers = [(REQUEST_ID_HEADER, self.answers_as_request or request), *stamp_headers]
        body = self._response_body(request, request_body)
        if self.cut:
            raw = [(key.encode(), value.encode()) for key, value in response_headers]
            raw.append((b"content-length", b"10000"))
            await send({"type": "http.response.start", "status": self.status, "headers": raw})
            await send({"type": "http.response.body", "body": body, "more_body": True})
            return
        await respond(send, self.status, body, "text/plain", response_headers)

    async def _watch_disconnect(
        self,
        receive: Receive,
        headers: Mapping[str, str],
        response_ended: trio.Event,
        scope: trio.CancelScope,
    ) -> None:
        await wait_for_disconnect(receive)
        if response_ended.is_set():
            return
        self.abandoned_requests.append(headers.get(REQUEST_ID_HEADER, ""))
        scope.cancel()


class ModelEngine(PlainUpstream):
    """A model engine with memory, reservations, prefills and streams.

    Args:
        name: The engine's name in the store.
        stage: ``prefill`` or ``decode``.
        capacity: Memory in tokens.
    """

    def __init__(self, name: str, stage: str, capacity: int = 10_000) -> None:
        super().__init__(name)
        self.stage = stage
        self.capacity = capacity
        self.software = ""
        """Version of its software, which it writes into its record and its events; empty: none."""
        self.events = 5
        self.event_s = 0.0
        self.stop_after: int | None = None
        """If set, break off each stream in the middle of the event after this one."""
        self.end_after: int | None = None
        """If set, end each stream cleanly in the middle of the event after this one."""
        self.freeze_after: int | None = None
        """If set, send nothing more after this event and keep the connection open."""
        self.lose_handles = False
        """Fail each fetch of a KV cache."""
        self.out_of_service = False
        """Grant reservations but refuse all decode requests."""
        self.handle_ttl_s = 600.0
        self.held: dict[str, int] = {}
        """Tokens held by each unused reservation and by each running request."""
        self.handles: dict[str, str] = {}
        """The request that each KV cache was prefilled for, by handle."""
        self.dropped: list[str] = []
        """Ids of the reservations and KV caches that were deleted with ``DELETE``."""
        self.orders: list[dict[str, Any]] = []
        """The accepted orders, which change the stage."""
        self.highest_fencing_token = 0
        self._identifiers = itertools.count(1)
        self._expires: dict[str, float] = {}
        """When each reservation and KV cache expires, on the trio clock."""

    async def _handle(
        self, scope: Scope, headers: Mapping[str, str], body: bytes, send: Send
    ) -> None:
        path, method = scope["path"], scope["method"]
        if path == "/v1/hold-take":
            await self._reserve(msgspec.json.decode(body), send)
        elif path == "/v1/report":
            await respond_json(send, 200, self._report())
        elif path == "/v1/order":
            await self._order(msgspec.json.decode(body), send)
        elif method == "DELETE":
            identifier = path.rpartition("/")[2]
            self.dropped.append(identifier)
            self.held.pop(identifier, None)
            self.handles.pop(identifier, None)
            await respond(send, 200)
        else:
            await super()._handle(scope, headers, body, send)

    async def _run(self, headers: Mapping[str, str], body: bytes, send: Send) -> None:
        request = headers[REQUEST_ID_HEADER]
        response_headers = [(REQUEST_ID_HEADER, request)]
        if headers.get("x-chivehold-stage") == "prefill":
            await self._prefill(request, body, send)
            return
        if self.stage != "decode":
            await respond(send, 421, headers=response_headers)
            return
        source = headers.get("x-chivehold-kv-from", "")
        if self.out_of_service or (source and not self._can_fetch_kv(request, source)):
            await respond(send, 503, headers=[NOT_RUN_HEADER, *response_headers])
            return
        hold = headers.get("x-chivehold-hold", "")
        tokens = self.held.pop(hold, 0)
        self.held[request] = tokens
        self.runs.append(request)
        try:
            await self._crash_if_due(headers, body)
            await self._stream(request, body, int(headers.get("last-event-id", 0)), send)
        finally:
            self.held.pop(request, None)

    async def _prefill(self, request: str, body: bytes, send: Send) -> None:
        if self.silent:
            await trio.sleep_forever()
        await trio.sleep(self.work_s)
        handle = f"kv-{self.name}-{next(self._identifiers)}"
        self.handles[handle] = request
        self._expires[handle] = trio.current_time() + self.handle_ttl_s
        prefill_result = {"kvRef": handle, "tokens": 100, "version": 1}
        await respond_json(send, 200, prefill_result, [(REQUEST_ID_HEADER, request)])

    def _can_fetch_kv(self, request: str, source: str) -> bool:
        """Return whether the KV cache at ``source`` can be fetched for a request."""
        return not self.lose_handles

    def _event_data(self, request: str, number: int, body: bytes) -> str:
        """Return the data of an event; ``body`` is the request's body."""
        return f"{request} {self.software}".rstrip()

    async def _stream(self, request: str, body: bytes, last: int, send: Send) -> None:
        headers = [
            (b"content-type", b"text/event-stream"),
            (REQUEST_ID_HEADER.encode(), request.encode()),
            (STAMP_HEADER.encode(), f"by.{self.name}".encode()),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        for number in range(last + 1, self.events + 1):
            await trio.sleep(self.event_s)
            if self.freeze_after is not None and number > self.freeze_after:
                await trio.sleep_forever()
            event = f"id: {number}\ndata: {self._event_data(request, number, body)}\n\n".encode()
            cut = self.stop_after is not None and number > self.stop_after
            ends = self.end_after is not None and number > self.end_after
            part = event[:7] if cut or ends else event
            await send({"type": "http.response.body", "body": part, "more_body": not ends})
            if cut or ends:
                return
        await send({"type": "http.response.body", "body": b"", "more_body": False})

    def expire(self) -> None:
        """Release the reservations and KV caches that have expired."""
        now = trio.current_time()
        for name in [name for name, until in self._expires.items() if until <= now]:
            del self._expires[name]
            self.held.pop(name, None)
            self.handles.pop(name, None)

    async def _reserve(self, reservation: Mapping[str, Any], send: Send) -> None:
        self.expire()
        if self.refuse or sum(self.held.values()) + reservation["tokens"] > self.capacity:
            await respond(send, 503, headers=[NOT_RUN_HEADER])
            return
        hold = f"hold-{next(self._identifiers)}"
        self.held[hold] = reservation["tokens"]
        self._expires[hold] = trio.current_time() + reservation["ttlMs"] / 1_000
        await respond_json(send, 200, {"hold": hold})

    async def _order(self, order: dict[str, Any], send: Send) -> None:
        if order["fenceToken"] < self.highest_fencing_token:
            await respond(send, 412)
            return
        if order["expect"] != len(self.orders):
            await respond(send, 409)
            return
        self.highest_fencing_token = order["fenceToken"]
        self.orders.append(order)
        self.stage = order["stage"]
        await respond(send, 202)

    def _report(self) -> dict[str, Any]:
        return {
            "stage": self.stage,
            "busy": False,
            "seq": len(self.orders),
            "queued": 0,
            "running": len(self.held),
            "kvUsed": sum(self.held.values()),
            "kvTotal": self.capacity,
        }
