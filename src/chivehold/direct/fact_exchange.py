"""Tells facts of this entry to the others and passes on what they have told."""

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
    """Connects the parts of an entry that tell and learn facts with the gossip.

    Args:
        incarnation: This run of the entry; part of the ids of its facts.
        tell_item: Tells an encoded fact to the other entries.
    """

    def __init__(
        self, incarnation: EntryIncarnation, tell_item: Callable[[GossipItem], None]
    ) -> None:
        self._incarnation = incarnation
        self._tell_item = tell_item
        self._handlers: dict[type, FactHandler] = {}
        self._told = 0

    def subscribe(self, fact_type: type[FactT], handler: Callable[[FactT], None]) -> None:
        """Have a handler called with each fact of a type that another entry has told."""
        self._handlers[fact_type] = cast(FactHandler, handler)

    def tell(self, fact: Fact, lifetime_s: float, fact_id: str | None = None) -> None:
        """Tell a fact to the other entries.

        Args:
            fact: The fact.
            lifetime_s: Time for which the entries remember it, in seconds.
            fact_id: The same for a fact that several entries tell; unique by default.
        """
        now = trio.current_time()
        self._told += 1
        item_id = fact_id or f"{self._incarnation}/{self._told}"
        self._tell_item(GossipItem(item_id, encode_fact(fact, now), now, lifetime_s))

    def learn(self, item: GossipItem) -> None:
        """Take in what another entry has told; kinds of later versions mean nothing here."""
        try:
            fact = decode_fact(item)
        except Malformed as error:
            log_event(_log, logging.WARNING, "fact unreadable", error, item=item.item_id)
            return
        if fact is not None and type(fact) in self._handlers:
            self._handlers[type(fact)](fact)
