"""Serves a stand-in that can be killed and revived at the same address."""

import argparse
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from chivehold.asgi import App
from chivehold.fakes.faults import FaultRequest
from chivehold.http_server import ServerLimits, serve_http

DRAIN_TIMEOUT_S = 1.0


class StandInAddresses(NamedTuple):
    """The addresses that a stand-in listens on."""

    data: str
    """``host:port`` of its interface; refuses connections while the stand-in is dead."""
    control: str
    """``host:port`` for faults and history; available even while the stand-in is dead."""


class RestartableServer:
    """Serves an application at an address and can be killed and revived there.

    Args:
        address: ``host:port``; with port 0 the kernel chooses a port, which every revival reuses.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._alive = trio.Event()
        self._alive.set()
        self._scope = trio.CancelScope()

    def apply_faults(self, request: FaultRequest) -> None:
        """Stop or restart serving if the request has ``die`` or ``revive`` set."""
        if request.get("die", False):
            self._alive = trio.Event()
            self._scope.cancel()
        if request.get("revive", False):
            self._alive.set()

    async def serve(
        self, app: App, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; ``task_status`` reports the bound address."""
        limits = ServerLimits(drain_timeout_s=DRAIN_TIMEOUT_S)
        started = False
        while True:
            with trio.CancelScope() as self._scope:
                async with trio.open_nursery() as nursery:

                    async def run(task_status: trio.TaskStatus[str]) -> None:
                        await serve_http(app, self._address, limits=limits, task_status=task_status)

                    self._address = await nursery.start(run)
                    if not started:
                        started = True
                        task_status.started(self._address)
            await self._alive.wait()


def add_address_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command-line options that all stand-ins share."""
    parser.add_argument("--address", default="127.0.0.1:0", help="host:port, 0 for any port")
    parser.add_argument("--control-address", default="127.0.0.1:0", help="host:port for faults")
    parser.add_argument("--name", default="stand-in")
    parser.add_argument("--seed", type=int, default=0)


async def run_program(serve: Callable[..., Awaitable[object]]) -> None:
    """Run a stand-in and print its addresses once it accepts connections."""
    async with trio.open_nursery() as nursery:
        addresses: StandInAddresses = await nursery.start(serve)
        print(f"listening {addresses.data}", flush=True)
        print(f"control {addresses.control}", flush=True)
