from typing import Any

import grpc
import pytest

from chivehold.core.declared import Deployment
from chivehold.core.identity import KeyId, RequestId, Role
from chivehold.core.wire import EngineOrder, KeyCommit, KeyRegistration, OrderKind
from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.bridge import RpcFailed
from chivehold.rpc.convert import commit_to_proto, order_to_proto, registration_to_proto
from chivehold.rpc.convert_declarations import declaration_to_proto
from tests.sidecar.rig import ENTRY, TOKEN, SidecarPeer, rig, until

KEY = KeyId("bruma", "lector", "key")


def stored(version: int, floor: float) -> pb.StoredDeclaration:
    spec = Deployment("lector", "m", (), (), (), patient_floor=floor)
    return pb.StoredDeclaration(declaration=declaration_to_proto(spec), uid="u", version=version)


def push(version: int, floor: float, after: int = 0) -> pb.PushDeclarationsRequest:
    return pb.PushDeclarationsRequest(
        declarations=[stored(version, floor)], revision=version, after_revision=after
    )


class TestDeclarations:
    async def test_newest_is_kept_and_handed_on(self) -> None:
        """A newer declaration is in force and handed on; an older one changes nothing."""
        async with rig((Role.DECODE,)) as one:
            for version, floor in ((5, 0.5), (3, 0.25)):
                answer = await one.decode.rpc("PushDeclarations", push(version, floor))
                assert answer.revision == 5
            pulled = await one.decode.rpc("PullDeclarations", pb.PullDeclarationsRequest())
            assert [held.version for held in pulled.declarations] == [5]
            assert (await one.decode.heartbeat()).revision == 5
            assert (await one.decode.dump())["core"]["patient_floor_places"] == 2

    async def test_unreadable_one_is_refused_whole(self) -> None:
        """A push with a declaration without meaning is refused, and none of it is in force."""
        async with rig((Role.DECODE,)) as one:
            request = push(5, 0.5)
            bad = pb.Declaration(name="neither-deployment-nor-service")
            request.declarations.append(pb.StoredDeclaration(declaration=bad, version=4))
            with pytest.raises(RpcFailed) as caught:
                await one.decode.rpc("PushDeclarations", request)
            assert caught.value.code is grpc.StatusCode.INVALID_ARGUMENT
            assert (await one.decode.heartbeat()).revision == 0


class TestKeys:
    async def test_key_is_answered_once(self) -> None:
        """One request registers and commits a key; another is told so before and after."""
        async with rig((Role.DECODE,)) as one:

            async def register(request: str) -> str:
                registration = KeyRegistration(KEY, RequestId(request), ENTRY, -2.0)
                message = registration_to_proto(registration)
                return (await one.decode.rpc("RegisterKey", message)).decision  # type: ignore[no-any-return]

            async def commit(request: str, release: bool = False) -> bool:
                end = KeyCommit(KEY, RequestId(request), ENTRY)
                message = commit_to_proto(end, release)
                return (await one.decode.rpc("CommitKey", message)).committed  # type: ignore[no-any-return]

            assert [await register("a"), await register("b")] == ["fresh", "in_progress"]
            await commit("a", release=True)
            assert await register("b") == "fresh"
            assert [await commit("a"), await commit("b")] == [False, True]
            assert await register("c") == "already_answered"

    async def test_departing_home_waits_for_its_keys(self) -> None:
        """A shutdown lets a registered key be committed, takes no new one, and then ends."""
        async with rig((Role.DECODE,)) as one:
            registration = KeyRegistration(KEY, RequestId("a"), ENTRY, -2.0)
            await one.decode.rpc("RegisterKey", registration_to_proto(registration))
            one.shutdown[Role.DECODE].set()
            other = registration._replace(key=KEY._replace(key="other"))

            async def refused() -> bool:
                answer = await one.decode.rpc("RegisterKey", registration_to_proto(other))
                return answer.decision == "unreachable"  # type: ignore[no-any-return]

            await until(refused)
            commit = commit_to_proto(KeyCommit(KEY, RequestId("a"), ENTRY))
            release = commit_to_proto(KeyCommit(other.key, RequestId("a"), ENTRY), release=True)
            assert (await one.decode.rpc("CommitKey", commit)).committed
            await one.decode.rpc("CommitKey", release)

            async def ended() -> bool:
                return one.ended[Role.DECODE].is_set()

            await until(ended)


class TestOrders:
    async def test_reach_the_engine_under_the_newest_number_only(self) -> None:
        """An order is carried out once; one with an older number never reaches the engine."""
        async with rig((Role.DECODE,)) as one:

            async def order(number: int, operation: str, model: str) -> str:
                asked = EngineOrder(number, operation, OrderKind.LOAD_MODEL, model, 5.0)
                return (await one.decode.rpc("Order", order_to_proto(asked))).result  # type: ignore[no-any-return]

            assert await order(7, "a", "m") == "done"
            assert await order(6, "b", "old") == "stale"
            assert await order(7, "a", "m") == "done"
            state: Any = await one.engine_call(one.engines[Role.DECODE].data, "GET", "/state")
            assert state["models"] == ["m"]


class TestAccess:
    async def test_wrong_token_and_malformed_messages(self) -> None:
        """A call without the token, or without meaning, is refused with its code."""
        async with rig((Role.DECODE,)) as one:
            stranger = SidecarPeer(one.decode.addresses, one.client, TOKEN + "x")
            cases = [
                (stranger, "Dump", pb.DumpRequest(), grpc.StatusCode.UNAUTHENTICATED),
                (one.decode, "Heartbeat", pb.HeartbeatRequest(), grpc.StatusCode.INVALID_ARGUMENT),
                (one.decode, "Order", pb.OrderRequest(), grpc.StatusCode.INVALID_ARGUMENT),
            ]
            for peer, method, message, code in cases:
                with pytest.raises(RpcFailed) as caught:
                    await peer.rpc(method, message)
                assert caught.value.code is code
            stranger.close()

    async def test_drain_by_an_operator(self) -> None:
        """A drain refuses new work and tells how much is left."""
        async with rig((Role.DECODE,)) as one:
            answer = await one.decode.rpc("Drain", pb.DrainRequest())
            assert (answer.state, answer.in_progress) == ("leaving", 0)
            assert (await one.decode.operator("/readyz")).status == 503
