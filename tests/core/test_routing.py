from collections import Counter
from random import Random

import pytest

from chivehold.core.declared import TrafficClass
from chivehold.core.identity import UpstreamName, Urgency
from chivehold.core.policy import DecodeChoiceKind, Policy
from chivehold.core.protocols import Candidate, UpstreamSelector
from chivehold.core.routing import ShortestPrefillTime, decode_selector
from tests.core.entry_driver import REPORT

URGENT = TrafficClass("hook", Urgency.URGENT, 30.0)
FULL = {"places_free": 0, "wait_urgent_s": 0.5, "waiting_urgent": 2}


def candidate(name: str, zone: str = "sjo-a", outstanding: int = 0, **report: object) -> Candidate:
    return Candidate(
        UpstreamName(name), zone, REPORT._replace(**report), 0.1, outstanding, outstanding * 0.4
    )


def make_selector(kind: DecodeChoiceKind = DecodeChoiceKind.EXPECTED_WAIT) -> UpstreamSelector:
    return decode_selector(Policy(decode_choice=kind), "sjo-a", Random(3), URGENT)


def choice_counts(
    selector: UpstreamSelector, candidates: list[Candidate], count: int = 400
) -> Counter[str]:
    return Counter(str(selector.choose(candidates, (), 100)) for _ in range(count))


class TestDecodeChoice:
    @pytest.mark.parametrize("kind", list(DecodeChoiceKind))
    def test_no_candidates(self, kind: DecodeChoiceKind) -> None:
        """Every selector returns ``None`` without candidates."""
        assert make_selector(kind).choose([], (), 100) is None

    @pytest.mark.parametrize(
        ("kind", "share_of_idle"),
        [
            (DecodeChoiceKind.ROUND_ROBIN, 1 / 3),
            (DecodeChoiceKind.LEAST_REPORTED, 1.0),
            (DecodeChoiceKind.TWO_CHOICES, 2 / 3),
            (DecodeChoiceKind.EXPECTED_WAIT, 1.0),
        ],
    )
    def test_share_of_choices_for_the_idle_engine(
        self, kind: DecodeChoiceKind, share_of_idle: float
    ) -> None:
        """With one idle engine of three, each strategy chooses it with its expected share."""
        pool = [candidate("a", **FULL), candidate("b"), candidate("c", **FULL)]
        assert choice_counts(make_selector(kind), pool)["b"] / 400 == pytest.approx(
            share_of_idle, abs=0.06
        )


class TestShortestExpectedWait:
    @pytest.mark.parametrize(
        ("worse", "better"),
        [
            (candidate("w", **FULL), candidate("b", **(FULL | {"wait_urgent_s": 0.3}))),
            (candidate("w", outstanding=21), candidate("b")),
            (candidate("w", zone="sjo-b"), candidate("b")),
            (candidate("w", token_interval_s=0.09), candidate("b", zone="sjo-b", places_free=2)),
            (candidate("w", token_interval_s=0.026), candidate("b", token_interval_s=0.024)),
            (candidate("w", places_free=4), candidate("b", places_free=18)),
        ],
        ids=["longer wait", "own offers", "other zone", "slow", "misses target", "fuller"],
    )
    def test_prefers_the_better_upstream(self, worse: Candidate, better: Candidate) -> None:
        """The better upstream is chosen, except for rare probes of a slow one."""
        assert choice_counts(make_selector(), [worse, better, worse])["b"] >= 390

    def test_all_engines_slow(self) -> None:
        """If every engine misses the class's target, one of them is still chosen."""
        assert choice_counts(make_selector(), [candidate("a", token_interval_s=0.05)]) == {"a": 400}

    def test_ties_are_broken_at_random(self) -> None:
        """Entries with the same reports do not all choose the same upstream."""
        counts = choice_counts(make_selector(), [candidate(name) for name in "abcd"])
        assert min(counts.values()) > 60


class TestShortestPrefillTime:
    @pytest.mark.parametrize(
        ("backlog_s", "name"), [(0.0, "warm"), (0.10, "warm"), (0.15, "cold"), (2.0, "cold")]
    )
    def test_affinity_is_limited_to_the_time_saved(self, backlog_s: float, name: str) -> None:
        """A cached prefix of 1,280 tokens outweighs 0.128 s of backlog and no more."""
        selector = ShortestPrefillTime(
            Random(1), lambda upstream: set(range(20) if upstream == "warm" else ())
        )
        pool = [candidate("cold"), candidate("warm", prefill_backlog_s=backlog_s)]
        assert selector.choose(pool, tuple(range(40)), 2_560) == name

    def test_counts_own_pending_prefills(self) -> None:
        """A prompt sent since the last report counts as backlog."""
        selector = ShortestPrefillTime(Random(1), lambda upstream: ())
        assert selector.choose([candidate("a", outstanding=1), candidate("b")], (), 100) == "b"
