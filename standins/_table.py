"""The platform's transactional table, in memory."""

from collections.abc import Mapping
from enum import Enum

import msgspec
from msgspec import Struct
from sortedcontainers import SortedDict


class OperationKind(Enum):
    """What an operation does with its row."""

    GET = "get"
    PUT = "put"
    DELETE = "delete"
    CHECK = "check"


class Operation(Struct, frozen=True, kw_only=True):
    """One operation of a transaction.

    ``expect`` None takes any row, 0 wants none, n wants the row at revision n.
    """

    kind: OperationKind
    key: str
    value: msgspec.Raw = msgspec.Raw(b"null")
    expect: int | None = None


class Transaction(Struct, frozen=True, kw_only=True):
    """The body of ``POST /table/transact``."""

    operations: tuple[Operation, ...]


class Row(Struct, frozen=True, kw_only=True):
    """A row; an absent one has revision 0 and no value."""

    key: str
    value: msgspec.Raw = msgspec.Raw(b"null")
    revision: int = 0


class Outcome(Struct, frozen=True, kw_only=True):
    """The rows after a transaction, or the current rows and the operations that failed."""

    rows: tuple[Row, ...]
    failed: tuple[int, ...] = ()


class Table:
    """Rows with revisions that grow with each write and never repeat."""

    def __init__(self) -> None:
        self._rows: SortedDict = SortedDict()
        self._revision = 0

    def transact(self, transaction: Transaction) -> Outcome:
        """Carry out all operations, or none."""
        failed = tuple(
            index
            for index, operation in enumerate(transaction.operations)
            if operation.expect not in (None, self._find(operation.key).revision)
        )
        if failed:
            return Outcome(rows=read_rows(self._rows, transaction), failed=failed)
        for operation in transaction.operations:
            self._carry_out(operation)
        return Outcome(rows=read_rows(self._rows, transaction))

    def copy_rows(self) -> Mapping[str, Row]:
        """Return the rows as they are now, for stale reads."""
        copied: Mapping[str, Row] = SortedDict(self._rows)
        return copied

    @property
    def rows(self) -> Mapping[str, Row]:
        """The current rows by key."""
        current: Mapping[str, Row] = self._rows
        return current

    def _find(self, key: str) -> Row:
        row: Row = self._rows.get(key, Row(key=key))
        return row

    def _carry_out(self, operation: Operation) -> None:
        match operation.kind:
            case OperationKind.PUT:
                self._revision += 1
                self._rows[operation.key] = Row(
                    key=operation.key,
                    value=msgspec.Raw(bytes(operation.value)),
                    revision=self._revision,
                )
            case OperationKind.DELETE:
                self._revision += 1
                self._rows.pop(operation.key, None)
            case OperationKind.GET | OperationKind.CHECK:
                return


def read_rows(rows: Mapping[str, Row], transaction: Transaction) -> tuple[Row, ...]:
    """Return one row for each operation."""
    return tuple(rows.get(op.key, Row(key=op.key)) for op in transaction.operations)


def list_rows(rows: Mapping[str, Row], prefix: str, limit: int) -> list[Row]:
    """Return the first rows whose key starts with a prefix, by key."""
    found = []
    for key, row in rows.items():
        if key.startswith(prefix):
            found.append(row)
            if len(found) == limit:
                break
    return found
