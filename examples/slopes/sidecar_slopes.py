"""Measures memory and processor time of a sidecar's core, without its network code."""

from collections.abc import Iterator

from chivehold.core.identity import (
    AttemptId,
    EntryIncarnation,
    KeyId,
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
    HeartbeatArrived,
    KeyCommitArrived,
    KeyRegisterArrived,
    OfferArrived,
    SidecarConfig,
    SidecarEvent,
    StreamClosed,
)
from chivehold.core.wire import AttemptOffer, Heartbeat, KeyCommit, KeyRegistration
from examples.slopes.costs import min_cpu_us, retained_bytes
from examples.slopes.fit import Slope, measure_line

INCARNATION = SidecarIncarnation("sidecar.1")
RETENTION_S = 3600.0
PLACES = 20
TARGET = TargetName("model-0")
ORGANISATION = Organisation("organisation-0001")


class _Sidecar:
    """A sidecar's core whose engine is ready."""

    def __init__(self) -> None:
        config = SidecarConfig(
            INCARNATION,
            Role.DECODE,
            PLACES,
            0.1,
            1.5,
            1e9,
            10_000.0,
            RETENTION_S,
            waiting_most=100_000,
        )
        self.core = SidecarCore(config, Policy())
        self.now = 0.0
        self.feed(EngineStatus(True, False, ()))
        self.now = 2 * RETENTION_S
        self.feed(EngineStatus(True, False, ()))

    def feed(self, event: SidecarEvent) -> None:
        for _ in self.core.handle(event, self.now):
            pass

    def add_attempts(self, count: int) -> "_Sidecar":
        """Start and end attempts, whose records the core keeps for revocations."""
        for number in range(count):
            offer = _offer(number)
            self.feed(OfferArrived(offer))
            self.feed(StreamClosed(offer.attempt))
        return self

    def add_keys(self, count: int) -> "_Sidecar":
        """Register and commit keys, which the core remembers."""
        for number in range(count):
            key = KeyId(ORGANISATION, TARGET, f"0190aa00-0000-7000-8000-{number:012d}")
            request = RequestId(f"entry.1/{number}")
            entry = EntryIncarnation("entry.1")
            self.feed(KeyRegisterArrived(0, KeyRegistration(key, request, entry, 0.0)))
            self.feed(KeyCommitArrived(0, KeyCommit(key, request, entry)))
        return self

    def add_entries(self, count: int) -> "_Sidecar":
        """Receive one heartbeat from each entry."""
        for number in range(count):
            entry = EntryIncarnation(f"entry-{number:04d}.0123456789abcdef")
            self.feed(HeartbeatArrived(0, Heartbeat(entry, INCARNATION, 1)))
        return self


def _offer(number: int) -> AttemptOffer:
    return AttemptOffer(
        AttemptId(RequestId(f"entry.1/{number}"), 1),
        EntryIncarnation("entry.1"),
        INCARNATION,
        TARGET,
        ORGANISATION,
        1.0,
        Urgency.URGENT,
        0.0,
        60.0,
        90.0,
        prompt_tokens=500,
        max_tokens=300,
    )


def sidecar_slopes() -> Iterator[Slope]:
    """Yield the slopes of a sidecar."""
    yield measure_line(
        "sidecar", "memory", "B", "attempt kept", (200, 800, 3200), _memory_by_attempts
    )
    yield measure_line(
        "sidecar", "CPU of an attempt", "µs", "attempt kept", (200, 800, 3200), _attempt_cpu
    )
    yield measure_line("sidecar", "memory", "B", "key kept", (500, 2000, 8000), _memory_by_keys)
    yield measure_line(
        "sidecar", "CPU of a key's two calls", "µs", "key kept", (500, 2000, 8000), _key_cpu
    )
    yield measure_line("sidecar", "memory", "B", "entry", (6, 24, 93, 930), _memory_by_entries)
    yield measure_line(
        "sidecar", "CPU of a heartbeat", "µs", "entry", (6, 24, 93, 930), _heartbeat_cpu
    )


def _memory_by_attempts(count: int) -> float:
    return retained_bytes(lambda: _Sidecar().add_attempts(count))


def _attempt_cpu(count: int) -> float:
    def work() -> int:
        _Sidecar().add_attempts(count)
        return count

    return min_cpu_us(work)


def _memory_by_keys(count: int) -> float:
    return retained_bytes(lambda: _Sidecar().add_keys(count))


def _key_cpu(count: int) -> float:
    def work() -> int:
        _Sidecar().add_keys(count)
        return count

    return min_cpu_us(work)


def _memory_by_entries(count: int) -> float:
    return retained_bytes(lambda: _Sidecar().add_entries(count))


def _heartbeat_cpu(count: int) -> float:
    sidecar = _Sidecar().add_entries(count)
    rounds = max(1, 2_000 // count)

    def work() -> int:
        for _ in range(rounds):
            sidecar.add_entries(count)
        return rounds * count

    return min_cpu_us(work)
