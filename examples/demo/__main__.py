"""Runs the demo: ``python -m examples.demo``; ends with 1 if a promise broke."""

import argparse
import signal
import sys
import tempfile
from pathlib import Path
from random import Random

import trio

from chivehold.http_client import HttpClient
from examples.demo.checks import read_histories, violated_promises
from examples.demo.children import Children
from examples.demo.report import report
from examples.demo.sites import BRUMA, KINISI, Site
from examples.demo.traffic import Callers

# Times of the faults, as shares of the time of arrivals.
ENGINE_KILL_AT_SHARE = 0.25
ENTRY_DRAIN_AT_SHARE = 0.45
ENTRY_KILL_AT_SHARE = 0.65
CALL_TIMEOUT_S = 5.0
SIDECARS_READY_S = 2.5


def main() -> int:
    """Run the demo and return its exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--for-s", type=float, default=20.0, help="time of arrivals in seconds")
    parser.add_argument("--rate", type=float, default=1.0, help="factor of the arrival rates")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--logs", type=Path, help="directory to keep the processes' logs in")
    arguments = parser.parse_args()
    if arguments.logs:
        arguments.logs.mkdir(parents=True, exist_ok=True)
        return trio.run(_run, arguments.logs, arguments.for_s, arguments.rate, arguments.seed)
    with tempfile.TemporaryDirectory() as directory:
        return trio.run(_run, Path(directory), arguments.for_s, arguments.rate, arguments.seed)


async def _run(directory: Path, for_s: float, rate: float, seed: int) -> int:
    children = Children(directory)
    try:
        sites = [Site(names, children) for names in (BRUMA, KINISI)]
        async with trio.open_nursery() as nursery:
            for site in sites:
                nursery.start_soon(site.start)
        print(f"{sum(len(site.stand_ins) for site in sites)} upstreams, load for {for_s:g} s")
        # A sidecar that started after a key was first sent cannot know whether the key was
        # answered before, so wait until the sidecars have run for long enough.
        await trio.sleep(SIDECARS_READY_S)
        callers = [Callers(site, Random(f"{seed}-{site.names.name}")) for site in sites]
        async with trio.open_nursery() as nursery:
            for site_callers in callers:
                nursery.start_soon(site_callers.run, rate, for_s)
            for site in sites:
                nursery.start_soon(_inject_faults, site, for_s)
        return await _print_results(sites, callers)
    finally:
        await children.stop()


async def _print_results(sites: list[Site], callers: list[Callers]) -> int:
    violations: list[str] = []
    for site, site_callers in zip(sites, callers, strict=True):
        histories = await read_histories(site, killed=(_killed_engine(site),))
        print(report(site.names.name, site_callers.sent, histories))
        violations += violated_promises(site_callers.sent, histories)
    print("\n".join(f"BROKEN: {line}" for line in violations) or "every promise held")
    return 1 if violations else 0


def _killed_engine(site: Site) -> str:
    return f"{site.names.deployment}-{site.names.killed_engine}"


async def _inject_faults(site: Site, for_s: float) -> None:
    """Kill an engine, drain and replace one entry, then kill and replace another."""
    await trio.sleep(ENGINE_KILL_AT_SHARE * for_s)
    await _kill_engine(site)
    await trio.sleep((ENTRY_DRAIN_AT_SHARE - ENGINE_KILL_AT_SHARE) * for_s)
    await _replace_entry(site, signal.SIGTERM)
    await trio.sleep((ENTRY_KILL_AT_SHARE - ENTRY_DRAIN_AT_SHARE) * for_s)
    await _replace_entry(site, signal.SIGKILL)


async def _kill_engine(site: Site) -> None:
    client = HttpClient()
    address = site.stand_ins[_killed_engine(site)].control_address
    await client.call(
        address, "POST", "/faults", step="kill", body=b'{"die": true}', timeout_s=CALL_TIMEOUT_S
    )
    await client.aclose()
    print(f"{site.names.name}: {_killed_engine(site)} killed", flush=True)


async def _replace_entry(site: Site, signal_number: signal.Signals) -> None:
    """Signal the oldest entry; the balancer drops it only when its replacement is ready."""
    replaced = site.entries[0]
    replaced.child.process.send_signal(signal_number)
    await site.add_entry()
    site.entries.remove(replaced)
    print(
        f"{site.names.name}: {replaced.child.name} replaced after {signal_number.name}", flush=True
    )


if __name__ == "__main__":
    sys.exit(main())
