"""Admission of new requests: target, traffic class, limits and idempotency key."""

from collections.abc import Iterator

from chivehold.core.declared import TrafficClass
from chivehold.core.entry_messages import EntryCommand, Finish, RegisterKey, RequestArrived
from chivehold.core.estimates import NO_UPSTREAM_RETRY_S, Estimates
from chivehold.core.homes import key_home
from chivehold.core.identity import Outcome, RequestId
from chivehold.core.lifecycle import RequestLifecycle
from chivehold.core.placement import Placement
from chivehold.core.requests import Phase, Request
from chivehold.core.state import EntryState
from chivehold.core.targets import Target
from chivehold.core.wire import KeyDecision, KeyRegistration

DRAIN_RETRY_S = 1.0
"""Retry delay in seconds for requests refused by a draining entry."""
HOME_RETRY_S = 2.0
"""Retry delay in seconds for requests whose key's home is unreachable."""
KEY_OUTCOMES = {
    KeyDecision.IN_PROGRESS: Outcome.IN_PROGRESS,
    KeyDecision.ALREADY_ANSWERED: Outcome.ALREADY_ANSWERED,
    KeyDecision.UNKNOWN: Outcome.UNKNOWN,
}


class RequestIntake:
    """Admits new requests or ends them at once.

    Args:
        state: The entry's state.
        estimates: Estimates whether a request can be in time.
        lifecycle: Ends requests.
        placement: Places admitted requests.
    """

    def __init__(
        self,
        state: EntryState,
        estimates: Estimates,
        lifecycle: RequestLifecycle,
        placement: Placement,
    ) -> None:
        self._state = state
        self._estimates = estimates
        self._lifecycle = lifecycle
        self._placement = placement
        self._sequence = 0

    def handle_arrival(self, arrival: RequestArrived) -> Iterator[EntryCommand]:
        """Admit a new request or end it; a repeated event is ignored."""
        if arrival.request in self._state.requests:
            return
        target = self._state.targets.get(arrival.target)
        traffic_class = target.traffic_class(arrival.traffic_class) if target else None
        if target is None or traffic_class is None:
            missing = "class" if target else "target"
            yield Finish(arrival.request, Outcome.REJECTED, f"unknown {missing}")
        elif target.is_service is (arrival.call is None):
            yield Finish(arrival.request, Outcome.REJECTED, "wrong kind of target")
        elif self._state.draining:
            yield Finish(arrival.request, Outcome.NOT_RUN, "draining", DRAIN_RETRY_S)
        else:
            yield from self._admit(self._new_request(arrival, target, traffic_class))

    def handle_key_result(
        self, request_id: RequestId, decision: KeyDecision
    ) -> Iterator[EntryCommand]:
        """Place the request if its key is fresh, otherwise end it with the home's decision."""
        release = self._state.releases_to_resend.pop(request_id, None)
        if release is not None and decision is KeyDecision.FRESH:
            yield release
        request = self._state.request_in_phase(request_id, Phase.REGISTERING)
        if request is None or request.registered:
            return
        request.registered = True
        if decision is KeyDecision.FRESH:
            yield from self._placement.place(request)
        elif decision is KeyDecision.UNREACHABLE:
            yield from self._lifecycle.fail(request, "key's home unreachable", HOME_RETRY_S)
        else:
            request.home_may_hold_key = False
            yield from self._lifecycle.finish(request, KEY_OUTCOMES[decision], "key in use")

    def _admit(self, request: Request) -> Iterator[EntryCommand]:
        self._state.requests[request.id] = request
        self._state.budget.record_request(self._state.now)
        admission = request.target.admission
        if not admission.has_room(request.urgency):
            yield from self._lifecycle.fail(request, "queue full")
            return
        admission.add_waiting(request.id, request.urgency)
        self._state.timers.set_deadline(request.id, request.deadline)
        refusal = self._estimates.admission_refusal(request)
        if refusal is not None:
            yield from self._lifecycle.fail(request, refusal.reason, refusal.wait_s)
        elif request.uses_key_home:
            yield from self._register(request)
        else:
            yield from self._placement.place(request)

    def _register(self, request: Request) -> Iterator[EntryCommand]:
        key = request.arrival.key
        home = key_home(key, request.target.pool) if key is not None else None
        if key is None or home is None:
            yield from self._lifecycle.fail(request, "no upstream", NO_UPSTREAM_RETRY_S)
            return
        request.home = home
        request.home_may_hold_key = True
        age_s = request.arrival.first_sent_ago_s
        yield RegisterKey(home, KeyRegistration(key, request.id, self._state.incarnation, age_s))

    def _new_request(
        self, arrival: RequestArrived, target: Target, traffic_class: TrafficClass
    ) -> Request:
        call = arrival.call
        if call is None:
            idempotent = arrival.idempotent is not False
        else:
            idempotent = target.is_idempotent(call.method, call.path, arrival.idempotent)
        self._sequence += 1
        return Request(arrival, target, traffic_class, idempotent, self._state.now, self._sequence)
