"""Addresses of the programs that tests start."""

import socket

from tests.processes import own_address


class TestOwnAddress:
    # Guards against EADDRINUSE when a program is started again at its port.
    def test_port_stays_free(self) -> None:
        """A port of an address of its own can be bound while others have that port."""
        host, _, _ = own_address().partition(":")
        with socket.socket() as other, socket.socket() as own:
            other.bind(("127.0.0.1", 0))
            other.listen()
            port = other.getsockname()[1]
            own.bind((host, port))
            assert own.getsockname() == (host, port)

    def test_addresses_differ(self) -> None:
        """Programs do not share addresses, nor do test runs."""
        assert len({own_address() for _ in range(100)}) > 90
