"""Validates TOML files against a ``TypedDict``; reports all errors and rejects unknown keys."""

import difflib
import tomllib
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, get_args, get_origin, get_type_hints, is_typeddict

import msgspec
from returns.result import Failure, Result, Success

MAX_DOTS_PER_LINE = 64

Problems = tuple[str, ...]
"""One line per error, with the file, the key and the expected value."""


def read_table(path: Path, table_type: type, max_bytes: int) -> Result[dict[str, Any], Problems]:
    """Read and validate a TOML file.

    Args:
        path: Path of the file.
        table_type: ``TypedDict`` of the file; its values may be tables and lists of tables.
        max_bytes: Maximum size of the file in bytes.

    Returns:
        The file's values, or all errors found in it.
    """
    parsed = _parse(path, max_bytes)
    if isinstance(parsed, Failure):
        return Failure((f"{path}: {parsed.failure()}",))
    table = parsed.unwrap()
    problems = tuple(f"{path}: {problem}" for problem in _table_problems(table, table_type, ""))
    if problems:
        return Failure(problems)
    return Success(msgspec.convert(table, table_type))


def _parse(path: Path, max_bytes: int) -> Result[dict[str, Any], str]:
    try:
        with path.open("rb") as file:
            content = file.read(max_bytes + 1)
    except OSError as error:
        return Failure(f"cannot be read: {error.strerror}")
    if len(content) > max_bytes:
        return Failure(f"expected at most {max_bytes} bytes")
    if any(line.count(b".") > MAX_DOTS_PER_LINE for line in content.splitlines()):
        # The parser's memory use grows quadratically with the number of parts of a dotted key.
        return Failure(f"expected at most {MAX_DOTS_PER_LINE} dots on a line")
    try:
        return Success(tomllib.loads(content.decode()))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        return Failure(f"expected TOML: {error}")


def _table_problems(table: Mapping[str, Any], table_type: type, prefix: str) -> Iterator[str]:
    hints = get_type_hints(table_type, include_extras=True)
    for key in table:
        if key not in hints:
            yield f"{prefix}{key}: unknown key{_suggestion(key, hints)}"
    for key, expected_type in hints.items():
        if key in table:
            yield from _value_problems(table[key], expected_type, f"{prefix}{key}")
        elif key in table_type.__required_keys__:  # type: ignore[attr-defined]
            yield f"{prefix}{key}: missing; expected {_describe_type(expected_type)}"


def _value_problems(value: object, expected_type: Any, key: str) -> Iterator[str]:
    if is_typeddict(expected_type) and isinstance(value, dict):
        yield from _table_problems(value, expected_type, f"{key}.")
        return
    if _is_table_list(expected_type) and isinstance(value, list):
        for index, item in enumerate(value):
            yield from _value_problems(item, get_args(expected_type)[0], f"{key}[{index}]")
        return
    try:
        msgspec.convert(value, expected_type)
    except msgspec.ValidationError:
        yield f"{key}: expected {_describe_type(expected_type)}, found {_display_value(key, value)}"


def _is_table_list(expected_type: Any) -> bool:
    return get_origin(expected_type) is list and is_typeddict(get_args(expected_type)[0])


def _describe_type(expected_type: Any) -> str:
    for extra in get_args(expected_type)[1:]:
        if isinstance(extra, msgspec.Meta) and extra.description:
            return extra.description
    if is_typeddict(expected_type):
        return "a table"
    if _is_table_list(expected_type):
        return "a list of tables"
    if expected_type is bool:
        return "true or false"
    return "one of " + ", ".join(repr(str(member)) for member in expected_type)


def _display_value(key: str, value: object) -> str:
    if key.endswith("token"):
        return "something else"
    return repr(value)[:80]


def _suggestion(key: str, known_keys: Mapping[str, Any]) -> str:
    close = difflib.get_close_matches(key, known_keys, n=1)
    return f"; did you mean {close[0]!r}?" if close else ""
