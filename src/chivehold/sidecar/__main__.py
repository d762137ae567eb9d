"""Runs a sidecar: ``python -m chivehold.sidecar --settings sidecar.toml``."""

import argparse
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

import trio

from chivehold.exceptions import SettingsInvalid
from chivehold.garbage import exempt_existing_objects
from chivehold.logs import set_up_logging
from chivehold.settings import SidecarSettings, read_sidecar_settings
from chivehold.sidecar.app import run_sidecar

EXIT_SETTINGS_INVALID = 1


async def run_until_signal(settings: SidecarSettings) -> None:
    """Run a sidecar until SIGTERM or SIGINT, which start its graceful shutdown."""
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:

        async def wait_for_signal() -> None:
            with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                await anext(signals)
                shutdown.set()
                await trio.sleep_forever()

        async def run(task_status: trio.TaskStatus[object]) -> None:
            await run_sidecar(settings, shutdown=shutdown, task_status=task_status)
            nursery.cancel_scope.cancel()

        nursery.start_soon(wait_for_signal)
        addresses = await nursery.start(run)
        print(f"listening {addresses.data} {addresses.control} {addresses.operator}", flush=True)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a sidecar from the command line and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", type=Path, required=True)
    parsed = parser.parse_args(arguments)
    try:
        settings = read_sidecar_settings(parsed.settings)
    except SettingsInvalid as error:
        print("\n".join(error.problems), file=sys.stderr)
        return EXIT_SETTINGS_INVALID
    set_up_logging(settings.log_format, settings.log_level, settings.name)
    exempt_existing_objects()
    trio.run(run_until_signal, settings)
    return 0


if __name__ == "__main__":
    sys.exit(main())
