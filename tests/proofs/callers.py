"""Callers that record what they ask for and what they are told."""

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

PATIENCE_S = 20.0

Headers = Sequence[tuple[str, str]]


class Door(NamedTuple):
    """Where one entry takes callers."""

    name: str
    address: str


def now_ms() -> str:
    return str(int(time.time() * 1000))


class Callers:
    """Makes calls through entries; each one ends up in the recorder, however it ends."""

    def __init__(self, recorder: Recorder) -> None:
        self._recorder = recorder

    async def complete(
        self,
        door: Door,
        prompt: str,
        max_tokens: int,
        *,
        key: str = "",
        headers: Headers = (),
        leave_after_s: float = PATIENCE_S,
        begun: trio.Event | None = None,
    ) -> Call:
        """Ask for a streamed completion; ``begun`` is set at its first token."""
        call = Call("lector", time.time(), door.name, key, prompt=prompt, max_tokens=max_tokens)
        body = {"model": "lector", "prompt": prompt, "max_tokens": max_tokens, "stream": True}
        return await self._run(
            door, call, "/v1/completions", json.dumps(body).encode(), headers, leave_after_s, begun
        )

    async def reserve(
        self,
        door: Door,
        body: str,
        *,
        key: str = "",
        path: str = "/reservations",
        idempotent: bool = False,
        headers: Headers = (),
        leave_after_s: float = PATIENCE_S,
    ) -> Call:
        """Call the plain service."""
        digest = prompt_digest(body)
        call = Call("forja", time.time(), door.name, key, idempotent, path=path, body_digest=digest)
        path = f"/services/forja{path}"
        return await self._run(door, call, path, body.encode(), headers, leave_after_s, None)

    async def _run(
        self,
        door: Door,
        call: Call,
        path: str,
        body: bytes,
        headers: Headers,
        leave_after_s: float,
        begun: trio.Event | None,
    ) -> Call:
        all_headers = [("host", door.address), *headers]
        if call.key:
            all_headers.append(("Idempotency-Key", call.key))
            if not any(name == "Chivehold-First-Sent" for name, _ in headers):
                all_headers.append(("Chivehold-First-Sent", now_ms()))
        invocation = self._recorder.start_call(call)
        begun = trio.Event() if begun is None else begun
        reading = _Reading(call.prompt is not None, begun)
        end = CallEnd.CALLER_LEFT
        try:
            with trio.move_on_after(leave_after_s):
                end = await _exchange(door, path, body, all_headers, reading)
        finally:
            fields = reading.fields | {"end": end, "completed_at_s": time.time()}
            self._recorder.update_call(invocation, **fields)
        return call._replace(**fields)


class _Reading:
    """What of an answer has been read."""

    def __init__(self, is_model: bool, begun: trio.Event) -> None:
        self._is_model = is_model
        self._begun = begun
        self._rest = b""
        self._done = False
        self.fields: dict[str, object] = {"text": "", "outcome": None}

    def head(self, response: httpcore.Response) -> None:
        headers = dict(response.headers)
        outcome = headers.get(b"chivehold-outcome")
        self.fields["outcome"] = Outcome(outcome.decode()) if outcome else None
        self.fields["request"] = headers.get(b"chivehold-request", b"").decode()
        self._is_events = response.status == 200 and self._is_model

    def part(self, part: bytes) -> None:
        if not self._is_events:
            self.fields["text"] += part.decode()
            return
        *rows, self._rest = (self._rest + part).split(b"\n\n")
        for row in rows:
            self._event(row.decode())

    def end(self) -> CallEnd:
        if self._is_events:
            return CallEnd.WHOLE if self._done and not self._rest else CallEnd.BROKEN
        if self.fields["outcome"] in (None, Outcome.ANSWERED):
            return CallEnd.WHOLE
        self.fields["text"] = ""
        return CallEnd.ERROR

    def _event(self, row: str) -> None:
        if row == "data: [DONE]":
            self._done = True
        elif row.startswith("data: "):
            self.fields["text"] += json.loads(row.removeprefix("data: "))["choices"][0]["text"]
            self._begun.set()


async def _exchange(
    door: Door, path: str, body: bytes, headers: Headers, reading: _Reading
) -> CallEnd:
    url = f"http://{door.address}{path}"
    try:
        async with (
            httpcore.AsyncConnectionPool() as pool,
            pool.stream("POST", url, headers=headers, content=body) as response,
        ):
            reading.head(response)
            async for part in response.aiter_stream():
                reading.part(part)
            return reading.end()
    except httpcore.ConnectError:
        return CallEnd.NOT_SENT
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return CallEnd.BROKEN
