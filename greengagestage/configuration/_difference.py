"""The difference between two declarations, for operators."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from ._declaration import Declaration


class DifferenceKind(Enum):
    """What happened at a place."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"


@dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """One place where two declarations differ, such as ``classes.floor.priority``."""

    kind: DifferenceKind
    place: str
    before: Any = None
    after: Any = None

    def describe(self) -> str:
        """Return the difference as one line for an operator."""
        if self.kind is DifferenceKind.CHANGED:
            return f"~ {self.place}: {self.before} -> {self.after}"
        return f"{self.kind.value} {self.place}"


def compare_declarations(before: Declaration | None, after: Declaration) -> tuple[Difference, ...]:
    """Return what changes from one declaration to the next; None is an empty one."""
    old = {} if before is None else _index_items(before)
    new = _index_items(after)
    return tuple(_compare_items(old, new))


def _index_items(declaration: Declaration) -> dict[str, Any]:
    """Return every declared thing by its place."""
    items: dict[str, Any] = {}
    for collection, values in msgspec.to_builtins(declaration).items():
        for value in values:
            name = value["name"] if isinstance(value, dict) else value
            items[f"{collection}.{name}"] = value
    return items


def _compare_items(old: dict[str, Any], new: dict[str, Any]) -> Iterator[Difference]:
    for place in sorted(old.keys() | new.keys()):
        if place not in old:
            yield Difference(kind=DifferenceKind.ADDED, place=place, after=new[place])
        elif place not in new:
            yield Difference(kind=DifferenceKind.REMOVED, place=place, before=old[place])
        elif isinstance(new[place], dict):
            yield from _compare_fields(place, old[place], new[place])


def _compare_fields(place: str, old: dict[str, Any], new: dict[str, Any]) -> Iterator[Difference]:
    for field in new:
        if old[field] != new[field]:
            yield Difference(
                kind=DifferenceKind.CHANGED,
                place=f"{place}.{field}",
                before=old[field],
                after=new[field],
            )
