"""An upstream still serves after overlapping faults."""

from pathlib import Path

import pytest
import trio

from tests.soak.faults import FaultInjector
from tests.soak.link import LOOPBACK
from tests.soak.plan import Fault, FaultKind, Plan
from tests.soak.world import World

ENGINE = "decode-1"


LEAVE = Fault(FaultKind.LEAVE, 0.0, ENGINE, for_s=0.5)
CRASH = Fault(FaultKind.CRASH, 0.5, ENGINE, for_s=0.2, gap_s=0.05)


@pytest.mark.parametrize(
    "faults",
    [
        (CRASH, CRASH),
        (LEAVE, CRASH._replace(at_s=3.9)),
        (LEAVE, CRASH._replace(at_s=4.2, times=3)),
    ],
)
async def test_upstream_serves_after_overlapping_faults(
    tmp_path: Path, faults: tuple[Fault, ...]
) -> None:
    """A crash or leave must not end an upstream that another fault is restarting.

    Found by seed 301 with 30 entries and 30 faults.
    """
    plan = Plan(301, (), 6.0, faults)
    async with trio.open_nursery() as nursery:
        world = World(plan, tmp_path, nursery)
        await world.start()
        with trio.fail_after(15.0):
            await FaultInjector(world).inject_all(plan)
        assert not world.leaving
        assert world.store.spec("servers", ENGINE)["state"] == "ready"
        port = int(world.upstreams[ENGINE].link.address.rpartition(":")[2])
        stream = await trio.open_tcp_stream(LOOPBACK, port)
        await stream.send_all(b"GET /v1/report HTTP/1.1\r\nhost: a\r\n\r\n")
        with trio.fail_after(2.0):
            assert (await stream.receive_some()).startswith(b"HTTP/1.1 200")
        nursery.cancel_scope.cancel()
