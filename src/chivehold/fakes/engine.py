"""A stand-in engine as a program: ``python -m chivehold.fakes.engine --role decode``."""

import argparse
from collections.abc import Sequence
from functools import partial

import trio

from chivehold.core.identity import Role
from chivehold.fakes.engine_http import EngineApp
from chivehold.fakes.engine_model import EngineCost
from chivehold.fakes.engine_runtime import EngineOptions, EngineRuntime
from chivehold.fakes.server import (
    RestartableServer,
    StandInAddresses,
    add_address_arguments,
    run_program,
)
from chivehold.http_client import HttpClient
from chivehold.http_server import serve_http


async def run_engine(
    options: EngineOptions,
    address: str = "127.0.0.1:0",
    control_address: str = "127.0.0.1:0",
    *,
    task_status: trio.TaskStatus[StandInAddresses] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run a stand-in engine until cancelled.

    Args:
        options: The engine's name, role, costs and behaviour.
        address: ``host:port`` to serve the engine's interface on.
        control_address: ``host:port`` to serve faults and history on.
        task_status: Reports the bound addresses once both ports accept connections.
    """
    runtime, client = EngineRuntime(options), HttpClient()
    server = RestartableServer(address)
    app = EngineApp(runtime, client, server.apply_faults)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runtime.run)
        data = await nursery.start(server.serve, app)
        control = await nursery.start(partial(serve_http, app, control_address))
        task_status.started(StandInAddresses(data, control))


def main(arguments: Sequence[str] | None = None) -> None:
    """Run a stand-in engine from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_address_arguments(parser)
    parser.add_argument("--role", choices=[Role.PREFILL, Role.DECODE], default=Role.DECODE)
    parser.add_argument("--ignores-fencing", action="store_true")
    for field, default in EngineCost._field_defaults.items():
        option = f"--{field.replace('_', '-')}"
        parser.add_argument(option, type=type(default), default=default)
    args = parser.parse_args(arguments)
    cost = EngineCost(**{field: getattr(args, field) for field in EngineCost._fields})
    options = EngineOptions(
        name=args.name,
        role=Role(args.role),
        cost=cost,
        checks_fencing=not args.ignores_fencing,
        seed=args.seed,
    )
    serve = partial(run_engine, options, args.address, args.control_address)
    trio.run(run_program, serve)


if __name__ == "__main__":
    main()
