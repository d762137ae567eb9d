"""Offers waiting for a place, in the order in which they are granted."""

import heapq
from collections.abc import Iterator
from typing import NamedTuple

from chivehold.core.fairness import FairQueue
from chivehold.core.identity import AttemptId, Urgency
from chivehold.core.policy import Policy
from chivehold.core.slots import SlotLedger
from chivehold.core.wire import AttemptOffer

MIN_SHARE_WEIGHT = 1e-3
PROMPT_TOKENS_PER_OUTPUT_TOKEN = 10


class WaitingOffer(NamedTuple):
    """A waiting offer and the time at which it was added, in seconds."""

    offer: AttemptOffer
    since: float


def offer_cost(offer: AttemptOffer) -> float:
    """Return the estimated cost of an offer in output tokens, at least 1."""
    prompt_cost = offer.prompt_tokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN
    return max(1.0, offer.max_tokens + prompt_cost)


class WaitList:
    """Chooses the next offer by urgency, age and fair share.

    Args:
        policy: Which of these rules apply; without any it is first come, first served.
    """

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self._offers: dict[AttemptId, WaitingOffer] = {}
        self._queues = {urgency: FairQueue[AttemptId]() for urgency in Urgency}
        self._kv_bytes = dict.fromkeys(Urgency, 0)
        self._patient_by_age: list[tuple[float, int, AttemptId]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._offers)

    def __contains__(self, attempt: AttemptId) -> bool:
        return attempt in self._offers

    def __iter__(self) -> Iterator[WaitingOffer]:
        return iter(tuple(self._offers.values()))

    @property
    def separates_urgencies(self) -> bool:
        """Whether urgent and patient offers wait in separate queues."""
        return self._policy.class_order

    def waiting(self, urgency: Urgency) -> int:
        """Return how many offers of one urgency wait."""
        if self._policy.class_order:
            return len(self._queues[urgency])
        return sum(waiting.offer.urgency is urgency for waiting in self._offers.values())

    def add(self, offer: AttemptOffer, now: float) -> None:
        """Add an offer."""
        self._offers[offer.attempt] = WaitingOffer(offer, now)
        flow = offer.organisation if self._policy.fair_shares else ""
        weight = max(MIN_SHARE_WEIGHT, offer.share_weight) if self._policy.fair_shares else 1.0
        queue = self._queue_of(offer)
        queue.push(offer.attempt, flow, weight, offer_cost(offer))
        self._kv_bytes[offer.urgency] += offer.kv_bytes
        if self._policy.class_order and offer.urgency is Urgency.PATIENT:
            self._sequence += 1
            arrived_at = now - offer.waited_s
            heapq.heappush(self._patient_by_age, (arrived_at, self._sequence, offer.attempt))

    def candidates(self, slots: SlotLedger, now: float) -> Iterator[AttemptOffer]:
        """Yield the offer to grant if a place is free, then another if the first is held back."""
        for attempt in self._candidates(slots, now):
            yield self._offers[attempt].offer

    def remove_granted(self, attempt: AttemptId) -> AttemptOffer:
        """Remove an offer that is granted and charge its flow."""
        offer = self._offers.pop(attempt).offer
        self._queue_of(offer).serve(attempt)
        self._kv_bytes[offer.urgency] -= offer.kv_bytes
        return offer

    def discard(self, attempt: AttemptId) -> AttemptOffer | None:
        """Remove an offer that is not granted; return ``None`` if it does not wait."""
        waiting = self._offers.pop(attempt, None)
        if waiting is None:
            return None
        self._queue_of(waiting.offer).discard(attempt)
        self._kv_bytes[waiting.offer.urgency] -= waiting.offer.kv_bytes
        return waiting.offer

    def count_ahead(self, offer: AttemptOffer) -> int:
        """Estimate how many offers in its queue are served before the newest of its flow."""
        flow = offer.organisation if self._policy.fair_shares else ""
        return self._queue_of(offer).work_ahead(flow).items

    def queue_length(self, urgency: Urgency) -> int:
        """Return the length of the queue in which offers of one urgency wait."""
        return len(self._queues[self._queue_urgency(urgency)])

    def kv_bytes(self, urgency: Urgency) -> int:
        """Return the bytes of KV caches that waiting offers of one urgency will import."""
        return self._kv_bytes[urgency]

    def _candidates(self, slots: SlotLedger, now: float) -> Iterator[AttemptId]:
        urgent = self._queues[Urgency.URGENT].peek()
        patient = self._queues[Urgency.PATIENT].peek() if self._policy.class_order else None
        if patient is not None:
            aged_attempt = self._aged_attempt(now)
            if urgent is None:
                if slots.has_room_for_patient(now):
                    yield aged_attempt or patient
                return
            shortfall = slots.patient_shortfall(now)
            if shortfall > 0 and aged_attempt is not None:
                yield aged_attempt
            elif shortfall >= slots.free:
                yield patient
        if urgent is not None:
            yield urgent

    def _aged_attempt(self, now: float) -> AttemptId | None:
        by_age = self._patient_by_age
        while by_age and by_age[0][2] not in self._offers:
            heapq.heappop(by_age)
        if by_age and now - by_age[0][0] >= self._policy.patient_age_limit_s:
            return by_age[0][2]
        return None

    def _queue_of(self, offer: AttemptOffer) -> FairQueue[AttemptId]:
        return self._queues[self._queue_urgency(offer.urgency)]

    def _queue_urgency(self, urgency: Urgency) -> Urgency:
        return urgency if self._policy.class_order else Urgency.URGENT
