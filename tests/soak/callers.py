"""Callers that reuse connections, resume broken streams and record what they receive."""

import itertools
import time
from random import Random
from typing import NamedTuple

import httpcore
import trio

from chivehold.core.identity import Outcome, RequestId
from chivehold.fakes.identity import api_key
from chivehold.fakes.output import prompt_digest
from chivehold.history.events import Call, CallEnd, Violation
from tests.soak.entries import Entry, loopback_address
from tests.soak.upstreams import SOFTWARE_MARK, STREAM_EVENTS
from tests.soak.world import (
    HOST,
    ORGANISATIONS,
    PLAIN_TIMEOUT_MS,
    STREAM_TIMEOUT_MS,
    World,
)

PATHS = ("/get/", "/post/", "/resume/", "/tell/")
PROBE_PATH = "/probe/"
"""Path of the only route that needs no API key."""
UNIDENTIFIED_STATUS = 401
NOT_RUN_STATUSES = frozenset((UNIDENTIFIED_STATUS, 408, 421, 429, 503))
DISCONNECT_SHARE = 0.15
UNKNOWN_KEY_SHARE = 0.03
SHARED_PART = "5a5a5a"
"""First part of all prompts."""
READY_POLL_INTERVAL_S = 0.5
PROBE_INTERVAL_S = 0.2
DEADLINE_SLACK_S = 1.0
"""How long after its deadline a caller disconnects."""
CLIENT_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class _AnswerReader:
    """Parses an answer while it arrives, and keeps its status and text."""

    def __init__(
        self, is_stream: bool, received_text: str = "", software: frozenset[str] = frozenset()
    ) -> None:
        self._is_stream = is_stream
        self.software = set(software)
        """Versions of the software of the engines that wrote the events."""
        self._unparsed = b""
        self.status = 0
        self.text = received_text
        self.events = len(received_text.split())

    @property
    def outcome(self) -> Outcome | None:
        if not self.status:
            return None
        if self.status in NOT_RUN_STATUSES:
            return Outcome.NOT_RUN
        return Outcome.ANSWERED if self.status == 200 else Outcome.UNKNOWN

    def feed(self, chunk: bytes) -> None:
        if not self._is_stream or self.status != 200:
            self.text += chunk.decode() if self.status == 200 else ""
            return
        *complete, self._unparsed = (self._unparsed + chunk).split(b"\n\n")
        for event in complete:
            number, _, data = event.decode().partition("\ndata: ")
            # The checks find a gap or a repeated event as a wrong token at its offset.
            self.events = int(number.removeprefix("id: "))
            token, _, software = data.partition(SOFTWARE_MARK)
            self.software.add(software)
            self.text += f" {token}"


class OutgoingRequest(NamedTuple):
    """A request to send."""

    path: str
    prompt: str
    deadline_s: float
    disconnect_after_s: float | None = None
    received_text: str = ""
    """The output received before, if the request resumes a stream."""
    resumes: str = ""
    """The request that brought the stream's first event, if this one resumes it."""
    software: frozenset[str] = frozenset()
    """Versions of the software that wrote that output."""
    parts: tuple[str, ...] = ()
    """Further parts of a stream's prompt, between the shared first part and its own."""
    organisation: str | None = ORGANISATIONS[0]
    """Whose key the caller sends; ``None`` if it sends an unknown one."""


class Callers:
    """The callers of a run.

    Args:
        world: The entries to call.
        rng: Draws the requests and the times of disconnects.
        rate: Requests per second.
    """

    def __init__(self, world: World, rng: Random, rate: float) -> None:
        self._world = world
        self._rng = rng
        self._rate = rate
        self._request_numbers = itertools.count(1)
        self._pools = {
            name: httpcore.AsyncConnectionPool(max_connections=500) for name in world.entries
        }
        self._failed_ready_checks = dict.fromkeys(world.entries, 2)
        self._software: dict[str, frozenset[str]] = {}
        """Versions of the software that wrote the answer to each request."""
        self.healthy_entries: set[str] = set()
        """Names of the entries that answered their last probe."""

    async def run(self) -> None:
        """Make random calls until cancelled."""
        async with trio.open_nursery() as nursery:
            for entry in self._world.entries.values():
                nursery.start_soon(self._poll_ready, entry)
                nursery.start_soon(self._probe, entry)
            while True:
                await trio.sleep(self._rng.expovariate(self._rate))
                if ready := [
                    name
                    for name, failed_checks in self._failed_ready_checks.items()
                    if failed_checks < 2
                ]:
                    nursery.start_soon(self._make_random_request, self._rng.choice(ready))

    def new_request(self, path: str, disconnects: bool = False) -> OutgoingRequest:
        """Return a request with a new prompt."""
        is_stream = path in ("/resume/", "/tell/")
        deadline_s = (STREAM_TIMEOUT_MS if is_stream else PLAIN_TIMEOUT_MS) / 1_000
        disconnect_after_s = (
            self._rng.uniform(0.0, 1.2 if is_stream else 0.1) if disconnects else None
        )
        number = next(self._request_numbers)
        return OutgoingRequest(
            path,
            f"prompt {number}",
            deadline_s,
            disconnect_after_s,
            organisation=ORGANISATIONS[number % len(ORGANISATIONS)],
        )

    async def call(self, name: str, outgoing: OutgoingRequest) -> Call:
        """Send a request and record how it ends."""
        request = f"r{next(self._request_numbers)}"
        is_stream = outgoing.path in ("/resume/", "/tell/")
        call = Call(
            target="model" if is_stream else "plain",
            invoked_at_s=time.time(),
            entry=name,
            idempotent=outgoing.path != "/post/" and outgoing.path != "/tell/",
            request=RequestId(request),
            prompt=outgoing.prompt if is_stream else None,
            max_tokens=STREAM_EVENTS if is_stream else 0,
            path=outgoing.prompt,
            body_digest=prompt_digest(outgoing.prompt),
        )
        invocation = self._world.recorder.start_call(call)
        self._world.work_log.organisations[request] = outgoing.organisation
        reader = _AnswerReader(is_stream, outgoing.received_text, outgoing.software)
        end = CallEnd.CALLER_LEFT
        try:
            timeout_s = outgoing.deadline_s + DEADLINE_SLACK_S
            disconnect_after_s = (
                timeout_s if outgoing.disconnect_after_s is None else outgoing.disconnect_after_s
            )
            with trio.move_on_after(disconnect_after_s):
                end = await self._exchange(name, request, outgoing, reader)
        finally:
            outcome = reader.outcome if end in (CallEnd.ERROR, CallEnd.WHOLE) else None
            result = {"end": end, "outcome": outcome, "text": reader.text}
            self._world.recorder.update_call(invocation, **result, completed_at_s=time.time())
            self._software[request] = frozenset(reader.software)
            is_known = outgoing.organisation is not None
            if reader.status == (UNIDENTIFIED_STATUS if is_known else 200):
                detail = f"{request} of {outgoing.organisation} got {reader.status}"
                self._world.work_log.violations.append(Violation("identity", name, detail))
            if len(reader.software) > 1:
                detail = f"{request} (resumes {outgoing.resumes or 'none'}) holds events of" + (
                    f" {sorted(reader.software)}"
                )
                self._world.work_log.violations.append(Violation("one_software", name, detail))
        return call._replace(**result)

    async def aclose(self) -> None:
        for pool in self._pools.values():
            await pool.aclose()

    async def _make_random_request(self, name: str) -> None:
        outgoing = self.new_request(self._rng.choice(PATHS), self._rng.random() < DISCONNECT_SHARE)
        if self._rng.random() < UNKNOWN_KEY_SHARE:
            outgoing = outgoing._replace(organisation=None)
        call = await self.call(name, outgoing)
        if outgoing.path == "/resume/" and call.end is CallEnd.BROKEN and call.text:
            others = [
                other
                for other, failed_checks in self._failed_ready_checks.items()
                if failed_checks < 2
            ]
            resumed = outgoing._replace(
                received_text=call.text,
                resumes=str(call.request),
                software=self._software[str(call.request)],
                disconnect_after_s=None,
            )
            await self.call(self._rng.choice(others or [name]), resumed)

    async def ask_probe(self, name: str) -> str | None:
        """Return the probe service that an entry routes to, or ``None`` without a whole answer."""
        reader = _AnswerReader(is_stream=False)
        outgoing = OutgoingRequest(PROBE_PATH, "", 1.0)
        end: CallEnd | None = None
        with trio.move_on_after(1.5):
            end = await self._exchange(name, f"p{next(self._request_numbers)}", outgoing, reader)
        return reader.text if end is CallEnd.WHOLE else None

    async def _exchange(
        self, name: str, request: str, outgoing: OutgoingRequest, reader: _AnswerReader
    ) -> CallEnd:
        headers = [
            ("host", HOST),
            ("x-chivehold-request-id", request),
            ("x-chivehold-deadline-ms", str(int(outgoing.deadline_s * 1_000))),
            ("x-chivehold-token-count", "100,200"),
            ("x-chivehold-length-hint", "190"),
        ]
        if outgoing.path != PROBE_PATH:
            headers.append(("x-api-key", api_key(outgoing.organisation or "nobody")))
            headers.append(("x-chivehold-tenant", "forged"))
        if outgoing.path in ("/resume/", "/tell/"):
            parts = (SHARED_PART, *outgoing.parts, prompt_digest(outgoing.prompt)[:12])
            prompt = ",".join(f"{part}:10" for part in parts)
            headers.append(("x-chivehold-prompt-prefix", prompt))
        if outgoing.received_text:
            headers.append(("last-event-id", str(len(outgoing.received_text.split()))))
            headers.append(("resumes", outgoing.resumes))
        url = f"http://{self._world.entries[name].callers.address}{outgoing.path}a"
        try:
            async with self._pools[name].stream(
                "POST", url, headers=headers, content=outgoing.prompt.encode()
            ) as response:
                reader.status = response.status
                async for chunk in response.aiter_stream():
                    reader.feed(chunk)
        except httpcore.ConnectError:
            return CallEnd.NOT_SENT
        except CLIENT_ERRORS:
            return CallEnd.BROKEN
        return CallEnd.WHOLE if reader.status == 200 else CallEnd.ERROR

    async def _poll_ready(self, entry: Entry) -> None:
        """Poll readiness as a load balancer does; two failures in a row exclude an entry."""
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                is_ready = False
                with trio.move_on_after(READY_POLL_INTERVAL_S):
                    try:
                        host, port = loopback_address(entry.ready_address)
                        response = await pool.request("GET", f"http://{host}:{port}/v1/ready")
                        is_ready = response.status == 200
                    except (*CLIENT_ERRORS, ValueError):
                        is_ready = False
                self._failed_ready_checks[entry.name] = (
                    0 if is_ready else self._failed_ready_checks[entry.name] + 1
                )
                await trio.sleep(READY_POLL_INTERVAL_S)

    async def _probe(self, entry: Entry) -> None:
        """Record periodically which configuration is in force at an entry."""
        while True:
            await trio.sleep(PROBE_INTERVAL_S)
            sent_at_s, run = time.time(), entry.run
            probe = await self.ask_probe(entry.name)
            if probe is not None and run == entry.run:
                version = self._world.version_of(probe)
                self._world.recorder.add_revision_sample(entry.name, run, version, sent_at_s)
                self.healthy_entries.add(entry.name)
            else:
                self.healthy_entries.discard(entry.name)
