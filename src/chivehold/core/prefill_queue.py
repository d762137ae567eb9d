"""The queue of prompts for a prefill engine."""

from collections.abc import Iterator
from typing import NamedTuple

from chivehold.core.fairness import FairQueue
from chivehold.core.identity import AttemptId, Urgency
from chivehold.core.policy import Policy
from chivehold.core.prefix import BLOCK_TOKENS, matching_blocks
from chivehold.core.smoothing import MovingAverage
from chivehold.core.wire import PrefillOrder, PrefillResult

RATE_SAMPLE_WEIGHT = 0.2
MIN_MEASURED_TOKENS = 64


class RunningPrefill(NamedTuple):
    """A prompt that the engine runs."""

    order: PrefillOrder
    tokens: int
    """Prompt tokens expected to be computed, without the cached prefix."""
    since: float
    """Time in seconds at which it started."""
    ran_alone: bool
    """Whether no other prompt ran beside it, so that its duration gives the engine's rate."""


class PrefillQueue:
    """Schedules prompts by urgency and fair share, and estimates how long they take.

    While urgent and patient prompts wait, patient ones get at least the floor's share of the
    tokens.

    Args:
        policy: Which of these rules apply; without any it is first come, first served.
        patient_floor: Share of the tokens kept for patient prompts, 0 to 1.
        tokens_per_s: Initial estimate of the engine's rate, above 0.
    """

    def __init__(self, policy: Policy, patient_floor: float, tokens_per_s: float) -> None:
        self._policy = policy
        self._patient_floor = patient_floor
        self._initial_tokens_per_s = tokens_per_s
        self._seconds_per_token = MovingAverage(RATE_SAMPLE_WEIGHT)
        self._orders: dict[AttemptId, PrefillOrder] = {}
        self._tokens: dict[AttemptId, int] = {}
        self._waiting_tokens = dict.fromkeys(Urgency, 0)
        self._queues = {urgency: FairQueue[AttemptId]() for urgency in Urgency}
        self._running: dict[AttemptId, RunningPrefill] = {}
        self._patient_credit = 0.0
        self._cached_blocks: frozenset[int] = frozenset()

    def __len__(self) -> int:
        return len(self._orders)

    def __iter__(self) -> Iterator[PrefillOrder]:
        return iter(tuple(self._orders.values()))

    def __contains__(self, attempt: AttemptId) -> bool:
        return attempt in self._orders

    @property
    def running(self) -> tuple[RunningPrefill, ...]:
        """Prompts that the engine runs."""
        return tuple(self._running.values())

    @property
    def tokens_per_s(self) -> float:
        """The rate at which the engine computes prompt tokens that are not cached."""
        seconds_per_token = self._seconds_per_token.value
        return (
            self._initial_tokens_per_s
            if seconds_per_token is None
            else 1.0 / max(seconds_per_token, 1e-9)
        )

    def set_patient_floor(self, patient_floor: float) -> None:
        """Change the share of tokens kept for patient prompts, 0 to 1."""
        self._patient_floor = patient_floor

    def set_cached_blocks(self, prefix_blocks: tuple[int, ...]) -> None:
        """Replace the set of blocks that the engine reports as cached."""
        self._cached_blocks = frozenset(prefix_blocks)

    def waiting(self, urgency: Urgency) -> int:
        """Return how many prompts of one urgency wait."""
        return sum(order.urgency is urgency for order in self._orders.values())

    def add(self, order: PrefillOrder) -> None:
        """Add a prompt to the queue."""
        reused = matching_blocks(order.prefix_blocks, self._cached_blocks) * BLOCK_TOKENS
        tokens = max(1, order.prompt_tokens - reused)
        self._orders[order.attempt] = order
        self._tokens[order.attempt] = tokens
        self._waiting_tokens[order.urgency] += tokens
        self._queue_of(order.urgency).push(order.attempt, self._flow_of(order), 1.0, tokens)

    def discard(self, attempt: AttemptId) -> PrefillOrder | None:
        """Remove a waiting prompt; return ``None`` if it does not wait."""
        order = self._orders.pop(attempt, None)
        if order is None:
            return None
        self._queue_of(order.urgency).discard(attempt)
        self._waiting_tokens[order.urgency] -= self._tokens.pop(attempt)
        return order

    def start_next(self, now: float) -> PrefillOrder | None:
        """Mark the next prompt as running and return it; ``None`` if none may start now.

        The engine runs one prompt at a time, with one exception: an urgent prompt may start while
        a patient one runs, and the engine interrupts the patient one for it.
        """
        attempt = self._next_attempt()
        if attempt is None:
            return None
        order = self._orders.pop(attempt)
        tokens = self._tokens.pop(attempt)
        self._waiting_tokens[order.urgency] -= tokens
        self._queue_of(order.urgency).serve(attempt)
        for name, running in self._running.items():
            self._running[name] = running._replace(ran_alone=False)
        self._running[attempt] = RunningPrefill(order, tokens, now, ran_alone=not self._running)
        self._update_patient_credit(order.urgency, tokens)
        return order

    def remove_running(self, attempt: AttemptId) -> RunningPrefill | None:
        """Remove a running prompt; return ``None`` if it does not run."""
        return self._running.pop(attempt, None)

    def record_rate(self, running: RunningPrefill, result: PrefillResult, now: float) -> None:
        """Update the estimate of the engine's rate from a prompt that has ended.

        Short prompts, and those that ran beside another, are left out.
        """
        tokens = running.order.prompt_tokens - result.reused_tokens
        elapsed_s = now - running.since
        if running.ran_alone and tokens >= MIN_MEASURED_TOKENS and elapsed_s > 0:
            self._seconds_per_token.add(elapsed_s / tokens)

    def backlog_s(self, now: float, urgency: Urgency = Urgency.PATIENT) -> float:
        """Return how long the queued and running prompts ahead of a new one take, in seconds.

        Args:
            now: Time in seconds.
            urgency: The new prompt's urgency; urgent prompts run before patient ones.
        """
        urgent_only = self._policy.class_order and urgency is Urgency.URGENT
        tokens = (
            self._waiting_tokens[Urgency.URGENT]
            if urgent_only
            else sum(self._waiting_tokens.values())
        )
        return self._running_s(now, urgency) + tokens / self.tokens_per_s

    def wait_s(self, order: PrefillOrder, now: float) -> float:
        """Return the expected wait in seconds of a prompt that is the newest of its flow."""
        tokens = self._queue_of(order.urgency).work_ahead(self._flow_of(order)).cost
        if self._policy.class_order and order.urgency is Urgency.PATIENT:
            tokens += self._waiting_tokens[Urgency.URGENT]
        return self._running_s(now, order.urgency) + tokens / self.tokens_per_s

    def _running_s(self, now: float, urgency: Urgency) -> float:
        rate = self.tokens_per_s
        ahead = (run for run in self.running if not self._interrupts(urgency, run))
        return sum(max(0.0, run.tokens / rate - (now - run.since)) for run in ahead)

    def _interrupts(self, urgency: Urgency, running: RunningPrefill) -> bool:
        """Return whether the engine interrupts a running prompt for a prompt of this urgency."""
        patient = running.order.urgency is Urgency.PATIENT
        return self._policy.class_order and urgency is Urgency.URGENT and patient

    def _next_attempt(self) -> AttemptId | None:
        urgent = self._queues[Urgency.URGENT].peek()
        patient = self._queues[Urgency.PATIENT].peek()
        if self._running:
            running = next(iter(self._running.values()))
            runs_alone = len(self._running) == 1
            return urgent if runs_alone and self._interrupts(Urgency.URGENT, running) else None
        if urgent is None or patient is None:
            return urgent or patient
        return patient if self._patient_credit >= self._tokens[patient] else urgent

    def _update_patient_credit(self, urgency: Urgency, tokens: int) -> None:
        if not len(self._queues[Urgency.PATIENT]):
            self._patient_credit = 0.0
            return
        if urgency is Urgency.PATIENT:
            self._patient_credit = max(0.0, self._patient_credit - tokens)
            return
        floor = min(self._patient_floor, 0.99)
        self._patient_credit += tokens * floor / (1.0 - floor)

    def _queue_of(self, urgency: Urgency) -> FairQueue[AttemptId]:
        return self._queues[urgency if self._policy.class_order else Urgency.URGENT]

    def _flow_of(self, order: PrefillOrder) -> str:
        return order.organisation if self._policy.fair_shares else ""
