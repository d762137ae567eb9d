"""Logs by the standard library's ``logging``: one line an event, as key=value pairs or as JSON."""

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


class RateLimitFilter(logging.Filter):
    """Lets through a bounded number of lines a second and counts the rest.

    Args:
        lines_per_s: Lines let through in the long run; as many more in a burst.
        clock: Returns monotonic seconds.
    """

    def __init__(self, lines_per_s: float, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._available_lines = lines_per_s
        self._refilled_at = clock()
        self.dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Tell whether a line may be written."""
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
    """Writes lines to a file descriptor and drops what its reader is too slow for.

    Args:
        fd: The descriptor; it is made non-blocking.
    """

    def __init__(self, fd: int) -> None:
        super().__init__()
        os.set_blocking(fd, False)
        self._fd = fd
        self._pending = b""
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as dropped."""
        line = self.format(record).encode() + b"\n"
        if self._pending and not self._write_pending():
            self.dropped += 1
            return
        self._pending = line
        self._write_pending()

    def _write_pending(self) -> bool:
        """Write what is left of the last line; a line is never cut in the middle for good."""
        try:
            written = os.write(self._fd, self._pending)
        except OSError:
            # The reader is slow or gone; logging must neither wait nor fail for that.
            return False
        self._pending = self._pending[written:]
        return not self._pending


class DroppedLogLines(NamedTuple):
    """Where lines were left out."""

    limit: RateLimitFilter
    handler: NonBlockingHandler

    @property
    def dropped(self) -> int:
        """Lines left out since the start."""
        return self.limit.dropped + self.handler.dropped


def set_up_bounded_logging(
    log_format: LogFormat, level: LogLevel, node: str, lines_per_s: float, fd: int = 1
) -> DroppedLogLines:
    """Send this package's log events to standard output, never waiting for its reader.

    Args:
        log_format: The form of the lines.
        level: The least severe events to log.
        node: The name of this process, repeated on every line.
        lines_per_s: Bound of the volume in the long run.
        fd: Where to write.
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
    """Log one event with its fields; those named in ``LEADING_FIELDS`` come first.

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
    """Return the text so that one event stays on one line and one value one word."""
    if text and text.isascii() and text.isprintable() and not set(text) & set(' "='):
        return text
    return msgspec.json.encode(text).decode()
