import pytest

from chivehold.core.identity import AttemptId, RequestId
from chivehold.fakes.engine_model import (
    DecodeDone,
    DecodeJob,
    EngineCost,
    EngineModel,
    FirstToken,
    KvExpired,
    PrefillDone,
    PrefillJob,
)

COST = EngineCost(places=2, prefill_tokens_per_s=1_000.0, prefill_overhead_s=0.0)


def attempt(number: int) -> AttemptId:
    return AttemptId(RequestId("r"), number)


def run_until_idle(model: EngineModel) -> list[tuple[float, object]]:
    outputs = []
    while (due := model.next_event_at()) is not None:
        outputs += [(round(due, 6), output) for output in model.advance(due)]
    return outputs


class TestPrefill:
    def test_reuses_a_cached_prefix(self) -> None:
        """A second prompt with the same blocks costs only its last token."""
        model = EngineModel(COST)
        for number in (1, 2):
            model.submit_prefill(PrefillJob(attempt(number), 128, (7, 8), True), 0.0)
        done = [output for _, output in run_until_idle(model)]
        assert [output.reused_tokens for output in done if isinstance(output, PrefillDone)] == [
            0,
            127,
        ]

    def test_urgent_runs_before_patient(self) -> None:
        """Queued prompts run by urgency, then in order of arrival."""
        model = EngineModel(COST)
        for number, urgent in ((1, False), (2, False), (3, True)):
            model.submit_prefill(PrefillJob(attempt(number), 100, (), urgent), 0.0)
        assert [output.attempt.number for _, output in run_until_idle(model)] == [1, 3, 2]

    def test_urgent_interrupts_a_long_patient_prompt(self) -> None:
        """An urgent prompt runs between two chunks of a patient one."""
        model = EngineModel(COST)
        model.submit_prefill(PrefillJob(attempt(1), 10 * 2_048, (), False), 0.0)
        model.submit_prefill(PrefillJob(attempt(2), 100, (), True), 0.5)
        outputs = [(at, output.attempt.number) for at, output in run_until_idle(model)]
        assert outputs == [(pytest.approx(2.148), 2), (pytest.approx(20.58), 1)]


class TestDecode:
    def test_streams_share_one_token_interval(self) -> None:
        """Two streams of ten tokens end together and later than a single one would."""
        model = EngineModel(COST)
        for number in (1, 2):
            assert model.submit_decode(DecodeJob(attempt(number), 0, 9.0, 10), 0.0)
        ended = [at for at, output in run_until_idle(model) if isinstance(output, DecodeDone)]
        assert ended == [pytest.approx(10 * (0.008 + 2 * 0.0006))] * 2

    def test_imports_are_limited_by_places(self) -> None:
        """A third import is refused while both places are occupied, and accepted after a cancel."""
        model = EngineModel(COST)
        jobs = [DecodeJob(attempt(number), 0, 9.0, 10) for number in (1, 2, 3)]
        assert [model.submit_decode(job, 0.0) for job in jobs] == [True, True, False]
        assert model.cancel(attempt(1), 0.0)
        assert model.submit_decode(jobs[2], 0.0)

    def test_late_import_expires(self) -> None:
        """A KV cache that expires before its transfer begins is lost and its place is released."""
        model = EngineModel(COST)
        model.submit_decode(DecodeJob(attempt(1), 1, 0.5, 10), 0.6)
        assert run_until_idle(model) == [(0.6, KvExpired(attempt(1)))]
        assert not model.held

    def test_transfers_share_the_link(self) -> None:
        """Two equal transfers each take twice as long as a single one."""
        model = EngineModel(COST)
        for number in (1, 2):
            size = int(COST.link_bytes_per_s)
            model.submit_decode(DecodeJob(attempt(number), size, 0.5, 1), 0.0)
        first = [at for at, output in run_until_idle(model) if isinstance(output, FirstToken)]
        assert first == [pytest.approx(2.0 + 0.0092)] * 2

    def test_stalled_import_holds_its_place(self) -> None:
        """A stalled transfer never ends by itself and keeps its place."""
        model = EngineModel(COST)
        model.submit_decode(DecodeJob(attempt(1), 1, 0.5, 10, stalls=True), 0.0)
        assert model.next_event_at() is None
        assert model.held == {attempt(1)}

    def test_slow_engine_takes_longer(self) -> None:
        """At a tenth of its speed an engine takes ten times as long for the remaining tokens."""
        model = EngineModel(COST)
        model.submit_decode(DecodeJob(attempt(1), 0, 9.0, 11), 0.0)
        list(model.advance(0.0086))
        model.set_speed(0.1, 0.0086)
        assert model.produced_tokens(attempt(1), 0.0086) == 1
        (ended,) = [
            at for at, output in run_until_idle(model) if not isinstance(output, FirstToken)
        ]
        assert ended == pytest.approx(0.0086 + 10 * 0.086)
