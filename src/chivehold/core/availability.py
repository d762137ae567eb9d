"""Whether an upstream accepts new work."""

from chivehold.core.sidecar_messages import EngineStatus
from chivehold.core.wire import Reason, UpstreamState

UNREACHABLE_REPORTS_UNTIL_DOWN = 2
"""Consecutive reports of an unreachable engine after which the upstream counts as down."""


class Availability:
    """Derives the upstream's state from the engine's status reports and requests to drain."""

    def __init__(self) -> None:
        self._has_status = False
        self._unreachable_reports = 0
        self._draining = False
        self._engine_leaving = False

    @property
    def has_status(self) -> bool:
        """Whether the engine has ever reported its status."""
        return self._has_status

    @property
    def state(self) -> UpstreamState:
        """The state reported to entries."""
        if not self._has_status or self._unreachable_reports >= UNREACHABLE_REPORTS_UNTIL_DOWN:
            return UpstreamState.DOWN
        if self._draining or self._engine_leaving:
            return UpstreamState.LEAVING
        return UpstreamState.READY

    @property
    def refusal(self) -> Reason | None:
        """Why new work is refused at once, or ``None``.

        An engine that has not reported yet is no reason; new work waits for its first report.
        """
        if self._unreachable_reports >= UNREACHABLE_REPORTS_UNTIL_DOWN:
            return Reason.ENGINE_FAILED
        if self._draining or self._engine_leaving:
            return Reason.LEAVING
        return None

    def drain(self) -> None:
        """Accept no new work from now on; this cannot be undone."""
        self._draining = True

    def observe(self, status: EngineStatus) -> None:
        """Process a status report of the engine."""
        if not status.reachable:
            self._unreachable_reports += 1
            return
        self._unreachable_reports = 0
        self._has_status = True
        self._engine_leaving = status.leaving
