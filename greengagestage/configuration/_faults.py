"""Faults of a declaration and their places."""

import re
from dataclasses import dataclass

_ITEM_PLACE = re.compile(r"^(?P<collection>\w+)\[(?P<index>\d+)\](?:\.(?P<field>\w+))?")
_KEY_PLACE = re.compile(r"^(?P<field>\w+)")


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """One fault.

    Attributes:
        place: Path in the declaration, such as ``classes[1].priority``.
        message: One sentence without a full stop.
        line: Line of the TOML text, from 1, when the declaration was read from one.
    """

    place: str
    message: str
    line: int | None = None

    def describe(self) -> str:
        """Return the fault as one line for an operator."""
        prefix = f"line {self.line}, " if self.line is not None else ""
        return f"{prefix}{self.place}: {self.message}"


def find_line(text: str, place: str) -> int | None:
    """Return the line of a place in a TOML text, or of the nearest header above it."""
    item = _ITEM_PLACE.match(place)
    if item is None:
        key = _KEY_PLACE.match(place)
        return _find_key(text.splitlines(), 0, key["field"]) if key else None
    lines = text.splitlines()
    header = _find_header(lines, item["collection"], int(item["index"]))
    if header is None:
        return _find_key(lines, 0, item["collection"])
    return _find_key(lines, header, item["field"]) or header


def _find_header(lines: list[str], collection: str, index: int) -> int | None:
    header = re.compile(rf"^\s*\[\[\s*{re.escape(collection)}\s*\]\]")
    matches = [number for number, line in enumerate(lines, start=1) if header.match(line)]
    return matches[index] if index < len(matches) else None


def _find_key(lines: list[str], after: int, field: str | None) -> int | None:
    if field is None:
        return None
    key = re.compile(rf"^\s*{re.escape(field)}\s*=")
    for number, line in enumerate(lines[after:], start=after + 1):
        if line.lstrip().startswith("["):
            return None
        if key.match(line):
            return number
    return None
