"""Heads of responses that are none in the protocol."""

import pytest

MALFORMED_HEADS = [
    pytest.param(b"HTTP/1.1 000 Trouble", id="status 000"),
    pytest.param(b"HTTP/1.1 099 Trouble", id="status 099"),
    pytest.param(b"HTTP/1.1 600 Trouble", id="status 600"),
    pytest.param(b"HTTP/1.1 999 Trouble", id="status 999"),
    pytest.param(b"HTTP/1.1 200 OK\r\nX A: 1", id="blank in a name"),
    pytest.param(b"HTTP/1.1 200 OK\r\nX-A : 1", id="blank after a name"),
    pytest.param(b"HTTP/1.1 200 OK\r\nX\tA: 1", id="tab in a name"),
    pytest.param(b"HTTP/1.1 200 OK\r\nX\x01A: 1", id="control byte in a name"),
    pytest.param(b"HTTP/1.1 200 OK\r\nX\x00A: 1", id="null byte in a name"),
    pytest.param(b"HTTP/1.1 200 OK\r\nX\rA: 1", id="carriage return in a name"),
    pytest.param(b"HTTP/1.1 200 OK\r\nX\x7fA: 1", id="delete in a name"),
    pytest.param(b"HTTP/1.1 200 OK\r\n: 1", id="no name"),
    pytest.param(b"HTTP/1.1 200 OK\r\nX-A", id="no colon"),
    pytest.param(b"HTTP/1.1 200 OK\r\n X-A: 1", id="blank before the first name"),
    pytest.param(b"HTTP/1.1 200 OK\r\nX-A: 1\r\n Content-Length: 2", id="blank before a name"),
    pytest.param(b"HTTP/1.1 200 OK\r\nX-A: 1\r\n\tContent-Length: 2", id="tab before a name"),
    pytest.param(b"HTTP/1.1 200 OK\nX-A: 1\n Content-Length: 2", id="blank before a name, LF"),
    pytest.param(b"HTTP/1.1 200 OK\r\nX-A: 1\r\n \r\nX-B: 2", id="blank line"),
    pytest.param(
        b"HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n X-B: 2\r\n\r\nHTTP/1.1 200 OK",
        id="blank before a name of an interim response",
    ),
]
"""Each without its further fields and the empty line at its end."""
