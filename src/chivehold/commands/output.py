"""Output formats of the commands: aligned tables and JSON."""

import json
from collections.abc import Iterable, Sequence
from typing import Any

from google.protobuf.json_format import MessageToDict

COLUMN_GAP = "  "
INDENT = 2


def table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a header and rows as text with aligned columns."""
    lines = [tuple(header), *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(_align_cells(line, widths) for line in lines)


def message_json(message: Any) -> str:
    """Return a protobuf message as indented JSON, with the field names of the schema."""
    fields = MessageToDict(
        message, preserving_proto_field_name=True, always_print_fields_with_no_presence=True
    )
    return json.dumps(fields, indent=INDENT, ensure_ascii=False)


def enum_label(name: str, prefix: str) -> str:
    """Return an enum member's name without its prefix and in lower case, such as ``created``."""
    return name.removeprefix(prefix).lower()


def _align_cells(line: Sequence[str], widths: Sequence[int]) -> str:
    cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
    return COLUMN_GAP.join(cells).rstrip()
