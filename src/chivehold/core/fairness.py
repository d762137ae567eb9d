"""Start-time fair queueing over flows, such as organisations."""

import heapq
from collections.abc import Hashable, Iterator
from typing import Generic, NamedTuple, TypeVar

KeyT = TypeVar("KeyT", bound=Hashable)

MAX_IDLE_FLOWS = 1_024


class WorkAhead(NamedTuple):
    """The number and total cost of the items expected to be served before a given one."""

    items: int
    cost: float


class _Flow(Generic[KeyT]):
    """The waiting items of one flow, in the order of their arrival."""

    __slots__ = ("items", "weight", "start", "cost", "sequence")

    def __init__(self, start: float) -> None:
        self.items: dict[KeyT, float] = {}
        self.weight = 1.0
        self.start = start
        self.cost = 0.0
        self.sequence = 0


class FairQueue(Generic[KeyT]):
    """Serves flows in proportion to their weights, and each flow first come, first served.

    Each flow's first item has a virtual start time: the finish of the flow's last served item, or
    the current virtual time if that is later. The item with the lowest start time is next; serving
    it advances its flow by cost over weight. A flow that was idle gains no credit.
    """

    def __init__(self) -> None:
        self._flows: dict[str, _Flow[KeyT]] = {}
        self._flow_of: dict[KeyT, str] = {}
        self._idle_finish: dict[str, float] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._virtual_time = 0.0
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._flow_of)

    def __contains__(self, key: KeyT) -> bool:
        return key in self._flow_of

    def __iter__(self) -> Iterator[KeyT]:
        return iter(tuple(self._flow_of))

    def push(self, key: KeyT, flow_name: str, weight: float, cost: float) -> None:
        """Add an item.

        Args:
            key: The item; must not be waiting already.
            flow_name: The flow that the item belongs to.
            weight: The flow's weight, above 0; replaces its previous weight.
            cost: The cost of serving the item, above 0.
        """
        flow = self._flows.get(flow_name)
        if flow is None:
            finish = self._idle_finish.pop(flow_name, 0.0)
            flow = self._flows[flow_name] = _Flow(max(self._virtual_time, finish))
            self._schedule(flow_name, flow)
        flow.items[key] = cost
        flow.weight = weight
        flow.cost += cost
        self._flow_of[key] = flow_name

    def peek(self) -> KeyT | None:
        """Return the item to serve next, or ``None``."""
        heap = self._heap
        while heap:
            _, sequence, flow_name = heap[0]
            flow = self._flows.get(flow_name)
            if flow is not None and flow.sequence == sequence:
                return next(iter(flow.items))
            heapq.heappop(heap)
        return None

    def serve(self, key: KeyT) -> None:
        """Remove an item and charge its flow; it does not have to be the next item."""
        if self.peek() == key:
            self._virtual_time = max(self._virtual_time, self._heap[0][0])
        flow_name = self._flow_of[key]
        flow = self._flows[flow_name]
        flow.start += flow.items[key] / flow.weight
        self.discard(key)
        if flow.items:
            self._schedule(flow_name, flow)

    def discard(self, key: KeyT) -> bool:
        """Remove an item without charging its flow; return whether it was waiting."""
        flow_name = self._flow_of.pop(key, None)
        if flow_name is None:
            return False
        flow = self._flows[flow_name]
        flow.cost -= flow.items.pop(key)
        if not flow.items:
            del self._flows[flow_name]
            self._remember_finish(flow_name, flow.start)
        return True

    def work_ahead(self, flow_name: str) -> WorkAhead:
        """Estimate the work that is served before the last item of a waiting flow."""
        flow = self._flows[flow_name]
        earlier_cost = flow.cost - next(reversed(flow.items.values()))
        start = flow.start + earlier_cost / flow.weight
        count = len(flow.items) - 1
        cost = earlier_cost
        for other_name, other in self._flows.items():
            if other_name == flow_name or other.start > start:
                continue
            mean = other.cost / len(other.items)
            served = min(len(other.items), int((start - other.start) * other.weight / mean) + 1)
            count += served
            cost += served * mean
        return WorkAhead(count, cost)

    def _schedule(self, flow_name: str, flow: _Flow[KeyT]) -> None:
        self._sequence += 1
        flow.sequence = self._sequence
        heapq.heappush(self._heap, (flow.start, self._sequence, flow_name))

    def _remember_finish(self, flow_name: str, finish: float) -> None:
        if finish <= self._virtual_time:
            return
        self._idle_finish[flow_name] = finish
        if len(self._idle_finish) <= MAX_IDLE_FLOWS:
            return
        by_finish = sorted(self._idle_finish.items(), key=lambda item: item[1])
        self._idle_finish = dict(by_finish[len(by_finish) // 2 :])
