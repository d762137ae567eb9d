"""The entry's core, which turns the events of an entry into commands."""

from collections.abc import Callable, Iterator, Mapping
from random import Random
from typing import Any, TypedDict

from chivehold.core.calls import ServiceCallHandler
from chivehold.core.entry_messages import (
    AttemptLinkLost,
    CallerDisconnected,
    CallSettled,
    ClaimSettled,
    DeclarationsChanged,
    DrainStarted,
    EntryCommand,
    EntryEvent,
    FrameReceived,
    ImportSettled,
    KeyCommitSettled,
    KeySettled,
    LeavingUpstreamsChanged,
    LoadReported,
    PrefillSettled,
    RequestArrived,
    RevokeSettled,
    Tick,
    UpstreamUnreachable,
)
from chivehold.core.estimates import Estimates
from chivehold.core.identity import (
    EntryIncarnation,
    RequestId,
    SidecarIncarnation,
    TargetName,
    UpstreamName,
)
from chivehold.core.inference import InferenceHandler
from chivehold.core.intake import RequestIntake
from chivehold.core.lifecycle import RequestLifecycle
from chivehold.core.placement import Placement
from chivehold.core.policy import Policy
from chivehold.core.requests import RequestDump
from chivehold.core.sending import Sender
from chivehold.core.state import EntryState
from chivehold.core.targets import Target, TargetDump, declared_targets, declared_upstreams
from chivehold.core.upstreams import UpstreamDump


class EntryDump(TypedDict):
    """Diagnostic state of an entry's core."""

    incarnation: str
    zone: str
    draining: bool
    revision: int
    retries_spent: int
    targets: dict[str, TargetDump]
    upstreams: dict[str, UpstreamDump]
    requests: dict[str, RequestDump]


class EntryCore:
    """The state machine of one entry, a ``DecisionCore`` of ``EntryEvent`` and ``EntryCommand``.

    Args:
        incarnation: This run of the entry process.
        zone: The entry's availability zone.
        policy: Settings of the decisions.
        random: Breaks ties and adds jitter; the caller seeds it.
    """

    def __init__(
        self, incarnation: EntryIncarnation, zone: str, policy: Policy, random: Random
    ) -> None:
        self._state = EntryState(incarnation, zone, policy, random)
        estimates = Estimates(self._state)
        self._lifecycle = RequestLifecycle(self._state, estimates)
        sender = Sender(self._state, estimates)
        self._placement = Placement(self._state, estimates, self._lifecycle, sender)
        self._inference = InferenceHandler(self._state, self._lifecycle, self._placement, sender)
        self._calls = ServiceCallHandler(self._state, self._lifecycle, self._placement)
        self._intake = RequestIntake(self._state, estimates, self._lifecycle, self._placement)
        self._revision = 0
        self._targets_by_upstream: dict[UpstreamName, list[TargetName]] = {}
        self._handlers = self._handler_table()

    @property
    def in_progress(self) -> int:
        """Number of requests that have not ended."""
        return len(self._state.requests)

    @property
    def incarnations(self) -> Mapping[UpstreamName, SidecarIncarnation]:
        """The last reported sidecar incarnation of each upstream, as a live read-only mapping."""
        return self._state.upstreams.incarnations

    def handle(self, event: EntryEvent, now: float) -> Iterator[EntryCommand]:
        """Process one event and yield the resulting commands.

        Args:
            event: What happened.
            now: Monotonic time in seconds; never decreases from call to call.

        Returns:
            The commands in the order of execution. The caller must exhaust the iterator.
        """
        self._state.now = now
        yield from self._handle_due_timers(now)
        yield from self._handlers[type(event)](event)

    def next_wakeup(self) -> float | None:
        """Return the monotonic time in seconds at which a ``Tick`` is due, or ``None``."""
        return self._state.timers.next_due_at()

    def dump(self) -> EntryDump:
        """Return the diagnostic state as of the last event; it can be encoded as JSON."""
        state = self._state
        return EntryDump(
            incarnation=state.incarnation,
            zone=state.zone,
            draining=state.draining,
            revision=self._revision,
            retries_spent=state.budget.spent,
            targets={name: target.dump(state.now) for name, target in state.targets.items()},
            upstreams=state.upstreams.dump(state.now),
            requests={name: request.dump(state.now) for name, request in state.requests.items()},
        )

    def _handler_table(self) -> dict[type, Callable[[Any], Iterator[EntryCommand]]]:
        placement, inference, lifecycle = self._placement, self._inference, self._lifecycle
        return {
            RequestArrived: self._intake.handle_arrival,
            CallerDisconnected: lambda event: self._handle_caller_disconnected(event.request),
            FrameReceived: lambda event: inference.handle_frame(event.frame),
            AttemptLinkLost: lambda event: placement.handle_link_lost(event.attempt, event.sent),
            PrefillSettled: lambda event: inference.handle_prefill_result(event.result),
            ImportSettled: lambda event: inference.handle_import_result(
                event.attempt, event.accepted
            ),
            CallSettled: lambda event: self._calls.handle_result(event.result),
            RevokeSettled: lambda event: placement.handle_revoke_result(
                event.attempt, event.result
            ),
            KeySettled: lambda event: self._intake.handle_key_result(event.request, event.decision),
            KeyCommitSettled: lambda event: lifecycle.handle_commit_result(
                event.request, event.committed
            ),
            ClaimSettled: lambda event: placement.handle_claim_result(
                event.request, event.decision
            ),
            LoadReported: self._handle_load_report,
            UpstreamUnreachable: self._handle_upstream_unreachable,
            LeavingUpstreamsChanged: self._handle_leaving_upstreams,
            DeclarationsChanged: self._handle_declarations,
            DrainStarted: self._handle_drain,
            Tick: lambda event: iter(()),
        }

    def _handle_due_timers(self, now: float) -> Iterator[EntryCommand]:
        for timer in self._state.timers.pop_due(now):
            if timer.request is not None:
                yield from self._handle_deadline(timer.request)
            elif timer.target in self._state.targets:
                yield from self._placement.dispatch(self._state.targets[timer.target])

    def _handle_deadline(self, request_id: RequestId) -> Iterator[EntryCommand]:
        request = self._state.requests[request_id]
        yield from self._lifecycle.fail(request, "deadline")
        yield from self._placement.dispatch(request.target)

    def _handle_caller_disconnected(self, request_id: RequestId) -> Iterator[EntryCommand]:
        request = self._state.requests.get(request_id)
        if request is None:
            return
        yield from self._lifecycle.abandon(request)
        yield from self._placement.dispatch(request.target)

    def _handle_load_report(self, event: LoadReported) -> Iterator[EntryCommand]:
        view = self._state.upstreams.get(event.upstream)
        if view is None:
            return
        view.update_report(event.report, self._state.now)
        for name in self._targets_by_upstream.get(event.upstream, ()):
            yield from self._placement.dispatch(self._state.targets[name])

    def _handle_upstream_unreachable(self, event: UpstreamUnreachable) -> Iterator[EntryCommand]:
        view = self._state.upstreams.get(event.upstream)
        if view is not None:
            view.reachable = False
        yield from ()

    def _handle_leaving_upstreams(self, event: LeavingUpstreamsChanged) -> Iterator[EntryCommand]:
        self._state.upstreams.set_leaving(event.upstreams)
        yield from ()

    def _handle_drain(self, event: DrainStarted) -> Iterator[EntryCommand]:
        self._state.draining = True
        yield from ()

    def _handle_declarations(self, event: DeclarationsChanged) -> Iterator[EntryCommand]:
        declarations = event.declarations
        if declarations.revision < self._revision:
            return
        self._revision = declarations.revision
        self._state.upstreams.set_declared(declared_upstreams(declarations))
        removed = set(self._state.targets)
        self._targets_by_upstream = {}
        for declared in declared_targets(declarations):
            target = self._state.targets.get(declared.name)
            if target is None:
                target = Target(declared, self._state.policy, self._state.zone, self._state.random)
                self._state.targets[declared.name] = target
            else:
                target.apply_declaration(declared)
            removed.discard(declared.name)
            for upstream in (*target.pool, *target.prefill):
                self._targets_by_upstream.setdefault(upstream, []).append(declared.name)
        for name in sorted(removed):
            yield from self._fail_queued(self._state.targets.pop(name))

    def _fail_queued(self, target: Target) -> Iterator[EntryCommand]:
        for queued in list(target.admission.queue):
            request = self._state.requests[queued.request]
            yield from self._lifecycle.fail(request, "target removed")
