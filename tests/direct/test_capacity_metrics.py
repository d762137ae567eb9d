"""Capacity of upstreams in the metrics: three speeds, evenness, and a bounded number of labels."""

from chivehold.core.direct.upstream_capacity import UpstreamCapacity, unevenness
from chivehold.direct.metrics import MAX_UPSTREAM_LABELS, DirectMetrics
from tests.core.direct.factories import upstream

CAPACITY = UpstreamCapacity(2.4, 1.0, 3.0, 0.1, None)


def render(metrics: DirectMetrics) -> str:
    return metrics.render(["text/plain"], 0, 1, False, 0).body.decode()


class TestCapacities:
    def test_are_shown_by_upstream(self) -> None:
        """An operator sees which upstream is slow, and loses sight of one that is gone."""
        metrics = DirectMetrics()
        metrics.set_capacities([(upstream("x"), CAPACITY), (upstream("y"), CAPACITY)])
        assert 'upstream="x"' in render(metrics) and "chivehold_unevenness" in render(metrics)
        metrics.set_capacities([(upstream("y"), CAPACITY)])
        assert 'upstream="x"' not in render(metrics)

    def test_labels_are_bounded(self) -> None:
        """A deployment with hundreds of upstreams doesn't grow the metrics without limit."""
        metrics = DirectMetrics()
        metrics.set_capacities((upstream(f"u{number}"), CAPACITY) for number in range(300))
        assert render(metrics).count('figure="slowness"') == MAX_UPSTREAM_LABELS


class TestUnevenness:
    def test_figure(self) -> None:
        """Equal work is 0, all work at one of four upstreams is well above 1."""
        assert unevenness([3.0] * 4) == 0.0
        assert unevenness([8.0, 0.0, 0.0, 0.0]) > 1.5
        assert unevenness([]) == unevenness([0.0, 0.0]) == 0.0
