"""The cleo application, which maps exceptions to error output and exit codes."""

import sys
from collections.abc import Sequence

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from chivehold.commands.change import ApplyCommand, DiffCommand
from chivehold.commands.check import CheckSettingsCommand
from chivehold.commands.daemons import DirectCommand, EntryCommand, SidecarCommand
from chivehold.commands.exits import ExitCode, exit_code_for_status
from chivehold.commands.explain import ExplainCommand
from chivehold.commands.nodes import DrainCommand, DumpCommand
from chivehold.commands.quarantine import QuarantineCommand
from chivehold.commands.read import GetCommand, StatusCommand, WatchCommand
from chivehold.exceptions import DeclarationInvalid
from chivehold.rpc.errors import RpcFailed

COMMANDS = (
    ApplyCommand,
    CheckSettingsCommand,
    DiffCommand,
    DirectCommand,
    DrainCommand,
    DumpCommand,
    EntryCommand,
    ExplainCommand,
    GetCommand,
    QuarantineCommand,
    SidecarCommand,
    StatusCommand,
    WatchCommand,
)


def run_command(arguments: Sequence[str]) -> int:
    """Run a command.

    Args:
        arguments: Command line arguments without the program name.

    Returns:
        The exit code.
    """
    application = Application("chivehold", _version())
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in COMMANDS:
        application.add(command())
    try:
        return application.run(ArgvInput(["chivehold", *arguments]))
    except CleoError as error:
        return _fail(ExitCode.USAGE, str(error))
    except DeclarationInvalid as error:
        return _fail(ExitCode.REFUSED, *error.problems)
    except RpcFailed as error:
        return _fail(exit_code_for_status(error.code), str(error))


def _fail(code: ExitCode, *lines: str) -> int:
    print("\n".join(lines), file=sys.stderr)
    return code


def _version() -> str:
    from importlib.metadata import version

    return version("chivehold")
