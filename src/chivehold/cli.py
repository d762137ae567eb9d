"""The ``chivehold`` command line: daemons and operator commands.

Exit codes: 0 success; 1 refused, invalid or in conflict; 2 usage error; 3 unavailable or outcome
unknown.
"""

import signal
import sys
from collections.abc import Sequence

HELP_OPTIONS = frozenset(("-h", "--help"))


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command given by the arguments and return its exit code.

    Daemons are dispatched first, so that they don't import the command line libraries.
    """
    command_line = sys.argv[1:] if arguments is None else list(arguments)
    if HELP_OPTIONS.isdisjoint(command_line):
        if command_line[:1] == ["entry"]:
            return _run_entry(command_line[1:])
        if command_line[:1] == ["sidecar"]:
            return _run_sidecar(command_line[1:])
        if command_line[:1] == ["direct"]:
            return _run_direct(command_line[1:])
    return _run_command(command_line)


def _run_entry(arguments: Sequence[str]) -> int:
    from chivehold.entry.__main__ import main as run

    return run(arguments)


def _run_sidecar(arguments: Sequence[str]) -> int:
    from chivehold.sidecar.__main__ import main as run

    return run(arguments)


def _run_direct(arguments: Sequence[str]) -> int:
    # Until the entry handles this signal, it would end the process. The settings are read later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from chivehold.direct.__main__ import main as run

    return run(arguments)


def _run_command(arguments: Sequence[str]) -> int:
    from chivehold.commands.application import run_command

    return run_command(arguments)


if __name__ == "__main__":
    sys.exit(main())
