"""``drain`` and ``dump``: commands for a single entry or sidecar."""

from typing import ClassVar

import msgspec
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from chivehold.commands.base import OperatorCommand
from chivehold.commands.exits import ExitCode
from chivehold.rpc import chivehold_pb2 as pb


class _NodeCommand(OperatorCommand):
    arguments: ClassVar[list[Argument]] = [
        argument("upstream", "The upstream whose sidecar is meant; the entry if left out", True)
    ]


class DrainCommand(_NodeCommand):
    """Starts a drain: the node accepts no new work and finishes what is in progress."""

    name = "drain"
    description = "Starts the drain of an upstream, or of the entry that is called"
    examples = ("chivehold drain lector-d1", "chivehold drain --entry 192.0.2.1:7001")

    def handle(self) -> int:
        """Run the command."""
        request = pb.DrainRequest(upstream=self.argument("upstream") or "")
        response: pb.DrainResponse = self.call_entry("Drain", request)
        self.emit_response(response, f"{response.state}, {response.in_progress} in progress")
        return ExitCode.OK


class DumpCommand(_NodeCommand):
    """Dumps the state of an entry or sidecar as JSON."""

    name = "dump"
    description = "Dumps the state of the entry, or of an upstream's sidecar, as JSON"
    examples = ("chivehold dump", "chivehold dump lector-d1")

    def handle(self) -> int:
        """Run the command."""
        request = pb.DumpRequest(upstream=self.argument("upstream") or "")
        response: pb.DumpResponse = self.call_entry("Dump", request)
        self.emit(msgspec.json.format(response.json.encode(), indent=2).decode())
        return ExitCode.OK
