"""Upstreams that end under some requests and start again, and a log of what reached them."""

from collections.abc import Callable, Mapping

import trio

from chivehold.fakes.platform_upstream import PlainUpstream
from tests.direct.harness import EntryHarness

CONTACT_S = 3.0
"""Time after which all entries must know what one of them can know."""

Predicate = Callable[[Mapping[str, str], bytes], bool]


class Crash:
    """The end of an upstream's process."""

    def __init__(self, name: str, at: float) -> None:
        self.name = name
        self.at = at


class CrashingService:
    """Keeps a number of upstreams of one service running; each is back some time after its end.

    Args:
        harness: Serves the upstreams and lists them in the store.
        service: Name of the service.
        create: Returns a new upstream of a given name.
        is_crashed_by: Whether a request with these headers and this body ends its upstream.
        down_s: Time from an end to the next start, under another name.
    """

    def __init__(
        self,
        harness: EntryHarness,
        service: str,
        create: Callable[[str], PlainUpstream],
        is_crashed_by: Predicate,
        down_s: float = 0.5,
    ) -> None:
        self._harness = harness
        self._service = service
        self._create = create
        self._is_crashed_by = is_crashed_by
        self._down_s = down_s
        self._starts = 0
        self.all: list[PlainUpstream] = []
        """All upstreams that have run, including those that have ended."""
        self.crashes: list[Crash] = []

    async def run(self, count: int, nursery: trio.Nursery) -> None:
        """Start the upstreams; they are kept running in the nursery."""
        for _ in range(count):
            await self._start(nursery)

    def times_of_crashing(self) -> list[float]:
        """Return when requests that end upstreams have reached one."""
        return sorted(
            at
            for upstream in self.all
            for received, at in zip(upstream.received, upstream.received_at, strict=True)
            if self._is_crashed_by(received, received["body"].encode())
        )

    def crashing_later_than(self, crash_number: int, delay_s: float) -> int:
        """Return how many such requests came later than some time after a crash; 0 without it."""
        if len(self.crashes) < crash_number:
            return 0
        limit = self.crashes[crash_number - 1].at + delay_s
        return sum(at > limit for at in self.times_of_crashing())

    async def _start(self, nursery: trio.Nursery) -> None:
        self._starts += 1
        upstream = self._create(f"{self._service}-{self._starts}")
        crashed = trio.Event()
        upstream.is_crashed_by = self._is_crashed_by
        upstream.on_crash = crashed.set
        self.all.append(upstream)
        await self._harness.add_upstream(upstream, self._service)
        nursery.start_soon(self._restart, upstream, crashed, nursery)

    async def _restart(
        self, upstream: PlainUpstream, crashed: trio.Event, nursery: trio.Nursery
    ) -> None:
        await crashed.wait()
        self.crashes.append(Crash(upstream.name, trio.current_time()))
        await self._harness.stop(upstream)
        await trio.sleep(self._down_s)
        self._harness.store.remove("servers", upstream.name)
        await self._start(nursery)
