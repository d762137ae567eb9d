"""Simulated callers of a site, which send, retry and abandon requests."""

import json
import time
from collections.abc import Iterator, Sequence
from random import Random
from typing import NamedTuple

import trio

from chivehold.fakes.output import output_tokens, prompt_digest
from chivehold.http_client import HttpClient, LinkError
from examples.demo.sites import Site

MAX_TRIES = 12
RETRY_PAUSE_S = 0.3
READ_TIMEOUT_S = 60.0
DISCONNECT_AFTER_S = (0.1, 1.5)
DISCONNECTED = "departed"
BROKEN = "broken"
ANSWERED = "answered"


class RequestKind(NamedTuple):
    """A kind of request and how it is sent."""

    label: str
    traffic_class: str
    path: str
    """Path of a call to a plain service; empty for a model request."""
    method: str
    rate_per_s: float
    prompt_words: tuple[int, int]
    tokens: tuple[int, int]
    disconnect_share: float
    """Share of callers that disconnect before the end, 0 to 1."""
    duplicate_share: float
    """Share that is also sent at the same time under the same key through another entry, 0 to 1."""


class TryResult(NamedTuple):
    """The outcome of sending a request once."""

    request: str
    outcome: str
    retry_after_s: float


class SentRequest(NamedTuple):
    """A request with the results of all its tries."""

    kind: RequestKind
    key: str
    tries: list[TryResult]
    complete_answers: int
    mismatch: str
    """How an answer that ended normally was wrong; empty if none was."""
    first_token_s: float | None
    gaps_s: list[float]

    @property
    def outcome(self) -> str:
        """``ANSWERED`` if any try got a complete answer, else the outcome of the last try."""
        if self.complete_answers:
            return ANSWERED
        return self.tries[-1].outcome if self.tries else "not_run"


def request_kinds(site: Site, rate: float) -> tuple[RequestKind, ...]:
    """Return a site's request mix, with its rates multiplied by ``rate``."""
    names = site.names
    short, long, no_words = (40, 400), (2000, 9000), (0, 0)
    return (
        RequestKind(
            names.urgent_class, names.urgent_class, "", "POST", 6 * rate, short, (20, 60), 0, 0.1
        ),
        RequestKind(
            names.patient_class, names.patient_class, "", "POST", rate, long, (100, 300), 0.2, 0
        ),
        RequestKind("lookup", "", names.lookup_path, "GET", 6 * rate, no_words, (0, 0), 0, 0),
        RequestKind(
            "reservation", "", names.reservation_path, "POST", 4 * rate, no_words, (0, 0), 0, 0.3
        ),
    )


class Callers:
    """The callers of one site.

    Args:
        site: The site that they send to.
        random: Source of the requests and their arrival times.
    """

    def __init__(self, site: Site, random: Random) -> None:
        self.sent: list[SentRequest] = []
        self._site = site
        self._random = random
        self._client = HttpClient()
        self._last_key = 0

    async def run(self, rate: float, for_s: float) -> None:
        """Send the request mix for ``for_s`` seconds, and return when every request has ended."""
        async with trio.open_nursery() as nursery:
            for kind in request_kinds(self._site, rate):
                nursery.start_soon(self._arrivals, kind, for_s, nursery)
        await self._client.aclose()

    async def _arrivals(self, kind: RequestKind, for_s: float, nursery: trio.Nursery) -> None:
        stop_at = trio.current_time() + for_s
        while True:
            await trio.sleep(self._random.expovariate(kind.rate_per_s))
            if trio.current_time() >= stop_at:
                return
            nursery.start_soon(self._request, kind)

    async def _request(self, kind: RequestKind) -> None:
        self._last_key += 1
        key = f"{self._site.names.name}-{kind.label}-{self._last_key}"
        sent = SentRequest(kind, key, [], 0, "", None, [])
        prompt = " ".join(self._words(kind, key))
        tokens = self._random.randint(*kind.tokens)
        disconnects = self._random.random() < kind.disconnect_share
        copies = 2 if self._random.random() < kind.duplicate_share else 1
        sender = _RequestSender(self._site, self._client, sent, prompt, tokens)
        with trio.move_on_after(
            self._random.uniform(*DISCONNECT_AFTER_S) if disconnects else float("inf")
        ):
            async with trio.open_nursery() as nursery:
                for _ in range(copies):
                    nursery.start_soon(sender.send_until_final)
        if disconnects and not sender.sent.complete_answers:
            sender.sent.tries.append(TryResult("", DISCONNECTED, 0.0))
        self.sent.append(sender.sent)

    def _words(self, kind: RequestKind, key: str) -> Iterator[str]:
        yield key
        count = self._random.randint(*kind.prompt_words)
        yield from (f"word{self._random.randrange(1000)}" for _ in range(count))


class _RequestSender:
    """Sends one request, and retries it while its outcome allows."""

    def __init__(
        self, site: Site, client: HttpClient, sent: SentRequest, prompt: str, tokens: int
    ) -> None:
        self.sent = sent
        self._site = site
        self._client = client
        self._prompt = prompt
        self._tokens = tokens
        self._headers = [
            ("idempotency-key", sent.key),
            ("chivehold-first-sent", str(int(time.time() * 1000))),
            ("content-type", "application/json"),
        ]
        if sent.kind.traffic_class:
            self._headers.append(("chivehold-class", sent.kind.traffic_class))

    async def send_until_final(self) -> None:
        """Send, and retry after ``not_run``, ``in_progress`` or a broken connection."""
        for _ in range(MAX_TRIES):
            try:
                result = await self._send()
            except LinkError:
                result = TryResult("", BROKEN, RETRY_PAUSE_S)
            self.sent.tries.append(result)
            if (
                result.outcome not in ("not_run", "in_progress", BROKEN)
                or self.sent.complete_answers
            ):
                return
            await trio.sleep(result.retry_after_s + RETRY_PAUSE_S)

    async def _send(self) -> TryResult:
        peer = self._site.next_entry().caller_address
        kind = self.sent.kind
        path, body = f"/services/{self._site.names.service}{kind.path}", b""
        if not kind.path:
            path, body = "/v1/completions", self._completion()
        started_at = trio.current_time()
        async with self._client.stream(
            peer,
            kind.method,
            path,
            step="demo request",
            body=body,
            headers=self._headers,
            read_timeout_s=READ_TIMEOUT_S,
        ) as stream:
            headers = dict(stream.headers)
            request = headers.get("chivehold-request", "")
            if stream.status != 200:
                await stream.read(1 << 20)
                outcome = headers.get("chivehold-outcome", f"status {stream.status}")
                return TryResult(request, outcome, float(headers.get("retry-after", 0)))
            if kind.path:
                self._check_service_answer(await stream.read(1 << 20))
                return TryResult(request, ANSWERED, 0.0)
            return TryResult(request, await self._read_events(stream, started_at), 0.0)

    def _completion(self) -> bytes:
        fields = {
            "model": self._site.names.deployment,
            "prompt": self._prompt,
            "max_tokens": self._tokens,
            "stream": True,
        }
        return json.dumps(fields).encode()

    async def _read_events(self, stream: object, started_at: float) -> str:
        tokens: list[str] = []
        last_token_at, done = started_at, False
        async for lines in stream:  # type: ignore[attr-defined]
            now = trio.current_time()
            new_tokens = [token for line in lines for token in _tokens(line)]
            done = done or b"data: [DONE]" in lines
            if new_tokens:
                self._record_times(
                    now, last_token_at, started_at, len(new_tokens), first=not tokens
                )
                last_token_at = now
                tokens += new_tokens
        if not done:
            return BROKEN
        expected = self._tokens
        if len(tokens) != expected:
            self._record_mismatch(f"{len(tokens)} tokens of {expected}, closed as whole")
        elif not is_expected_output(self._prompt, tokens):
            self._record_mismatch("tokens that do not follow from its prompt")
        self._count_answer()
        return ANSWERED

    def _record_times(
        self, now: float, last_token_at: float, started_at: float, new_tokens: int, first: bool
    ) -> None:
        if first and self.sent.first_token_s is None:
            self.sent = self.sent._replace(first_token_s=now - started_at)
        elif not first:
            self.sent.gaps_s.extend([(now - last_token_at) / new_tokens] * new_tokens)

    def _check_service_answer(self, body: bytes) -> None:
        answer = json.loads(body)
        if answer["key"] != self.sent.key:
            self._record_mismatch(f"the answer of {answer['key']}")
        self._count_answer()

    def _count_answer(self) -> None:
        self.sent = self.sent._replace(complete_answers=self.sent.complete_answers + 1)

    def _record_mismatch(self, description: str) -> None:
        self.sent = self.sent._replace(mismatch=description)


def is_expected_output(prompt: str, tokens: Sequence[str]) -> bool:
    """Return whether tokens are a prompt's output, which several engines may have continued."""
    index = 0
    while index < len(tokens):
        before = "".join(f" {token}" for token in tokens[:index])
        expected = output_tokens(prompt_digest(prompt + before), index, len(tokens))
        matched = _count_matching(expected, tokens[index:])
        if not matched:
            return False
        index += matched
    return True


def _count_matching(expected: Sequence[str], tokens: Sequence[str]) -> int:
    pairs = enumerate(zip(expected, tokens, strict=True))
    return next(
        (index for index, (wanted, actual) in pairs if wanted.strip() != actual), len(tokens)
    )


def _tokens(line: bytes) -> list[str]:
    if not line.startswith(b"data: {"):
        return []
    event = json.loads(line.removeprefix(b"data: "))
    if "choices" not in event:
        return []
    text: str = event["choices"][0]["text"]
    return text.split()
