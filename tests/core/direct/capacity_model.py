"""Model of callers, entries and engines that are short of memory, on a simulated clock.

Entries poll the engines for the first request of their own queue, as ``EngineMemoryReserver`` does,
and know nothing of each other. Callers wait, are refused, retry once, or leave.
"""

import heapq
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from random import Random
from typing import NamedTuple, Protocol

from chivehold.core.direct import wait_bounds
from chivehold.core.direct.grant_rate import GrantRate
from chivehold.core.direct.stream_priorities import ServedPriorities, equal_poll_interval_s
from chivehold.core.direct.waiting import Waiter, WaitQueue
from tests.core.direct.factories import route

STEP_S = 0.01
FIRST_EVENT_S = 0.35
ENGINE_TOKENS = 30_236
USUAL_TOKENS = 3_360
DEADLINE_S = 14.0
TARGETS_S = (0.8, 1.0, 2.0)
ROUTES = tuple(
    route("/", latency_target_s=target_s, event_gap_target_s=0.3) for target_s in TARGETS_S
)
RATES = (2.93, 11.4, 4.63)
"""Streams a second by priority that fill the engines."""
MEAN_STREAM_S = 22 * ENGINE_TOKENS / USUAL_TOKENS / sum(RATES)


class Call(NamedTuple):
    """A request of a caller, or its retry."""

    number: int
    priority: int
    tokens: int
    stream_s: float
    first_at: float
    at: float
    organisation: str = ""

    def waiter(self) -> Waiter:
        on_time_until = self.first_at + TARGETS_S[self.priority] - FIRST_EVENT_S
        return Waiter(str(self.number), self.tokens, self.at, on_time_until, 0.0)


class Outcome(NamedTuple):
    call: Call
    result: str
    """``on time``, ``late`` or ``lost``."""
    waited_s: float = 0.0


class Policy(Protocol):
    """What an entry decides."""

    def waiter(self, call: Call) -> Waiter: ...
    def poll_s(self, entry: "Entry", waiter: Waiter, now: float) -> float: ...
    def exceeds_caller_wait(self, waiter: Waiter, wait_s: float | None, now: float) -> bool: ...
    def retry_after_s(
        self, waiter: Waiter, wait_s: float | None, now: float, rng: Random
    ) -> float: ...


class Present:
    """The decisions of the code."""

    def waiter(self, call: Call) -> Waiter:
        waiter = call.waiter()._replace(
            priority=call.priority,
            organisation=call.organisation,
            waited_before_s=call.at - call.first_at,
            expires_at=call.first_at + DEADLINE_S,
        )
        return wait_bounds.with_bounds(waiter, ROUTES[call.priority], call.at)

    def poll_s(self, entry: "Entry", waiter: Waiter, now: float) -> float:
        is_over = waiter.organisation in entry.queue.over_share(now)
        return entry.served.poll_interval_s(waiter, is_over, now)

    def exceeds_caller_wait(self, waiter: Waiter, wait_s: float | None, now: float) -> bool:
        return wait_bounds.exceeds_caller_wait(waiter, wait_s, now)

    def retry_after_s(self, waiter: Waiter, wait_s: float | None, now: float, rng: Random) -> float:
        return wait_bounds.retry_after_s(waiter, wait_s, now, rng)


class Equal(Present):
    """The decisions where streams do not differ in priority or organisation."""

    def waiter(self, call: Call) -> Waiter:
        waiter = call.waiter()
        is_first = call.at == call.first_at
        return waiter._replace(
            gives_up_at=waiter.on_time_until + 0.25 if is_first else call.at + 2.8
        )

    def poll_s(self, entry: "Entry", waiter: Waiter, now: float) -> float:
        return equal_poll_interval_s(waiter, now)

    def exceeds_caller_wait(self, waiter: Waiter, wait_s: float | None, now: float) -> bool:
        return False

    def retry_after_s(self, waiter: Waiter, wait_s: float | None, now: float, rng: Random) -> float:
        return rng.uniform(3.0, 4.5)


class Load(NamedTuple):
    """The load of a trial: a base, and one burst."""

    burst: Sequence[float] = RATES
    """Streams a second by priority within the burst."""
    base: float = 0.8
    burst_s: tuple[float, float] = (15.0, 20.0)
    end_s: float = 30.0
    favoured: float = 1.0
    """By how much the largest of 16 organisations exceeds its usual demand within the burst."""
    long_prompts: float = 0.0
    """Share of prompts that are twice as long."""

    def calls(self, rng: Random) -> Iterator[Call]:
        """Yield the first requests by time."""
        now, number = 0.0, 0
        while now < self.end_s:
            is_burst = self.burst_s[0] <= now < self.burst_s[1]
            rates = self.burst if is_burst else [rate * self.base for rate in RATES]
            now += rng.expovariate(sum(rates))
            number += 1
            priority = rng.choices(range(len(rates)), rates)[0]
            weights = [4.0 * (self.favoured if is_burst else 1.0)] + [1.0] * 15
            organisation = f"o{rng.choices(range(16), weights)[0]}"
            tokens = int(200 + 2_400 * rng.uniform(0.5, 1.5) + 760 * rng.uniform(0.5, 1.5))
            if rng.random() < self.long_prompts:
                tokens = 2 * USUAL_TOKENS
            yield Call(number, priority, tokens, rng.uniform(0.5, 1.5), now, now, organisation)


class Entry:
    """One entry with its queue."""

    def __init__(self) -> None:
        self.queue = WaitQueue()
        self.waiting: dict[str, tuple[Call, Waiter]] = {}
        self.rate = GrantRate()
        self.served = ServedPriorities()
        self.poll_at = 0.0

    def wait_s(self, waiter: Waiter, now: float) -> float | None:
        ahead = sum(other.tokens for other in self.queue.ahead_of(waiter, now))
        return self.rate.wait_s(ahead, waiter.tokens, now)

    def remove(self, key: str) -> tuple[Call, Waiter]:
        self.queue.remove(key)
        return self.waiting.pop(key)


class Model:
    """Entries and engines under a load."""

    def __init__(
        self, policy: Policy, rng: Random, entries: int = 24, lost_engines_at: float = 1e9
    ) -> None:
        self._policy = policy
        self._rng = rng
        self._entries = [Entry() for _ in range(entries)]
        self._free = [ENGINE_TOKENS] * 22
        self._lost_engines_at = lost_engines_at
        self._ends: list[tuple[float, int, int]] = []
        self._coming: list[tuple[float, int, Call]] = []
        self.polls = 0

    def run(self, calls: Iterable[Call]) -> Iterator[Outcome]:
        self._coming = [(call.at, call.number, call) for call in calls]
        now = 0.0
        while self._coming or any(entry.waiting for entry in self._entries):
            now += STEP_S
            if now > self._lost_engines_at:
                self._free[:11] = [-ENGINE_TOKENS] * 11
            while self._ends and self._ends[0][0] <= now:
                _, engine, tokens = heapq.heappop(self._ends)
                self._free[engine] += tokens
            while self._coming and self._coming[0][0] <= now:
                yield from self._arrive(heapq.heappop(self._coming)[2], now)
            for entry in self._rng.sample(self._entries, len(self._entries)):
                for call, waiter in list(entry.waiting.values()):
                    if now > waiter.gives_up_at:
                        wait_s = entry.wait_s(waiter, now)
                        entry.remove(waiter.key)
                        yield from self._refuse(call, waiter, wait_s, now)
                yield from self._poll(entry, now)
                entry.rate.record_waiting(bool(entry.waiting), now)

    def _arrive(self, call: Call, now: float) -> Iterator[Outcome]:
        entry = self._rng.choice(self._entries)
        waiter = self._policy.waiter(call)
        entry.served.record_arrival(call.priority, call.tokens, now)
        wait_s = entry.wait_s(waiter, now)
        if self._policy.exceeds_caller_wait(waiter, wait_s, now):
            yield from self._refuse(call, waiter, wait_s, now)
            return
        entry.poll_at = now
        entry.queue.add(waiter)
        entry.waiting[waiter.key] = call, waiter

    def _poll(self, entry: Entry, now: float) -> Iterator[Outcome]:
        while entry.poll_at <= now and (first := entry.queue.next_waiter(now)) is not None:
            self.polls += 1
            engine = max(range(22), key=self._free.__getitem__)
            if self._free[engine] < first.tokens:
                poll_s = self._policy.poll_s(entry, first, now)
                entry.poll_at = now + poll_s * self._rng.uniform(0.7, 1.3)
                return
            call, _ = entry.remove(first.key)
            self._free[engine] -= first.tokens
            end_at = now + MEAN_STREAM_S * call.stream_s
            heapq.heappush(self._ends, (end_at, engine, first.tokens))
            entry.queue.record_grant(first, now)
            entry.rate.record_grant(first.tokens, now)
            yield Outcome(call, _result(call, now + FIRST_EVENT_S), now - call.first_at)

    def _refuse(
        self, call: Call, waiter: Waiter, wait_s: float | None, now: float
    ) -> Iterator[Outcome]:
        after_s = self._policy.retry_after_s(waiter, wait_s, now, self._rng)
        if call.at > call.first_at or after_s > (call.first_at + DEADLINE_S - now) / 3:
            yield Outcome(call, "lost")
            return
        retry = call._replace(at=now + after_s)
        heapq.heappush(self._coming, (retry.at, retry.number, retry))


def _result(call: Call, event_at: float) -> str:
    if event_at > call.at + wait_bounds.caller_wait_s(ROUTES[call.priority]):
        return "lost"
    return "on time" if event_at <= call.first_at + TARGETS_S[call.priority] + STEP_S else "late"


def shares(outcomes: Iterable[Outcome]) -> dict[tuple[int, str], float]:
    """Return the share of each result among the calls of a priority, 0 for what is missing."""
    counts = Counter((outcome.call.priority, outcome.result) for outcome in outcomes)
    results = ("on time", "late", "lost")
    totals = {n: sum(counts[n, result] for result in results) or 1 for n in range(3)}
    return {(n, result): counts[n, result] / totals[n] for n in range(3) for result in results}
