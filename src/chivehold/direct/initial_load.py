"""Keeps an entry from being ready before it has read what it needs from the store."""

from collections.abc import Callable

import trio

MAX_LOAD_WAIT_S = 2.0
"""How long after its start an entry waits for what it reads; it serves without it afterwards."""


class InitialLoad:
    """What an entry reads from the store after its start.

    Args:
        what: What it reads, named in the reason.
        is_loaded: Returns whether it has been read.
    """

    def __init__(self, what: str, is_loaded: Callable[[], bool]) -> None:
        self._what = what
        self._is_loaded = is_loaded
        self._gives_up_at = trio.current_time() + MAX_LOAD_WAIT_S

    def unready_reason(self) -> str:
        """Return why the entry is not ready yet, or an empty string if it is."""
        if self._is_loaded() or trio.current_time() >= self._gives_up_at:
            return ""
        return f"{self._what} not read yet"
