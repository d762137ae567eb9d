"""The network between the nodes of a run, and the state that they share."""

from collections.abc import Callable
from random import Random
from typing import Protocol

from chivehold.core import entry_messages, sidecar_messages
from chivehold.core.identity import AttemptId, EntryIncarnation, RequestId
from chivehold.fakes.engine_model import EngineModel
from examples.measure.clock import Clock

NETWORK_DELAY_S = 0.0005


class Callers(Protocol):
    """Receives what entries send to callers."""

    def record_tokens(self, request: RequestId, tokens: int) -> None:
        """Record tokens that reached a caller."""

    def record_finish(self, command: entry_messages.Finish) -> None:
        """Record the end of a request."""


class Entry(Protocol):
    """The interface of an entry to the network."""

    def feed(self, event: entry_messages.EntryEvent) -> None:
        """Handle an event."""


class Sidecar(Protocol):
    """The interface of a sidecar and its engine to the network."""

    engine: EngineModel

    def feed(self, event: sidecar_messages.SidecarEvent) -> None:
        """Handle an event."""

    def feed_with_reply(
        self,
        make_event: Callable[[int], sidecar_messages.SidecarEvent],
        on_reply: Callable[[object], None],
    ) -> None:
        """Handle an event, and call ``on_reply`` with the reply to it."""


class Network:
    """Delivers messages between nodes, and holds the KV caches and the faults of a run."""

    def __init__(self, clock: Clock, random: Random, callers: Callers) -> None:
        self.clock = clock
        self.random = random
        self.callers = callers
        self.entries: dict[EntryIncarnation, Entry] = {}
        self.sidecars: dict[str, Sidecar] = {}
        self.kv_expires_at: dict[str, float] = {}
        """By handle of a KV cache, when it expires on the virtual clock."""
        self.prefilled_by: dict[str, AttemptId] = {}
        """By handle of a KV cache, the attempt that prefilled it."""
        self.output_tokens: dict[RequestId, int] = {}
        """By request, the number of tokens that an engine will produce."""
        self.stall_share = 0.0
        self.report_delay_s = 0.0
        self.cache_events = True
        self.tokens_each_poll = False
        """Whether tokens are sent with each status poll, not only at a stream's start and end."""
        self.prefill_work_s: dict[AttemptId, float] = {}
        self.prefill_attempts: dict[AttemptId, AttemptId] = {}
        """By attempt of a decode, the attempt whose prefill it uses."""
        self.useful_prefills: dict[RequestId, AttemptId] = {}
        """By request, the attempt whose prefill its last output came from."""

    def send_to_entry(self, entry: EntryIncarnation, event: entry_messages.EntryEvent) -> None:
        """Deliver an event to an entry after the network delay, if the entry still runs."""
        self.clock.call_after(NETWORK_DELAY_S, self.deliver_to_entry, entry, event)

    def send_to_sidecar(self, upstream: str, event: sidecar_messages.SidecarEvent) -> None:
        """Deliver an event to a sidecar after the network delay."""
        self.clock.call_after(NETWORK_DELAY_S, self.sidecars[upstream].feed, event)

    def deliver_to_entry(self, entry: EntryIncarnation, event: entry_messages.EntryEvent) -> None:
        """Deliver an event to an entry now, if the entry still runs."""
        entry_node = self.entries.get(entry)
        if entry_node is not None:
            entry_node.feed(event)
