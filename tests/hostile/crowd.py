"""A crowd of clients that misbehave, as a process of its own.

Each client opens its connections one after another, a new one as soon as the server has closed the
last one or nothing more can be sent on it. The last connections stay open. The process then prints
``done`` and ends when its standard input does.
"""

import argparse
import socket
import struct
import sys
from itertools import islice

import trio

from tests.hostile.attacks import ATTACKS, ENDINGS, Attack, Ending, Target
from tests.hostile.rpc_attacks import RPC_ATTACKS

ALL_ATTACKS = ATTACKS | RPC_ATTACKS
MAX_PIECES = 400
"""Pieces that are sent on one connection at most."""
SEND_TIMEOUT_S = 0.5
"""A connection on which a piece cannot be sent for this time is left open and idle."""
CONNECT_TIMEOUT_S = 2.0
NO_LINGER = struct.pack("ii", 1, 0)
"""Option of a socket whose close resets its connection."""


class Client:
    """One client.

    Args:
        attack: What it sends on each connection.
        ending: What it then does with the connection.
        target: The listener's ordinary requests.
        address: The listener's ``host`` and port.
    """

    def __init__(
        self, attack: Attack, ending: Ending, target: Target, address: tuple[str, int]
    ) -> None:
        self._attack = attack
        self._ending = ending
        self._target = target
        self._address = address
        self._open: list[trio.socket.SocketType] = []

    async def run(self, connections: int) -> None:
        """Use that many connections, and keep those open that the server has not closed."""
        for _ in range(connections):
            await self._attack_once()

    async def _attack_once(self) -> None:
        sock = trio.socket.socket()
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                await sock.connect(self._address)
            for piece in islice(self._attack(self._target), MAX_PIECES):
                with trio.fail_after(SEND_TIMEOUT_S):
                    await _send_all(sock, piece)
            self._end(sock)
        except OSError:
            sock.close()
            return
        except trio.TooSlowError:
            pass
        self._open.append(sock)

    def _end(self, sock: trio.socket.SocketType) -> None:
        if self._ending is Ending.HALF_CLOSE:
            sock.shutdown(socket.SHUT_WR)
        elif self._ending is Ending.RESET:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            sock.close()


async def _send_all(sock: trio.socket.SocketType, data: bytes) -> None:
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[await sock.send(remaining) :]


async def _run(arguments: argparse.Namespace) -> None:
    host, _, port = arguments.address.rpartition(":")
    target = Target(arguments.read_path, arguments.write_path, tuple(arguments.header))
    attack = ALL_ATTACKS[arguments.attack]
    ending = ENDINGS.get(arguments.attack, Ending.KEEP_OPEN)
    address = (host, int(port))
    clients = [Client(attack, ending, target, address) for _ in range(arguments.clients)]
    async with trio.open_nursery() as nursery:
        for client in clients:
            nursery.start_soon(client.run, arguments.connections)
    print("done", flush=True)
    await trio.to_thread.run_sync(sys.stdin.read)


def main() -> None:
    """Run the crowd that the command line describes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("attack", choices=sorted(ALL_ATTACKS))
    parser.add_argument("address")
    parser.add_argument("--clients", type=int, required=True)
    parser.add_argument("--connections", type=int, required=True, help="of each client")
    parser.add_argument("--read-path", default="/")
    parser.add_argument("--write-path", default="/")
    parser.add_argument("--header", action="append", default=[])
    trio.run(_run, parser.parse_args())


if __name__ == "__main__":
    main()
