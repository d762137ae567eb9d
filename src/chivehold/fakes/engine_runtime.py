"""Runs the engine model on the trio clock, with waiting callers and injected faults."""

import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from chivehold.core.identity import AttemptId, Role
from chivehold.fakes.engine_model import (
    DecodeDone,
    DecodeJob,
    EngineCost,
    EngineModel,
    EngineOutput,
    KvExpired,
    PrefillDone,
    PrefillJob,
)
from chivehold.fakes.faults import FaultRequest, FaultState, FreezeGate
from chivehold.fakes.history import EventLog
from chivehold.fakes.output import output_tokens, prompt_digest
from chivehold.fakes.published import PublishedStatus
from chivehold.sidecar.engine_api import DecodeCall, KvCache, PrefillAnswer, PrefillCall

FROZEN_SPEED = 1e-9
"""Relative speed of a frozen engine; above 0, because durations are divided by it."""

Emit = Callable[[int, tuple[str, ...]], Awaitable[None]]
"""Called with an offset and the tokens that start there."""


class EngineOptions(NamedTuple):
    """Startup options of a stand-in engine."""

    name: str = "engine"
    role: Role = Role.DECODE
    cost: EngineCost = EngineCost()
    checks_fencing: bool = True
    emit_every_s: float = 0.016
    """Seconds between two sends of a stream's new tokens."""
    seed: int = 0


class CallFailed(Exception):  # noqa: N818
    """A call failed before its work was done.

    Args:
        status: The HTTP status to answer with.
        reason: A value of ``core.wire.Reason``.
        message: What went wrong.
    """

    def __init__(self, status: int, reason: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.reason = reason
        self.message = message


class _KvEntry(NamedTuple):
    digest: str
    kv_bytes: int
    expires_at: float


class _Waiter:
    """Lets a call wait for its attempt's output, which is ``None`` after a cancel."""

    def __init__(self) -> None:
        self.completed = trio.Event()
        self.output: EngineOutput | None = None

    def complete(self, output: EngineOutput | None) -> None:
        self.output = output
        self.completed.set()


class EngineRuntime:
    """Runs an engine model in real time; ``run`` advances it.

    Work continues after its caller has disconnected. Its memory is released only by a cancel, by
    its completion or by the death of the engine.
    """

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.faults = FaultState()
        self.freeze_gate = FreezeGate()
        self.event_log = EventLog()
        self._model = EngineModel(options.cost)
        self._random = random.Random(options.seed)
        self._published = PublishedStatus(options.cost.prefix_cache_blocks)
        self._prefills: dict[AttemptId, tuple[PrefillJob, _Waiter]] = {}
        self._decodes: dict[AttemptId, _Waiter] = {}
        self._kv: dict[str, _KvEntry] = {}
        self._handle_count = 0
        self._changed = trio.Event()

    @property
    def held(self) -> tuple[AttemptId, ...]:
        """Attempts that hold engine memory or are queued for it."""
        return tuple(sorted(self._model.held | self._prefills.keys()))

    @property
    def published(self) -> PublishedStatus:
        """Load and cache events as reported by ``GET /status``."""
        return self._published

    async def run(self) -> None:
        """Advance the model until cancelled."""
        while True:
            await self.freeze_gate.wait_until_open()
            now = trio.current_time()
            for output in self._model.advance(now):
                self._handle_output(output, now)
            self._record_load(now)
            self._changed = trio.Event()
            due = self._model.next_event_at()
            with trio.move_on_at(float("inf") if due is None else due):
                await self._changed.wait()

    def apply_faults(self, request: FaultRequest) -> None:
        """Apply the faults of a ``POST /faults`` request."""
        now = trio.current_time()
        self.faults = self.faults.with_request(request, now)
        if "freeze" in request:
            self.freeze_gate.set_frozen(request["freeze"])
        if request.get("die", False):
            self._discard_state(now)
        speed = FROZEN_SPEED if self.freeze_gate.frozen else self.faults.speed
        self._model.set_speed(speed, now)
        self.event_log.add("fault", None, detail=repr(request))
        self._changed.set()

    async def prefill(self, call: PrefillCall) -> PrefillAnswer:
        """Prefill a prompt and keep its KV cache.

        Raises:
            CallFailed: The prefill was cancelled.
        """
        attempt = call["attempt"]
        urgent = call["priority"] == "urgent"
        blocks = tuple(call["prefix_blocks"])
        job = PrefillJob(attempt, max(1, call["prompt_tokens"]), blocks, urgent)
        waiter = _Waiter()
        self._prefills[attempt] = (job, waiter)
        digest = prompt_digest(call["prompt"])
        self.event_log.add("prefill_started", attempt, call["prompt_tokens"], digest)
        self._model.submit_prefill(job, trio.current_time())
        self._changed.set()
        await waiter.completed.wait()
        if not isinstance(waiter.output, PrefillDone):
            raise CallFailed(409, "cancelled", "the prefill was cancelled")
        return self._store_kv_cache(waiter.output, digest)

    def get_kv_cache(self, handle: str) -> KvCache:
        """Return the KV cache of a handle.

        Raises:
            CallFailed: The handle is unknown or its KV cache has expired.
        """
        now = trio.current_time()
        kept = self._kv.get(handle)
        if kept is None or kept.expires_at <= now:
            raise CallFailed(404, "kv_expired", "no such KV cache")
        return KvCache(
            digest=kept.digest, kv_bytes=kept.kv_bytes, expires_in_s=kept.expires_at - now
        )

    async def decode(self, call: DecodeCall, kv: KvCache, emit: Emit) -> int:
        """Import a KV cache and decode from it.

        Args:
            call: The attempt, the first offset and the number of tokens.
            kv: The KV cache as the prefill engine described it.
            emit: Called with each batch of new tokens.

        Returns:
            The offset after the last token.

        Raises:
            CallFailed: No place was free, the KV cache expired, or the decode was cancelled.
        """
        attempt, first, count = call["attempt"], call["first_offset"], call["max_tokens"]
        if count <= 0:
            return first
        now = trio.current_time()
        stalls = self._random.random() < self.faults.stall_transfers
        expires_at = now + kv["expires_in_s"]
        job = DecodeJob(attempt, call["kv_bytes"], expires_at, count, stalls)
        if not self._model.submit_decode(job, now):
            raise CallFailed(503, "full", "no place is free")
        self.event_log.add("decode_started", attempt, detail="stalled" if stalls else "")
        self._decodes[attempt] = waiter = _Waiter()
        self._changed.set()
        await self._emit_output(attempt, kv["digest"], first, waiter, emit)
        if isinstance(waiter.output, DecodeDone):
            return first + count
        if isinstance(waiter.output, KvExpired):
            raise CallFailed(410, "kv_expired", "the KV cache expired in transfer")
        raise CallFailed(409, "cancelled", "the decode was cancelled")

    def cancel(self, attempt: AttemptId) -> bool:
        """Release what an attempt holds and return whether it still holds anything."""
        now = trio.current_time()
        if now < self.faults.ignore_cancel_until:
            return attempt in self.held
        produced = self._model.produced_tokens(attempt, now)
        if self._model.cancel(attempt, now):
            self.event_log.add("cancelled", attempt, tokens=produced)
        self._complete_waiters(attempt, None)
        self._changed.set()
        return False

    def _store_kv_cache(self, done: PrefillDone, digest: str) -> PrefillAnswer:
        now = trio.current_time()
        self._kv = {name: kv for name, kv in self._kv.items() if kv.expires_at > now}
        self._handle_count += 1
        handle = f"{self.options.name}-{self._handle_count}-{digest}"
        self._kv[handle] = _KvEntry(digest, done.kv_bytes, done.expires_at)
        return PrefillAnswer(
            handle=handle,
            kv_bytes=done.kv_bytes,
            expires_in_s=max(0.0, done.expires_at - now),
            reused_tokens=done.reused_tokens,
        )

    async def _emit_output(
        self, attempt: AttemptId, digest: str, first: int, waiter: _Waiter, emit: Emit
    ) -> None:
        sent = 0
        while True:
            with trio.move_on_after(self.options.emit_every_s):
                await waiter.completed.wait()
            await self.freeze_gate.wait_until_open()
            if waiter.completed.is_set() and not isinstance(waiter.output, DecodeDone):
                return
            produced = self._produced_tokens(attempt, waiter)
            if produced > sent:
                await emit(first + sent, output_tokens(digest, first + sent, first + produced))
                sent = produced
            if isinstance(waiter.output, DecodeDone) and sent >= waiter.output.tokens:
                return

    def _produced_tokens(self, attempt: AttemptId, waiter: _Waiter) -> int:
        if isinstance(waiter.output, DecodeDone):
            return waiter.output.tokens
        return self._model.produced_tokens(attempt, trio.current_time())

    def _handle_output(self, output: EngineOutput, now: float) -> None:
        if isinstance(output, PrefillDone):
            job, _ = self._prefills[output.attempt]
            lost = self._random.random() < self.faults.lose_cache_events
            if not lost:
                self._published.add_cache_event(now, job.prefix_blocks)
            fresh = job.prompt_tokens - output.reused_tokens
            self.event_log.add("prefill_ended", output.attempt, tokens=fresh)
            self._complete_waiters(output.attempt, output)
        elif isinstance(output, DecodeDone):
            self.event_log.add("decode_ended", output.attempt, tokens=output.tokens)
            self._complete_waiters(output.attempt, output)
        elif isinstance(output, KvExpired):
            self.event_log.add("kv_expired", output.attempt)
            self._complete_waiters(output.attempt, output)

    def _complete_waiters(self, attempt: AttemptId, output: EngineOutput | None) -> None:
        _, prefill = self._prefills.pop(attempt, (None, None))
        for waiter in (prefill, self._decodes.pop(attempt, None)):
            if waiter is not None:
                waiter.complete(output)

    def _discard_state(self, now: float) -> None:
        self._model.clear(now)
        self._kv.clear()
        self._published.clear()
        self._prefills.clear()
        self._decodes.clear()

    def _record_load(self, now: float) -> None:
        self._published.add_load_sample(
            now,
            len(self._model.held),
            self._model.prefill_backlog_tokens,
            self._model.token_interval(),
        )
