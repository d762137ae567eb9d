"""An explanation says what the next choice does, and changes nothing."""

from copy import deepcopy
from random import Random

import pytest

from chivehold.core.direct.explanation import (
    Candidate,
    ServiceNeeds,
    explain_candidates,
    queue_position,
)
from chivehold.core.direct.fleet import Fleet, Verdict
from chivehold.core.direct.messages import Stage, UpstreamSignals
from chivehold.core.direct.upstream_admission import UpstreamAdmission
from chivehold.core.direct.upstream_limits import UpstreamLimits
from chivehold.core.direct.waiting import Waiter, WaitQueue
from tests.core.direct.factories import Members, fleet, upstream

PLAIN = ServiceNeeds("s")
DECODE = ServiceNeeds("s", Stage.DECODE, 500)


def reasons(candidates: tuple[Candidate, ...]) -> dict[str, str]:
    return {candidate.upstream.name: candidate.excluded for candidate in candidates}


def order(candidates: tuple[Candidate, ...]) -> list[str]:
    return [candidate.upstream.name for candidate in candidates if candidate.rank]


def state(value: object) -> object:
    """Return all that is reachable through attributes and containers, to compare."""
    if isinstance(value, Random):
        return value.getstate()
    if isinstance(value, dict):
        return {repr(key): state(item) for key, item in value.items()}
    if isinstance(value, list | tuple) or hasattr(value, "popleft"):
        return [state(item) for item in value]  # type: ignore[union-attr]
    if type(value).__module__.startswith("chivehold") and hasattr(value, "__dict__"):
        return state(vars(value))
    return repr(value)


class TestCandidates:
    @pytest.mark.parametrize("seed", range(20))
    def test_order_is_that_of_the_next_choice(self, seed: int) -> None:
        """Guards against an explanation that tells of another upstream than gets the request."""
        known = fleet(seed)
        known.replace(upstream(name) for name in "abcdef")
        explained = order(explain_candidates(known, PLAIN, 10.0))
        assert explained == [item.name for item in known.ranked("s", Stage.NONE, 10.0)]

    @pytest.mark.parametrize("seed", range(20))
    def test_order_of_decode_engines(self, seed: int) -> None:
        """Guards against an explanation that leaves out the memory in use."""
        known = fleet(seed)
        known.replace(upstream(name, Stage.DECODE) for name in "abcdef")
        known.record_start(known.upstreams[seed % 6], 2_000)
        known.record_full(known.upstreams[(seed + 1) % 6], 400, 9.9)
        explained = order(explain_candidates(known, DECODE, 10.0))
        ranked = known.decode_engines_by_load("s", 500, 10.0)
        assert explained == [item.name for item in ranked]

    def test_reasons(self) -> None:
        """Guards against an upstream that is left out without a reason."""
        known = fleet()
        names = ("fine", "leaving", "gone", "paused", "limited", "suspended")
        known.replace(
            [
                *(upstream(name) for name in names),
                upstream("engine", Stage.DECODE),
                upstream("drained", draining=True),
                upstream("other", service="t"),
            ]
        )
        by_name = {item.name: item for item in known.upstreams}
        known.record_signals(by_name["leaving"], UpstreamSignals(leaving=True), 9.0, 9.5)
        known.record_signals(by_name["paused"], UpstreamSignals(pause_s=4.0), 9.0, 9.5)
        known.record_signals(by_name["limited"], UpstreamSignals(max_rate=0.01), 9.0, 9.9)
        for name, verdict in (("gone", Verdict.GONE), ("suspended", Verdict.FAILED)):
            for _ in range(2):
                known.record_start(by_name[name])
                known.record_end(by_name[name], verdict, 9.8)
        explained = reasons(explain_candidates(known, PLAIN, 10.0))
        assert "other" not in explained
        assert explained.pop("fine") == ""
        for name, part in (
            ("leaving", "leaves"),
            ("drained", "leaves"),
            ("gone", "address"),
            ("paused", "no requests for"),
            ("limited", "limit"),
            ("suspended", "suspended"),
            ("engine", "stage"),
        ):
            assert part in explained[name], (name, explained[name])

    def test_software(self) -> None:
        """Guards against streams explained at a version that they cannot go on at."""
        known = fleet()
        known.replace(upstream(name, Stage.DECODE, software=name) for name in ("v1", "v2"))
        needs = DECODE._replace(software="v2")
        assert reasons(explain_candidates(known, needs, 10.0)) == {
            "v1": "it has another version of the software",
            "v2": "",
        }

    def test_version_that_not_all_entries_know(self) -> None:
        """Guards against an engine of a new version that is left out without a reason."""
        rng, members = Random(1), Members(frozenset(("e0",)))
        admission = UpstreamAdmission(UpstreamLimits("e0", lambda: members, rng), rng)
        known = Fleet("a", rng, admission, lambda item: item.software == "v1")
        known.replace(upstream(name, Stage.DECODE, software=name) for name in ("v1", "v2"))
        assert "version" in reasons(explain_candidates(known, DECODE, 10.0))["v2"]

    @pytest.mark.parametrize("needs", [PLAIN, DECODE, ServiceNeeds("none")])
    def test_nothing_changes(self, needs: ServiceNeeds) -> None:
        """Guards against random numbers drawn, permits refilled and statistics created."""
        known = fleet()
        known.replace(upstream(name, needs.stage) for name in "abc")
        for max_rate in (0.01, 5.0):
            limited = known.upstreams[int(max_rate > 1)]
            known.record_signals(limited, UpstreamSignals(max_rate=max_rate), 9.0, 9.5)
        before = state(known)
        explain_candidates(known, needs, 10.0)
        assert state(known) == before

    def test_comparison_sees_each_kind_of_change(self) -> None:
        """Guards against a comparison of states that is always equal."""
        known = fleet()
        known.replace([upstream("a")])
        before, changed = state(known), deepcopy(known)
        assert state(changed) == before
        changed.ranked("s", Stage.NONE, 10.0)
        assert state(changed) != before


class TestQueue:
    def test_position(self) -> None:
        """Guards against a position that ignores the order of the queue, and a request added."""
        queue = WaitQueue()
        for name, on_time_until in (("soon", 11.0), ("late", 9.0), ("later", 13.0)):
            queue.add(Waiter(name, 100, 8.0, on_time_until, 20.0))
        positions = [
            queue_position(queue, Waiter("new", 100, 10.0, until, 20.0), 10.0)
            for until in (10.5, 12.0, 14.0, 9.5)
        ]
        assert positions == [1, 2, 3, 4]
        assert len(queue) == 3
