"""Logs by the standard library's ``logging``: one line an event, as key=value pairs or as JSON."""

import logging
import sys
from collections.abc import Iterator
from datetime import UTC, datetime
from enum import StrEnum
from typing import TextIO

import msgspec

ROOT_LOGGER = "chivehold"
FIELDS = ("step", "request", "attempt", "peer", "outcome", "reason", "detail")


class LogFormat(StrEnum):
    """The form of a log line."""

    KEY_VALUE = "key-value"
    JSON = "json"


class LogLevel(StrEnum):
    """The least severe events that are logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


def set_up_logging(
    log_format: LogFormat, level: LogLevel, node: str, stream: TextIO | None = None
) -> None:
    """Send this package's log events to a stream, one line each.

    Args:
        log_format: The form of the lines.
        level: The least severe events to log.
        node: The name of this process, repeated on every line.
        stream: Where to write; standard error where none is given.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(_FORMATTERS[log_format](node))
    logger = logging.getLogger(ROOT_LOGGER)
    logger.handlers = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False


def log_event(
    logger: logging.Logger,
    level: int,
    event: str,
    error: BaseException | None = None,
    **fields: object,
) -> None:
    """Log one event with its fields; those named in ``FIELDS`` come first.

    Args:
        logger: The module's logger.
        level: A level of ``logging``.
        event: What happened, as ``upstream unreachable``.
        error: Logged with its trace where given.
        fields: Further facts, as ``request`` and ``peer``; ``None`` and empty ones are left out.
    """
    logger.log(level, event, exc_info=error, extra={"event_fields": fields})


class _LineFormatter(logging.Formatter):
    def __init__(self, node: str) -> None:
        super().__init__()
        self._node = node

    def _pairs(self, record: logging.LogRecord) -> Iterator[tuple[str, object]]:
        yield "time", datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds")
        yield "level", record.levelname.lower()
        yield "node", self._node
        yield "event", record.getMessage()
        fields: dict[str, object] = getattr(record, "event_fields", {})
        for key in sorted(fields, key=_field_order):
            if fields[key] not in (None, ""):
                yield key, fields[key]
        if record.exc_info and record.exc_info[0] is not None:
            yield "error", self.formatException(record.exc_info)


class _KeyValueFormatter(_LineFormatter):
    def format(self, record: logging.LogRecord) -> str:
        return " ".join(f"{key}={_quoted(str(value))}" for key, value in self._pairs(record))


class _JsonFormatter(_LineFormatter):
    def format(self, record: logging.LogRecord) -> str:
        pairs = dict(self._pairs(record))
        return msgspec.json.encode(pairs, enc_hook=str).decode()


_FORMATTERS: dict[LogFormat, type[_LineFormatter]] = {
    LogFormat.KEY_VALUE: _KeyValueFormatter,
    LogFormat.JSON: _JsonFormatter,
}


def _field_order(key: str) -> tuple[int, str]:
    return (FIELDS.index(key) if key in FIELDS else len(FIELDS), key)


def _quoted(text: str) -> str:
    """Return the text so that one event stays on one line and one value one word."""
    if text and text.isascii() and text.isprintable() and not set(text) & set(' "='):
        return text
    return msgspec.json.encode(text).decode()
