"""Orders to engines by the holder of the control lease."""

import json
import signal

import trio

from chivehold.core.control_lease import HeldLease
from chivehold.core.declared import Declarations, Deployment, TrafficClass, Upstream
from chivehold.core.identity import Role, Urgency
from chivehold.core.wire import EngineOrder, OrderKind, OrderResult
from chivehold.entry.control import EngineController
from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.channel import RpcChannel
from chivehold.rpc.chivehold_pb2_grpc import SidecarStub
from chivehold.rpc.convert import order_to_proto
from tests.entry.deployed import Deployed, call_operators, post, start_entry
from tests.processes import TOKEN, Programs

TAKEOVER_TIMEOUT_S = 16.0
POLL_S = 0.05
LECTOR = Deployment(
    "lector",
    "m",
    (Upstream("p1", Role.PREFILL, "sjo-a", "192.0.2.1:1", "192.0.2.1:2", 1),),
    (Upstream("d1", Role.DECODE, "sjo-a", "192.0.2.1:3", "192.0.2.1:4", 1),),
    (TrafficClass("hook", Urgency.URGENT, 30.0),),
)


class _FakeLease:
    held: HeldLease | None = HeldLease("control", 7, 4.0)

    def current(self) -> HeldLease | None:
        return self.held


class _FakeEngines:
    """Engines that lack their model; ``before_answer`` runs while one of them is read."""

    def __init__(self, before_answer=lambda: None) -> None:
        self.orders: list[EngineOrder] = []
        self.models: dict[str, list[str]] = {"p1": [], "d1": []}
        self._before_answer = before_answer

    async def read_engine(self, upstream: str, fencing_number: int) -> pb.ReadEngineResponse:
        await trio.sleep(0.1)
        self._before_answer()
        role = "prefill" if upstream == "p1" else "decode"
        return pb.ReadEngineResponse(incarnation="s1", role=role, models=self.models[upstream])

    async def order(self, upstream: str, order: EngineOrder) -> OrderResult:
        self.orders.append(order)
        self.models[upstream].append(order.argument)
        return OrderResult.DONE


async def _run(lease: _FakeLease, engines: _FakeEngines, for_s: float) -> list[EngineOrder]:
    control = EngineController(lease, engines)
    control.update_declarations(Declarations(1, (LECTOR,), ()))
    with trio.move_on_after(for_s):
        await control.run()
    return engines.orders


class TestEngineController:
    async def test_missing_model_is_loaded_once(self, autojump_clock) -> None:
        """Each engine is ordered to load its model once, with the lease's number and time left."""
        orders = await _run(_FakeLease(), _FakeEngines(), 30.0)
        assert [(order.argument, order.fencing_number, order.lease_left_s) for order in orders] == [
            ("m", 7, 4.0)
        ] * 2

    async def test_no_order_after_lease_lapsed(self, autojump_clock) -> None:
        """A holder whose lease lapses after it has read an engine does not send the order."""
        lease = _FakeLease()

        def lapse() -> None:
            lease.held = None

        assert await _run(lease, _FakeEngines(lapse), 30.0) == []


class TestTakeover:
    async def test_frozen_holder_is_replaced_and_its_orders_refused(
        self, deployed: Deployed, programs: Programs
    ) -> None:
        """A successor uses a higher fencing number; late orders of the old holder are refused."""
        await _wait_for_model(deployed, "m")
        old = json.loads((await call_operators(deployed.control, "Dump", pb.DumpRequest())).json)
        old_number = old["control"]["fencing_number"]
        successor = start_entry(programs, "entry-2", deployed.platform)
        _, control, _ = successor.addresses()
        deployed.entry.signal(signal.SIGSTOP)
        with trio.fail_after(TAKEOVER_TIMEOUT_S):
            while not (
                await call_operators(control, "Status", pb.StatusRequest())
            ).control_holder.startswith("entry-2."):
                await trio.sleep(POLL_S)
        await _declare_model(control, "n")
        await _wait_for_model(deployed, "n")
        late = EngineOrder(old_number, "late", OrderKind.LOAD_MODEL, "stale-model", 5.0)
        assert await _send_order(deployed, late) == "stale"
        answered = await post(
            deployed.engines["lector-d1"],
            "/order",
            json.dumps(
                {
                    "fencing_number": old_number,
                    "operation_id": "late",
                    "kind": "load_model",
                    "argument": "stale-model",
                }
            ).encode(),
        )
        assert answered.status == 409
        assert (await _engine_state(deployed))["models"] == ["m", "n"]


async def _wait_for_model(deployed: Deployed, model: str) -> None:
    with trio.fail_after(TAKEOVER_TIMEOUT_S):
        while model not in (await _engine_state(deployed))["models"]:
            await trio.sleep(POLL_S)


async def _engine_state(deployed: Deployed):
    address = deployed.engines["lector-d1"]
    return json.loads((await post(address, "/state", b"", method="GET")).content)


async def _declare_model(control: str, model: str) -> None:
    response = await call_operators(control, "Get", pb.GetRequest(name="lector"))
    declaration = response.declarations[0].declaration
    declaration.deployment.model = model
    request = pb.ApplyRequest(declarations=[declaration], operation_id="change-model")
    answer = await call_operators(control, "Apply", request)
    assert [change.kind for change in answer.changes] == [pb.CHANGE_KIND_UPDATED], answer


async def _send_order(deployed: Deployed, order: EngineOrder) -> str:
    channel = RpcChannel(deployed.upstreams["lector-d1"].control_address, TOKEN)
    try:
        stub = SidecarStub(channel.grpc_channel)
        return (await channel.call(stub.Order, order_to_proto(order), 5)).result
    finally:
        channel.close()
