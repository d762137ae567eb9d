"""Admission limits of a target, and the queue of its patient requests."""

import heapq
from collections.abc import Callable, Iterator
from typing import NamedTuple

from chivehold.core.identity import Organisation, RequestId, Urgency

MAX_DISCARDED_ENTRIES = 64
"""Discarded entries, beyond the number of queued requests, that trigger a compaction."""


class QueuedRequest(NamedTuple):
    """A patient request in the queue, ordered by its arrival at this entry."""

    sequence: int
    request: RequestId
    organisation: Organisation
    arrived_at: float


class _OrganisationQueue:
    """One organisation's requests in order of arrival.

    ``served`` is its virtual time: each served request adds the inverse of its weight.
    """

    def __init__(self, served: float) -> None:
        self.served = served
        self.heap: list[QueuedRequest] = []


class PatientQueue:
    """A weighted fair queue of patient requests, first in, first out within each organisation.

    A requeued request keeps its position by arrival, and its organisation is not charged for it.

    Args:
        weight_of: Returns an organisation's weight, which is above 0.
        fair_shares: Share the queue among organisations by weight; otherwise all requests are
            served in order of arrival.
        age_limit_s: Requests at least this old are served first, the oldest first.
    """

    def __init__(
        self, weight_of: Callable[[Organisation], float], fair_shares: bool, age_limit_s: float
    ) -> None:
        self._weight_of = weight_of
        self._fair_shares = fair_shares
        self._age_limit_s = age_limit_s
        self._organisation_queues: dict[Organisation, _OrganisationQueue] = {}
        self._queued: set[RequestId] = set()
        self._discarded = 0
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._queued)

    def __contains__(self, request: object) -> bool:
        return request in self._queued

    def put(self, queued: QueuedRequest) -> None:
        """Add a request, ordered by its arrival."""
        self._insert(self._organisation_queue(queued.organisation), queued)

    def requeue(self, queued: QueuedRequest) -> None:
        """Add back a request that was popped but not served, and refund its organisation."""
        queue = self._organisation_queue(queued.organisation)
        queue.served -= self._cost(queued)
        self._insert(queue, queued)

    def discard(self, request: RequestId) -> None:
        """Remove a request, if it is queued."""
        if request not in self._queued:
            return
        self._queued.remove(request)
        self._discarded += 1
        if self._discarded > len(self._queued) + MAX_DISCARDED_ENTRIES:
            self._compact()

    def pop(self, now: float) -> QueuedRequest | None:
        """Remove and return the next request, if any, and charge its organisation."""
        queues = self._nonempty_queues()
        if not queues:
            return None
        queue = min(queues, key=lambda queue: self._sort_key(queue, now))
        queued = heapq.heappop(queue.heap)
        self._queued.remove(queued.request)
        self._virtual_time = max(self._virtual_time, queue.served)
        queue.served += self._cost(queued)
        return queued

    def oldest_arrival(self) -> float | None:
        """Return the arrival of the oldest queued request in monotonic seconds, or ``None``."""
        return min((queue.heap[0].arrived_at for queue in self._nonempty_queues()), default=None)

    def __iter__(self) -> Iterator[QueuedRequest]:
        for queue in self._organisation_queues.values():
            yield from (queued for queued in queue.heap if queued.request in self._queued)

    def _insert(self, queue: _OrganisationQueue, queued: QueuedRequest) -> None:
        heapq.heappush(queue.heap, queued)
        self._queued.add(queued.request)

    def _organisation_queue(self, organisation: Organisation) -> _OrganisationQueue:
        queue = self._organisation_queues.get(organisation)
        if queue is None:
            queue = self._organisation_queues[organisation] = _OrganisationQueue(self._virtual_time)
        elif not queue.heap:
            queue.served = max(queue.served, self._virtual_time)
        return queue

    def _cost(self, queued: QueuedRequest) -> float:
        return 1.0 / self._weight_of(queued.organisation)

    def _sort_key(self, queue: _OrganisationQueue, now: float) -> tuple[bool, float, int]:
        head = queue.heap[0]
        aged = now - head.arrived_at >= self._age_limit_s
        if aged or not self._fair_shares:
            return (not aged, 0.0, head.sequence)
        return (True, queue.served, head.sequence)

    def _nonempty_queues(self) -> list[_OrganisationQueue]:
        if not self._queued:
            self._organisation_queues.clear()
            self._discarded = 0
            return []
        for queue in self._organisation_queues.values():
            while queue.heap and queue.heap[0].request not in self._queued:
                heapq.heappop(queue.heap)
                self._discarded -= 1
        return [queue for queue in self._organisation_queues.values() if queue.heap]

    def _compact(self) -> None:
        for queue in self._organisation_queues.values():
            queue.heap = [queued for queued in queue.heap if queued.request in self._queued]
            heapq.heapify(queue.heap)
        self._discarded = 0


class Admission:
    """Counts the waiting requests and open patient offers of one target against its limits.

    Args:
        queue: The patient requests that are not offered yet.
        max_urgent: Maximum number of urgent requests that wait for a place.
        max_patient: Maximum number of patient requests that wait for a place.
        max_offers: Maximum number of open patient offers.
    """

    def __init__(
        self, queue: PatientQueue, max_urgent: int, max_patient: int, max_offers: int
    ) -> None:
        self.queue = queue
        self.places_without_grants = 0
        """Places whose grants the entry does not see; their holders still count as waiting."""
        self._max_waiting = {Urgency.URGENT: max_urgent, Urgency.PATIENT: max_patient}
        self._max_offers = max_offers
        self._waiting: dict[Urgency, set[RequestId]] = {
            Urgency.URGENT: set(),
            Urgency.PATIENT: set(),
        }
        self._offered_prefill_work: dict[RequestId, float] = {}

    def has_room(self, urgency: Urgency) -> bool:
        """Return whether one more request of this urgency may wait."""
        return len(self._waiting[urgency]) < self._max_waiting[urgency] + self.places_without_grants

    def may_offer(self) -> bool:
        """Return whether a patient request is queued and may be offered."""
        return (
            bool(self.queue)
            and len(self._offered_prefill_work) < self._max_offers + self.places_without_grants
        )

    def waiting(self, urgency: Urgency) -> int:
        """Return the number of requests of this urgency that wait for a place."""
        return len(self._waiting[urgency])

    def add_waiting(self, request: RequestId, urgency: Urgency) -> None:
        """Count a request as waiting for a place."""
        self._waiting[urgency].add(request)

    @property
    def offered_prefill_s(self) -> float:
        """Prefill work of the open patient offers, in seconds of one engine."""
        return sum(self._offered_prefill_work.values())

    def add_offer(self, request: RequestId, prefill_s: float = 0.0) -> None:
        """Count a patient offer as open, with its prefill work in seconds of one engine."""
        self._offered_prefill_work[request] = prefill_s

    def remove_offer(self, request: RequestId) -> None:
        """Stop counting a request's patient offer as open."""
        self._offered_prefill_work.pop(request, None)

    def remove_waiting(self, request: RequestId, urgency: Urgency) -> None:
        """Stop counting a request as waiting, because it has a place or has ended."""
        self._waiting[urgency].discard(request)
        self._offered_prefill_work.pop(request, None)
        self.queue.discard(request)
