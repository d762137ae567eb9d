"""What one connection of a client that misbehaves sends to a gRPC listener."""

from collections.abc import Iterator
from enum import IntEnum
from itertools import repeat

from tests.hostile.attacks import (
    ATTACKS,
    HOST,
    HTTP2_PREFACE,
    HTTP2_SETTINGS,
    PIECE_BYTES,
    Attack,
    Target,
)

END_STREAM = 0x1
END_HEADERS = 0x4
EMPTY_MESSAGE = bytes(5)
"""A gRPC message without content."""
RPC_METHOD = b"/chivehold.v1.Operators/Status"
MAX_STREAMS = 1 << 20
CANCEL = b"\x00\x00\x00\x08"
"""Code with which a client resets a call."""


class FrameType(IntEnum):
    """Types of HTTP/2 frames."""

    DATA = 0x0
    HEADERS = 0x1
    RST_STREAM = 0x3


def rpc_settings(target: Target) -> Iterator[bytes]:
    yield HTTP2_PREFACE
    yield from repeat(HTTP2_SETTINGS * 400)


def rpc_calls(target: Target) -> Iterator[bytes]:
    yield HTTP2_PREFACE + HTTP2_SETTINGS
    yield from (_rpc_call(stream) for stream in range(1, MAX_STREAMS, 2))


def rpc_calls_reset(target: Target) -> Iterator[bytes]:
    yield HTTP2_PREFACE + HTTP2_SETTINGS
    for stream in range(1, MAX_STREAMS, 2):
        yield _rpc_call(stream) + _frame(FrameType.RST_STREAM, 0, stream, CANCEL)


def rpc_messages_held_back(target: Target) -> Iterator[bytes]:
    """Many calls, each with a message of which a part is sent."""
    yield HTTP2_PREFACE + HTTP2_SETTINGS
    for stream in range(1, MAX_STREAMS, 2):
        headers = _frame(FrameType.HEADERS, END_HEADERS, stream, _rpc_headers())
        message = b"\x00" + (4 << 20).to_bytes(4, "big") + bytes(PIECE_BYTES)
        yield headers + _frame(FrameType.DATA, 0, stream, message)


def _rpc_call(stream: int) -> bytes:
    headers = _frame(FrameType.HEADERS, END_HEADERS, stream, _rpc_headers())
    return headers + _frame(FrameType.DATA, END_STREAM, stream, EMPTY_MESSAGE)


def _rpc_headers() -> bytes:
    """Return the headers of a gRPC call, without a table or Huffman coding."""
    method_and_scheme = b"\x83\x86"
    path = b"\x04" + bytes((len(RPC_METHOD),)) + RPC_METHOD
    fields = ((b"te", b"trailers"), (b"content-type", b"application/grpc"), (b"x", b"y" * 100))
    literals = (
        b"\x00" + bytes((len(name),)) + name + bytes((len(value),)) + value
        for name, value in fields
    )
    authority = b"\x01" + bytes((len(HOST),)) + HOST.encode()
    return method_and_scheme + path + authority + b"".join(literals)


def _frame(kind: FrameType, flags: int, stream: int, payload: bytes) -> bytes:
    head = len(payload).to_bytes(3, "big") + bytes((kind, flags)) + stream.to_bytes(4, "big")
    return head + payload


RPC_ATTACKS: dict[str, Attack] = {
    attack.__name__: attack
    for attack in (
        ATTACKS["endless_empty_lines"],
        ATTACKS["endless_header"],
        ATTACKS["head_held_back"],
        ATTACKS["http2_garbage"],
        ATTACKS["http2_preface"],
        ATTACKS["silence"],
        ATTACKS["tls_hello"],
        rpc_settings,
        rpc_calls,
        rpc_calls_reset,
        rpc_messages_held_back,
    )
}
