"""Compares two declarations and describes the differences to operators."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from ._declaration import Declaration


class DifferenceKind(Enum):
    """How the value at a path differs."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"


@dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """A path at which two declarations differ, such as ``classes.floor.priority``."""

    kind: DifferenceKind
    path: str
    before: Any = None
    after: Any = None

    def describe(self) -> str:
        """Return the difference as one line for an operator."""
        if self.kind is DifferenceKind.CHANGED:
            return f"~ {self.path}: {self.before} -> {self.after}"
        return f"{self.kind.value} {self.path}"


def compare_declarations(before: Declaration | None, after: Declaration) -> tuple[Difference, ...]:
    """Return the differences between two declarations; None stands for an empty declaration."""
    old = {} if before is None else _index_items(before)
    new = _index_items(after)
    return tuple(_compare_items(old, new))


def _index_items(declaration: Declaration) -> dict[str, Any]:
    """Return each declared item by its path, such as ``classes.floor``."""
    items: dict[str, Any] = {}
    for collection, values in msgspec.to_builtins(declaration).items():
        for value in values:
            name = value["name"] if isinstance(value, dict) else value
            items[f"{collection}.{name}"] = value
    return items


def _compare_items(old: dict[str, Any], new: dict[str, Any]) -> Iterator[Difference]:
    for path in sorted(old.keys() | new.keys()):
        if path not in old:
            yield Difference(kind=DifferenceKind.ADDED, path=path, after=new[path])
        elif path not in new:
            yield Difference(kind=DifferenceKind.REMOVED, path=path, before=old[path])
        elif isinstance(new[path], dict):
            yield from _compare_fields(path, old[path], new[path])


def _compare_fields(path: str, old: dict[str, Any], new: dict[str, Any]) -> Iterator[Difference]:
    for field in new:
        if old[field] != new[field]:
            yield Difference(
                kind=DifferenceKind.CHANGED,
                path=f"{path}.{field}",
                before=old[field],
                after=new[field],
            )
