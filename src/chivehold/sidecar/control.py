"""The gRPC interface of a sidecar for entries and operators."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, TypeVar

import grpc
import msgspec

from chivehold.core.sidecar import SidecarCore
from chivehold.core.sidecar_messages import (
    DrainStarted,
    EngineReadArrived,
    HeartbeatArrived,
    KeyCommitArrived,
    KeyRegisterArrived,
    KeyReleaseArrived,
    OrderArrived,
    RevokeArrived,
)
from chivehold.core.wire import KeyDecision
from chivehold.exceptions import Malformed
from chivehold.http_client import LinkError
from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.chivehold_pb2_grpc import SidecarServicer
from chivehold.rpc.convert import (
    commit_from_proto,
    decision_to_proto,
    heartbeat_from_proto,
    load_report_to_proto,
    order_from_proto,
    order_result_to_proto,
    registration_from_proto,
    revocation_from_proto,
    revoke_result_to_proto,
)
from chivehold.rpc.errors import RpcRefused
from chivehold.sidecar.declarations import SidecarDeclarations
from chivehold.sidecar.driver import SidecarDriver
from chivehold.sidecar.engine_api import EngineState

MessageT = TypeVar("MessageT")
ValueT = TypeVar("ValueT")


class SidecarControl(SidecarServicer):
    """The gRPC servicer that answers entries and operators.

    Args:
        core: Read for the dump; events are fed only through the driver.
        driver: Feeds events to the core.
        declarations: The declarations stored with this sidecar.
        process_state: Returns the part of the dump that the core does not know.
        read_engine_state: Reads the engine's role, models and adapters; ``None`` beside a plain
            service.
    """

    def __init__(
        self,
        core: SidecarCore,
        driver: SidecarDriver,
        declarations: SidecarDeclarations,
        process_state: Callable[[], Mapping[str, Any]],
        read_engine_state: Callable[[], Awaitable[EngineState]] | None = None,
    ) -> None:
        self._read_engine_state = read_engine_state
        self._core = core
        self._driver = driver
        self._declarations = declarations
        self._process_state = process_state
        self.accepts_keys = True
        """Whether new keys may be registered; registered keys may be committed in any case."""

    async def Heartbeat(  # noqa: N802
        self, request: pb.HeartbeatRequest, context: Any
    ) -> pb.HeartbeatResponse:
        """Renew an entry's lease and return the load report."""
        heartbeat = _convert(heartbeat_from_proto, request)
        report = await self._driver.feed_and_wait(lambda reply: HeartbeatArrived(reply, heartbeat))
        return load_report_to_proto(report)

    async def Revoke(  # noqa: N802
        self, request: pb.RevokeRequest, context: Any
    ) -> pb.RevokeResponse:
        """Revoke an attempt, so that it does not start."""
        revocation = _convert(revocation_from_proto, request)
        result = await self._driver.feed_and_wait(lambda reply: RevokeArrived(reply, *revocation))
        return revoke_result_to_proto(result)

    async def RegisterKey(  # noqa: N802
        self, request: pb.RegisterKeyRequest, context: Any
    ) -> pb.RegisterKeyResponse:
        """Decide whether a request may run under its idempotency key."""
        registration = _convert(registration_from_proto, request)
        if not self.accepts_keys:
            return decision_to_proto(KeyDecision.UNREACHABLE)
        decision = await self._driver.feed_and_wait(
            lambda reply: KeyRegisterArrived(reply, registration)
        )
        return decision_to_proto(decision)

    async def CommitKey(  # noqa: N802
        self, request: pb.CommitKeyRequest, context: Any
    ) -> pb.CommitKeyResponse:
        """Commit a key, or release it."""
        commit, release = _convert(commit_from_proto, request)
        if release:
            self._driver.feed(KeyReleaseArrived(commit))
            return pb.CommitKeyResponse(committed=False)
        committed = await self._driver.feed_and_wait(lambda reply: KeyCommitArrived(reply, commit))
        return pb.CommitKeyResponse(committed=committed)

    async def Order(self, request: pb.OrderRequest, context: Any) -> pb.OrderResponse:  # noqa: N802
        """Forward an order to the engine."""
        order = _convert(order_from_proto, request)
        result = await self._driver.feed_and_wait(lambda reply: OrderArrived(reply, order))
        return order_result_to_proto(result)

    async def ReadEngine(  # noqa: N802
        self, request: pb.ReadEngineRequest, context: Any
    ) -> pb.ReadEngineResponse:
        """Return the engine's role, models and adapters.

        They are read after the core has recorded the fencing number, so that no order with a lower
        number can start afterwards.
        """
        if self._read_engine_state is None:
            raise RpcRefused(grpc.StatusCode.FAILED_PRECONDITION, "a plain service takes no orders")
        permission = await self._driver.feed_and_wait(
            lambda reply: EngineReadArrived(reply, request.fencing_number)
        )
        if not permission.newest:
            raise RpcRefused(grpc.StatusCode.FAILED_PRECONDITION, "the fencing number is stale")
        try:
            state = await self._read_engine_state()
        except LinkError as error:
            raise RpcRefused(grpc.StatusCode.UNAVAILABLE, str(error)) from error
        return pb.ReadEngineResponse(
            incarnation=self._core.config.incarnation,
            role=state["role"],
            models=state["models"],
            adapters=state["adapters"],
            order_running=permission.order_running,
        )

    async def PushDeclarations(  # noqa: N802
        self, request: pb.PushDeclarationsRequest, context: Any
    ) -> pb.PushDeclarationsResponse:
        """Store newer declarations."""
        return _convert(self._declarations.push, request)

    async def PullDeclarations(  # noqa: N802
        self, request: pb.PullDeclarationsRequest, context: Any
    ) -> pb.PullDeclarationsResponse:
        """Return the declarations that changed after a revision."""
        context.set_compression(grpc.Compression.Gzip)
        return self._declarations.pull(request)

    async def Drain(self, request: pb.DrainRequest, context: Any) -> pb.DrainResponse:  # noqa: N802
        """Refuse new work from now on and return the number of attempts in progress."""
        self._driver.feed(DrainStarted())
        in_progress = len(self._core.dump()["attempts"])
        state = self._core.availability.state
        return pb.DrainResponse(state=state, in_progress=in_progress)

    async def Dump(self, request: pb.DumpRequest, context: Any) -> pb.DumpResponse:  # noqa: N802
        """Return the state of the process and of its core as one JSON object."""
        state = {**self._process_state(), "core": self._core.dump()}
        return pb.DumpResponse(json=msgspec.json.encode(state).decode())


def _convert(convert: Callable[[MessageT], ValueT], message: MessageT) -> ValueT:
    try:
        return convert(message)
    except Malformed as error:
        detail = f"{error.step}: {error.detail}"
        raise RpcRefused(grpc.StatusCode.INVALID_ARGUMENT, detail) from error
