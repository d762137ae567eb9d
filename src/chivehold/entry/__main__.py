"""Runs an entry: ``python -m chivehold.entry --settings entry.toml``."""

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

import trio

from chivehold.entry.app import EntryAddresses, run_entry
from chivehold.exceptions import SettingsInvalid
from chivehold.garbage import exempt_existing_objects
from chivehold.logs import set_up_logging
from chivehold.settings import EntrySettings, read_entry_settings

EXIT_SETTINGS_INVALID = 1


def main(arguments: Sequence[str] | None = None) -> int:
    """Run an entry until it is told to shut down, and return the exit code."""
    parser = argparse.ArgumentParser(description="An entry of chivehold.")
    parser.add_argument("--settings", type=Path, required=True, help="TOML file")
    try:
        settings = read_entry_settings(parser.parse_args(arguments).settings)
    except SettingsInvalid as error:
        print("\n".join(error.problems), file=sys.stderr)
        return EXIT_SETTINGS_INVALID
    set_up_logging(settings.log_format, settings.log_level, settings.name)
    exempt_existing_objects()
    trio.run(_run, settings)
    return 0


async def _run(settings: EntrySettings) -> None:
    async with trio.open_nursery() as nursery:
        addresses: EntryAddresses = await nursery.start(run_entry, settings)
        print(f"listening {' '.join(addresses)}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
