"""Base classes of the commands: raw output, calls to an entry and output formats."""

import os
from collections.abc import Sequence
from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.exceptions import CleoUserError
from cleo.helpers import option
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type

from chivehold.commands.operator_client import CALL_TIMEOUT_S, OperatorClient
from chivehold.commands.output import message_json

ENTRY_VARIABLE = "CHIVEHOLD_ENTRY"
TOKEN_VARIABLE = "CHIVEHOLD_TOKEN"
OUTPUT_FORMATS = ("table", "json")
EXIT_CODES_HELP = """
<b>EXIT CODES</b>
  0  done
  1  refused, invalid or in conflict: nothing of it is in force
  2  wrong usage
  3  the entry or the platform is unavailable, or the effect is not known"""


def value_option(name: str, description: str, default: str | None = None) -> Option:
    """Return an option that takes a value."""
    return option(name, description=description, flag=False, default=default)


class PlainCommand(Command):
    """A command that writes its output without interpreting cleo markup."""

    examples: ClassVar[Sequence[str]] = ()

    def __init_subclass__(cls) -> None:
        lines = "\n".join(f"  {example}" for example in cls.examples)
        cls.help = f"<b>EXAMPLES</b>\n{lines}\n{EXIT_CODES_HELP}"

    def emit(self, text: str) -> None:
        """Write lines to standard output."""
        self.io.write_line(text, type=Type.RAW)

    def emit_error(self, text: str) -> None:
        """Write lines to standard error."""
        self.io.write_error_line(text, type=Type.RAW)


class OperatorCommand(PlainCommand):
    """A command that calls an entry."""

    options: ClassVar[list[Option]] = [
        value_option("entry", f"host:port of an entry's control listener, or ${ENTRY_VARIABLE}"),
        value_option("token", f"the shared token, or ${TOKEN_VARIABLE}"),
        value_option("output", "table or json", "table"),
    ]

    @property
    def is_json_output(self) -> bool:
        """Whether ``--output json`` was given.

        Raises:
            CleoUserError: The output format is unknown.
        """
        output = self.option("output")
        if output not in OUTPUT_FORMATS:
            raise CleoUserError(
                f"--output: expected {' or '.join(OUTPUT_FORMATS)}, found {output!r}"
            )
        return bool(output == "json")

    def call_entry(self, method: str, request: Any, timeout_s: float = CALL_TIMEOUT_S) -> Any:
        """Call a method of the entry and return its response.

        Raises:
            CleoUserError: The entry's address or the token is missing.
            RpcFailed: The entry refused, failed, or did not respond in time.
        """
        return self._client().call(method, request, timeout_s)

    def emit_response(self, message: Any, text: str) -> None:
        """Write a response as JSON or as the given text, depending on ``--output``."""
        self.emit(message_json(message) if self.is_json_output else text)

    def _client(self) -> OperatorClient:
        return OperatorClient(
            self._required_option("entry", ENTRY_VARIABLE),
            self._required_option("token", TOKEN_VARIABLE),
        )

    def _required_option(self, name: str, variable: str) -> str:
        value = self.option(name) or os.environ.get(variable, "")
        if not value:
            raise CleoUserError(f"--{name}: expected, or the variable {variable}")
        return str(value)
