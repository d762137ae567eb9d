"""Exchanges datagrams with the other entries.

A fact goes to many entries at once and nobody waits for an answer, so no connections are kept: one
that has gone silent would delay a fact by a timeout.
"""

import logging
from collections.abc import Callable, Iterable
from typing import NamedTuple

import trio

from chivehold.core.direct.gossip import Gossip, GossipItem
from chivehold.core.direct.shared_quotas import ReceivedReport
from chivehold.exceptions import Malformed
from chivehold.logs import log_event
from chivehold.rpc.convert_gossip import decode_message, encode_message

MAX_DATAGRAM_BYTES = 65_535

ItemHandler = Callable[[GossipItem], None]
"""Called with each fact that another entry has published and that is new."""

ReportHandler = Callable[[ReceivedReport], None]
"""Called with each report of another entry on the use of quotas."""

_log = logging.getLogger(__name__)


class GossipTraffic(NamedTuple):
    """Datagrams since the start."""

    sent: int = 0
    received: int = 0
    sent_bytes: int = 0
    unreadable: int = 0


class GossipSocket:
    """Sends and receives the messages of one entry.

    Args:
        gossip: What this entry knows.
        on_item: Called with each fact that is new.
        on_report: Called with each report on the use of quotas.
    """

    def __init__(
        self,
        gossip: Gossip,
        on_item: ItemHandler,
        on_report: ReportHandler = lambda received: None,
    ) -> None:
        self._gossip = gossip
        self._on_item = on_item
        self._on_report = on_report
        self._socket: trio.socket.SocketType | None = None
        self._wake = trio.Event()
        self.traffic = GossipTraffic()

    def publish(self, item: GossipItem) -> None:
        """Send a fact of this entry to the others."""
        if self._gossip.publish(item, trio.current_time()):
            self._wake.set()

    async def send(self, datagram: bytes, addresses: Iterable[str]) -> None:
        """Send a datagram to other entries; does nothing while no address is bound."""
        if self._socket is not None:
            for address in addresses:
                await self._send_to(self._socket, address, datagram)

    async def run(
        self, address: str, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Exchange messages until cancelled.

        Args:
            address: ``host:port`` to listen on; port 0 binds a free port.
            task_status: Reports the bound ``host:port``.

        Raises:
            OSError: The address cannot be bound.
        """
        host, _, port = address.rpartition(":")
        family = trio.socket.AF_INET6 if ":" in host else trio.socket.AF_INET
        with trio.socket.socket(family, trio.socket.SOCK_DGRAM) as sock:
            await sock.bind((host.strip("[]"), int(port)))
            bound = f"{host}:{sock.getsockname()[1]}"
            self._gossip.set_address(bound)
            self._socket = sock
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, sock)
                nursery.start_soon(self._send, sock)
                task_status.started(bound)

    async def _receive(self, sock: trio.socket.SocketType) -> None:
        while True:
            try:
                datagram, sender = await sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                # An earlier datagram could not be delivered; the socket itself is sound.
                log_event(_log, logging.DEBUG, "datagram undeliverable", error)
                continue
            now = trio.current_time()
            traffic = self.traffic
            self.traffic = traffic._replace(received=traffic.received + 1)
            try:
                message = decode_message(datagram, now)
            except Malformed as error:
                self.traffic = self.traffic._replace(unreadable=traffic.unreadable + 1)
                log_event(_log, logging.WARNING, "datagram unreadable", error, sender=sender[0])
                continue
            if message.usage is not None:
                address = _address_text(sender)
                self._on_report(ReceivedReport(message.sender, address, message.usage))
                continue
            for item in self._gossip.receive(message, now):
                self._on_item(item)
            self._wake.set()

    async def _send(self, sock: trio.socket.SocketType) -> None:
        while True:
            with trio.move_on_at(self._gossip.next_due(trio.current_time())):
                await self._wake.wait()
            self._wake = trio.Event()
            now = trio.current_time()
            for outgoing in self._gossip.outgoing(now):
                await self._send_to(sock, outgoing.address, encode_message(outgoing.message, now))

    async def _send_to(self, sock: trio.socket.SocketType, address: str, datagram: bytes) -> None:
        host, _, port = address.rpartition(":")
        try:
            await sock.sendto(datagram, (host.strip("[]"), int(port)))
        except (OSError, ValueError) as error:
            log_event(_log, logging.DEBUG, "datagram not sent", error, peer=address)
            return
        traffic = self.traffic
        self.traffic = traffic._replace(
            sent=traffic.sent + 1, sent_bytes=traffic.sent_bytes + len(datagram)
        )


def _address_text(address: tuple[str, int]) -> str:
    """Return ``host:port`` of a socket address."""
    host, port = address[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
