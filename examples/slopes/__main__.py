"""Measures all slopes, prints the fitted lines, and writes them to docs/CAPACITY.md."""

from collections.abc import Iterable, Iterator
from itertools import chain

from examples.slopes.claim_writes import claim_slopes, run_claims
from examples.slopes.entry_slopes import entry_slopes
from examples.slopes.fit import HEADER, Slope
from examples.slopes.messages import message_sizes
from examples.slopes.page import replace_section
from examples.slopes.revisions import Spread, measure_spreads, revision_slopes
from examples.slopes.sidecar_slopes import sidecar_slopes
from examples.slopes.wire import heartbeat_slopes

SPREAD_HEADER = (
    "| entries | sidecars | one change, s | burst, s | reads/s | writes/s | calls for the burst "
    "| hand-overs | in a burst |\n|---:|---:|---:|---:|---:|---:|---:|---:|---:|"
)
SIZES_HEADER = "| message | encoded bytes |\n|---|---:|"


def main() -> None:
    """Measure the slopes, the spread and the message sizes, print them and update the page."""
    rows = list(_print_rows(chain(entry_slopes(), sidecar_slopes(), heartbeat_slopes())))
    rows += _print_rows(claim_slopes(run_claims()))
    measured = measure_spreads()
    rows += _print_rows(revision_slopes(measured))
    replace_section("slopes", "\n".join([HEADER, *rows]))
    spread = "\n".join([SPREAD_HEADER, *map(_spread_row, measured)])
    table = "\n".join(
        [SIZES_HEADER, *(f"| {size.kind} | {size.encoded_bytes} |" for size in message_sizes())]
    )
    print(spread, table, sep="\n\n")
    replace_section("spread", spread)
    replace_section("sizes", table)


def _print_rows(slopes: Iterable[Slope]) -> Iterator[str]:
    for slope in slopes:
        row = slope.row()
        print(row, flush=True)
        yield row


def _spread_row(spread: Spread) -> str:
    return (
        f"| {spread.entries} | {spread.sidecars} | {spread.single_s:.2f} | {spread.burst_s:.2f} "
        f"| {spread.quiet_reads_per_s:.1f} | {spread.quiet_writes_per_s:.1f} "
        f"| {spread.burst_calls} | {spread.hand_overs:.2f} | {spread.burst_hand_overs:.2f} |"
    )


if __name__ == "__main__":
    main()
