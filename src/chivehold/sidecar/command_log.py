"""Logs the events of attempts and prefills from the core's commands."""

import logging

from chivehold.core.identity import AttemptId
from chivehold.core.sidecar_messages import (
    CancelAtEngine,
    SendFrame,
    SendPrefillResult,
    SidecarCommand,
)
from chivehold.core.wire import FrameKind, PrefillKind, Reason
from chivehold.logs import log_event

_log = logging.getLogger(__name__)


def log_command(command: SidecarCommand) -> None:
    """Log failed attempts and prefills as warnings, and their other events at debug level."""
    if isinstance(command, SendFrame):
        frame = command.frame
        if frame.kind is FrameKind.FAILED:
            _event(logging.WARNING, "attempt failed", frame.attempt, command.entry, frame.reason)
        elif frame.kind is not FrameKind.TOKENS:
            event = f"attempt {frame.kind}"
            _event(logging.DEBUG, event, frame.attempt, command.entry, frame.reason)
    elif isinstance(command, SendPrefillResult):
        result = command.result
        level = logging.WARNING if result.kind is PrefillKind.FAILED else logging.DEBUG
        _event(level, f"prefill {result.kind}", result.attempt, command.entry, result.reason)
    elif isinstance(command, CancelAtEngine):
        _event(logging.DEBUG, "cancel sent", command.attempt, "", None)


def _event(level: int, event: str, attempt: AttemptId, peer: str, reason: Reason | None) -> None:
    if not _log.isEnabledFor(level):
        return
    log_event(
        _log,
        level,
        event,
        request=attempt.request,
        attempt=attempt.number,
        peer=peer,
        reason=reason,
    )
