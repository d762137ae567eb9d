"""Callers: they keep their connections, come back where they may, and note what they are told."""

import itertools
import time
from random import Random
from typing import NamedTuple

import httpcore
import trio

from chivehold.core.identity import Outcome, RequestId
from chivehold.fakes.output import prompt_digest
from chivehold.history.events import Call, CallEnd
from tests.soak.entries import Entry, loopback
from tests.soak.upstreams import STREAM_EVENTS
from tests.soak.world import HOST, PLAIN_TIMEOUT_MS, STREAM_TIMEOUT_MS, World

PATHS = ("/get/", "/post/", "/resume/", "/tell/")
PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))
LEAVE_SHARE = 0.15
READY_POLL_S = 0.5
PROBE_POLL_S = 0.2
PATIENCE_S = 1.0
"""How much longer than its deadline a caller listens."""
CLIENT_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class _Answer:
    """What has been read of an answer."""

    def __init__(self, is_stream: bool, before: str = "") -> None:
        self._is_stream = is_stream
        self._rest = b""
        self.status = 0
        self.text = before
        self.events = len(before.split())

    @property
    def outcome(self) -> Outcome | None:
        if not self.status:
            return None
        if self.status in PROMISES_NOT_RUN:
            return Outcome.NOT_RUN
        return Outcome.ANSWERED if self.status == 200 else Outcome.UNKNOWN

    def part(self, part: bytes) -> None:
        if not self._is_stream or self.status != 200:
            self.text += part.decode() if self.status == 200 else ""
            return
        *whole, self._rest = (self._rest + part).split(b"\n\n")
        for event in whole:
            number, _, data = event.decode().partition("\ndata: ")
            # A gap or a repeat shows as a wrong token at its offset.
            self.events = int(number.removeprefix("id: "))
            self.text += f" {data}"


class Try(NamedTuple):
    """One request to send."""

    path: str
    prompt: str
    deadline_s: float
    leave_after_s: float | None = None
    before: str = ""
    """Output that the caller has already, where it resumes."""


class Callers:
    """The callers of a run.

    Args:
        world: Where they call.
        rng: Draws what they ask for, and when they leave.
        rate: Requests a second.
    """

    def __init__(self, world: World, rng: Random, rate: float) -> None:
        self._world = world
        self._rng = rng
        self._rate = rate
        self._numbers = itertools.count(1)
        self._pools = {
            name: httpcore.AsyncConnectionPool(max_connections=500) for name in world.entries
        }
        self._missed = dict.fromkeys(world.entries, 2)
        self.sound: set[str] = set()
        """Entries that answered their last probe."""

    async def run(self) -> None:
        """Make calls until cancelled."""
        async with trio.open_nursery() as nursery:
            for entry in self._world.entries.values():
                nursery.start_soon(self._ask_ready, entry)
                nursery.start_soon(self._probe, entry)
            while True:
                await trio.sleep(self._rng.expovariate(self._rate))
                if ready := [name for name, missed in self._missed.items() if missed < 2]:
                    nursery.start_soon(self._request, self._rng.choice(ready))

    def new_try(self, path: str, leaves: bool = False) -> Try:
        """Return a request that nobody has made."""
        is_stream = path in ("/resume/", "/tell/")
        deadline_s = (STREAM_TIMEOUT_MS if is_stream else PLAIN_TIMEOUT_MS) / 1_000
        leave_after_s = self._rng.uniform(0.0, 1.2 if is_stream else 0.1) if leaves else None
        return Try(path, f"prompt {next(self._numbers)}", deadline_s, leave_after_s)

    async def call(self, name: str, one: Try) -> Call:
        """Make one request and note how it ends."""
        request = f"r{next(self._numbers)}"
        is_stream = one.path in ("/resume/", "/tell/")
        call = Call(
            target="model" if is_stream else "plain",
            invoked_at_s=time.time(),
            entry=name,
            idempotent=one.path != "/post/" and one.path != "/tell/",
            request=RequestId(request),
            prompt=one.prompt if is_stream else None,
            max_tokens=STREAM_EVENTS if is_stream else 0,
            path=one.prompt,
            body_digest=prompt_digest(one.prompt),
        )
        invocation = self._world.recorder.start_call(call)
        answer = _Answer(is_stream, one.before)
        end = CallEnd.CALLER_LEFT
        try:
            patience_s = one.deadline_s + PATIENCE_S
            leave_after_s = patience_s if one.leave_after_s is None else one.leave_after_s
            with trio.move_on_after(leave_after_s):
                end = await self._exchange(name, request, one, answer)
        finally:
            outcome = answer.outcome if end in (CallEnd.ERROR, CallEnd.WHOLE) else None
            ended = {"end": end, "outcome": outcome, "text": answer.text}
            self._world.recorder.update_call(invocation, **ended, completed_at_s=time.time())
        return call._replace(**ended)

    async def aclose(self) -> None:
        for pool in self._pools.values():
            await pool.aclose()

    async def _request(self, name: str) -> None:
        one = self.new_try(self._rng.choice(PATHS), self._rng.random() < LEAVE_SHARE)
        call = await self.call(name, one)
        if one.path == "/resume/" and call.end is CallEnd.BROKEN and call.text:
            others = [other for other, missed in self._missed.items() if missed < 2]
            resumed = one._replace(before=call.text, leave_after_s=None)
            await self.call(self._rng.choice(others or [name]), resumed)

    async def _exchange(self, name: str, request: str, one: Try, answer: _Answer) -> CallEnd:
        headers = [
            ("host", HOST),
            ("x-chivehold-request-id", request),
            ("x-chivehold-deadline-ms", str(int(one.deadline_s * 1_000))),
            ("x-chivehold-token-count", "100,200"),
            ("x-chivehold-length-hint", "190"),
        ]
        if one.before:
            headers.append(("last-event-id", str(len(one.before.split()))))
        url = f"http://{self._world.entries[name].callers.address}{one.path}a"
        try:
            async with self._pools[name].stream(
                "POST", url, headers=headers, content=one.prompt.encode()
            ) as response:
                answer.status = response.status
                async for part in response.aiter_stream():
                    answer.part(part)
        except httpcore.ConnectError:
            return CallEnd.NOT_SENT
        except CLIENT_ERRORS:
            return CallEnd.BROKEN
        return CallEnd.WHOLE if answer.status == 200 else CallEnd.ERROR

    async def _ask_ready(self, entry: Entry) -> None:
        """Ask as a load balancer does; two failures in a row take an entry out."""
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                is_ready = False
                with trio.move_on_after(READY_POLL_S):
                    try:
                        host, port = loopback(entry.ready_address)
                        answer = await pool.request("GET", f"http://{host}:{port}/v1/ready")
                        is_ready = answer.status == 200
                    except (*CLIENT_ERRORS, ValueError):
                        is_ready = False
                self._missed[entry.name] = 0 if is_ready else self._missed[entry.name] + 1
                await trio.sleep(READY_POLL_S)

    async def _probe(self, entry: Entry) -> None:
        """Note again and again which configuration is in force."""
        while True:
            await trio.sleep(PROBE_POLL_S)
            sent_at_s, run = time.time(), entry.run
            answer = _Answer(is_stream=False)
            one = Try("/probe/", "", 1.0)
            with trio.move_on_after(1.5):
                await self._exchange(entry.name, f"p{next(self._numbers)}", one, answer)
            if answer.status == 200 and run == entry.run:
                version = self._world.version_of(answer.text)
                self._world.recorder.add_revision_sample(entry.name, run, version, sent_at_s)
                self.sound.add(entry.name)
            else:
                self.sound.discard(entry.name)
