"""The application that serves callers, with a scripted driver."""

import json
import uuid
from typing import NamedTuple

import pytest
import trio

from chivehold.bodies import BodyBudget, CallerLimits
from chivehold.core.entry_messages import Finish, RequestArrived
from chivehold.core.identity import EntryIncarnation, Outcome, RequestId
from chivehold.entry.caller_headers import HeaderBounds, read_headers
from chivehold.entry.callers import CallerApp
from chivehold.entry.pending import PendingRequest
from chivehold.entry.prompts import BLOCK_BYTES, prefix_blocks, prompt_tokens
from chivehold.exceptions import BudgetSpent, Malformed
from chivehold.metrics import EntryMetrics

LIMITS = CallerLimits(max_body_bytes=2_000, max_header_bytes=1_000, max_held_bytes=3_000)
NOW_S = 1_800_000_000.0
BOUNDS = HeaderBounds(max_deadline_s=900.0, key_retention_s=3600.0)
BODY = {"model": "lector", "prompt": "a b"}
CHAT = {"model": "lector", "messages": [{"role": "user", "content": "hi"}]}
COMPLETIONS, CHATS = "/v1/completions", "/v1/chat/completions"


def uuid7(sent_s: float) -> str:
    return str(uuid.UUID(int=int(sent_s * 1000) << 80 | 7 << 76 | 2 << 62 | 12345))


class ScriptedDriver:
    """Gives each request the same tokens and end; with ``finish=None`` it never ends."""

    def __init__(self, tokens: tuple[str, ...] = (), finish: Finish | None = None) -> None:
        self.arrivals: list[RequestArrived] = []
        self.cancelled: list[RequestId] = []
        self._tokens = tokens
        self._finish = finish

    def submit(self, arrival: RequestArrived) -> PendingRequest:
        self.arrivals.append(arrival)
        pending = PendingRequest(arrival.request)
        for token in self._tokens:
            pending.relay((token,))
        if self._finish is not None:
            pending.finish(self._finish._replace(request=arrival.request))
        return pending

    def cancel(self, pending: PendingRequest) -> None:
        self.cancelled.append(pending.request)


class Answer(NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool

    @property
    def error(self) -> dict[str, object]:
        return json.loads(self.body)["error"]


def _app(driver: ScriptedDriver) -> CallerApp:
    return CallerApp(driver, EntryMetrics(), EntryIncarnation("e.1"), BOUNDS, LIMITS)


async def send_request(
    driver, path=COMPLETIONS, body=b"", headers=(), method="POST", disconnects=False, version="1.1"
):
    app = _app(driver)
    content = body if isinstance(body, bytes) else json.dumps(body).encode()
    inbox = [{"type": "http.request", "body": content, "more_body": False}]
    sent = []

    async def receive():
        if inbox:
            return inbox.pop()
        if not disconnects:
            await trio.sleep_forever()
        return {"type": "http.disconnect"}

    async def send(message):
        sent.append(message)

    raw = [(key.lower().encode(), value.encode("latin-1")) for key, value in headers]
    scope = {"path": path, "raw_path": path.encode(), "query_string": b"", "method": method}
    await app(scope | {"headers": raw, "http_version": version}, receive, send)
    if not sent:
        return None
    text = {key.decode(): value.decode() for key, value in sent[0]["headers"]}
    parts = b"".join(message["body"] for message in sent[1:])
    return Answer(sent[0]["status"], text, parts, not sent[-1].get("more_body", False))


def finish(outcome: Outcome, reason: str = "", retry_after_s: float | None = None) -> Finish:
    return Finish(RequestId(""), outcome, reason, retry_after_s)


class TestBadInput:
    @pytest.mark.parametrize(
        ("path", "body", "headers", "status"),
        [
            (COMPLETIONS, b"{", (), 400),
            (COMPLETIONS, b"[" * 1_900, (), 400),
            (COMPLETIONS, b'{"model": "lector", "prompt": "\xff"}', (), 400),
            (COMPLETIONS, BODY | {"prompt": 7}, (), 400),
            (COMPLETIONS, BODY | {"max_tokens": 0}, (), 400),
            (COMPLETIONS, BODY | {"max_tokens": 10**9}, (), 400),
            (COMPLETIONS, BODY | {"n": 2}, (), 400),
            (COMPLETIONS, BODY | {"model": ""}, (), 400),
            (COMPLETIONS, BODY | {"prompt": "x" * 2_000}, (), 413),
            (CHATS, CHAT | {"messages": []}, (), 400),
            (CHATS, BODY, (), 400),
            (COMPLETIONS, BODY, [("Chivehold-Deadline", "-1")], 400),
            (COMPLETIONS, BODY, [("Chivehold-Deadline", "nan")], 400),
            (COMPLETIONS, BODY, [("Chivehold-Deadline", "1e999")], 400),
            (COMPLETIONS, BODY, [("Chivehold-Deadline", "1"), ("Chivehold-Deadline", "2")], 400),
            (COMPLETIONS, BODY, [("Chivehold-Idempotent", "maybe")], 400),
            (COMPLETIONS, BODY, [("Chivehold-Class", "a" * 200)], 400),
            (COMPLETIONS, BODY, [("Chivehold-Organisation", "\xe9\x00")], 400),
            (COMPLETIONS, BODY, [("Idempotency-Key", str(uuid.UUID(int=4 << 76)))], 400),
            (COMPLETIONS, BODY, [("Idempotency-Key", uuid7(0))], 400),
            ("/v1/models", b"", (), 404),
            ("/services/forja/\u00e9", b"", (), 400),
            ("/services/forja/lookups/../reservations", b"", (), 400),
            ("/services/forja//reservations", b"", (), 400),
            ("/services/forja/%72eservations", b"", (), 400),
            ("/services/forja/a%00b", b"", (), 400),
            ("/services/forja/%zz", b"", (), 400),
            (COMPLETIONS, BODY, [("X", "a" * 1_000)], 431),
        ],
    )
    async def test_is_rejected(self, path, body, headers, status) -> None:
        """Malformed input gets a typed error and does not reach the core."""
        driver = ScriptedDriver()
        answer = await send_request(driver, path, body, headers)
        assert answer.status == status
        assert answer.headers["chivehold-outcome"] == answer.error["outcome"] == "rejected"
        assert driver.arrivals == []

    async def test_incomplete_body_is_rejected(self) -> None:
        """A request whose body breaks off gets a 408 and does not reach the core."""
        driver = ScriptedDriver()
        app = _app(driver)
        sent = []

        async def receive():
            return {"type": "http.disconnect"}

        async def send(message):
            sent.append(message)

        scope = {"path": COMPLETIONS, "method": "POST", "headers": [], "http_version": "1.1"}
        await app(scope, receive, send)
        assert sent[0]["status"] == 408
        assert driver.arrivals == []

    async def test_http2_is_refused(self) -> None:
        """HTTP/2 is refused, because an incomplete answer could look complete in it."""
        assert (await send_request(ScriptedDriver(), body=BODY, version="2")).status == 505

    async def test_held_bodies_are_bounded(self) -> None:
        """A body beyond the budget is refused, and its reserved bytes are released."""
        budget = BodyBudget(100)
        with budget.reserve(80) as reserved:
            with pytest.raises(BudgetSpent), budget.reserve(30):
                pass
            reserved.shrink_to(10)
            assert budget.held_bytes == 10
        assert budget.held_bytes == 0


class TestHeaders:
    def _read(self, *headers: tuple[str, str]):
        raw = [(key.lower().encode(), value.encode()) for key, value in headers]
        return read_headers({"headers": raw}, BOUNDS, lambda: NOW_S)

    @pytest.mark.parametrize(
        ("headers", "age_s"),
        [
            ([("Idempotency-Key", uuid7(NOW_S - 5))], 5.0),
            ([("Idempotency-Key", uuid7(NOW_S + 10))], 0.0),
            ([("Idempotency-Key", "k"), ("Chivehold-First-Sent", f"{NOW_S * 1000 - 7000}")], 7.0),
        ],
    )
    def test_age_of_key(self, headers, age_s) -> None:
        """The age is read from the key or the header, and is never negative."""
        assert self._read(*headers).first_sent_ago_s == pytest.approx(age_s)

    @pytest.mark.parametrize("sent_s", [NOW_S - 3601, NOW_S + 61])
    def test_key_out_of_bounds_is_rejected(self, sent_s: float) -> None:
        """A key that may have been forgotten, or lies in the future, is rejected."""
        with pytest.raises(Malformed):
            self._read(("Idempotency-Key", uuid7(sent_s)))

    def test_deadline_is_bounded(self) -> None:
        """A caller cannot get more time than the settings allow."""
        assert self._read(("Chivehold-Deadline", "1e6")).deadline_in_s == BOUNDS.max_deadline_s


class TestAnswers:
    @pytest.mark.parametrize(
        ("end", "status", "retry_after"),
        [
            (finish(Outcome.NOT_RUN, "queue full", 2.1), 429, "3"),
            (finish(Outcome.NOT_RUN, "no upstream", 0.2), 503, "1"),
            (finish(Outcome.UNKNOWN, "deadline"), 504, None),
            (finish(Outcome.UNKNOWN, "link lost"), 502, None),
            (finish(Outcome.IN_PROGRESS), 409, None),
            (finish(Outcome.ALREADY_ANSWERED), 409, None),
            (finish(Outcome.REJECTED, "unknown target"), 404, None),
        ],
    )
    @pytest.mark.parametrize("stream", [False, True])
    async def test_outcome_sets_status(self, end, status, retry_after, stream) -> None:
        """Each outcome has its status; ``Retry-After`` is rounded up, and exact in the body."""
        answer = await send_request(ScriptedDriver((), end), body=BODY | {"stream": stream})
        assert (answer.status, answer.is_whole) == (status, True)
        assert answer.headers["chivehold-outcome"] == end.outcome
        assert answer.headers.get("retry-after") == retry_after
        assert answer.error["retry_after_s"] == end.retry_after_s

    async def test_failed_stream_never_looks_complete(self) -> None:
        """A failure after the first token is an error event, and the body is not completed."""
        driver = ScriptedDriver((" a", " b"), finish(Outcome.UNKNOWN, "superseded"))
        answer = await send_request(driver, body=BODY | {"stream": True})
        assert answer.status == 200
        assert not answer.is_whole
        assert b"[DONE]" not in answer.body
        assert b"event: error" in answer.body

    async def test_partial_answer_is_an_error(self) -> None:
        """A partial answer is not returned if the caller did not ask for a stream."""
        driver = ScriptedDriver((" a",), finish(Outcome.UNKNOWN, "superseded"))
        answer = await send_request(driver, body=BODY)
        assert (answer.status, answer.error["outcome"]) == (502, "unknown")

    async def test_complete_chat(self) -> None:
        """A complete answer carries all text and the reason why it ended."""
        driver = ScriptedDriver((" a", " b"), finish(Outcome.ANSWERED))
        answer = await send_request(driver, CHATS, CHAT | {"max_tokens": 2})
        choice = json.loads(answer.body)["choices"][0]
        assert choice["message"] == {"role": "assistant", "content": " a b"}
        assert choice["finish_reason"] == "length"
        assert driver.arrivals[0].prompt == "user: hi\n"

    async def test_slowly_sent_answer_is_in_progress(self, nursery, autojump_clock) -> None:
        """An answer that is still being sent is in progress, so that a drain waits for it."""
        app = _app(ScriptedDriver((), finish(Outcome.REJECTED)))

        async def send(message):
            await trio.sleep(1)

        nursery.start_soon(app, {"path": "/", "headers": [], "http_version": "1.1"}, None, send)
        await trio.sleep(1.5)
        assert app.in_progress == 1
        await trio.sleep(1)
        assert app.in_progress == 0

    @pytest.mark.parametrize("tokens", [(), (" a",)])
    async def test_disconnect_is_reported(self, tokens) -> None:
        """The request is cancelled when its caller disconnects, before or after the first token."""
        driver = ScriptedDriver(tokens)
        await send_request(driver, body=BODY | {"stream": True}, disconnects=True)
        assert driver.cancelled == [driver.arrivals[0].request]


class TestPrompts:
    def test_size_and_blocks(self) -> None:
        """Only complete blocks have digests, and equal prefixes have equal digests."""
        first = "a" * BLOCK_BYTES
        assert prompt_tokens("") == 1
        assert len(prefix_blocks(first + "b")) == 1
        assert prefix_blocks(first + "b" * BLOCK_BYTES)[0] == prefix_blocks(first)[0]
        assert prefix_blocks("b" + first) != prefix_blocks(first)
