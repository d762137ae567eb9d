"""Writes measured figures into a page between two markers."""

from pathlib import Path

PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"


def replace_section(name: str, text: str, page: Path = PAGE) -> None:
    """Replace the text between the two markers of a section.

    Raises:
        ValueError: The page lacks a marker of that section.
    """
    begin, end = f"<!-- {name}: begin -->", f"<!-- {name}: end -->"
    before, begin_found, rest = page.read_text().partition(begin)
    _, end_found, after = rest.partition(end)
    if not begin_found or not end_found:
        raise ValueError(f"{page.name} has no markers {begin} and {end}")
    page.write_text(f"{before}{begin}\n\n{text}\n\n{end}{after}")
