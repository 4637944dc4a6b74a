"""Rows of the router's own table and the operations of a transaction on it."""

from typing import Any, TypeVar

import msgspec
from msgspec import Raw, Struct

ABSENT = 0
"""The revision of a row that does not exist."""

T = TypeVar("T")


class Put(Struct, frozen=True, kw_only=True):
    """Writes a row.

    Attributes:
        value: Anything that msgspec encodes as JSON.
        expect: The revision that the row must have, ``ABSENT`` if it must not exist, or None for
            an unconditional write.
    """

    key: str
    value: Any
    expect: int | None = None


class Delete(Struct, frozen=True, kw_only=True):
    """Removes a row, if ``expect`` is None or the row's current revision."""

    key: str
    expect: int | None = None


class Check(Struct, frozen=True, kw_only=True):
    """Makes the transaction fail unless a row has the revision ``expect``."""

    key: str
    expect: int


Operation = Put | Delete | Check


class Row(Struct, frozen=True, kw_only=True):
    """A row of the router's own table.

    Attributes:
        value: The encoded JSON value; ``null`` for an absent row.
        revision: Increases with each write and is never reused, also not when the store comes back
            from an older copy; ``ABSENT`` for an absent row.
    """

    key: str
    revision: int
    value: Raw = Raw(b"null")

    @property
    def exists(self) -> bool:
        """Whether the row exists in the table."""
        return self.revision != ABSENT

    def decode(self, value_type: type[T]) -> T:
        """Return the value of an existing row as the given type.

        Raises:
            msgspec.ValidationError: The value has another type, or the row is absent.
        """
        return msgspec.json.decode(self.value, type=value_type)
