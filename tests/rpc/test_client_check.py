"""The check of what a gRPC client sends before its first call with the token."""

from collections.abc import Iterable

import hpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from chivehold.rpc.client_check import (
    CLIENT_PREFACE,
    END_HEADERS_FLAG,
    HEADERS_FRAME,
    MAX_UNAUTHORISED_BYTES,
    MAX_UNAUTHORISED_CALLS,
    MAX_UNAUTHORISED_FRAMES,
    PADDED_FLAG,
    ClientCheck,
    ClientError,
    Metadata,
)

DATA = 0x0
SETTINGS = 0x4
PING = 0x6


def knows_token(metadata: Metadata) -> bool:
    return ("authorization", b"right") in metadata


def frame(kind: int, payload: bytes = b"", flags: int = END_HEADERS_FLAG) -> bytes:
    stream = bytes(4)
    return len(payload).to_bytes(3, "big") + bytes((kind, flags)) + stream + payload


def call(encoder: hpack.Encoder, token: str) -> bytes:
    fields = [(":path", "/chivehold.v1.Sidecar/Drain"), ("authorization", token)]
    return frame(HEADERS_FRAME, encoder.encode(fields))


def check_after(pieces: Iterable[bytes]) -> ClientCheck:
    check = ClientCheck(knows_token)
    for piece in pieces:
        check.receive(piece)
    return check


class TestPreface:
    @pytest.mark.parametrize("sent", [b"GET / HTTP/1.1\r\n", b"\r\n" * 20, b"PRI * HTTP/1.1"])
    def test_other_protocol(self, sent: bytes) -> None:
        """Guards against clients that do not speak HTTP/2."""
        with pytest.raises(ClientError):
            check_after([sent])

    def test_begun(self) -> None:
        """A preface may arrive in two pieces."""
        assert not check_after([CLIENT_PREFACE[:-1]]).has_preface
        assert check_after([CLIENT_PREFACE[:-1], CLIENT_PREFACE[-1:]]).has_preface


class TestWithoutToken:
    @pytest.mark.parametrize("kind", [PING, SETTINGS])
    def test_too_many_frames(self, kind: int) -> None:
        """Guards against pings whose time grows with the square of their number."""
        sent = CLIENT_PREFACE + frame(kind) * MAX_UNAUTHORISED_FRAMES
        with pytest.raises(ClientError):
            check_after([sent, frame(kind)])

    def test_too_many_calls(self) -> None:
        """Guards against calls without the token that fill the memory."""
        encoder = hpack.Encoder()
        calls = [call(encoder, "wrong") for _ in range(MAX_UNAUTHORISED_CALLS + 1)]
        assert not check_after([CLIENT_PREFACE, *calls[:-1]]).is_authorised
        with pytest.raises(ClientError):
            check_after([CLIENT_PREFACE, *calls])

    @pytest.mark.parametrize("sent", [frame(DATA, bytes(8_192)), b"\xff\xff\xff" + bytes(8_192)])
    def test_too_many_bytes(self, sent: bytes) -> None:
        """Guards against messages without the token that fill the memory."""
        pieces = [sent] * (MAX_UNAUTHORISED_BYTES // 8_192)
        with pytest.raises(ClientError):
            check_after([CLIENT_PREFACE, *pieces])

    @pytest.mark.parametrize(
        "sent",
        [
            frame(HEADERS_FRAME, b"\xff" * 20),
            frame(HEADERS_FRAME, b"\x00\x01\xff\x01a"),
            frame(HEADERS_FRAME, b"", flags=0),
            frame(HEADERS_FRAME, b"", flags=END_HEADERS_FLAG | PADDED_FLAG),
        ],
    )
    def test_invalid_headers(self, sent: bytes) -> None:
        """Headers that cannot be read end the connection."""
        with pytest.raises(ClientError):
            check_after([CLIENT_PREFACE, sent])


class TestWithToken:
    def test_nothing_is_limited(self) -> None:
        """After a call with the token any number of frames may follow."""
        sent = CLIENT_PREFACE + frame(SETTINGS) + call(hpack.Encoder(), "right")
        check = check_after([sent + frame(PING) * 10 * MAX_UNAUTHORISED_FRAMES])
        assert check.is_authorised
        check.receive(bytes(10 * MAX_UNAUTHORISED_BYTES))

    @given(
        cuts=st.lists(st.integers(0, 400), max_size=20),
        refused=st.integers(0, MAX_UNAUTHORISED_CALLS - 1),
    )
    def test_in_any_pieces(self, cuts: list[int], refused: int) -> None:
        """The token is found however the bytes are cut and after calls with another one."""
        encoder = hpack.Encoder()
        calls = [call(encoder, "wrong") + frame(DATA, b"right") for _ in range(refused)]
        sent = CLIENT_PREFACE + frame(SETTINGS) + b"".join(calls)
        assert not check_after([sent]).is_authorised
        sent += call(encoder, "right")
        bounds = sorted({0, len(sent), *(cut for cut in cuts if cut < len(sent))})
        pieces = [sent[start:end] for start, end in zip(bounds, bounds[1:], strict=False)]
        assert check_after(pieces).is_authorised
