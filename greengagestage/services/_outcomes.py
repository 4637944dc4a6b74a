"""Outcomes of a transaction on the table. Expected failures are values, not exceptions."""

from dataclasses import dataclass

from greengagestage.outcomes import Unavailable, Unknown

from ._operations import Row


@dataclass(frozen=True, slots=True, kw_only=True)
class Committed:
    """The transaction took effect.

    Attributes:
        rows: One row for each operation; the row of a ``Check`` has no value.
    """

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """The transaction had no effect, because rows did not have the expected revisions.

    Attributes:
        failed: Indexes of the operations whose expected revision did not match.
        rows: The current row of each operation. The store does not return the rows of operations
            without an expected revision; they are given as absent.
    """

    failed: tuple[int, ...]
    rows: tuple[Row, ...]


TransactOutcome = Committed | Conflict | Unavailable | Unknown
