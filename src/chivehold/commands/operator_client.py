"""Synchronous client of an entry's ``Operators`` service."""

from typing import Any

import trio

from chivehold.rpc.channel import RpcChannel
from chivehold.rpc.chivehold_pb2_grpc import OperatorsStub

CALL_TIMEOUT_S = 15.0


class OperatorClient:
    """Calls an entry; each call runs its own event loop.

    Args:
        address: ``host:port`` of the entry's control listener.
        token: Shared token.
    """

    def __init__(self, address: str, token: str) -> None:
        self._address = address
        self._token = token

    def call(self, method: str, request: Any, timeout_s: float = CALL_TIMEOUT_S) -> Any:
        """Call a method of the ``Operators`` service.

        Args:
            method: Name of the method, such as ``Status``.
            request: Request message.
            timeout_s: Timeout in seconds.

        Returns:
            The response message.

        Raises:
            RpcFailed: The entry refused, failed, or did not respond in time.
        """
        return trio.run(self._call, method, request, timeout_s)

    async def _call(self, method: str, request: Any, timeout_s: float) -> Any:
        channel = RpcChannel(self._address, self._token)
        try:
            stub = OperatorsStub(channel.grpc_channel)  # type: ignore[no-untyped-call]
            return await channel.call(getattr(stub, method), request, timeout_s)
        finally:
            channel.close()
