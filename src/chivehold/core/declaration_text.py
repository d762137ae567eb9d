"""Declarations as canonical text, for people to read and compare."""

import difflib
import json

from chivehold.core.declarations import DeclaredSpec

INDENT = 2


def canonical_text(spec: DeclaredSpec | None) -> str:
    """Return a declaration as indented JSON with field names, or an empty text for ``None``."""
    if spec is None:
        return ""
    return json.dumps(_plain(spec), indent=INDENT, ensure_ascii=False) + "\n"


def unified_diff(
    before: DeclaredSpec | None, after: DeclaredSpec | None, name: str
) -> tuple[str, ...]:
    """Return the lines of a unified diff between two versions of a declaration."""
    old = canonical_text(before).splitlines()
    new = canonical_text(after).splitlines()
    return tuple(difflib.unified_diff(old, new, f"{name} stored", f"{name} given", lineterm=""))


def _plain(value: object) -> object:
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {field: _plain(item) for field, item in value._asdict().items()}
    if isinstance(value, tuple):
        return [_plain(item) for item in value]
    return value
