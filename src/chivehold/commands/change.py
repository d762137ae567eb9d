"""``apply`` and ``diff``: apply declaration files, or show what that would change."""

import time
import uuid
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import ClassVar

from cleo.exceptions import CleoUserError
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from chivehold.commands.base import OperatorCommand, value_option
from chivehold.commands.exits import ExitCode, exit_code_for_changes
from chivehold.commands.output import enum_label, table
from chivehold.declaration_files import read_declarations
from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.convert_declarations import declaration_to_proto
from chivehold.rpc.errors import RpcFailed

STATUS_POLL_S = 0.1
DEFAULT_WAIT_S = 10.0
DOWN_NODES_WAIT_S = 3.0
CHANGE_HEADER = ("NAME", "CHANGE", "VERSION", "MESSAGE")


class _ChangeCommand(OperatorCommand):
    arguments: ClassVar[list[Argument]] = [
        argument("files", "Declaration files in TOML", optional=True, multiple=True)
    ]

    def apply_files(
        self,
        operation_id: str,
        dry_run: bool,
        delete_names: Iterable[str] = (),
        expected_versions: Mapping[str, int] = MappingProxyType({}),
    ) -> int:
        """Read the files, send them to the entry, write the result and return the exit code."""
        specs = read_declarations([Path(file) for file in self.argument("files")])
        request = pb.ApplyRequest(
            declarations=map(declaration_to_proto, specs),
            delete_names=delete_names,
            operation_id=operation_id,
            dry_run=dry_run,
            expected_versions=expected_versions,
        )
        response: pb.ApplyResponse = self.call_entry("Apply", request)
        self.emit_response(response, _changes_text(response, dry_run))
        code = exit_code_for_changes(response.changes)
        if code is ExitCode.OK and not dry_run:
            return self.on_applied(response.revision)
        return code

    def on_applied(self, revision: int) -> int:
        """Return the exit code after all changes have been accepted at a revision."""
        return ExitCode.OK


class ApplyCommand(_ChangeCommand):
    """Applies declaration files; idempotent."""

    name = "apply"
    description = "Declares what the files say; repeating it changes nothing"
    options: ClassVar[list[Option]] = [
        *OperatorCommand.options,
        option("dry-run", description="Validate and show the diff, write nothing"),
        value_option("operation-id", "Give the id of an unsure apply to repeat it"),
        option("delete", description="Delete a declaration", flag=False, multiple=True),
        option(
            "expect",
            description="NAME=VERSION: refuse if another version is in force; 0 for none",
            flag=False,
            multiple=True,
        ),
        option("wait", description="Wait until every node that is up has it"),
        value_option("wait-s", "Longest wait in seconds", str(DEFAULT_WAIT_S)),
    ]
    examples = (
        "chivehold apply bruma.toml kinisi.toml",
        "chivehold apply --dry-run bruma.toml",
        "chivehold apply --expect lector=12 bruma.toml",
        "chivehold apply --wait --delete casewriter loandesk.toml",
    )

    def handle(self) -> int:
        """Run the command."""
        delete_names = self.option("delete") or []
        if not self.argument("files") and not delete_names:
            raise CleoUserError("expected a declaration file or --delete")
        expected_versions = dict(map(_parse_expected_version, self.option("expect") or []))
        self._wait_s = _parse_seconds(self.option("wait-s"))
        operation_id = self.option("operation-id") or str(uuid.uuid4())
        try:
            code = self.apply_files(
                operation_id, bool(self.option("dry-run")), delete_names, expected_versions
            )
        except RpcFailed:
            self.emit_error(f"operation id: {operation_id}")
            raise
        if code == ExitCode.UNSURE:
            self.emit_error(f"operation id: {operation_id}")
        return code

    def on_applied(self, revision: int) -> int:
        """Wait for the nodes if requested, and report which of them have the revision."""
        if not self.option("wait"):
            return ExitCode.OK
        status = self._wait_for_nodes(revision)
        in_force = [node.name for node in status.nodes if node.revision >= revision]
        lagging = [node.name for node in status.nodes if _is_lagging(node, revision)]
        down = [node.name for node in status.nodes if node.state == "down"]
        self.emit_error(f"revision {revision} in force at {len(in_force)}: {' '.join(in_force)}")
        if down:
            self.emit_error(f"down: {' '.join(down)}")
        if lagging:
            self.emit_error(f"not yet at {len(lagging)}: {' '.join(lagging)}")
        return ExitCode.UNSURE if lagging else ExitCode.OK

    def _wait_for_nodes(self, revision: int) -> pb.StatusResponse:
        """Wait until all nodes have the revision or ``--wait-s`` passes; return the last status.

        If only nodes that are down lack it, the wait is limited to ``DOWN_NODES_WAIT_S``, which is
        long enough for the entry to learn the revision of a node that is up.
        """
        started_at = time.monotonic()
        while True:
            status: pb.StatusResponse = self.call_entry("Status", pb.StatusRequest())
            waited_s = time.monotonic() - started_at
            behind = [node for node in status.nodes if node.revision < revision]
            only_down = not any(_is_lagging(node, revision) for node in behind)
            if not behind or waited_s >= self._wait_s:
                return status
            if only_down and waited_s >= DOWN_NODES_WAIT_S:
                return status
            time.sleep(STATUS_POLL_S)


class DiffCommand(_ChangeCommand):
    """Shows what applying the files would change."""

    name = "diff"
    description = "Shows what applying the files would change"
    arguments: ClassVar[list[Argument]] = [
        argument("files", "Declaration files in TOML", multiple=True)
    ]
    examples = ("chivehold diff bruma.toml", "chivehold diff --output json bruma.toml")

    def handle(self) -> int:
        """Run the command."""
        return self.apply_files(str(uuid.uuid4()), dry_run=True)


def _changes_text(response: pb.ApplyResponse, dry_run: bool) -> str:
    diffs = [line for change in response.changes for line in change.diff]
    rows = list(_change_rows(response.changes))
    lines = [*diffs, table(CHANGE_HEADER, rows)]
    if not dry_run:
        lines.append(f"revision {response.revision}")
    return "\n".join(lines)


def _change_rows(changes: Iterable[pb.Change]) -> Iterator[tuple[object, ...]]:
    for change in changes:
        kind = enum_label(pb.ChangeKind.Name(change.kind), "CHANGE_KIND_")
        yield change.name, kind, change.version or "-", change.message


def _is_lagging(node: pb.NodeStatus, revision: int) -> bool:
    return node.state != "down" and node.revision < revision


def _parse_expected_version(text: str) -> tuple[str, int]:
    name, _, version = text.partition("=")
    if not (name and version.isascii() and version.isdigit()):
        raise CleoUserError(f"--expect: expected NAME=VERSION, found {text!r}")
    return name, int(version)


def _parse_seconds(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        raise CleoUserError(f"--wait-s: expected seconds, found {text!r}") from None
