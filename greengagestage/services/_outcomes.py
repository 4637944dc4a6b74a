"""What a call to the platform can end in. Expected failures are values, not exceptions."""

from dataclasses import dataclass

from greengagestage.outcomes import Unavailable, Unknown

from ._operations import Row


@dataclass(frozen=True, slots=True, kw_only=True)
class Committed:
    """The transaction took effect; one row per operation, a checked one without its value."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """The transaction had no effect, since rows did not stand at the expected revisions.

    Attributes:
        failed: Positions of the operations whose expectation failed.
        rows: The row of each operation as it stands now; that of an operation without an
            expectation is not known and given as absent.
    """

    failed: tuple[int, ...]
    rows: tuple[Row, ...]


TransactOutcome = Committed | Conflict | Unavailable | Unknown
