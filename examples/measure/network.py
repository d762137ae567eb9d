"""What joins the nodes of a run: names, delays and the state of the world between them."""

from collections.abc import Callable
from random import Random
from typing import Protocol

from chivehold.core import entry_messages, sidecar_messages
from chivehold.core.identity import AttemptId, EntryIncarnation, RequestId
from chivehold.fakes.engine_model import EngineModel
from examples.measure.clock import Clock

NETWORK_DELAY_S = 0.0005


class Callers(Protocol):
    """What entries tell the callers."""

    def record_tokens(self, request: RequestId, tokens: int) -> None:
        """Tokens reached a caller."""

    def record_finish(self, command: entry_messages.Finish) -> None:
        """A request ended."""


class Entry(Protocol):
    """A running entry as the network sees it."""

    def feed(self, event: entry_messages.EntryEvent) -> None:
        """Take an event."""


class Sidecar(Protocol):
    """A sidecar with its engine, as the network sees it."""

    engine: EngineModel

    def feed(self, event: sidecar_messages.SidecarEvent) -> None:
        """Take an event."""

    def feed_with_reply(
        self,
        make_event: Callable[[int], sidecar_messages.SidecarEvent],
        on_reply: Callable[[object], None],
    ) -> None:
        """Take an event that wants an answer."""


class Network:
    """Names of nodes, the KV caches that exist, and what a run's faults do to messages."""

    def __init__(self, clock: Clock, random: Random, callers: Callers) -> None:
        self.clock = clock
        self.random = random
        self.callers = callers
        self.entries: dict[EntryIncarnation, Entry] = {}
        self.sidecars: dict[str, Sidecar] = {}
        self.kv_expires_at: dict[str, float] = {}
        self.prefilled_by: dict[str, AttemptId] = {}
        self.output_tokens: dict[RequestId, int] = {}
        self.stall_share = 0.0
        self.report_delay_s = 0.0
        self.cache_events = True
        self.tokens_each_poll = False
        """Emit tokens with each poll, not only the first and the last of a stream."""
        self.prefill_work_s: dict[AttemptId, float] = {}
        self.prefill_attempts: dict[AttemptId, AttemptId] = {}
        self.useful_prefills: dict[RequestId, AttemptId] = {}
        """The attempt whose prefill led to a request's last output."""

    def send_to_entry(self, entry: EntryIncarnation, event: entry_messages.EntryEvent) -> None:
        """Deliver an event to an entry, if it still runs."""
        self.clock.call_after(NETWORK_DELAY_S, self.deliver_to_entry, entry, event)

    def send_to_sidecar(self, upstream: str, event: sidecar_messages.SidecarEvent) -> None:
        """Deliver an event to a sidecar."""
        self.clock.call_after(NETWORK_DELAY_S, self.sidecars[upstream].feed, event)

    def deliver_to_entry(self, entry: EntryIncarnation, event: entry_messages.EntryEvent) -> None:
        """Hand an event to an entry now, if it still runs."""
        entry_node = self.entries.get(entry)
        if entry_node is not None:
            entry_node.feed(event)
