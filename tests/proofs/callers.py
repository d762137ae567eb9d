"""Callers that record each request they send and how it ended."""

import json
import time
from collections.abc import Sequence
from typing import NamedTuple

import httpcore
import trio

from chivehold.core.identity import Outcome
from chivehold.fakes.output import prompt_digest
from chivehold.history.events import Call, CallEnd
from chivehold.history.recorder import Recorder

CALL_TIMEOUT_S = 20.0

Headers = Sequence[tuple[str, str]]


class EntryEndpoint(NamedTuple):
    """The name of an entry and the address where it accepts callers."""

    name: str
    address: str


def now_ms() -> str:
    return str(int(time.time() * 1000))


class Callers:
    """Makes calls through entries and records each of them, also those that fail."""

    def __init__(self, recorder: Recorder) -> None:
        self._recorder = recorder

    async def complete(
        self,
        endpoint: EntryEndpoint,
        prompt: str,
        max_tokens: int,
        *,
        key: str = "",
        headers: Headers = (),
        disconnect_after_s: float = CALL_TIMEOUT_S,
        first_token: trio.Event | None = None,
    ) -> Call:
        """Request a streamed completion; ``first_token`` is set when its first token arrives."""
        call = Call("lector", time.time(), endpoint.name, key, prompt=prompt, max_tokens=max_tokens)
        body = {"model": "lector", "prompt": prompt, "max_tokens": max_tokens, "stream": True}
        return await self._run(
            endpoint,
            call,
            "/v1/completions",
            json.dumps(body).encode(),
            headers,
            disconnect_after_s,
            first_token,
        )

    async def reserve(
        self,
        endpoint: EntryEndpoint,
        body: str,
        *,
        key: str = "",
        path: str = "/reservations",
        idempotent: bool = False,
        headers: Headers = (),
        disconnect_after_s: float = CALL_TIMEOUT_S,
    ) -> Call:
        """Send a request to the plain service."""
        digest = prompt_digest(body)
        call = Call(
            "forja", time.time(), endpoint.name, key, idempotent, path=path, body_digest=digest
        )
        path = f"/services/forja{path}"
        return await self._run(
            endpoint, call, path, body.encode(), headers, disconnect_after_s, None
        )

    async def _run(
        self,
        endpoint: EntryEndpoint,
        call: Call,
        path: str,
        body: bytes,
        headers: Headers,
        disconnect_after_s: float,
        first_token: trio.Event | None,
    ) -> Call:
        all_headers = [("host", endpoint.address), *headers]
        if call.key:
            all_headers.append(("Idempotency-Key", call.key))
            if not any(name == "Chivehold-First-Sent" for name, _ in headers):
                all_headers.append(("Chivehold-First-Sent", now_ms()))
        invocation = self._recorder.start_call(call)
        first_token = trio.Event() if first_token is None else first_token
        reader = _AnswerReader(call.prompt is not None, first_token)
        end = CallEnd.CALLER_LEFT
        try:
            with trio.move_on_after(disconnect_after_s):
                end = await _exchange(endpoint, path, body, all_headers, reader)
        finally:
            fields = reader.fields | {"end": end, "completed_at_s": time.time()}
            self._recorder.update_call(invocation, **fields)
        return call._replace(**fields)


class _AnswerReader:
    """Parses the answer to one call while it arrives, and keeps its text and outcome."""

    def __init__(self, is_model: bool, first_token: trio.Event) -> None:
        self._is_model = is_model
        self._first_token = first_token
        self._unparsed = b""
        self._done = False
        self.fields: dict[str, object] = {"text": "", "outcome": None}

    def read_head(self, response: httpcore.Response) -> None:
        headers = dict(response.headers)
        outcome = headers.get(b"chivehold-outcome")
        self.fields["outcome"] = Outcome(outcome.decode()) if outcome else None
        self.fields["request"] = headers.get(b"chivehold-request", b"").decode()
        self._is_event_stream = response.status == 200 and self._is_model

    def read_chunk(self, chunk: bytes) -> None:
        if not self._is_event_stream:
            self.fields["text"] += chunk.decode()
            return
        *rows, self._unparsed = (self._unparsed + chunk).split(b"\n\n")
        for row in rows:
            self._read_event(row.decode())

    def result(self) -> CallEnd:
        if self._is_event_stream:
            return CallEnd.WHOLE if self._done and not self._unparsed else CallEnd.BROKEN
        if self.fields["outcome"] in (None, Outcome.ANSWERED):
            return CallEnd.WHOLE
        self.fields["text"] = ""
        return CallEnd.ERROR

    def _read_event(self, row: str) -> None:
        if row == "data: [DONE]":
            self._done = True
        elif row.startswith("data: "):
            self.fields["text"] += json.loads(row.removeprefix("data: "))["choices"][0]["text"]
            self._first_token.set()


async def _exchange(
    endpoint: EntryEndpoint, path: str, body: bytes, headers: Headers, reader: _AnswerReader
) -> CallEnd:
    url = f"http://{endpoint.address}{path}"
    try:
        async with (
            httpcore.AsyncConnectionPool() as pool,
            pool.stream("POST", url, headers=headers, content=body) as response,
        ):
            reader.read_head(response)
            async for chunk in response.aiter_stream():
                reader.read_chunk(chunk)
            return reader.result()
    except httpcore.ConnectError:
        return CallEnd.NOT_SENT
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return CallEnd.BROKEN
