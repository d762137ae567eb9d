"""``explain``: asks an entry without sidecars where a request would be routed now and why."""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, ClassVar

import msgspec
import trio
from cleo.exceptions import CleoUserError
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from chivehold.commands.base import OUTPUT_FORMATS, PlainCommand, value_option
from chivehold.commands.exits import ExitCode
from chivehold.commands.output import table
from chivehold.http_client import HttpClient, HttpResponse, LinkError

TIMEOUT_S = 5.0
OK_STATUS = 200
COLUMNS: Mapping[str, str] = {
    "rank": "RANK",
    "upstream": "UPSTREAM",
    "zone": "ZONE",
    "stage": "STAGE",
    "software": "SOFTWARE",
    "in_flight": "IN FLIGHT",
    "tokens": "TOKENS",
    "latency_s": "LATENCY S",
    "failing": "FAILING",
    "expected_s": "EXPECTED S",
    "excluded": "NOT ASKED BECAUSE",
}
"""Columns of the table of candidates, by field; JSON has all fields."""


class ExplainCommand(PlainCommand):
    """Shows where an entry without sidecars would route a request; nothing is sent or changed."""

    name = "explain"
    description = "Shows where an entry without sidecars would route a request now, and why"
    arguments: ClassVar[list[Argument]] = [argument("path", "path of the request")]
    options: ClassVar[list[Option]] = [
        value_option("operator", "host:port of an entry's operator address"),
        value_option("host", "host of the request"),
        value_option("method", "method of the request", "POST"),
        option("header", None, "name:value, may be repeated", flag=False, multiple=True),
        value_option("organisation", "name of the caller's organisation"),
        value_option("request", "id of the request, which decides among several services"),
        value_option("prompt-tokens", "tokens of the prompt"),
        value_option("output-tokens", "most tokens to generate"),
        value_option("software", "version of the software at which a stream has to go on"),
        value_option("output", "table or json", "table"),
    ]
    examples = (
        "chivehold explain /get/a --host site.example --operator 10.1.0.38:9464",
        "chivehold explain /tell/a --host site.example --organisation acme --prompt-tokens 3200"
        " --output-tokens 800 --output json --operator 10.1.0.38:9464",
    )

    def handle(self) -> int:
        """Run the command."""
        if self.option("output") not in OUTPUT_FORMATS:
            raise CleoUserError(f"--output: expected {' or '.join(OUTPUT_FORMATS)}")
        question = msgspec.json.encode(dict(self._question()))
        try:
            response = trio.run(_call, self._required("operator"), question)
        except LinkError as error:
            self.emit_error(str(error))
            return ExitCode.UNSURE
        if response.status != OK_STATUS:
            self.emit_error(response.body.decode(errors="replace"))
            return ExitCode.REFUSED
        if self.option("output") == "json":
            self.emit(msgspec.json.format(response.body, indent=2).decode())
        else:
            self.emit("\n".join(_lines(msgspec.json.decode(response.body, type=dict[str, Any]))))
        return ExitCode.OK

    def _question(self) -> Iterator[tuple[str, object]]:
        """Yield the fields of the request to explain."""
        yield "host", self._required("host")
        yield "path", self.argument("path")
        yield "headers", dict(map(_header, self.option("header")))
        for field in ("method", "organisation", "request", "software"):
            if self.option(field):
                yield field, self.option(field)
        for field in ("prompt-tokens", "output-tokens"):
            if text := self.option(field):
                if not text.isdecimal():
                    raise CleoUserError(f"--{field}: expected a number")
                yield field.replace("-", "_"), int(text)

    def _required(self, name: str) -> str:
        value = self.option(name)
        if not value:
            raise CleoUserError(f"--{name}: expected")
        return str(value)


def _header(text: str) -> tuple[str, str]:
    name, colon, value = text.partition(":")
    if not name or not colon:
        raise CleoUserError(f"--header: expected name:value, found {text!r}")
    return name.strip().lower(), value.strip()


def _lines(explanation: Mapping[str, Any]) -> Iterator[str]:
    """Yield the lines of the table output: single values, candidates, what is not known."""
    for field, value in explanation.items():
        if not isinstance(value, list) and value is not None:
            yield f"{field.replace('_', ' ')}: {_text(value)}"
    for field, value in explanation.items():
        if field.endswith("candidates") and value:
            yield ""
            yield f"{field.replace('_', ' ')}:"
            yield _candidate_table(value)
    if unknown := explanation.get("unknown"):
        yield ""
        yield "not known:"
        yield from (f"  {item}" for item in unknown)


def _candidate_table(candidates: Sequence[Mapping[str, Any]]) -> str:
    shown = [field for field in COLUMNS if any(item.get(field) for item in candidates)]
    rows = [[_text(item.get(field)) for field in shown] for item in candidates]
    return table([COLUMNS[field] for field in shown], rows)


def _text(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.3f}"
    if isinstance(value, dict):
        return ", ".join(f"{key} {_text(item)}" for key, item in value.items())
    return str(value)


async def _call(address: str, body: bytes) -> HttpResponse:
    client = HttpClient()
    try:
        return await client.call(
            address, "POST", "/explain", step="explain", timeout_s=TIMEOUT_S, body=body
        )
    finally:
        await client.aclose()
