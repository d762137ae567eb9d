"""A sidecar's metrics, taken from the core's commands and its load report."""

from aioprometheus.collectors import Counter, Gauge, Registry
from aioprometheus.renderer import render

from chivehold.core.sidecar_messages import (
    CancelAtEngine,
    SendFrame,
    SendPrefillResult,
    SidecarCommand,
)
from chivehold.core.wire import FrameKind, LoadReport, UpstreamState
from chivehold.loop_metrics import LoopMetrics

_GAUGES = {
    "places": "Places of the upstream",
    "places_free": "Places that can be granted",
    "waiting_urgent": "Urgent offers and prefills that wait",
    "waiting_patient": "Patient offers and prefills that wait",
    "wait_urgent_s": "Expected wait of a new urgent offer in seconds",
    "wait_patient_s": "Expected wait of a new patient offer in seconds",
    "prefill_backlog_s": "Prefill work that waits, in seconds of the engine's time",
    "link_backlog_s": "Transfers that wait for the inbound link, in seconds",
    "token_interval_s": "Smoothed time between output tokens in seconds",
    "revision": "Revision of the declarations kept here",
}


class SidecarMetrics:
    """The counters and gauges of a sidecar, in a separate registry."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._frames = self._counter("frames_total", "Frames sent to entries, by kind and reason")
        self._prefills = self._counter("prefills_total", "Prefills ended, by kind and reason")
        self._tokens = self._counter("tokens_total", "Output tokens passed on")
        self._cancels = self._counter("cancels_total", "Cancels sent to the upstream")
        self._gauges = {
            name: self._gauge(name, description) for name, description in _GAUGES.items()
        }
        self._state = self._gauge("state", "1 for the state that the upstream is in")
        self._sessions = self._gauge("sessions", "Streams, prefills and calls open to entries")
        self._loop = LoopMetrics(self._registry)

    @property
    def loop(self) -> LoopMetrics:
        """The metrics of the event loop."""
        return self._loop

    def count(self, command: SidecarCommand) -> None:
        """Count a command of the core."""
        if isinstance(command, SendFrame):
            frame = command.frame
            if frame.kind is FrameKind.TOKENS:
                self._tokens.add({}, len(frame.tokens))
                return
            self._frames.inc({"kind": frame.kind.value, "reason": frame.reason or ""})
        elif isinstance(command, SendPrefillResult):
            result = command.result
            self._prefills.inc({"kind": result.kind.value, "reason": result.reason or ""})
        elif isinstance(command, CancelAtEngine):
            self._cancels.inc({})

    def render(self, report: LoadReport, sessions: int) -> tuple[bytes, str]:
        """Return the metrics in the Prometheus text format, and its content type."""
        for name, gauge in self._gauges.items():
            gauge.set({}, getattr(report, name))
        for state in UpstreamState:
            self._state.set({"state": state.value}, int(state is report.state))
        self._sessions.set({}, sessions)
        body, headers = render(self._registry, ["text/plain"])
        return body, headers["Content-Type"]

    def _counter(self, name: str, description: str) -> Counter:
        return Counter(f"chivehold_sidecar_{name}", description, registry=self._registry)

    def _gauge(self, name: str, description: str) -> Gauge:
        return Gauge(f"chivehold_sidecar_{name}", description, registry=self._registry)
