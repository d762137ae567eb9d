"""A stand-in plain service that answers any call and counts the runs of each key."""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple, TypedDict

import msgspec
import trio

from chivehold.asgi import (
    Receive,
    Scope,
    Send,
    header,
    read_body,
    respond_error,
    respond_json,
)
from chivehold.core.identity import AttemptId, RequestId
from chivehold.fakes.faults import FaultRequest, FaultState, FreezeGate
from chivehold.fakes.history import EventLog
from chivehold.fakes.output import prompt_digest

MAX_BODY_BYTES = 16_777_216


class ServiceOptions(NamedTuple):
    """Startup options of a stand-in service."""

    name: str = "service"
    work_s: float = 0.02
    """Seconds that each call takes at full speed."""


class ServiceAnswer(TypedDict):
    """Body of the response to a call; it identifies the call that it belongs to."""

    service: str
    method: str
    path: str
    key: str | None
    attempt: str | None
    run: int
    """Number of this run among those of the key, or of the attempt if there is no key; from 1."""
    body_digest: str


class ServiceStatus(TypedDict):
    """Body of the response to ``GET /status``."""

    load: int
    """Calls in progress."""
    leaving: bool


class ServiceApp:
    """ASGI application of a plain service.

    A call that has started runs to completion even if its caller disconnects.

    Args:
        options: The service's name and work time.
        on_fault: Called after each ``POST /faults``.
    """

    def __init__(
        self,
        options: ServiceOptions,
        on_fault: Callable[[FaultRequest], None] = lambda request: None,
    ) -> None:
        self._options = options
        self._on_fault = on_fault
        self._faults = FaultState()
        self._freeze_gate = FreezeGate()
        self._event_log = EventLog()
        self._runs: Counter[str] = Counter()
        self._in_progress = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request."""
        body = await read_body(receive, MAX_BODY_BYTES)
        match scope["method"], scope["path"]:
            case "GET", "/history":
                await respond_json(send, 200, self._event_log.to_answer())
            case "POST", "/faults":
                await self._handle_faults(body, send)
            case "GET", "/status":
                await self._freeze_gate.wait_until_open()
                status = ServiceStatus(load=self._in_progress, leaving=self._faults.leaving)
                await respond_json(send, 200, status)
            case _:
                await self._freeze_gate.wait_until_open()
                await self._run(scope, body, send)

    async def _handle_faults(self, body: bytes, send: Send) -> None:
        try:
            request = msgspec.json.decode(body, type=FaultRequest)
        except msgspec.DecodeError as error:
            await respond_error(send, 400, "malformed", str(error))
            return
        self._faults = self._faults.with_request(request, trio.current_time())
        if "freeze" in request:
            self._freeze_gate.set_frozen(request["freeze"])
        self._event_log.add("fault", None, detail=repr(request))
        await respond_json(send, 200, request)
        self._on_fault(request)

    async def _run(self, scope: Scope, body: bytes, send: Send) -> None:
        if self._faults.drop_before > 0:
            self._faults = self._faults._replace(drop_before=self._faults.drop_before - 1)
            self._event_log.add("dropped", None)
            await _break_connection(send)
            return
        answer = self._build_answer(scope, body)
        attempt = _parse_attempt(answer["attempt"])
        self._event_log.add("started", attempt, detail=answer["key"] or "")
        self._in_progress += 1
        try:
            await trio.sleep(self._options.work_s / self._faults.speed)
        finally:
            self._in_progress -= 1
        await self._freeze_gate.wait_until_open()
        self._event_log.add("ended", attempt, detail=answer["key"] or "")
        if self._faults.drop_after > 0:
            self._faults = self._faults._replace(drop_after=self._faults.drop_after - 1)
            self._event_log.add("dropped", attempt)
            await _break_connection(send)
            return
        await respond_json(send, 200, answer)

    def _build_answer(self, scope: Scope, body: bytes) -> ServiceAnswer:
        key, attempt = header(scope, "idempotency-key"), header(scope, "chivehold-attempt")
        run_key = key or attempt or ""
        self._runs[run_key] += 1
        query = scope["query_string"].decode("latin-1")
        return ServiceAnswer(
            service=self._options.name,
            method=scope["method"],
            path=scope["path"] + (f"?{query}" if query else ""),
            key=key,
            attempt=attempt,
            run=self._runs[run_key],
            body_digest=prompt_digest(body.decode("latin-1")),
        )


async def _break_connection(send: Send) -> None:
    """Send an incomplete response, so that the server breaks the connection."""
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"", "more_body": True})


def _parse_attempt(text: str | None) -> AttemptId | None:
    request, _, number = (text or "").rpartition("/")
    return AttemptId(RequestId(request), int(number)) if number.isdigit() else None
