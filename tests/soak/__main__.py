"""Runs seeds: ``python -m tests.soak --seeds 1-50``, or random ones for some minutes."""

import argparse
import secrets
import subprocess
import sys
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import trio

from tests.soak.plan import draw_plan
from tests.soak.run import RunResult, run_plan

SEED_BITS = 31
EXIT_VIOLATIONS = 1


def main() -> int:
    """Run one seed in this process, or many, each in its own process."""
    arguments = _parse_arguments()
    if arguments.seed is not None:
        return _run_seed(arguments)
    failed = 0
    with ThreadPoolExecutor(arguments.jobs) as pool:
        for seed, code, output in pool.map(
            lambda seed: _run_in_subprocess(arguments, seed), _seeds(arguments)
        ):
            failed += code != 0
            print(f"seed {seed}: {'ok' if code == 0 else 'FAILED'} {output}", flush=True)
    print(f"{failed} seeds failed")
    return EXIT_VIOLATIONS if failed else 0


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--seed", type=int, help="play this one seed here")
    parser.add_argument("--seeds", default="", help="FIRST-LAST")
    parser.add_argument("--minutes", type=float, default=2.0, help="of fresh seeds")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--faults", type=int, default=14)
    parser.add_argument("--signals", type=int, default=0, help="faults told in headers")
    parser.add_argument("--crashers", type=int, default=0, help="1: some requests end upstreams")
    parser.add_argument("--loop-monitor", type=int, default=0, help="1: entries measure their loop")
    parser.add_argument("--load-s", type=float, default=12.0)
    parser.add_argument("--rate", type=float, default=25.0, help="requests a second")
    parser.add_argument("--directory", type=Path, default=Path("target/soak"))
    return parser.parse_args()


def _seeds(arguments: argparse.Namespace) -> Iterator[int]:
    if arguments.seeds:
        first, _, last = arguments.seeds.partition("-")
        yield from range(int(first), int(last or first) + 1)
        return
    # The thread pool reads all seeds up front, so their number is computed from the time.
    for _ in range(max(1, int(arguments.minutes * 60 * arguments.jobs / (arguments.load_s + 20)))):
        yield secrets.randbits(SEED_BITS)


def _run_in_subprocess(arguments: argparse.Namespace, seed: int) -> tuple[int, int, str]:
    fields = (
        "entries",
        "faults",
        "signals",
        "crashers",
        "loop_monitor",
        "load_s",
        "rate",
        "directory",
    )
    options = [f"--{field.replace('_', '-')}={getattr(arguments, field)}" for field in fields]
    command = [sys.executable, "-m", "tests.soak", f"--seed={seed}", *options]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    return seed, completed.returncode, completed.stdout + completed.stderr


def _run_seed(arguments: argparse.Namespace) -> int:
    directory = arguments.directory.resolve() / f"{arguments.seed}-{time.time_ns() // 1_000_000}"
    directory.mkdir(parents=True)
    plan = draw_plan(
        arguments.seed, arguments.entries, arguments.load_s, arguments.faults, arguments.signals
    )
    result = trio.run(
        run_plan,
        plan,
        directory,
        arguments.rate,
        bool(arguments.crashers),
        bool(arguments.loop_monitor),
    )
    _print_result(result, directory)
    return EXIT_VIOLATIONS if result.violations else 0


def _print_result(result: RunResult, directory: Path) -> None:
    print(" ".join(f"{end}={count}" for end, count in sorted(result.ends.items())))
    print(f"  {result.crashes} upstreams ended under requests")
    print(f"  late by {result.own_lag_s:.2f} s at most; logs in {directory}")
    if result.violations:
        for fault in result.plan.faults:
            print("  planned", fault)
        for violation in result.violations:
            print("  VIOLATED", violation)


if __name__ == "__main__":
    sys.exit(main())
