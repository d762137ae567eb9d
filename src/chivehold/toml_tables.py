"""TOML files checked whole against a ``TypedDict``: every fault at once, unknown keys refused."""

import difflib
import tomllib
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, get_args, get_origin, get_type_hints, is_typeddict

import msgspec
from returns.result import Failure, Result, Success

MAX_DOTS_A_LINE = 64

Problems = tuple[str, ...]
"""One line a fault, each with file, key and what was expected."""


def read_table(path: Path, shape: type, most_bytes: int) -> Result[dict[str, Any], Problems]:
    """Read a TOML file of a given form.

    Args:
        path: The file.
        shape: A ``TypedDict`` whose members may be tables and lists of tables in turn.
        most_bytes: The largest file to read.

    Returns:
        The file's values, or every fault found in it.
    """
    parsed = _parsed(path, most_bytes)
    if isinstance(parsed, Failure):
        return Failure((f"{path}: {parsed.failure()}",))
    table = parsed.unwrap()
    problems = tuple(f"{path}: {problem}" for problem in _problems(table, shape, ""))
    if problems:
        return Failure(problems)
    return Success(msgspec.convert(table, shape))


def _parsed(path: Path, most_bytes: int) -> Result[dict[str, Any], str]:
    try:
        with path.open("rb") as file:
            content = file.read(most_bytes + 1)
    except OSError as error:
        return Failure(f"cannot be read: {error.strerror}")
    if len(content) > most_bytes:
        return Failure(f"expected at most {most_bytes} bytes")
    if any(line.count(b".") > MAX_DOTS_A_LINE for line in content.splitlines()):
        # The parser's memory grows with the square of a dotted key's parts.
        return Failure(f"expected at most {MAX_DOTS_A_LINE} dots on a line")
    try:
        return Success(tomllib.loads(content.decode()))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        return Failure(f"expected TOML: {error}")


def _problems(table: Mapping[str, Any], shape: type, prefix: str) -> Iterator[str]:
    hints = get_type_hints(shape, include_extras=True)
    for key in table:
        if key not in hints:
            yield f"{prefix}{key}: unknown key{_suggestion(key, hints)}"
    for key, form in hints.items():
        if key in table:
            yield from _value_problems(table[key], form, f"{prefix}{key}")
        elif key in shape.__required_keys__:  # type: ignore[attr-defined]
            yield f"{prefix}{key}: missing; expected {_expected(form)}"


def _value_problems(value: object, form: Any, key: str) -> Iterator[str]:
    if is_typeddict(form) and isinstance(value, dict):
        yield from _problems(value, form, f"{key}.")
        return
    if _is_table_list(form) and isinstance(value, list):
        for index, item in enumerate(value):
            yield from _value_problems(item, get_args(form)[0], f"{key}[{index}]")
        return
    try:
        msgspec.convert(value, form)
    except msgspec.ValidationError:
        yield f"{key}: expected {_expected(form)}, found {_shown(key, value)}"


def _is_table_list(form: Any) -> bool:
    return get_origin(form) is list and is_typeddict(get_args(form)[0])


def _expected(form: Any) -> str:
    for extra in get_args(form)[1:]:
        if isinstance(extra, msgspec.Meta) and extra.description:
            return extra.description
    if is_typeddict(form):
        return "a table"
    if _is_table_list(form):
        return "a list of tables"
    if form is bool:
        return "true or false"
    return "one of " + ", ".join(repr(str(member)) for member in form)


def _shown(key: str, value: object) -> str:
    if key.endswith("token"):
        return "something else"
    return repr(value)[:80]


def _suggestion(key: str, known: Mapping[str, Any]) -> str:
    close = difflib.get_close_matches(key, known, n=1)
    return f"; did you mean {close[0]!r}?" if close else ""
