"""Writes measured figures into a page, between two markers."""

from pathlib import Path

PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"


def replace_section(name: str, text: str, page: Path = PAGE) -> None:
    """Replace what stands between the markers of a name.

    Raises:
        ValueError: The page has no such markers.
    """
    begin, end = f"<!-- {name}: begin -->", f"<!-- {name}: end -->"
    before, found, rest = page.read_text().partition(begin)
    _, closed, after = rest.partition(end)
    if not found or not closed:
        raise ValueError(f"{page.name} has no markers {begin} and {end}")
    page.write_text(f"{before}{begin}\n\n{text}\n\n{end}{after}")
