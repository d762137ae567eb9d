"""How requests in progress end during a planned shutdown."""

from collections.abc import Iterator
from contextlib import contextmanager
from random import Random

import trio

from chivehold.direct.exchange import Reply
from chivehold.direct.refusals import Refusal, not_run_refusal, unknown_outcome_refusal

DRAINING = "draining"
"""Reason of the refusals that only the shutdown causes."""
RETRY_AFTER_RANGE_S = (0.1, 0.5)
"""Range of their ``retry-after``: another entry can take the request at once."""


class UnansweredRequests:
    """Knows the requests in progress and ends those whose response has not begun."""

    def __init__(self) -> None:
        self._watched: dict[int, WatchedReply] = {}

    @contextmanager
    def watch(self, reply: Reply, scope: trio.CancelScope) -> Iterator["WatchedReply"]:
        """Let a request be ended while the context lasts."""
        watched = WatchedReply(reply, scope)
        self._watched[id(watched)] = watched
        try:
            yield watched
        finally:
            del self._watched[id(watched)]

    def end(self) -> None:
        """End the requests whose response has not begun."""
        for watched in tuple(self._watched.values()):
            watched.end_if_unanswered()


class WatchedReply:
    """The reply to a request in progress.

    Args:
        reply: The reply.
        scope: Cancelled to end the request.
    """

    def __init__(self, reply: Reply, scope: trio.CancelScope) -> None:
        self._reply = reply
        self._scope = scope
        self._is_ended = False

    @property
    def was_ended(self) -> bool:
        """Whether the request was ended before its response began."""
        return self._is_ended and not self._reply.started

    def end_if_unanswered(self) -> None:
        """End the request, unless its response has begun."""
        if not self._reply.started:
            self._is_ended = True
            self._scope.cancel()


def drain_retry_after_s(rng: Random) -> float:
    """Return when a caller that is refused because of the shutdown is to come back, in seconds."""
    return rng.uniform(*RETRY_AFTER_RANGE_S)


def drain_refusal(may_have_run: bool, rng: Random) -> Refusal:
    """Return the response to a request that is not answered by the end of the shutdown.

    Args:
        may_have_run: Whether an upstream may have run the request.
        rng: Source of the jitter.
    """
    if may_have_run:
        return unknown_outcome_refusal(502, DRAINING, "the entry shuts down")
    return not_run_refusal(DRAINING, "the entry shuts down", drain_retry_after_s(rng))
