"""The entry's core: takes what happens at an entry and says what is to be done."""

from collections.abc import Callable, Iterator, Mapping
from random import Random
from typing import Any, TypedDict

from chivehold.core.calls import Calls
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
from chivehold.core.inference import Inference
from chivehold.core.intake import Intake
from chivehold.core.lifecycle import Lifecycle
from chivehold.core.placement import Placement
from chivehold.core.policy import Policy
from chivehold.core.requests import RequestDump
from chivehold.core.sending import Sender
from chivehold.core.state import EntryState
from chivehold.core.targets import Target, TargetDump, declared_targets, declared_upstreams
from chivehold.core.upstreams import UpstreamDump


class EntryDump(TypedDict):
    """The whole state of an entry's core."""

    incarnation: str
    zone: str
    draining: bool
    revision: int
    retries_spent: int
    targets: dict[str, TargetDump]
    upstreams: dict[str, UpstreamDump]
    requests: dict[str, RequestDump]


class EntryCore:
    """Decides for one entry; a ``DecisionCore`` of ``EntryEvent`` and ``EntryCommand``.

    Args:
        incarnation: This run of the entry.
        zone: The entry's availability zone.
        policy: What to decide by.
        random: Seeded by the caller; breaks ties and spreads times.
    """

    def __init__(
        self, incarnation: EntryIncarnation, zone: str, policy: Policy, random: Random
    ) -> None:
        self._state = EntryState(incarnation, zone, policy, random)
        estimates = Estimates(self._state)
        self._lifecycle = Lifecycle(self._state, estimates)
        sender = Sender(self._state, estimates)
        self._placement = Placement(self._state, estimates, self._lifecycle, sender)
        self._inference = Inference(self._state, self._lifecycle, self._placement, sender)
        self._calls = Calls(self._state, self._lifecycle, self._placement)
        self._intake = Intake(self._state, estimates, self._lifecycle, self._placement)
        self._revision = 0
        self._targets_of: dict[UpstreamName, list[TargetName]] = {}
        self._handlers = self._handler_table()

    @property
    def in_progress(self) -> int:
        """Requests that have not ended."""
        return len(self._state.requests)

    @property
    def incarnations(self) -> Mapping[UpstreamName, SidecarIncarnation]:
        """The newest known sidecar run of each upstream; read only, always current."""
        return self._state.upstreams.incarnations

    def handle(self, event: EntryEvent, now: float) -> Iterator[EntryCommand]:
        """Take one event and yield the commands that follow from it.

        Args:
            event: What happened.
            now: Monotonic time in seconds; never decreases from call to call.

        Returns:
            Commands in the order in which they are to be carried out. Exhaust the iterator.
        """
        self._state.now = now
        yield from self._due(now)
        yield from self._handlers[type(event)](event)

    def next_wakeup(self) -> float | None:
        """Return the time in seconds at which a ``Tick`` is due, or ``None``."""
        return self._state.timers.next_at()

    def dump(self) -> EntryDump:
        """Return the whole state as of the last event, fit for JSON."""
        state = self._state
        return EntryDump(
            incarnation=state.incarnation,
            zone=state.zone,
            draining=state.draining,
            revision=self._revision,
            retries_spent=state.budget.spent,
            targets={name: one.dump(state.now) for name, one in state.targets.items()},
            upstreams=state.upstreams.dump(state.now),
            requests={name: one.dump(state.now) for name, one in state.requests.items()},
        )

    def _handler_table(self) -> dict[type, Callable[[Any], Iterator[EntryCommand]]]:
        placement, inference, lifecycle = self._placement, self._inference, self._lifecycle
        return {
            RequestArrived: self._intake.arrived,
            CallerDisconnected: lambda event: self._caller_gone(event.request),
            FrameReceived: lambda event: inference.frame(event.frame),
            AttemptLinkLost: lambda event: placement.link_lost(event.attempt, event.sent),
            PrefillSettled: lambda event: inference.prefill_settled(event.result),
            ImportSettled: lambda event: inference.import_settled(event.attempt, event.accepted),
            CallSettled: lambda event: self._calls.settled(event.result),
            RevokeSettled: lambda event: placement.revoke_settled(event.attempt, event.result),
            KeySettled: lambda event: self._intake.key_settled(event.request, event.decision),
            KeyCommitSettled: lambda event: lifecycle.commit_settled(
                event.request, event.committed
            ),
            ClaimSettled: lambda event: placement.claim_settled(event.request, event.decision),
            LoadReported: self._load_reported,
            UpstreamUnreachable: self._upstream_unreachable,
            LeavingUpstreamsChanged: self._leaving_listed,
            DeclarationsChanged: self._declarations_changed,
            DrainStarted: self._drain_started,
            Tick: lambda event: iter(()),
        }

    def _due(self, now: float) -> Iterator[EntryCommand]:
        for timer in self._state.timers.due(now):
            if timer.request is not None:
                yield from self._deadline_passed(timer.request)
            elif timer.target in self._state.targets:
                yield from self._placement.dispatch(self._state.targets[timer.target])

    def _deadline_passed(self, name: RequestId) -> Iterator[EntryCommand]:
        request = self._state.requests[name]
        yield from self._lifecycle.fail(request, "deadline")
        yield from self._placement.dispatch(request.target)

    def _caller_gone(self, name: RequestId) -> Iterator[EntryCommand]:
        request = self._state.requests.get(name)
        if request is None:
            return
        yield from self._lifecycle.depart(request)
        yield from self._placement.dispatch(request.target)

    def _load_reported(self, event: LoadReported) -> Iterator[EntryCommand]:
        view = self._state.upstreams.get(event.upstream)
        if view is None:
            return
        view.take_report(event.report, self._state.now)
        for name in self._targets_of.get(event.upstream, ()):
            yield from self._placement.dispatch(self._state.targets[name])

    def _upstream_unreachable(self, event: UpstreamUnreachable) -> Iterator[EntryCommand]:
        view = self._state.upstreams.get(event.upstream)
        if view is not None:
            view.reachable = False
        yield from ()

    def _leaving_listed(self, event: LeavingUpstreamsChanged) -> Iterator[EntryCommand]:
        self._state.upstreams.list_leaving(event.upstreams)
        yield from ()

    def _drain_started(self, event: DrainStarted) -> Iterator[EntryCommand]:
        self._state.draining = True
        yield from ()

    def _declarations_changed(self, event: DeclarationsChanged) -> Iterator[EntryCommand]:
        declarations = event.declarations
        if declarations.revision < self._revision:
            return
        self._revision = declarations.revision
        self._state.upstreams.declare(declared_upstreams(declarations))
        removed = set(self._state.targets)
        self._targets_of = {}
        for declared in declared_targets(declarations):
            target = self._state.targets.get(declared.name)
            if target is None:
                target = Target(declared, self._state.policy, self._state.zone, self._state.random)
                self._state.targets[declared.name] = target
            else:
                target.declare(declared)
            removed.discard(declared.name)
            for upstream in (*target.pool, *target.prefill):
                self._targets_of.setdefault(upstream, []).append(declared.name)
        for name in sorted(removed):
            yield from self._removed(self._state.targets.pop(name))

    def _removed(self, target: Target) -> Iterator[EntryCommand]:
        for queued in list(target.admission.queue):
            request = self._state.requests[queued.request]
            yield from self._lifecycle.fail(request, "target removed")
