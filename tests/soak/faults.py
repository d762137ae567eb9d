"""Carries out a plan's faults, from outside the programs."""

import signal
from collections.abc import Awaitable, Callable

import trio

from tests.soak.entries import Entry
from tests.soak.link import Link
from tests.soak.plan import Fault, FaultKind, Plan
from tests.soak.upstreams import EVENT_S, PLAIN_S, PREFILL_S, SoakEngine
from tests.soak.world import STORE, Hosted, World

OUT_STATUS = 503
LEAVE_S = 4.0
"""An upstream that leaves is listed as leaving for so long, then ends."""
LAPSE_BACK_S = 1.0
"""Entries that lapsed in an outage are written again so soon after its end."""
LABOUR_FACTOR = 8
GARBAGE: tuple[object, ...] = (
    None,
    7,
    [],
    {},
    {"service": "plain"},
    {"service": "plain", "address": 5, "zone": "zone-a", "slots": 1, "state": "ready"},
    {"service": "plain", "address": "nowhere", "zone": "a", "slots": 1, "state": "ready"},
    {"service": "plain", "address": "127.0.0.1:1", "zone": "a", "slots": 1, "state": "waking"},
    {"service": "model", "address": "127.0.0.1:1", "zone": "a", "slots": "x", "state": "ready"},
)


class Faults:
    """Carries out faults on a world.

    Args:
        world: What they strike.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._numbers = 0
        self._kinds: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.KILL: self._kill,
            FaultKind.HERD_KILL: self._herd_kill,
            FaultKind.PAUSE: self._pause,
            FaultKind.TERMINATE: self._terminate,
            FaultKind.HANGUP: self._hangup,
            FaultKind.REWRITE_SETTINGS: self._rewrite_settings,
            FaultKind.CALLERS_SLOW: self._link_fault(_slow),
            FaultKind.CALLERS_RESET: self._link_fault(_reset),
            FaultKind.CALLERS_SILENT: self._link_fault(_silence),
            FaultKind.STORE_LINK_SLOW: self._link_fault(_slow),
            FaultKind.STORE_LINK_RESET: self._link_fault(_reset),
            FaultKind.STORE_LINK_SILENT: self._link_fault(_silence),
            FaultKind.STORE_LINK_DEAF: self._link_fault(_deafen),
            FaultKind.UPSTREAM_SLOW: self._link_fault(_slow),
            FaultKind.UPSTREAM_RESET: self._link_fault(_reset),
            FaultKind.UPSTREAM_SILENT: self._link_fault(_silence),
            FaultKind.UPSTREAM_DEAF: self._link_fault(_deafen),
            FaultKind.STORE_OUT: self._store_out,
            FaultKind.STORE_LOSES_ANSWERS: self._store_loses_answers,
            FaultKind.STORE_FORGETS: self._store_forgets,
            FaultKind.STORE_LAPSE: self._store_lapse,
            FaultKind.STORE_GARBAGE: self._store_garbage,
            FaultKind.CONFIGURATIONS: self._configurations,
            FaultKind.CRASH: self._crash,
            FaultKind.LEAVE: self._leave,
            FaultKind.REFUSES: self._behaves("refuse", True),
            FaultKind.LABOURS: self._labours,
            FaultKind.FREEZES: self._freezes,
            FaultKind.CUTS: self._cuts,
            FaultKind.LOSES_KV: self._behaves("lose_handles", True),
            FaultKind.NOT_IN_SERVICE: self._behaves("out_of_service", True),
        }

    async def play(self, plan: Plan) -> None:
        """Carry out all faults, each at its time, and return once the last is over."""
        began_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for fault in plan.faults:
                nursery.start_soon(self._play, fault, began_at)

    async def _play(self, fault: Fault, began_at: float) -> None:
        await trio.sleep_until(began_at + fault.at_s)
        for _ in range(fault.times):
            await self._kinds[fault.kind](fault)
            await trio.sleep(fault.gap_s)

    def _entry(self, fault: Fault) -> Entry:
        return self._world.entries[fault.subject]

    def _hosted(self, fault: Fault) -> Hosted:
        return self._world.upstreams[fault.subject]

    async def _kill(self, fault: Fault) -> None:
        await self._kill_entry(self._entry(fault), fault)

    async def _herd_kill(self, fault: Fault) -> None:
        async with trio.open_nursery() as nursery:
            for entry in self._world.entries.values():
                nursery.start_soon(self._kill_entry, entry, fault)

    async def _kill_entry(self, entry: Entry, fault: Fault) -> None:
        with self._world.trouble(entry.name, fault.kind):
            entry.signal(signal.SIGKILL)
            await trio.sleep(fault.for_s)
            await entry.start()

    async def _pause(self, fault: Fault) -> None:
        entry = self._entry(fault)
        with self._world.trouble(entry.name, fault.kind):
            entry.signal(signal.SIGSTOP)
            await trio.sleep(fault.for_s)
            entry.signal(signal.SIGCONT)

    async def _terminate(self, fault: Fault) -> None:
        entry = self._entry(fault)
        with self._world.trouble(entry.name, fault.kind):
            if shutdown := await entry.terminate():
                self._world.shutdowns.append(shutdown)
            await trio.sleep(fault.for_s)
            await entry.start()

    async def _hangup(self, fault: Fault) -> None:
        self._entry(fault).signal(signal.SIGHUP)

    async def _rewrite_settings(self, fault: Fault) -> None:
        self._numbers += 1
        self._entry(fault).write_settings(idle_s=30.0 + self._numbers)

    def _link_fault(
        self, strike: Callable[[Link, Fault], None]
    ) -> Callable[[Fault], Awaitable[None]]:
        async def play(fault: Fault) -> None:
            link = self._link(fault)
            with self._world.trouble(fault.subject, fault.kind):
                strike(link, fault)
                await trio.sleep(0 if strike is _reset else fault.for_s)
                link.heal()

        return play

    def _link(self, fault: Fault) -> Link:
        if fault.kind.startswith("callers"):
            return self._entry(fault).callers
        if fault.kind.startswith("store"):
            return self._entry(fault).store
        return self._hosted(fault).link

    async def _store_out(self, fault: Fault) -> None:
        with self._world.trouble(STORE, fault.kind):
            self._world.store.error_status = OUT_STATUS
            await trio.sleep(fault.for_s)
            self._world.store.error_status = None

    async def _store_loses_answers(self, fault: Fault) -> None:
        with self._world.trouble(STORE, fault.kind):
            self._world.store.unanswered_writes += 2
            await trio.sleep(fault.for_s)
            self._world.store.unanswered_writes = 0

    async def _store_forgets(self, fault: Fault) -> None:
        self._world.store.expire_watch_history()

    async def _store_lapse(self, fault: Fault) -> None:
        """All upstreams' entries lapse while the store is away; those that live write them anew."""
        with self._world.trouble(STORE, fault.kind):
            self._world.store.error_status = OUT_STATUS
            await trio.sleep(fault.for_s)
            lapsed = [name for name in self._world.upstreams if self._world.is_listed(name)]
            for name in lapsed:
                self._world.lapse(name)
            self._world.store.expire_watch_history()
            self._world.store.error_status = None
            await trio.sleep(LAPSE_BACK_S)
            for name in lapsed:
                self._world.announce(name)

    async def _store_garbage(self, fault: Fault) -> None:
        """Another writer leaves entries that cannot be read."""
        for number, spec in enumerate(GARBAGE):
            self._world.store.put("servers", f"garbage-{number}", spec)
        await trio.sleep(fault.for_s)
        for number in range(len(GARBAGE)):
            self._world.lapse(f"garbage-{number}")

    async def _configurations(self, fault: Fault) -> None:
        self._world.configure()

    async def _crash(self, fault: Fault) -> None:
        name = fault.subject
        if self._hosted(fault).is_down:
            return
        with self._world.trouble(name, fault.kind):
            await self._world.crash(name)
            await trio.sleep(fault.for_s)
            await self._world.reborn(name)

    async def _leave(self, fault: Fault) -> None:
        name = fault.subject
        if name in self._world.leaving:
            return
        self._world.leave(name)
        await trio.sleep(LEAVE_S)
        if self._hosted(fault).is_down:
            # Whoever ended it starts it again.
            self._world.returned(name)
            return
        with self._world.trouble(name, fault.kind):
            self._world.lapse(name)
            await self._world.crash(name)
            await trio.sleep(fault.for_s)
            self._world.returned(name)
            await self._world.reborn(name)

    def _behaves(self, attribute: str, value: object) -> Callable[[Fault], Awaitable[None]]:
        async def play(fault: Fault) -> None:
            await self._with(fault, attribute, value)

        return play

    async def _labours(self, fault: Fault) -> None:
        app = self._hosted(fault).app
        if _decodes(app):
            await self._with(fault, "event_s", EVENT_S * LABOUR_FACTOR, EVENT_S)
        else:
            usual_s = PREFILL_S if isinstance(app, SoakEngine) else PLAIN_S
            await self._with(fault, "work_s", usual_s * LABOUR_FACTOR, usual_s)

    async def _freezes(self, fault: Fault) -> None:
        if _decodes(self._hosted(fault).app):
            await self._with(fault, "freeze_after", 3)
        else:
            await self._with(fault, "silent", True)

    async def _cuts(self, fault: Fault) -> None:
        if _decodes(self._hosted(fault).app):
            await self._with(fault, "stop_after", 3)
        else:
            await self._with(fault, "cut", True)

    async def _with(
        self, fault: Fault, attribute: str, value: object, usual: object | None = None
    ) -> None:
        """Have an upstream behave otherwise for the time of a fault."""
        hosted = self._hosted(fault)
        before = usual if usual is not None else (None if attribute.endswith("after") else False)
        with self._world.trouble(fault.subject, fault.kind):
            setattr(hosted.app, attribute, value)
            await trio.sleep(fault.for_s)
            setattr(hosted.app, attribute, before)


def _decodes(app: object) -> bool:
    return isinstance(app, SoakEngine) and app.name.startswith("decode")


def _slow(link: Link, fault: Fault) -> None:
    link.to_server.delay_s = link.to_client.delay_s = fault.x


def _reset(link: Link, fault: Fault) -> None:
    link.reset()


def _silence(link: Link, fault: Fault) -> None:
    for direction in (link.to_server, link.to_client):
        direction.silence()


def _deafen(link: Link, fault: Fault) -> None:
    link.to_client.silence()
