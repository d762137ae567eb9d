"""Exit codes of the command line and their mapping from failures."""

from collections.abc import Iterable
from enum import IntEnum

import grpc

from chivehold.rpc import chivehold_pb2 as pb


class ExitCode(IntEnum):
    """Exit code of a command."""

    OK = 0
    REFUSED = 1
    """Refused, invalid or in conflict: no change is in force."""
    USAGE = 2
    UNSURE = 3
    """The entry or the platform is unavailable, or the outcome is unknown."""


_REFUSED_STATUSES = (
    grpc.StatusCode.INVALID_ARGUMENT,
    grpc.StatusCode.NOT_FOUND,
    grpc.StatusCode.FAILED_PRECONDITION,
    grpc.StatusCode.UNAUTHENTICATED,
    grpc.StatusCode.PERMISSION_DENIED,
)
_REFUSED_KINDS = (pb.CHANGE_KIND_CONFLICT, pb.CHANGE_KIND_INVALID)
_UNSURE_KINDS = (pb.CHANGE_KIND_REFUSED, pb.CHANGE_KIND_UNSURE)


def exit_code_for_status(code: grpc.StatusCode) -> ExitCode:
    """Return the exit code for the status of a failed call."""
    return ExitCode.REFUSED if code in _REFUSED_STATUSES else ExitCode.UNSURE


def exit_code_for_changes(changes: Iterable[pb.Change]) -> ExitCode:
    """Return the exit code for the changes in a response to ``Apply``."""
    kinds = {change.kind for change in changes}
    if kinds.intersection(_UNSURE_KINDS):
        return ExitCode.UNSURE
    return ExitCode.REFUSED if kinds.intersection(_REFUSED_KINDS) else ExitCode.OK
