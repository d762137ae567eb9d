"""What one connection of a client that misbehaves sends, as an endless or finite run of pieces.

An attack is a generator of the pieces to send. Nothing that the server sends is read. After the
last piece the connection stays open, unless ``ENDINGS`` says otherwise.
"""

from collections.abc import Callable, Iterator
from enum import Enum
from itertools import repeat
from typing import NamedTuple

HOST = "site.example"
PIECE_BYTES = 4_096
BODY_BYTES = 60_000
ANNOUNCED_BYTES = 90_000
HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
HTTP2_SETTINGS = b"\x00\x00\x00\x04\x00\x00\x00\x00\x00"
HTTP2_PING = b"\x00\x00\x08\x06\x00\x00\x00\x00\x00" + bytes(8)
TLS_CLIENT_HELLO = b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + bytes(500)


class Target(NamedTuple):
    """The requests that a listener serves to ordinary clients."""

    read_path: str
    """Path of a request without a body."""
    write_path: str
    """Path of a request with a body."""
    headers: tuple[str, ...] = ()

    def head(self, method: str, path: str, *headers: str) -> bytes:
        """Return the head of a request."""
        lines = [f"{method} {path} HTTP/1.1", f"host: {HOST}", *self.headers, *headers]
        return "\r\n".join([*lines, "", ""]).encode()

    def read(self, *headers: str) -> bytes:
        """Return a request without a body."""
        return self.head("GET", self.read_path, *headers)

    def write(self, *headers: str) -> bytes:
        """Return the head of a request with a body."""
        return self.head("POST", self.write_path, *headers)


Attack = Callable[[Target], Iterator[bytes]]


def endless_header(target: Target) -> Iterator[bytes]:
    yield target.read()[:-2] + b"x-long: "
    yield from repeat(b"a" * PIECE_BYTES)


def endless_header_lines(target: Target) -> Iterator[bytes]:
    yield target.read()[:-2]
    yield from repeat(b"a: b\r\n" * (PIECE_BYTES // 6))


def endless_request_line(target: Target) -> Iterator[bytes]:
    yield b"GET /"
    yield from repeat(b"a" * PIECE_BYTES)


def endless_empty_lines(target: Target) -> Iterator[bytes]:
    yield from repeat(b"\r\n" * (PIECE_BYTES // 2))


def long_finished_head(target: Target) -> Iterator[bytes]:
    yield target.read(f"x-long: {'a' * 64_000}")


def many_finished_headers(target: Target) -> Iterator[bytes]:
    yield target.read(*("a:b" for _ in range(12_000)))


def silence(target: Target) -> Iterator[bytes]:
    yield from ()


def head_held_back(target: Target) -> Iterator[bytes]:
    yield target.read()[:-2]


def long_head_held_back(target: Target) -> Iterator[bytes]:
    yield target.read()[:-2] + b"x-long: " + b"a" * 15_000


def body_held_back(target: Target) -> Iterator[bytes]:
    yield target.write(f"content-length: {ANNOUNCED_BYTES}")
    yield b"x" * (ANNOUNCED_BYTES - 1)


def body_only_announced(target: Target) -> Iterator[bytes]:
    yield target.write(f"content-length: {ANNOUNCED_BYTES}", "expect: 100-continue")


def chunked_body_held_back(target: Target) -> Iterator[bytes]:
    yield target.write("transfer-encoding: chunked")
    yield b"%x\r\n" % ANNOUNCED_BYTES + b"x" * (ANNOUNCED_BYTES - 1)


def endless_body(target: Target) -> Iterator[bytes]:
    yield target.write("content-length: 99999999999999999999")
    yield from repeat(b"x" * PIECE_BYTES)


def endless_chunks(target: Target) -> Iterator[bytes]:
    yield target.write("transfer-encoding: chunked")
    yield from repeat(b"1\r\nx\r\n" * (PIECE_BYTES // 6))


def endless_chunk_extension(target: Target) -> Iterator[bytes]:
    yield target.write("transfer-encoding: chunked")
    yield b"1;"
    yield from repeat(b"a" * PIECE_BYTES)


def endless_trailers(target: Target) -> Iterator[bytes]:
    yield target.write("transfer-encoding: chunked")
    yield b"1\r\nx\r\n0\r\n"
    yield from repeat(b"a: b\r\n" * (PIECE_BYTES // 6))


def endless_trailer(target: Target) -> Iterator[bytes]:
    yield target.write("transfer-encoding: chunked")
    yield b"0\r\na: "
    yield from repeat(b"b" * PIECE_BYTES)


def trailers_held_back(target: Target) -> Iterator[bytes]:
    yield target.write("transfer-encoding: chunked")
    yield b"%x\r\n" % BODY_BYTES + b"x" * BODY_BYTES + b"\r\n0\r\n" + b"a: b\r\n" * 2_500


def requests_with_trailers_sent_ahead(target: Target) -> Iterator[bytes]:
    trailers = b"a: b\r\n" * 2_500
    request = target.write("transfer-encoding: chunked") + b"1\r\nx\r\n0\r\n" + trailers + b"\r\n"
    yield from repeat(request)


def requests_sent_ahead(target: Target) -> Iterator[bytes]:
    yield from repeat(target.read() * 20)


def bodies_sent_ahead(target: Target) -> Iterator[bytes]:
    yield from repeat(target.write(f"content-length: {BODY_BYTES}") + b"x" * BODY_BYTES)


def chunked_bodies_sent_ahead(target: Target) -> Iterator[bytes]:
    body = b"%x\r\n" % BODY_BYTES + b"x" * BODY_BYTES + b"\r\n0\r\n\r\n"
    yield from repeat(target.write("transfer-encoding: chunked") + body)


def answer_unread(target: Target) -> Iterator[bytes]:
    yield target.read()


def websocket(target: Target) -> Iterator[bytes]:
    yield target.read(
        "connection: upgrade",
        "upgrade: websocket",
        "sec-websocket-version: 13",
        "sec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==",
    )
    yield from repeat(b"a" * PIECE_BYTES)


def upgrade_to_http2(target: Target) -> Iterator[bytes]:
    yield target.read("connection: upgrade, http2-settings", "upgrade: h2c", "http2-settings: AAAA")
    yield HTTP2_PREFACE + HTTP2_SETTINGS
    yield from repeat(HTTP2_PING * 200)


def http2_preface(target: Target) -> Iterator[bytes]:
    yield HTTP2_PREFACE + HTTP2_SETTINGS
    yield from repeat(HTTP2_PING * 200)


def http2_garbage(target: Target) -> Iterator[bytes]:
    yield HTTP2_PREFACE
    yield from repeat(b"a" * PIECE_BYTES)


def tls_hello(target: Target) -> Iterator[bytes]:
    yield from repeat(TLS_CLIENT_HELLO)


def connect_method(target: Target) -> Iterator[bytes]:
    yield target.head("CONNECT", target.read_path)
    yield from repeat(b"x" * PIECE_BYTES)


def request_then_half_close(target: Target) -> Iterator[bytes]:
    yield target.read()


def requests_then_half_close(target: Target) -> Iterator[bytes]:
    yield target.read() * 20


def requests_then_reset(target: Target) -> Iterator[bytes]:
    yield target.read() * 20


def body_then_reset(target: Target) -> Iterator[bytes]:
    yield target.write(f"content-length: {ANNOUNCED_BYTES}") + b"x" * BODY_BYTES


def two_lengths(target: Target) -> Iterator[bytes]:
    yield target.write("content-length: 5", "content-length: 7")
    yield from repeat(b"x" * PIECE_BYTES)


ATTACKS: dict[str, Attack] = {
    attack.__name__: attack
    for attack in (
        endless_header,
        endless_header_lines,
        endless_request_line,
        endless_empty_lines,
        long_finished_head,
        many_finished_headers,
        silence,
        head_held_back,
        long_head_held_back,
        body_held_back,
        body_only_announced,
        chunked_body_held_back,
        endless_body,
        endless_chunks,
        endless_chunk_extension,
        endless_trailers,
        endless_trailer,
        trailers_held_back,
        requests_with_trailers_sent_ahead,
        requests_sent_ahead,
        bodies_sent_ahead,
        chunked_bodies_sent_ahead,
        answer_unread,
        websocket,
        upgrade_to_http2,
        http2_preface,
        http2_garbage,
        tls_hello,
        connect_method,
        request_then_half_close,
        requests_then_half_close,
        requests_then_reset,
        body_then_reset,
        two_lengths,
    )
}


class Ending(Enum):
    """What becomes of a connection after the last piece."""

    KEEP_OPEN = "keep open"
    HALF_CLOSE = "half close"
    RESET = "reset"


ENDINGS: dict[str, Ending] = {
    "request_then_half_close": Ending.HALF_CLOSE,
    "requests_then_half_close": Ending.HALF_CLOSE,
    "requests_then_reset": Ending.RESET,
    "body_then_reset": Ending.RESET,
}
COMMON_ATTACKS = (
    "answer_unread",
    "bodies_sent_ahead",
    "body_only_announced",
    "endless_empty_lines",
    "endless_header",
    "endless_trailers",
    "head_held_back",
    "http2_preface",
    "requests_sent_ahead",
    "silence",
    "upgrade_to_http2",
    "websocket",
)
"""One attack of each kind, for the listeners that serve no callers."""
