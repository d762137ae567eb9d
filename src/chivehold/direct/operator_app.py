"""ASGI applications for the load balancer and operators: readiness, metrics and the state dump."""

from collections.abc import Callable, Mapping
from typing import Annotated, TypedDict

import msgspec

from chivehold.asgi import (
    Receive,
    Scope,
    Send,
    read_body,
    respond,
    respond_error,
    respond_json,
)
from chivehold.core.direct.crash_keys import MAX_VALUE_LENGTH, CrashKey, KeyKind
from chivehold.core.untrusted_json import decode_json
from chivehold.direct.explanations import MAX_QUESTION_BYTES, QuestionJson, decode_question
from chivehold.metrics import RenderedMetrics

MAX_ORDER_BYTES = 1_024


class ReadyApp:
    """Reports to the load balancer whether this entry accepts requests.

    Args:
        unready_reason: Returns why the entry is not ready, or an empty string if it is.
    """

    def __init__(self, unready_reason: Callable[[], str]) -> None:
        self._unready_reason = unready_reason

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Respond with 200 or 503, regardless of the path."""
        if reason := self._unready_reason():
            await respond_error(send, 503, "not_ready", reason)
            return
        await respond(send, 200)


class OperatorApp:
    """Serves ``/metrics``, ``/readyz``, ``/dump``, ``/quarantines`` and ``/explain``.

    Args:
        unready_reason: Returns why the entry is not ready, or an empty string if it is.
        render_metrics: Returns the metrics in a format listed in the ``accept`` headers.
        dump: Returns the state.
        order_quarantine: Called with the content to refuse, or to refuse no longer.
        explain: Returns where a request would be routed.
    """

    def __init__(
        self,
        unready_reason: Callable[[], str],
        render_metrics: Callable[[list[str]], RenderedMetrics],
        dump: Callable[[], Mapping[str, object]],
        order_quarantine: Callable[[CrashKey, bool], None],
        explain: Callable[[QuestionJson], Mapping[str, object]],
    ) -> None:
        self._ready = ReadyApp(unready_reason)
        self._render_metrics = render_metrics
        self._dump = dump
        self._explain = explain
        self._order_quarantine = order_quarantine

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI request."""
        path = scope["path"]
        if path == "/readyz":
            await self._ready(scope, receive, send)
        elif path == "/metrics":
            accepted = [value.decode() for name, value in scope["headers"] if name == b"accept"]
            metrics = self._render_metrics(accepted)
            await respond(send, 200, metrics.body, metrics.content_type)
        elif path == "/dump":
            await respond_json(send, 200, self._dump())
        elif path == "/quarantines":
            await self._handle_quarantines(scope, receive, send)
        elif path == "/explain":
            await self._handle_explain(receive, send)
        else:
            await respond_error(send, 404, "not_found", "no such page")

    async def _handle_quarantines(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["method"] == "POST":
            try:
                order = decode_order(await read_body(receive, MAX_ORDER_BYTES))
            except msgspec.DecodeError as error:
                await respond_error(send, 400, "malformed", str(error))
                return
            self._order_quarantine(CrashKey(order["kind"], order["value"]), order["active"])
        await respond_json(send, 200, self._dump()["quarantines"])

    async def _handle_explain(self, receive: Receive, send: Send) -> None:
        try:
            question = decode_question(await read_body(receive, MAX_QUESTION_BYTES))
        except msgspec.DecodeError as error:
            await respond_error(send, 400, "malformed", str(error))
            return
        await respond_json(send, 200, self._explain(question))


class QuarantineOrderJson(TypedDict):
    """Body of an operator's order to quarantine content, or to lift its quarantine."""

    kind: KeyKind
    value: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_VALUE_LENGTH)]
    active: bool


def decode_order(body: bytes) -> QuarantineOrderJson:
    """Parse an operator's order.

    Raises:
        msgspec.DecodeError: It is no order.
    """
    return decode_json(body, QuarantineOrderJson)
