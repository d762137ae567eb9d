"""Sends this entry's usage reports and applies those of the others, while there are quotas."""

import logging
import math

import trio

from chivehold.core.direct.gossip import Gossip
from chivehold.core.direct.routes import RouteTable
from chivehold.core.direct.shared_quotas import OutgoingReport, ReceivedReport, SharedQuotas
from chivehold.direct.gossip_socket import GossipSocket
from chivehold.logs import log_event
from chivehold.rpc.convert_gossip import encode_usage

_log = logging.getLogger(__name__)


class UsageExchange:
    """Runs the exchange of usage reports only while an organisation has a quota.

    Args:
        name: The name of this entry.
        quotas: The quotas of this entry.
        gossip: The addresses of the other entries.
        socket: Sends the reports.
        nursery: Runs the task that sends them.
    """

    def __init__(
        self,
        name: str,
        quotas: SharedQuotas,
        gossip: Gossip,
        socket: GossipSocket,
        nursery: trio.Nursery,
    ) -> None:
        self._name = name
        self._quotas = quotas
        self._gossip = gossip
        self._socket = socket
        self._nursery = nursery
        self._sending: trio.CancelScope | None = None
        self._wake = trio.Event()
        self._asleep_until = -math.inf

    def apply_routes(self, table: RouteTable) -> None:
        """Apply the organisations of a new configuration."""
        was_active = self._quotas.is_active
        self._quotas.configure(table.organisations, trio.current_time())
        if self._quotas.is_active == was_active:
            return
        log_event(_log, logging.INFO, "quotas changed", active=self._quotas.is_active)
        if self._sending is not None:
            self._sending.cancel()
            self._sending = None
        if self._quotas.is_active:
            self._sending = trio.CancelScope()
            self._nursery.start_soon(self._send_reports, self._sending)

    def receive(self, received: ReceivedReport) -> None:
        """Apply a report of another entry."""
        self._quotas.receive(received, trio.current_time())
        self.reschedule()

    def reschedule(self) -> None:
        """Send the next report earlier if it has become due earlier."""
        if self._quotas.next_report_at() < self._asleep_until:
            self._wake.set()

    async def _send_reports(self, scope: trio.CancelScope) -> None:
        with scope:
            while True:
                self._asleep_until = self._quotas.next_report_at()
                with trio.move_on_at(self._asleep_until):
                    await self._wake.wait()
                self._wake = trio.Event()
                outgoing = self._quotas.next_report(trio.current_time())
                if outgoing is not None:
                    await self._send(outgoing)

    async def _send(self, outgoing: OutgoingReport) -> None:
        listed = self._gossip.listed
        addresses = {listed[name] for name in outgoing.listed if name in listed}
        datagram = encode_usage(self._name, outgoing.report)
        await self._socket.send(datagram, sorted(addresses.union(outgoing.addresses)))
