"""Each checker rejects bad histories and accepts good ones."""

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
OWN = expected_tokens(PROMPT, 6)
RESUMED = (*OWN[:3], *output_tokens(prompt_digest(PROMPT + "".join(OWN[:3])), 3, 6))
ATTEMPT = AttemptId("e1-1", 1)
AGAIN = AttemptId("e1-1", 2)
CALL = Call("lector", 10.0, "entry-1", request="e1-1", completed_at_s=20.0)
SHUTDOWN = Shutdown("entry-1", 15.0, 25.0, 0, is_entry=True)


def model(tokens, end=CallEnd.WHOLE, **fields):
    call = CALL._replace(prompt=PROMPT, max_tokens=6, end=end, text="".join(tokens))
    return History((call._replace(**fields),))


def keyed(*ends, targets=("lector", "lector")):
    calls = (
        CALL._replace(key="k", end=end, target=one) for end, one in zip(ends, targets, strict=True)
    )
    return History(tuple(calls))


def told(outcome, *work):
    return History((CALL._replace(end=CallEnd.ERROR, outcome=outcome),), work)


def reservation(*work, **fields):
    return History((CALL._replace(idempotent=False, **fields),), work)


def started(kind=UpstreamEventKind.CALL_STARTED, at_s=11.0, attempt=ATTEMPT, key="", upstream="d1"):
    return UpstreamEvent(upstream, kind, at_s, attempt, key)


def decode(ended_at_s, kind=UpstreamEventKind.CANCELLED, **fields):
    return started(UpstreamEventKind.DECODE_STARTED, **fields), started(kind, ended_at_s)


def departed(*work, end=CallEnd.CALLER_LEFT, **fields):
    return History((CALL._replace(end=end),), work, **fields)


def service(**answer):
    text = json.dumps({"path": "/a", "body_digest": "x", "key": "k"} | answer)
    call = CALL._replace(end=CallEnd.WHOLE, path="/a", body_digest="x", key="k", text=text)
    return History((call,))


def stopped(end, outcome=None, shutdown=SHUTDOWN, **fields):
    call = CALL._replace(end=end, outcome=outcome, **fields)
    return History((call,), shutdowns=(shutdown,))


def seen(*samples, accepted=()):
    rows = (RevisionSample("d1", run, revision, at_s) for run, revision, at_s in samples)
    return History(
        revision_samples=tuple(rows),
        accepted_changes=tuple(AcceptedChange(*one) for one in accepted),
    )


LOST = UpstreamEvent("d1", UpstreamEventKind.LOST, 21.0)
PREFILL = started(UpstreamEventKind.PREFILL_STARTED)
GOOD = {
    check_one_answer: [
        keyed(CallEnd.WHOLE, CallEnd.ERROR),
        keyed(CallEnd.WHOLE, CallEnd.BROKEN),
        keyed(CallEnd.WHOLE, CallEnd.WHOLE, targets=("lector", "casewriter")),
    ],
    check_whole_answer: [
        model(OWN),
        model(RESUMED),
        model(OWN[:4], CallEnd.BROKEN),
        model(RESUMED[:5], CallEnd.CALLER_LEFT),
        model((), CallEnd.ERROR),
        service(),
    ],
    check_not_run: [
        told(Outcome.NOT_RUN),
        told(Outcome.NOT_RUN, started(attempt=AttemptId("e1-2", 1))),
        told(Outcome.UNKNOWN, started()),
    ],
    check_run_once: [
        reservation(started(key="k"), key="k"),
        reservation(started(), started(UpstreamEventKind.CALL_ENDED)),
        History((CALL,), (started(), started(attempt=AGAIN))),
    ],
    check_refusals_are_typed: [
        told(Outcome.UNKNOWN),
        model(OWN, outcome=Outcome.ANSWERED),
        model((), CallEnd.BROKEN),
    ],
    check_memory_released: [
        departed(*decode(21.9)),
        departed(*decode(30.0), end=CallEnd.WHOLE),
        departed(started(UpstreamEventKind.DECODE_STARTED), LOST),
        departed(*decode(26.5), sidecar_outages=(SidecarOutage("d1", 19.0, 25.0),)),
        departed(PREFILL, started(UpstreamEventKind.PREFILL_ENDED, 12.0)),
    ],
    check_nothing_held: [History(engine_holdings=(EngineHoldings("d1", ()),))],
    check_leaving: [
        History(upstream_events=(started(at_s=12.9),), leaving=(LeavingStarted("d1", 10.0),)),
        History(
            upstream_events=(started(at_s=99.0, upstream="d2"),),
            leaving=(LeavingStarted("d1", 10.0),),
        ),
        History(upstream_events=decode(99.0), leaving=(LeavingStarted("d1", 10.0),)),
    ],
    check_shutdown: [
        stopped(CallEnd.WHOLE),
        stopped(CallEnd.CALLER_LEFT),
        stopped(CallEnd.ERROR, Outcome.NOT_RUN, invoked_at_s=16.0),
        stopped(CallEnd.ERROR, Outcome.NOT_RUN, invoked_at_s=14.9),
        stopped(CallEnd.BROKEN, entry="entry-2"),
        stopped(CallEnd.BROKEN, completed_at_s=14.0),
    ],
    check_in_force: [
        seen(("i1", 4, 0.0), ("i1", 4, 12.9), ("i1", 5, 13.0), accepted=[(5, 10.0)]),
        seen(("i1", 0, 12.0), ("i1", 5, 14.9), accepted=[(5, 10.0)]),
    ],
    check_monotonic: [
        seen(("i1", 4, 0.0), ("i1", 4, 1.0), ("i1", 5, 2.0)),
        seen(("i1", 4, 0.0), ("i2", 0, 1.0), ("i2", 4, 2.0)),
    ],
}
BAD = {
    check_one_answer: [keyed(CallEnd.WHOLE, CallEnd.WHOLE)],
    check_whole_answer: [
        model(OWN[:5]),
        model((*OWN, OWN[5])),
        model((*OWN[:3], *OWN[4:], OWN[5])),
        model((*OWN[:3], OWN[2], *OWN[3:5])),
        model((*OWN[:2], OWN[3], OWN[2], *OWN[4:])),
        model(expected_tokens("another's", 6)),
        model((*OWN[:2], OWN[3]), CallEnd.BROKEN),
        service(path="/b"),
        service(body_digest="y"),
        service(key="j"),
        model((), prompt=None, path="/a"),
    ],
    check_not_run: [
        told(Outcome.NOT_RUN, started()),
        told(Outcome.NOT_RUN, started(UpstreamEventKind.PREFILL_STARTED, attempt=AGAIN)),
        told(Outcome.NOT_RUN, started(UpstreamEventKind.DECODE_STARTED, 99.0)),
    ],
    check_run_once: [
        reservation(started(), started(attempt=AGAIN, upstream="d2")),
        reservation(
            started(key="k"), started(key="k", attempt=AttemptId("e2-1", 1)), key="k", request=""
        ),
    ],
    check_refusals_are_typed: [
        told(None),
        told(Outcome.ANSWERED),
        model(OWN, outcome=Outcome.NOT_RUN),
    ],
    check_memory_released: [
        departed(*decode(22.1)),
        departed(*decode(22.1), end=CallEnd.BROKEN),
        departed(started(UpstreamEventKind.DECODE_STARTED)),
        departed(PREFILL),
        departed(*decode(30.0, at_s=23.0)),
        departed(*decode(27.1), sidecar_outages=(SidecarOutage("d1", 19.0, 25.0),)),
        departed(*decode(22.1), sidecar_outages=(SidecarOutage("d2", 19.0, 25.0),)),
        departed(started(UpstreamEventKind.DECODE_STARTED), LOST._replace(upstream="d2")),
    ],
    check_nothing_held: [History(engine_holdings=(EngineHoldings("d1", (ATTEMPT,)),))],
    check_leaving: [
        History(upstream_events=(started(kind, 13.1),), leaving=(LeavingStarted("d1", 10.0),))
        for kind in (
            UpstreamEventKind.PREFILL_STARTED,
            UpstreamEventKind.DECODE_STARTED,
            UpstreamEventKind.CALL_STARTED,
        )
    ],
    check_shutdown: [
        stopped(CallEnd.BROKEN),
        stopped(CallEnd.ERROR, Outcome.UNKNOWN),
        stopped(CallEnd.ERROR, Outcome.NOT_RUN),
        stopped(CallEnd.NOT_SENT),
        stopped(None, completed_at_s=None),
        stopped(CallEnd.BROKEN, invoked_at_s=16.0),
        stopped(CallEnd.BROKEN, entry="entry-2", shutdown=SHUTDOWN._replace(is_entry=False)),
        History(shutdowns=(SHUTDOWN._replace(ended_at_s=None, exit_code=None),)),
        History(shutdowns=(SHUTDOWN._replace(exit_code=-15),)),
    ],
    check_in_force: [
        seen(("i1", 4, 0.0), ("i1", 4, 13.1), accepted=[(5, 10.0)]),
        seen(("i1", 0, 12.0), ("i1", 0, 15.1), accepted=[(5, 10.0)]),
    ],
    check_monotonic: [
        seen(("i1", 5, 0.0), ("i1", 4, 1.0)),
        seen(("i1", 5, 0.0), ("i1", 0, 1.0)),
        seen(("i1", 5, 0.0), ("i2", 4, 1.0)),
        seen(("i1", 5, 0.0), ("i2", 0, 1.0), ("i2", 5, 2.0), ("i2", 4, 3.0)),
    ],
}


def cases(histories):
    return [
        pytest.param(checker, history, id=f"{checker.__name__}-{number}")
        for checker, given in histories.items()
        for number, history in enumerate(given)
    ]


class TestCheckers:
    @pytest.mark.parametrize(("checker", "history"), cases(GOOD))
    def test_good_history_is_accepted(self, checker, history) -> None:
        """A history in which the promise holds has no violation."""
        assert checker(history) == ()

    @pytest.mark.parametrize(("checker", "history"), cases(BAD))
    def test_bad_history_is_rejected(self, checker, history) -> None:
        """A history in which the promise is broken has a violation, in the whole check too."""
        found = checker(history)
        assert found
        assert set(found) <= set(check_all(history))

    def test_every_checker_has_histories(self) -> None:
        """No checker goes without good and bad histories."""
        assert set(CHECKERS) == set(GOOD) == set(BAD)


class TestRecorder:
    def test_events_of_a_stand_in(self) -> None:
        """Events of stand-ins are placed in common time; unknown kinds are left out."""
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
        assert [(work.kind, work.at_s) for work in history.upstream_events] == [
            (UpstreamEventKind.DECODE_STARTED, 102.0),
            (UpstreamEventKind.LOST, 103.0),
        ]
        assert (recorder.open_calls, history.calls[0].end) == (0, CallEnd.CALLER_LEFT)
        assert all(isinstance(one, Violation) for one in check_all(history))

    @pytest.mark.parametrize(("callers", "found"), [(1, "e1-1"), (2, "")])
    def test_departed_call_is_named(self, callers, found) -> None:
        """A call without a name gets that of its prompt's prefill, if the prompt is its alone."""
        recorder = Recorder()
        for _ in range(callers):
            recorder.start_call(CALL._replace(request="", prompt=PROMPT, end=CallEnd.CALLER_LEFT))
        prefill = {"kind": "prefill_started", "attempt": ATTEMPT, "at_s": 0.0, "tokens": 4}
        events = [prefill | {"detail": prompt_digest(PROMPT)}]
        recorder.add_upstream_history("p1", {"started_at_unix_s": 100.0, "events": events})
        assert [call.request for call in recorder.build_history().calls] == [found] * callers
