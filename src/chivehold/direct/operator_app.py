"""ASGI applications for the load balancer and operators: readiness, metrics and the state dump."""

from collections.abc import Callable, Mapping

from chivehold.http_server import Receive, Scope, Send, respond, respond_error, respond_json
from chivehold.metrics import RenderedMetrics


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
    """Serves ``/metrics``, ``/readyz`` and ``/dump``.

    Args:
        unready_reason: Returns why the entry is not ready, or an empty string if it is.
        render_metrics: Returns the metrics in a format listed in the ``accept`` headers.
        dump: Returns the state.
    """

    def __init__(
        self,
        unready_reason: Callable[[], str],
        render_metrics: Callable[[list[str]], RenderedMetrics],
        dump: Callable[[], Mapping[str, object]],
    ) -> None:
        self._ready = ReadyApp(unready_reason)
        self._render_metrics = render_metrics
        self._dump = dump

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
        else:
            await respond_error(send, 404, "not_found", "no such page")
