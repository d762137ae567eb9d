from typing import Any

import grpc
import pytest

from chivehold.core.declared import Deployment
from chivehold.core.identity import KeyId, RequestId, Role
from chivehold.core.wire import EngineOrder, KeyCommit, KeyRegistration, OrderKind
from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.convert import commit_to_proto, order_to_proto, registration_to_proto
from chivehold.rpc.convert_declarations import declaration_to_proto
from chivehold.rpc.errors import RpcFailed
from tests.sidecar.rig import ENTRY, TOKEN, SidecarClient, start_rig, wait_until

KEY = KeyId("bruma", "lector", "key")


def stored_declaration(version: int, floor: float) -> pb.StoredDeclaration:
    spec = Deployment("lector", "m", (), (), (), patient_floor=floor)
    return pb.StoredDeclaration(declaration=declaration_to_proto(spec), uid="u", version=version)


def push_request(version: int, floor: float, after: int = 0) -> pb.PushDeclarationsRequest:
    return pb.PushDeclarationsRequest(
        declarations=[stored_declaration(version, floor)], revision=version, after_revision=after
    )


class TestDeclarations:
    async def test_newest_version_is_kept_and_pulled(self) -> None:
        """A newer declaration takes effect and can be pulled; an older one changes nothing."""
        async with start_rig((Role.DECODE,)) as rig:
            for version, floor in ((5, 0.5), (3, 0.25)):
                answer = await rig.decode.rpc("PushDeclarations", push_request(version, floor))
                assert answer.revision == 5
            pulled = await rig.decode.rpc("PullDeclarations", pb.PullDeclarationsRequest())
            assert [stored.version for stored in pulled.declarations] == [5]
            assert (await rig.decode.heartbeat()).revision == 5
            assert (await rig.decode.dump())["core"]["patient_floor_places"] == 2

    async def test_push_with_an_invalid_declaration_is_refused_whole(self) -> None:
        """A push with one invalid declaration is refused, and none of the others takes effect."""
        async with start_rig((Role.DECODE,)) as rig:
            request = push_request(5, 0.5)
            bad = pb.Declaration(name="neither-deployment-nor-service")
            request.declarations.append(pb.StoredDeclaration(declaration=bad, version=4))
            with pytest.raises(RpcFailed) as caught:
                await rig.decode.rpc("PushDeclarations", request)
            assert caught.value.code is grpc.StatusCode.INVALID_ARGUMENT
            assert (await rig.decode.heartbeat()).revision == 0


class TestKeys:
    async def test_key_is_committed_once(self) -> None:
        """One request registers and commits a key; another is refused before and after that."""
        async with start_rig((Role.DECODE,)) as rig:

            async def register(request: str) -> str:
                registration = KeyRegistration(KEY, RequestId(request), ENTRY, -2.0)
                message = registration_to_proto(registration)
                return (await rig.decode.rpc("RegisterKey", message)).decision  # type: ignore[no-any-return]

            async def commit(request: str, release: bool = False) -> bool:
                key_commit = KeyCommit(KEY, RequestId(request), ENTRY)
                message = commit_to_proto(key_commit, release)
                return (await rig.decode.rpc("CommitKey", message)).committed  # type: ignore[no-any-return]

            assert [await register("a"), await register("b")] == ["fresh", "in_progress"]
            await commit("a", release=True)
            assert await register("b") == "fresh"
            assert [await commit("a"), await commit("b")] == [False, True]
            assert await register("c") == "already_answered"

    async def test_shutdown_waits_for_registered_keys(self) -> None:
        """A shutdown accepts no new key, and ends once the registered keys are settled."""
        async with start_rig((Role.DECODE,)) as rig:
            registration = KeyRegistration(KEY, RequestId("a"), ENTRY, -2.0)
            await rig.decode.rpc("RegisterKey", registration_to_proto(registration))
            rig.shutdown[Role.DECODE].set()
            other = registration._replace(key=KEY._replace(key="other"))

            async def refused() -> bool:
                answer = await rig.decode.rpc("RegisterKey", registration_to_proto(other))
                return answer.decision == "unreachable"  # type: ignore[no-any-return]

            await wait_until(refused)
            commit = commit_to_proto(KeyCommit(KEY, RequestId("a"), ENTRY))
            release = commit_to_proto(KeyCommit(other.key, RequestId("a"), ENTRY), release=True)
            assert (await rig.decode.rpc("CommitKey", commit)).committed
            await rig.decode.rpc("CommitKey", release)

            async def ended() -> bool:
                return rig.ended[Role.DECODE].is_set()

            await wait_until(ended)


class TestOrders:
    async def test_only_the_newest_fencing_number_reaches_the_engine(self) -> None:
        """An order runs once; one with a lower fencing number never reaches the engine."""
        async with start_rig((Role.DECODE,)) as rig:

            async def order(number: int, operation: str, model: str) -> str:
                engine_order = EngineOrder(number, operation, OrderKind.LOAD_MODEL, model, 5.0)
                return (await rig.decode.rpc("Order", order_to_proto(engine_order))).result  # type: ignore[no-any-return]

            assert await order(7, "a", "m") == "done"
            assert await order(6, "b", "old") == "stale"
            assert await order(7, "a", "m") == "done"
            state: Any = await rig.call_upstream(rig.engines[Role.DECODE].data, "GET", "/state")
            assert state["models"] == ["m"]


class TestAccess:
    async def test_invalid_calls_are_refused_with_a_status_code(self) -> None:
        """A call with a wrong token or a malformed message is refused with a status code."""
        async with start_rig((Role.DECODE,)) as rig:
            unauthorised = SidecarClient(rig.decode.addresses, rig.client, TOKEN + "x")
            cases = [
                (unauthorised, "Dump", pb.DumpRequest(), grpc.StatusCode.UNAUTHENTICATED),
                (rig.decode, "Heartbeat", pb.HeartbeatRequest(), grpc.StatusCode.INVALID_ARGUMENT),
                (rig.decode, "Order", pb.OrderRequest(), grpc.StatusCode.INVALID_ARGUMENT),
            ]
            for peer, method, message, code in cases:
                with pytest.raises(RpcFailed) as caught:
                    await peer.rpc(method, message)
                assert caught.value.code is code
            unauthorised.close()

    async def test_operator_drain(self) -> None:
        """A drain makes the sidecar unready and returns the number of attempts in progress."""
        async with start_rig((Role.DECODE,)) as rig:
            answer = await rig.decode.rpc("Drain", pb.DrainRequest())
            assert (answer.state, answer.in_progress) == ("leaving", 0)
            assert (await rig.decode.operator("/readyz")).status == 503
