"""An entry as a process that measures its event loop."""

import json

import pytest

from chivehold.rpc import chivehold_pb2 as pb
from tests.entry.deployed import call_operators, post, start_entry
from tests.processes import Programs


class TestProcess:
    @pytest.mark.parametrize("is_measured", [False, True])
    async def test_metrics_and_dump(self, programs: Programs, is_measured: bool) -> None:
        """Only with the setting, metrics and dump tell what has held the event loop."""
        (platform,) = programs.start("chivehold.fakes.platform").addresses()
        entry = start_entry(programs, "entry-1", platform, loop_monitor=is_measured)
        _, control, operator = entry.addresses()
        metrics = (await post(operator, "/metrics", b"", method="GET")).content
        steps = b'chivehold_loop_longest_step_seconds{task="chivehold.'
        assert (steps in metrics) == is_measured
        dump = await call_operators(control, "Dump", pb.DumpRequest())
        assert (json.loads(dump.json)["loop"] is not None) == is_measured
