"""Helpers that feed events to a sidecar's core and read its commands."""

from collections.abc import Iterable
from typing import Any, TypeVar

from chivehold.core.identity import (
    AttemptId,
    EntryIncarnation,
    Organisation,
    RequestId,
    Role,
    SidecarIncarnation,
    TargetName,
    Urgency,
)
from chivehold.core.policy import Policy
from chivehold.core.sidecar import SidecarCore
from chivehold.core.sidecar_messages import (
    EngineStatus,
    ImportArrived,
    OfferArrived,
    PrefillArrived,
    SendFrame,
    SendPrefillResult,
    SidecarCommand,
    SidecarConfig,
    SidecarEvent,
    Tick,
)
from chivehold.core.wire import AttemptOffer, FrameKind, ImportOrder, PrefillOrder, Reason

CommandT = TypeVar("CommandT")
CONFIG = SidecarConfig("s1", Role.DECODE, 2, 0.1, 1.5, 0.0, 1_000.0, 600.0)
ENTRY = EntryIncarnation("e1")


def attempt(name: str) -> AttemptId:
    return AttemptId(RequestId(name), 1)


def offer(name: str, **changes: Any) -> AttemptOffer:
    base = AttemptOffer(
        attempt=attempt(name),
        entry=ENTRY,
        incarnation=SidecarIncarnation("s1"),
        target=TargetName("lector"),
        organisation=Organisation("bruma"),
        share_weight=1.0,
        urgency=Urgency.URGENT,
        waited_s=0.0,
        start_within_s=60.0,
        deadline_in_s=90.0,
        max_tokens=100,
    )
    return base._replace(**changes)


def prefill(name: str, **changes: Any) -> PrefillOrder:
    base = PrefillOrder(
        attempt=attempt(name),
        entry=ENTRY,
        incarnation=SidecarIncarnation("s1"),
        target=TargetName("lector"),
        organisation=Organisation("bruma"),
        urgency=Urgency.URGENT,
        prompt="",
        prompt_tokens=1_000,
        prefix_blocks=(),
        start_within_s=60.0,
        deadline_in_s=90.0,
    )
    return base._replace(**changes)


class Driver:
    """Feeds events to one core; `sent` keeps every command."""

    def __init__(self, policy: Policy | None = None, ready: bool = True, **config: Any) -> None:
        self.core = SidecarCore(CONFIG._replace(**config), policy or Policy())
        self.sent: list[SidecarCommand] = []
        self.now = 0.0
        if ready:
            self.feed(EngineStatus(True, False, ()))

    def feed(self, event: SidecarEvent, at: float | None = None) -> list[SidecarCommand]:
        self.now = self.now if at is None else at
        commands = list(self.core.handle(event, self.now))
        self.sent += commands
        return commands

    def tick_until(self, end: float) -> list[SidecarCommand]:
        """Feed ticks until `end`, only at the times the core asks for."""
        seen: list[SidecarCommand] = []
        while (due := self.core.next_wakeup()) is not None and due <= end:
            seen += self.feed(Tick(), max(due, self.now))
            assert self.core.next_wakeup() != due, "the core asks for the same tick again"
        self.now = end
        return seen

    def offer(self, name: str, **changes: Any) -> str:
        return outcome(self.feed(OfferArrived(offer(name, **changes))), name)

    def prefill(self, name: str, **changes: Any) -> list[SidecarCommand]:
        return self.feed(PrefillArrived(prefill(name, **changes)))

    def import_kv(self, name: str, kv_bytes: int = 0, expires: float = 0.8) -> list[Any]:
        order = ImportOrder(attempt(name), "h", "p:1", kv_bytes, 0, expires)
        return self.feed(ImportArrived(7, order))

    def run(self, name: str, **changes: Any) -> None:
        self.offer(name, **changes)
        self.import_kv(name)


def of_type(commands: Iterable[object], kind: type[CommandT]) -> list[CommandT]:
    return [command for command in commands if isinstance(command, kind)]


def outcome(commands: Iterable[object], name: str) -> str:
    """Return the last frame of an attempt, such as `granted` or `refused:full`."""
    frames = [sent.frame for sent in of_type(commands, SendFrame)]
    attempt_frames = [frame for frame in frames if frame.attempt == attempt(name)]
    if not attempt_frames:
        return ""
    reason = attempt_frames[-1].reason
    return attempt_frames[-1].kind.value + (f":{reason.value}" if reason else "")


def results(commands: Iterable[object]) -> list[tuple[str, Reason | None]]:
    return [
        (sent.result.attempt.request, sent.result.reason)
        for sent in of_type(commands, SendPrefillResult)
    ]


def granted(commands: Iterable[object]) -> list[str]:
    frames = [sent.frame for sent in of_type(commands, SendFrame)]
    return [frame.attempt.request for frame in frames if frame.kind is FrameKind.GRANTED]
