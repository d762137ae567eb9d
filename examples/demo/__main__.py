"""Runs the demo: ``python -m examples.demo``; ends with 1 if a promise broke."""

import argparse
import signal
import sys
import tempfile
from pathlib import Path
from random import Random

import trio

from chivehold.http_client import HttpClient
from examples.demo.checks import broken_promises, look
from examples.demo.children import Children
from examples.demo.report import report
from examples.demo.sites import BRUMA, KINISI, Site
from examples.demo.traffic import Callers

ENGINE_DIES_AT = 0.25
ENTRY_DRAINS_AT = 0.45
ENTRY_DIES_AT = 0.65
CALL_TIMEOUT_S = 5.0
KEY_HOMES_READY_S = 2.5


def main() -> int:
    """Run the demo and return its exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--for-s", type=float, default=20.0, help="time of arrivals in seconds")
    parser.add_argument("--rate", type=float, default=1.0, help="factor of the arrival rates")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--logs", type=Path, help="directory to keep the processes' logs in")
    given = parser.parse_args()
    if given.logs:
        given.logs.mkdir(parents=True, exist_ok=True)
        return trio.run(_run, given.logs, given.for_s, given.rate, given.seed)
    with tempfile.TemporaryDirectory() as directory:
        return trio.run(_run, Path(directory), given.for_s, given.rate, given.seed)


async def _run(directory: Path, for_s: float, rate: float, seed: int) -> int:
    children = Children(directory)
    try:
        sites = [Site(names, children) for names in (BRUMA, KINISI)]
        async with trio.open_nursery() as nursery:
            for site in sites:
                nursery.start_soon(site.start)
        print(f"{sum(len(site.stand_ins) for site in sites)} upstreams, load for {for_s:g} s")
        # A sidecar younger than a key cannot know whether it was answered before.
        await trio.sleep(KEY_HOMES_READY_S)
        callers = [Callers(site, Random(f"{seed}-{site.names.name}")) for site in sites]
        async with trio.open_nursery() as nursery:
            for one in callers:
                nursery.start_soon(one.run, rate, for_s)
            for site in sites:
                nursery.start_soon(_break, site, for_s)
        return await _conclude(sites, callers)
    finally:
        await children.end()


async def _conclude(sites: list[Site], callers: list[Callers]) -> int:
    broken: list[str] = []
    for site, one in zip(sites, callers, strict=True):
        seen = await look(site, dead=(_dying_engine(site),))
        print(report(site.names.name, one.sent, seen))
        broken += broken_promises(one.sent, seen)
    print("\n".join(f"BROKEN: {line}" for line in broken) or "every promise held")
    return 1 if broken else 0


def _dying_engine(site: Site) -> str:
    return f"{site.names.deployment}-{site.names.dying_engine}"


async def _break(site: Site, for_s: float) -> None:
    """Kill an engine, replace an entry by a drain, and kill another entry."""
    await trio.sleep(ENGINE_DIES_AT * for_s)
    await _kill_engine(site)
    await trio.sleep((ENTRY_DRAINS_AT - ENGINE_DIES_AT) * for_s)
    await _replace_entry(site, signal.SIGTERM)
    await trio.sleep((ENTRY_DIES_AT - ENTRY_DRAINS_AT) * for_s)
    await _replace_entry(site, signal.SIGKILL)


async def _kill_engine(site: Site) -> None:
    client = HttpClient()
    address = site.stand_ins[_dying_engine(site)].control
    await client.call(
        address, "POST", "/faults", step="kill", body=b'{"die": true}', timeout_s=CALL_TIMEOUT_S
    )
    await client.aclose()
    print(f"{site.names.name}: {_dying_engine(site)} killed", flush=True)


async def _replace_entry(site: Site, number: signal.Signals) -> None:
    """End the oldest entry; the balancer learns it only once another one is there."""
    leaving = site.entries[0]
    leaving.child.process.send_signal(number)
    await site.add_entry()
    site.entries.remove(leaving)
    print(f"{site.names.name}: {leaving.child.name} replaced after {number.name}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
