"""A stand-in plain service as a program: ``python -m chivehold.fakes.service``."""

import argparse
from collections.abc import Sequence
from functools import partial

import trio

from chivehold.fakes.server import (
    RestartableServer,
    StandInAddresses,
    add_address_arguments,
    run_program,
)
from chivehold.fakes.service_app import ServiceApp, ServiceOptions
from chivehold.http_server import serve_http


async def run_service(
    options: ServiceOptions,
    address: str = "127.0.0.1:0",
    control_address: str = "127.0.0.1:0",
    *,
    task_status: trio.TaskStatus[StandInAddresses] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run a stand-in service until cancelled.

    Args:
        options: The service's name and work time.
        address: ``host:port`` to serve the service's interface on.
        control_address: ``host:port`` to serve faults and history on.
        task_status: Reports the bound addresses once both ports accept connections.
    """
    server = RestartableServer(address)
    app = ServiceApp(options, server.apply_faults)
    async with trio.open_nursery() as nursery:
        data = await nursery.start(server.serve, app)
        control = await nursery.start(partial(serve_http, app, control_address))
        task_status.started(StandInAddresses(data, control))


def main(arguments: Sequence[str] | None = None) -> None:
    """Run a stand-in service from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_address_arguments(parser)
    parser.add_argument("--work-s", type=float, default=ServiceOptions().work_s)
    args = parser.parse_args(arguments)
    options = ServiceOptions(name=args.name, work_s=args.work_s)
    serve = partial(run_service, options, args.address, args.control_address)
    trio.run(run_program, serve)


if __name__ == "__main__":
    main()
