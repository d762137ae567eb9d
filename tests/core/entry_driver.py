"""Helpers to drive an entry's core in tests: declarations, reports and events."""

from collections.abc import Iterable
from random import Random

from chivehold.core.declared import (
    CallRule,
    Declarations,
    Deployment,
    Service,
    TrafficClass,
    Upstream,
)
from chivehold.core.entry import EntryCore
from chivehold.core.entry_messages import (
    DeclarationsChanged,
    EntryCommand,
    EntryEvent,
    FrameReceived,
    LoadReported,
    PrefillSettled,
    RequestArrived,
)
from chivehold.core.identity import (
    AttemptId,
    EntryIncarnation,
    KeyId,
    Organisation,
    RequestId,
    Role,
    SidecarIncarnation,
    TargetName,
    UpstreamName,
    Urgency,
)
from chivehold.core.policy import Policy
from chivehold.core.wire import (
    AttemptFrame,
    CallContent,
    FrameKind,
    LoadReport,
    PrefillKind,
    PrefillResult,
    Reason,
    UpstreamState,
)

LECTOR, FORJA = TargetName("lector"), TargetName("forja")
BRUMA = Organisation("bruma")
CLASSES = (
    TrafficClass("hook", Urgency.URGENT, 30.0),
    TrafficClass("review", Urgency.PATIENT, 900.0),
)
CALL = CallContent("POST", "/reservations", (), b"")
READ = CallContent("GET", "/sites", (), b"")
REPORT = LoadReport(
    incarnation=SidecarIncarnation("i1"),
    up_for_s=100.0,
    role=Role.DECODE,
    state=UpstreamState.READY,
    revision=1,
    places=20,
    places_free=20,
    waiting_urgent=0,
    waiting_patient=0,
    wait_urgent_s=0.0,
    wait_patient_s=0.0,
    prefill_backlog_s=0.0,
    prefill_tokens_per_s=10_000.0,
    token_interval_s=0.01,
    prefill_urgent_backlog_s=0.0,
    link_backlog_s=0.0,
)


def upstream(name: str, role: Role, zone: str = "sjo-a") -> Upstream:
    return Upstream(UpstreamName(name), role, zone, "", "", places=20)


DECLARATIONS = Declarations(
    revision=1,
    deployments=(
        Deployment(
            LECTOR,
            "m",
            prefill=(upstream("p1", Role.PREFILL), upstream("p2", Role.PREFILL)),
            decode=(upstream("d1", Role.DECODE), upstream("d2", Role.DECODE)),
            classes=CLASSES,
        ),
    ),
    services=(
        Service(
            FORJA,
            (upstream("s1", Role.SERVICE), upstream("s2", Role.SERVICE)),
            CLASSES,
            rules=(CallRule("*", "/builds", True), CallRule("*", "/vans", False)),
        ),
    ),
)
UPSTREAMS = tuple(UpstreamName(name) for name in ("p1", "p2", "d1", "d2", "s1", "s2"))


def model(request: str = "r", traffic_class: str = "hook", **fields: object) -> RequestArrived:
    arrival = RequestArrived(
        RequestId(request), LECTOR, BRUMA, traffic_class, None, 0.0, None, None,
        prompt="p", prompt_tokens=100, prefix_blocks=(1,), max_tokens=4,
    )  # fmt: skip
    return arrival._replace(**fields)


def service(request: str = "r", traffic_class: str = "hook", **fields: object) -> RequestArrived:
    arrival = RequestArrived(
        RequestId(request), FORJA, BRUMA, traffic_class, None, 0.0, None, None, call=CALL
    )
    return arrival._replace(**fields)


def key(target: TargetName = LECTOR) -> KeyId:
    return KeyId(BRUMA, target, "k")


def frame(kind: FrameKind, attempt: AttemptId, offset: int = 0, *tokens: str) -> FrameReceived:
    return FrameReceived(AttemptFrame(kind, attempt, offset, tokens))


def refused(
    attempt: AttemptId, reason: Reason, retry_after_s: float | None = None
) -> FrameReceived:
    return FrameReceived(
        AttemptFrame(FrameKind.REFUSED, attempt, reason=reason, retry_after_s=retry_after_s)
    )


def prefilled(attempt: AttemptId, expires_in_s: float = 0.8) -> PrefillSettled:
    return PrefillSettled(PrefillResult(PrefillKind.DONE, attempt, "h", "engine", 10, expires_in_s))


class Driver:
    """An entry's core with a manual clock."""

    def __init__(self, policy: Policy | None = None, ready: Iterable[str] = UPSTREAMS) -> None:
        self.core = EntryCore(EntryIncarnation("e1"), "sjo-a", policy or Policy(), Random(1))
        self.now = 0.0
        self.feed(DeclarationsChanged(DECLARATIONS))
        for name in ready:
            self.report(name)

    def feed(self, event: EntryEvent) -> list[EntryCommand]:
        return list(self.core.handle(event, self.now))

    def report(self, name: str, **fields: object) -> list[EntryCommand]:
        return self.feed(LoadReported(UpstreamName(name), REPORT._replace(**fields)))
