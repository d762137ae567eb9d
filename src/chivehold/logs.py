"""Structured logging on ``logging``: one line per event, as key=value pairs or as JSON."""

import logging
import os
import sys
import time
from collections.abc import Callable, Iterator
from datetime import UTC, datetime
from enum import StrEnum
from typing import NamedTuple, TextIO

import msgspec

ROOT_LOGGER = "chivehold"
LEADING_FIELDS = ("step", "request", "attempt", "peer", "outcome", "reason", "detail")


class LogFormat(StrEnum):
    """Format of log lines."""

    KEY_VALUE = "key-value"
    JSON = "json"


class LogLevel(StrEnum):
    """Minimum severity of the events that are logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


def set_up_logging(
    log_format: LogFormat, level: LogLevel, node: str, stream: TextIO | None = None
) -> None:
    """Write this package's log events to a stream, one line each.

    Args:
        log_format: Format of the lines.
        level: Minimum severity of the events to log.
        node: Name of this process, included in every line.
        stream: Output stream; standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(_FORMATTERS[log_format](node))
    logger = logging.getLogger(ROOT_LOGGER)
    logger.handlers = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False


class RateLimitFilter(logging.Filter):
    """Token bucket that limits the lines per second and counts the dropped ones.

    Args:
        lines_per_s: Sustained rate, and also the size of a burst.
        clock: Returns monotonic time in seconds.
    """

    def __init__(self, lines_per_s: float, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._available_lines = lines_per_s
        self._refilled_at = clock()
        self.dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the line may be written."""
        now = self._clock()
        refill = (now - self._refilled_at) * self._lines_per_s
        self._available_lines = min(self._lines_per_s, self._available_lines + refill)
        self._refilled_at = now
        if self._available_lines < 1:
            self.dropped += 1
            return False
        self._available_lines -= 1
        return True


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor and drops lines while its reader is too slow.

    Args:
        fd: File descriptor, set to non-blocking.
    """

    def __init__(self, fd: int) -> None:
        super().__init__()
        os.set_blocking(fd, False)
        self._fd = fd
        self._pending = b""
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or count it as dropped."""
        line = self.format(record).encode() + b"\n"
        if self._pending and not self._write_pending():
            self.dropped += 1
            return
        self._pending = line
        self._write_pending()

    def _write_pending(self) -> bool:
        """Write the pending rest of the last line, and return whether it is complete.

        A partly written line is completed before the next one, so no line is truncated.
        """
        try:
            written = os.write(self._fd, self._pending)
        except OSError:
            # The reader is too slow or has closed the pipe; logging must neither block nor raise.
            return False
        self._pending = self._pending[written:]
        return not self._pending


class DroppedLogLines(NamedTuple):
    """Counts the log lines dropped by the rate limit and by the handler."""

    limit: RateLimitFilter
    handler: NonBlockingHandler

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the start."""
        return self.limit.dropped + self.handler.dropped


def set_up_bounded_logging(
    log_format: LogFormat, level: LogLevel, node: str, lines_per_s: float, fd: int = 1
) -> DroppedLogLines:
    """Write this package's log events to a file descriptor at a limited rate, without blocking.

    Args:
        log_format: Format of the lines.
        level: Minimum severity of the events to log.
        node: Name of this process, included in every line.
        lines_per_s: Sustained rate, and also the size of a burst.
        fd: File descriptor; standard output by default.

    Returns:
        A counter of the dropped lines.
    """
    handler = NonBlockingHandler(fd)
    handler.setFormatter(_FORMATTERS[log_format](node))
    limit = RateLimitFilter(lines_per_s)
    handler.addFilter(limit)
    logger = logging.getLogger(ROOT_LOGGER)
    logger.handlers = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False
    return DroppedLogLines(limit, handler)


def log_event(
    logger: logging.Logger,
    level: int,
    event: str,
    error: BaseException | None = None,
    **fields: object,
) -> None:
    """Log an event with its fields; those in ``LEADING_FIELDS`` come first.

    Args:
        logger: Logger of the calling module.
        level: A level of ``logging``.
        event: Name of the event, such as ``upstream unreachable``.
        error: Exception to log with its traceback.
        fields: Further fields, such as ``request`` and ``peer``; ``None`` and empty strings are
            omitted.
    """
    logger.log(level, event, exc_info=error, extra={"event_fields": fields})


class _LineFormatter(logging.Formatter):
    def __init__(self, node: str) -> None:
        super().__init__()
        self._node = node

    def _record_fields(self, record: logging.LogRecord) -> Iterator[tuple[str, object]]:
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
        return " ".join(f"{key}={_quote(str(value))}" for key, value in self._record_fields(record))


class _JsonFormatter(_LineFormatter):
    def format(self, record: logging.LogRecord) -> str:
        pairs = dict(self._record_fields(record))
        return msgspec.json.encode(pairs, enc_hook=str).decode()


_FORMATTERS: dict[LogFormat, type[_LineFormatter]] = {
    LogFormat.KEY_VALUE: _KeyValueFormatter,
    LogFormat.JSON: _JsonFormatter,
}


def _field_order(key: str) -> tuple[int, str]:
    return (LEADING_FIELDS.index(key) if key in LEADING_FIELDS else len(LEADING_FIELDS), key)


def _quote(text: str) -> str:
    """Return the text, JSON-encoded if it would not be a single word on a single line."""
    if text and text.isascii() and text.isprintable() and not set(text) & set(' "='):
        return text
    return msgspec.json.encode(text).decode()
