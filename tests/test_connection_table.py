import resource

import pytest

from chivehold.connection_table import ConnectionTable, connections_within


class StubConnection:
    """Stands in for a connection in the table of connections."""

    def __init__(self) -> None:
        self.was_abandoned = False

    def abandon(self) -> None:
        self.was_abandoned = True


class TestConnections:
    @pytest.fixture
    def stubs(self) -> list[StubConnection]:
        return [StubConnection() for _ in range(4)]

    @staticmethod
    def abandoned(stubs: list[StubConnection]) -> list[int]:
        return [number for number, stub in enumerate(stubs) if stub.was_abandoned]

    async def test_oldest_unused_connection_makes_room(self, stubs: list[StubConnection]) -> None:
        """Guards against silent connections that leave no room for others."""
        connections = ConnectionTable(3)
        assert all(connections.add(stub) for stub in stubs[:3])
        connections.mark_busy(stubs[0])
        connections.mark_idle(stubs[0])
        assert connections.add(stubs[3])
        assert self.abandoned(stubs) == [1]
        assert len(connections) == 3

    async def test_longest_idle_connection_makes_room(self, stubs: list[StubConnection]) -> None:
        """Without unused connections the one is closed that has had no request for longest."""
        connections = ConnectionTable(3)
        for stub in stubs[:3]:
            connections.add(stub)
            connections.mark_busy(stub)
        for stub in (stubs[2], stubs[0]):
            connections.mark_idle(stub)
        assert connections.add(stubs[3])
        assert self.abandoned(stubs) == [2]

    async def test_busy_connections_are_kept(self, stubs: list[StubConnection]) -> None:
        """A connection with a request is never closed for another one."""
        connections = ConnectionTable(1)
        connections.add(stubs[0])
        connections.mark_busy(stubs[0])
        assert not connections.add(stubs[1])
        connections.remove(stubs[0])
        assert connections.add(stubs[1])
        assert self.abandoned(stubs) == []

    def test_longest_unfinished_head_gives_way(
        self, stubs: list[StubConnection], monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against unfinished heads on many connections that fill the memory."""
        monkeypatch.setattr("chivehold.connection_table.MAX_UNFINISHED_HEAD_BYTES", 100)
        connections = ConnectionTable(4)
        for stub in stubs:
            connections.add(stub)
        connections.mark_busy(stubs[3])
        for stub, size in zip(stubs, (30, 50, 20, 1_000), strict=True):
            connections.count_received(stub, size)
        assert self.abandoned(stubs) == []
        connections.count_received(stubs[0], 10)
        assert self.abandoned(stubs) == [1]

    async def test_place_is_made_for_a_refused_connection(
        self, stubs: list[StubConnection]
    ) -> None:
        """Guards against requests sent ahead that keep all places for those who send them."""
        connections = ConnectionTable(1)
        connections.add(stubs[0])
        connections.mark_busy(stubs[0])
        assert not connections.add(stubs[1])
        connections.mark_idle(stubs[0])
        assert self.abandoned(stubs) == [0]
        assert connections.add(stubs[2])
        connections.mark_busy(stubs[2])
        connections.mark_idle(stubs[2])
        assert self.abandoned(stubs) == [0]

    @pytest.mark.parametrize(
        ("descriptors", "expected"),
        [(resource.RLIM_INFINITY, 1_000), (4_000, 1_000), (600, 300), (100, 1)],
    )
    def test_leaves_descriptors(
        self, monkeypatch: pytest.MonkeyPatch, descriptors: int, expected: int
    ) -> None:
        """The limit leaves descriptors for upstreams, the store and files."""
        monkeypatch.setattr(resource, "getrlimit", lambda kind: (descriptors, descriptors))
        assert connections_within(1_000) == expected
