"""The cost model of a stand-in engine, without I/O: a prefill queue, a link and decode places.

All times are seconds on the caller's clock. Transfers share the inbound link. Decode is a batch
whose streams all advance by one token per ``token_interval``, which grows with the batch size, so
a single step counter holds the progress of all streams.
"""

import heapq
from collections import OrderedDict
from collections.abc import Iterator
from itertools import islice
from typing import NamedTuple

from chivehold.core.identity import AttemptId
from chivehold.core.prefix import BLOCK_TOKENS
from chivehold.core.shared_link import SharedLink

MAX_LISTED_BLOCKS = 64


class EngineCost(NamedTuple):
    """Capacities and speeds of an engine."""

    places: int = 20
    prefill_tokens_per_s: float = 16_000.0
    prefill_overhead_s: float = 0.010
    prefill_chunk_tokens: int = 2_048
    """After each chunk of a prompt, a more urgent prompt may run first."""
    kv_bytes_per_token: int = 160_000
    kv_lifetime_s: float = 0.8
    link_bytes_per_s: float = 12.5e9
    interval_base_s: float = 0.008
    interval_per_stream_s: float = 0.0006
    prefix_cache_blocks: int = 2_000


class PrefillJob(NamedTuple):
    """A prompt to prefill."""

    attempt: AttemptId
    prompt_tokens: int
    prefix_blocks: tuple[int, ...]
    urgent: bool


class DecodeJob(NamedTuple):
    """A KV cache to import and the number of tokens to decode from it."""

    attempt: AttemptId
    kv_bytes: int
    kv_expires_at: float
    tokens: int
    """Output tokens still to produce, at least 1."""
    stalls: bool = False
    """The transfer stops halfway and only a cancel ends it."""


class PrefillDone(NamedTuple):
    """A prompt has been prefilled; its KV cache is kept until ``expires_at``."""

    attempt: AttemptId
    kv_bytes: int
    expires_at: float
    reused_tokens: int
    work_s: float


class FirstToken(NamedTuple):
    """A stream's first token has been produced."""

    attempt: AttemptId


class DecodeDone(NamedTuple):
    """A stream has produced all its tokens and released its place."""

    attempt: AttemptId
    tokens: int


class KvExpired(NamedTuple):
    """A KV cache had expired before its transfer began, and its place was released."""

    attempt: AttemptId


EngineOutput = PrefillDone | FirstToken | DecodeDone | KvExpired


class _Prompt(NamedTuple):
    job: PrefillJob
    reused_tokens: int
    """Number of tokens found in the prefix cache; -1 until the prompt has started."""
    remaining_tokens: int
    work_s: float


class _Import(NamedTuple):
    job: DecodeJob
    expired: bool
    """Whether the KV cache had expired before its transfer; it cannot expire during it."""


class _Stream(NamedTuple):
    started_at_step: float
    tokens: int


class EngineModel:
    """Simulates an engine's prefills, KV cache imports and decodes.

    The caller supplies the time of every call and calls ``advance`` when ``next_event_at`` is due.
    """

    def __init__(self, cost: EngineCost) -> None:
        self.cost = cost
        self._speed = 1.0
        self._queue: list[tuple[bool, int, _Prompt]] = []
        """Heap of prompts; urgent ones have ``False``, then order of arrival decides."""
        self._sequence = 0
        self._running: tuple[float, int, _Prompt] | None = None
        """When the running chunk ends, and the sequence number and prompt that it belongs to."""
        self._abandoned_work_s = 0.0
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._link: SharedLink[AttemptId] = SharedLink(cost.link_bytes_per_s)
        self._transfers: dict[AttemptId, _Import] = {}
        self._streams: dict[AttemptId, _Stream] = {}
        self._milestones: list[tuple[float, bool, AttemptId]] = []
        """Heap of the steps that produce a stream's first (``False``) and last (``True``) token."""
        self._step = 0.0
        self._step_at = 0.0

    @property
    def held(self) -> frozenset[AttemptId]:
        """Attempts that hold a decode place."""
        return frozenset(self._transfers) | frozenset(self._streams)

    @property
    def cached_blocks(self) -> tuple[int, ...]:
        """Digests of the ``MAX_LISTED_BLOCKS`` most recently cached blocks, most recent first."""
        return tuple(islice(reversed(self._cache), MAX_LISTED_BLOCKS))

    @property
    def abandoned_work_s(self) -> float:
        """Seconds spent on prompts that were cancelled or lost before they were done."""
        return self._abandoned_work_s

    @property
    def prefill_backlog_tokens(self) -> int:
        """Prompt tokens queued or running."""
        running = self._running[2].remaining_tokens if self._running else 0
        return running + sum(prompt.remaining_tokens for _, _, prompt in self._queue)

    def token_interval(self) -> float:
        """Return the seconds between tokens at the current batch size and speed."""
        batch = max(1, len(self._streams))
        full_speed_interval = self.cost.interval_base_s + self.cost.interval_per_stream_s * batch
        return full_speed_interval / self._speed

    def set_speed(self, speed: float, now: float) -> None:
        """Set the engine's relative speed; 1.0 is full speed."""
        self._advance_steps(now)
        self._speed = speed

    def submit_prefill(self, job: PrefillJob, now: float) -> None:
        """Queue a prompt; urgent prompts run before patient ones."""
        self._sequence += 1
        prompt = _Prompt(job, -1, job.prompt_tokens, 0.0)
        heapq.heappush(self._queue, (not job.urgent, self._sequence, prompt))
        self._start_prefill(now)

    def submit_decode(self, job: DecodeJob, now: float) -> bool:
        """Occupy a place and start the import; return ``False`` if no place is free."""
        if len(self._streams) + len(self._transfers) >= self.cost.places:
            return False
        expired = now > job.kv_expires_at
        self._transfers[job.attempt] = _Import(job, expired)
        if not job.stalls:
            self._link.start(job.attempt, 0 if expired else job.kv_bytes, now)
        return True

    def cancel(self, attempt: AttemptId, now: float) -> bool:
        """Release everything an attempt holds and return whether it held anything."""
        self._advance_steps(now)
        held = attempt in self._transfers or attempt in self._streams
        self._transfers.pop(attempt, None)
        self._link.stop(attempt, now)
        self._streams.pop(attempt, None)
        return self._cancel_prefill(attempt, now) or held

    def clear(self, now: float) -> None:
        """Discard all work and caches, as a killed engine does."""
        self._advance_steps(now)
        for attempt in [prompt.job.attempt for _, _, prompt in self._queue]:
            self._cancel_prefill(attempt, now)
        if self._running:
            self._cancel_prefill(self._running[2].job.attempt, now)
        for attempt in self._link:
            self._link.stop(attempt, now)
        self._transfers.clear()
        self._streams.clear()
        self._milestones.clear()
        self._cache.clear()

    def produced_tokens(self, attempt: AttemptId, now: float) -> int:
        """Return how many tokens a stream has produced; 0 before the first token."""
        stream = self._streams.get(attempt)
        if stream is None:
            return 0
        self._advance_steps(now)
        return min(stream.tokens, int(self._step - stream.started_at_step + 1e-9))

    def next_event_at(self) -> float | None:
        """Return when ``advance`` must be called next, or ``None`` if nothing is in progress."""
        times = [self._running[0]] if self._running else []
        transfer_ends_at = self._link.next_end()
        if transfer_ends_at is not None:
            times.append(transfer_ends_at)
        self._drop_stale_milestones()
        if self._milestones:
            times.append(
                self._step_at + (self._milestones[0][0] - self._step) * self.token_interval()
            )
        return min(times, default=None)

    def advance(self, now: float) -> Iterator[EngineOutput]:
        """Yield the outputs up to ``now`` in order of time.

        The caller must exhaust the iterator, since the model advances as it is consumed.
        """
        while (due := self.next_event_at()) is not None and due <= now + 1e-9:
            at = max(due, self._step_at)
            self._advance_steps(at)
            yield from self._prefill_outputs(at)
            yield from self._transfer_outputs(at)
            yield from self._stream_outputs()
        self._advance_steps(now)

    def _cancel_prefill(self, attempt: AttemptId, now: float) -> bool:
        dropped = [item for item in self._queue if item[2].job.attempt == attempt]
        if dropped:
            self._queue = [item for item in self._queue if item not in dropped]
            heapq.heapify(self._queue)
        if self._running and self._running[2].job.attempt == attempt:
            dropped.append((False, 0, self._running[2]))
            self._running = None
        self._abandoned_work_s += sum(prompt.work_s for _, _, prompt in dropped)
        self._start_prefill(now)
        return bool(dropped)

    def _prefill_outputs(self, at: float) -> Iterator[EngineOutput]:
        if not self._running or self._running[0] > at + 1e-9:
            return
        _, sequence, prompt = self._running
        self._running = None
        if prompt.remaining_tokens > 0:
            heapq.heappush(self._queue, (not prompt.job.urgent, sequence, prompt))
            self._start_prefill(at)
            return
        self._cache_blocks(prompt.job.prefix_blocks)
        self._start_prefill(at)
        yield PrefillDone(
            attempt=prompt.job.attempt,
            kv_bytes=prompt.job.prompt_tokens * self.cost.kv_bytes_per_token,
            expires_at=at + self.cost.kv_lifetime_s,
            reused_tokens=prompt.reused_tokens,
            work_s=prompt.work_s,
        )

    def _cache_blocks(self, digests: tuple[int, ...]) -> None:
        for digest in digests:
            self._cache[digest] = None
            self._cache.move_to_end(digest)
        while len(self._cache) > self.cost.prefix_cache_blocks:
            self._cache.popitem(last=False)

    def _transfer_outputs(self, at: float) -> Iterator[EngineOutput]:
        for attempt in list(self._link.pop_ended(at)):
            job, expired = self._transfers.pop(attempt)
            if expired:
                yield KvExpired(attempt)
                continue
            self._streams[attempt] = _Stream(self._step, job.tokens)
            heapq.heappush(self._milestones, (self._step + 1, False, attempt))
            heapq.heappush(self._milestones, (self._step + job.tokens, True, attempt))

    def _stream_outputs(self) -> Iterator[EngineOutput]:
        while self._milestones and self._milestones[0][0] <= self._step + 1e-6:
            _, last, attempt = heapq.heappop(self._milestones)
            stream = self._streams.get(attempt)
            if stream is None:
                continue
            if not last:
                yield FirstToken(attempt)
                continue
            del self._streams[attempt]
            yield DecodeDone(attempt, stream.tokens)

    def _drop_stale_milestones(self) -> None:
        while self._milestones and self._milestones[0][2] not in self._streams:
            heapq.heappop(self._milestones)

    def _advance_steps(self, now: float) -> None:
        if now <= self._step_at:
            return
        if self._streams:
            self._step += (now - self._step_at) / self.token_interval()
        self._step_at = now

    def _start_prefill(self, now: float) -> None:
        if self._running or not self._queue:
            return
        _, sequence, prompt = heapq.heappop(self._queue)
        started = prompt.reused_tokens >= 0
        if not started:
            prompt = self._reuse_prefix(prompt)
        chunk = min(prompt.remaining_tokens, self.cost.prefill_chunk_tokens)
        overhead_s = 0.0 if started else self.cost.prefill_overhead_s
        work_s = overhead_s + chunk / self.cost.prefill_tokens_per_s
        prompt = prompt._replace(
            remaining_tokens=prompt.remaining_tokens - chunk, work_s=prompt.work_s + work_s
        )
        self._running = (now + work_s / self._speed, sequence, prompt)

    def _reuse_prefix(self, prompt: _Prompt) -> _Prompt:
        matched = 0
        for digest in prompt.job.prefix_blocks:
            if digest not in self._cache:
                break
            matched += 1
        reused = min(matched * BLOCK_TOKENS, max(0, prompt.job.prompt_tokens - 1))
        return prompt._replace(
            reused_tokens=reused, remaining_tokens=prompt.job.prompt_tokens - reused
        )
