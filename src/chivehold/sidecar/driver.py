"""Drives the sidecar's core: feeds it events one at a time and executes its commands."""

import logging
import math
from collections import deque
from collections.abc import Callable
from itertools import count
from typing import Any

import trio

from chivehold.core.protocols import DeadlineCore
from chivehold.core.sidecar_messages import SidecarCommand, SidecarEvent, Tick
from chivehold.logs import log_event

_log = logging.getLogger(__name__)

PAUSE_S = 0.1
"""A timer that is later than this means that the process was paused."""

PAUSE_HOLD_S = 0.1
"""Time to read what upstreams and entries sent during a pause, before deadlines expire."""

ExecuteCommand = Callable[[SidecarCommand], None]


class _PendingReply:
    def __init__(self) -> None:
        self.settled = trio.Event()
        self.value: Any = None


class SidecarDriver:
    """Feeds events to the core, executes its commands and runs its timer.

    Args:
        core: The core; no other code may feed events to it.
        execute: Executes a command, or starts its execution, without blocking.
    """

    def __init__(
        self, core: DeadlineCore[SidecarEvent, SidecarCommand], execute: ExecuteCommand
    ) -> None:
        self._core = core
        self._execute = execute
        self._events: deque[SidecarEvent] = deque()
        self._is_feeding = False
        self._reply_numbers = count(1)
        self._replies: dict[int, _PendingReply] = {}
        self._timer_changed = trio.Event()
        self._failure: Exception | None = None
        self._held_until: float | None = None

    def feed(self, event: SidecarEvent) -> None:
        """Feed an event to the core and execute the resulting commands.

        An event that is fed while another is being handled is queued and handled after it.
        """
        self._events.append(event)
        if self._is_feeding:
            return
        self._is_feeding = True
        try:
            while self._events:
                self._handle_event(self._events.popleft())
        except Exception as error:
            self._failure = error
            raise
        finally:
            self._is_feeding = False
            self._timer_changed.set()

    async def feed_and_wait(self, make_event: Callable[[int], SidecarEvent]) -> Any:
        """Feed an event that expects a reply, and return the value of the reply.

        Args:
            make_event: Returns the event with the given reply number.
        """
        number = next(self._reply_numbers)
        reply = self._replies[number] = _PendingReply()
        try:
            self.feed(make_event(number))
            await reply.settled.wait()
            return reply.value
        finally:
            del self._replies[number]

    def settle_reply(self, number: int, value: Any) -> None:
        """Settle the reply with this number; does nothing if its caller was cancelled."""
        reply = self._replies.get(number)
        if reply is not None:
            reply.value = value
            reply.settled.set()

    async def run_timer(self) -> None:
        """Feed a ``Tick`` each time the core has asked to be woken, until cancelled.

        Raises:
            Exception: The error with which an earlier ``feed`` failed; the core's state can no
                longer be trusted.
        """
        while True:
            if self._failure is not None:
                raise self._failure
            wakeup = self._core.next_wakeup()
            self._timer_changed = trio.Event()
            with trio.move_on_at(math.inf if wakeup is None else wakeup):
                await self._timer_changed.wait()
            now = trio.current_time()
            self._hold_after_pause(now)
            wakeup = self._core.next_wakeup()
            if wakeup is not None and wakeup <= now:
                self.feed(Tick())

    def _handle_event(self, event: SidecarEvent) -> None:
        now = trio.current_time()
        self._hold_after_pause(now)
        for command in self._core.handle(event, now):
            self._execute(command)

    def _hold_after_pause(self, now: float) -> None:
        """Hold deadlines that passed during a pause of the process; each is held only once."""
        due = self._core.next_wakeup()
        if due is None or now - due <= PAUSE_S or due == self._held_until:
            return
        self._held_until = now + PAUSE_HOLD_S
        self._core.hold_expiry(self._held_until)
        log_event(_log, logging.WARNING, "process paused", late_s=round(now - due, 3))
