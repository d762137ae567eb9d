"""Orders of a former lease holder, which the engine itself would accept."""

import pytest

from chivehold.core.identity import Role
from chivehold.core.wire import EngineOrder, OrderKind
from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.convert import order_to_proto
from chivehold.rpc.errors import RpcFailed
from tests.sidecar.rig import Rig, start_rig

OLD_FENCING_NUMBER, NEW_FENCING_NUMBER = 7, 9


async def _read_engine(rig: Rig, fencing_number: int) -> pb.ReadEngineResponse:
    return await rig.decode.rpc("ReadEngine", pb.ReadEngineRequest(fencing_number=fencing_number))


async def _models(rig: Rig) -> list[str]:
    state = await rig.call_upstream(rig.engines[Role.DECODE].data, "GET", "/state")
    return state["models"]  # type: ignore[no-any-return]


class TestFormerHolder:
    @pytest.mark.parametrize("restarted", [False, True])
    async def test_late_order_never_reaches_the_engine(self, restarted: bool) -> None:
        """A late order is refused after a successor read the engine or the sidecar restarted."""
        async with start_rig((Role.DECODE,)) as rig:
            incarnation = (await _read_engine(rig, OLD_FENCING_NUMBER)).incarnation
            if restarted:
                await rig.start_sidecar(Role.DECODE)
            else:
                await _read_engine(rig, NEW_FENCING_NUMBER)
            late = EngineOrder(
                OLD_FENCING_NUMBER, "late", OrderKind.LOAD_MODEL, "old", 5.0, incarnation
            )
            assert (await rig.decode.rpc("Order", order_to_proto(late))).result == "stale"
            assert await _models(rig) == []

    async def test_former_holder_cannot_read_the_engine(self) -> None:
        """A former holder's read is refused; the successor's returns what the engine has loaded."""
        async with start_rig((Role.DECODE,)) as rig:
            incarnation = (await _read_engine(rig, NEW_FENCING_NUMBER)).incarnation
            order = EngineOrder(
                NEW_FENCING_NUMBER, "a", OrderKind.LOAD_MODEL, "m", 5.0, incarnation
            )
            assert (await rig.decode.rpc("Order", order_to_proto(order))).result == "done"
            with pytest.raises(RpcFailed, match="stale"):
                await _read_engine(rig, OLD_FENCING_NUMBER)
            reading = await _read_engine(rig, NEW_FENCING_NUMBER)
            assert (reading.role, list(reading.models)) == ("decode", ["m"])
            assert not reading.order_running
