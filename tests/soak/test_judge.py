"""The judge must reject what breaks a promise, and accept what a trouble allows."""

import pytest

from chivehold.core.identity import AttemptId, Outcome, RequestId, UpstreamName
from chivehold.fakes.output import expected_tokens, prompt_digest
from chivehold.history.events import (
    AcceptedChange,
    Call,
    CallEnd,
    History,
    LeavingStarted,
    RevisionSample,
    Shutdown,
    UpstreamEvent,
    UpstreamEventKind,
    Violation,
)
from tests.soak.judge import Lag, Record, judge
from tests.soak.plan import FaultKind
from tests.soak.upstreams import Arrival
from tests.soak.world import STORE, Trouble

PROMPT = "prompt"
WHOLE = "".join(expected_tokens(PROMPT, 3))


def stream(**fields: object) -> Call:
    call = Call(
        target="model",
        invoked_at_s=10.0,
        entry="entry-1",
        request=RequestId("r1"),
        prompt=PROMPT,
        max_tokens=3,
        path=PROMPT,
        body_digest=prompt_digest(PROMPT),
        end=CallEnd.WHOLE,
        outcome=Outcome.ANSWERED,
        text=WHOLE,
        completed_at_s=11.0,
    )
    return call._replace(**fields)  # type: ignore[arg-type]


def plain(**fields: object) -> Call:
    call = Call(
        target="plain",
        invoked_at_s=10.0,
        entry="entry-1",
        idempotent=False,
        request=RequestId("r1"),
        path=PROMPT,
        end=CallEnd.ERROR,
        outcome=Outcome.UNKNOWN,
        completed_at_s=10.1,
    )
    return call._replace(**fields)  # type: ignore[arg-type]


def work(
    kind: UpstreamEventKind, at_s: float, upstream: str = "decode-1#1", number: int = 1
) -> UpstreamEvent:
    return UpstreamEvent(UpstreamName(upstream), kind, at_s, AttemptId(RequestId("r1"), number))


def found(
    history: History,
    *troubles: Trouble,
    arrivals: tuple[Arrival, ...] = (),
    earlier: tuple[Violation, ...] = (),
    lags: tuple[Lag, ...] = (),
) -> set[str]:
    record = Record(history, arrivals, troubles, lags, earlier)
    return {violation.promise for violation in judge(record)}


STREAM_RUNS = (
    work(UpstreamEventKind.DECODE_STARTED, 10.1),
    work(UpstreamEventKind.DECODE_ENDED, 11.0),
)
TWO_RUN = (
    work(UpstreamEventKind.DECODE_STARTED, 10.1),
    work(UpstreamEventKind.DECODE_STARTED, 10.3, "decode-2#1", 2),
    work(UpstreamEventKind.CANCELLED, 10.9),
    work(UpstreamEventKind.DECODE_ENDED, 11.0, "decode-2#1", 2),
)
LEFT = History(
    calls=(stream(end=CallEnd.CALLER_LEFT, text="", outcome=None),),
    upstream_events=(
        work(UpstreamEventKind.DECODE_STARTED, 10.1),
        work(UpstreamEventKind.DECODE_ENDED, 14.0),
    ),
)
LEAVING = History(
    calls=(stream(),),
    upstream_events=(
        work(UpstreamEventKind.DECODE_STARTED, 10.0),
        work(UpstreamEventKind.DECODE_ENDED, 10.1),
    ),
    leaving=(LeavingStarted(UpstreamName("decode-1#1"), 6.0),),
)
STALE = History(
    accepted_changes=(AcceptedChange(2, 6.0),),
    revision_samples=(
        RevisionSample("entry-1", "a", 1, 1.0),
        RevisionSample("entry-1", "a", 1, 10.0),
    ),
)
CUT = History(
    calls=(plain(end=CallEnd.BROKEN, outcome=None),),
    upstream_events=(work(UpstreamEventKind.CALL_STARTED, 10.05, "plain-1#1"),),
    shutdowns=(Shutdown("entry-1", 10.06, 13.0, 0, is_entry=True),),
)
LATE = History(calls=(stream(completed_at_s=17.0, end=CallEnd.ERROR, outcome=Outcome.UNKNOWN),))


class TestAlways:
    def test_a_calm_run_holds(self) -> None:
        assert not found(History(calls=(stream(),), upstream_events=STREAM_RUNS))

    @pytest.mark.parametrize(
        ("history", "promise"),
        [
            (History(calls=(stream(text=WHOLE[:9]),)), "whole_answer"),
            (
                History(
                    calls=(plain(outcome=Outcome.NOT_RUN),),
                    upstream_events=(work(UpstreamEventKind.CALL_STARTED, 12.0, "plain-1#1"),),
                ),
                "not_run",
            ),
            (
                History(
                    calls=(plain(),),
                    upstream_events=(
                        work(UpstreamEventKind.CALL_STARTED, 10.0, "plain-1#1"),
                        work(UpstreamEventKind.CALL_STARTED, 10.1, "plain-2#1", 2),
                    ),
                ),
                "run_once",
            ),
            (
                History(
                    revision_samples=(
                        RevisionSample("entry-1", "a", 2, 10.0),
                        RevisionSample("entry-1", "a", 1, 10.2),
                    )
                ),
                "monotonic",
            ),
        ],
    )
    def test_no_trouble_excuses(self, history: History, promise: str) -> None:
        everything = ("entry-1", STORE, "plain-1", "decode-1")
        troubles = [Trouble(one, FaultKind.PAUSE, 0.0, 99.0) for one in everything]
        assert promise in found(history, *troubles)

    def test_what_was_seen_on_the_way(self) -> None:
        assert found(History(), earlier=(Violation("own_kv_cache", "d", ""),)) == {"own_kv_cache"}

    def test_reading_a_prompt_runs_nothing(self) -> None:
        call = stream(end=CallEnd.ERROR, outcome=Outcome.NOT_RUN, text="", idempotent=False)
        reads = (
            work(UpstreamEventKind.PREFILL_STARTED, 10.1, "prefill-1#1"),
            work(UpstreamEventKind.PREFILL_ENDED, 10.2, "prefill-1#1"),
        )
        assert not found(History(calls=(call,), upstream_events=reads))


class TestBounded:
    """Each is a violation in calm times, and none beside the trouble that allows it."""

    @pytest.mark.parametrize(
        ("history", "promise", "subject", "kind"),
        [
            (LEFT, "memory_released", "entry-1", FaultKind.PAUSE),
            (LEFT, "memory_released", "decode-1", FaultKind.UPSTREAM_SILENT),
            (LEAVING, "leaving", "entry-1", FaultKind.STORE_LINK_SILENT),
            (STALE, "in_force", STORE, FaultKind.STORE_OUT),
            (CUT, "shutdown", "plain-1", FaultKind.CRASH),
            (LATE, "final_answer", "entry-1", FaultKind.PAUSE),
            (
                History(calls=(stream(),), upstream_events=TWO_RUN),
                "one_engine",
                "decode-1",
                FaultKind.UPSTREAM_SLOW,
            ),
        ],
    )
    def test_only_its_own_trouble_excuses(
        self, history: History, promise: str, subject: str, kind: FaultKind
    ) -> None:
        assert promise in found(history)
        assert promise in found(history, Trouble("entry-9", FaultKind.HANGUP, 0.0, 1.0))
        assert promise not in found(history, Trouble(subject, kind, 9.9, 11.0))

    def test_a_shutdown_may_end_what_still_runs_in_its_last_sixth(self) -> None:
        late = stream(
            invoked_at_s=12.0, end=CallEnd.BROKEN, outcome=None, completed_at_s=16.8, text=WHOLE[:9]
        )
        history = CUT._replace(
            calls=(late,),
            upstream_events=(
                work(UpstreamEventKind.DECODE_STARTED, 12.1),
                work(UpstreamEventKind.CANCELLED, 16.8),
            ),
        )
        assert not found(history)
        early = late._replace(completed_at_s=16.6)
        assert found(history._replace(calls=(early,))) == {"shutdown"}

    def test_a_shutdown_has_to_end(self) -> None:
        """Unless something kept the process from ending, or ended it."""
        stuck = History(shutdowns=(Shutdown("entry-1", 10.0, None, None, is_entry=True),))
        assert found(stuck) == {"shutdown"}
        assert found(stuck, Trouble(STORE, FaultKind.STORE_OUT, 9.0, 20.0)) == {"shutdown"}
        assert not found(stuck, Trouble("entry-1", FaultKind.PAUSE, 11.0, 12.0))

    def test_a_killed_entry_excuses_no_work_for_the_departed(self) -> None:
        """The kernel closes the connections of a dead process."""
        assert "memory_released" in found(LEFT, Trouble("entry-1", FaultKind.KILL, 9.9, 11.0))

    def test_own_lag_is_taken_off(self) -> None:
        """An answer is not late by what the judge itself was late when it saw it."""
        late = History(calls=(stream(completed_at_s=16.7),))
        assert found(late) == {"final_answer"}
        assert not found(late, lags=(Lag(16.68, 0.3),))
        assert found(late, lags=(Lag(16.68, 0.1),)) == {"final_answer"}
        assert found(late, lags=(Lag(9.0, 0.3),)) == {"final_answer"}

    def test_work_for_the_departed_is_rare(self) -> None:
        """Some of it may go on for longer than half a second, most may not."""

        def run(late: int) -> History:
            calls, done = [], []
            for number in range(12):
                request = RequestId(f"r{number}")
                calls.append(
                    stream(request=request, end=CallEnd.CALLER_LEFT, text="", outcome=None)
                )
                attempt = AttemptId(request, 1)
                ended_at_s = 11.8 if number < late else 11.2
                for kind, at_s in (
                    (UpstreamEventKind.DECODE_STARTED, 10.1),
                    (UpstreamEventKind.CANCELLED, ended_at_s),
                ):
                    done.append(UpstreamEvent(UpstreamName("decode-1#1"), kind, at_s, attempt))
            return History(calls=tuple(calls), upstream_events=tuple(done))

        assert not found(run(3))
        assert found(run(4)) == {"gone"}

    def test_retry_budget(self) -> None:
        calls = tuple(plain(request=RequestId(f"r{number}")) for number in range(10))
        repeated = [Arrival(10.5, "plain", f"r{number % 10}", False) for number in range(15)]
        assert not found(History(calls=calls), arrivals=tuple(repeated))
        repeated.append(Arrival(10.6, "plain", "r1", False))
        assert found(History(calls=calls), arrivals=tuple(repeated)) == {"retry_budget"}
