"""Publishes facts of this entry to the others and delivers theirs."""

import logging
from collections.abc import Callable
from typing import TypeVar, cast

import trio

from chivehold.core.direct.facts import Fact
from chivehold.core.direct.gossip import GossipItem
from chivehold.core.identity import EntryIncarnation
from chivehold.exceptions import Malformed
from chivehold.logs import log_event
from chivehold.rpc.convert_gossip import decode_fact, encode_fact

_log = logging.getLogger(__name__)

FactT = TypeVar("FactT", bound=Fact)
FactHandler = Callable[[Fact], None]


class FactExchange:
    """Connects the parts of an entry that publish and receive facts with the gossip.

    Args:
        incarnation: This run of the entry; part of the ids of its facts.
        send_item: Tells an encoded fact to the other entries.
    """

    def __init__(
        self, incarnation: EntryIncarnation, send_item: Callable[[GossipItem], None]
    ) -> None:
        self._incarnation = incarnation
        self._send_item = send_item
        self._handlers: dict[type, FactHandler] = {}
        self._published = 0

    def subscribe(self, fact_type: type[FactT], handler: Callable[[FactT], None]) -> None:
        """Have a handler called with each fact of a type that another entry has published."""
        self._handlers[fact_type] = cast(FactHandler, handler)

    def publish(self, fact: Fact, lifetime_s: float, fact_id: str | None = None) -> None:
        """Publish a fact to the other entries.

        Args:
            fact: The fact.
            lifetime_s: Time for which the entries remember it, in seconds.
            fact_id: The same for a fact that several entries publish; unique by default.
        """
        now = trio.current_time()
        self._published += 1
        item_id = fact_id or f"{self._incarnation}/{self._published}"
        self._send_item(GossipItem(item_id, encode_fact(fact, now), now, lifetime_s))

    def receive(self, item: GossipItem) -> None:
        """Deliver a fact of another entry; kinds of later versions mean nothing here."""
        try:
            fact = decode_fact(item)
        except Malformed as error:
            log_event(_log, logging.WARNING, "fact unreadable", error, item=item.item_id)
            return
        if fact is not None and type(fact) in self._handlers:
            self._handlers[type(fact)](fact)
