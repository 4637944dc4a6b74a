"""Rows of the product's table and the operations of a transaction."""

from typing import Any, TypeVar

import msgspec
from msgspec import Raw, Struct

ABSENT = 0
"""The revision of a row that does not exist."""

T = TypeVar("T")


class Put(Struct, frozen=True, kw_only=True):
    """Write a row.

    Attributes:
        value: Anything that msgspec encodes as JSON.
        expect: The revision that the row must have, ``ABSENT``, or None for any.
    """

    key: str
    value: Any
    expect: int | None = None


class Delete(Struct, frozen=True, kw_only=True):
    """Remove a row."""

    key: str
    expect: int | None = None


class Check(Struct, frozen=True, kw_only=True):
    """Refuse the transaction unless a row stands at a revision."""

    key: str
    expect: int


Operation = Put | Delete | Check


class Row(Struct, frozen=True, kw_only=True):
    """A row of the product's table.

    Attributes:
        value: The encoded JSON value; ``null`` for an absent row.
        revision: Grows with each write and never repeats; ``ABSENT`` for an absent row.
    """

    key: str
    revision: int
    value: Raw = Raw(b"null")

    @property
    def exists(self) -> bool:
        """Whether the row stands in the table."""
        return self.revision != ABSENT

    def decode(self, value_type: type[T]) -> T:
        """Return the value of an existing row as the given type.

        Raises:
            msgspec.ValidationError: The row holds a value of another type, or no value.
        """
        return msgspec.json.decode(self.value, type=value_type)
