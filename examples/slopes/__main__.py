"""Measures all slopes, prints them with their fits, and writes them to docs/CAPACITY.md."""

from collections.abc import Iterable, Iterator
from itertools import chain

from examples.slopes.claim_writes import claim_runs, claim_slopes
from examples.slopes.entry_slopes import entry_slopes
from examples.slopes.fit import HEADER, Slope
from examples.slopes.messages import sizes
from examples.slopes.page import write
from examples.slopes.revisions import Spread, revision_slopes, spreads
from examples.slopes.sidecar_slopes import sidecar_slopes
from examples.slopes.wire import heartbeat_slopes

SPREAD_HEADER = (
    "| entries | sidecars | one change, s | burst, s | reads/s | writes/s | calls for the burst "
    "| hand-overs | in a burst |\n|---:|---:|---:|---:|---:|---:|---:|---:|---:|"
)
SIZES_HEADER = "| message | encoded bytes |\n|---|---:|"


def main() -> None:
    """Measure, print and write."""
    rows = list(_printed(chain(entry_slopes(), sidecar_slopes(), heartbeat_slopes())))
    rows += _printed(claim_slopes(claim_runs()))
    found = spreads()
    rows += _printed(revision_slopes(found))
    write("slopes", "\n".join([HEADER, *rows]))
    spread = "\n".join([SPREAD_HEADER, *map(_spread_row, found)])
    table = "\n".join([SIZES_HEADER, *(f"| {one.kind} | {one.encoded_bytes} |" for one in sizes())])
    print(spread, table, sep="\n\n")
    write("spread", spread)
    write("sizes", table)


def _printed(slopes: Iterable[Slope]) -> Iterator[str]:
    for slope in slopes:
        row = slope.row()
        print(row, flush=True)
        yield row


def _spread_row(one: Spread) -> str:
    return (
        f"| {one.entries} | {one.sidecars} | {one.single_s:.2f} | {one.burst_s:.2f} "
        f"| {one.quiet_reads_per_s:.1f} | {one.quiet_writes_per_s:.1f} | {one.burst_calls} "
        f"| {one.hand_overs:.2f} | {one.burst_hand_overs:.2f} |"
    )


if __name__ == "__main__":
    main()
