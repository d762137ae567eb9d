"""Attempts over HTTP against a scripted sidecar."""

from collections.abc import Callable

import msgspec
import pytest

from chivehold.asgi import (
    read_body,
    respond,
    send_chunk,
    start_response,
)
from chivehold.core.declared import Upstream
from chivehold.core.entry_messages import AttemptLinkLost, CallSettled, FrameReceived
from chivehold.core.identity import AttemptId, Role, Urgency
from chivehold.core.wire import (
    AttemptFrame,
    AttemptOffer,
    CallContent,
    CallResult,
    FrameKind,
    ImportOrder,
    PrefillKind,
    PrefillOrder,
)
from chivehold.entry.attempts import AttemptClient
from chivehold.http_client import ClientLimits, HttpClient
from chivehold.http_server import serve_http
from tests.direct.raw_upstream import LONG_BODY, Ending, RawUpstream, raw_peer
from tests.malformed_heads import MALFORMED_HEADS

ATTEMPT, OTHER = AttemptId("r", 1), AttemptId("r", 2)
OFFER = AttemptOffer(ATTEMPT, "e.1", "s.1", "lector", "bruma", 1.0, Urgency.URGENT, 0.0, 1.0, 2.0)
ORDER = PrefillOrder(ATTEMPT, "e.1", "s.1", "lector", "bruma", Urgency.URGENT, "p", 1, (), 1.0, 2.0)
IMPORT = ImportOrder(ATTEMPT, "h", "e", 1, 1, 1.0)
CALL = CallContent("POST", "/reservations", (("x-note", 'a"\xe9'),), b"body")
GRANTED = AttemptFrame(FrameKind.GRANTED, ATTEMPT)
FINISHED = AttemptFrame(FrameKind.FINISHED, ATTEMPT, 0)
MAX_ANSWER_BYTES = 10_000


def _lines(*frames: AttemptFrame) -> bytes:
    return b"".join(msgspec.json.encode(frame) + b"\n" for frame in frames)


class Sidecar:
    """Answers every request in the same way, and records the requests."""

    def __init__(self, status=200, body=b"", headers=(), cut=False) -> None:
        self.seen = []
        self._answer = (status, body, headers, cut)

    async def __call__(self, scope, receive, send) -> None:
        self.seen.append((scope, await read_body(receive, MAX_ANSWER_BYTES)))
        status, body, headers, cut = self._answer
        if not cut:
            await respond(send, status, body, headers=headers)
            return
        await start_response(send, status, "application/json", headers)
        await send_chunk(send, body)


@pytest.fixture
async def connect(nursery):
    async def connect(app: Callable | None) -> AttemptClient:
        address = "127.0.0.1:1"
        if app is not None:
            address = await nursery.start(serve_http, app, "127.0.0.1:0")
        return _client_of(address)

    return connect


def _client_of(address: str) -> AttemptClient:
    upstream = Upstream("u", Role.DECODE, "sjo-a", address, address, 20)
    client = HttpClient(ClientLimits(max_answer_bytes=MAX_ANSWER_BYTES))
    return AttemptClient(client, {"u": upstream}.get, "0123456789abcdef")


def _result(attempt: AttemptId = ATTEMPT) -> tuple[str, str]:
    return ("chivehold-result", msgspec.json.encode(CallResult(attempt, 201)).decode())


class TestOffer:
    @pytest.mark.parametrize(
        ("app", "kinds", "sent"),
        [
            (None, [], False),
            (Sidecar(401), [], False),
            (Sidecar(503), [], False),
            (Sidecar(500), [], True),
            (Sidecar(body=_lines(GRANTED), cut=True), [FrameKind.GRANTED], True),
            (Sidecar(body=_lines(GRANTED)), [FrameKind.GRANTED], True),
            (Sidecar(body=_lines(GRANTED) + b"{}\n"), [FrameKind.GRANTED], True),
            (Sidecar(body=_lines(GRANTED._replace(attempt=OTHER))), [], True),
            (
                Sidecar(body=_lines(GRANTED, FINISHED)),
                [FrameKind.GRANTED, FrameKind.FINISHED],
                None,
            ),
            (Sidecar(body=_lines(FINISHED, GRANTED)), [FrameKind.FINISHED], None),
        ],
    )
    async def test_stream_ends_with_one_settling_event(self, connect, app, kinds, sent) -> None:
        """A stream ends with a final frame or a lost link, ``sent`` unless proved otherwise."""
        client = await connect(app)
        events = [event async for event in client.offer("u", OFFER)]
        frames = [event.frame.kind for event in events if isinstance(event, FrameReceived)]
        lost = [event for event in events if isinstance(event, AttemptLinkLost)]
        assert frames == kinds
        assert lost == ([] if sent is None else [AttemptLinkLost(ATTEMPT, sent)])


class TestCall:
    @pytest.mark.parametrize(
        ("app", "sent"),
        [
            (None, False),
            (Sidecar(404), False),
            (Sidecar(500), True),
            (Sidecar(body=b"half", headers=[_result()], cut=True), True),
            (Sidecar(headers=[_result(OTHER)]), True),
            (Sidecar(), True),
            (Sidecar(body=b"x" * (MAX_ANSWER_BYTES + 1), headers=[_result()]), True),
        ],
    )
    async def test_lost_call_is_unsent_only_if_proved(self, connect, app, sent) -> None:
        """Anything but a complete answer for this attempt is a lost link."""
        client = await connect(app)
        assert await client.call("u", OFFER, CALL) == AttemptLinkLost(ATTEMPT, sent)

    async def test_complete_answer(self, connect) -> None:
        """The call reaches the sidecar unchanged, and the answer's body is returned."""
        app = Sidecar(body=b"done", headers=[_result()])
        settled = await (await connect(app)).call("u", OFFER, CALL)
        assert settled == CallSettled(CallResult(ATTEMPT, 201, body=b"done"))
        (scope, body), headers = app.seen[0], dict(app.seen[0][0]["headers"])
        assert (scope["path"], body) == ("/v1/calls", b"body")
        assert headers[b"authorization"] == b"Bearer 0123456789abcdef"
        head = headers[b"chivehold-call"].decode("latin-1")
        assert msgspec.json.decode(head) == msgspec.json.decode(msgspec.json.encode(CALL[:3]))


class TestBrokenAnswer:
    # Guards against an answer that is none in the protocol and is taken for a sidecar's.
    @pytest.mark.parametrize("head", MALFORMED_HEADS)
    async def test_malformed_head(self, head: bytes) -> None:
        """The link is lost; the call and the attempt may have run."""
        fields = ": ".join(_result()).encode()
        answer = head + b"\r\n" + fields + b"\r\n\r\n" + _lines(GRANTED, FINISHED)
        raw = RawUpstream(lambda request: answer, Ending.ORDERLY, answers_calls=True)
        async with raw_peer(raw) as address:
            client = _client_of(address)
            assert await client.call("u", OFFER, CALL) == AttemptLinkLost(ATTEMPT, True)
            events = [event async for event in client.offer("u", OFFER)]
            assert events == [AttemptLinkLost(ATTEMPT, True)]

    async def test_reset_while_the_call_is_sent(self) -> None:
        """A part of an answer without a length is none."""
        answer = b"HTTP/1.1 200 OK\r\n" + ": ".join(_result()).encode() + b"\r\n\r\na part"
        raw = RawUpstream(lambda request: answer, Ending.RESET, is_early=True, answers_calls=True)
        async with raw_peer(raw) as address:
            call = CALL._replace(body=LONG_BODY)
            result = await _client_of(address).call("u", OFFER, call)
            assert result == AttemptLinkLost(ATTEMPT, True)


class TestPrefillAndImport:
    @pytest.mark.parametrize(
        ("app", "kind"),
        [
            (None, PrefillKind.REFUSED),
            (Sidecar(401), PrefillKind.REFUSED),
            (Sidecar(500), PrefillKind.FAILED),
            (Sidecar(body=b"[]"), PrefillKind.FAILED),
            (Sidecar(body=b'["done",["r",2]]'), PrefillKind.FAILED),
            (Sidecar(body=b'["done",["r",1],"h"]'), PrefillKind.DONE),
        ],
    )
    async def test_prefill_settles(self, connect, app, kind) -> None:
        """A prefill that may have run is never reported as refused."""
        result = (await (await connect(app)).prefill("u", ORDER)).result
        assert (result.kind, result.attempt) == (kind, ATTEMPT)

    @pytest.mark.parametrize(
        ("app", "accepted"),
        [(None, False), (Sidecar(body=b"false"), False), (Sidecar(body=b"true"), True)],
    )
    async def test_import_settles(self, connect, app, accepted) -> None:
        """An import counts as accepted only if the sidecar says so."""
        assert (await (await connect(app)).import_kv("u", IMPORT)).accepted is accepted
