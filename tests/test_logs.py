"""Log lines."""

import io
import json
import logging

from chivehold.logs import LogFormat, LogLevel, log_event, set_up_logging

LOGGER = logging.getLogger("chivehold.test")


def _line(log_format: LogFormat, **fields: object) -> str:
    stream = io.StringIO()
    set_up_logging(log_format, LogLevel.INFO, "entry-1", stream)
    log_event(LOGGER, logging.DEBUG, "not logged")
    log_event(LOGGER, logging.WARNING, "link lost", **fields)
    return stream.getvalue()


class TestLogs:
    def test_key_value_stays_on_one_line(self) -> None:
        """A hostile value can neither start a new line nor forge a key."""
        line = _line(LogFormat.KEY_VALUE, peer="a\nlevel=info", request="r-1", attempt=2)
        assert line.count("\n") == 1
        assert 'event="link lost" request=r-1 attempt=2 peer="a\\nlevel=info"' in line

    def test_json(self) -> None:
        """Each line is one JSON object with the fields given."""
        record = json.loads(_line(LogFormat.JSON, request="r-1", peer="x:1", reason=None))
        assert record["event"] == "link lost"
        assert (record["node"], record["request"], record["peer"]) == ("entry-1", "r-1", "x:1")
        assert "reason" not in record
