"""Capacity of upstreams in the metrics: three speeds, evenness, and a bounded number of labels."""

from pathlib import Path

from chivehold.core.direct.upstream_capacity import UpstreamCapacity, unevenness
from chivehold.direct.metrics import MAX_UPSTREAM_LABELS, DirectMetrics
from chivehold.fakes.platform_upstream import PlainUpstream
from tests.core.direct.factories import upstream
from tests.direct.harness import running_entry, wait_until

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


class TestReports:
    async def test_are_in_the_dump(self, tmp_path: Path) -> None:
        """What an upstream reports is shown; what cannot be parsed is counted and is no error."""
        async with running_entry(tmp_path) as harness:
            reporting = PlainUpstream("u1")
            await harness.add_upstream(reporting, "plain")
            await wait_until(lambda: len(harness.entry.dump()["upstreams"]) == 1)
            reporting.response_headers = [("x-chivehold-server-load", "9,3,6,250")]
            assert (await harness.call("/get/x")).status == 200
            (shown,) = harness.entry.dump()["upstreams"]
            assert shown["slowness"] > 1.5 and shown["in_progress"] > 8
            reporting.response_headers = [("x-chivehold-server-load", "many")]
            assert (await harness.call("/get/x", "r2")).status == 200
            assert b'signal="unreadable load"' in await harness.metrics()


class TestUnevenness:
    def test_figure(self) -> None:
        """Equal work is 0, all work at one of four upstreams is well above 1."""
        assert unevenness([3.0] * 4) == 0.0
        assert unevenness([8.0, 0.0, 0.0, 0.0]) > 1.5
        assert unevenness([]) == unevenness([0.0, 0.0]) == 0.0
