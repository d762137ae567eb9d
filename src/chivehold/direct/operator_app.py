"""What operators and the load balancer ask of an entry: readiness, metrics, the state dump."""

from collections.abc import Callable, Mapping

from chivehold.http_server import Receive, Scope, Send, respond, respond_error, respond_json
from chivehold.metrics import RenderedMetrics


class ReadyApp:
    """Tells the load balancer whether this entry takes requests.

    Args:
        unready: Returns why it does not, or an empty text.
    """

    def __init__(self, unready_reason: Callable[[], str]) -> None:
        self._unready_reason = unready_reason

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer 200 or 503, whatever the path."""
        if reason := self._unready_reason():
            await respond_error(send, 503, "not_ready", reason)
            return
        await respond(send, 200)


class OperatorApp:
    """Serves ``/metrics``, ``/readyz`` and ``/dump``.

    Args:
        unready: Returns why the entry takes no requests, or an empty text.
        render: Returns the metrics in the form that the reader accepts.
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
        """Answer one request."""
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
