"""Faults that ``POST /faults`` can inject into a stand-in."""

from typing import NamedTuple, TypedDict

import trio


class FaultRequest(TypedDict, total=False):
    """Body of ``POST /faults``; a fault whose field is missing is left unchanged."""

    speed: float
    """Relative speed; 1.0 is full speed."""
    die: bool
    """Lose all state, break all connections and refuse new ones."""
    revive: bool
    """Accept connections again after ``die``."""
    freeze: bool
    """Stop answering and making progress until a request with ``False``."""
    leaving: bool
    """Whether ``GET /status`` reports that the stand-in is leaving."""
    stall_transfers: float
    """Share of imports that stop halfway, 0 to 1."""
    lose_cache_events: float
    """Share of cache events that are never published, 0 to 1."""
    load_lag_s: float
    """Delay with which ``GET /status`` reports the load and the cache."""
    ignore_cancel_for_s: float
    """Cancels are ignored for this many seconds from now."""
    drop_before: int
    """Number of subsequent calls whose connections break before the call runs."""
    drop_after: int
    """Number of subsequent calls whose connections break after the call has run."""


class FaultState(NamedTuple):
    """The faults that are currently active."""

    speed: float = 1.0
    leaving: bool = False
    stall_transfers: float = 0.0
    lose_cache_events: float = 0.0
    load_lag_s: float = 1.0
    ignore_cancel_until: float = 0.0
    """End of the period in which cancels are ignored, on the trio clock."""
    drop_before: int = 0
    drop_after: int = 0

    def with_request(self, request: FaultRequest, now: float) -> "FaultState":
        """Return the state with the fields of a request applied at time ``now``."""
        fields = {name: value for name, value in request.items() if name in self._fields}
        state = self._replace(**fields)  # type: ignore[arg-type]
        if "ignore_cancel_for_s" in request:
            return state._replace(ignore_cancel_until=now + request["ignore_cancel_for_s"])
        return state


class FreezeGate:
    """A gate that is closed while a stand-in is frozen."""

    def __init__(self) -> None:
        self._open = trio.Event()
        self._open.set()

    @property
    def frozen(self) -> bool:
        """Whether the gate is closed."""
        return not self._open.is_set()

    def set_frozen(self, frozen: bool) -> None:
        """Close the gate if ``frozen``, otherwise open it."""
        if frozen and not self.frozen:
            self._open = trio.Event()
        if not frozen:
            self._open.set()

    async def wait_until_open(self) -> None:
        """Wait until the gate is open."""
        while self.frozen:
            await self._open.wait()
