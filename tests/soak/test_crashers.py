"""The checks of content that ends upstreams find what they are for, and excuse faults."""

from chivehold.core.identity import RequestId
from chivehold.history.events import Call, CallEnd
from tests.soak.crashers import (
    CONTACT_S,
    CRASHING_BODY,
    MIN_SOUND,
    CrashOfUpstream,
    CrashRecord,
    check_crashers,
)
from tests.soak.plan import FaultKind
from tests.soak.upstreams import Arrival
from tests.soak.world import FaultPeriod

CRASHES = tuple(CrashOfUpstream(10.0 + number, "model") for number in range(5))
LATE_S = CRASHES[-1].at_s + CONTACT_S + 1.0


def call(request: str, path: str, at_s: float, end: CallEnd = CallEnd.WHOLE) -> Call:
    return Call(
        target="model",
        invoked_at_s=at_s,
        entry="entry-1",
        idempotent=False,
        request=RequestId(request),
        prompt=path,
        path=path,
        end=end,
    )


def crashing(count: int) -> CrashRecord:
    """Return a record with late arrivals of crashing prompts."""
    calls = tuple(call(f"r{n}", f"{CRASHING_BODY} {n}", LATE_S) for n in range(count))
    arrivals = tuple(Arrival(LATE_S, "model", f"r{n}", False, "d#1") for n in range(count))
    return CrashRecord(CRASHES, calls, arrivals, ())


class TestCheckCrashers:
    def test_few_late_arrivals_are_allowed(self) -> None:
        assert list(check_crashers(crashing(3))) == []

    def test_many_late_arrivals(self) -> None:
        (violation,) = check_crashers(crashing(4))
        assert violation.promise == "crashing_content"

    def test_entry_with_a_fault_is_excused(self) -> None:
        period = FaultPeriod("entry-1", FaultKind.PAUSE, LATE_S - 2.0, LATE_S - 1.0)
        assert list(check_crashers(crashing(4)._replace(fault_periods=(period,)))) == []

    def test_sound_neighbours_that_are_not_served(self) -> None:
        calls = tuple(
            call(f"s{n}", f"prompt {n}", LATE_S + CONTACT_S, CallEnd.ERROR)
            for n in range(MIN_SOUND)
        )
        record = CrashRecord(CRASHES, calls, (), ())
        (violation,) = check_crashers(record)
        assert violation.promise == "sound_neighbours"
