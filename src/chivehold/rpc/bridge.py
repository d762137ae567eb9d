"""Unary gRPC calls on trio: a server that runs its handlers on the trio loop, and a channel.

grpcio has its own threads, which only transfer messages. Every handler is an async function that
runs on the trio loop, and every caller waits there.
"""

import hmac
import logging
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import asynccontextmanager, suppress
from typing import Any, Generic, NamedTuple, Protocol, TypeVar

import grpc
import trio

from chivehold.rpc.client_check import Metadata
from chivehold.rpc.connections import Relay, bind, random_socket_name

SERVER_THREADS = 8
MAX_CONCURRENT_CALLS = 256
HANDSHAKE_TIMEOUT_MS = 2_000
"""Time within which a client has to send its settings."""
STOP_GRACE_S = 2.0
"""Time for the calls in progress to finish when the server stops."""
MAX_HANDLER_S = 60.0
"""A handler is cancelled after this time even if its caller has set no deadline."""
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
INITIAL_RECONNECT_MS = 100
MAX_RECONNECT_MS = 500
CONNECT_TIMEOUT_MS = 1_000

_COMMON_OPTIONS = (
    ("grpc.enable_retries", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
)
_SERVER_OPTIONS = (
    *_COMMON_OPTIONS,
    ("grpc.so_reuseport", 0),
    ("grpc.server_handshake_timeout_ms", HANDSHAKE_TIMEOUT_MS),
)
_CHANNEL_OPTIONS = (
    *_COMMON_OPTIONS,
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", INITIAL_RECONNECT_MS),
    ("grpc.min_reconnect_backoff_ms", CONNECT_TIMEOUT_MS),
    ("grpc.max_reconnect_backoff_ms", MAX_RECONNECT_MS),
)
_CONNECT_FAILED_DETAIL = "failed to connect to all addresses"
"""Part of grpcio's error text when no connection could be made, so that nothing was sent."""
_CODES_BEFORE_HANDLER = (grpc.StatusCode.UNAUTHENTICATED, grpc.StatusCode.RESOURCE_EXHAUSTED)
"""Status codes with which the server refuses a call before its handler runs."""

_log = logging.getLogger(__name__)

RequestT = TypeVar("RequestT", contravariant=True)
ResponseT = TypeVar("ResponseT", covariant=True)

ServicerAdder = Callable[[Any], None]
"""Registers a servicer with a gRPC server, as ``add_…Servicer_to_server`` of the generated code."""


class RpcFailed(Exception):  # noqa: N818
    """A call to a peer failed.

    Attributes:
        step: The method that was called, for example ``/chivehold.v1.Sidecar/Heartbeat``.
        peer: The address that was called.
        code: The gRPC status code.
        sent: Whether a handler of the peer may have run; ``False`` means that none did.
        detail: The detail text of the gRPC status.
    """

    def __init__(
        self, step: str, peer: str, code: grpc.StatusCode, sent: bool, detail: str = ""
    ) -> None:
        super().__init__(f"{step} at {peer}: {code.name}: {detail}")
        self.step = step
        self.peer = peer
        self.code = code
        self.sent = sent
        self.detail = detail


class RpcRefused(Exception):  # noqa: N818
    """Raised by a handler to answer with a status code and a detail text."""

    def __init__(self, code: grpc.StatusCode, detail: str) -> None:
        super().__init__(f"{code.name}: {detail}")
        self.code = code
        self.detail = detail


class UnaryMethod(Protocol[RequestT, ResponseT]):
    """A unary method of a generated stub."""

    def future(
        self, request: RequestT, timeout: float, metadata: Any, compression: Any = None
    ) -> Any:
        """Start the call and return its future."""
        ...


class _Failure(NamedTuple):
    code: grpc.StatusCode
    detail: str


class _HandlerCall(Generic[RequestT, ResponseT]):
    """A call that a worker thread passes to the trio loop, and whose result it waits for."""

    def __init__(
        self,
        handler: Callable[[RequestT, Any], Awaitable[ResponseT]],
        request: RequestT,
        context: Any,
        timeout_s: float,
    ) -> None:
        self._handler = handler
        self._request = request
        self._context = context
        self._timeout_s = timeout_s
        self.settled: Future[ResponseT | _Failure] = Future()

    async def run(self) -> None:
        """Run the handler on the trio loop and set the call's result, also when cancelled."""
        result: ResponseT | _Failure = _Failure(grpc.StatusCode.UNAVAILABLE, "shutting down")
        try:
            result = await self._result()
        finally:
            self.settled.set_result(result)

    async def _result(self) -> ResponseT | _Failure:
        try:
            with trio.fail_after(self._timeout_s):
                return await self._handler(self._request, self._context)
        except trio.TooSlowError:
            return _Failure(grpc.StatusCode.DEADLINE_EXCEEDED, "the handler took too long")
        except RpcRefused as refusal:
            return _Failure(refusal.code, refusal.detail)
        except Exception as error:
            _log.exception("a gRPC handler failed")
            return _Failure(grpc.StatusCode.INTERNAL, type(error).__name__)


class _TrioInterceptor(grpc.ServerInterceptor):  # type: ignore[misc]
    """Checks the token of each call and runs its handler on the trio loop."""

    def __init__(self, token: str | None) -> None:
        self._nursery: trio.Nursery | None = None
        self._trio_token = trio.lowlevel.current_trio_token()
        self._expected = None if token is None else f"Bearer {token}".encode()

    def open(self, nursery: trio.Nursery) -> None:
        """Start to run the handlers of calls, in this nursery."""
        self._nursery = nursery

    def close(self) -> None:
        """Refuse all calls that have not been started on the trio loop yet."""
        self._nursery = None

    def intercept_service(self, continuation: Any, details: Any) -> Any:
        """Return a call's handler, or ``None`` for an unknown method; runs on a worker thread."""
        method = continuation(details)
        if method is None:
            return None
        if not self.is_authorised(details.invocation_metadata):
            return _refusing_handler(
                method, grpc.StatusCode.UNAUTHENTICATED, "wrong or missing token"
            )

        def run_on_loop(request: Any, context: Any) -> Any:
            return self._run_on_loop(method.unary_unary, request, context)

        return _unary_handler(method, run_on_loop)

    def is_authorised(self, metadata: Metadata) -> bool:
        """Return whether the metadata of a call carry the token."""
        if self._expected is None:
            return True
        values = (value for name, value in metadata if name == "authorization")
        presented = next(values, "")
        presented_bytes = presented.encode() if isinstance(presented, str) else presented
        return hmac.compare_digest(presented_bytes, self._expected)

    def _run_on_loop(
        self, handler: Callable[[Any, Any], Awaitable[Any]], request: Any, context: Any
    ) -> Any:
        remaining_s = context.time_remaining()
        timeout_s = MAX_HANDLER_S if remaining_s is None else min(remaining_s, MAX_HANDLER_S)
        call = _HandlerCall(handler, request, context, max(0.0, timeout_s))
        try:
            self._trio_token.run_sync_soon(self._start, call)
            result = call.settled.result(timeout=timeout_s + STOP_GRACE_S)
        except (trio.RunFinishedError, TimeoutError):
            result = _Failure(grpc.StatusCode.UNAVAILABLE, "the loop does not answer")
        if isinstance(result, _Failure):
            context.abort(result.code, result.detail)
        return result

    def _start(self, call: _HandlerCall[Any, Any]) -> None:
        if self._nursery is None:
            call.settled.set_result(_Failure(grpc.StatusCode.UNAVAILABLE, "shutting down"))
            return
        self._nursery.start_soon(call.run)


def _unary_handler(method: Any, behaviour: Callable[[Any, Any], Any]) -> Any:
    return grpc.unary_unary_rpc_method_handler(
        behaviour, method.request_deserializer, method.response_serializer
    )


def _refusing_handler(method: Any, code: grpc.StatusCode, detail: str) -> Any:
    def refuse(_request: Any, context: Any) -> None:
        context.abort(code, detail)

    return _unary_handler(method, refuse)


@asynccontextmanager
async def serve_rpc(
    address: str, adders: Iterable[ServicerAdder], token: str | None
) -> AsyncIterator[str]:
    """Serve gRPC until the block ends; calls in progress then have ``STOP_GRACE_S`` to finish.

    Args:
        address: ``host:port`` to listen on; with port 0 the kernel chooses a free port.
        adders: Functions that each register a servicer, whose methods are
            ``async def (request, context)``.
        token: The shared token that calls must carry in the metadata as
            ``authorization: Bearer <token>``; ``None`` accepts every caller.

    Returns:
        The bound ``host:port``.

    Raises:
        OSError: The address cannot be bound.
    """
    interceptor = _TrioInterceptor(token)
    workers = ThreadPoolExecutor(SERVER_THREADS, thread_name_prefix="grpc")
    server = grpc.server(
        workers,
        interceptors=(interceptor,),
        options=_SERVER_OPTIONS,
        maximum_concurrent_rpcs=MAX_CONCURRENT_CALLS,
    )
    for add in adders:
        add(server)
    listeners = await bind(address)
    socket_name = random_socket_name()
    server.add_insecure_port(f"unix-abstract:{socket_name}")
    relay = Relay(listeners, socket_name, interceptor.is_authorised)
    async with trio.open_nursery() as nursery:
        interceptor.open(nursery)
        server.start()
        nursery.start_soon(relay.run)
        try:
            yield _bound_address(address, listeners[0])
        finally:
            with trio.CancelScope(shield=True):
                relay.stop_accepting()
                stopped = server.stop(STOP_GRACE_S)
                await trio.to_thread.run_sync(stopped.wait, 2 * STOP_GRACE_S)
            relay.close()
            interceptor.close()
            nursery.cancel_scope.cancel()
            workers.shutdown(wait=False)


def _bound_address(address: str, listener: trio.SocketListener) -> str:
    host, _, _ = address.rpartition(":")
    port = listener.socket.getsockname()[1]
    return f"{host}:{port}"


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
