"""The entry's driver, with a scripted core and scripted peers."""

from collections.abc import Callable

import pytest
import trio
import trio.testing

from chivehold.core.entry_messages import (
    AttemptLinkLost,
    ClaimSettled,
    CloseAttempt,
    CommitKey,
    EndClaim,
    Finish,
    ImportSettled,
    KeyCommitSettled,
    KeySettled,
    MakeClaim,
    PrefillSettled,
    RegisterKey,
    ReleaseKey,
    RequestArrived,
    Revoke,
    RevokeSettled,
    SendCall,
    SendImport,
    SendOffer,
    SendPrefill,
    Tick,
)
from chivehold.core.identity import AttemptId, KeyId, Outcome, Urgency
from chivehold.core.wire import (
    AttemptOffer,
    CallContent,
    ImportOrder,
    KeyCommit,
    KeyRegistration,
    PrefillOrder,
)
from chivehold.entry.driver import EntryDriver

ATTEMPT = AttemptId("r", 1)
KEY = KeyId("bruma", "lector", "k")
OFFER = AttemptOffer(ATTEMPT, "e.1", "s.1", "lector", "bruma", 1.0, Urgency.URGENT, 0.0, 1.0, 5.0)
ORDER = PrefillOrder(ATTEMPT, "e.1", "s.1", "lector", "bruma", Urgency.URGENT, "p", 1, (), 1.0, 5.0)
COMMIT = KeyCommit(KEY, "r", "e.1")
ARRIVAL = RequestArrived("r", "lector", "bruma", "", None, 0.0, None, None)
SETTLING_EVENTS = [
    (SendOffer("u", OFFER), AttemptLinkLost),
    (SendCall("u", OFFER, CallContent("GET", "/", (), b"")), AttemptLinkLost),
    (SendPrefill("u", ORDER), PrefillSettled),
    (SendImport("u", ImportOrder(ATTEMPT, "h", "e", 1, 1, 1.0)), ImportSettled),
    (Revoke("u", ATTEMPT), RevokeSettled),
    (RegisterKey("u", KeyRegistration(KEY, "r", "e.1", 0.0)), KeySettled),
    (CommitKey("u", COMMIT), KeyCommitSettled),
    (MakeClaim("r", KEY, ATTEMPT, "u", 0.0), ClaimSettled),
    (ReleaseKey("u", COMMIT), None),
    (EndClaim("r", KEY, Outcome.ANSWERED), None),
]


class ScriptedCore:
    """Answers an arrival with the given commands and records all other events."""

    def __init__(self, *commands, wakeup: float | None = None) -> None:
        self.events = []
        self.in_progress = 0
        self._commands = commands
        self._wakeup = wakeup

    def handle(self, event, now):
        if isinstance(event, RequestArrived):
            yield from self._commands
            return
        self.events.append(event)
        if isinstance(event, Tick):
            self._wakeup = None

    def next_wakeup(self):
        return self._wakeup


class ScriptedPeers:
    """Runs ``act`` on each call, and records the leases held."""

    def __init__(self, act: Callable) -> None:
        self.holds = []
        self._act = act

    def __getattr__(self, name: str):
        async def call(*arguments):
            await self._act()

        return call

    async def offer(self, upstream, offer):
        await self._act()
        yield None

    def hold(self, upstream) -> None:
        self.holds.append(upstream)

    def release(self, upstream) -> None:
        self.holds.remove(upstream)


async def _fail() -> None:
    raise ValueError("broken")


def _driver(
    core: ScriptedCore, act: Callable, nursery: trio.Nursery
) -> tuple[EntryDriver, ScriptedPeers]:
    peers = ScriptedPeers(act)
    return EntryDriver(core, peers, peers, peers, peers, nursery), peers


class TestDriver:
    @pytest.mark.parametrize(("command", "settling_event"), SETTLING_EVENTS)
    async def test_settles_once_on_any_failure(self, nursery, command, settling_event) -> None:
        """A command that fails inside the entry is settled once, and never as not sent."""
        core = ScriptedCore(command, Finish("r", Outcome.UNKNOWN))
        driver, peers = _driver(core, _fail, nursery)
        driver.submit(ARRIVAL)
        with trio.fail_after(1):
            await driver.wait_idle()
        assert [type(event) for event in core.events] == (
            [settling_event] if settling_event else []
        )
        assert getattr(core.events[0] if core.events else None, "sent", True)
        assert peers.holds == []

    @pytest.mark.parametrize("command", [SendOffer("u", OFFER), SendPrefill("u", ORDER)])
    async def test_closed_attempt_feeds_nothing(self, nursery, command) -> None:
        """Closing an attempt cancels its task, without an event."""
        close = CloseAttempt("u", ATTEMPT)
        core = ScriptedCore(command, close, Finish("r", Outcome.UNKNOWN))
        driver, _ = _driver(core, trio.sleep_forever, nursery)
        driver.submit(ARRIVAL)
        with trio.fail_after(1):
            await driver.wait_idle()
        assert core.events == []

    @pytest.mark.parametrize(("command", "settling_event"), SETTLING_EVENTS[:3])
    async def test_lost_upstream_settles_its_attempts(
        self, nursery, command, settling_event
    ) -> None:
        """Attempts at a lost upstream are settled at once, as possibly sent."""
        core = ScriptedCore(command)
        driver, _ = _driver(core, trio.sleep_forever, nursery)
        driver.submit(ARRIVAL)
        driver.fail_upstream("other")
        assert core.events == []
        driver.fail_upstream("u")
        assert [type(event) for event in core.events] == [settling_event]

    async def test_tick_is_fed_when_due(self, autojump_clock, nursery) -> None:
        """The core gets a ``Tick`` at the time it asked for."""
        core = ScriptedCore(wakeup=trio.current_time() + 7.0)
        driver, _ = _driver(core, _fail, nursery)
        nursery.start_soon(driver.run_timer)
        await trio.sleep(6.9)
        assert core.events == []
        await trio.sleep(0.2)
        assert core.events == [Tick()]

    async def test_error_in_core_stops_the_driver(self) -> None:
        """After an error in the core the driver stops and does not use its state any more."""
        with pytest.raises(ExceptionGroup) as caught:
            async with trio.open_nursery() as nursery:
                driver, _ = _driver(ScriptedCore("no command"), _fail, nursery)
                nursery.start_soon(driver.run_timer)
                await trio.testing.wait_all_tasks_blocked()
                with pytest.raises(KeyError):
                    driver.submit(ARRIVAL)
        assert caught.group_contains(KeyError)
