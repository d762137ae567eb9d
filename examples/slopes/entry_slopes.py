"""Measures memory and processor time of an entry's core, without its network code."""

from collections.abc import Iterator
from random import Random

from chivehold.core.declared import Declarations, Deployment, Share, TrafficClass, Upstream
from chivehold.core.entry import EntryCore
from chivehold.core.entry_messages import (
    CallerDisconnected,
    DeclarationsChanged,
    EntryEvent,
    LoadReported,
    RequestArrived,
)
from chivehold.core.identity import (
    EntryIncarnation,
    Organisation,
    RequestId,
    Role,
    SidecarIncarnation,
    TargetName,
    UpstreamName,
    Urgency,
)
from chivehold.core.policy import Policy
from chivehold.core.wire import LoadReport, UpstreamState
from chivehold.entry.heartbeats import pools, subsets
from examples.slopes.costs import min_cpu_us, retained_bytes
from examples.slopes.fit import Slope, measure_line

PREFIX_BLOCKS = 64
PROMPT = "word " * 400
OPERATIONS = 400
MAX_UPSTREAMS = 96
CLASSES = (
    TrafficClass("hook", Urgency.URGENT, 30.0),
    TrafficClass("review", Urgency.PATIENT, 900.0),
)
POLICY = Policy(urgent_queue_most=100_000, patient_queue_most=100_000, patient_offers_most=100_000)


def sample_report(seed: int, role: Role = Role.DECODE) -> LoadReport:
    """Return a load report with the content that a busy engine sends."""
    rng = Random(seed)
    blocks = tuple(rng.getrandbits(32) for _ in range(PREFIX_BLOCKS))
    return LoadReport(
        incarnation=SidecarIncarnation(f"engine-{seed:04d}.0123456789abcdef"),
        up_for_s=86_400.0,
        role=role,
        state=UpstreamState.READY,
        revision=8_500,
        places=1_000_000,
        places_free=1_000_000,
        waiting_urgent=3,
        waiting_patient=5,
        wait_urgent_s=0.0,
        wait_patient_s=0.0,
        prefill_backlog_s=0.01,
        prefill_urgent_backlog_s=0.01,
        prefill_tokens_per_s=10_000.0,
        token_interval_s=0.02,
        link_backlog_s=0.0,
        prefix_blocks=blocks,
    )


def deployment(name: str, upstreams: int, organisations: int = 0) -> Deployment:
    """Return a deployment, half of whose upstreams are for prefill and half for decode."""
    half = upstreams // 2
    return Deployment(
        TargetName(name),
        "model",
        prefill=tuple(_upstream(name, Role.PREFILL, number) for number in range(half)),
        decode=tuple(_upstream(name, Role.DECODE, number) for number in range(half)),
        classes=CLASSES,
        shares=tuple(Share(_organisation(number), 1.0) for number in range(organisations)),
    )


def _upstream(target: str, role: Role, number: int) -> Upstream:
    name = UpstreamName(f"{target}-{role}-{number:04d}")
    addresses = (f"10.1.{number >> 8}.{number & 255}:8100", f"10.1.{number >> 8}.{number & 255}:81")
    return Upstream(name, role, "region-a", *addresses, places=20)


def _organisation(number: int) -> Organisation:
    return Organisation(f"organisation-{number:04d}")


class _Entry:
    """An entry's core whose upstreams have reported, unless ``reported`` is false."""

    def __init__(self, *declared: Deployment, reported: bool = True) -> None:
        self.core = EntryCore(EntryIncarnation("entry.1"), "region-a", POLICY, Random(1))
        self.now = 0.0
        self.commands = 0
        self.feed(DeclarationsChanged(Declarations(1, declared, ())))
        self.upstreams = [
            upstream for target in declared for upstream in (*target.prefill, *target.decode)
        ]
        if reported:
            self.report_all()

    def feed(self, event: EntryEvent) -> None:
        self.commands += sum(1 for _ in self.core.handle(event, self.now))

    def report_all(self) -> int:
        for number, upstream in enumerate(self.upstreams):
            self.feed(LoadReported(upstream.name, sample_report(number, upstream.role)))
        return len(self.upstreams)

    def add_request(self, number: int, traffic_class: str, organisations: int = 1) -> RequestId:
        name = RequestId(f"entry.1/{number}")
        self.feed(
            RequestArrived(
                name,
                TargetName("model-0"),
                _organisation(number % organisations),
                traffic_class,
                None,
                0.0,
                None,
                None,
                prompt=f"{number} {PROMPT}",
                prompt_tokens=len(PROMPT) // 4,
                prefix_blocks=tuple(range(32)),
                max_tokens=300,
            )
        )
        return name

    def add_requests(self, count: int, traffic_class: str, organisations: int = 1) -> "_Entry":
        for number in range(count):
            self.add_request(number, traffic_class, organisations)
        return self

    def arrive_and_disconnect(self, traffic_class: str, organisations: int = 1) -> int:
        """Start ``OPERATIONS`` requests and disconnect each caller at once; return their number."""
        for number in range(OPERATIONS):
            name = self.add_request(10_000_000 + number, traffic_class, organisations)
            self.feed(CallerDisconnected(name))
        return OPERATIONS


def entry_slopes() -> Iterator[Slope]:
    """Yield the slopes of an entry."""
    yield measure_line(
        "entry", "memory", "B", "known upstream", (24, 48, 96, 192), _memory_by_upstreams
    )
    yield measure_line(
        "entry",
        "CPU of a load report",
        "µs",
        "known upstream",
        (24, 48, 96, 192),
        _report_cpu_by_upstreams,
    )
    yield measure_line(
        "entry",
        "CPU of a request",
        "µs",
        "known upstream",
        (24, 48, 96, 192),
        _request_cpu_by_upstreams,
    )
    yield measure_line(
        "entry",
        "memory",
        "B",
        "declared upstream, not known",
        (500, 1000, 2000),
        _memory_by_declared_upstreams,
    )
    sizes = (500, 1000, 2000)
    yield measure_line(
        "entry",
        "CPU of a changed declaration",
        "µs",
        "declared upstream",
        sizes,
        _change_cpu_by_upstreams,
    )
    yield measure_line(
        "entry", "memory", "B", "organisation", (50, 200, 810), _memory_by_organisations
    )
    yield measure_line(
        "entry",
        "CPU of a request",
        "µs",
        "organisation",
        (50, 200, 810),
        _request_cpu_by_organisations,
    )
    yield measure_line(
        "entry", "memory", "B", "model with 8 upstreams", (2, 6, 12, 24), _memory_by_models
    )
    yield measure_line(
        "entry", "memory", "B", "request in progress", (100, 400, 1600), _memory_by_requests
    )
    yield measure_line(
        "entry",
        "CPU of a request",
        "µs",
        "request in progress",
        (100, 400, 1600),
        _request_cpu_by_requests,
    )
    yield measure_line(
        "entry", "memory", "B", "queued request", (100, 400, 1600), _memory_by_queued_requests
    )
    yield measure_line(
        "entry",
        "CPU of a request",
        "µs",
        "queued request",
        (100, 400, 1600),
        _request_cpu_by_queued_requests,
    )


def _memory_by_upstreams(count: int) -> float:
    return retained_bytes(lambda: _Entry(deployment("model-0", count)))


def _report_cpu_by_upstreams(count: int) -> float:
    entry = _Entry(deployment("model-0", count))
    reports = [
        sample_report(number, upstream.role) for number, upstream in enumerate(entry.upstreams)
    ]

    def work() -> int:
        for _ in range(20):
            for upstream, report in zip(entry.upstreams, reports, strict=True):
                entry.feed(LoadReported(upstream.name, report))
        return 20 * count

    return min_cpu_us(work)


def _request_cpu_by_upstreams(count: int) -> float:
    entry = _Entry(deployment("model-0", count))
    return min_cpu_us(lambda: entry.arrive_and_disconnect("hook"))


def _memory_by_declared_upstreams(count: int) -> float:
    return retained_bytes(lambda: _Entry(deployment("model-0", count), reported=False))


def _change_cpu_by_upstreams(count: int) -> float:
    declared = [deployment(f"model-{number}", count // 10) for number in range(10)]
    entry = _Entry(*declared, reported=False)
    declarations = Declarations(2, tuple(declared), ())

    def work() -> int:
        entry.feed(DeclarationsChanged(declarations))
        chosen = list(subsets("entry-1", tuple(pools(declarations)), MAX_UPSTREAMS))
        return min(1, len(chosen))

    return min_cpu_us(work)


def _memory_by_organisations(count: int) -> float:
    return retained_bytes(
        lambda: _Entry(deployment("model-0", 8, count)).add_requests(count, "hook", count)
    ) - retained_bytes(lambda: _Entry(deployment("model-0", 8)).add_requests(count, "hook"))


def _request_cpu_by_organisations(count: int) -> float:
    entry = _Entry(deployment("model-0", 8, count)).add_requests(count, "hook", count)
    return min_cpu_us(lambda: entry.arrive_and_disconnect("hook", count))


def _memory_by_models(count: int) -> float:
    return retained_bytes(lambda: _Entry(*(deployment(f"model-{n}", 8) for n in range(count))))


def _memory_by_requests(count: int) -> float:
    return retained_bytes(lambda: _Entry(deployment("model-0", 8)).add_requests(count, "hook"))


def _request_cpu_by_requests(count: int) -> float:
    entry = _Entry(deployment("model-0", 8)).add_requests(count, "hook")
    return min_cpu_us(lambda: entry.arrive_and_disconnect("hook"))


def _entry_with_queue(count: int) -> _Entry:
    """Return an entry whose patient requests are all queued, since no upstream has reported."""
    return _Entry(deployment("model-0", 8), reported=False).add_requests(count, "review")


def _memory_by_queued_requests(count: int) -> float:
    return retained_bytes(lambda: _entry_with_queue(count))


def _request_cpu_by_queued_requests(count: int) -> float:
    entry = _entry_with_queue(count)
    return min_cpu_us(lambda: entry.arrive_and_disconnect("review"))
