"""A short run of the demo, and its final checks."""

import subprocess
import sys
from pathlib import Path

import pytest

from chivehold.core.identity import AttemptId
from chivehold.fakes.history import HistoryEvent
from chivehold.fakes.output import expected_tokens, output_tokens, prompt_digest
from examples.demo.checks import Histories, violated_promises, wasted_prefill
from examples.demo.traffic import RequestKind, SentRequest, TryResult, is_expected_output

ROOT = Path(__file__).parents[1]
KIND = RequestKind("reservation", "", "/reservations", "POST", 1, (0, 0), (0, 0), 0, 0)
ANSWERED_REQUEST = SentRequest(KIND, "key", [TryResult("r", "answered", 0)], 1, "", 0.1, [])
EMPTY_HISTORY = Histories([], [], 0)


def _event(kind: str, request: str = "r", tokens: int = 0, detail: str = "key") -> HistoryEvent:
    attempt = AttemptId(request, 1)
    return HistoryEvent(kind=kind, attempt=attempt, at_s=0.0, tokens=tokens, detail=detail)


class TestDemo:
    def test_short_run_keeps_every_promise(self) -> None:
        """Every promise holds with an engine killed and two entries replaced at each site."""
        command = [sys.executable, "-m", "examples.demo", "--for-s", "6", "--rate", "0.5"]
        completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
        assert completed.returncode == 0, completed.stdout + completed.stderr
        assert completed.stdout.endswith("every promise held\n")
        for label in ("hook", "review", "check", "summary", "lookup", "reservation"):
            assert f"  {label}  " in completed.stdout


class TestChecks:
    @pytest.mark.parametrize(
        ("sent", "histories", "broken"),
        [
            (ANSWERED_REQUEST, Histories([], [_event("started")], 0), ""),
            (
                ANSWERED_REQUEST._replace(mismatch="others' tokens"),
                EMPTY_HISTORY,
                "answered with others' tokens",
            ),
            (ANSWERED_REQUEST._replace(complete_answers=2), EMPTY_HISTORY, "answered 2 times"),
            (ANSWERED_REQUEST, Histories([], [_event("started")] * 2, 0), "ran 2 times"),
            (ANSWERED_REQUEST, EMPTY_HISTORY._replace(held_at_end=1), "1 requests still held"),
            (
                ANSWERED_REQUEST._replace(tries=[TryResult("r", "not_run", 0)], complete_answers=0),
                Histories([_event("prefill_started")], [], 0),
                "was called not run, and ran",
            ),
        ],
    )
    def test_bad_histories_are_rejected(
        self, sent: SentRequest, histories: Histories, broken: str
    ) -> None:
        """Each broken promise is reported, and a valid history has none."""
        reported = "\n".join(violated_promises([sent], histories))
        assert broken in reported
        assert bool(broken) == bool(reported)

    def test_resumed_answer_is_accepted(self) -> None:
        """An answer may be resumed midway, but each token must be the expected one."""
        first = expected_tokens("prompt", 3)
        digest = prompt_digest("prompt" + "".join(first))
        tokens = [token.strip() for token in (*first, *output_tokens(digest, 3, 8))]
        assert is_expected_output("prompt", tokens)
        assert not is_expected_output("prompt", [*tokens[:5], *tokens[6:]])
        assert not is_expected_output("another", tokens)

    def test_wasted_prefill_counts_undelivered_tokens(self) -> None:
        """A prefill is wasted if it was repeated or its request was not answered."""
        events = [_event("prefill_ended", tokens=30), _event("prefill_ended", tokens=50)]
        events.append(_event("prefill_ended", "other", tokens=20))
        assert wasted_prefill([ANSWERED_REQUEST], Histories(events, [], 0)) == 0.5
