"""Orders of a former lease holder, at an engine that would obey them."""

import pytest

from chivehold.core.identity import Role
from chivehold.core.wire import EngineOrder, OrderKind
from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.bridge import RpcFailed
from chivehold.rpc.convert import order_to_proto
from tests.sidecar.rig import Rig, rig

OLD, NEW = 7, 9


async def _read(one: Rig, number: int) -> pb.ReadEngineResponse:
    return await one.decode.rpc("ReadEngine", pb.ReadEngineRequest(fencing_number=number))


async def _models(one: Rig) -> list[str]:
    state = await one.engine_call(one.engines[Role.DECODE].data, "GET", "/state")
    return state["models"]  # type: ignore[no-any-return]


class TestFormerHolder:
    @pytest.mark.parametrize("restarted", [False, True])
    async def test_late_order_never_reaches_the_engine(self, restarted: bool) -> None:
        """It is refused once a successor has read the engine, or the sidecar is another run."""
        async with rig((Role.DECODE,)) as one:
            incarnation = (await _read(one, OLD)).incarnation
            if restarted:
                await one.start_sidecar(Role.DECODE)
            else:
                await _read(one, NEW)
            late = EngineOrder(OLD, "late", OrderKind.LOAD_MODEL, "old", 5.0, incarnation)
            assert (await one.decode.rpc("Order", order_to_proto(late))).result == "stale"
            assert await _models(one) == []

    async def test_reads_nothing(self) -> None:
        """Its reading is refused, and the successor's tells what the engine holds."""
        async with rig((Role.DECODE,)) as one:
            incarnation = (await _read(one, NEW)).incarnation
            order = EngineOrder(NEW, "a", OrderKind.LOAD_MODEL, "m", 5.0, incarnation)
            assert (await one.decode.rpc("Order", order_to_proto(order))).result == "done"
            with pytest.raises(RpcFailed, match="stale"):
                await _read(one, OLD)
            reading = await _read(one, NEW)
            assert (reading.role, list(reading.models)) == ("decode", ["m"])
            assert not reading.order_running
