"""Tells the end of an upstream's process from other reasons for which a connection breaks.

A broken connection alone may be a reset on the way, a spoilt response or a limit of connections.
When the process has ended, its address refuses connections until the next one listens there. It is
asked by one connection, which is kept for a moment, as the listener may be closed last; each more
may take the place of a request.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

import trio

from chivehold.core.direct.crash_keys import CrashKey
from chivehold.core.direct.messages import UpstreamIncarnation, UpstreamRecord, incarnation_of
from chivehold.listener_probe import refuses_connections
from chivehold.logs import log_event

PROBE_TIMEOUT_S = 0.2
MAX_PROBE_WAIT_S = 0.03
"""How long a request waits to learn whether its upstream has ended; a living one shows nothing."""
MAX_REMEMBERED_ENDS = 200
MAX_SUSPECTS = 64
"""Requests remembered for one upstream while it is probed."""

_log = logging.getLogger(__name__)


class BrokenRequest(NamedTuple):
    """A request whose connection to its upstream broke before it had proved harmless."""

    request_id: str
    keys: tuple[CrashKey, ...]
    sent_at: float
    """When it was sent to the upstream, on the trio clock."""
    broken_at: float


EndHandler = Callable[[UpstreamRecord, BrokenRequest], None]
"""Called with an upstream that has ended and each suspect request that it was running."""


class UpstreamEndDetector:
    """Probes upstreams whose connections break and reports those that have ended.

    Args:
        nursery: Runs the probes.
        on_end: Called once for each suspect request at an upstream that has ended.
    """

    def __init__(self, nursery: trio.Nursery, on_end: EndHandler) -> None:
        self._nursery = nursery
        self._on_end = on_end
        self._pending: dict[UpstreamIncarnation, list[BrokenRequest]] = {}
        self._ended: dict[UpstreamIncarnation, None] = {}
        self._probes: dict[UpstreamIncarnation, trio.Event] = {}

    def record_break(self, upstream: UpstreamRecord, broken: BrokenRequest) -> None:
        """Record that the connection of a suspect request broke."""
        incarnation = incarnation_of(upstream)
        if incarnation in self._ended:
            self._report(upstream, broken)
            return
        pending = self._pending.get(incarnation)
        if pending is None:
            self._pending[incarnation] = [broken]
            self._probes[incarnation] = trio.Event()
            self._nursery.start_soon(self._probe, upstream)
        elif len(pending) < MAX_SUSPECTS:
            pending.append(broken)

    async def has_ended(self, upstream: UpstreamRecord) -> bool:
        """Return whether an upstream has ended; waits for a probe in progress."""
        incarnation = incarnation_of(upstream)
        probed = self._probes.get(incarnation)
        if probed is not None:
            with trio.move_on_after(MAX_PROBE_WAIT_S):
                await probed.wait()
        return incarnation in self._ended

    async def _probe(self, upstream: UpstreamRecord) -> None:
        incarnation = incarnation_of(upstream)
        probed = self._probes[incarnation]
        try:
            has_ended = await refuses_connections(upstream.address, PROBE_TIMEOUT_S)
            if has_ended:
                self._record_end(incarnation)
            for broken in self._pending.pop(incarnation):
                if has_ended:
                    self._report(upstream, broken)
                else:
                    _log_suspect("upstream still listens", upstream, broken)
        finally:
            probed.set()
            del self._probes[incarnation]

    def _record_end(self, incarnation: UpstreamIncarnation) -> None:
        self._ended[incarnation] = None
        if len(self._ended) > MAX_REMEMBERED_ENDS:
            del self._ended[next(iter(self._ended))]

    def _report(self, upstream: UpstreamRecord, broken: BrokenRequest) -> None:
        _log_suspect("upstream ended under request", upstream, broken)
        self._on_end(upstream, broken)


def _log_suspect(event: str, upstream: UpstreamRecord, broken: BrokenRequest) -> None:
    log_event(
        _log,
        logging.INFO,
        event,
        None,
        peer=upstream.name,
        service=upstream.service,
        request=broken.request_id,
        keys=[str(key) for key in broken.keys],
        ran_ms=round((broken.broken_at - broken.sent_at) * 1_000),
        age_ms=round((trio.current_time() - broken.broken_at) * 1_000),
    )
