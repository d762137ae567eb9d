"""What must hold in a run, from what callers and upstreams saw.

The checkers of ``chivehold.history`` judge all of it. Promises that are bounded in time hold for
entries that are in touch with what they need, so that what happened in a trouble is left out of
these, and only of these.
"""

from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from chivehold.history.answers import (
    check_not_run,
    check_refusals_are_typed,
    check_run_once,
    check_whole_answer,
)
from chivehold.history.events import (
    Call,
    CallEnd,
    History,
    RevisionSample,
    Shutdown,
    UpstreamEvent,
    UpstreamEventKind,
    Violation,
)
from chivehold.history.nodes import check_in_force, check_monotonic, check_shutdown
from chivehold.history.upstreams import (
    MemoryHold,
    check_leaving,
    check_memory_released,
    memory_holds,
)
from tests.soak.entries import GRACE_S, RETRY_EXTRA, RETRY_SHARE, RETRY_WINDOW_S
from tests.soak.plan import FaultKind
from tests.soak.upstreams import Arrival
from tests.soak.world import PLAIN_TIMEOUT_MS, STORE, STREAM_TIMEOUT_MS, Trouble

CONTACT_S = 4.0
"""An entry is in touch again so long after the end of a trouble."""
FINAL_SLACK_S = 0.5
GONE_S = 0.5
GONE_SHARE = 0.25
GONE_LEAST = 3
LAG_POLL_S = 0.05
CROSSING_S = 0.5
"""An answer and what breaks it may cross within this time."""
LAST_SHARE = 1 / 6
"""Of the time to end: work that still goes on in it may be broken off."""
TWICE_RUNNING_S = 0.4
"""How long an engine may go on with a request that another has taken over."""

_HIDES_A_CLOSE = (
    FaultKind.PAUSE,
    FaultKind.CALLERS_SLOW,
    FaultKind.CALLERS_SILENT,
    FaultKind.UPSTREAM_SLOW,
    FaultKind.UPSTREAM_SILENT,
    FaultKind.UPSTREAM_DEAF,
)
_HINDERS_AN_END = (
    FaultKind.KILL,
    FaultKind.HERD_KILL,
    FaultKind.PAUSE,
    FaultKind.CALLERS_SLOW,
    FaultKind.CALLERS_SILENT,
)


class Lag(NamedTuple):
    """The judge's own process was late by so much; what it saw then is dated too late."""

    at_s: float
    late_s: float


class Record(NamedTuple):
    """All that was seen of a run."""

    history: History
    arrivals: tuple[Arrival, ...]
    troubles: tuple[Trouble, ...]
    lags: tuple[Lag, ...]
    found: tuple[Violation, ...]
    """Violations that were seen on the way."""


def judge(record: Record) -> tuple[Violation, ...]:
    """Return all violations of a run."""
    return (*record.found, *_always(record.history), *_bounded(record))


def _always(history: History) -> Iterator[Violation]:
    runs = _without_prefills(history)
    yield from check_whole_answer(history)
    yield from check_not_run(runs)
    yield from check_run_once(runs)
    yield from check_refusals_are_typed(history)
    yield from check_monotonic(history)


def _bounded(record: Record) -> Iterator[Violation]:
    history, troubles = record.history, record.troubles
    in_touch = tuple(seen for seen in history.revision_samples if not _is_troubled(seen, troubles))
    yield from check_in_force(history._replace(revision_samples=in_touch))
    visible = _with_visible_closes(history, troubles)
    yield from check_memory_released(visible)
    yield from check_gone(visible)
    yield from check_leaving(_with_known_leaving(history, troubles))
    yield from check_shutdown(_with_cut_calls(history, troubles))
    yield from check_final_answers(record)
    yield from check_one_engine(history, troubles)
    yield from check_budget(record.arrivals, history.calls)


def check_final_answers(record: Record) -> Iterator[Violation]:
    """Each request of an entry in touch has its final answer when its time is over."""
    for call in record.history.calls:
        until_s = call.invoked_at_s + _most_s(call) + FINAL_SLACK_S
        if call.completed_at_s is not None and call.completed_at_s <= until_s:
            continue
        if call.completed_at_s is not None:
            late_s = _own_lag_s(record.lags, call.invoked_at_s, call.completed_at_s)
            if call.completed_at_s <= until_s + late_s:
                continue
        if not _overlaps(record.troubles, (call.entry,), call.invoked_at_s - CONTACT_S, until_s):
            yield Violation("final_answer", call.request, f"none in time: {call}")


def check_gone(history: History) -> Iterator[Violation]:
    """Of the work that callers leave behind, little goes on for longer than half a second."""
    left = {
        call.request: call.completed_at_s
        for call in history.calls
        if call.end is CallEnd.CALLER_LEFT
    }
    work = [
        (hold, departed_at_s)
        for hold in memory_holds(history)
        if (departed_at_s := left.get(hold.attempt.request)) and hold.until_s > departed_at_s
    ]
    late = [hold for hold, departed_at_s in work if hold.until_s > departed_at_s + GONE_S]
    if len(late) > max(GONE_LEAST, GONE_SHARE * len(work)):
        yield Violation("gone", "all", f"{len(late)} of {len(work)} went on, such as {late[0]}")


def check_one_engine(history: History, troubles: tuple[Trouble, ...]) -> Iterator[Violation]:
    """No two engines go on with one request for longer than a close takes."""
    running: dict[str, list[MemoryHold]] = {}
    decoding = (
        UpstreamEventKind.DECODE_STARTED,
        UpstreamEventKind.DECODE_ENDED,
        UpstreamEventKind.CANCELLED,
        UpstreamEventKind.LOST,
    )
    started = {
        one.attempt
        for one in history.upstream_events
        if one.kind is UpstreamEventKind.DECODE_STARTED
    }
    work = tuple(
        one
        for one in history.upstream_events
        if one.kind in decoding and (one.attempt is None or one.attempt in started)
    )
    for hold in memory_holds(History(upstream_events=work)):
        running.setdefault(hold.attempt.request, []).append(hold)
    for request, found in running.items():
        found.sort(key=lambda hold: hold.from_s)
        for before, after in zip(found, found[1:], strict=False):
            if before.until_s - after.from_s <= TWICE_RUNNING_S:
                continue
            subjects = (_name(before.upstream), *_entries_of(history, request))
            if not _overlaps(troubles, subjects, before.from_s - CONTACT_S, before.until_s):
                yield Violation("one_engine", request, f"{before} and {after}")


def check_budget(arrivals: tuple[Arrival, ...], calls: tuple[Call, ...]) -> Iterator[Violation]:
    """Calls beyond the first of each request stay within the share and the extra of a window."""
    for service in ("plain", "model"):
        sent = [call.invoked_at_s for call in calls if call.target == service]
        extra = list(_extra(one for one in arrivals if one.service == service))
        for until_s in extra:
            count = sum(until_s - RETRY_WINDOW_S < at_s <= until_s for at_s in extra)
            requests = max(
                sum(end_s - RETRY_WINDOW_S < at_s <= end_s for at_s in sent)
                for end_s in (until_s, until_s - RETRY_WINDOW_S / 2, until_s - RETRY_WINDOW_S)
            )
            if count > RETRY_SHARE * requests + RETRY_EXTRA:
                detail = f"{count} repeated calls in a window with {requests} requests"
                yield Violation("retry_budget", service, detail)
                break


def _without_prefills(history: History) -> History:
    """Leave out what only reads a prompt: nothing that a caller asked for has run by then."""
    work = tuple(
        one for one in history.upstream_events if one.kind is not UpstreamEventKind.PREFILL_STARTED
    )
    return history._replace(upstream_events=work)


def _extra(arrivals: Iterator[Arrival]) -> Iterator[float]:
    """Yield when each call arrived that was not its request's first of its kind."""
    known: Counter[tuple[str, bool]] = Counter()
    for one in sorted(arrivals):
        known[one.request, one.is_prefill] += 1
        if known[one.request, one.is_prefill] > 1:
            yield one.at_s


def _is_troubled(seen: RevisionSample, troubles: tuple[Trouble, ...]) -> bool:
    return _overlaps(troubles, (seen.node, STORE), seen.at_s - CONTACT_S, seen.at_s)


def _with_known_leaving(history: History, troubles: tuple[Trouble, ...]) -> History:
    """Leave out work sent by entries that could not learn in time that its upstream leaves."""
    left = {one.upstream: one.at_s for one in history.leaving}
    entries = {call.request: call.entry for call in history.calls}

    def is_judged(work: UpstreamEvent) -> bool:
        if work.attempt is None or work.upstream not in left:
            return True
        subjects = (entries.get(work.attempt.request, ""), _name(work.upstream), STORE)
        return not _overlaps(troubles, subjects, left[work.upstream] - CONTACT_S, work.at_s)

    return history._replace(
        upstream_events=tuple(one for one in history.upstream_events if is_judged(one))
    )


def _with_visible_closes(history: History, troubles: tuple[Trouble, ...]) -> History:
    """Leave out the callers whose close could not be seen on all of its way."""
    hiding = tuple(one for one in troubles if one.kind in _HIDES_A_CLOSE)
    upstreams = _upstreams(history)

    def is_visible(call: Call) -> bool:
        if call.completed_at_s is None:
            return False
        subjects = (call.entry, *upstreams.get(call.request, ()))
        from_s = call.completed_at_s - CONTACT_S
        return not _overlaps(hiding, subjects, from_s, call.completed_at_s + CONTACT_S)

    return history._replace(calls=tuple(call for call in history.calls if is_visible(call)))


def _with_cut_calls(history: History, troubles: tuple[Trouble, ...]) -> History:
    """Keep what a shutdown may not do: break answers off that nothing else has broken off.

    A request that ends with an error of the entry's own was refused or failed, not cut; so was one
    whose time was over, or whose engine was still at work when the process had to end.
    """
    upstreams = _upstreams(history)

    def is_judged(call: Call) -> bool:
        if call.end is not CallEnd.BROKEN or call.completed_at_s is None or _timed_out(call):
            return False
        subjects = (call.entry, *upstreams.get(call.request, ()))
        others = tuple(one for one in troubles if one.kind != FaultKind.TERMINATE)
        return not (
            _overlaps(others, subjects, call.invoked_at_s - CROSSING_S, call.completed_at_s)
            or _crossed(call, upstreams)
            or any(_ran_to_the_end(call, one) for one in history.shutdowns)
        )

    def is_free(shutdown: Shutdown) -> bool:
        """Tell whether nothing but the signal kept the process from ending, or ended it."""
        others = tuple(one for one in troubles if one.kind in _HINDERS_AN_END)
        until_s = shutdown.began_at_s + GRACE_S
        return not _overlaps(others, (shutdown.process,), shutdown.began_at_s, until_s)

    return history._replace(
        calls=tuple(call for call in history.calls if is_judged(call)),
        shutdowns=tuple(one for one in history.shutdowns if is_free(one)),
    )


def _timed_out(call: Call) -> bool:
    assert call.completed_at_s is not None
    return call.completed_at_s - call.invoked_at_s >= _most_s(call) - CROSSING_S


def _ran_to_the_end(call: Call, shutdown: Shutdown) -> bool:
    assert call.completed_at_s is not None
    last_s = shutdown.began_at_s + GRACE_S * (1 - LAST_SHARE)
    return call.entry == shutdown.process and call.completed_at_s >= last_s >= call.invoked_at_s


def _crossed(call: Call, upstreams: dict[str, set[str]]) -> bool:
    """Tell whether a request met its connection's close and was passed on to nobody."""
    return call.request not in upstreams and not call.text


def _upstreams(history: History) -> dict[str, set[str]]:
    """Return the names of the upstreams that worked on each request."""
    found: dict[str, set[str]] = {}
    for work in history.upstream_events:
        if work.attempt is not None:
            found.setdefault(work.attempt.request, set()).add(_name(work.upstream))
    return found


def _most_s(call: Call) -> float:
    return (PLAIN_TIMEOUT_MS if call.prompt is None else STREAM_TIMEOUT_MS) / 1_000


def _entries_of(history: History, request: str) -> tuple[str, ...]:
    return tuple(call.entry for call in history.calls if call.request == request)


def _name(run: str) -> str:
    """Return an upstream's name without the number of its run."""
    return run.partition("#")[0]


def _own_lag_s(lags: tuple[Lag, ...], from_s: float, until_s: float) -> float:
    """Return by how much the judge was late at most within a time."""
    return max(
        (one.late_s for one in lags if from_s <= one.at_s <= until_s + LAG_POLL_S), default=0
    )


def _overlaps(
    troubles: tuple[Trouble, ...], subjects: tuple[str, ...], from_s: float, until_s: float
) -> bool:
    return any(
        one.subject in subjects and one.from_s <= until_s and one.until_s >= from_s
        for one in troubles
    )
