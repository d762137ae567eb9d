"""Serves the entry's metrics and health checks to operators over HTTP."""

from collections.abc import Callable

from chivehold.asgi import (
    Receive,
    Scope,
    Send,
    respond,
    respond_error,
    respond_json,
)
from chivehold.core.identity import EntryIncarnation
from chivehold.entry.driver import EntryDriver
from chivehold.loop_monitor import LoopMonitor
from chivehold.metrics import EntryMetrics


class OperatorApp:
    """Serves ``/metrics``, ``/healthz`` and ``/readyz``.

    Args:
        driver: Provides the state of the queues.
        metrics: The metrics to render.
        incarnation: This run of the entry.
        revision: Returns the revision of the declarations in force.
        unready_reason: Returns why the entry should get no requests; empty when it is ready.
        loop_monitor: What the event loop is measured by, if it is.
    """

    def __init__(
        self,
        driver: EntryDriver,
        metrics: EntryMetrics,
        incarnation: EntryIncarnation,
        revision: Callable[[], int],
        unready_reason: Callable[[], str],
        loop_monitor: LoopMonitor | None = None,
    ) -> None:
        self._driver = driver
        self._metrics = metrics
        self._incarnation = incarnation
        self._revision = revision
        self._unready_reason = unready_reason
        self._loop_monitor = loop_monitor

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        match scope["method"], scope["path"]:
            case "GET", "/metrics":
                await self._send_metrics(scope, send)
            case "GET", "/healthz":
                await respond_json(send, 200, {"incarnation": self._incarnation})
            case "GET", "/readyz":
                await self._send_readiness(send)
            case _:
                await respond_error(send, 404, "unknown path", "no such path")

    async def _send_metrics(self, scope: Scope, send: Send) -> None:
        accepted = [value.decode("latin-1") for key, value in scope["headers"] if key == b"accept"]
        targets = self._driver.dump()["targets"]
        in_progress = self._driver.in_progress
        self._metrics.loop.update(self._loop_monitor)
        rendered = self._metrics.render(accepted, targets, in_progress, self._revision())
        await respond(send, 200, rendered.body, rendered.content_type)

    async def _send_readiness(self, send: Send) -> None:
        if reason := self._unready_reason():
            await respond_error(send, 503, "not ready", reason)
            return
        await respond_json(send, 200, {"revision": self._revision()})
