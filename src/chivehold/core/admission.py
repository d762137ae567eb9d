"""Bounded admission per target, and the queue of patient requests."""

import heapq
from collections.abc import Callable, Iterator
from typing import NamedTuple

from chivehold.core.identity import Organisation, RequestId, Urgency

DISCARDED_MOST = 64
"""Entries of ended requests that may lie in the queue beyond the number of those queued."""


class QueuedRequest(NamedTuple):
    """A patient request in the queue; sorts by its order of arrival at this entry."""

    sequence: int
    request: RequestId
    organisation: Organisation
    arrived_at: float


class _OrganisationQueue:
    """One organisation's requests by arrival, with the service it has had."""

    def __init__(self, served: float) -> None:
        self.served = served
        self.heap: list[QueuedRequest] = []


class PatientQueue:
    """Patient requests in fair shares by organisation, each organisation's by arrival.

    A request put back keeps its place by arrival, and its organisation is not charged for it.

    Args:
        weight_of: Returns an organisation's declared share, above 0.
        fair_shares: Serve organisations by their shares; else all by arrival.
        age_limit_s: Requests older than this go first, the oldest before all.
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
        """Queue a request by its arrival."""
        self._insert(self._line(queued.organisation), queued)

    def requeue(self, queued: QueuedRequest) -> None:
        """Queue a request again that was taken but not served."""
        line = self._line(queued.organisation)
        line.served -= self._cost(queued)
        self._insert(line, queued)

    def discard(self, request: RequestId) -> None:
        """Take a request out, if it is queued."""
        if request not in self._queued:
            return
        self._queued.remove(request)
        self._discarded += 1
        if self._discarded > len(self._queued) + DISCARDED_MOST:
            self._compact()

    def pop(self, now: float) -> QueuedRequest | None:
        """Return the request whose turn it is and charge its organisation."""
        lines = self._busy_lines()
        if not lines:
            return None
        line = min(lines, key=lambda line: self._rank(line, now))
        queued = heapq.heappop(line.heap)
        self._queued.remove(queued.request)
        self._virtual_time = max(self._virtual_time, line.served)
        line.served += self._cost(queued)
        return queued

    def oldest_arrival(self) -> float | None:
        """Return when the longest queued request arrived, in monotonic seconds."""
        return min((line.heap[0].arrived_at for line in self._busy_lines()), default=None)

    def __iter__(self) -> Iterator[QueuedRequest]:
        for line in self._organisation_queues.values():
            yield from (one for one in line.heap if one.request in self._queued)

    def _insert(self, line: _OrganisationQueue, queued: QueuedRequest) -> None:
        heapq.heappush(line.heap, queued)
        self._queued.add(queued.request)

    def _line(self, organisation: Organisation) -> _OrganisationQueue:
        line = self._organisation_queues.get(organisation)
        if line is None:
            line = self._organisation_queues[organisation] = _OrganisationQueue(self._virtual_time)
        elif not line.heap:
            line.served = max(line.served, self._virtual_time)
        return line

    def _cost(self, queued: QueuedRequest) -> float:
        return 1.0 / self._weight_of(queued.organisation)

    def _rank(self, line: _OrganisationQueue, now: float) -> tuple[bool, float, int]:
        head = line.heap[0]
        aged = now - head.arrived_at >= self._age_limit_s
        if aged or not self._fair_shares:
            return (not aged, 0.0, head.sequence)
        return (True, line.served, head.sequence)

    def _busy_lines(self) -> list[_OrganisationQueue]:
        if not self._queued:
            self._organisation_queues.clear()
            self._discarded = 0
            return []
        for line in self._organisation_queues.values():
            while line.heap and line.heap[0].request not in self._queued:
                heapq.heappop(line.heap)
                self._discarded -= 1
        return [line for line in self._organisation_queues.values() if line.heap]

    def _compact(self) -> None:
        for line in self._organisation_queues.values():
            line.heap = [one for one in line.heap if one.request in self._queued]
            heapq.heapify(line.heap)
        self._discarded = 0


class Admission:
    """Counts what one target's requests wait for, within its bounds.

    Args:
        queue: The patient requests not yet offered.
        urgent_most: Urgent requests that may wait for a place.
        patient_most: Patient requests that may wait for a place.
        offers_most: Patient offers out at once.
    """

    def __init__(
        self, queue: PatientQueue, urgent_most: int, patient_most: int, offers_most: int
    ) -> None:
        self.queue = queue
        self.unseen_places = 0
        """Places whose grant is not seen here: their holders count as waiting."""
        self._most = {Urgency.URGENT: urgent_most, Urgency.PATIENT: patient_most}
        self._offers_most = offers_most
        self._waiting: dict[Urgency, set[RequestId]] = {
            Urgency.URGENT: set(),
            Urgency.PATIENT: set(),
        }
        self._offered: dict[RequestId, float] = {}

    def has_room(self, urgency: Urgency) -> bool:
        """Tell whether one more request may wait."""
        return len(self._waiting[urgency]) < self._most[urgency] + self.unseen_places

    def may_offer(self) -> bool:
        """Tell whether one more patient offer may go out."""
        return bool(self.queue) and len(self._offered) < self._offers_most + self.unseen_places

    def waiting(self, urgency: Urgency) -> int:
        """Return how many requests wait for a place."""
        return len(self._waiting[urgency])

    def wait(self, request: RequestId, urgency: Urgency) -> None:
        """Count a request as waiting."""
        self._waiting[urgency].add(request)

    @property
    def offered_prefill_s(self) -> float:
        """Prefill work of the patient offers that are out, in seconds of one engine."""
        return sum(self._offered.values())

    def offered(self, request: RequestId, prefill_s: float = 0.0) -> None:
        """Count a patient offer as out, with the prefill work that follows its grant."""
        self._offered[request] = prefill_s

    def returned(self, request: RequestId) -> None:
        """Count a patient offer as back."""
        self._offered.pop(request, None)

    def placed(self, request: RequestId, urgency: Urgency) -> None:
        """Count a request as no longer waiting: it has a place or has ended."""
        self._waiting[urgency].discard(request)
        self._offered.pop(request, None)
        self.queue.discard(request)
