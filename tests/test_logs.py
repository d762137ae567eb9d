"""Formatting and limits of log lines."""

import io
import json
import logging
import os
from contextlib import suppress

from chivehold.logs import (
    LogFormat,
    LogLevel,
    NonBlockingHandler,
    RateLimitFilter,
    log_event,
    set_up_logging,
)

LOGGER = logging.getLogger("chivehold.test")


def _line(log_format: LogFormat, **fields: object) -> str:
    stream = io.StringIO()
    set_up_logging(log_format, LogLevel.INFO, "entry-1", stream)
    log_event(LOGGER, logging.DEBUG, "not logged")
    log_event(LOGGER, logging.WARNING, "link lost", **fields)
    return stream.getvalue()


class TestLogs:
    def test_key_value_stays_on_one_line(self) -> None:
        """A malicious value can neither start a new line nor inject a key."""
        line = _line(LogFormat.KEY_VALUE, peer="a\nlevel=info", request="r-1", attempt=2)
        assert line.count("\n") == 1
        assert 'event="link lost" request=r-1 attempt=2 peer="a\\nlevel=info"' in line

    def test_json(self) -> None:
        """Each line is a JSON object with the given fields."""
        record = json.loads(_line(LogFormat.JSON, request="r-1", peer="x:1", reason=None))
        assert record["event"] == "link lost"
        assert (record["node"], record["request"], record["peer"]) == ("entry-1", "r-1", "x:1")
        assert "reason" not in record


class TestBounds:
    def test_rate_is_limited_and_dropped_lines_are_counted(self) -> None:
        """A flood of lines is limited to the rate, and the dropped lines are counted."""
        now = [0.0]
        limit = RateLimitFilter(10.0, lambda: now[0])
        record = logging.LogRecord("chivehold", logging.INFO, "", 0, "event", None, None)
        assert sum(limit.filter(record) for _ in range(100)) == 10
        now[0] = 0.5
        assert sum(limit.filter(record) for _ in range(100)) == 5
        assert limit.dropped == 185

    def test_slow_reader_does_not_block(self) -> None:
        """Lines that do not fit the pipe are dropped whole; written lines are not truncated."""
        reader, writer = os.pipe()
        try:
            handler = NonBlockingHandler(writer)
            for number in range(2_000):
                text = f"line {number} " + "x" * 200
                record = logging.LogRecord("chivehold", logging.INFO, "", 0, text, None, None)
                handler.emit(record)
            assert handler.dropped > 0
            os.set_blocking(reader, False)
            received = b""
            with suppress(BlockingIOError):
                while part := os.read(reader, 65_536):
                    received += part
            *lines, rest = received.split(b"\n")
            assert all(line.startswith(b"line ") and line.endswith(b"x") for line in lines)
            assert [int(line.split()[1]) for line in lines] == list(range(len(lines)))
            assert len(rest) < 300
        finally:
            os.close(reader)
            os.close(writer)

    def test_closed_pipe_is_not_an_error(self) -> None:
        """Lines written to a closed pipe are dropped without an exception."""
        reader, writer = os.pipe()
        os.close(reader)
        try:
            handler = NonBlockingHandler(writer)
            record = logging.LogRecord("chivehold", logging.INFO, "", 0, "event", None, None)
            handler.emit(record)
            handler.emit(record)
            assert handler.dropped == 1
        finally:
            os.close(writer)
