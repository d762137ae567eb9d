"""HTTP/1 on the server's side of a connection.

Hypercorn's protocol is extended so that a connection speaks nothing else.
"""

from http import HTTPStatus

import h11
from hypercorn.events import Closed
from hypercorn.protocol.events import Request
from hypercorn.protocol.h11 import STREAM_ID, H11Protocol
from hypercorn.protocol.http_stream import HTTPStream

SUPPORTED_VERSIONS = (b"1.0", b"1.1")


class HttpProtocol(H11Protocol):  # type: ignore[misc]
    """HTTP/1 on one connection; upgrades and other versions are refused or ignored."""

    async def _check_protocol(self, event: h11.Request) -> None:
        """Continue with HTTP/1, whatever the request asks for."""

    async def _create_stream(self, request: h11.Request) -> None:
        if request.http_version not in SUPPORTED_VERSIONS:
            await self._refuse(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED)
            return
        if request.method == b"CONNECT":
            await self._refuse(HTTPStatus.NOT_FOUND)
            return
        if _is_websocket_handshake(request):
            await self._refuse(HTTPStatus.FORBIDDEN)
            return
        self.stream = HTTPStream(
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.ssl,
            self.client,
            self.server,
            self.stream_send,
            STREAM_ID,
        )
        await self.stream.handle(
            Request(
                stream_id=STREAM_ID,
                headers=list(request.headers),
                http_version=request.http_version.decode(),
                method=request.method.decode("ascii").upper(),
                raw_path=request.target,
                state=self.connection_state,
            )
        )

    async def _refuse(self, status: HTTPStatus) -> None:
        """Answer a request and close the connection."""
        await self._send_error_response(status)
        await self.send(Closed())


def _is_websocket_handshake(request: h11.Request) -> bool:
    return request.method == b"GET" and any(
        name == b"upgrade" and value.strip().lower() == b"websocket"
        for name, value in request.headers
    )
