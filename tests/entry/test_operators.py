"""The operators' service of an entry over gRPC, without sidecars."""

import json
from random import Random

import grpc
import pytest
import trio

from chivehold.core.declarations import DeclarationReplica
from chivehold.entry.operators import MAX_WATCHERS, EntryNode, OperatorsService
from chivehold.entry.sidecar_calls import SidecarCalls
from chivehold.fakes.object_store import MemoryObjectStore
from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.channel import RpcChannel
from chivehold.rpc.chivehold_pb2_grpc import OperatorsStub, add_OperatorsServicer_to_server
from chivehold.rpc.convert_declarations import declaration_to_proto
from chivehold.rpc.errors import RpcFailed
from chivehold.rpc.server import serve_rpc
from chivehold.store.declaration_sync import DeclarationSync
from tests.core.declared_examples import service
from tests.processes import TOKEN


class NoRequests:
    in_progress = 0


class NoUpstreams:
    def report(self, upstream):
        return None

    def heard_ago_s(self, upstream):
        return None


@pytest.fixture
async def call():
    drained = []
    replica = DeclarationReplica()
    store, rng = MemoryObjectStore(), Random(1)
    sync = DeclarationSync(store, replica, None, lambda declarations: None, lambda: False, rng)
    node = EntryNode(
        "entry-1",
        "sjo-a",
        "entry-1.x",
        lambda: bool(drained),
        lambda: drained.append(1),
        lambda: "",
        lambda: {"name": "entry-1"},
    )
    calls = SidecarCalls({}.get, TOKEN)
    operators = OperatorsService(node, replica, sync, NoRequests(), NoUpstreams(), calls)

    def add(server):
        add_OperatorsServicer_to_server(operators, server)

    async with serve_rpc("127.0.0.1:0", [add], TOKEN) as address:
        channel = RpcChannel(address, TOKEN)

        async def call(method, request, timeout_s=5):
            stub = OperatorsStub(channel.grpc_channel)
            return await channel.call(getattr(stub, method), request, timeout_s)

        yield call
        channel.close()


def _apply(*specs, operation_id="op-1", **fields):
    messages = map(declaration_to_proto, specs)
    return pb.ApplyRequest(declarations=messages, operation_id=operation_id, **fields)


class TestOperators:
    async def test_apply_get_watch_status(self, call) -> None:
        """Applied declarations can be read back, wake a watch and show in the status."""
        woken = []
        async with trio.open_nursery() as nursery:

            async def watch():
                woken.append(await call("Watch", pb.WatchRequest(wait_s=5)))

            nursery.start_soon(watch)
            applied = await call("Apply", _apply(service()))
        assert [change.kind for change in applied.changes] == [pb.CHANGE_KIND_CREATED]
        response = await call("Get", pb.GetRequest(name="forja"))
        assert response.declarations[0].declaration == declaration_to_proto(service())
        assert [stored.declaration.name for stored in woken[0].declarations] == ["forja"]
        again = await call("Apply", _apply(service(), operation_id="op-2"))
        assert [change.kind for change in again.changes] == [pb.CHANGE_KIND_UNCHANGED]
        status = await call("Status", pb.StatusRequest())
        assert [(node.kind, node.state) for node in status.nodes] == [
            ("entry", "ready"),
            ("sidecar", "down"),
        ]

    async def test_drain_and_dump(self, call) -> None:
        """A drain of the entry shows in its status at once; its dump is JSON."""
        assert (await call("Drain", pb.DrainRequest())).state == "leaving"
        assert (await call("Status", pb.StatusRequest())).nodes[0].state == "leaving"
        dump = await call("Dump", pb.DumpRequest())
        assert json.loads(dump.json)["name"] == "entry-1"

    @pytest.mark.parametrize(
        ("method", "request_", "code"),
        [
            ("Apply", _apply(service(), operation_id=""), grpc.StatusCode.INVALID_ARGUMENT),
            ("Apply", _apply(service(), operation_id="x" * 200), grpc.StatusCode.INVALID_ARGUMENT),
            (
                "Apply",
                pb.ApplyRequest(declarations=[pb.Declaration(name="a")], operation_id="o"),
                grpc.StatusCode.INVALID_ARGUMENT,
            ),
            (
                "Apply",
                pb.ApplyRequest(delete_names=["a"] * 1001, operation_id="o"),
                grpc.StatusCode.INVALID_ARGUMENT,
            ),
            ("Drain", pb.DrainRequest(upstream="none"), grpc.StatusCode.NOT_FOUND),
            ("Dump", pb.DumpRequest(upstream="none"), grpc.StatusCode.NOT_FOUND),
        ],
    )
    async def test_invalid_requests_are_refused(self, call, method, request_, code) -> None:
        """An invalid request gets a status code and changes nothing."""
        with pytest.raises(RpcFailed) as caught:
            await call(method, request_)
        assert caught.value.code is code
        assert len((await call("Get", pb.GetRequest())).declarations) == 0

    async def test_watchers_are_bounded(self, call) -> None:
        """A call of Watch beyond the limit is refused, and the others keep waiting."""
        codes = []
        async with trio.open_nursery() as nursery:

            async def watch():
                try:
                    await call("Watch", pb.WatchRequest(wait_s=0.5))
                except RpcFailed as error:
                    codes.append(error.code)

            for _ in range(MAX_WATCHERS + 1):
                nursery.start_soon(watch)
        assert codes == [grpc.StatusCode.RESOURCE_EXHAUSTED]
