"""``quarantine``: lists the content that entries without sidecars refuse, sets and lifts it."""

from collections.abc import Mapping
from typing import ClassVar, TypedDict

import msgspec
import trio
from cleo.exceptions import CleoUserError
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from chivehold.commands.base import PlainCommand, value_option
from chivehold.commands.exits import ExitCode
from chivehold.commands.output import table
from chivehold.core.direct.crash_keys import KeyKind
from chivehold.http_client import HttpClient, HttpResponse, LinkError

TIMEOUT_S = 5.0
OK_STATUS = 200
ACTIONS: Mapping[str, bool] = {"set": True, "lift": False}
HEADER = ("KEY", "STATE", "LEFT S", "TRIALS")


class _QuarantineJson(TypedDict):
    key: str
    active: bool
    left_s: int
    trials: int


class QuarantineCommand(PlainCommand):
    """Lists, sets or lifts quarantines at all entries without sidecars, through any of them."""

    name = "quarantine"
    description = "Lists, sets or lifts what entries without sidecars refuse as it ends upstreams"
    arguments: ClassVar[list[Argument]] = [
        argument("action", "list, set or lift"),
        argument("key", "part:ID or request:DIGEST, as logged and listed", optional=True),
    ]
    options: ClassVar[list[Option]] = [
        value_option("operator", "host:port of an entry's operator address"),
    ]
    examples = (
        "chivehold quarantine list --operator 10.1.0.38:9464",
        "chivehold quarantine lift part:5c1e07a2 --operator 10.1.0.38:9464",
    )

    def handle(self) -> int:
        """Run the command."""
        address = self.option("operator")
        if not address:
            raise CleoUserError("--operator: expected host:port")
        body = self._order()
        try:
            response = trio.run(_call, address, body)
        except LinkError as error:
            self.emit_error(str(error))
            return ExitCode.UNSURE
        if response.status != OK_STATUS:
            self.emit_error(response.body.decode(errors="replace"))
            return ExitCode.REFUSED
        quarantines = msgspec.json.decode(response.body, type=list[_QuarantineJson])
        self.emit(table(HEADER, [_row(known) for known in quarantines]))
        return ExitCode.OK

    def _order(self) -> bytes:
        """Return the body of the order to send, empty to list."""
        action = self.argument("action")
        if action == "list":
            return b""
        if action not in ACTIONS:
            raise CleoUserError(f"{action}: expected list, set or lift")
        kind, _, value = (self.argument("key") or "").partition(":")
        if kind not in set(KeyKind) or not value:
            raise CleoUserError("key: expected part:ID or request:DIGEST")
        return msgspec.json.encode({"kind": kind, "value": value, "active": ACTIONS[action]})


def _row(known: _QuarantineJson) -> tuple[str, ...]:
    state = "refused" if known["active"] else "lifted"
    return known["key"], state, str(known["left_s"]), str(known["trials"])


async def _call(address: str, body: bytes) -> HttpResponse:
    client = HttpClient()
    try:
        return await client.call(
            address,
            "POST" if body else "GET",
            "/quarantines",
            step="quarantine",
            timeout_s=TIMEOUT_S,
            body=body,
        )
    finally:
        await client.aclose()
