"""Tests that each checker accepts good histories and rejects bad ones."""

import json

import pytest

from chivehold.core.identity import AttemptId, Outcome
from chivehold.fakes.output import expected_tokens, output_tokens, prompt_digest
from chivehold.history.answers import (
    check_not_run,
    check_one_answer,
    check_refusals_are_typed,
    check_run_once,
    check_whole_answer,
)
from chivehold.history.checks import CHECKERS, check_all
from chivehold.history.events import (
    AcceptedChange,
    Call,
    CallEnd,
    EngineHoldings,
    History,
    LeavingStarted,
    RevisionSample,
    Shutdown,
    SidecarOutage,
    UpstreamEvent,
    UpstreamEventKind,
    Violation,
)
from chivehold.history.nodes import check_in_force, check_monotonic, check_shutdown
from chivehold.history.recorder import Recorder
from chivehold.history.upstreams import check_leaving, check_memory_released, check_nothing_held

PROMPT = "Read the site."
OUTPUT = expected_tokens(PROMPT, 6)
RESUMED = (*OUTPUT[:3], *output_tokens(prompt_digest(PROMPT + "".join(OUTPUT[:3])), 3, 6))
ATTEMPT = AttemptId("e1-1", 1)
SECOND_ATTEMPT = AttemptId("e1-1", 2)
CALL = Call("lector", 10.0, "entry-1", request="e1-1", completed_at_s=20.0)
SHUTDOWN = Shutdown("entry-1", 15.0, 25.0, 0, is_entry=True)


def model_call(tokens, end=CallEnd.WHOLE, **fields):
    call = CALL._replace(prompt=PROMPT, max_tokens=6, end=end, text="".join(tokens))
    return History((call._replace(**fields),))


def calls_with_key(*ends, targets=("lector", "lector")):
    calls = (
        CALL._replace(key="k", end=end, target=target)
        for end, target in zip(ends, targets, strict=True)
    )
    return History(tuple(calls))


def failed_call(outcome, *events):
    return History((CALL._replace(end=CallEnd.ERROR, outcome=outcome),), events)


def non_idempotent_call(*events, **fields):
    return History((CALL._replace(idempotent=False, **fields),), events)


def event(kind=UpstreamEventKind.CALL_STARTED, at_s=11.0, attempt=ATTEMPT, key="", upstream="d1"):
    return UpstreamEvent(upstream, kind, at_s, attempt, key)


def decode_events(ended_at_s, kind=UpstreamEventKind.CANCELLED, **fields):
    return event(UpstreamEventKind.DECODE_STARTED, **fields), event(kind, ended_at_s)


def disconnected_call(*events, end=CallEnd.CALLER_LEFT, **fields):
    return History((CALL._replace(end=end),), events, **fields)


def service_call(**answer):
    text = json.dumps({"path": "/a", "body_digest": "x", "key": "k"} | answer)
    call = CALL._replace(end=CallEnd.WHOLE, path="/a", body_digest="x", key="k", text=text)
    return History((call,))


def call_during_shutdown(end, outcome=None, shutdown=SHUTDOWN, **fields):
    call = CALL._replace(end=end, outcome=outcome, **fields)
    return History((call,), shutdowns=(shutdown,))


def sampled_revisions(*samples, accepted=()):
    rows = (RevisionSample("d1", run, revision, at_s) for run, revision, at_s in samples)
    return History(
        revision_samples=tuple(rows),
        accepted_changes=tuple(AcceptedChange(*change) for change in accepted),
    )


LOST = UpstreamEvent("d1", UpstreamEventKind.LOST, 21.0)
PREFILL = event(UpstreamEventKind.PREFILL_STARTED)
GOOD = {
    check_one_answer: [
        calls_with_key(CallEnd.WHOLE, CallEnd.ERROR),
        calls_with_key(CallEnd.WHOLE, CallEnd.BROKEN),
        calls_with_key(CallEnd.WHOLE, CallEnd.WHOLE, targets=("lector", "casewriter")),
    ],
    check_whole_answer: [
        model_call(OUTPUT),
        model_call(RESUMED),
        model_call(OUTPUT[:4], CallEnd.BROKEN),
        model_call(RESUMED[:5], CallEnd.CALLER_LEFT),
        model_call((), CallEnd.ERROR),
        service_call(),
    ],
    check_not_run: [
        failed_call(Outcome.NOT_RUN),
        failed_call(Outcome.NOT_RUN, event(attempt=AttemptId("e1-2", 1))),
        failed_call(Outcome.UNKNOWN, event()),
    ],
    check_run_once: [
        non_idempotent_call(event(key="k"), key="k"),
        non_idempotent_call(event(), event(UpstreamEventKind.CALL_ENDED)),
        History((CALL,), (event(), event(attempt=SECOND_ATTEMPT))),
    ],
    check_refusals_are_typed: [
        failed_call(Outcome.UNKNOWN),
        model_call(OUTPUT, outcome=Outcome.ANSWERED),
        model_call((), CallEnd.BROKEN),
    ],
    check_memory_released: [
        disconnected_call(*decode_events(21.9)),
        disconnected_call(*decode_events(30.0), end=CallEnd.WHOLE),
        disconnected_call(event(UpstreamEventKind.DECODE_STARTED), LOST),
        disconnected_call(*decode_events(26.5), sidecar_outages=(SidecarOutage("d1", 19.0, 25.0),)),
        disconnected_call(PREFILL, event(UpstreamEventKind.PREFILL_ENDED, 12.0)),
    ],
    check_nothing_held: [History(engine_holdings=(EngineHoldings("d1", ()),))],
    check_leaving: [
        History(upstream_events=(event(at_s=12.9),), leaving=(LeavingStarted("d1", 10.0),)),
        History(
            upstream_events=(event(at_s=99.0, upstream="d2"),),
            leaving=(LeavingStarted("d1", 10.0),),
        ),
        History(upstream_events=decode_events(99.0), leaving=(LeavingStarted("d1", 10.0),)),
    ],
    check_shutdown: [
        call_during_shutdown(CallEnd.WHOLE),
        call_during_shutdown(CallEnd.CALLER_LEFT),
        call_during_shutdown(CallEnd.ERROR, Outcome.NOT_RUN, invoked_at_s=16.0),
        call_during_shutdown(CallEnd.ERROR, Outcome.NOT_RUN, invoked_at_s=14.9),
        call_during_shutdown(CallEnd.BROKEN, entry="entry-2"),
        call_during_shutdown(CallEnd.BROKEN, completed_at_s=14.0),
    ],
    check_in_force: [
        sampled_revisions(("i1", 4, 0.0), ("i1", 4, 12.9), ("i1", 5, 13.0), accepted=[(5, 10.0)]),
        sampled_revisions(("i1", 0, 12.0), ("i1", 5, 14.9), accepted=[(5, 10.0)]),
    ],
    check_monotonic: [
        sampled_revisions(("i1", 4, 0.0), ("i1", 4, 1.0), ("i1", 5, 2.0)),
        sampled_revisions(("i1", 4, 0.0), ("i2", 0, 1.0), ("i2", 4, 2.0)),
        # Guards against a first report of a new run that one entry receives later than another.
        History(
            revision_samples=(
                RevisionSample("d1 by e1", "i1", 4, 0.0),
                RevisionSample("d1 by e2", "i2", 4, 1.0),
                RevisionSample("d1 by e1", "i2", 0, 1.1),
            )
        ),
    ],
}
BAD = {
    check_one_answer: [calls_with_key(CallEnd.WHOLE, CallEnd.WHOLE)],
    check_whole_answer: [
        model_call(OUTPUT[:5]),
        model_call((*OUTPUT, OUTPUT[5])),
        model_call((*OUTPUT[:3], *OUTPUT[4:], OUTPUT[5])),
        model_call((*OUTPUT[:3], OUTPUT[2], *OUTPUT[3:5])),
        model_call((*OUTPUT[:2], OUTPUT[3], OUTPUT[2], *OUTPUT[4:])),
        model_call(expected_tokens("another's", 6)),
        model_call((*OUTPUT[:2], OUTPUT[3]), CallEnd.BROKEN),
        service_call(path="/b"),
        service_call(body_digest="y"),
        service_call(key="j"),
        model_call((), prompt=None, path="/a"),
    ],
    check_not_run: [
        failed_call(Outcome.NOT_RUN, event()),
        failed_call(
            Outcome.NOT_RUN, event(UpstreamEventKind.PREFILL_STARTED, attempt=SECOND_ATTEMPT)
        ),
        failed_call(Outcome.NOT_RUN, event(UpstreamEventKind.DECODE_STARTED, 99.0)),
    ],
    check_run_once: [
        non_idempotent_call(event(), event(attempt=SECOND_ATTEMPT, upstream="d2")),
        non_idempotent_call(
            event(key="k"), event(key="k", attempt=AttemptId("e2-1", 1)), key="k", request=""
        ),
    ],
    check_refusals_are_typed: [
        failed_call(None),
        failed_call(Outcome.ANSWERED),
        model_call(OUTPUT, outcome=Outcome.NOT_RUN),
    ],
    check_memory_released: [
        disconnected_call(*decode_events(22.1)),
        disconnected_call(*decode_events(22.1), end=CallEnd.BROKEN),
        disconnected_call(event(UpstreamEventKind.DECODE_STARTED)),
        disconnected_call(PREFILL),
        disconnected_call(*decode_events(30.0, at_s=23.0)),
        disconnected_call(*decode_events(27.1), sidecar_outages=(SidecarOutage("d1", 19.0, 25.0),)),
        disconnected_call(*decode_events(22.1), sidecar_outages=(SidecarOutage("d2", 19.0, 25.0),)),
        disconnected_call(event(UpstreamEventKind.DECODE_STARTED), LOST._replace(upstream="d2")),
    ],
    check_nothing_held: [History(engine_holdings=(EngineHoldings("d1", (ATTEMPT,)),))],
    check_leaving: [
        History(upstream_events=(event(kind, 13.1),), leaving=(LeavingStarted("d1", 10.0),))
        for kind in (
            UpstreamEventKind.PREFILL_STARTED,
            UpstreamEventKind.DECODE_STARTED,
            UpstreamEventKind.CALL_STARTED,
        )
    ],
    check_shutdown: [
        call_during_shutdown(CallEnd.BROKEN),
        call_during_shutdown(CallEnd.ERROR, Outcome.UNKNOWN),
        call_during_shutdown(CallEnd.ERROR, Outcome.NOT_RUN),
        call_during_shutdown(CallEnd.NOT_SENT),
        call_during_shutdown(None, completed_at_s=None),
        call_during_shutdown(CallEnd.BROKEN, invoked_at_s=16.0),
        call_during_shutdown(
            CallEnd.BROKEN, entry="entry-2", shutdown=SHUTDOWN._replace(is_entry=False)
        ),
        History(shutdowns=(SHUTDOWN._replace(ended_at_s=None, exit_code=None),)),
        History(shutdowns=(SHUTDOWN._replace(exit_code=-15),)),
    ],
    check_in_force: [
        sampled_revisions(("i1", 4, 0.0), ("i1", 4, 13.1), accepted=[(5, 10.0)]),
        sampled_revisions(("i1", 0, 12.0), ("i1", 0, 15.1), accepted=[(5, 10.0)]),
    ],
    check_monotonic: [
        sampled_revisions(("i1", 5, 0.0), ("i1", 4, 1.0)),
        sampled_revisions(("i1", 5, 0.0), ("i1", 0, 1.0)),
        sampled_revisions(("i1", 5, 0.0), ("i2", 4, 1.0)),
        sampled_revisions(("i1", 5, 0.0), ("i2", 0, 1.0), ("i2", 5, 2.0), ("i2", 4, 3.0)),
    ],
}


def cases(histories):
    return [
        pytest.param(checker, history, id=f"{checker.__name__}-{number}")
        for checker, checker_histories in histories.items()
        for number, history in enumerate(checker_histories)
    ]


class TestCheckers:
    @pytest.mark.parametrize(("checker", "history"), cases(GOOD))
    def test_good_history_is_accepted(self, checker, history) -> None:
        """A history in which the promise holds has no violation."""
        assert checker(history) == ()

    @pytest.mark.parametrize(("checker", "history"), cases(BAD))
    def test_bad_history_is_rejected(self, checker, history) -> None:
        """If the promise is broken, the checker and ``check_all`` return the violation."""
        violations = checker(history)
        assert violations
        assert set(violations) <= set(check_all(history))

    def test_every_checker_has_histories(self) -> None:
        """Every checker is tested with good and bad histories."""
        assert set(CHECKERS) == set(GOOD) == set(BAD)


class TestRecorder:
    def test_upstream_events(self) -> None:
        """Events of stand-ins get Unix times; unknown kinds are left out."""
        recorder = Recorder()
        rows = [
            ("order", 1.0, "x"),
            ("decode_started", 2.0, "stalled"),
            ("fault", 3.0, "{'die': True}"),
            ("fault", 4.0, "{'leaving': True}"),
        ]
        events = [
            {"kind": kind, "attempt": ATTEMPT, "at_s": at_s, "tokens": 0, "detail": detail}
            for kind, at_s, detail in rows
        ]
        recorder.add_upstream_history("d1", {"started_at_unix_s": 100.0, "events": events})
        call = recorder.start_call(CALL)
        assert recorder.open_calls == 1
        recorder.update_call(call, end=CallEnd.CALLER_LEFT, completed_at_s=103.0)
        history = recorder.build_history()
        assert [(event.kind, event.at_s) for event in history.upstream_events] == [
            (UpstreamEventKind.DECODE_STARTED, 102.0),
            (UpstreamEventKind.LOST, 103.0),
        ]
        assert (recorder.open_calls, history.calls[0].end) == (0, CallEnd.CALLER_LEFT)
        assert all(isinstance(violation, Violation) for violation in check_all(history))

    @pytest.mark.parametrize(("callers", "expected"), [(1, "e1-1"), (2, "")])
    def test_request_is_taken_from_the_prefill(self, callers, expected) -> None:
        """A call without a request id gets that of its prefill, if no other call has its prompt."""
        recorder = Recorder()
        for _ in range(callers):
            recorder.start_call(CALL._replace(request="", prompt=PROMPT, end=CallEnd.CALLER_LEFT))
        prefill = {"kind": "prefill_started", "attempt": ATTEMPT, "at_s": 0.0, "tokens": 4}
        events = [prefill | {"detail": prompt_digest(PROMPT)}]
        recorder.add_upstream_history("p1", {"started_at_unix_s": 100.0, "events": events})
        assert [call.request for call in recorder.build_history().calls] == [expected] * callers
