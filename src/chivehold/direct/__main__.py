"""Runs an entry without sidecars: ``chivehold direct --settings entry.toml``."""

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

import trio

from chivehold.direct.app import run_direct_entry
from chivehold.exceptions import SettingsInvalid
from chivehold.garbage import exempt_existing_objects
from chivehold.logs import set_up_bounded_logging
from chivehold.platform import BINDING
from chivehold.settings import read_direct_settings

EXIT_SETTINGS_INVALID = 1


def main(arguments: Sequence[str] | None = None) -> int:
    """Run an entry until it is stopped by a signal, and return the exit code."""
    parser = argparse.ArgumentParser(description="An entry that reaches its upstreams itself.")
    parser.add_argument("--settings", type=Path, required=True, help="TOML file")
    path = parser.parse_args(arguments).settings
    try:
        settings = read_direct_settings(path)
    except SettingsInvalid as error:
        print("\n".join(error.problems), file=sys.stderr)
        return EXIT_SETTINGS_INVALID
    logs = set_up_bounded_logging(
        settings.log_format, settings.log_level, settings.name, settings.log_lines_per_s
    )
    exempt_existing_objects()
    trio.run(run_direct_entry, settings, path, BINDING, logs)
    return 0


if __name__ == "__main__":
    sys.exit(main())
