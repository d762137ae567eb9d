"""Unary gRPC calls that wait on the trio loop, while grpcio's own threads transfer messages."""

from contextlib import suppress
from typing import Any, Protocol, TypeVar

import grpc
import trio

from chivehold.rpc.errors import RpcFailed
from chivehold.rpc.options import COMMON_OPTIONS

INITIAL_RECONNECT_MS = 100
MAX_RECONNECT_MS = 500
CONNECT_TIMEOUT_MS = 1_000

_CHANNEL_OPTIONS = (
    *COMMON_OPTIONS,
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", INITIAL_RECONNECT_MS),
    ("grpc.min_reconnect_backoff_ms", CONNECT_TIMEOUT_MS),
    ("grpc.max_reconnect_backoff_ms", MAX_RECONNECT_MS),
)
_CONNECT_FAILED_DETAIL = "failed to connect to all addresses"
"""Part of grpcio's error text when no connection could be made, so that nothing was sent."""
_CODES_BEFORE_HANDLER = (grpc.StatusCode.UNAUTHENTICATED, grpc.StatusCode.RESOURCE_EXHAUSTED)
"""Status codes with which the server refuses a call before its handler runs."""

RequestT = TypeVar("RequestT", contravariant=True)
ResponseT = TypeVar("ResponseT", covariant=True)


class UnaryMethod(Protocol[RequestT, ResponseT]):
    """A unary method of a generated stub."""

    def future(
        self, request: RequestT, timeout: float, metadata: Any, compression: Any = None
    ) -> Any:
        """Start the call and return its future."""
        ...


class RpcChannel:
    """A connection to the gRPC server of one peer, to be created and used on the trio loop."""

    def __init__(self, address: str, token: str | None) -> None:
        self._address = address
        self._metadata = () if token is None else (("authorization", f"Bearer {token}"),)
        self._channel = grpc.insecure_channel(address, options=_CHANNEL_OPTIONS)

    @property
    def address(self) -> str:
        """The peer's ``host:port``."""
        return self._address

    @property
    def grpc_channel(self) -> Any:
        """The grpcio channel for a generated stub, as in ``SidecarStub(channel.grpc_channel)``."""
        return self._channel

    async def call(
        self,
        method: UnaryMethod[RequestT, ResponseT],
        request: RequestT,
        timeout_s: float,
        *,
        compressed: bool = False,
    ) -> ResponseT:
        """Call a method of a stub and wait for its response; cancelling the wait cancels the call.

        Args:
            method: The stub's method, for example ``stub.Heartbeat``.
            request: The request message.
            timeout_s: Time in seconds after which the call fails with ``DEADLINE_EXCEEDED``.
            compressed: Whether to compress the request; useful only for long ones.

        Returns:
            The response message.

        Raises:
            RpcFailed: The peer refused, failed, or did not answer in time.
        """
        trio_token = trio.lowlevel.current_trio_token()
        done = trio.Event()
        future = method.future(
            request,
            timeout=timeout_s,
            metadata=self._metadata,
            compression=grpc.Compression.Gzip if compressed else None,
        )

        def settle(_future: Any) -> None:
            with suppress(trio.RunFinishedError):
                trio_token.run_sync_soon(done.set)

        future.add_done_callback(settle)
        try:
            await done.wait()
        finally:
            future.cancel()
        if future.code() is grpc.StatusCode.OK:
            response: ResponseT = future.result()
            return response
        raise self._failure(method, future)

    def close(self) -> None:
        """Close the connection; calls in progress fail with ``CANCELLED``."""
        self._channel.close()

    def _failure(self, method: Any, future: Any) -> RpcFailed:
        code = future.code()
        detail = future.details() or ""
        never_connected = code is grpc.StatusCode.UNAVAILABLE and _CONNECT_FAILED_DETAIL in detail
        sent = not (never_connected or code in _CODES_BEFORE_HANDLER)
        return RpcFailed(_method_name(method), self._address, code, sent, detail)


def _method_name(method: Any) -> str:
    name = getattr(method, "_method", b"")
    return name.decode() if isinstance(name, bytes) else str(name)
