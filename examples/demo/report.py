"""The table that the demo prints."""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence

from chivehold.commands.output import table
from examples.demo.checks import Seen, service_runs, wasted_prefill
from examples.demo.traffic import DEPARTED, Sent

HEADER = (
    "SITE",
    "CLASS",
    "SENT",
    "ANSWERED",
    "NOT RUN",
    "UNKNOWN",
    "ALREADY",
    "LEFT",
    "OTHER",
    "DOUBLE",
    "FIRST TOKEN ms",
    "BETWEEN ms",
)
TOLD = ("answered", "not_run", "unknown", "already_answered", DEPARTED)


def report(site: str, sent: Sequence[Sent], seen: Seen) -> str:
    """Return a site's table, with median and 95th percentile of the times."""
    rows = table(HEADER, _rows(site, sent, seen))
    wasted = f"wasted prefill {wasted_prefill(sent, seen):.1%}"
    return f"{rows}\n{wasted}; held by engines at the end: {seen.held_at_end}"


def _rows(site: str, sent: Sequence[Sent], seen: Seen) -> Iterator[tuple[object, ...]]:
    runs = service_runs(seen)
    for label in dict.fromkeys(one.kind.label for one in sent):
        ours = [one for one in sent if one.kind.label == label]
        outcomes = Counter(one.outcome for one in ours)
        other = len(ours) - sum(outcomes[told] for told in TOLD)
        double = sum(one.whole_answers > 1 for one in ours)
        if label == "reservation":
            double += sum(runs[one.key] > 1 for one in ours)
        first = [one.first_token_s for one in ours if one.first_token_s is not None]
        gaps = [gap for one in ours for gap in one.gaps_s]
        yield (
            site,
            label,
            len(ours),
            *(outcomes[told] for told in TOLD),
            other,
            double,
            _percentiles(first),
            _percentiles(gaps),
        )


def _percentiles(times_s: Iterable[float]) -> str:
    ordered = sorted(times_s)
    if not ordered:
        return "-"
    median, late = ordered[len(ordered) // 2], ordered[int(len(ordered) * 0.95)]
    return f"{median * 1000:.0f} / {late * 1000:.0f}"
