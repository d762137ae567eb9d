"""Readiness of an entry that reads from the store after its start."""

import trio
from trio.testing import MockClock

from chivehold.direct.initial_load import MAX_LOAD_WAIT_S, InitialLoad


class TestInitialLoad:
    async def test_ready_once_read(self, autojump_clock: MockClock) -> None:
        """An entry is ready when it has read what it needs."""
        read: list[str] = []
        load = InitialLoad("versions", lambda: bool(read))
        assert load.unready_reason() == "versions not read yet"
        read.append("v1")
        assert not load.unready_reason()

    # Guards against an entry that serves nobody because the store is away.
    async def test_ready_without_the_store(self, autojump_clock: MockClock) -> None:
        """After a while an entry serves without it."""
        load = InitialLoad("versions", lambda: False)
        await trio.sleep(MAX_LOAD_WAIT_S - 0.1)
        assert load.unready_reason()
        await trio.sleep(0.2)
        assert not load.unready_reason()
