"""Finds out whether a process still listens at an address."""

import socket
from contextlib import suppress
from enum import Enum

import trio

MAX_PROBE_CONNECTIONS = 3
"""Connections to a peer that closes each; they take places there."""
PROBE_INTERVAL_S = 0.01
"""Time from the end of one of them to the next."""


class _Connection(Enum):
    """What became of a connection without a request."""

    REFUSED = "refused"
    CLOSED = "closed"
    """The peer has accepted it and closed it."""
    FAILED = "failed"
    """Something on the way failed, which says nothing about the process."""


async def refuses_connections(peer: str, timeout_s: float) -> bool:
    """Return whether nothing listens at an address, or ceases to within a time.

    A process that ends may close its listener after its connections. So a connection that it
    accepts is watched, and another one is tried if the peer closes it.

    Args:
        peer: ``host:port`` with an IP address.
        timeout_s: Time in seconds; no answer within it is no refusal.
    """
    with trio.move_on_after(timeout_s):
        for _ in range(MAX_PROBE_CONNECTIONS):
            state = await _try_connection(peer)
            if state is not _Connection.CLOSED:
                return state is _Connection.REFUSED
            await trio.sleep(PROBE_INTERVAL_S)
    return False


async def _try_connection(peer: str) -> "_Connection":
    """Connect and, if the peer accepts, wait until it closes the connection."""
    host, _, port = peer.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with trio.socket.socket(family, socket.SOCK_STREAM) as sock:
        try:
            await sock.connect((host.strip("[]"), int(port)))
        except ConnectionRefusedError:
            return _Connection.REFUSED
        except OSError:
            return _Connection.FAILED
        with suppress(OSError):
            await sock.recv(1)
        return _Connection.CLOSED
