"""The HTTP interface of a stand-in engine."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio

from chivehold.asgi import (
    Receive,
    Scope,
    Send,
    end_response,
    read_body,
    respond_error,
    respond_json,
    send_chunk,
    start_response,
)
from chivehold.core.wire import OrderKind
from chivehold.fakes.engine_runtime import CallFailed, EngineRuntime
from chivehold.fakes.faults import FaultRequest
from chivehold.http_client import HttpClient, LinkError
from chivehold.sidecar.engine_api import (
    CancelAnswer,
    CancelCall,
    DecodeCall,
    DecodeLine,
    EngineState,
    KvCache,
    OrderCall,
    PrefillCall,
    StatusAnswer,
)

MAX_BODY_BYTES = 16_777_216
KV_FETCH_TIMEOUT_S = 1.0
NDJSON_TYPE = "application/x-ndjson"

Handler = Callable[[bytes, Send], Awaitable[None]]


class EngineApp:
    """ASGI application that exposes an engine.

    Args:
        runtime: The engine to expose.
        client: Fetches KV caches from other engines.
        on_fault: Called after each ``POST /faults``.
    """

    def __init__(
        self,
        runtime: EngineRuntime,
        client: HttpClient,
        on_fault: Callable[[FaultRequest], None] = lambda request: None,
    ) -> None:
        self._runtime = runtime
        self._client = client
        self._on_fault = on_fault
        self._state = EngineState(
            role=runtime.options.role, models=[], adapters=[], fencing_number=0
        )
        self._executed_operations: set[str] = set()
        self._handlers: dict[tuple[str, str], Handler] = {
            ("POST", "/prefill"): self._prefill,
            ("POST", "/decode"): self._decode,
            ("POST", "/cancel"): self._cancel,
            ("POST", "/order"): self._order,
            ("GET", "/status"): self._status,
            ("GET", "/state"): self._get_state,
        }

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request."""
        body = await read_body(receive, MAX_BODY_BYTES)
        method, path = scope["method"], scope["path"]
        try:
            if await self._handle_control_request(method, path, body, send):
                return
            await self._runtime.freeze_gate.wait_until_open()
            if path.startswith("/kv/"):
                await respond_json(send, 200, self._runtime.get_kv_cache(path.removeprefix("/kv/")))
                return
            handler = self._handlers.get((method, path))
            if handler is None:
                raise CallFailed(404, "malformed", f"no {method} {path}")
            await handler(body, send)
        except msgspec.ValidationError as error:
            await respond_error(send, 400, "malformed", str(error))
        except msgspec.DecodeError as error:
            await respond_error(send, 400, "malformed", str(error))
        except CallFailed as error:
            await respond_error(send, error.status, error.reason, error.message)

    async def _handle_control_request(
        self, method: str, path: str, body: bytes, send: Send
    ) -> bool:
        if (method, path) == ("GET", "/history"):
            await respond_json(send, 200, self._runtime.event_log.to_answer())
            return True
        if (method, path) != ("POST", "/faults"):
            return False
        request = _decode_json(body, FaultRequest)
        self._runtime.apply_faults(request)
        await respond_json(send, 200, request)
        self._on_fault(request)
        return True

    async def _prefill(self, body: bytes, send: Send) -> None:
        answer = await self._runtime.prefill(_decode_json(body, PrefillCall))
        await self._runtime.freeze_gate.wait_until_open()
        await respond_json(send, 200, answer)

    async def _decode(self, body: bytes, send: Send) -> None:
        call = _decode_json(body, DecodeCall)
        kv = await self._fetch_kv(call["engine_address"], call["handle"])
        stream = _DecodeStream(send)
        try:
            total = await self._runtime.decode(call, kv, stream.send_tokens)
        except CallFailed:
            if stream.started:
                return
            raise
        await stream.finish(total)

    async def _fetch_kv(self, peer: str, handle: str) -> KvCache:
        path = f"/kv/{handle}"
        try:
            answer = await self._client.call(
                peer, "GET", path, step="fetch KV cache", timeout_s=KV_FETCH_TIMEOUT_S
            )
        except LinkError as error:
            raise CallFailed(502, "transfer_stalled", str(error)) from error
        if answer.status != 200:
            raise CallFailed(410, "kv_expired", f"{peer} answered {answer.status}")
        kv: KvCache = _decode_json(answer.body, KvCache)
        return kv

    async def _cancel(self, body: bytes, send: Send) -> None:
        held = self._runtime.cancel(_decode_json(body, CancelCall)["attempt"])
        await respond_json(send, 200, CancelAnswer(held=held))

    async def _status(self, body: bytes, send: Send) -> None:
        now, faults = trio.current_time(), self._runtime.faults
        published = self._runtime.published
        answer = StatusAnswer(
            held=list(self._runtime.held),
            leaving=faults.leaving,
            load=published.load(now, faults.load_lag_s),
            prefix_blocks=published.prefix_blocks(now, faults.load_lag_s),
        )
        await respond_json(send, 200, answer)

    async def _get_state(self, body: bytes, send: Send) -> None:
        await respond_json(send, 200, self._state)

    async def _order(self, body: bytes, send: Send) -> None:
        order = _decode_json(body, OrderCall)
        stale = order["fencing_number"] < self._state["fencing_number"]
        detail = f"{order['kind']}={order['argument']} fencing={order['fencing_number']}"
        if stale and self._runtime.options.checks_fencing:
            self._runtime.event_log.add("order_refused", None, detail=detail)
            raise CallFailed(409, "stale", "the fencing number is stale")
        self._state["fencing_number"] = order["fencing_number"]
        if order["operation_id"] not in self._executed_operations:
            self._executed_operations.add(order["operation_id"])
            self._runtime.event_log.add("order", None, detail=detail)
            self._execute(order)
        await respond_json(send, 200, self._state)

    def _execute(self, order: OrderCall) -> None:
        if order["kind"] is OrderKind.SET_ROLE:
            self._state["role"] = order["argument"]
            return
        field = "models" if order["kind"] is OrderKind.LOAD_MODEL else "adapters"
        names: list[str] = self._state[field]  # type: ignore[literal-required]
        if order["argument"] not in names:
            names.append(order["argument"])


class _DecodeStream:
    """Sends decode output as newline-delimited JSON; the response starts with its first line."""

    def __init__(self, send: Send) -> None:
        self._send = send
        self.started = False

    async def send_tokens(self, offset: int, tokens: tuple[str, ...]) -> None:
        """Send one line of tokens, starting at ``offset``."""
        await self._send_line(DecodeLine(offset=offset, tokens=list(tokens)))

    async def finish(self, total: int) -> None:
        """Send the last line with the total and complete the response."""
        await self._send_line(DecodeLine(total=total))
        await end_response(self._send)

    async def _send_line(self, line: DecodeLine) -> None:
        if not self.started:
            await start_response(self._send, 200, NDJSON_TYPE)
            self.started = True
        await send_chunk(self._send, msgspec.json.encode(line) + b"\n")


def _decode_json(body: bytes, schema: Any) -> Any:
    return msgspec.json.decode(body, type=schema)
