"""Checks what a client of a gRPC server sends until it has shown that it knows the token."""

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import hpack

CLIENT_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
FRAME_HEADER_BYTES = 9
HEADERS_FRAME = 0x01
END_HEADERS_FLAG = 0x04
PADDED_FLAG = 0x08
PRIORITY_FLAG = 0x20
MAX_UNAUTHORISED_BYTES = 32_768
MAX_UNAUTHORISED_FRAMES = 64
MAX_UNAUTHORISED_CALLS = 2

Metadata = Iterable[tuple[str, str | bytes]]
Authorisation = Callable[[Metadata], bool]
"""Returns whether the metadata of a call carry the token."""


class Frame(NamedTuple):
    """An HTTP/2 frame."""

    kind: int
    flags: int
    payload: bytes


class ClientError(Exception):
    """A client does not speak HTTP/2, or sends too much without the token."""


class ClientCheck:
    """Follows the frames of a connection up to the first call with the token.

    Args:
        is_authorised: Tells whether a call carries the token.
    """

    def __init__(self, is_authorised: Authorisation) -> None:
        self._authorise = is_authorised
        self._is_authorised = False
        self._has_preface = False
        self._decoder = hpack.Decoder(max_header_list_size=MAX_UNAUTHORISED_BYTES)
        self._buffer = b""
        self._bytes = 0
        self._frames = 0
        self._calls = 0

    @property
    def has_preface(self) -> bool:
        """Whether the client has begun to speak HTTP/2."""
        return self._has_preface

    @property
    def is_authorised(self) -> bool:
        """Whether the client has made a call with the token."""
        return self._is_authorised

    def receive(self, data: bytes) -> None:
        """Check the next bytes of a client.

        Raises:
            ClientError: The connection must be closed.
        """
        if self._is_authorised:
            return
        self._bytes += len(data)
        self._buffer += data
        if not self._has_preface:
            self._check_preface()
        for frame in self._complete_frames():
            self._check_frame(frame)
            if self._is_authorised:
                self._buffer = b""
                return
        if self._bytes > MAX_UNAUTHORISED_BYTES:
            raise ClientError("too many bytes without the token")

    def _check_preface(self) -> None:
        begin = self._buffer[: len(CLIENT_PREFACE)]
        if not CLIENT_PREFACE.startswith(begin):
            raise ClientError("no HTTP/2 preface")
        if begin == CLIENT_PREFACE:
            self._has_preface = True
            self._buffer = self._buffer[len(CLIENT_PREFACE) :]

    def _complete_frames(self) -> Iterator[Frame]:
        """Remove the complete frames from the buffer."""
        while self._has_preface and len(self._buffer) >= FRAME_HEADER_BYTES:
            length = int.from_bytes(self._buffer[:3], "big")
            kind, flags = self._buffer[3:5]
            end = FRAME_HEADER_BYTES + length
            if len(self._buffer) < end:
                return
            payload = self._buffer[FRAME_HEADER_BYTES:end]
            self._buffer = self._buffer[end:]
            yield Frame(kind, flags, payload)

    def _check_frame(self, frame: Frame) -> None:
        self._frames += 1
        if self._frames > MAX_UNAUTHORISED_FRAMES:
            raise ClientError("too many frames without the token")
        if frame.kind == HEADERS_FRAME:
            self._check_call(frame)

    def _check_call(self, frame: Frame) -> None:
        self._calls += 1
        if self._calls > MAX_UNAUTHORISED_CALLS:
            raise ClientError("too many calls without the token")
        if frame.flags & (PADDED_FLAG | PRIORITY_FLAG) or not frame.flags & END_HEADERS_FLAG:
            raise ClientError("unusual headers before a call with the token")
        try:
            fields = self._decoder.decode(frame.payload, raw=True)
            metadata = [(bytes(name).decode("ascii"), bytes(value)) for name, value in fields]
        except (hpack.HPACKError, UnicodeDecodeError) as error:
            raise ClientError("invalid headers") from error
        self._is_authorised = self._authorise(metadata)
