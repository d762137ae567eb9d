"""Prometheus metrics of the event loop."""

from aioprometheus.collectors import Gauge, Registry

from chivehold.loop_monitor import LoopMonitor


class LoopMetrics:
    """Gauges of the longest times since the start; without values while nothing is measured.

    Args:
        registry: Gets the gauges.
    """

    def __init__(self, registry: Registry) -> None:
        self._steps = Gauge(
            "chivehold_loop_longest_step_seconds",
            "Longest time that a task held the event loop in one step, by its root function.",
            None,
            registry,
        )
        self._delays = Gauge(
            "chivehold_loop_longest_delay_seconds",
            "Longest delay of the event loop, by kind.",
            None,
            registry,
        )

    def update(self, monitor: LoopMonitor | None) -> None:
        """Set the gauges to what a monitor has measured, if there is one."""
        if monitor is None:
            return
        for kind, peak in monitor.steps.items():
            self._steps.set({"task": kind}, peak.seconds)
        for delay, peak in monitor.delays.items():
            self._delays.set({"delay": str(delay)}, peak.seconds)
