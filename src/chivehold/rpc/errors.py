"""Errors of gRPC calls between processes."""

import grpc


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
