"""A gRPC server that runs its handlers on the trio loop.

grpcio has its own threads, which only transfer messages. Every handler is an async function.
"""

import hmac
import logging
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import asynccontextmanager
from typing import Any, Generic, NamedTuple, TypeVar

import grpc
import trio

from chivehold.rpc.client_check import Metadata
from chivehold.rpc.connections import Relay, bind, random_socket_name
from chivehold.rpc.errors import RpcRefused
from chivehold.rpc.options import COMMON_OPTIONS

SERVER_THREADS = 8
MAX_CONCURRENT_CALLS = 256
HANDSHAKE_TIMEOUT_MS = 2_000
"""Time within which a client has to send its settings."""
STOP_GRACE_S = 2.0
"""Time for the calls in progress to finish when the server stops."""
MAX_HANDLER_S = 60.0
"""A handler is cancelled after this time even if its caller has set no deadline."""

_SERVER_OPTIONS = (
    *COMMON_OPTIONS,
    ("grpc.so_reuseport", 0),
    ("grpc.server_handshake_timeout_ms", HANDSHAKE_TIMEOUT_MS),
)

_log = logging.getLogger(__name__)

RequestT = TypeVar("RequestT")
ResponseT = TypeVar("ResponseT")

ServicerAdder = Callable[[Any], None]
"""Registers a servicer with a gRPC server, as ``add_…Servicer_to_server`` of the generated code."""


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
