"""The table of a listener's connections, which bounds their number and their unfinished heads."""

import logging
import math
import resource
from typing import Protocol

import trio

from chivehold.logs import log_event

RESERVED_DESCRIPTORS = 200
"""Descriptors of the process that are left for files."""
CONNECTION_SHARE = 0.75
"""Share of the other descriptors that the callers' connections may take."""
MAX_UNFINISHED_HEAD_BYTES = 4 << 20
"""Limit of the unfinished heads of all connections of a listener; the longest one gives way."""
LIMIT_LOG_INTERVAL_S = 10.0
"""Minimum time between two log lines that tell of connections at their limit."""

_log = logging.getLogger(__name__)


def connections_within(max_connections: int) -> int:
    """Return a limit on callers' connections that leaves descriptors for everything else."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return max_connections
    available = int((descriptors - RESERVED_DESCRIPTORS) * CONNECTION_SHARE)
    return max(1, min(max_connections, available))


class Closable(Protocol):
    """A connection in the table."""

    def abandon(self) -> None:
        """Close the connection without finishing what is in progress on it."""


class ConnectionTable:
    """The open connections of a listener, at most a fixed number.

    A connection above that number takes the place of one without a request: of the oldest that
    has never had one, else of the one that has been idle for longest. If there is none, the new
    connection is closed before anything is read from it, and the next one to become idle is closed
    too: otherwise clients that send their requests ahead would keep their places.

    Args:
        max_connections: Maximum number of connections.
    """

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        self._unused: dict[Closable, None] = {}
        """Those without a first request, oldest first."""
        self._idle: dict[Closable, None] = {}
        """Those between two requests, idle for longest first."""
        self._busy: set[Closable] = set()
        self._places_wanted = 0
        self._head_bytes: dict[Closable, int] = {}
        """What each connection has received of an unfinished head."""
        self._closed = 0
        self._logged_at = -math.inf

    def __len__(self) -> int:
        return len(self._unused) + len(self._idle) + len(self._busy)

    def add(self, connection: Closable) -> bool:
        """Add a new connection, closing another one if necessary; return whether there is room."""
        if len(self) >= self._max_connections:
            self._log_limit()
            if not self._close_one():
                self._places_wanted = min(self._places_wanted + 1, self._max_connections)
                return False
        self._unused[connection] = None
        return True

    def count_received(self, connection: Closable, size: int) -> None:
        """Count bytes that a connection has received, and close one if there are too many heads."""
        if connection in self._busy:
            return
        self._head_bytes[connection] = self._head_bytes.get(connection, 0) + size
        if sum(self._head_bytes.values()) > MAX_UNFINISHED_HEAD_BYTES:
            longest = max(self._head_bytes, key=self._head_bytes.__getitem__)
            self.remove(longest)
            longest.abandon()

    def mark_busy(self, connection: Closable) -> None:
        """Record that a request has begun on a connection."""
        self.remove(connection)
        self._busy.add(connection)

    def mark_idle(self, connection: Closable) -> None:
        """Record that the requests of a connection have ended."""
        self.remove(connection)
        if self._places_wanted:
            self._places_wanted -= 1
            connection.abandon()
            return
        self._idle[connection] = None

    def remove(self, connection: Closable) -> None:
        """Remove a connection."""
        self._unused.pop(connection, None)
        self._idle.pop(connection, None)
        self._busy.discard(connection)
        self._head_bytes.pop(connection, None)

    def _log_limit(self) -> None:
        """Log that a connection has to be closed, unless that was logged recently."""
        self._closed += 1
        now = trio.current_time()
        if now - self._logged_at < LIMIT_LOG_INTERVAL_S:
            return
        log_event(
            _log,
            logging.WARNING,
            "connections at the limit",
            limit=self._max_connections,
            closed=self._closed,
        )
        self._logged_at = now
        self._closed = 0

    def _close_one(self) -> bool:
        """Close a connection without a request; return whether there was one."""
        for candidates in (self._unused, self._idle):
            for connection in candidates:
                self.remove(connection)
                connection.abandon()
                return True
        return False
