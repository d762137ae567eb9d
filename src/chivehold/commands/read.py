"""``get``, ``status`` and ``watch``: read declarations, node states and changes."""

from collections.abc import Iterable, Iterator
from typing import ClassVar

from cleo.exceptions import CleoUserError
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from chivehold.commands.base import OperatorCommand, value_option
from chivehold.commands.exits import ExitCode
from chivehold.commands.output import enum_label, table
from chivehold.core.declaration_text import canonical_text
from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.convert_declarations import declaration_from_proto

WATCH_WAIT_S = 25.0
WATCH_TIMEOUT_S = 40.0
DECLARATION_HEADER = ("NAME", "KIND", "VERSION", "UID", "STATE")
NODE_HEADER = ("NODE", "KIND", "TARGET", "ROLE", "ZONE", "STATE", "REVISION", "FREE", "WAITING")


class GetCommand(OperatorCommand):
    """Reads the declarations in force at the entry."""

    name = "get"
    description = "Reads declarations as in force at the entry"
    arguments: ClassVar[list[Argument]] = [argument("name", "One declaration", optional=True)]
    examples = ("chivehold get", "chivehold get lector", "chivehold get lector --output json")

    def handle(self) -> int:
        """Run the command."""
        name = self.argument("name") or ""
        response: pb.GetResponse = self.call_entry("Get", pb.GetRequest(name=name))
        if name and not response.declarations:
            self.emit_error(f"{name}: expected a declared name")
            return ExitCode.REFUSED
        self.emit_response(response, _declarations_text(response, include_specs=bool(name)))
        return ExitCode.OK


class StatusCommand(OperatorCommand):
    """Reports the state of the nodes known to the entry."""

    name = "status"
    description = "Reports the nodes with the revision in force at each"
    examples = ("chivehold status", "chivehold status --output json")

    def handle(self) -> int:
        """Run the command."""
        response: pb.StatusResponse = self.call_entry("Status", pb.StatusRequest())
        holder = response.control_holder or "not known"
        text = f"revision {response.revision}, control lease: {holder}"
        nodes = table(NODE_HEADER, _node_rows(response.nodes))
        self.emit_response(response, f"{text}\n{nodes}")
        return ExitCode.OK


class WatchCommand(OperatorCommand):
    """Shows declarations as they change."""

    name = "watch"
    description = "Shows declarations as they change, until interrupted"
    options: ClassVar[list[Option]] = [
        *OperatorCommand.options,
        value_option("after", "Show changes after this revision; -1 for the present one", "-1"),
        option("once", description="End after the first change"),
    ]
    examples = ("chivehold watch", "chivehold watch --after 0 --once")

    def handle(self) -> int:
        """Run the command."""
        try:
            return self._watch(self._start_revision())
        except KeyboardInterrupt:
            return ExitCode.OK

    def _watch(self, revision: int) -> int:
        while True:
            request = pb.WatchRequest(after_revision=revision, wait_s=WATCH_WAIT_S)
            response: pb.WatchResponse = self.call_entry("Watch", request, WATCH_TIMEOUT_S)
            revision = max(revision, response.revision)
            if not response.declarations:
                continue
            rows = table(DECLARATION_HEADER, _declaration_rows(response.declarations))
            self.emit_response(response, rows)
            if self.option("once"):
                return ExitCode.OK

    def _start_revision(self) -> int:
        try:
            after = int(self.option("after"))
        except ValueError:
            raise CleoUserError("--after: expected a revision") from None
        if after >= 0:
            return after
        response: pb.StatusResponse = self.call_entry("Status", pb.StatusRequest())
        return response.revision


def _declarations_text(response: pb.GetResponse, include_specs: bool) -> str:
    summary = table(DECLARATION_HEADER, _declaration_rows(response.declarations))
    if not include_specs:
        return f"{summary}\nrevision {response.revision}"
    specs = (declaration_from_proto(stored.declaration) for stored in response.declarations)
    return "\n".join([summary, *(canonical_text(spec.unwrap()) for spec in specs)])


def _declaration_rows(
    stored_declarations: Iterable[pb.StoredDeclaration],
) -> Iterator[tuple[object, ...]]:
    for stored in stored_declarations:
        kind = stored.declaration.WhichOneof("spec") or "-"
        state = "deleted" if stored.deleted else "in force"
        yield stored.declaration.name, kind, stored.version, stored.uid, state


def _node_rows(nodes: Iterable[pb.NodeStatus]) -> Iterator[tuple[object, ...]]:
    for node in nodes:
        is_entry = node.kind == "entry"
        role = "-" if is_entry else enum_label(pb.Role.Name(node.role), "ROLE_")
        free = "-" if is_entry else f"{node.places_free}/{node.places}"
        waiting = "-" if is_entry else node.waiting
        yield (
            node.name,
            node.kind,
            node.target or "-",
            role,
            node.zone,
            node.state,
            node.revision,
            free,
            waiting,
        )
