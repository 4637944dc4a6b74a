"""Faults of a declaration and the lines of its text where they are found."""

import re
from dataclasses import dataclass

_ITEM_PATH = re.compile(r"^(?P<collection>\w+)\[(?P<index>\d+)\](?:\.(?P<field>\w+))?")
_KEY_PATH = re.compile(r"^(?P<field>\w+)")


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A fault in a declaration, such as an unknown field or a value out of range.

    Attributes:
        path: Path of the faulty item or value, such as ``classes[1].priority``.
        message: One sentence without a full stop.
        line: Line number in the TOML text, from 1; None if the declaration was not read from a
            text or the line is not known.
    """

    path: str
    message: str
    line: int | None = None

    def describe(self) -> str:
        """Return the fault as one line of text for an operator."""
        prefix = f"line {self.line}, " if self.line is not None else ""
        return f"{prefix}{self.path}: {self.message}"


def find_line(text: str, path: str) -> int | None:
    """Return the line number, from 1, of a path in a TOML text.

    If the field has no line of its own, this is the line of its table's header, or of the key
    that holds the list; None if none of them is found.
    """
    item = _ITEM_PATH.match(path)
    if item is None:
        key = _KEY_PATH.match(path)
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
