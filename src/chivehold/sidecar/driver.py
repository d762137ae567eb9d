"""Feeds events into the sidecar's core one at a time, and keeps its timer."""

import math
from collections import deque
from collections.abc import Callable
from itertools import count
from typing import Any

import trio

from chivehold.core.protocols import DecisionCore
from chivehold.core.sidecar_messages import SidecarCommand, SidecarEvent, Tick

Perform = Callable[[SidecarCommand], None]


class _Reply:
    def __init__(self) -> None:
        self.settled = trio.Event()
        self.value: Any = None


class SidecarDriver:
    """The one place that calls the core.

    Args:
        core: The core; nothing else may feed it.
        perform: Carries a command out, or starts doing so, without waiting.
    """

    def __init__(self, core: DecisionCore[SidecarEvent, SidecarCommand], perform: Perform) -> None:
        self._core = core
        self._perform = perform
        self._events: deque[SidecarEvent] = deque()
        self._busy = False
        self._numbers = count(1)
        self._replies: dict[int, _Reply] = {}
        self._timer_changed = trio.Event()
        self._error: Exception | None = None

    def feed(self, event: SidecarEvent) -> None:
        """Give the core an event, after those given before, and carry out what follows."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        except Exception as error:
            self._error = error
            raise
        finally:
            self._busy = False
            self._timer_changed.set()

    async def ask(self, make_event: Callable[[int], SidecarEvent]) -> Any:
        """Give the core an event that wants an answer, and return the answer.

        Args:
            make_event: Returns the event for a reply number.
        """
        number = next(self._numbers)
        reply = self._replies[number] = _Reply()
        try:
            self.feed(make_event(number))
            await reply.settled.wait()
            return reply.value
        finally:
            del self._replies[number]

    def answer(self, number: int, value: Any) -> None:
        """Settle the question with this reply number, if anybody still waits for it."""
        reply = self._replies.get(number)
        if reply is not None:
            reply.value = value
            reply.settled.set()

    async def run(self) -> None:
        """Feed a ``Tick`` whenever one is due, until cancelled.

        Raises:
            Exception: What the core or a command raised; its state cannot be trusted after it.
        """
        while True:
            if self._error is not None:
                raise self._error
            due = self._core.next_wakeup()
            self._timer_changed = trio.Event()
            with trio.move_on_at(math.inf if due is None else due):
                await self._timer_changed.wait()
            due = self._core.next_wakeup()
            if due is not None and due <= trio.current_time():
                self.feed(Tick())

    def _handle(self, event: SidecarEvent) -> None:
        for command in self._core.handle(event, trio.current_time()):
            self._perform(command)
