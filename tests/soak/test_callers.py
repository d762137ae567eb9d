"""What the callers of a soak make of answers that break off."""

from random import Random
from types import SimpleNamespace
from typing import Any, cast

import pytest
import trio

from tests.soak.callers import Callers
from tests.soak.world import World

HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 7\r\nconnection: close\r\n\r\n"


def world_at(address: str) -> World:
    """Return a world with one entry at an address; nothing else of it is used."""
    entry = SimpleNamespace(name="entry-1", callers=SimpleNamespace(address=address))
    world: Any = SimpleNamespace(entries={"entry-1": entry})
    return cast(World, world)


class TestProbe:
    # Guards against a soak that ends with an error as an entry is killed in a probe's answer.
    @pytest.mark.parametrize(
        ("answer", "probe"), [(HEAD + b"probe-3", "probe-3"), (HEAD + b"pr", None), (HEAD, None)]
    )
    async def test_answer_that_breaks_off_is_none(self, answer: bytes, probe: str | None) -> None:
        """Only a whole answer names a configuration."""

        async def serve(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await stream.send_all(answer)
            await stream.aclose()

        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listener.socket.getsockname()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, serve, [listener])
            callers = Callers(world_at(f"{host}:{port}"), Random(1), 1.0)
            assert await callers.ask_probe("entry-1") == probe
            nursery.cancel_scope.cancel()
