"""Calls sidecars over gRPC: heartbeats, revocations, keys, engine orders, drains and dumps."""

import grpc
import trio

from chivehold.core.identity import AttemptId, SidecarIncarnation, UpstreamName
from chivehold.core.wire import (
    EngineOrder,
    Heartbeat,
    KeyCommit,
    KeyDecision,
    KeyRegistration,
    LoadReport,
    OrderResult,
    RevokeResult,
)
from chivehold.entry.attempts import FindUpstream
from chivehold.exceptions import Malformed
from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.channel import RpcChannel
from chivehold.rpc.chivehold_pb2_grpc import SidecarStub
from chivehold.rpc.convert import (
    Revocation,
    commit_to_proto,
    decision_from_proto,
    heartbeat_to_proto,
    load_report_from_proto,
    order_result_from_proto,
    order_to_proto,
    registration_to_proto,
    revocation_to_proto,
    revoke_result_from_proto,
)
from chivehold.rpc.errors import RpcFailed

CALL_TIMEOUT_S = 0.5
REVOKE_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.05
MAX_KEY_TRIES = 2
OPERATOR_CALL_TIMEOUT_S = 5.0
READ_ENGINE_TIMEOUT_S = 2.0


class SidecarCalls:
    """Calls sidecars over gRPC channels, which are opened on first use.

    A sidecar is identified by the name of its upstream, or by its ``host:port`` while the upstream
    is not declared.

    Args:
        find_upstream: Returns the declaration of an upstream, or ``None`` if there is none.
        token: The shared token.
    """

    def __init__(self, find_upstream: FindUpstream, token: str) -> None:
        self._find_upstream = find_upstream
        self._token = token
        self._connections: dict[str, tuple[RpcChannel, SidecarStub]] = {}

    async def heartbeat(
        self, upstream: UpstreamName, heartbeat: Heartbeat, timeout_s: float
    ) -> LoadReport:
        """Renew this entry's lease and return the upstream's load.

        Raises:
            RpcFailed: The sidecar did not answer.
            Malformed: The answer is invalid.
        """
        channel, stub = self._connection(upstream)
        message = heartbeat_to_proto(heartbeat)
        return load_report_from_proto(await channel.call(stub.Heartbeat, message, timeout_s))

    async def revoke(
        self, upstream: UpstreamName, attempt: AttemptId, incarnation: SidecarIncarnation
    ) -> RevokeResult:
        """Prevent this entry's attempt from starting, or cancel it.

        A failed call is retried for ``REVOKE_TIMEOUT_S``.
        """
        return await self._revoke(upstream, Revocation(attempt, incarnation, False))

    async def revoke_unstarted(
        self, upstream: UpstreamName, attempt: AttemptId, incarnation: SidecarIncarnation
    ) -> RevokeResult:
        """Prevent another request's attempt from starting; one that has started keeps running."""
        return await self._revoke(upstream, Revocation(attempt, incarnation, True))

    async def _revoke(self, upstream: UpstreamName, revocation: Revocation) -> RevokeResult:
        message = revocation_to_proto(revocation)
        stop_at = trio.current_time() + REVOKE_TIMEOUT_S
        while (remaining_s := stop_at - trio.current_time()) > 0:
            try:
                channel, stub = self._connection(upstream)
                timeout_s = min(remaining_s, CALL_TIMEOUT_S)
                answer = await channel.call(stub.Revoke, message, timeout_s)
                return revoke_result_from_proto(answer)
            except (RpcFailed, Malformed):
                await trio.sleep(RETRY_PAUSE_S)
        return RevokeResult.UNREACHABLE

    async def register_key(self, home: UpstreamName, registration: KeyRegistration) -> KeyDecision:
        """Ask a key's home whether the request may run."""
        message = registration_to_proto(registration)
        for _ in range(MAX_KEY_TRIES):
            try:
                channel, stub = self._connection(home)
                answer = await channel.call(stub.RegisterKey, message, CALL_TIMEOUT_S)
                return decision_from_proto(answer)
            except (RpcFailed, Malformed):
                await trio.sleep(RETRY_PAUSE_S)
        return KeyDecision.UNREACHABLE

    async def commit_key(self, home: UpstreamName, commit: KeyCommit) -> bool | None:
        """Return whether a key's home permits completing the answer; ``None`` if unreachable."""
        return await self._send_key_commit(home, commit, release=False)

    async def release_key(self, home: UpstreamName, commit: KeyCommit) -> None:
        """Release an unanswered key; if the call fails, the key is released with the lease."""
        await self._send_key_commit(home, commit, release=True)

    async def read_engine(
        self, upstream: UpstreamName, fencing_number: int
    ) -> pb.ReadEngineResponse:
        """Read what an engine has loaded, and make it refuse orders with lower fencing numbers.

        Raises:
            RpcFailed: The sidecar refused or did not answer.
        """
        channel, stub = self._connection(upstream)
        request = pb.ReadEngineRequest(fencing_number=fencing_number)
        return await channel.call(stub.ReadEngine, request, READ_ENGINE_TIMEOUT_S)

    async def order(self, upstream: UpstreamName, order: EngineOrder) -> OrderResult:
        """Send an order with the rest of its lease as timeout.

        Returns:
            The sidecar's answer, ``UNSURE`` if none came, or ``FAILED`` if nothing was sent.

        Raises:
            Malformed: The answer is invalid.
        """
        try:
            channel, stub = self._connection(upstream)
            message = order_to_proto(order)
            return order_result_from_proto(
                await channel.call(stub.Order, message, order.lease_left_s)
            )
        except RpcFailed as error:
            return OrderResult.UNSURE if error.sent else OrderResult.FAILED

    async def drain(self, upstream: UpstreamName) -> pb.DrainResponse:
        """Start draining an upstream.

        Raises:
            RpcFailed: The sidecar did not answer.
        """
        channel, stub = self._connection(upstream)
        return await channel.call(stub.Drain, pb.DrainRequest(), OPERATOR_CALL_TIMEOUT_S)

    async def dump(self, upstream: UpstreamName) -> pb.DumpResponse:
        """Return a dump of the state of an upstream's sidecar.

        Raises:
            RpcFailed: The sidecar did not answer.
        """
        channel, stub = self._connection(upstream)
        return await channel.call(stub.Dump, pb.DumpRequest(), OPERATOR_CALL_TIMEOUT_S)

    async def push(
        self, upstream: UpstreamName, request: pb.PushDeclarationsRequest
    ) -> pb.PushDeclarationsResponse:
        """Send newer declarations to a sidecar.

        Raises:
            RpcFailed: The sidecar did not answer.
        """
        channel, stub = self._connection(upstream)
        return await channel.call(stub.PushDeclarations, request, CALL_TIMEOUT_S, compressed=True)

    async def pull(
        self, upstream: UpstreamName, after_revision: int
    ) -> pb.PullDeclarationsResponse:
        """Fetch the declarations that a sidecar has and this entry lacks.

        Raises:
            RpcFailed: The sidecar did not answer.
        """
        channel, stub = self._connection(upstream)
        request = pb.PullDeclarationsRequest(after_revision=after_revision)
        return await channel.call(stub.PullDeclarations, request, CALL_TIMEOUT_S)

    def keep_only(self, addresses: frozenset[str]) -> None:
        """Close the channels to all other addresses."""
        for address in self._connections.keys() - addresses:
            channel, _ = self._connections.pop(address)
            channel.close()

    def close(self) -> None:
        """Close all channels."""
        self.keep_only(frozenset())

    async def _send_key_commit(
        self, home: UpstreamName, commit: KeyCommit, release: bool
    ) -> bool | None:
        message = commit_to_proto(commit, release)
        for _ in range(MAX_KEY_TRIES):
            try:
                channel, stub = self._connection(home)
                answer = await channel.call(stub.CommitKey, message, CALL_TIMEOUT_S)
                return bool(answer.committed)
            except RpcFailed:
                await trio.sleep(RETRY_PAUSE_S)
        return None

    def _connection(self, upstream: UpstreamName) -> tuple[RpcChannel, SidecarStub]:
        address = self._control_address(upstream)
        if address not in self._connections:
            channel = RpcChannel(address, self._token)
            stub = SidecarStub(channel.grpc_channel)  # type: ignore[no-untyped-call]
            self._connections[address] = (channel, stub)
        return self._connections[address]

    def _control_address(self, upstream: UpstreamName) -> str:
        declared = self._find_upstream(upstream)
        if declared is not None:
            return declared.control_address
        if ":" in upstream:
            return upstream
        detail = "not declared"
        raise RpcFailed("find upstream", upstream, grpc.StatusCode.NOT_FOUND, False, detail)
