"""The table that the demo prints."""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence

from chivehold.commands.output import table
from examples.demo.checks import Histories, service_runs, wasted_prefill
from examples.demo.traffic import DISCONNECTED, SentRequest

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
COUNTED_OUTCOMES = ("answered", "not_run", "unknown", "already_answered", DISCONNECTED)


def report(site: str, sent: Sequence[SentRequest], histories: Histories) -> str:
    """Return a site's table; times are given as median / 95th percentile."""
    rows = table(HEADER, _rows(site, sent, histories))
    wasted = f"wasted prefill {wasted_prefill(sent, histories):.1%}"
    return f"{rows}\n{wasted}; held by engines at the end: {histories.held_at_end}"


def _rows(
    site: str, sent: Sequence[SentRequest], histories: Histories
) -> Iterator[tuple[object, ...]]:
    runs = service_runs(histories)
    for label in dict.fromkeys(request.kind.label for request in sent):
        requests = [request for request in sent if request.kind.label == label]
        outcomes = Counter(request.outcome for request in requests)
        other = len(requests) - sum(outcomes[outcome] for outcome in COUNTED_OUTCOMES)
        double = sum(request.complete_answers > 1 for request in requests)
        if label == "reservation":
            double += sum(runs[request.key] > 1 for request in requests)
        first_token_times_s = [
            request.first_token_s for request in requests if request.first_token_s is not None
        ]
        gaps = [gap for request in requests for gap in request.gaps_s]
        yield (
            site,
            label,
            len(requests),
            *(outcomes[outcome] for outcome in COUNTED_OUTCOMES),
            other,
            double,
            _percentiles(first_token_times_s),
            _percentiles(gaps),
        )


def _percentiles(times_s: Iterable[float]) -> str:
    ordered = sorted(times_s)
    if not ordered:
        return "-"
    median, p95 = ordered[len(ordered) // 2], ordered[int(len(ordered) * 0.95)]
    return f"{median * 1000:.0f} / {p95 * 1000:.0f}"
